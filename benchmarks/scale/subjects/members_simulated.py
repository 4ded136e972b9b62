"""Membership in simulated time: how soon a killed gateway is found by all others, by gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from benchmarks.scale.sampling import Effort, Samples
from benchmarks.scale.subjects.members import pace_of
from petrelhall.capacity.records import Slope
from petrelhall.emulate.fabric import Links
from petrelhall.emulate.members import Scene

LOSS, DELAY_MS = 0.02, (1.0, 40.0)
STEP_S = 0.25
VICTIM = 1
SMALL, MANY_REPEATS = 50, 5  # larger fleets take long and are simulated once


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slope."""
    found = Samples(
        "members.found.simulated",
        "Time until the last survivor holds a killed gateway failed, in simulated time.",
        "ms",
        "gateways",
        "Links lose 2% and take up to 40 ms; fleets beyond the largest measured one take too long to simulate.",
        "members-simulated",
    )
    for gateways in effort.simulated_members:
        for seed in range(1, 1 + (min(effort.repeats, MANY_REPEATS) if gateways <= SMALL else 1)):
            found.add(gateways, detection_ms(gateways, seed))
    yield found.slope()


def detection_ms(gateways: int, seed: int) -> float:
    """Kill one gateway of a settled fleet, and give the time until all others hold it failed."""
    scene = Scene(gateways, seed, Links(LOSS, DELAY_MS), pace_of(gateways))
    everyone = range(gateways)
    run_until(scene, lambda: all(set(scene.states(number)) == {"h"} for number in everyone))
    scene.kill(VICTIM)
    killed_at = scene.now
    survivors = [number for number in everyone if number != VICTIM]
    run_until(scene, lambda: all(scene.core(number).members[VICTIM].state == "failed" for number in survivors))
    return 1000.0 * (scene.now - killed_at)


def run_until(scene: Scene, reached: Callable[[], bool]) -> None:
    """Let time pass until something holds; RuntimeError where that takes far longer than the plan states."""
    limit = scene.now + 20.0 * scene.pace.found_ms / 1000.0
    while not reached():
        if scene.now > limit:
            raise RuntimeError(f"{scene.pace.members} gateways: not reached by {limit:.0f} s")
        scene.run(STEP_S)
