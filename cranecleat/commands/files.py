"""`cranecleat files`: look at a folder of the files transport, check it, and follow one proxy's orders."""

import json
import time

import typer

from cranecleat.commands.tables import fail, table

app = typer.Typer(no_args_is_help=True, help="The files transport: orders and reports through a folder.")


def looked(folder):
    from cranecleat.files.disk import Disk
    from cranecleat.files.recover import scan_folder

    try:
        return Disk(folder), scan_folder(Disk(folder))
    except OSError as failure:
        fail(f"{folder}: {failure.strerror}")


@app.command()
def check(folder: str = typer.Argument(..., help="The folder that `folder` in the operator's file names.")):
    """Reads every file of the folder and says what cannot be used. Exit code 1 if there is anything.

    It may run while the coordinator does; a file that is replaced meanwhile is read as the old or the new one.
    """
    _, found = looked(folder)
    for path, wrong in found.wrong:
        print(f"{path}: {wrong}")
    for called in found.foreign:
        print(f"{called}: none of ours; take it out of the folder")
    print(
        f"{len(found.orders)} proxies, {len(found.bodies)} bodies, generation {found.generation}: "
        f"{'something is wrong' if found.wrong or found.foreign else 'all can be used'}"
    )
    raise typer.Exit(1 if found.wrong or found.foreign else 0)


@app.command()
def show(
    folder: str = typer.Argument(..., help="The folder."),
    proxy: int = typer.Option(None, help="One proxy's routes, in full."),
    as_json: bool = typer.Option(False, "--json", help="One JSON object."),
):
    """Prints who writes the folder, the tables, each proxy's generation, and what it says that it has in force."""
    from cranecleat.files.disk import BODIES, OWNER, REPORTS, read_owner
    from cranecleat.files.format import UnusableFileError, read_body, read_report

    disk, found = looked(folder)
    try:
        fence, life, writer = read_owner(disk.read(OWNER) or b"")
    except UnusableFileError as wrong:
        fence, life, writer = 0, 0, f"unknown ({wrong})"
    reports = {}
    for who in found.orders:
        try:
            reports[who] = read_report(disk.read(REPORTS, f"p{who}") or b"")
        except (UnusableFileError, OSError):
            continue
    tables = found.tables
    bodies = (
        {
            number: read_body(disk.read(BODIES, body), body).lines
            for number, body in tables.bodies.items()
            if body in found.bodies
        }
        if tables
        else {}
    )
    rows = []
    for who, orders in sorted(found.orders.items()):
        report = reports.get(who)
        behind = (
            "no report"
            if report is None
            else "in force"
            if (report.applied[0] >= tables.header.generation and report.applied[1] >= orders.header.generation)
            else "behind"
        )
        rows.append(
            (
                who,
                "yes" if orders.active else "no",
                orders.header.generation,
                orders.needs,
                " ".join(f"{route}:{number}" for route, number in orders.bound.items()) or "-",
                behind,
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
                    "out": sorted(tables.out) if tables else [],
                    "proxies": [
                        dict(zip(("proxy", "served", "generation", "needs", "bound", "state"), row, strict=True))
                        for row in rows
                    ],
                }
            )
        )
        return
    print(f"written by {writer}, fence {fence}, life {life}; generation {found.generation}")
    for number, lines in sorted(bodies.items()):
        print(f"table {number}: " + ", ".join(f"{backend} {weight:g}" for backend, weight in lines))
    if tables:
        print("shut out: " + (", ".join(sorted(tables.out)) or "none"))
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
    kept: str = typer.Option(None, help="Where the last order to try a call again is kept, over restarts."),
    poll: float = typer.Option(0.05, min=0.01, max=10.0, help="Seconds between two looks."),
    seconds: float = typer.Option(0.0, min=0.0, help="Ends after that long; 0: never."),
):
    """Prints what comes into force at one proxy, one JSON object a line: routes, levels, shut-outs, calls to try again.

    It writes no report: a proxy does that itself (`cranecleat.files.follow.Follower`). While the folder is away, or
    holds what cannot be used, what was in force stays and one line says why.
    """
    from cranecleat.files.follow import Follower

    follower, said, begun = Follower(folder, proxy, kept), None, time.monotonic()
    while not seconds or time.monotonic() - begun < seconds:
        before = follower.view.seen, follower.view.fence
        again = follower.poll()
        if (follower.view.seen, follower.view.fence) != before or again:
            force = follower.view.in_force
            print(
                json.dumps(
                    {
                        "applied": force.applied,
                        "active": force.active,
                        "levels": force.levels,
                        "lines": {route: follower.view.pick_from(route) for route in force.weights},
                        "out": sorted(force.withdrawn),
                        "again": [one.call for one in again],
                    }
                ),
                flush=True,
            )
        if follower.wrong != said and follower.wrong:
            print(json.dumps({"kept": follower.wrong}), flush=True)
        said = follower.wrong
        time.sleep(poll)
