"""Reads the folder that an earlier run has left: from which generation to go on, which bodies exist, and what in it
cannot be used."""

from dataclasses import dataclass, field

from cranecleat.files.disk import BODIES, LOCK, ORDERS, OWNER, TABLES
from cranecleat.files.format import UnusableFileError, read_body, read_orders, read_tables

KNOWN_NAMES = {TABLES, OWNER, LOCK, BODIES, ORDERS, "back"}


@dataclass(slots=True)
class FolderContent:
    """What a scan of the folder has found."""

    generation: int = 0  # the highest generation in the tables and all usable orders
    tables: object = None  # the tables file, if it can be used
    bodies: dict = field(default_factory=dict)  # name -> size in bytes
    orders: dict = field(default_factory=dict)  # proxy -> its orders
    errors: list = field(default_factory=list)  # (file, why it cannot be used)
    foreign: list = field(default_factory=list)  # names that do not belong to the transport
    swept: int = 0  # temporary files removed


def scan_folder(disk, sweep=False):
    """Reads the whole folder. Raises OSError if the folder itself cannot be read."""
    with disk.system_calls.scandir(disk.root):  # raises for a missing folder, which must not pass for an empty one
        pass
    found = FolderContent(swept=disk.sweep() if sweep else 0)
    found.foreign = sorted(name for name, _ in disk.list_files("") if name not in KNOWN_NAMES)

    def read(reader, *parts):
        try:
            data = disk.read(*parts)
            return data is not None and reader(data)
        except UnusableFileError as error:
            found.errors.append(("/".join(parts), str(error)))
            return None

    for name, version in disk.list_files(BODIES):
        if read(lambda data, name=name: read_body(data, name), BODIES, name):
            found.bodies[name] = version[-1]
    found.tables = read(read_tables, TABLES) or None
    for name, _ in disk.list_files(ORDERS):
        orders = read(read_orders, ORDERS, name)
        if orders and name != str(orders.proxy):
            found.errors.append((f"{ORDERS}/{name}", f"holds the orders of proxy {orders.proxy}"))
        elif orders:
            found.orders[orders.proxy] = orders
    if found.tables:
        for table, body in found.tables.bodies.items():
            if body not in found.bodies:
                found.errors.append((TABLES, f"table {table} names body {body}, which does not exist"))
    headers = [found.tables.header] if found.tables else []
    found.generation = max(
        (header.generation for header in headers + [orders.header for orders in found.orders.values()]), default=0
    )
    return found
