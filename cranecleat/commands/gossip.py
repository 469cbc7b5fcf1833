"""`cranecleat gossip`: shows what a running coordinator knows of its peers, from the status file that it writes."""

import json
import time

import typer

from cranecleat.commands.tables import fail, table

app = typer.Typer(no_args_is_help=True, help="What a running coordinator receives from its peers.")
OUTDATED_AFTER_SECONDS = 5.0  # the coordinator replaces the file once a second


@app.callback()
def every():
    """What a running coordinator receives from its peers."""


@app.command()
def status(
    file: str = typer.Argument(..., help="The file that `status` in the operator's file names."),
    as_json: bool = typer.Option(False, "--json", help="The content of the file."),
):
    """Prints the members, the claims about backends that do not answer, and how many messages were refused and why.

    Exit code 1 if the file is older than five seconds: the coordinator does not run or does not respond.
    """
    try:
        with open(file, encoding="utf-8") as opened:
            content = json.load(opened)
    except OSError as failure:
        fail(f"{file}: {failure.strerror}; `status` in the operator's file names it")
    except ValueError:
        fail(f"{file} is no status file")
    age = time.time() - content["at"]
    if as_json:
        print(json.dumps(content, indent=1))
    else:
        print("\n".join(report_lines(content)))
    if age > OUTDATED_AFTER_SECONDS:
        print(f"as of {age:.0f} s ago: the coordinator does not run or does not respond")
        raise typer.Exit(1)


def report_lines(content):
    """The status file as lines of text."""
    lines = [
        f"{content['me']} of group {content['group']}, life {content['life']}, "
        f"own health {content['health']} (0 is well)",
        "",
    ]
    lines += table(
        ("member", "state", "for s", "life"),
        [(name, member["state"], member["seconds"], member["life"]) for name, member in content["members"].items()],
    )
    lines += ["", "claims about backends that do not answer (key: missing answers):"]
    lines += [
        f"  {name}: " + ", ".join(f"{key} {missing}" for key, missing in claims.items())
        for name, claims in content["claims"].items()
    ] or ["  none"]
    lines.append(
        "missing answers counted here (without the largest claims): "
        + (", ".join(f"{key} {missing}" for key, missing in content["pooled"].items()) or "none")
    )
    counts = content["counts"]
    lines.append(
        f"datagrams: {counts.get('sent', 0)} sent ({counts.get('sent_bytes', 0)} bytes), "
        f"{counts.get('received', 0)} received, {counts.get('held_back', 0)} held back by the rate limit"
    )
    lines.append(
        "refused: " + (", ".join(f"{reason} {count}" for reason, count in content["refused"].items()) or "none")
    )
    return lines
