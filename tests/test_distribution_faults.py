"""Configuration distribution in simulated time: real cores of replicas, distributors and gateways under faults.

The judge (``version_judge``) shares no code with the cores. Mistakes are put into the cores on purpose, to see that it
finds them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document
from petrelhall.configuration.versions import Entry, VersionName
from petrelhall.distribution.coordinator import Coordinator
from petrelhall.distribution.learner import Learner, NoChecks, UpdateReceived
from petrelhall.distribution.messages import Update
from petrelhall.distribution.timing import Timing
from petrelhall.emulate.distribution import Admission, Links, Node, World
from tests.version_judge import Judge

TIMING = Timing()
STARTED_MS = 8000.0  # after which all must hold a lease when all started at once
LAN_ROUND_MS, LAN_DECISION_MS = 100.0, 250.0  # what rounds and decisions take at most, with links of 0.5 to 2 ms


class Scene:
    """A world with its judge."""

    def __init__(self, replicas: int, distributors: int, gateways: int, seed: int = 1, **options: Any) -> None:
        self.judge = Judge()
        self.world = World(replicas, distributors, gateways, seed, on_admission=self.admitted, **options)
        self.submitted: dict[str, dict[str, bytes]] = {}

    def admitted(self, admission: Admission, entries: dict[str, bytes]) -> None:
        """Tell the judge."""
        self.judge.admitted(
            admission.at, admission.gateway, admission.incarnation, admission.version, admission.digest, entries
        )

    def start(self) -> Scene:
        """Let all come to hold a lease."""
        assert self.world.run_until(self.all_lease, STARTED_MS) is not None
        return self

    def all_lease(self) -> bool:
        """Tell whether every gateway that is there could admit."""
        world = self.world
        return all(
            process.core.admits(process.clock(world.now)) is not None
            for node, process in world.processes.items()
            if node[0] == "gateway" and not process.paused
        )

    def submit(self, change: str) -> None:
        """Submit a change of an entry of its own, and of one that all changes share."""
        self.submitted[change] = {f"own-{change}": change.encode(), "shared": change.encode()}
        self.world.submit(change, self.submitted[change])

    def change(self, change: str, most: float) -> float | None:
        """Submit a change, and give the time until it is in force everywhere."""
        self.submit(change)
        return self.world.run_until(lambda: self.world.in_force_everywhere(change), most)

    def coordinator(self) -> int:
        """Give the number of the replica that the latest record in force names."""
        cores = [process.core for node, process in self.world.processes.items() if node[0] == "replica"]
        latest = max((core.consensus for core in cores), key=lambda consensus: consensus.slot)
        number: int = latest.record.coordinator
        return number

    def assert_clean(self) -> None:
        """Nothing mixed, nothing spoilt; each change that was told to be in force is there once, at every gateway."""
        assert self.judge.mixed == []
        assert self.judge.spoilt == []
        assert self.judge.admissions > 0
        outcomes = self.world.outcomes
        in_force = [change for change in self.submitted if change in outcomes and outcomes[change].state == "in force"]
        assert self.world.activations_doubled() == []
        for node, process in self.world.processes.items():
            if node[0] == "gateway" and process.core.document.name == process.core.active:
                entries = process.core.document.entries
                for change in in_force:
                    if outcomes[change].version <= process.core.document.name.number:
                        assert entries[f"own-{change}"] == change.encode(), (node, change)

    def settled(self) -> bool:
        """Tell whether every change's end is known, and what is in force is so at every gateway."""
        ended = all(map(self.world.ended, self.submitted))
        in_force = [change for change in self.submitted if ended and self.world.outcomes[change].state == "in force"]
        return ended and self.all_lease() and all(map(self.world.in_force_everywhere, in_force))

    def assert_settled(self, most: float) -> None:
        """Every change's end is known, and all gateways hold a lease on one version with all that is in force."""
        world = self.world
        assert world.run_until(self.settled, most) is not None, (world.outcomes, world.notes[-5:])
        in_force = {change for change in self.submitted if world.outcomes[change].state == "in force"}
        for node, process in world.processes.items():
            if node[0] == "gateway":
                own = {key[4:] for key in process.core.document.entries if key.startswith("own-")}
                assert own == in_force, node
        self.assert_clean()


