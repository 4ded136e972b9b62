"""Memory and CPU of one gateway while many clients send large bodies at once, all passed on.

python -m benchmarks.bodies [--clients 100] [--megabytes 4] [--memory 40]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import sys
import tempfile
import time

from petrelhall.standins.world import free_port, ready, settings, text

CHUNK = b"x" * 65536


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read requests whole, and answer each with the bytes that came."""
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
            left = came = int(length[1]) if length else 0
            while left:
                left -= len(await reader.read(min(left, len(CHUNK))))
            body = str(came).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def send(address: tuple[str, int], number: int, size: int) -> bool:
    """Send one body; tell whether it came whole."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        (
            f"POST /api?client={number:016x} HTTP/1.1\r\nHost: s\r\nX-Request-Id: {number:016x}\r\n"
            "X-Class: enroll-change\r\nX-Contract: district\r\nX-Deadline: 60000m\r\n"
            f"X-Metering: units=1,spread=1,first=0\r\nIdempotency-Key: {number:032x}\r\n"
            f"Content-Length: {size}\r\n\r\n"
        ).encode()
    )
    for _ in range(size // len(CHUNK)):
        writer.write(CHUNK)
        await writer.drain()
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return b" 200 " in answer


def figures(pid: int) -> tuple[float, float]:
    """Give peak memory in MB and CPU in seconds."""
    with open(f"/proc/{pid}/status") as file:
        peak = re.search(r"VmHWM:\s+(\d+)", file.read())
    with open(f"/proc/{pid}/stat") as file:
        parts = file.read().rpartition(")")[2].split()
    return int(peak[1]) / 1024.0 if peak else 0.0, (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


async def main() -> None:
    """Measure."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--clients", type=int, default=100)
    parser.add_argument("--megabytes", type=int, default=4)
    parser.add_argument("--memory", type=float, default=40.0)
    options = parser.parse_args()
    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
    listen, size = free_port(), options.megabytes << 20
    # One server under many names, since the module has a few attempts out at each.
    boxes = [
        {
            "id": f"s{n}",
            "addr": text(server.sockets[0].getsockname()),
            "zone": "room-a",
            "kind": "k",
            "cell": 0,
            "state": "Ready",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(options.clients)
    ]
    config = {
        "name": "n0",
        "listen": text(listen),
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": options.memory},
        "settings": settings(1, 0, 60000.0),
        "known": {"version": 1, "full": True, "servers": boxes},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        gateway = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "petrelhall",
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "EDGE_CONFIG": path, "TMPDIR": folder},
        )
        try:
            await ready(listen)
            before, began, cpu = figures(gateway.pid)[0], time.monotonic(), figures(gateway.pid)[1]
            served = sum(await asyncio.gather(*(send(listen, n, size) for n in range(1, options.clients + 1))))
            after, spent = figures(gateway.pid)
        finally:
            gateway.terminate()
            await gateway.wait()
    took, total = time.monotonic() - began, options.clients * options.megabytes
    print(
        f"{served} of {options.clients} bodies of {options.megabytes} MB served in {took:.1f} s; memory "
        f"{before:.1f} MB idle, {after:.1f} MB at most; CPU {1000.0 * (spent - cpu) / total:.1f} ms a MB"
    )


asyncio.run(main())
