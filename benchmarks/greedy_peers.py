"""How long usual requests wait while other clients take all that they can get, and what memory the gateway holds.

python -m benchmarks.greedy_peers [--seconds 6] [--memory 96] [--program FOLDER] [KIND ...]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import os
import random
import re
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from petrelhall.standins.world import free_port, ready, settings, text

DEADLINE_MS = 1500.0
SERVERS = 4
SERVER_DELAY_S = 0.02
USUAL_PAUSE_S = 0.1  # between an answer to the usual client and its next request
BATCH_TIMEOUT_S = 10.0  # for the answers to what a greedy client has sent
SEED = 1

STOP_TIMEOUT_S = 20.0

Address = tuple[str, int]
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass(frozen=True)
class Greed:
    """What one kind of greedy client sends again and again, and how many such clients there are."""

    clients: int
    answers: int  # to one batch
    build: Callable[[int], bytes]  # of the batch's number


def request(number: int, request_class: str = "view-schedule", customer: int = 1, extra: str = "") -> bytes:
    """Word a request's head; with ``extra`` lines it is a POST of the keyed class."""
    method = "POST" if extra else "GET"
    lines = [
        f"{method} /api?client={customer:016x} HTTP/1.1",
        "Host: service",
        f"X-Request-Id: {number:016x}",
        f"X-Class: {'enroll-change' if extra else request_class}",
        "X-Contract: district",
        f"X-Deadline: {DEADLINE_MS:.0f}m",
        "X-Metering: units=1,spread=1,first=0",
    ]
    return ("\r\n".join(lines) + "\r\n" + (f"Idempotency-Key: {number}\r\n{extra}" if extra else "")).encode() + b"\r\n"


def chunked(number: int, chunks: bytes) -> bytes:
    """Word a request with a chunked body."""
    return request(number, extra="Transfer-Encoding: chunked\r\n") + chunks


def many(count: int, build_one: Callable[[int], bytes]) -> Callable[[int], bytes]:
    """Return a builder of batches of so many requests."""
    return lambda number: b"".join(build_one(number * count + index) for index in range(count))


CUSTOMERS = random.Random(SEED)
SHORT_PATH = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
KINDS = {
    "none": Greed(0, 0, lambda number: b""),
    "unknown-class": Greed(100, 250, many(250, lambda number: request(number, "no-such-class"))),
    "unknown-path": Greed(100, 2000, lambda number: SHORT_PATH * 2000),
    "health": Greed(100, 2000, lambda number: HEALTH * 2000),
    "refused": Greed(100, 250, many(250, request)),
    "small-chunks": Greed(24, 1, lambda number: chunked(number, b"1\r\nx\r\n" * 60000 + b"0\r\n\r\n")),
    "many-lines": Greed(320, 1, lambda number: request(number, extra="Content-Length: 2\r\n" + "a:\r\n" * 15000)),
    "trailers": Greed(24, 1, lambda number: chunked(number, b"0\r\n" + b"a:\r\n" * 12000 + b"\r\n")),
    "blanks": Greed(4, 1, lambda number: request(number)[:-2] + b"a:" + b"\t" * 16000 + b"\0\r\n\r\n"),
    "customers": Greed(100, 250, many(250, lambda number: request(number, customer=CUSTOMERS.randrange(1 << 32)))),
}