def test_with_all_up_changes_are_in_force_within_the_bound() -> None:
    scene = Scene(5, 3, 12).start()
    for number in range(5):
        took = scene.change(f"c{number}", 5000.0)
        assert took is not None and took <= TIMING.change_ms(LAN_ROUND_MS, LAN_DECISION_MS), took
        scene.world.run(300.0)
    scene.assert_settled(1000.0)


@pytest.mark.parametrize("silent", [1, 3, 6])
@pytest.mark.parametrize("how", ["paused", "killed", "cut off"])
def test_silent_gateways_cost_one_lease_at_most(silent: int, how: str) -> None:
    scene = Scene(5, 3, 12, seed=silent).start()
    gone: set[Node] = {("gateway", number) for number in range(silent)}
    for node in gone:
        if how == "paused":
            scene.world.pause(node)
        elif how == "killed":
            scene.world.kill(node)
    if how == "cut off":
        scene.world.links.cut = lambda sender, receiver: sender in gone or receiver in gone
    scene.submit("c0")
    bound = TIMING.change_silent_ms(LAN_ROUND_MS, LAN_DECISION_MS)

    def others_have_it() -> bool:
        """Tell whether all that can be reached could admit by it."""
        outcome = scene.world.outcomes.get("c0")
        return (
            outcome is not None
            and outcome.state == "in force"
            and all(
                (name := process.core.admits(process.clock(scene.world.now))) is not None
                and name.number >= outcome.version
                for node, process in scene.world.processes.items()
                if node[0] == "gateway" and node not in gone
            )
        )

    took = scene.world.run_until(others_have_it, 10_000.0)
    assert took is not None and took <= bound, took
    second = scene.change("c1", 1.0)  # submitted while they are still gone: their leases are over
    assert second is None
    took = scene.world.run_until(
        lambda: scene.world.ended("c1") and scene.world.outcomes["c1"].state == "in force", 5000.0
    )
    assert took is not None and took <= TIMING.change_ms(LAN_ROUND_MS, LAN_DECISION_MS), took
    scene.world.links.cut = lambda sender, receiver: False
    for node in gone:
        if how == "killed":
            scene.world.start(node)
        scene.world.resume(node)
    scene.assert_settled(8000.0)


def test_a_gateway_that_was_stopped_past_its_lease_admits_nothing_when_it_goes_on() -> None:
    scene = Scene(3, 2, 4).start()
    scene.world.pause(("gateway", 0))
    for number in range(3):
        assert scene.change(f"c{number}", 5000.0) is not None
    before = scene.judge.latest
    process = scene.world.processes["gateway", 0]
    assert process.core.admits(process.clock(scene.world.now)) is None
    scene.world.resume(("gateway", 0))
    scene.assert_settled(4000.0)
    assert before == 3


@pytest.mark.parametrize("after", [1.0, 20.0, 60.0, 100.0, 150.0, 200.0, 250.0, 300.0])
@pytest.mark.parametrize("how", ["killed", "paused", "cut off"])
def test_the_coordinator_gone_in_mid_change_costs_no_more_than_the_bound(after: float, how: str) -> None:
    scene = Scene(5, 3, 8, seed=int(after)).start()
    scene.submit("c0")
    scene.world.run(after)
    node = "replica", scene.coordinator()
    if how == "killed":
        scene.world.kill(node)
    elif how == "paused":
        scene.world.pause(node)
    else:
        scene.world.links.cut = lambda sender, receiver: node in (sender, receiver)
    took = scene.world.run_until(lambda: scene.world.in_force_everywhere("c0"), 10_000.0)
    late = TIMING.wait_ms + TIMING.late_ms + TIMING.jitter_ms  # distributors that followed it must find out
    bound = TIMING.change_takeover_ms(LAN_ROUND_MS, LAN_DECISION_MS) + late
    assert took is not None and took <= bound, took
    scene.world.links.cut = lambda sender, receiver: False
    if how == "killed":
        scene.world.start(node)
    scene.world.resume(node)
    scene.submit("c1")
    scene.assert_settled(8000.0)


