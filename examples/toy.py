"""A small example deployment for one coordinator: discovery, one proxy and one collector.

Run it beside `BALANCER_CONFIG=examples/config.json python -m cranecleat`. It lists three backends, drains one of them
after ten seconds, joins as proxy 0, reports invented calls every second and prints every message from the coordinator.
"""

import asyncio
import contextlib
import json

DISCOVERY_ADDRESS = ("127.0.0.1", 8500)
COORDINATOR_ADDRESS = ("127.0.0.1", 5000)
BACKENDS = {"toy-a": ("north", 40), "toy-b": ("north", 80), "toy-c": ("south", 160)}  # zone, answer time in ms


def encode_list(rev, full, **states):
    """A line of discovery: a full list of backends, or the changes of one. Names have `_` for `-` as keyfields."""
    return json.dumps(
        {
            "rev": rev,
            "all": full,
            "targets": [
                {
                    "uid": name.replace("_", "-"),
                    "endpoint": "127.0.0.1:9",
                    "az": BACKENDS[name.replace("_", "-")][0],
                    "model": "standard",
                    "pod_group": 0,
                    "state": state,
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
                for name, state in states.items()
            ],
        }
    )


async def discovery(reader, writer):
    """Answers a watch: the full list, then a line every two seconds, one of them a change and the others empty."""

    def send_line(line):
        writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))

    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        send_line(encode_list(1, True, toy_a="active", toy_b="active", toy_c="active"))
        for tick in range(1 << 30):
            await asyncio.sleep(2)
            send_line(encode_list(2, False, toy_b="leaving") if tick == 4 else "")
            await writer.drain()


async def connect(first_line):
    """Connects to the coordinator, as soon as it listens, and sends the first line."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*COORDINATOR_ADDRESS)
            writer.write(f"{first_line}\r\n".encode())
            return reader, writer
        await asyncio.sleep(0.5)


async def collector(withdrawn):
    """Reports invented results of the tries from zone north, for each backend that is not withdrawn."""
    while True:
        _, writer = await connect("telemetry locality=north")
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                for name, (_, answer_time) in BACKENDS.items():
                    if name not in withdrawn:
                        writer.write(
                            f"upstream_stats locality=north endpoint={name} total=5 errors=0 rtt={answer_time} "
                            f"interval=1000 metrics=utilization:{answer_time * 5 / 1000},throughput:5\r\n".encode()
                        )
                await writer.drain()
                await asyncio.sleep(1)


async def proxy(withdrawn):
    """Joins, acknowledges messages and prints them."""
    while True:
        reader, writer = await connect("attach node=0 locality=north w=20 cold=1")
        reports = asyncio.ensure_future(report(writer))
        with contextlib.suppress(ConnectionError):
            while line := (await reader.readline()).decode().strip():
                print("message:", line, flush=True)
                fields = dict(field.split("=") for field in line.split(" ")[1:])
                withdrawn.update(filter(None, fields.get("drop", "").split(",")))
                withdrawn.difference_update(fields.get("undrop", "").split(","))
                if "stamp" in fields:
                    writer.write(f"done node=0 nonce={fields['stamp']} latency=1.0\r\n".encode())
        reports.cancel()


async def report(writer):
    """Reports invented calls of both routes every second."""
    while True:
        await asyncio.sleep(1)
        for route in ("read", "write"):
            writer.write(f"client_stats node=0 route={route} total=15 errors=0 interval=1000\r\n".encode())


async def main():
    withdrawn = set()
    async with await asyncio.start_server(discovery, *DISCOVERY_ADDRESS):
        await asyncio.gather(proxy(withdrawn), collector(withdrawn))


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
