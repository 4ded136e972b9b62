"""A run of hollow gateways under today's control code, where every gateway takes part in consensus: the figures."""

from __future__ import annotations

import msgspec

from petrelhall.hollow.fleet import FleetSettings, HollowFleet
from petrelhall.hollow.usage import MIB, Lateness, ProcessorTime, resident_bytes
from petrelhall.net.log import Log
from petrelhall.net.loop import Loop, now_ms
from petrelhall.standins.configurations import Verdict, judge, quantile

REST_S = 3.0  # in which what the fleet takes at rest is measured
DRAIN_QUIET_MS, DRAIN_MS = 300.0, 5000.0
HEADERS = 28  # bytes of the headers of IP and UDP before each datagram


class Change(msgspec.Struct, frozen=True):
    """How one change went; times since it was proposed, absent where it did not come so far in the run."""

    name: str
    committed_ms: float | None
    in_force_everywhere_ms: float | None
    end: str  # as the gateway that proposed it told its operator


class AtEnd(msgspec.Struct, frozen=True):
    """The gateways that hold one version when the run ends."""

    version: int
    gateways: int
    admitting: int
    oldest_age_ms: float  # of those that admit nothing: since they last could; -1 where one never could


class Datagrams(msgspec.Struct, frozen=True):
    """Where all datagrams went."""

    sent: int
    received: int
    dropped: int  # by a gateway: from nobody known, or too long
    dropped_by_kernel: int  # a receive buffer was full
    unsent: int  # the kernel took them not
    unaccounted: int
    bytes_with_headers: int


class Report(msgspec.Struct, frozen=True):
    """The figures of a run."""

    gateways: int
    seconds: float
    messages_per_s: float
    lease_ms: float  # by the formulas of ``accord.plan``
    ask_ms: float
    started_ms: float | None  # until all could admit; absent where not all could in the run
    core_share_at_rest: float  # of one core, all gateways together
    core_share_in_change: float
    percent_of_core_per_gateway_at_rest: float
    bytes_per_s_per_gateway: float  # out, with headers; as many come in
    messages_per_s_per_gateway: float
    mib_per_gateway: float
    loop_late_ms: tuple[float, float, float]  # median, 99th, most
    datagrams: Datagrams
    changes: tuple[Change, ...]
    in_force_ms: tuple[float, float, float] | None  # commit to in force everywhere: median, 99th, slowest
    at_end: tuple[AtEnd, ...]
    refused_samples: int
    observations: int
    wrong: dict[str, int]
    examples: tuple[str, ...]


def run(settings: FleetSettings, seconds: float, changes: int) -> Report:
    """Run a fleet for so long at most: start, a rest, and changes one after the other (TooFewDescriptors, OSError)."""
    loop = Loop(Log("hollow"))
    memory_before = resident_bytes()
    fleet = HollowFleet(loop, settings)
    try:
        return _Run(fleet, seconds, changes, memory_before).report()
    finally:
        fleet.close()