@pytest.mark.parametrize("how", ["killed", "paused"])
def test_a_distributor_gone_in_mid_change(how: str) -> None:
    scene = Scene(5, 3, 12, seed=4).start()
    scene.submit("c0")
    scene.world.run(40.0)
    node = "distributor", 1
    (scene.world.kill if how == "killed" else scene.world.pause)(node)
    took = scene.world.run_until(lambda: scene.world.in_force_everywhere("c0"), 10_000.0)
    assert took is not None and took <= TIMING.change_silent_ms(LAN_ROUND_MS, LAN_DECISION_MS) + 750.0, took
    assert scene.change("c1", 5000.0) is not None
    if how == "killed":
        scene.world.start(node)
    scene.world.resume(node)
    scene.submit("c2")
    scene.assert_settled(8000.0)


def test_a_region_that_is_cut_off_changes_nothing_and_catches_up() -> None:
    scene = Scene(5, 5, 10, seed=5).start()
    region: set[Node] = {("replica", 2), ("distributor", 2), ("gateway", 2), ("gateway", 7)}
    scene.world.links.cut = lambda sender, receiver: (sender in region) != (receiver in region)
    scene.submit("c0")
    took = scene.world.run_until(
        lambda: scene.world.ended("c0") and scene.world.outcomes["c0"].state == "in force", 10_000.0
    )
    bound = TIMING.change_silent_ms(LAN_ROUND_MS, LAN_DECISION_MS, replica_silent=True)
    assert took is not None and took <= bound, took
    scene.world.run(28_000.0)
    for number in (2, 7):
        core = scene.world.processes["gateway", number].core
        assert core.document.name.number == 0  # its last version, by which nothing leased is served
        assert core.admits(scene.world.processes["gateway", number].clock(scene.world.now)) is None
    scene.submit("c1")
    scene.world.run(3000.0)
    scene.world.links.cut = lambda sender, receiver: False
    scene.assert_settled(8000.0)


def test_replicas_that_lack_content_find_one_that_has_it() -> None:
    scene = Scene(5, 3, 6, seed=61).start()
    for number in (0, 1, 3):  # those that come back empty could follow each other for ever
        scene.world.kill(("replica", number))
        if number != 3:
            scene.world.run(1000.0)
            scene.submit(f"c{number}")
            scene.world.run(3000.0)
        scene.world.contents.pop(number)
    for number in (0, 1, 3):
        scene.world.start(("replica", number))
    scene.submit("last")
    began = scene.world.now
    scene.assert_settled(15_000.0)
    # Gateways may settle before the last replica has found the content; it has what is left of the same time.
    replicas = [scene.world.processes["replica", number].core for number in range(5)]
    left = 15_000.0 - (scene.world.now - began)
    assert (
        scene.world.run_until(lambda: all(replica.document.name.number == 3 for replica in replicas), left) is not None
    )


def test_a_replica_that_is_cut_off_from_the_others_loses_its_distributors() -> None:
    scene = Scene(5, 3, 6, seed=62).start()
    alone: Node = ("replica", 1)
    scene.world.links.cut = lambda sender, receiver: (
        alone in (sender, receiver) and sender[0] == receiver[0] == "replica"
    )
    scene.submit("c0")
    took = scene.world.run_until(lambda: scene.world.in_force_everywhere("c0"), 15_000.0)
    assert took is not None and took <= 6000.0, took  # the gateways behind it are there again
    assert scene.change("c1", 5000.0) is not None
    scene.world.links.cut = lambda sender, receiver: False
    scene.assert_settled(8000.0)


