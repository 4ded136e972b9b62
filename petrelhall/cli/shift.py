"""``petrelhall shift``: what a move between two pools would take, a move played, a recorded one judged again."""

from __future__ import annotations

import asyncio
import json
import math
import os
import random
import statistics
import sys
import tempfile
import time
from typing import Any

import click
from rich.live import Live
from rich.table import Table

from petrelhall.cli.show import verdict
from petrelhall.cli.tell import OUT, as_json
from petrelhall.operator.file import OperatorError, read
from petrelhall.operator.settings import Move
from petrelhall.shift.judge import Answer, Judge, Judgement
from petrelhall.shift.move import Mover
from petrelhall.standins.box import Model
from petrelhall.standins.crowd import Demand
from petrelhall.standins.faults import Fault, Script
from petrelhall.standins.world import Setup, World

EFFECTS = (1.0, 1.05, 1.1, 1.2, 1.3)
RUNS, LONGEST_S = 9, 900.0
SERVICE_MS = 20.0  # of a box in the demo, half to one and a half times that
SPREAD = 0.4  # sigma of the log of latencies that the forecast assumes


@click.group()
def shift() -> None:
    """Move traffic between two pools of boxes by measurement.

    \b
    Example: petrelhall shift plan deploy/operator.json --rate 200
    """


def move_of(path: str) -> Move:
    """Read the move in an operators' file, or end with exit code 2."""
    try:
        settings = read(path).shift
    except OperatorError as error:
        click.echo(f"petrelhall: {error}", err=True)
        sys.exit(2)
    if settings is None or settings.move is None:
        click.echo(f"petrelhall: {path}: shift.move: there is none", err=True)
        sys.exit(2)
    return settings.move


def forecast(move: Move, share: float, rate: float, effect: float, seed: int) -> float:
    """Play answers at a share until the judge says something; give the seconds, infinite where it does not."""
    draw = random.Random(f"{seed}/{share}/{effect}")
    judge = Judge(move.worse.tolerated, move.worse.margin, move.worse.alpha, 1, move.worse.accepted)
    now, looked = 0.0, 0.0
    while now < LONGEST_S * 1000.0:
        now += draw.expovariate(rate) * 1000.0
        latency = math.exp(SPREAD * draw.gauss(0.0, 1.0))
        if draw.random() < share:
            judge.target(now, Answer("all", latency * effect))
        else:
            judge.source(now, Answer("all", latency))
        if now - looked >= 250.0:
            looked = now
            if judge.judgement()[0] is not Judgement.NOT_YET:
                return now / 1000.0
    return math.inf


@shift.command()
@click.argument("file", type=click.Path())
@click.option(
    "--rate",
    default=100.0,
    show_default=True,
    type=click.FloatRange(0.1, 5000.0),
    help="requests a second that may move, at the gateways that share evidence",
)
@click.option("--json", "machine", is_flag=True, help="print JSON")
def plan(file: str, rate: float, machine: bool) -> None:
    """Tell how long each step of a move needs, for targets equal to the source and 5 to 30% slower.

    \b
    Example: petrelhall shift plan deploy/operator.json --rate 180
    """
    move = move_of(file)
    rows: list[dict[str, Any]] = []
    for step in move.steps:
        row: dict[str, Any] = {"share": step.share, "least_s": step.least_s}
        if step.share < 1.0:
            for effect in EFFECTS:
                times = [forecast(move, step.share, rate, effect, seed) for seed in range(RUNS)]
                middle = statistics.median(times)
                row[f"{effect:g}"] = None if math.isinf(middle) else round(middle, 1)
        rows.append(row)
    if machine:
        return as_json({"move": move.name, "rate": rate, "steps": rows})
    table = Table(title=f"{move.name}: {move.source} to {move.target}, {rate:g} requests/s, seconds to a judgement")
    for name in ("share", "least s", "equal", "5% slower", "10% slower", "20% slower", "30% slower"):
        table.add_column(name, justify="right")
    for row in rows:
        told = [str(row.get(f"{effect:g}", "-") or f"over {LONGEST_S:g}") for effect in EFFECTS]
        table.add_row(f"{row['share']:g}", f"{row['least_s']:g}", *told)
    OUT.print(table)
    OUT.print(f"up to {move.worse.tolerated:g} times slower is tolerated; latencies log-normal, sigma {SPREAD}")


