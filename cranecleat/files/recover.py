"""What a folder of an earlier life holds: where generations go on, which bodies stand, and what is odd about it."""

from dataclasses import dataclass, field

from cranecleat.files.disk import BODIES, LOCK, ORDERS, OWNER, TABLES
from cranecleat.files.format import UnusableFileError, read_body, read_orders, read_tables

OURS = {TABLES, OWNER, LOCK, BODIES, ORDERS, "back"}


@dataclass(slots=True)
class Found:
    generation: int = 0  # the highest anywhere
    tables: object = None  # the last ones, if they can be used
    bodies: dict = field(default_factory=dict)  # name -> bytes
    orders: dict = field(default_factory=dict)  # proxy -> its orders
    wrong: list = field(default_factory=list)  # (file, what is wrong with it)
    foreign: list = field(default_factory=list)  # names that are none of ours
    swept: int = 0


def scan_folder(disk, sweep=False):
    """Reads a whole folder. Raises OSError where it cannot be read at all."""
    with disk.calls.scandir(disk.root):  # a folder that is not there is no empty one
        pass
    found = Found(swept=disk.sweep() if sweep else 0)
    found.foreign = sorted(called for called, _ in disk.list_files("") if called not in OURS)

    def read(reader, *parts):
        try:
            data = disk.read(*parts)
            return data is not None and reader(data)
        except UnusableFileError as wrong:
            found.wrong.append(("/".join(parts), str(wrong)))
            return None

    for called, version in disk.list_files(BODIES):
        if read(lambda data, called=called: read_body(data, called), BODIES, called):
            found.bodies[called] = version[-1]
    found.tables = read(read_tables, TABLES) or None
    for called, _ in disk.list_files(ORDERS):
        orders = read(read_orders, ORDERS, called)
        if orders and called != str(orders.proxy):
            found.wrong.append((f"{ORDERS}/{called}", f"orders of proxy {orders.proxy}"))
        elif orders:
            found.orders[orders.proxy] = orders
    if found.tables:
        for table, body in found.tables.bodies.items():
            if body not in found.bodies:
                found.wrong.append((TABLES, f"table {table} names body {body}, which does not stand"))
    stamps = [found.tables.header] if found.tables else []
    found.generation = max((s.generation for s in stamps + [o.header for o in found.orders.values()]), default=0)
    return found
