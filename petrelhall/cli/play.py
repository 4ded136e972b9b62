"""Plays a run of stand-ins for the sub-commands that show one."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from rich.live import Live

from petrelhall.cli.show import summary, table, verdict
from petrelhall.cli.tell import OUT, as_json, log
from petrelhall.standins.world import Setup, World

EACH_LOG_S = 30


def play(setup: Setup, machine: bool) -> tuple[dict[str, Any], list[str]]:
    """Make a run; give its figures and what was wrong with it."""
    watched = OUT.is_terminal and not machine
    logger = log()
    if not watched:

        def progress(world: World) -> None:
            world_s = len(ticks)
            ticks.append(None)
            if world_s % EACH_LOG_S == EACH_LOG_S - 1:
                logger.info("running", seconds=world_s + 1, **dict(world.judge.seen))

        ticks: list[None] = []
        report = asyncio.run(World(setup, progress).run())
    else:
        with Live(console=OUT, refresh_per_second=2) as live:
            report = asyncio.run(World(setup, lambda world: live.update(table(world))).run())
    return report, verdict(report)


def finish(report: dict[str, Any], wrong: list[str], machine: bool) -> None:
    """Show the end of a run, and exit with 1 where something was wrong."""
    if machine:
        as_json({**report, "wrong": wrong})
    else:
        OUT.print(summary(report))
        for line in wrong:
            OUT.print(f"WRONG {line}", markup=False)
        OUT.print("every request had exactly one final answer and no rule was broken" if not wrong else "")
    sys.exit(1 if wrong else 0)
