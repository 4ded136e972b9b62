"""Case 10: an upgrade while discovery is down. A drain that the old process was told of binds the new one as well."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from world import SETTINGS, SLACK_MS, TROUBLE, Client, Discovery, Server, World, play  # noqa: E402

DOWN_S = 8.0  # "discovery is down for 8 s"
BINDING_MS = 2000.0  # "Discovery news is binding from 2 s after the yes"
GRACE_MS = SETTINGS["Rules"]["DrainGraceMs"]
LONGEST_DEADLINE_S, GRACE_S = 2.5, 0.7


async def case(world: World) -> list[str]:
    record = world.record
    servers = [await Server(f"s-{n}", record).start() for n in range(4)]
    discovery = await Discovery(record, list(servers)).start()
    gateway = world.gateway(discovery, SETTINGS, mgmt=True)  # `known`: the list of now, also for the second process
    old = gateway.start()
    await gateway.until_ready()
    asking, number = True, 0

    async def ask() -> None:
        nonlocal number
        client = await Client(world, gateway.address).open()
        while asking:
            if client.closed:
                client = await Client(world, gateway.address).open()
            number += 1
            await client.ask(f"request-{number}")
            await asyncio.sleep(0.03)

    asker = asyncio.create_task(ask())
    await asyncio.sleep(2.0)
    drained = servers[0]
    await discovery.change(drained, "Terminating")
    await asyncio.sleep(2.0)  # told to the old process, and obeyed
    told = discovery.told_at(drained)
    before = [a for a in drained.attempts if a.first_byte > told + GRACE_MS + SLACK_MS]
    if before:
        return [f"drain: {a.id} sent to {drained.name} before any trouble" for a in before]
    if TROUBLE:
        discovery.silent = True
        record("discovery", "is down: its agent is silent")
    back_at = time.monotonic() + DOWN_S
    gateway.start()  # in the run without trouble as well: discovery tells it the drain
    yes = await gateway.until_ready()
    gateway.signal(signal.SIGTERM, 0)
    kill_at = time.monotonic() + LONGEST_DEADLINE_S + GRACE_S
    while time.monotonic() < kill_at and old.poll() is None:
        await asyncio.sleep(0.05)
    if old.poll() is None:
        gateway.signal(signal.SIGKILL, 0)
    await asyncio.sleep(max(0.0, back_at - time.monotonic()))
    down_ended = record("discovery", "is back")
    discovery.silent = False
    asking = False
    await asker
    bound = max(told, yes + BINDING_MS) + GRACE_MS + SLACK_MS
    record("case", f"told to the gateway at {told:.0f}; yes at {yes:.0f}; bound from {bound:.0f}; back at {down_ended:.0f}")
    late = [a for a in drained.attempts if a.first_byte > bound]
    return [f"drain: {a.id} sent to {drained.name} {a.first_byte - told:.0f} ms after the gateway was told, "
            f"{a.first_byte - yes:.0f} ms after the yes" for a in late]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
