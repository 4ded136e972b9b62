"""How soon a change is in force in fleets of 3 to 200 gateways, and how long gateways are without a lease for it.

    python -m benchmarks.accord_fleet [--sizes 3,5,40,200] [--seeds 3] [--plot docs/design/accord.png]

The shipped core in simulated time, 100 messages a second to each gateway of which agreement takes 0.3; 5 to 20% of the
words are lost, up to 40 or 300 ms on their way. Six changes, one after another; before the first a share of the
gateways is killed or cut off (never a majority of the voters). A change once a lease is far more than anyone makes.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import json
import statistics
from typing import Any

from petrelhall.emulate.accord import fleet
from petrelhall.emulate.fabric import Links

LOSSES = ((0.05, 40.0), (0.2, 300.0))
LOST = (("all up", 0.0, 0.0), ("a fifth killed", 0.2, 0.0), ("30% cut off", 0.0, 0.3))
CHANGES, LARGE = 6, 200  # from here on at the first loss: a play takes minutes


def one(task: tuple[int, tuple[float, float], tuple[str, float, float], bool, int]) -> dict[str, Any]:
    """Play one."""
    size, (loss, late), (name, down, cut_off), strictest, seed = task
    played = fleet(size, CHANGES, Links(loss, (1.0, late)), seed, down, cut_off, strictest=strictest)
    return {
        "gateways": size,
        "loss": loss,
        "late_ms": late,
        "lost": name,
        "strictest": strictest,
        "seed": seed,
        "first_s": played.in_force_s[0] if played.in_force_s else None,
        "in_force": len(played.in_force_s),
        "later_s": statistics.median(played.in_force_s[1:]) if len(played.in_force_s) > 1 else None,
        "everywhere_s": max(played.everywhere_s, default=None),
        "unsure": played.unsure_share,
        "words_per_s": played.words_per_s,
        "busiest_per_s": played.busiest_per_s,
        "wrong": list(played.wrong),
    }


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Draw the time in force and the share of time without a lease."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot as plt

    figure, (left, right) = plt.subplots(1, 2, figsize=(11, 4))
    sizes = sorted({row["gateways"] for row in rows})
    for place, (name, _, _) in enumerate(LOST):
        for strictest, style in ((False, "-"), (True, "--")):
            some = [
                [
                    row
                    for row in rows
                    if (row["gateways"], row["lost"], row["loss"], row["strictest"])
                    == (size, name, LOSSES[0][0], strictest)
                    and row["first_s"]
                ]
                for size in sizes
            ]
            at = [size for size, group in zip(sizes, some, strict=True) if group]
            first = [statistics.median(row["first_s"] for row in group) for group in some if group]
            unsure = [statistics.mean(row["unsure"] for row in group) for group in some if group]
            if not strictest:
                left.plot(at, first, "o-", color=f"C{place}", label=f"{name}: the first change")
                later = [statistics.median(row["later_s"] for row in group) for group in some if group]
                left.plot(at, later, ".:", color=f"C{place}")
            right.plot(
                at,
                [100.0 * share for share in unsure],
                f"o{style}",
                color=f"C{place}",
                label=f"{name}, {'strictest' if strictest else 'refuse'}",
            )
    left.set(
        xscale="log",
        yscale="log",
        xticks=sizes,
        xticklabels=[str(size) for size in sizes],
        xlabel="gateways",
        ylabel="seconds until in force",
        title="5% of words lost (dotted: later changes)",
    )
    right.set(
        xscale="log",
        xticks=sizes,
        xticklabels=[str(size) for size in sizes],
        xlabel="gateways",
        ylabel="% of time without a lease",
        title="while changes are made one after another",
    )
    for axes in (left, right):
        axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Play all."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="3,5,40,200")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--plot")
    parser.add_argument("--json")
    given = parser.parse_args()
    sizes = [int(size) for size in given.sizes.split(",")]
    tasks = [
        task
        for task in itertools.product(
            sorted(sizes, reverse=True), LOSSES, LOST, (False, True), range(1, given.seeds + 1)
        )
        if task[0] < LARGE or (task[1] == LOSSES[0] and task[4] == 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(given.processes) as pool:
        rows = sorted(
            pool.map(one, tasks, chunksize=1),
            key=lambda row: (row["gateways"], row["loss"], row["lost"], row["strictest"]),
        )
    for key, some in itertools.groupby(rows, lambda row: (row["gateways"], row["loss"], row["lost"], row["strictest"])):
        group = list(some)
        firsts = [row["first_s"] for row in group if row["first_s"] is not None]
        laters = [row["later_s"] for row in group if row["later_s"] is not None]
        print(
            *key,
            f"first {max(firsts, default=0.0):.1f} s, later {statistics.median(laters or [0.0]):.2f} s,",
            f"everywhere by {max((row['everywhere_s'] or 0.0) for row in group):.1f} s,",
            f"in force {sum(row['in_force'] for row in group)} of {CHANGES * len(group)},",
            f"unsure {100.0 * statistics.mean(row['unsure'] for row in group):.1f}%,",
            f"words/s {max(row['words_per_s'] for row in group):.1f},",
            f"a voter {max(row['busiest_per_s'] for row in group):.1f},",
            f"wrong {sum(len(row['wrong']) for row in group)}",
            flush=True,
        )
    if given.json:
        with open(given.json, "w") as file:
            json.dump(rows, file)
    if given.plot:
        plot(rows, given.plot)


if __name__ == "__main__":
    main()
