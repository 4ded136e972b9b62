"""CPU that a gateway takes for a usual request, for several checkouts in turn.

python -m benchmarks.request_cpu [--requests 6000] [--rounds 3] [--memory 96] FOLDER [FOLDER ...]
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time

from benchmarks.greedy_peers import Gateway, request, skip_body

CLIENTS = 8
CUSTOMERS = 200
WARM_UP_REQUESTS = 500
PAUSE_S = 0.03  # between an answer and the client's next request
BODY = b"x" * 200


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request at once."""
    try:
        while True:
            await skip_body(reader, await reader.readuntil(b"\r\n\r\n"))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + BODY)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    with open(f"/proc/{pid}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9


async def ask(gateway: Gateway, client: int, count: int) -> int:
    """Send usual requests one by one, every fourth with a key and a body; return how many were served."""
    reader, writer = await asyncio.open_connection(*gateway.address)
    served = 0
    for index in range(count):
        number = (client + 1 << 32) + index
        extra = "" if index % 4 else f"Content-Length: {len(BODY)}\r\n"
        customer = 1 + (index * CLIENTS + client) % CUSTOMERS
        writer.write(request(number, customer=customer, extra=extra) + (BODY if extra else b""))
        head = await reader.readuntil(b"\r\n\r\n")
        await skip_body(reader, head)
        served += b" 200 " in head
        await asyncio.sleep(PAUSE_S)
    writer.close()
    return served


async def measure(program: str, requests: int, memory_mb: float) -> tuple[float, int]:
    """Return the CPU of a request in microseconds, and how many were not served."""
    async with Gateway(serve, program, memory_mb) as gateway:
        clients = range(CLIENTS)
        await asyncio.gather(*(ask(gateway, CLIENTS + client, WARM_UP_REQUESTS // CLIENTS) for client in clients))
        before = cpu_s(gateway.pid)
        served = await asyncio.gather(*(ask(gateway, client, requests // CLIENTS) for client in clients))
        used = cpu_s(gateway.pid) - before
    sent = requests // CLIENTS * CLIENTS
    return 1e6 * used / sent, sent - sum(served)


def main() -> None:
    """Measure the checkouts in turn."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("programs", nargs="+", metavar="FOLDER")
    parser.add_argument("--requests", type=int, default=6000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--memory", type=float, default=96.0, help="memory_mb of the gateway")
    options = parser.parse_args()
    results: dict[str, list[float]] = {program: [] for program in options.programs}
    for _ in range(options.rounds):
        for program in options.programs:
            cpu_us, not_served = asyncio.run(measure(program, options.requests, options.memory))
            results[program].append(cpu_us)
            print(
                f"{time.strftime('%H:%M:%S')} {program}: {cpu_us:.0f} us a request, {not_served} not served", flush=True
            )
    for program, values in results.items():
        print(f"{program}: {statistics.median(values):.0f} us a request in the median of {len(values)}")


if __name__ == "__main__":
    main()
