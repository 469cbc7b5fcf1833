"""`cranecleat files`: shows and checks a folder of the files transport, and follows one proxy's orders."""

import json
import time

import typer

from cranecleat.commands.tables import fail, table

app = typer.Typer(no_args_is_help=True, help="The files transport: orders and reports through a folder.")


def open_folder(folder):
    """The folder's disk and its scanned content. Ends the command if the folder cannot be read."""
    from cranecleat.files.disk import Disk
    from cranecleat.files.recover import scan_folder

    try:
        return Disk(folder), scan_folder(Disk(folder))
    except OSError as failure:
        fail(f"{folder}: {failure.strerror}")


@app.command()
def check(folder: str = typer.Argument(..., help="The folder that `folder` in the operator's file names.")):
    """Reads every file of the folder and prints what cannot be used. Exit code 1 if there is anything.

    It may run beside the coordinator; of a file that is replaced meanwhile it reads either the old or the new version.
    """
    _, found = open_folder(folder)
    for path, error in found.errors:
        print(f"{path}: {error}")
    for name in found.foreign:
        print(f"{name}: does not belong to the transport; remove it from the folder")
    print(
        f"{len(found.orders)} proxies, {len(found.bodies)} bodies, generation {found.generation}: "
        f"{'errors found' if found.errors or found.foreign else 'no errors'}"
    )
    raise typer.Exit(1 if found.errors or found.foreign else 0)


@app.command()
def show(
    folder: str = typer.Argument(..., help="The folder."),
    proxy: int = typer.Option(None, help="Show this proxy's routes only."),
    as_json: bool = typer.Option(False, "--json", help="Print one JSON object."),
):
    """Prints the folder's writer, the tables, and for each proxy the generation of its orders and whether the proxy has
    reported that they are in force."""
    from cranecleat.files.disk import BODIES, OWNER, REPORTS, read_owner
    from cranecleat.files.format import UnusableFileError, read_body, read_report

    disk, found = open_folder(folder)
    try:
        fence, life, writer = read_owner(disk.read(OWNER) or b"")
    except UnusableFileError as error:
        fence, life, writer = 0, 0, f"unknown ({error})"
    reports = {}
    for number in found.orders:
        try:
            reports[number] = read_report(disk.read(REPORTS, f"p{number}") or b"")
        except (UnusableFileError, OSError):
            continue
    tables = found.tables
    bodies = (
        {
            number: read_body(disk.read(BODIES, body), body).entries
            for number, body in tables.bodies.items()
            if body in found.bodies
        }
        if tables
        else {}
    )
    rows = []
    for number, orders in sorted(found.orders.items()):
        report = reports.get(number)
        state = (
            "no report"
            if report is None
            else "in force"
            if (report.applied[0] >= tables.header.generation and report.applied[1] >= orders.header.generation)
            else "behind"
        )
        rows.append(
            (
                number,
                "yes" if orders.active else "no",
                orders.header.generation,
                orders.needs,
                " ".join(f"{route}:{table_number}" for route, table_number in orders.bound.items()) or "-",
                state,
            )
        )
    if as_json:
        print(
            json.dumps(
                {
                    "writer": writer,
                    "fence": fence,
                    "life": life,
                    "generation": found.generation,
                    "tables": bodies,
                    "out": sorted(tables.withdrawn) if tables else [],
                    "proxies": [
                        dict(zip(("proxy", "served", "generation", "needs", "bound", "state"), row, strict=True))
                        for row in rows
                    ],
                }
            )
        )
        return
    print(f"written by {writer}, fence {fence}, life {life}; generation {found.generation}")
    for number, entries in sorted(bodies.items()):
        print(f"table {number}: " + ", ".join(f"{backend} {weight:g}" for backend, weight in entries))
    if tables:
        print("withdrawn: " + (", ".join(sorted(tables.withdrawn)) or "none"))
    print(
        "\n".join(
            table(
                ("proxy", "served", "generation", "needs", "routes:tables", "state"),
                [row for row in rows if proxy in (None, row[0])],
            )
        )
    )


@app.command()
def follow(
    folder: str = typer.Argument(..., help="The folder."),
    proxy: int = typer.Argument(..., help="The proxy whose orders are followed."),
    kept: str = typer.Option(None, help="A file that stores the last retry order taken on, across restarts."),
    poll: float = typer.Option(0.05, min=0.01, max=10.0, help="Seconds between two polls."),
    seconds: float = typer.Option(0.0, min=0.0, help="End after this time; 0: never."),
):
    """Prints what comes into force at one proxy, one JSON object a line: routes, levels, withdrawn backends, and calls
    to retry.

    It writes no report: a proxy does that itself (`cranecleat.files.follow.Follower`). While the folder is not
    available or its files cannot be used, the last usable ones stay in force and one line says why.
    """
    from cranecleat.files.follow import Follower

    follower, printed_error, started = Follower(folder, proxy, kept), None, time.monotonic()
    while not seconds or time.monotonic() - started < seconds:
        before = follower.view.seen, follower.view.fence
        retries = follower.poll()
        if (follower.view.seen, follower.view.fence) != before or retries:
            in_force = follower.view.in_force
            print(
                json.dumps(
                    {
                        "applied": in_force.applied,
                        "active": in_force.active,
                        "levels": in_force.levels,
                        "lines": {route: follower.view.pick_from(route) for route in in_force.weights},
                        "out": sorted(in_force.withdrawn),
                        "again": [retry.call for retry in retries],
                    }
                ),
                flush=True,
            )
        if follower.error != printed_error and follower.error:
            print(json.dumps({"kept": follower.error}), flush=True)
        printed_error = follower.error
        time.sleep(poll)
