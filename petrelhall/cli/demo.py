"""``petrelhall demo``: gateways at work between stand-ins, to watch."""

from __future__ import annotations

import click

from petrelhall.cli.play import finish, play
from petrelhall.standins.crowd import Demand
from petrelhall.standins.faults import Fault, Script
from petrelhall.standins.world import Setup

STORY = Script(
    (
        Fault(3.0, "idle_limit", (0,), low_s=0.4, high_s=0.4),
        Fault(3.0, "idle_limit", (1,), low_s=0.3, high_s=0.9, mode="close"),
        Fault(6.0, "slow", (2,), factor=4.0),
        Fault(8.0, "restart", (3,)),
        Fault(10.0, "drain", (4,)),
        Fault(12.0, "slow", (2,), factor=1.0),
        Fault(13.0, "replace", (5,)),
    )
)


@click.command()
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--rate", default=300.0, show_default=True, type=click.FloatRange(1.0, 2000.0), help="requests a second")
@click.option("--boxes", default=6, show_default=True, type=click.IntRange(1, 64))
@click.option("--gateways", default=2, show_default=True, type=click.IntRange(1, 8))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "machine", is_flag=True, help="print JSON")
def demo(seconds: float, rate: float, boxes: int, gateways: int, seed: int, machine: bool) -> None:
    """Run discovery, a counter, boxes, gateways and a crowd on loopback, with faults, and watch.

    \b
    Example: petrelhall demo --seconds 20
    Exit code 0 only if every request had exactly one final answer and no rule was broken.
    """
    setup = Setup(seconds, boxes, gateways, Demand(rate=rate), STORY, seed=seed)
    finish(*play(setup, machine), machine)
