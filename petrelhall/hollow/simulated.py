"""The simulated world of the distribution, watched: its history in the terms of the independent judge."""

from __future__ import annotations

from typing import Any

from petrelhall.configuration.versions import EMPTY
from petrelhall.distribution.learner import PutInForce
from petrelhall.distribution.replica import ControlReplica
from petrelhall.distribution.timing import Timing
from petrelhall.emulate.distribution import Admission, Links, Node, Process, World
from petrelhall.standins.configurations import (
    Acknowledged,
    Admitted,
    Applied,
    Committed,
    Excused,
    Observation,
    Proposed,
    Verdict,
    content_digest,
    judge,
)


class WatchedWorld(World):
    """A world whose processes are watched; of each gateway's admissions under a version the first and last are kept."""

    def __init__(
        self,
        gateways: int,
        seed: int,
        replicas: int = 5,
        distributors: int = 5,
        timing: Timing | None = None,
        links: Links | None = None,
        clocks: bool = True,
    ) -> None:
        self.history: list[Observation] = []
        self.last: dict[int, Admitted] = {}  # by gateway
        self.committed: dict[int, int] = {}  # by replica
        self.named: set[str] = set()
        self.told: set[str] = set()
        super().__init__(
            replicas,
            distributors,
            gateways,
            seed,
            timing=timing,
            links=links,
            on_admission=self.on_admitted,
            clocks=clocks,
        )

    # What is seen

    def start(self, node: Node, forgets: bool = False) -> None:
        """Start a process; a gateway begins with the empty version."""
        super().start(node, forgets)
        if node[0] == "gateway":
            self.history.append(Applied(self.now, node[1], EMPTY.number, EMPTY.digest.hex()))

    def on_admitted(self, admission: Admission, entries: dict[str, bytes]) -> None:
        """Keep the first admission of a gateway under a version, and in the end the last."""
        last = self.last.get(admission.gateway)
        if last is not None and last.version == admission.version:
            self.last[admission.gateway] = Admitted(admission.at, last.gateway, last.version, last.digest)
            return
        if last is not None:
            self.history.append(last)
        digest = content_digest(admission.version, entries)  # of what is served, whatever it is called
        seen = Admitted(admission.at, admission.gateway, admission.version, digest)
        self.last[admission.gateway] = seen
        self.history.append(seen)

    def turn(self, process: Process, event: Any) -> None:
        """Give a process an event, and look what a replica holds for committed before anyone hears of it."""
        super().turn(process, event)
        if isinstance(process.core, ControlReplica):
            self.look_at_replica(process.node[1], process.core)

    def look_at_replica(self, number: int, core: ControlReplica) -> None:
        """Take note of a version that is newly active."""
        consensus = core.consensus
        record = consensus.record
        if consensus.slot < 0 or record.active.number <= self.committed.get(number, -1):
            return
        self.committed[number] = record.active.number
        delta = record.delta
        change = delta.change if delta is not None and delta.target == record.active else ""
        self.history.append(Committed(self.now, record.active.number, record.active.digest.hex(), change))

    def carry_out(self, process: Process, action: Any) -> None:
        """Do as a core says, and take note of what a gateway applies and an operator is told."""
        if isinstance(action, PutInForce) and process.node[0] == "gateway":
            gateway, number = process.node[1], action.version.number
            if action.deltas is None:
                digest = content_digest(number, process.core.document.entries)
                self.history.append(Applied(self.now, gateway, number, digest))
            for delta in action.deltas or ():
                target, base = delta.target, delta.base.number
                self.history.append(Applied(self.now, gateway, target.number, target.digest.hex(), base))
        super().carry_out(process, action)
        for change, outcome in self.outcomes.items():
            if outcome.state == "in force" and change not in self.told:
                self.told.add(change)
                self.history.append(Acknowledged(self.now, change, outcome.version))

    def submit(self, change: str, entries: dict[str, bytes], removed: tuple[str, ...] = ()) -> None:
        """Have an operator ask for a change."""
        if change not in self.named:
            self.named.add(change)
            self.history.append(Proposed(self.now, change, ""))
        super().submit(change, entries, removed)

    def excuse(self, gateway: int, from_ms: float, until_ms: float) -> None:
        """Excuse a gateway that a fault kept from control."""
        self.history.append(Excused(from_ms, until_ms, gateway))

    def verdict(self, grace_ms: float = 10_000.0) -> Verdict:
        """Judge all that was seen so far."""
        history = [*self.history, *self.last.values()]
        return judge(history, self.counts["gateway"], self.now, grace_ms)