async def skip_body(reader: asyncio.StreamReader, head: bytes) -> None:
    """Read the body of a message with a small one, whose head has been read."""
    length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
    await reader.readexactly(int(length[1]) if length else 0)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request after a while; the gateway sends small bodies with their length."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            await skip_body(reader, await reader.readuntil(b"\r\n\r\n"))
            await asyncio.sleep(SERVER_DELAY_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


async def be_greedy(address: Address, greed: Greed, client: int, until: float) -> None:
    """Send batch after batch, each when the one before is answered or its connection has been closed."""
    number = client << 32
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                while time.monotonic() < until:
                    number += 1
                    writer.write(greed.build(number))
                    if not await asyncio.wait_for(read_answers(reader, greed.answers), BATCH_TIMEOUT_S):
                        break
            finally:
                writer.close()


async def read_answers(reader: asyncio.StreamReader, count: int) -> bool:
    """Read so many answers; tell whether they all came."""
    tail = b""
    while count > 0:
        data = await reader.read(65536)
        if not data:
            return False
        count -= (tail + data).count(b"HTTP/1.1 ")
        tail = (tail + data)[-8:]  # one byte shorter than what is counted
    return True


def run_greedy_clients(address: Address, kind: str, until: float) -> None:
    """Run the clients of a kind in a process of their own."""

    async def run_all() -> None:
        greed = KINDS[kind]
        await asyncio.gather(*(be_greedy(address, greed, client, until) for client in range(greed.clients)))

    asyncio.run(run_all())


async def ask(address: Address, pid: int, until: float, customer: int = 2) -> tuple[list[float], int, float]:
    """Send usual requests one by one: their times in s, how many were not served, and the most memory in MB."""
    times, not_served, memory_mb, number = [], 0, 0.0, customer << 59
    reader, writer = await asyncio.open_connection(*address)
    while time.monotonic() < until:
        number += 1
        sent_at = time.monotonic()
        if reader.at_eof():  # a gateway may close a connection between requests
            writer.close()
            reader, writer = await asyncio.open_connection(*address)
        writer.write(request(number, customer=customer))
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            reader.feed_eof()  # the close crossed the request, which is sent once more
            continue
        await skip_body(reader, head)
        times.append(time.monotonic() - sent_at)
        not_served += b" 200 " not in head
        memory_mb = max(memory_mb, resident_mb(pid))
        await asyncio.sleep(USUAL_PAUSE_S)
    writer.close()
    return times, not_served, memory_mb


def resident_mb(pid: int, field: str = "VmRSS") -> float:
    """Give the resident memory of a process in MB; VmHWM is the most that it ever was."""
    with open(f"/proc/{pid}/status") as file:
        found = re.search(rf"{field}:\s+(\d+)", file.read())
    return int(found[1]) / 1024.0 if found else 0.0


class Gateway:
    """A gateway process with its servers; ``peak_mb`` is the most memory that was resident."""

    def __init__(self, serve_one: Serve, program: str, memory_mb: float, descriptors: int = 1024) -> None:
        self.serve_one, self.program, self.memory_mb, self.descriptors = serve_one, program, memory_mb, descriptors
        self.address, self.peak_mb, self.figures = free_port(), 0.0, ""

    async def __aenter__(self) -> Gateway:
        """Start the servers and the gateway."""
        self.servers = [await asyncio.start_server(self.serve_one, "127.0.0.1", 0) for _ in range(SERVERS)]
        entries = [
            {"id": f"s{n}", "addr": text(server.sockets[0].getsockname()), "zone": "room-a", "kind": "k", "cell": 0}
            | {"state": "Ready", "weight": 1.0, "started_ms": 0}
            for n, server in enumerate(self.servers)
        ]
        config = {
            "name": "n0",
            "listen": text(self.address),
            "discovery": "127.0.0.1:1",
            "seed": "1",
            "limits": {"sockets": self.descriptors, "memory_mb": self.memory_mb},
            "settings": settings(1, 0, DEADLINE_MS),
            "known": {"version": 1, "full": True, "servers": entries},
        }
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "petrelhall",
            cwd=self.program,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "EDGE_CONFIG": path, "TMPDIR": self.folder.name},
        )
        self.pid = self.process.pid
        await ready(self.address)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop the gateway and note its figures."""
        self.peak_mb = resident_mb(self.pid, "VmHWM")
        self.process.send_signal(signal.SIGTERM)
        try:
            _, log = await asyncio.wait_for(self.process.communicate(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            _, log = await self.process.communicate()
        turns = re.search(rb"longest step.*", log)
        self.figures = turns[0].decode() if turns else "no record of turns"
        for server in self.servers:
            server.close()
        self.folder.cleanup()


async def measure(kind: str, options: argparse.Namespace) -> None:
    """Play one kind against a fresh gateway and print its line."""
    async with Gateway(serve, options.program, options.memory) as gateway:
        until = time.monotonic() + options.seconds
        greedy = multiprocessing.Process(target=run_greedy_clients, args=(gateway.address, kind, until), daemon=True)
        greedy.start()
        await asyncio.sleep(1.0)  # all greedy clients are at work
        times, not_served, memory_mb = await ask(gateway.address, gateway.pid, until)
        await asyncio.to_thread(greedy.join, BATCH_TIMEOUT_S)
        greedy.kill()
    print(
        f"{kind}, {KINDS[kind].clients} clients: {len(times)} usual requests, {not_served} not served, "
        f"{1000.0 * statistics.median(times):.0f} ms in the median, {1000.0 * max(times):.0f} ms at most; "
        f"{memory_mb:.0f} MB; {gateway.figures}",
        flush=True,
    )


def kinds_parser(
    description: str | None, kinds: list[str], seconds: float, memory_mb: float
) -> argparse.ArgumentParser:
    """Return a parser of the options that benchmarks with kinds of peers share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("kinds", nargs="*", choices=[[], *kinds], metavar="KIND")
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--memory", type=float, default=memory_mb, help="memory_mb of the gateway")
    parser.add_argument("--program", default=os.getcwd(), help="checkout whose gateway is measured")
    return parser


def main() -> None:
    """Measure the kinds that were named, or all."""
    options = kinds_parser(__doc__, list(KINDS), seconds=6.0, memory_mb=96.0).parse_args()
    for kind in options.kinds or KINDS:
        asyncio.run(measure(kind, options))


if __name__ == "__main__":
    main()
