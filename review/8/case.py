"""Case 8: a planned restart. What the process had taken before SIGTERM has to get its whole answer before it ends."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from world import SETTINGS, TROUBLE, Attempt, Client, Discovery, Server, World, play  # noqa: E402

PIECE, PIECES, PAUSE_S = 8192, 64, 0.125  # 512 KiB at 64 KiB/s, in small pieces: 8 s, no pause near 2 s
SIGKILL_S = 20.0  # "no sooner than the longest deadline (counted as 3 s where it is longer) and 0.7 s more"
CLIENTS = 4


async def large_answer(server: Server, attempt: Attempt) -> None:
    attempt.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
    for number in range(PIECES):
        attempt.writer.write(bytes([number]) * PIECE)
        await attempt.writer.drain()
        await asyncio.sleep(PAUSE_S)
    server.record(server.name, f"gave all of its answer to {attempt.id}")


async def case(world: World) -> list[str]:
    record = world.record
    servers = [await Server(f"s-{n}", record, behave=large_answer).start() for n in range(3)]
    discovery = await Discovery(record, servers).start()
    gateway = world.gateway(discovery, SETTINGS)
    process = gateway.start()
    await gateway.until_ready()
    await asyncio.sleep(2.0)

    async def ask(number: int) -> str:
        name = f"large-{number}"
        client = await Client(world, gateway.address).open()
        status, body, sent, ended = await client.ask(name, "check-conflicts", deadline_ms=2500)
        if status == "200" and body != b"".join(bytes([n]) * PIECE for n in range(PIECES)):
            return f"{name}: served with something else"
        if status.isdigit():
            return ""
        return f"{name}: sent at {sent:.0f}, got no whole answer ({status}, at {ended:.0f})"

    asks = [asyncio.create_task(ask(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    ended_by_itself = True
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        until = record.ms() + SIGKILL_S * 1000.0
        while process.poll() is None and record.ms() < until:
            await asyncio.sleep(0.02)
        if process.poll() is None:  # what SIGKILL finds of requests before SIGTERM is no break
            ended_by_itself = False
            gateway.signal(signal.SIGKILL)
        else:
            record("n0", f"the process has ended by itself with {process.returncode}")
    found = await asyncio.gather(*asks)
    return [line for line in found if line and (ended_by_itself or "something else" in line)]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
