"""Consensus in simulated time: how long a change takes until it is in force everywhere, by gateways."""

from __future__ import annotations

from collections.abc import Iterator

from benchmarks.scale.installation import PEER_MESSAGES_PER_S
from benchmarks.scale.sampling import Effort, Samples
from benchmarks.scale.subjects.accord import DELAY_MS, LOSS, SHARE
from petrelhall.capacity.records import Slope
from petrelhall.emulate.accord import fleet
from petrelhall.emulate.fabric import Links

CHANGES = 2


def measure(effort: Effort) -> Iterator[Slope]:
    """Yield the slope."""
    change = Samples(
        "accord.change.simulated",
        "Time from a proposal until all gateways serve it, all of them up, in simulated time.",
        "ms",
        "gateways",
        "The document has a few bytes, 2% of messages are lost, and nothing limits what the proposer takes in at once.",
        "accord-simulated",
    )
    for gateways in effort.simulated_voters:
        played = fleet(gateways, CHANGES, Links(LOSS, DELAY_MS), 1, messages_per_s=PEER_MESSAGES_PER_S, share=SHARE)
        if played.wrong or len(played.everywhere_s) != CHANGES:
            raise RuntimeError(f"{gateways} gateways: {played.wrong or 'a change was not decided'}")
        change.add(gateways, *(1000.0 * seconds for seconds in played.everywhere_s))
    yield change.slope()
