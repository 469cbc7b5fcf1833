"""`cranecleat keys`: creates and shows a coordinator's key, and compares it with a roster."""

import typer

from cranecleat.commands.tables import fail, table

app = typer.Typer(no_args_is_help=True, help="Keys with which coordinators sign their gossip messages.")


def public_key_of(path):
    from cranecleat.gossip.keys import KeyFileError, read_key_file
    from cranecleat.gossip.seal import Signer

    try:
        return Signer(read_key_file(path)).public
    except KeyFileError as error:
        fail(error)


@app.command()
def new(file: str = typer.Argument(..., help="Where the secret key goes; it must not exist yet.")):
    """Creates a key: writes the secret key to FILE (mode 600) and prints the public one, for every member's roster."""
    from cranecleat.gossip.keys import KeyFileError, create_key_file

    try:
        create_key_file(file)
    except KeyFileError as error:
        fail(error)
    show(file)


@app.command()
def show(file: str = typer.Argument(..., help="A key file.")):
    """Prints the public key of a key file, as `key=` or `next=` of a member expects it, and its fingerprint."""
    from cranecleat.gossip.keys import encode, fingerprint

    public_key = public_key_of(file)
    print(f"{encode(public_key)}  {fingerprint(public_key)}")


@app.command()
def roster(
    file: str = typer.Argument(..., help="The operator's file."),
    key: str = typer.Option(None, help="A key file; the member whose key it is gets marked."),
):
    """Prints the members of the roster with their addresses and the fingerprints of their keys. `mine` marks the member
    whose key --key names.

    To change a key, first create it with `keys new`, add it as next="..." to every roster and send each coordinator
    SIGHUP. Then let the member's own `key` name the new file and send it SIGHUP. Last, remove the old key from every
    roster and send SIGHUP again.
    """
    from cranecleat.gossip.keys import fingerprint
    from cranecleat.operator.document import DocumentError
    from cranecleat.operator.file import read_operator_file

    try:
        section = read_operator_file(file).gossip
    except DocumentError as error:
        fail("\n".join(map(str, error.mistakes)))
    if section is None:
        fail(f"{file} has no 'gossip' section")
    own_key = public_key_of(key) if key else None
    rows = [
        (
            member.name,
            "{}:{}".format(*member.address),
            " then ".join(map(fingerprint, member.keys)),
            "mine" if own_key in member.keys else "",
        )
        for member in section.members
    ]
    print("\n".join(table(("member", "at", "keys", ""), rows)))
