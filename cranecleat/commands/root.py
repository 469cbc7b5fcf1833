"""The root of the command line: the groups of commands, and the commands without a group."""

import sys

import typer

from cranecleat.commands import files, gossip, keys, rehearse

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help="A central planner that computes the routing tables of a layer of plain proxies.",
)
app.add_typer(keys.app, name="keys")
app.add_typer(gossip.app, name="gossip")
app.add_typer(files.app, name="files")
app.add_typer(rehearse.app, name="rehearse")


@app.command()
def serve(
    operator: str = typer.Option(
        None, help="The operator's file, such as deploy/operator.kdl.", envvar="CRANECLEAT_OPERATOR"
    ),
):
    """Runs one coordinator in the foreground, as `python -m cranecleat` without arguments does.

    BALANCER_CONFIG names its configuration. SIGTERM ends it. SIGHUP makes it read the configuration and the operator's
    file again. Exit codes: 0 stopped, 1 the planner failed, 2 it could not start.
    """
    import os

    from cranecleat.service.run import main as run

    if operator:
        os.environ["CRANECLEAT_OPERATOR"] = operator
    raise typer.Exit(run())


@app.command()
def check(
    file: str = typer.Argument(..., help="The operator's file."),
    name: str = typer.Option(None, help="The coordinator that uses the file; checks that the roster lists it."),
):
    """Checks an operator's file and prints each mistake with its line and a correction. Exit code 2 if there is any."""
    from cranecleat.operator.document import DocumentError
    from cranecleat.operator.file import read_operator_file

    try:
        settings = read_operator_file(file, name)
    except DocumentError as error:
        for mistake in error.mistakes:
            print(mistake, file=sys.stderr)
        raise typer.Exit(2) from None
    enabled = [section for section in ("gossip", "files") if getattr(settings, section)]
    print(f"{file}: no mistake; switched on: {', '.join(enabled) or 'nothing'}")


def main():
    app()
