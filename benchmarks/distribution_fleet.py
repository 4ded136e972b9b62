"""How soon a change is in force at all gateways, in simulated time, with all up and under failures.

    python -m benchmarks.distribution_fleet [--gateways 2100] [--one-way-ms 1 --one-way-ms 40] [--json]

The real cores of 5 replicas, 5 distributors and the gateways; clocks run up to 1% apart, nothing is lost but by faults.
Times are from the submission until each gateway that can be reached could admit under the version; one seed.
"""

from __future__ import annotations

import argparse
import json
import time
from dataclasses import asdict, dataclass

from petrelhall.emulate.distribution import Admission, Links, Node, World

REPLICAS = DISTRIBUTORS = 5
MOST_MS = 20_000.0
AT_REST_MS = 1500.0


@dataclass(frozen=True)
class Measured:
    """One change."""

    case: str
    one_way_ms: float
    in_force_ms: float | None
    without_lease_ms: float  # the longest time for which any reachable gateway had none
    mixed: int
    cpu_s: float


class Versions:
    """Counts admissions under a version after one under a later version."""

    def __init__(self) -> None:
        self.latest, self.mixed = -1, 0

    def admitted(self, admission: Admission, entries: dict[str, bytes]) -> None:
        """Hear of an admission."""
        self.mixed += admission.version < self.latest
        self.latest = max(self.latest, admission.version)


class Run:
    """One world, and what is done to it."""

    def __init__(self, gateways: int, one_way_ms: float, seed: int) -> None:
        self.gateways, self.one_way_ms = gateways, one_way_ms
        self.versions = Versions()
        links = Links(delay_ms=(0.8 * one_way_ms, 1.2 * one_way_ms))
        self.world = World(REPLICAS, DISTRIBUTORS, gateways, seed, links=links, on_admission=self.versions.admitted)
        self.unreachable: set[Node] = set()
        self.changes = 0
        assert self.world.run_until(lambda: self.leased() == self.reachable(), MOST_MS) is not None

    def reachable(self) -> int:
        """Give the number of gateways that can be reached."""
        return sum(node[0] == "gateway" and node not in self.unreachable for node in self.world.processes)

    def leased(self, version: int = 0) -> int:
        """Give the number of those that could admit under a version or a later one."""
        found = 0
        for node, process in self.world.processes.items():
            if node[0] == "gateway" and node not in self.unreachable:
                name = process.core.admits(process.clock(self.world.now))
                found += name is not None and name.number >= version
        return found

    def coordinator(self) -> Node:
        """Give the replica that coordinates."""
        replicas = [process.core for node, process in self.world.processes.items() if node[0] == "replica"]
        latest = max((core.consensus for core in replicas), key=lambda consensus: consensus.slot)
        return "replica", latest.record.coordinator

    def change(self, case: str, fault_after_ms: float = 0.0, fault: str = "") -> Measured:
        """Submit a change, and have something happen meanwhile."""
        world, began_cpu, began = self.world, time.process_time(), self.world.now
        change = f"change {self.changes}"
        self.changes += 1
        mixed_before, without, longest = self.versions.mixed, 0.0, 0.0
        world.submit(change, {"key": change.encode()})
        struck = not fault
        in_force: float | None = None
        while in_force is None and world.now - began < MOST_MS:
            world.run(10.0)
            if not struck and world.now - began >= fault_after_ms:
                struck = True
                self.strike(fault)
            without = without + 10.0 if self.leased() < self.reachable() else 0.0
            longest = max(longest, without)
            outcome = world.outcomes.get(change)
            if outcome is not None and outcome.state == "in force" and self.leased(outcome.version) == self.reachable():
                in_force = world.now - began
        mixed = self.versions.mixed - mixed_before
        measured = Measured(case, self.one_way_ms, in_force, longest, mixed, round(time.process_time() - began_cpu, 1))
        world.run(AT_REST_MS)
        return measured

    def strike(self, fault: str) -> None:
        """Have something happen."""
        if fault == "coordinator killed":
            self.world.kill(self.coordinator())
        elif fault == "distributor killed":
            self.world.kill(("distributor", 1))
        elif fault == "replica killed":
            number = next(number for number in range(REPLICAS) if ("replica", number) != self.coordinator())
            self.world.kill(("replica", number))

    def heal(self) -> None:
        """End all faults, and let all come to hold a lease."""
        self.world.links.cut = lambda sender, receiver: False
        self.unreachable.clear()
        for number in range(REPLICAS):
            if ("replica", number) not in self.world.processes:
                self.world.start(("replica", number))
        for number in range(DISTRIBUTORS):
            if ("distributor", number) not in self.world.processes:
                self.world.start(("distributor", number))
        for node in list(self.world.processes):
            self.world.resume(node)
        assert self.world.run_until(lambda: self.leased() == self.reachable(), MOST_MS) is not None
        self.world.run(AT_REST_MS)

    def silence_a_tenth(self) -> None:
        """Have every tenth gateway stand still."""
        for number in range(0, self.gateways, 10):
            self.unreachable.add(("gateway", number))
            self.world.pause(("gateway", number))

    def cut_a_region(self) -> None:
        """Cut a region off that the coordinator is not in."""
        number = (self.coordinator()[1] + 2) % REPLICAS
        region = {("replica", number), ("distributor", number)}
        region |= {("gateway", gateway) for gateway in range(number, self.gateways, DISTRIBUTORS)}
        self.unreachable |= region
        self.world.links.cut = lambda sender, receiver: (sender in region) != (receiver in region)


def measure(gateways: int, one_way_ms: float, seed: int) -> list[Measured]:
    """Make a change in each case."""
    run = Run(gateways, one_way_ms, seed)
    found = [run.change("all up"), run.change("all up, again")]
    run.silence_a_tenth()
    found += [run.change("a tenth stopped"), run.change("a tenth stopped, the next change")]
    run.heal()
    run.cut_a_region()
    found += [run.change("a region cut off"), run.change("a region cut off, the next change")]
    run.heal()
    for fault in ("replica killed", "distributor killed", "coordinator killed"):
        found.append(run.change(fault, 2.5 * one_way_ms, fault))
        run.heal()
    return found


def main() -> None:
    """Measure, and print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--gateways", type=int, default=2100)
    parser.add_argument("--one-way-ms", type=float, action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    found = []
    for one_way_ms in arguments.one_way_ms or [1.0, 40.0]:
        found += measure(arguments.gateways, one_way_ms, arguments.seed)
    if arguments.json:
        print(json.dumps([asdict(one) for one in found], indent=2))
        return
    for one in found:
        took = f"{one.in_force_ms:7.0f} ms" if one.in_force_ms is not None else "  not in force"
        print(f"{one.one_way_ms:4.0f} ms a way  {one.case:36s} {took}  {one.without_lease_ms:6.0f} ms without a lease"
              f"  mixed {one.mixed}  ({one.cpu_s} s of CPU)")  # fmt: skip


if __name__ == "__main__":
    main()
