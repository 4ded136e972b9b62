"""The core of a move in simulated time: false halts, power and confounded pools, beside the rule of common tools.

    python benchmarks/shift_moves.py [--moves 2000] [--others 200] [--json OUT] [--plot OUT.png]

The threshold rule compares unmatched traffic once a minute: mean latency more than a tenth higher, or one more error
in a hundred, fails the target; three such minutes in a row are not asked for.
"""

from __future__ import annotations

import argparse
import json
import math
import multiprocessing
import random
from typing import Any

from petrelhall.operator.settings import Move, Step
from petrelhall.shift.judge import Answer
from petrelhall.shift.move import Mover, State

SIGMA = 0.4
LONGEST_S = 300.0
WINDOW_S = 60.0
LEAST = 30  # answers of the target in a window that the threshold rule looks at
MOVE = Move(
    "m",
    "old",
    "new",
    (Step(0.1, 10.0, 50), Step(0.25, 10.0, 50), Step(0.5, 10.0, 50), Step(0.9, 10.0, 50), Step(1.0, 10.0, 0)),
)


class Threshold:
    """What common tools do, fed with the same answers."""

    def __init__(self) -> None:
        self.until = WINDOW_S * 1000.0
        self.reset()

    def reset(self) -> None:
        """Begin a window."""
        self.sums = {True: [0, 0.0, 0], False: [0, 0.0, 0]}

    def see(self, now: float, latency: float, error: bool, target: bool) -> bool:
        """Take in an answer; tell whether the target fails now."""
        failed = False
        if now >= self.until:
            (count, total, errors), (others, other_total, other_errors) = self.sums[True], self.sums[False]
            if count >= LEAST and others >= LEAST:
                slower = total / count > 1.1 * other_total / others
                failed = slower or errors / count > other_errors / others + 0.01
            self.until += WINDOW_S * 1000.0
            self.reset()
        entry = self.sums[target]
        entry[0] += 1
        entry[1] += latency
        entry[2] += error
        return failed


def play(work: tuple[Any, ...]) -> dict[str, Any]:
    """Play one move; ``work`` is seed, requests a second, ratio of latencies, more errors, confounded."""
    seed, rate, slow, errors, confounded = work

    def ask(draw: random.Random, share: float) -> tuple[bool, bool, float, bool]:
        target = draw.random() < share
        hard = draw.random() < (0.02 if confounded and target else 0.3)
        latency = (30.0 if hard else 10.0) * math.exp(SIGMA * draw.gauss(0.0, 1.0)) * (slow if target else 1.0)
        return target, hard, latency, draw.random() < 0.002 + errors * target

    draw, mover = random.Random(seed), Mover(MOVE, 2)
    now, looked = 0.0, 0.0
    while now < LONGEST_S * 1000.0 and mover.state not in (State.DONE, State.HALTED):
        now += draw.expovariate(rate) * 1000.0
        while looked <= now:
            mover.look(looked, looked / 1000.0)
            looked += 250.0
        target, hard, latency, error = ask(draw, mover.wanted)
        mover.answer(
            now,
            Answer(("hard" if hard else "easy", "p", 0), latency, error, False, str(int(draw.expovariate(0.05)))),
            target,
        )
    ended, draw, rule, rule_at = now / 1000.0, random.Random(f"{seed}/rule"), Threshold(), None
    now = 0.0
    while now < LONGEST_S * 1000.0 and rule_at is None:  # a step a minute, as such tools go
        now += draw.expovariate(rate) * 1000.0
        target, hard, latency, error = ask(draw, MOVE.steps[min(3, int(now / 60000.0))].share)
        if rule.see(now, latency, error, target):
            rule_at = now / 1000.0
    return {"state": mover.state.value, "after_s": ended, "rule_s": rule_at}


def tally(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Sum up the moves of one world."""
    halted = sorted(result["after_s"] for result in results if result["state"] == "halted")
    rule = sorted(result["rule_s"] for result in results if result["rule_s"] is not None)
    count = len(results)
    return {
        "moves": count,
        "halted": len(halted) / count,
        "done": sum(result["state"] == "done" for result in results) / count,
        "halted_median_s": round(halted[len(halted) // 2], 1) if halted else None,
        "halted_p95_s": round(halted[int(0.95 * (len(halted) - 1))], 1) if halted else None,
        "threshold_halted": len(rule) / count,
        "threshold_median_s": round(rule[len(rule) // 2], 1) if rule else None,
        "times": halted,
    }


def plot(path: str, worlds: dict[str, dict[str, Any]]) -> None:
    """Draw the share of moves halted by time, a line a world."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 4.5))
    for name, told in worlds.items():
        times = told["times"]
        left.step(
            [0, *times, LONGEST_S],
            [0, *((n + 1) / told["moves"] for n in range(len(times))), told["halted"]],
            where="post",
            label=name,
        )
    left.set(xlabel="seconds since the move began", ylabel="moves halted", ylim=(0, 1.02), title="this judge")
    left.legend(fontsize=7)
    names = list(worlds)
    places = range(len(names))
    right.barh([place - 0.2 for place in places], [worlds[name]["halted"] for name in names], 0.4, label="this judge")
    right.barh(
        [place + 0.2 for place in places],
        [worlds[name]["threshold_halted"] for name in names],
        0.4,
        label="threshold on unmatched means",
    )
    right.set_yticks(list(places), names, fontsize=7)
    right.set(xlabel="moves halted", xlim=(0, 1.02), title="beside the threshold rule")
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Play all worlds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--moves", type=int, default=2000, help="between equal pools")
    parser.add_argument("--others", type=int, default=200, help="in each other world")
    parser.add_argument("--json")
    parser.add_argument("--plot")
    asked = parser.parse_args()
    worlds: dict[str, tuple[Any, ...]] = {"equal, 100/s": (asked.moves, 100.0, 1.0, 0.0, False)}
    for rate in (30.0, 100.0, 300.0):
        for slow in (1.1, 1.2, 1.3):
            worlds[f"{slow - 1:.0%} slower, {rate:g}/s"] = (asked.others, rate, slow, 0.0, False)
    worlds["1% more errors, 300/s"] = (asked.others, 300.0, 1.0, 0.01, False)
    worlds["3% more errors, 100/s"] = (asked.others, 100.0, 1.0, 0.03, False)
    worlds["easy requests, 30% slower, 100/s"] = (asked.others, 100.0, 1.3, 0.0, True)
    worlds["easy requests, equal, 100/s"] = (asked.others, 100.0, 1.0, 0.0, True)
    told = {}
    with multiprocessing.Pool() as pool:
        for name, (count, *world) in worlds.items():
            told[name] = tally(pool.map(play, [(seed, *world) for seed in range(count)], 4))
            print(name, {key: value for key, value in told[name].items() if key != "times"}, flush=True)
    if asked.json:
        with open(asked.json, "w") as file:
            json.dump(told, file)
    if asked.plot:
        plot(asked.plot, told)


if __name__ == "__main__":
    main()