@shift.command()
@click.argument("log", type=click.Path(exists=True, dir_okay=False))
@click.option("--operator", type=click.Path(), help="operators' file with the move to judge by; else the defaults")
@click.option("--json", "machine", is_flag=True, help="print JSON")
def replay(log: str, operator: str | None, machine: bool) -> None:
    """Judge a recorded move again (LOG: what the setting `shift.move.record` wrote).

    \b
    Example: petrelhall shift replay move.jsonl --operator deploy/operator.json
    Exit code 1 where it is judged worse.
    """
    move = move_of(operator) if operator else Move("replayed", "source", "target")
    mover = Mover(move, 8)
    first: float | None = None
    worse_at: float | None = None
    seen, words = 0, ""
    with open(log) as file:
        for number, line in enumerate(file, 1):
            try:
                entry = json.loads(line)
                kind = tuple(entry["kind"]) if isinstance(entry["kind"], list) else entry["kind"]
                answer = Answer(
                    kind,
                    float(entry["latency_ms"]),
                    bool(entry["error"]),
                    bool(entry["censored"]),
                    str(entry["district"]),
                )
                now, target = float(entry["at_ms"]), bool(entry["target"])
            except (ValueError, KeyError, TypeError) as error:
                click.echo(f"petrelhall: {log}: line {number}: {error!r}", err=True)
                sys.exit(2)
            first = now if first is None else first
            (mover.judge.target if target else mover.judge.source)(now, answer)
            seen += 1
            judgement, reason = mover.judge.judgement()
            if judgement is Judgement.WORSE and worse_at is None:
                worse_at, words = (now - first) / 1000.0, reason
    judgement, reason = mover.judge.judgement()
    result = {
        "answers": seen,
        "matched": mover.judge.matched,
        "unmatched": mover.judge.unmatched,
        "worse_after_s": worse_at,
        "reason": words or reason,
        "at_the_end": judgement.value,
    }
    if machine:
        as_json(result)
    else:
        for name, value in result.items():
            OUT.print(f"{name.replace('_', ' ')}: {value}", markup=False)
    sys.exit(0 if worse_at is None else 1)


def operators_file(folder: str, least_s: float) -> str:
    """Write an operators' file with the demo's move, and give its path."""
    steps = [{"share": share, "least_s": least_s, "least_evidence": 50} for share in (0.1, 0.25, 0.5, 0.9, 1.0)]
    path = os.path.join(folder, "operator.json")
    with open(path, "w") as file:
        json.dump(
            {
                "shift": {
                    "pools": [{"name": "old", "kind": "m1"}, {"name": "new", "kind": "m2"}],
                    "move": {"name": "demo", "source": "old", "target": "new", "steps": steps},
                }
            },
            file,
        )
    return path


def moment(world: World, *states: str) -> float | None:
    """Give when the first gateway came into one of some states."""
    return min(
        (at for gateway in world.gateways for at, turn in gateway.turns if turn["state"] in states), default=None
    )


def figures(world: World, report: dict[str, Any], slowed_at: float, slow: float) -> dict[str, Any]:
    """Give what a played move ends with; ``wrong_pool`` counts attempts at the target long after it was undone."""
    began = world.began + slowed_at
    halted = moment(world, "halted", "undoing")
    last = [
        max((at for at, turn in gateway.turns if turn["state"] == "undone"), default=None) for gateway in world.gateways
    ]
    undone = None if any(at is None for at in last) else max(at for at in last if at is not None)
    grace = world.setup.demand.deadline_ms / 1000.0
    wrong = (
        0
        if undone is None
        else sum(at > undone + grace for box in world.boxes if box.kind == "m2" for at in world.judge.sent_at[box.name])
    )
    wrong_rules = verdict(report)
    shares = [turn["share"] for gateway in world.gateways for _, turn in gateway.turns]
    return {
        **{
            name: report[name]
            for name in (
                "requests",
                "served",
                "refused",
                "failed",
                "p50_ms",
                "p99_ms",
                "cpu_ms_per_request",
                "memory_mb",
                "keys_run_twice",
            )
        },
        "slow": slow,
        "most_share": max(shares, default=0.0),
        "wrong": wrong_rules,
        "turns": [
            [round(at - world.began, 1), gateway.number, turn]
            for gateway in world.gateways
            for at, turn in gateway.turns
        ],
        "done": sum(any(turn["state"] == "done" for _, turn in gateway.turns) for gateway in world.gateways),
        "halted_after_s": None if halted is None else round(halted - began, 2),
        "undone_after_s": None if undone is None else round(undone - began, 2),
        "rules_broken": sum(report["broken"].values()),
        "unanswered": report["unanswered"],
        "wrong_pool": wrong,
    }


