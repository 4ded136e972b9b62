"""What memory a gateway holds while hundreds of clients are slow or stop half way, and how usual requests fare.

python -m benchmarks.slow_peers [--seconds 8] [--memory 32] [--descriptors 1024] [--peers 300] [KIND ...]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import multiprocessing
import random
import statistics
import time
from collections.abc import Awaitable, Callable

from benchmarks.greedy_peers import Address, Gateway, ask, kinds_parser, request, resident_mb

BYTES_PER_S = 64000.0  # the slowest rate of clients that the platform's pages name
SMALL_BODY_BYTES = 65000  # buffered whole by a gateway
LARGE_BODY_BYTES = 8 << 20
MEDIUM_BODY_BYTES = 400000  # over what is always buffered
ANSWER_BYTES = 8 << 20
GATEWAY_TIMEOUT_S = 12.0  # a gateway ends what a peer leaves unfinished within this time
USUAL_CLIENTS = 4
SEED = 1

Peer = Callable[[Address, int], Awaitable[None]]


@contextlib.asynccontextmanager
async def connection(address: Address):  # type: ignore[no-untyped-def]
    """Connect with small socket buffers, and close in the end."""
    reader, writer = await asyncio.open_connection(*address, limit=16384)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def read_to_end(reader: asyncio.StreamReader, bytes_per_s: float = 1e9) -> None:
    """Read at a limited rate until the gateway closes the connection."""
    while data := await reader.read(8192):
        await asyncio.sleep(len(data) / bytes_per_s)


def post(number: int, length: int) -> bytes:
    """Word the head of a request with a body."""
    return request(number, extra=f"Content-Length: {length}\r\n")


async def stop_after(address: Address, data: bytes) -> None:
    """Send a part of a request, then wait for the gateway's answer or close."""
    async with connection(address) as (reader, writer):
        sending = asyncio.create_task(send(writer, data))
        await asyncio.wait_for(read_to_end(reader), GATEWAY_TIMEOUT_S)
        sending.cancel()


async def send(writer: asyncio.StreamWriter, data: bytes, bytes_per_s: float = 0.0) -> None:
    """Send data, at a limited rate if there is one."""
    step = 65536 if not bytes_per_s else max(1, int(bytes_per_s / 10.0))
    with contextlib.suppress(ConnectionError):
        for at in range(0, len(data), step):
            writer.write(data[at : at + step])
            await writer.drain()
            if bytes_per_s:
                await asyncio.sleep(0.1)


async def send_slowly(address: Address, data: bytes, bytes_per_s: float) -> None:
    """Send a whole request slowly and read its answer."""
    async with connection(address) as (reader, writer):
        sending = asyncio.create_task(send(writer, data, bytes_per_s))
        await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 60.0)
        sending.cancel()


async def silent(address: Address, number: int) -> None:
    """Connect and say nothing."""
    await stop_after(address, b"")


async def half_head(address: Address, number: int) -> None:
    """Send 15 kB of a head and stop."""
    await stop_after(address, request(number)[:-2] + b"X-Long: " + b"x" * 15000)


async def slow_head(address: Address, number: int) -> None:
    """Take 2 s for a head."""
    head = request(number)
    await send_slowly(address, head, len(head) / 1.8)


async def half_body(address: Address, number: int) -> None:
    """Stop just before the end of a body that a gateway buffers."""
    await stop_after(address, post(number, SMALL_BODY_BYTES) + b"x" * (SMALL_BODY_BYTES - 1000))


