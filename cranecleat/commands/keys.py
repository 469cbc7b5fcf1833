"""`cranecleat keys`: a coordinator's key, made, shown, and held against a roster."""

import typer

from cranecleat.commands.tables import end, table

app = typer.Typer(no_args_is_help=True, help="Keys with which coordinators sign what they tell each other.")


def public_of(path):
    from cranecleat.gossip.keys import KeyFileError, read_key_file
    from cranecleat.gossip.seal import Signer

    try:
        return Signer(read_key_file(path)).public
    except KeyFileError as wrong:
        end(wrong)


@app.command()
def new(file: str = typer.Argument(..., help="Where the secret key goes; it must not exist yet.")):
    """Makes a key: the secret into FILE (mode 600), the public one onto the screen, for every member's roster."""
    from cranecleat.gossip.keys import KeyFileError
    from cranecleat.gossip.keys import create_key_file as make

    try:
        make(file)
    except KeyFileError as wrong:
        end(wrong)
    show(file)


@app.command()
def show(file: str = typer.Argument(..., help="A key file.")):
    """Prints the public key of a key file, as `key=` or `next=` of a member takes it, and its fingerprint."""
    from cranecleat.gossip.keys import encode, fingerprint

    public = public_of(file)
    print(f"{encode(public)}  {fingerprint(public)}")


@app.command()
def roster(
    file: str = typer.Argument(..., help="The operator's file."),
    key: str = typer.Option(None, help="A key file: marks whose it is."),
):
    """Prints who may take part, where, and with which keys (fingerprints); `mine` marks the key of --key.

    To change a key: `keys new`; put it as next="..." into every roster and send SIGHUP to each; let the member's own
    `key` name the new file and send SIGHUP; then leave the old one out of every roster and send SIGHUP again.
    """
    from cranecleat.gossip.keys import fingerprint
    from cranecleat.operator.document import DocumentError
    from cranecleat.operator.file import read_operator_file

    try:
        section = read_operator_file(file).gossip
    except DocumentError as wrong:
        end("\n".join(map(str, wrong.mistakes)))
    if section is None:
        end(f"{file} has no 'gossip' section")
    mine = public_of(key) if key else None
    rows = [
        (
            member.name,
            "{}:{}".format(*member.address),
            " then ".join(map(fingerprint, member.keys)),
            "mine" if mine in member.keys else "",
        )
        for member in section.members
    ]
    print("\n".join(table(("member", "at", "keys", ""), rows)))