def shown(world: World) -> Table:
    """Give the present state of a move as a table."""
    table = Table(title=f"{time.monotonic() - world.began:.0f} s of {world.setup.seconds:.0f}")
    for name in ("gateway", "state", "share", "reason"):
        table.add_column(name)
    for gateway in world.gateways:
        if gateway.turns:
            turn = gateway.turns[-1][1]
            table.add_row(f"n{gateway.number}", turn["state"], f"{turn['share']:.2f}", turn["reason"])
    recent = time.monotonic() - 2.0
    counts = {
        kind: sum(
            sum(at > recent for at in world.judge.sent_at[box.name][-2000:]) for box in world.boxes if box.kind == kind
        )
        for kind in ("m1", "m2")
    }
    whole = max(1, sum(counts.values()))
    for kind, name in (("m1", "old"), ("m2", "new")):
        table.add_row(f"pool {name}", "", f"{counts[kind] / whole:.2f}", "#" * int(40 * counts[kind] / whole))
    return table


@shift.command()
@click.option(
    "--slow",
    default=1.3,
    show_default=True,
    type=click.FloatRange(0.1, 20.0),
    help="the target's service takes so many times longer",
)
@click.option("--slow-at", default=10.0, show_default=True, type=click.FloatRange(0.0, 600.0), help="from this second")
@click.option("--seconds", default=50.0, show_default=True, type=click.FloatRange(5.0, 900.0))
@click.option("--rate", default=180.0, show_default=True, type=click.FloatRange(1.0, 1000.0))
@click.option("--boxes", default=12, show_default=True, type=click.IntRange(2, 64))
@click.option("--gateways", default=2, show_default=True, type=click.IntRange(1, 8))
@click.option("--least-s", default=5.0, show_default=True, type=click.FloatRange(0.0, 600.0), help="time of a step")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
def demo(
    slow: float,
    slow_at: float,
    seconds: float,
    rate: float,
    boxes: int,
    gateways: int,
    least_s: float,
    seed: int,
    out: str | None,
) -> None:
    """Play a move on the stand-ins: half of the boxes are the new pool, which slows down under way.

    \b
    Example: petrelhall shift demo --slow 1.3 --json move.json
    Exit code 1 where a rule broke, or a slowed target was not halted and undone.
    """
    script = Script((Fault(slow_at, "slow", tuple(range(1, boxes, 2)), factor=slow),))
    with tempfile.TemporaryDirectory() as folder:
        # Long enough that what the machine itself adds on loopback (some ms) does not hide the boxes' own time.
        setup = Setup(
            seconds,
            boxes,
            gateways,
            Demand(rate=rate),
            script,
            Model(service_ms=SERVICE_MS),
            seed=seed,
            kinds=("m1", "m2"),
            operator=operators_file(folder, least_s),
        )
        world = World(setup)
        if OUT.is_terminal:
            with Live(console=OUT, refresh_per_second=2) as live:
                world.each_second = lambda world: live.update(shown(world))
                report = asyncio.run(world.run())
        else:
            report = asyncio.run(world.run())
    result = figures(world, report, slow_at, slow)
    if out:
        with open(out, "w") as file:
            json.dump(result, file, indent=2)
    for at, number, turn in result["turns"]:
        OUT.print(f"{at:6.1f} s  n{number}  {turn['state']:9} {turn['share']:5.2f}  {turn['reason']}", markup=False)
    for name in ("halted_after_s", "undone_after_s", "rules_broken", "unanswered", "wrong_pool"):
        OUT.print(f"{name}: {result[name]}")
    bad = slow > 1.25 and result["undone_after_s"] is None
    sys.exit(1 if bad or result["wrong"] or result["wrong_pool"] else 0)
