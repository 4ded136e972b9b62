"""``petrelhall drill``: real gateways with faults between them, judged from outside."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from typing import Any

import click
import msgspec
from rich.table import Table

from petrelhall.cli.tell import OUT, as_json
from petrelhall.standins.crowd import Demand
from petrelhall.standins.drill import Drill, prepare, wrong
from petrelhall.standins.strikes import Play, drawn, read, schema
from petrelhall.standins.world import Setup, World


@click.group()
def drill() -> None:
    """Real gateways on loopback, a network with faults between them, load the whole time, and a judge.

    \b
    Example: petrelhall drill members --gateways 6 --seconds 40 --seed 7
    """


@drill.command(name="schema")
def show_schema() -> None:
    """Print the JSON schema of a drill's script.

    \b
    Example: petrelhall drill schema > drill.schema.json
    """
    print(schema().decode(), end="")


@drill.command()
@click.option("--gateways", default=6, show_default=True, type=click.IntRange(2, 16))
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(12.0, 3600.0))
@click.option("--rate", default=60.0, show_default=True, type=click.FloatRange(1.0, 2000.0), help="requests a second")
@click.option("--boxes", default=4, show_default=True, type=click.IntRange(1, 64))
@click.option("--script", type=click.Path(), help="troubles (JSON, see `petrelhall drill schema`); else drawn")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
@click.option("--machine", is_flag=True, help="print JSON in place of a table")
def members(gateways: int, seconds: float, rate: float, boxes: int, script: str | None, seed: int, out: str | None,
            machine: bool) -> None:
    """What gateways know of each other, under faults of the network and of processes.

    \b
    Example: petrelhall drill members --gateways 6 --seconds 40 --seed 7 --json out.json
    Exit code 1 where a failure was not found in the stated time, one was called failed wrongly, a dead life came
    back, views differ at the end, or a request was lost.
    """
    play = troubles(script, seconds, gateways, seed)
    with tempfile.TemporaryDirectory() as folder:
        operator = prepare(folder, {"members": {"on": True}})
        world = Drill(Setup(seconds, boxes, gateways, Demand(rate=rate, clients=32), seed=seed, operator=operator),
                      play)
        report = asyncio.run(world.run())
    finish(world, world.outcome(report), wrong, out, machine)


def troubles(script: str | None, seconds: float, gateways: int, seed: int) -> Play:
    """Read the script, or draw one."""
    if script is None:
        return drawn(seconds, gateways, seed)
    try:
        play = read(script)
    except (OSError, msgspec.MsgspecError) as error:
        raise click.UsageError(f"--script: {error}") from error
    for strike in play.strikes:
        if any(number >= gateways for number in (*strike.gateways, *strike.towards)):
            raise click.UsageError(f"--script: a strike at {strike.at_s:g} s names a gateway beyond {gateways - 1}")
    return play


def finish(world: World, outcome: dict[str, Any], judge: Any, out: str | None, machine: bool) -> None:
    """Show a drill's end, and exit with 1 where something was wrong."""
    found = judge(outcome)
    outcome = {"wrong": found, **outcome}
    if out:
        with open(out, "w") as file:
            json.dump(outcome, file, indent=2)
    if machine:
        as_json(outcome)
    else:
        shown = Table(title="drill", show_header=False)
        for name, value in outcome.items():
            if not isinstance(value, list | dict):
                shown.add_row(name.replace("_", " "), str(value))
        OUT.print(shown)
        for line in found:
            OUT.print(f"WRONG {line}", markup=False)
    sys.exit(1 if found else 0)
