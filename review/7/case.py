"""Case 7: an upgrade. A request that came to the old process 1 s after SIGTERM has to get its whole answer."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from world import SETTINGS, TROUBLE, Attempt, Client, Discovery, Server, World, play  # noqa: E402

PIECE, PIECES, PAUSE_S = 8192, 32, 0.125  # 256 KiB at 64 KiB/s, in small pieces: 4 s, no pause near 2 s
LONGEST_DEADLINE_S, GRACE_S = 2.5, 0.7  # SIGKILL comes so long after SIGTERM
KEPT = 6


async def large_answer(server: Server, attempt: Attempt) -> None:
    """Answer a usual request with 100 bytes at once, and one whose name begins with "large" with 256 KiB."""
    if not attempt.id.startswith("large"):
        await asyncio.sleep(0.03)
        return await attempt.answer(b"x" * 100)
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
    gateway = world.gateway(discovery, SETTINGS, mgmt=True)
    old = gateway.start()
    await gateway.until_ready()
    await asyncio.sleep(2.0)
    clients = [await Client(world, gateway.address).open() for _ in range(KEPT)]
    for number, client in enumerate(clients):  # connections that the clients keep
        status, *_ = await client.ask(f"first-{number}")
        if status != "200":
            return [f"first-{number}: {status} before any trouble"]
    killer = None
    if TROUBLE:
        gateway.start()
        await gateway.until_ready()
        gateway.signal(signal.SIGTERM, 0)
        sigterm_at = time.monotonic()

        async def kill() -> None:
            await asyncio.sleep(sigterm_at + LONGEST_DEADLINE_S + GRACE_S - time.monotonic())
            if old.poll() is None:
                gateway.signal(signal.SIGKILL, 0)
            else:
                record("n0", "process 1 has ended by itself")

        killer = asyncio.create_task(kill())
    await asyncio.sleep(1.0)

    async def ask(number: int, client: Client) -> str:
        """Send on the kept connection while it stays open, as clients do; on a new one if it was closed."""
        name = f"large-{number}"
        for _ in range(2):
            if client.closed:
                client = await Client(world, gateway.address).open()
            status, body, sent, ended = await client.ask(name, "check-conflicts", deadline_ms=2500)
            if status in ("closed", "reset") and not any(a.id == name for s in servers for a in s.attempts):
                record("client", f"{name} crossed the close of its connection: once more on a new one")
                continue
            break
        whole = b"".join(bytes([n]) * PIECE for n in range(PIECES))
        if status == "200" and body != whole:
            return f"{name}: served with something else"
        if status.isdigit():
            return ""
        return f"{name}: sent at {sent:.0f}, got no whole answer ({status}, at {ended:.0f})"

    found = await asyncio.gather(*(ask(number, client) for number, client in enumerate(clients)))
    if killer is not None:
        await killer
    return [line for line in found if line]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