def test_without_a_majority_of_replicas_nothing_changes_and_leases_end() -> None:
    scene = Scene(5, 3, 6, seed=6).start()
    assert scene.change("c0", 5000.0) is not None
    for number in range(3):
        scene.world.kill(("replica", number))
    scene.submit("c1")
    scene.world.run(3 * TIMING.lease_ms)
    assert not scene.world.ended("c1")
    assert all(
        process.core.admits(process.clock(scene.world.now)) is None and process.core.document.name.number == 1
        for node, process in scene.world.processes.items()
        if node[0] == "gateway"
    )
    for number in range(3):
        scene.world.start(("replica", number))
    scene.assert_settled(15_000.0)


def test_all_starting_at_once_fetch_the_whole_within_the_bound_of_slots() -> None:
    timing = replace(TIMING, kept_deltas=2, part_entries=1, whole_slots=3, whole_retry_ms=300)
    scene = Scene(3, 2, 20, seed=7, timing=timing, links=Links(delay_ms=(10.0, 20.0))).start()
    for number in range(6):
        assert scene.change(f"c{number}", 5000.0) is not None
    for number in range(20):
        scene.world.kill(("gateway", number))
    for number in range(20):
        scene.world.start(("gateway", number))
    most = 0
    for _ in range(800):
        scene.world.run(10.0)
        for number in range(2):
            most = max(most, len(scene.world.processes["distributor", number].core.publisher.fetches))
    assert most == 3
    assert sum("whole version" in what for _, node, what in scene.world.notes if node[0] == "gateway") == 20
    scene.assert_settled(2000.0)


def test_quiet_failover_of_the_coordinator_costs_little_of_a_lease() -> None:
    scene = Scene(5, 3, 8, seed=8).start()
    assert scene.change("c0", 5000.0) is not None
    scene.world.run(1000.0)
    scene.world.kill(("replica", scene.coordinator()))
    without = 0.0
    for _ in range(400):
        scene.world.run(10.0)
        without += 10.0 * (not scene.all_lease())
    assert scene.all_lease() and without <= 200.0, without


class Refuses(NoChecks):
    """Refuses the entries of one change."""

    def __init__(self, key: str) -> None:
        self.key = key

    def delta(self, document: Document, delta: Delta) -> str:
        """Refuse it."""
        return "cannot be served" if any(entry.key == self.key for entry in delta.put) else ""


def test_content_that_one_gateway_refuses_is_in_force_nowhere() -> None:
    scene = Scene(3, 2, 6, seed=9, checks=lambda number: Refuses("own-bad") if number == 4 else NoChecks()).start()
    assert scene.change("good", 5000.0) is not None
    scene.submit("bad")
    assert scene.world.run_until(lambda: scene.world.ended("bad"), 5000.0) is not None
    outcome = scene.world.outcomes["bad"]
    assert (outcome.state, outcome.reason) == ("refused", "gateway 4: cannot be served")
    assert scene.change("next", 5000.0) is not None
    scene.assert_settled(1000.0)


class SpoiltLearner(Learner):
    """Gets the content of one version spoilt, as often as it is sent as a change."""

    spoilt_version = 2

    def on_update(self, now: float, event: UpdateReceived) -> None:
        """Spoil what comes."""
        changes = tuple(
            msgspec.structs.replace(delta, put=(Entry(delta.put[0].key, b"spoilt"), *delta.put[1:]))
            if delta.target.number == self.spoilt_version and self.number == 1
            else delta
            for delta in event.update.changes
        )
        super().on_update(now, UpdateReceived(event.link, msgspec.structs.replace(event.update, changes=changes)))


def test_spoilt_content_is_never_in_force() -> None:
    scene = Scene(3, 2, 4, seed=10, learner=SpoiltLearner).start()
    for number in range(4):
        scene.submit(f"c{number}")
        assert scene.world.run_until(lambda number=number: scene.world.ended(f"c{number}"), 8000.0) is not None  # type: ignore[misc]
        scene.world.run(500.0)
    scene.assert_settled(15_000.0)
    assert any("digest" in what and node == ("gateway", 1) for _, node, what in scene.world.notes)
    assert any("whole version" in what and node == ("gateway", 1) for _, node, what in scene.world.notes)


# Random faults

