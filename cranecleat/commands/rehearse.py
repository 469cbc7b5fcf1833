"""`cranecleat rehearse`: runs days in simulated time, with the real planner and the real gossip."""

import json

import typer

from cranecleat.commands.tables import fail, table

app = typer.Typer(no_args_is_help=True, help="Days in simulated time, with the real planner and the real gossip.")


@app.callback()
def every():
    """Days in simulated time, with the real planner and the real gossip."""


@app.command()
def gossip(
    seed: int = typer.Option(1, help="The same seed gives exactly the same day, call by call."),
    peers: int = typer.Option(5, min=1, max=100, help="Coordinators."),
    seconds: float = typer.Option(60.0, min=30.0, max=600.0, help="Length of the day."),
    lie: int = typer.Option(0, min=0, help="Peers that falsely report every backend as dead."),
    lost: float = typer.Option(0.0, min=0.0, max=0.95, help="Fraction of the datagrams that is lost."),
    as_json: bool = typer.Option(False, "--json", help="One JSON object for each of the two runs."),
):
    """Runs the same day without gossip and with it. Two backends stop answering calls, one of them for good.

    Prints the service (importance of the calls answered within the SLO time over that of all calls), how long each of
    the two backends was still sent calls, how many backends were falsely ejected, and every broken rule.
    """
    from cranecleat.rehearsal.day import Day, unresponsive_backends

    rows, results = [], []
    for with_gossip in (False, True):
        typer.echo(f"{'with' if with_gossip else 'without'} gossip ...", err=True)
        result = Day(
            unresponsive_backends(seed, peers, round(seconds * 1e6), gossip=with_gossip, liars=lie, lost=lost)
        ).run()
        results.append(result)
        rows.append(
            (
                "with" if with_gossip else "without",
                round(result["service"], 4),
                result["calls"],
                ", ".join(f"{delay:.1f}" for delay in result["shut_after"]) or "never",
                result["false_shut"],
                result["bytes_a_second"],
                "; ".join(result["broken"]) or "kept",
            )
        )
    if as_json:
        print("\n".join(map(json.dumps, results)))
    else:
        print(
            "\n".join(
                table(("gossip", "service", "calls", "ejected after s", "falsely", "bytes/s a peer", "rules"), rows)
            )
        )
        print("figures from simulated servers")


@app.command()
def decisions(
    name: str = typer.Argument(help="The recorded day: small_fleet or parted_fleet."),
    digest: bool = typer.Option(False, help="Print one checksum for each second instead of every line."),
):
    """Prints every event that the planners of a recorded day receive and every decision that they write, a line each.

    Two versions of the planner decide alike if their output is the same. Otherwise `diff` shows the first event or
    decision in which they differ.
    """
    from cranecleat.rehearsal.recording import DAYS, digests, format_lines, play

    if name not in DAYS:
        fail(f"no recorded day {name!r}; there are {', '.join(DAYS)}")
    for line in (digests if digest else format_lines)(play(DAYS[name]())):
        print(line)
