"""Case 10: discovery is slow just after a new configuration moved it. Drains are kept all the same."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-2"))
from world import SETTINGS, SLACK_MS, TROUBLE, Client, Discovery, Server, World, play  # noqa: E402

SLOW_MS = 700.0  # that discovery takes for each answer, after the move
SIGHUP_MS, KNOWN_MS = 4000.0, 6000.0  # counts as told so long after SIGHUP, and after discovery has it
GRACE_MS = SETTINGS["Rules"]["DrainGraceMs"]


async def case(world: World) -> list[str]:
    record = world.record
    servers = [await Server(f"s-{n}", record).start() for n in range(4)]
    first = await Discovery(record, list(servers)).start()
    gateway = world.gateway(first, SETTINGS | {"MembershipMode": "subscribe"})
    gateway.start()
    await gateway.until_ready()
    second = await Discovery(record, list(servers), SLOW_MS if TROUBLE else 0.0).start()
    second.version = 1000
    asking = True
    client = await Client(world, gateway.address).open()
    number = 0

    async def ask() -> None:
        nonlocal client, number
        while asking:
            if client.closed:
                client = await Client(world, gateway.address).open()
            number += 1
            await client.ask(f"request-{number}")
            await asyncio.sleep(0.03)

    asker = asyncio.create_task(ask())
    await asyncio.sleep(2.0)
    gateway.config["discovery"] = second.address
    gateway.write()
    sighup = gateway.signal(signal.SIGHUP)
    first.listener.close()  # accepts no new connection, and closes the open ones after 1.5 s
    await asyncio.sleep(1.5)
    first.down()
    await asyncio.sleep(0.5)
    drained = servers[0]
    known = await second.change(drained, "Terminating")
    told = max(sighup + SIGHUP_MS, known + KNOWN_MS)
    record("case", f"{drained.name} counts as told at {told:.0f} at the latest, the grace ends at {told + GRACE_MS:.0f}")
    await asyncio.sleep((told + GRACE_MS + 6000.0 - record.ms()) / 1000.0)
    asking = False
    await asker
    late = [a for a in drained.attempts if a.first_byte > told + GRACE_MS + SLACK_MS]
    record("case", f"{len(late)} of {number} requests went to {drained.name} too late")
    return [f"drain: {a.id} sent to {a.server.name} {a.first_byte - told:.0f} ms after it counts as told" for a in late]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