REPLICAS, DISTRIBUTORS, GATEWAYS = 3, 2, 4
NODES: list[Node] = (
    [("replica", number) for number in range(REPLICAS)]
    + [("distributor", number) for number in range(DISTRIBUTORS)]
    + [("gateway", number) for number in range(GATEWAYS)]
)
FAULTS = st.one_of(
    st.tuples(st.just("submit"), st.just(0)),
    st.tuples(st.just("kill"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("start"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("pause"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("resume"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("alone"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("one way"), st.integers(0, len(NODES) - 1)),
    st.tuples(st.just("heal"), st.just(0)),
    st.tuples(st.just("loss"), st.integers(0, 30)),
    st.tuples(st.just("repeat"), st.integers(0, 50)),
    st.tuples(st.just("delay"), st.integers(1, 300)),
)


def strike(scene: Scene, fault: str, place: int, number: int) -> None:
    """Have one thing happen."""
    world, node = scene.world, NODES[place % len(NODES)]
    if fault == "submit":
        scene.submit(f"c{number}")
    elif fault == "kill":
        world.kill(node)
    elif fault == "start" and node not in world.processes:
        world.start(node)
    elif fault == "pause":
        world.pause(node)
    elif fault == "resume":
        world.resume(node)
    elif fault == "alone":
        world.links.cut = lambda sender, receiver: node in (sender, receiver)
    elif fault == "one way":
        world.links.cut = lambda sender, receiver: receiver == node
    elif fault == "heal":
        world.links.cut = lambda sender, receiver: False
    elif fault == "loss":
        world.links.loss = place / 100.0
    elif fault == "repeat":
        world.links.repeat = place / 100.0
    elif fault == "delay":
        world.links.delay_ms = 0.5, 0.5 + place


def heal(world: World) -> None:
    """End all faults."""
    world.links.loss, world.links.repeat, world.links.delay_ms = 0.0, 0.0, (0.5, 2.0)
    world.links.cut = lambda sender, receiver: False
    for node in NODES:
        if node not in world.processes:
            world.start(node)
        world.resume(node)


@settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.integers(0, 2**16), st.lists(st.tuples(st.integers(1, 1500), FAULTS), min_size=3, max_size=14))
def test_any_faults_leave_one_version_at_once_and_no_change_lost_or_doubled(
    seed: int, plan: list[tuple[int, tuple[str, int]]]
) -> None:
    scene = Scene(REPLICAS, DISTRIBUTORS, GATEWAYS, seed).start()
    for number, (wait, (fault, place)) in enumerate(plan):
        strike(scene, fault, place, number)
        scene.world.run(float(wait))
    scene.assert_clean()
    heal(scene.world)
    scene.submit("last")
    scene.assert_settled(30_000.0)


# Mistakes on purpose: the judge must find each


class CountsOldLease(Learner):
    """Serves a later version by the lease on an earlier one."""

    def admits(self, now: float) -> VersionName | None:
        """Look at the time only."""
        return self.document.name if now < self.lease_until else None


class CountsFromAnswer(Learner):
    """Counts its lease from when the answer came, and goes on past it."""

    def take_grant(self, update: Update) -> None:
        """Hold it for twice its time."""
        super().take_grant(update)
        if update.grant is not None:
            self.lease_until = self.sent_at + 2.0 * self.timing.lease_ms


class IgnoresActive(Learner):
    """Goes on by its lease although it has heard of a later version."""

    def admits(self, now: float) -> VersionName | None:
        """Look at its own version only."""
        return self.document.name if now < self.lease_until and self.lease_version == self.document.name else None


def run_changes(scene: Scene, changes: int, disturb: Callable[[int], None] | None = None) -> None:
    """Make some changes, and disturb each in the middle."""
    for number in range(changes):
        scene.submit(f"c{number}")
        scene.world.run(30.0)
        if disturb is not None:
            disturb(number)
        scene.world.run(3500.0)


def test_the_judge_finds_a_lease_that_is_counted_too_long() -> None:
    scene = Scene(3, 2, 4, seed=11, learner=CountsFromAnswer).start()
    gone: set[Node] = {("gateway", 0)}
    scene.world.links.cut = lambda sender, receiver: sender in gone or receiver in gone
    run_changes(scene, 2)
    assert scene.judge.mixed


def test_the_judge_finds_an_old_lease_that_is_counted_for_a_new_version() -> None:
    scene = Scene(3, 2, 6, seed=12, learner=CountsOldLease).start()
    run_changes(scene, 3)
    assert scene.judge.mixed


def test_the_judge_finds_a_coordinator_that_does_not_wait_for_earlier_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Coordinator, "is_clear", lambda self, now: True)
    scene = Scene(3, 2, 6, seed=13).start()
    gone: set[Node] = {("gateway", 0)}
    scene.submit("c0")
    assert scene.world.run_until(lambda: scene.world.ended("c0"), 5000.0, step=0.5) is not None
    # Activated: gateway 0, which is prepared, has not heard of it and admits by its lease.
    scene.world.links.cut = lambda sender, receiver: sender in gone or receiver in gone
    scene.world.run(4000.0)
    assert scene.judge.mixed


def test_the_judge_finds_a_new_coordinator_without_a_fence(monkeypatch: pytest.MonkeyPatch) -> None:
    def without_fence(self: Coordinator, now: float, event: Any) -> None:
        """Take in what is in force, and wait for nobody."""
        original(self, now, event)
        self.fence = now

    original = Coordinator.on_consensus
    monkeypatch.setattr(Coordinator, "on_consensus", without_fence)
    scene = Scene(3, 2, 4, seed=14).start()
    gone: set[Node] = {("gateway", 0)}
    scene.world.run(300.0)
    lost = "replica", scene.coordinator()
    # The old coordinator still renews gateway 0's lease, and is gone before it can tell anybody.
    scene.world.run(100.0)
    scene.world.kill(lost)
    scene.world.links.cut = lambda sender, receiver: sender in gone or receiver in gone
    scene.submit("c0")
    scene.world.run(4000.0)
    assert scene.judge.mixed


def test_the_judge_finds_a_digest_that_is_not_checked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        Document, "check", lambda self, delta: self.total_after(delta.put, delta.removed) if delta else 0
    )
    scene = Scene(3, 2, 4, seed=15, learner=SpoiltLearner).start()
    run_changes(scene, 3)
    assert scene.judge.spoilt


def test_the_judge_finds_a_change_that_is_taken_over_a_gap(monkeypatch: pytest.MonkeyPatch) -> None:
    class Skips(Learner):
        """Loses the second change on its way."""

        def on_update(self, now: float, event: UpdateReceived) -> None:
            """Take out what it loses."""
            kept = tuple(delta for delta in event.update.changes if delta.target.number != 2 or self.number != 1)
            super().on_update(now, UpdateReceived(event.link, msgspec.structs.replace(event.update, changes=kept)))

    scene = Scene(3, 2, 4, seed=16, learner=Skips).start()
    run_changes(scene, 4)
    scene.assert_clean()  # refused, so nothing is spoilt
    monkeypatch.setattr(Document, "check", lambda self, delta: self.total_after(delta.put, delta.removed))
    scene = Scene(3, 2, 4, seed=16, learner=Skips).start()
    run_changes(scene, 4)
    assert scene.judge.spoilt


# The size


def test_2100_gateways_in_simulated_time_with_a_tenth_of_them_silent() -> None:
    scene = Scene(5, 5, 2100, seed=17).start()
    took = scene.change("c0", 5000.0)
    assert took is not None and took <= TIMING.change_ms(LAN_ROUND_MS, LAN_DECISION_MS), took
    for number in range(0, 2100, 10):
        scene.world.pause(("gateway", number))
    took = scene.change("c1", 6000.0)
    assert took is not None and took <= TIMING.change_silent_ms(LAN_ROUND_MS, LAN_DECISION_MS), took
    scene.assert_clean()
    reports = Counter(scene.world.messages)
    assert reports["Report"] < 0.05 * reports["Watch"]  # aggregates
