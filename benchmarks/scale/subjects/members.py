"""Membership: what its plan promises and what it costs one gateway, by gateways."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.scale.installation import PEER_MESSAGES_PER_S
from benchmarks.scale.replay import Datagram, Load, replay
from benchmarks.scale.sampling import MEBIBYTE, Effort, Samples, held_bytes
from petrelhall.capacity.records import Slope
from petrelhall.members.core import Action, Members, MessageReceived, Send, Tick
from petrelhall.members.plan import LOOK_MS, Pace, pace

SHARE, LATE_MS = 0.1, 300.0  # of the messages; longest time that a message takes: the defaults of the operators' file
SPEAKERS = 10  # others whose words are given to the measured core
START_MS = 1e6


def pace_of(gateways: int) -> Pace:
    """Give the paces at a size."""
    return pace(gateways, PEER_MESSAGES_PER_S, SHARE, LATE_MS)


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slopes."""
    yield from planned(effort)
    yield from costs(effort)


def planned(effort: Effort) -> Iterator[Slope]:
    """Yield what the plan states."""
    found = Samples(
        "members.found",
        "Time within which all gateways of a majority hold a dead one failed, as members.plan states it.",
        "ms",
        "gateways",
        "Computed for 10 messages/s to each gateway; below 200 gateways it falls less than the line, to 4.5 s at 5.",
    )
    cut = Samples(
        "members.cut_found",
        "Time within which a cut link between two gateways is found, as members.plan states it.",
        "ms",
        "gateways",
        "Computed, not measured, for 10 messages/s to each gateway.",
    )
    for gateways in effort.planned_members:
        found.add(gateways, pace_of(gateways).found_ms)
    for gateways in effort.gateways:
        cut.add(gateways, pace_of(gateways).hear_ms)
    yield found.slope()
    yield cut.slope()


def costs(effort: Effort) -> Iterator[Slope]:
    """Yield what one gateway spends at rest."""
    messages = Samples(
        "members.messages",
        "Messages that one gateway sends a second at rest, and takes in as many.",
        "messages/s",
        "gateways",
        "A gateway that starts, or comes back, speaks to some of the others beside this.",
    )
    sent_bytes = Samples(
        "members.bytes",
        "Payload that one gateway sends a second at rest, and takes in as much.",
        "bytes/s",
        "gateways",
        "Headers of 28 bytes a message and more are left out; from 100 gateways on messages are full, below the curve.",
    )
    cpu = Samples(
        "members.cpu",
        "CPU that a second of membership takes at one gateway, datagrams on loopback included.",
        "ms/s",
        "gateways",
        "The words come from 10 of the others, all of which hold all for alive; changes and failures are left out.",
    )
    memory = Samples(
        "members.memory",
        "Memory that one core of membership holds.",
        "MiB",
        "gateways",
        "tracemalloc counts objects; news of many simultaneous changes would add to it.",
    )
    for gateways in effort.gateways:
        rest = settled(gateways, effort.seconds)
        for _ in range(effort.repeats):
            load = rest.play()
            messages.add(gateways, load.sent / effort.seconds)
            sent_bytes.add(gateways, load.sent_bytes / effort.seconds)
            cpu.add(gateways, 1000.0 * load.cpu_s / effort.seconds)
        memory.add(gateways, held_bytes(core_of, 0, gateways) / MEBIBYTE)
    for samples in (messages, sent_bytes, cpu, memory):
        yield samples.slope()


def core_of(number: int, gateways: int) -> Members:
    """Give one gateway's core, which knows nobody yet."""
    return Members(number, number + 1, pace_of(gateways), number, START_MS)


def introduce(gateways: int, listeners: list[Members], now: float) -> None:
    """Have every gateway say its first word to the listeners, so that they hold all for alive."""
    for number in range(gateways):
        for content in sent(core_of(number, gateways).handle(now, Tick())):
            for listener in listeners:
                if listener.number != number:
                    listener.handle(now, MessageReceived(number, content))


@dataclass
class Rest:
    """A core that holds all for alive, and what it hears for a while."""

    core: Members
    heard: list[Datagram]
    began_ms: float
    end_ms: float

    def play(self) -> Load:
        """Measure a copy of the core."""
        core = copy.deepcopy(self.core)

        def hear(now: float, sender: int, content: bytes) -> list[bytes]:
            return sent(core.handle(now, MessageReceived(sender, content)))

        def tick(now: float) -> list[bytes]:
            return sent(core.handle(now, Tick()))

        return replay(self.heard, self.began_ms, self.end_ms, LOOK_MS, hear, tick)


def sent(actions: list[Action]) -> list[bytes]:
    """Give the datagrams among actions."""
    return [action.content for action in actions if isinstance(action, Send)]


def settled(gateways: int, seconds: float) -> Rest:
    """Give a core and what some others say, at the rate that the plan lets in."""
    cores = [core_of(number, gateways) for number in range(min(1 + SPEAKERS, gateways))]
    measured, speakers = cores[0], cores[1:]
    began_ms = START_MS + measured.pace.word_ms
    introduce(gateways, cores, began_ms)
    end_ms = began_ms + 1000.0 * seconds
    said: list[Datagram] = []
    now = began_ms
    while now < end_ms:
        now += LOOK_MS
        for speaker in speakers:
            said += [Datagram(now, speaker.number, content) for content in sent(speaker.handle(now, Tick()))]
    taken_in = int(1000.0 * seconds / measured.pace.word_ms)
    heard = said[:: max(1, len(said) // max(1, taken_in))][:taken_in]
    return Rest(measured, heard, began_ms, end_ms)
