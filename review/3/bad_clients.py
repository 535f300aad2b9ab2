"""Bad clients: each sends hundreds of requests at once and takes all of them back; others follow it.

Runs as a process of its own: `bad_clients.py HOST PORT CLIENTS REQUESTS SECONDS`.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress

import msgpack
from standins.client import NOTIFICATION, REQUEST, query_params

REST_S = 1.0  # a client reads what it is sent for this long before it closes its connection
RECONNECT_PAUSE_S = 0.05


def requests_taken_back(count: int) -> bytes:
    """Returns the bytes of so many lookups, each followed by its cancellation."""
    data = bytearray()
    for number in range(1, count + 1):
        _, params = query_params("select 1 from sales_1.orders -- 30 ms", 6.0, 30.0)
        data += msgpack.packb([REQUEST, number, "date-lookup", params])
        data += msgpack.packb([NOTIFICATION, "cancel", [number]])
    return bytes(data)


async def read_all(reader: asyncio.StreamReader) -> None:
    """Reads whatever the router sends."""
    with suppress(OSError):
        while await reader.read(1 << 16):
            pass


async def be_bad(address: tuple[str, int], count: int, ends_at: float) -> None:
    """Behaves as one bad client after the other."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(RECONNECT_PAUSE_S)
            continue
        reading = loop.create_task(read_all(reader))
        with suppress(OSError):
            writer.write(requests_taken_back(count))
            await writer.drain()
        await asyncio.sleep(REST_S)
        writer.close()
        reading.cancel()


async def main() -> None:
    """Runs all clients until the time is over."""
    host, port, clients, count, seconds = sys.argv[1:]
    ends_at = asyncio.get_running_loop().time() + float(seconds)
    await asyncio.gather(*(be_bad((host, int(port)), int(count), ends_at) for _ in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(main())