class _Run:
    """One run."""

    def __init__(self, fleet: HollowFleet, seconds: float, changes: int, memory_before: int) -> None:
        self.fleet, self.seconds, self.changes = fleet, seconds, changes
        self.memory_before = memory_before
        self.lateness = Lateness(fleet.loop)
        self.began = now_ms()
        self.deadline = self.began + 1000.0 * seconds
        self.started_ms: float | None = None
        self.rest_share = self.change_share = 0.0
        self.done: list[Change] = []

    def report(self) -> Report:
        """Run it and work the figures out."""
        fleet = self.fleet
        fleet.start()
        if fleet.run_until(lambda: fleet.everyone_serves(0), self.deadline):
            self.started_ms = now_ms() - self.began
        self.rest()
        processor = ProcessorTime()
        for number in range(1, self.changes + 1):
            if self.started_ms is None or now_ms() >= self.deadline:
                break
            self.done.append(self.change(number))
        self.change_share = processor.share()
        end_ms = now_ms()
        at_end = self.at_end()
        ran_s = (end_ms - self.began) / 1000.0
        memory = resident_bytes() - self.memory_before
        fleet.drain(DRAIN_QUIET_MS, DRAIN_MS)
        verdict = judge(fleet.history, len(fleet.gateways), end_ms, self.grace_ms())
        return self.figures(verdict, at_end, ran_s, memory)

    def rest(self) -> None:
        """Measure what the fleet takes while nothing changes."""
        processor = ProcessorTime()
        until = min(self.deadline, now_ms() + 1000.0 * REST_S)
        self.fleet.run_until(lambda: False, until)
        self.rest_share = processor.share()

    def change(self, number: int) -> Change:
        """Propose a change and wait until it is in force everywhere, or is given up, or the run ends."""
        fleet = self.fleet
        version = fleet.latest() + 1
        proposer = fleet.gateways[number % len(fleet.gateways)]
        began = now_ms()
        name = fleet.propose(number)
        own = proposer.running.core.changes[-1]
        fleet.run_until(lambda: own.state == "nowhere" or fleet.latest() >= version, self.deadline)
        committed = now_ms() - began if fleet.latest() >= version else None
        in_force = None
        if committed is not None and fleet.run_until(lambda: fleet.everyone_serves(version), self.deadline):
            in_force = now_ms() - began
        for gateway in fleet.gateways:
            fleet.observe(gateway)
        return Change(name, committed, in_force, str(own.state))

    def grace_ms(self) -> float:
        """Give the time in which a version that was committed must be in force: the lease of who is away, and more."""
        pace = self.fleet.gateways[0].running.core.pace
        return pace.check_ms

    def at_end(self) -> tuple[AtEnd, ...]:
        """Give who holds which version, and how old it is where it admits nothing."""
        by_version: dict[int, list[tuple[bool, float]]] = {}
        for gateway in self.fleet.gateways:
            served = gateway.served()
            version = served[0] if served is not None else self.fleet.known.get(gateway.number, -1)
            by_version.setdefault(version, []).append((served is not None, gateway.age_ms()))
        found = []
        for version, entries in sorted(by_version.items()):
            ages = [age for admitting, age in entries if not admitting]
            oldest = max(ages, default=0.0)
            found.append(
                AtEnd(version, len(entries), len(entries) - len(ages), -1.0 if oldest == float("inf") else oldest)
            )
        return tuple(found)

    def figures(self, verdict: Verdict, at_end: tuple[AtEnd, ...], ran_s: float, memory: int) -> Report:
        """Put the figures together."""
        fleet, size = self.fleet, len(self.fleet.gateways)
        pace = fleet.gateways[0].running.core.pace
        datagrams = self.datagrams()
        late = sorted(self.lateness.seen)
        took = verdict.in_force_times()
        return Report(
            gateways=size,
            seconds=ran_s,
            messages_per_s=fleet.settings.messages_per_s,
            lease_ms=pace.lease_duration_ms,
            ask_ms=pace.renewal_interval_ms,
            started_ms=self.started_ms,
            core_share_at_rest=self.rest_share,
            core_share_in_change=self.change_share,
            percent_of_core_per_gateway_at_rest=100.0 * self.rest_share / size,
            bytes_per_s_per_gateway=datagrams.bytes_with_headers / ran_s / size,
            messages_per_s_per_gateway=datagrams.sent / ran_s / size,
            mib_per_gateway=memory / MIB / size,
            loop_late_ms=(quantile(late, 0.5), quantile(late, 0.99), quantile(late, 1.0)),
            datagrams=datagrams,
            changes=tuple(self.done),
            in_force_ms=(quantile(took, 0.5), quantile(took, 0.99), took[-1]) if took else None,
            at_end=at_end,
            refused_samples=verdict.refused,
            observations=verdict.observations,
            wrong={mistake.value: count for mistake, count in verdict.counts.items() if count},
            examples=tuple(finding.text for found in verdict.findings.values() for finding in found),
        )

    def datagrams(self) -> Datagrams:
        """Account for all datagrams."""
        fleet = self.fleet
        carried = fleet.broadcast.carried if fleet.broadcast is not None else {}
        sent = fleet.count("sent") + carried.get("sent", 0)
        received, dropped = fleet.count("received") + carried.get("taken", 0), fleet.count("dropped")
        kernel = fleet.dropped_by_kernel()
        return Datagrams(
            sent=sent,
            received=received,
            dropped=dropped,
            dropped_by_kernel=kernel,
            unsent=fleet.count("unsent"),
            unaccounted=sent - received - dropped - kernel,
            bytes_with_headers=fleet.count("bytes") + HEADERS * sent,
        )
