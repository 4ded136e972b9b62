"""Consensus: what its plan states, and what a voter spends at rest, by gateways."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field

from benchmarks.scale.installation import PEER_MESSAGES_PER_S
from benchmarks.scale.replay import Datagram, Load, replay
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, held_bytes
from petrelhall.accord.core import Action, ConsensusCore, MessageReceived, Send, Tick
from petrelhall.accord.plan import TimingParameters, derive_timing
from petrelhall.capacity.records import Slope
from petrelhall.emulate.accord import FILE, TICK_MS, Cores, anything
from petrelhall.emulate.fabric import Fabric, Links

VOTERS, SHARE, LEASE_MS, LATE_MS = 7, 0.3, 2000.0, 300.0  # the defaults of the operators' file
LOSS, DELAY_MS = 0.02, (1.0, 40.0)
SETTLING = 3.0  # leases and fences until a fleet is at rest
VOTER = 0  # a member that votes


def pace_of(gateways: int) -> TimingParameters:
    """Give the paces at a size."""
    return derive_timing(gateways, VOTERS, PEER_MESSAGES_PER_S, SHARE, LEASE_MS, 0.0, LATE_MS, False)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    yield from planned(effort)
    yield from costs(effort)


def planned(effort: Effort) -> Iterator[Slope]:
    """Yield what the plan states."""
    lease = Samples(
        "accord.lease",
        "Life of a lease, as accord.plan states it.",
        "ms",
        "gateways",
        "It is computed, not measured, for 7 voters and 30 messages/s to each gateway.",
    )
    change = Samples(
        "accord.change.silent",
        "Longest time of a change while one gateway is silent, as accord.plan states it.",
        "ms",
        "gateways",
        "It is computed, not measured, for 7 voters and 30 messages/s to each gateway; lost messages add to it.",
    )
    for gateways in effort.gateways:
        lease.add(gateways, pace_of(gateways).lease_duration_ms)
        change.add(gateways, pace_of(gateways).check_ms)
    yield lease.slope()
    yield change.slope()


def costs(effort: Effort) -> Iterator[Slope]:
    """Yield what a voter spends while nothing changes."""
    messages = Samples(
        "accord.messages",
        "Messages that one voter sends a second at rest.",
        "messages/s",
        "gateways",
        "Changes, elections and starts add to it; a gateway that does not vote sends fewer.",
    )
    sent_bytes = Samples(
        "accord.bytes",
        "Payload that one voter sends a second at rest.",
        "bytes/s",
        "gateways",
        "Headers of UDP, IP and Ethernet, 28 bytes a message and more, are left out.",
    )
    cpu = Samples(
        "accord.cpu",
        "CPU that a second of consensus takes at one voter at rest, datagrams on loopback included.",
        "ms/s",
        "gateways",
        "Writing to the folder is left out; larger fleets than those measured take too long to settle in simulation.",
    )
    memory = Samples(
        "accord.memory",
        "Memory that one core of consensus holds after its start.",
        "MiB",
        "gateways",
        "What a voter learns of each member later, and documents of up to 64 KiB of which it keeps 12, add to it.",
    )
    for gateways in effort.simulated_voters:
        rest = settled(gateways, effort.seconds)
        for _ in range(effort.repeats):
            load = rest.play()
            messages.add(gateways, load.sent / effort.seconds)
            sent_bytes.add(gateways, load.sent_bytes / effort.seconds)
            cpu.add(gateways, 1000.0 * load.cpu_s / effort.seconds)
    for gateways in effort.gateways:
        memory.add(gateways, held_bytes(core_of, gateways) / MEBIBYTE)
    for samples in (messages, sent_bytes, cpu, memory):
        yield samples.slope()


def core_of(gateways: int) -> ConsensusCore:
    """Give one core, as it starts."""
    return ConsensusCore(VOTER, 1, pace_of(gateways), FILE, anything, 1, 0.0)


def sent(actions: list[Action]) -> list[bytes]:
    """Give the datagrams among actions."""
    return [action.content for action in actions if isinstance(action, Send)]


@dataclass
class Rest:
    """A voter of a fleet at rest, and what it hears for a while."""

    core: ConsensusCore
    began_ms: float
    end_ms: float
    heard: list[Datagram] = field(default_factory=list)

    def play(self) -> Load:
        """Measure a copy of the core."""
        core = copy.deepcopy(self.core)

        def hear(now: float, sender: int, content: bytes) -> list[bytes]:
            return sent(core.handle(now, MessageReceived(sender, content)))

        def tick(now: float) -> list[bytes]:
            return sent(core.handle(now, Tick()))

        return replay(self.heard, self.began_ms, self.end_ms, TICK_MS, hear, tick)


class RecordingFabric(Fabric):
    """Keeps what one member hears."""

    rest: Rest | None = None

    def give(self, sender: int, receiver: int, content: bytes) -> None:
        """Have a datagram arrive."""
        if self.rest is not None and receiver == VOTER:
            self.rest.heard.append(Datagram(self.now, sender, content))
        super().give(sender, receiver, content)


def settled(gateways: int, seconds: float) -> Rest:
    """Simulate a fleet until it is at rest, and record what a voter hears from then on."""
    driver = Cores(pace_of(gateways), 1)
    fabric = RecordingFabric(driver, gateways, Links(LOSS, DELAY_MS), 1, TICK_MS)
    fabric.run(SETTLING * driver.pace.lease_duration_ms + driver.pace.fence_ms)
    if not all(core.can_admit(fabric.now) for core in fabric.cores.values()):
        raise RuntimeError(f"{gateways} gateways: not all hold a lease at rest")
    fabric.rest = Rest(copy.deepcopy(fabric.cores[VOTER]), fabric.now, fabric.now + 1000.0 * seconds)
    fabric.run(fabric.rest.end_ms)
    return fabric.rest
