"""Plain text tables: aligned columns without colours, the same on every terminal."""

import sys

import typer


def table(headings, rows):
    """The lines of a table. Columns of numbers are aligned to the right, all others to the left."""
    rows = [
        [cell if isinstance(cell, str) else f"{cell:g}" if isinstance(cell, float) else str(cell) for cell in row]
        for row in rows
    ]
    is_numeric = [
        all(row[i].lstrip("-").replace(".", "", 1).isdigit() for row in rows) and rows for i in range(len(headings))
    ]
    widths = [max(len(headings[i]), *(len(row[i]) for row in rows), 0) for i in range(len(headings))]
    return [
        "  ".join(
            cell.rjust(widths[i]) if is_numeric[i] else cell.ljust(widths[i]) for i, cell in enumerate(row)
        ).rstrip()
        for row in [list(headings), *rows]
    ]


def fail(text, code=2):
    """Prints one line on standard error and ends the command with that exit code."""
    print(f"cranecleat: {text}", file=sys.stderr)
    raise typer.Exit(code)
