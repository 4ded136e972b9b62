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
from petrelhall.operator.settings import Links
from petrelhall.quota.bound import worst
from petrelhall.quota.shares import MARGIN, Terms
from petrelhall.standins.changes import PolicyDrill
from petrelhall.standins.crowd import Demand
from petrelhall.standins.drill import Drill, QuotaDrill, prepare, wrong
from petrelhall.standins.strikes import Play, bearable, drawn, read, schema
from petrelhall.standins.world import Setup, World

OWNING_S = MARGIN + 2.0  # after a start in which a gateway owns nothing, and in which a front may not send to it
EMPTY_S = 7.0  # after a start without a folder, by which a gateway has learned what it must remember
LENT = 0.25  # of a quota that is lent on an even day, at most: what is lost of it is not served


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
def members(
    gateways: int,
    seconds: float,
    rate: float,
    boxes: int,
    script: str | None,
    seed: int,
    out: str | None,
    machine: bool,
) -> None:
    """What gateways know of each other, under faults of the network and of processes.

    \b
    Example: petrelhall drill members --gateways 6 --seconds 40 --seed 7 --json out.json
    Exit code 1 where a failure was not found in the stated time, one was called failed wrongly, a dead life came
    back, views differ at the end, or a request was lost.
    """
    play = troubles(script, seconds, gateways, seed)
    with tempfile.TemporaryDirectory() as folder:
        operator = prepare(folder, {"members": {"on": True}})
        world = Drill(
            Setup(seconds, boxes, gateways, Demand(rate=rate, clients=32), seed=seed, operator=operator), play
        )
        report = asyncio.run(world.run())
    finish(world, world.outcome(report), wrong, out, machine)


@drill.command()
@click.option("--gateways", default=4, show_default=True, type=click.IntRange(1, 16))
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(5.0, 3600.0))
@click.option("--districts", default=6, show_default=True, type=click.IntRange(1, 100))
@click.option("--demand", default=2.0, show_default=True, type=click.FloatRange(0.1, 10.0), help="times the quota")
@click.option("--script", type=click.Path(), help="troubles (JSON, see `petrelhall drill schema`); else drawn")
@click.option("--present", is_flag=True, help="without owned shares, for comparison: nothing is stated then")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
@click.option("--machine", is_flag=True, help="print JSON in place of a table")
def quota(
    gateways: int,
    seconds: float,
    districts: int,
    demand: float,
    script: str | None,
    present: bool,
    seed: int,
    out: str | None,
    machine: bool,
) -> None:
    """Quotas under faults of the network and of processes, counted at the boxes.

    \b
    Example: petrelhall drill quota --gateways 4 --seconds 40 --seed 7 --json out.json
    Exit code 1 where a district got more beyond its quota than is stated, was served less, or a request was lost.
    """
    play = troubles(script, seconds, gateways, seed)
    with tempfile.TemporaryDirectory() as folder:
        operator = prepare(folder, {"members": {"on": not present}, "quota": {"on": not present}})
        asked = Demand(rate=demand * districts * QuotaDrill.RATE, clients=64, districts=districts, keyed_share=0.0)
        world = QuotaDrill(Setup(seconds, 8, gateways, asked, seed=seed, operator=operator), play)
        world.owned = not present
        outcome = world.outcome(asyncio.run(world.run()))
    terms = Terms(QuotaDrill.RATE, QuotaDrill.BURST, gateways)
    stalls = outcome.pop("stops")
    stated = {
        "stated_error_units": round(worst(terms, seconds, Links().wait_ms, stalls), 1),
        "stated_served_share": stated_served(play, terms, seconds),
    }
    finish(world, {**outcome, **stated}, lambda told: [] if present else beyond(told), out, machine)


@drill.command()
@click.option("--gateways", default=5, show_default=True, type=click.IntRange(2, 16))
@click.option("--seconds", default=40.0, show_default=True, type=click.FloatRange(12.0, 3600.0))
@click.option("--rate", default=60.0, show_default=True, type=click.FloatRange(1.0, 2000.0), help="requests a second")
@click.option("--script", type=click.Path(), help="troubles (JSON, see `petrelhall drill schema`); else drawn")
@click.option("--unsure", type=click.Choice(["refuse", "strictest"]), help="else by the seed")
@click.option("--folder/--no-folder", default=None, help="whether gateways have folders that last; else by the seed")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
@click.option("--machine", is_flag=True, help="print JSON in place of a table")
def policy(
    gateways: int,
    seconds: float,
    rate: float,
    script: str | None,
    unsure: str | None,
    folder: bool | None,
    seed: int,
    out: str | None,
    machine: bool,
) -> None:
    """Changes of policy all the time, under faults of the network and of processes, judged at the boxes.

    \b
    Example: petrelhall drill policy --gateways 5 --seconds 40 --seed 7 --json out.json
    Exit code 1 where two versions were served at once, a change was lost, an answer to an operator was wrong, an
    end stayed unknown, or a request was lost.
    """
    lasting = folder if folder is not None else seed % 2 == 0
    play = troubles(script, seconds, gateways, seed)
    if not lasting and script is None:
        play = bearable(play, gateways, EMPTY_S)
    with tempfile.TemporaryDirectory() as place:
        accord = {"on": True, "stamp": True, "unsure": unsure or ("refuse", "strictest")[seed // 2 % 2]}
        operator = prepare(place, {"accord": {**accord, "folder": place} if lasting else accord})
        world = PolicyDrill(
            Setup(seconds, 4, gateways, Demand(rate=rate, clients=32), seed=seed, operator=operator), play
        )
        report = asyncio.run(world.run())
        outcome = {"unsure": accord["unsure"], "folder": lasting, **world.outcome(report)}
    finish(world, outcome, world.wrong, out, machine)


def stated_served(play: Play, terms: Terms, seconds: float) -> float:
    """Give the least share of a quota that is stated for a play: what gateways that are down own is nobody's."""
    down = sum(
        (strike.for_s + OWNING_S) * len(strike.gateways)
        for strike in play.strikes
        if strike.do in ("kill", "leave", "stop", "starve", "upgrade")
    )
    lost = play.noise.loss if play.strikes or play.noise.loss else 0.0
    start = OWNING_S / seconds
    return round(max(0.0, 0.97 - start - down / (terms.gateways * seconds) - LENT * lost), 3)


def beyond(outcome: dict[str, Any]) -> list[str]:
    """Give what a drill of quotas found."""
    found = [f"upgrade: {reason}" for reason in outcome["upgrades_wrong"]]
    if outcome["worst_error_units"] > outcome["stated_error_units"]:
        found.append(f"{outcome['worst_error_units']} units beyond a quota, {outcome['stated_error_units']} are stated")
    if outcome["least_served_share"] < outcome["stated_served_share"]:
        found.append(f"{outcome['least_served_share']} of a quota served, {outcome['stated_served_share']} is stated")
    if outcome["lost"]:
        found.append(f"lost: {outcome['lost']}")
    found += [f"rule broken: {name}, {count} times" for name, count in outcome["broken"].items()]
    return found + [f"a gateway ended with exit code {code}" for code in outcome["exit_codes"] if code]


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
