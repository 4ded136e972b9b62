"""Owned shares at size: service beside an all-knowing quota, units beyond, and words, by how much is lost on the way.

    python -m benchmarks.quota_fleet [--gateways 200] [--districts 10000] [--seconds 10] [--plot docs/design/quota.png]

Each district asks for 1.5 times its quota, nine tenths of that at one gateway of its set of four; the shipped cores in
simulated time. Even slices beside it: what is left where no messages are allowed.
"""

from __future__ import annotations

import argparse
import concurrent.futures
from typing import Any

from petrelhall.emulate.quota import Fleet, fleet

PLAYS: dict[str, dict[str, Any]] = {
    "lent": {},
    "lent, 10% lost": {"loss": 0.1},
    "lent, 30% lost": {"loss": 0.3},
    "lent, split": {"split": True},
    "lent, 100 words/s": {"words_per_s": 100.0},
    "even slices": {"lend": False},
}


def one(task: tuple[str, int, int, float]) -> Fleet:
    """Play one."""
    name, gateways, districts, seconds = task
    return fleet(gateways, districts, 4, seconds, 1, **PLAYS[name])


def main() -> None:
    """Play all."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--gateways", type=int, default=200)
    parser.add_argument("--districts", type=int, default=10000)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--plot")
    given = parser.parse_args()
    tasks = [(name, given.gateways, given.districts, given.seconds) for name in PLAYS]
    with concurrent.futures.ProcessPoolExecutor(given.processes) as pool:
        played = dict(zip(PLAYS, pool.map(one, tasks), strict=True))
    for name, found in played.items():
        print(
            f"{name:20} served {found.served_share:.3f} of an all-knowing quota, beyond {found.worst_beyond:.2f} of "
            f"{found.stated_beyond:.2f} units stated, {found.words_per_s:.1f} words/s each"
        )
    if given.plot:
        import matplotlib

        matplotlib.use("agg")
        from matplotlib import pyplot as plt

        figure, (left, right) = plt.subplots(1, 2, figsize=(10, 3.5))
        names = list(played)
        left.barh(names, [found.served_share for found in played.values()])
        left.set(xlabel="served, of what an all-knowing quota serves", xlim=(0, 1))
        right.barh(names, [found.words_per_s for found in played.values()])
        right.set(xlabel="words a second of one gateway", yticklabels=[])
        figure.suptitle(
            f"{given.gateways} gateways, {given.districts} districts: 0 units beyond in every play"
            if all(found.worst_beyond == 0.0 for found in played.values())
            else ""
        )
        figure.tight_layout()
        figure.savefig(given.plot)


if __name__ == "__main__":
    main()