async def half_medium_body(address: Address, number: int) -> None:
    """Stop half way through a body of some 100 kB."""
    await stop_after(address, post(number, MEDIUM_BODY_BYTES) + b"x" * (MEDIUM_BODY_BYTES // 2))


async def half_large_body(address: Address, number: int) -> None:
    """Stop half way through a body of some MB."""
    await stop_after(address, post(number, LARGE_BODY_BYTES) + b"x" * (LARGE_BODY_BYTES // 2))


async def half_chunked_body(address: Address, number: int) -> None:
    """Stop within a chunked body."""
    head = request(number, extra="Transfer-Encoding: chunked\r\n")
    await stop_after(address, head + b"".join(b"400\r\n" + b"x" * 1024 + b"\r\n" for _ in range(60)))


async def slow_body(address: Address, number: int) -> None:
    """Send a body at the slowest rate that clients may have."""
    await send_slowly(address, post(number, SMALL_BODY_BYTES) + b"x" * SMALL_BODY_BYTES, BYTES_PER_S)


async def short_fields(address: Address, number: int) -> None:
    """Send a head of very many short fields."""
    await stop_after(address, request(number)[:-2] + b"a:\r\n" * 15000)


async def slow_reader(address: Address, number: int) -> None:
    """Read a long answer slowly."""
    async with connection(address) as (reader, writer):
        writer.write(request(number).replace(b"Host: service", b"Host: large"))
        await read_to_end(reader, BYTES_PER_S)


async def stopped_reader(address: Address, number: int) -> None:
    """Ask for a long answer and do not read it."""
    async with connection(address) as (reader, writer):
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(request(number).replace(b"Host: service", b"Host: large"))
        await asyncio.sleep(6.0)


KINDS: dict[str, Peer] = {
    "silent": silent,
    "half-head": half_head,
    "slow-head": slow_head,
    "half-body": half_body,
    "half-medium-body": half_medium_body,
    "half-large-body": half_large_body,
    "half-chunked-body": half_chunked_body,
    "slow-body": slow_body,
    "short-fields": short_fields,
    "slow-reader": slow_reader,
    "stopped-reader": stopped_reader,
}
ALL_KINDS = "all-kinds"


def run_peers(address: Address, kind: str, peers: int, until: float) -> None:
    """Run so many peers, each of which comes back as soon as it was closed, in a process of their own."""
    names = list(KINDS) if kind == ALL_KINDS else [kind]

    async def run_one(index: int) -> None:
        number = (index + 1) << 32
        await asyncio.sleep(random.Random(SEED * 10000 + index).random())
        while time.monotonic() < until:
            number += 1
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
                await KINDS[names[index % len(names)]](address, number)
            await asyncio.sleep(0.02)

    async def run_all() -> None:
        tasks = [asyncio.create_task(run_one(index)) for index in range(peers)]
        await asyncio.sleep(max(0.0, until - time.monotonic()))
        for task in tasks:
            task.cancel()

    asyncio.run(run_all())


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request; a long answer to those that ask for the host ``large``."""
    with contextlib.suppress(asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"transfer-encoding" in head:
                await reader.readuntil(b"0\r\n\r\n")
            elif b"content-length: " in head:
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                while length:
                    length -= len(await reader.readexactly(min(65536, length)))
            await asyncio.sleep(0.02)
            size = ANSWER_BYTES if b"host: large" in head else 2
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for at in range(0, size, 65536):
                writer.write(b"x" * min(65536, size - at))
                await writer.drain()
    writer.transport.abort()


async def measure(kind: str, options: argparse.Namespace) -> None:
    """Play one kind against a fresh gateway and print its line."""
    async with Gateway(serve, options.program, options.memory, options.descriptors) as gateway:
        at_rest_mb = resident_mb(gateway.pid)
        until = time.monotonic() + options.seconds
        process = multiprocessing.Process(
            target=run_peers, args=(gateway.address, kind, options.peers, until), daemon=True
        )
        process.start()
        await asyncio.sleep(1.0)
        asks = (ask(gateway.address, gateway.pid, until, customer) for customer in range(2, 2 + USUAL_CLIENTS))
        results = await asyncio.gather(*asks, return_exceptions=True)
        await asyncio.to_thread(process.join, 5.0)
        process.kill()
    lost = [result for result in results if isinstance(result, BaseException)]
    times = [value for result in results if not isinstance(result, BaseException) for value in result[0]]
    not_served = sum(result[1] for result in results if not isinstance(result, BaseException))
    print(
        f"{kind}, {options.peers} peers, memory_mb {options.memory}: {at_rest_mb:.1f} MB at rest, "
        f"{gateway.peak_mb:.1f} MB at most; {len(times)} usual requests, {not_served} not served, {len(lost)} cut off, "
        f"{1000.0 * statistics.median(times or [0.0]):.0f} ms in the median, {1000.0 * max(times or [0.0]):.0f} ms at "
        f"most; {gateway.figures}",
        flush=True,
    )


def main() -> None:
    """Measure the kinds that were named, or all."""
    kinds = [*KINDS, ALL_KINDS]
    parser = kinds_parser(__doc__, kinds, seconds=8.0, memory_mb=32.0)
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--peers", type=int, default=300)
    options = parser.parse_args()
    for kind in options.kinds or kinds:
        asyncio.run(measure(kind, options))


if __name__ == "__main__":
    main()
