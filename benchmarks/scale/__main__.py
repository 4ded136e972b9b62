"""Runs the benchmarks of some or all subjects and writes their record and plots."""

from __future__ import annotations

import argparse
import datetime
import platform
import subprocess
import time
from pathlib import Path

from benchmarks.scale.plots import plot_subject
from benchmarks.scale.sampling import Effort, gateway_garbage_collection
from benchmarks.scale.subjects import SUBJECTS
from petrelhall.capacity.records import RECORD_FORMAT, Record, Slope, read_record, write_record

DEFAULT_RECORD = Path("docs/capacity/slopes.json")
PROGRAM = "petrelhall"


def machine() -> str:
    """Name the processor and count the cores."""
    model = platform.machine()
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    cores = subprocess.run(["nproc"], capture_output=True, text=True, check=True).stdout.strip()
    return f"{model}, {cores} cores"


def commit() -> str:
    """Give the last commit that changed the measured program, marked where the working tree differs from it."""
    last = ["git", "log", "-1", "--format=%h", "--", PROGRAM]
    found = subprocess.run(last, capture_output=True, text=True, check=True).stdout.strip()
    clean = subprocess.run(["git", "diff", "--quiet", "HEAD", "--", PROGRAM], check=False).returncode == 0
    return found if clean else f"{found}-dirty"


def merged(old: tuple[Slope, ...], new: list[Slope]) -> tuple[Slope, ...]:
    """Put new slopes in place of all old ones of the same subjects."""
    measured = {slope.command for slope in new}
    kept = [slope for slope in old if slope.command not in measured]
    order = {name: place for place, name in enumerate(SUBJECTS)}
    return tuple(sorted([*kept, *new], key=lambda slope: (order.get(slope.command.split()[-1], len(order)))))


def main() -> None:
    """Measure, fit, write and draw."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__)
    parser.add_argument("--only", nargs="+", choices=list(SUBJECTS), help="subjects to measure; all others are kept")
    parser.add_argument("--out", type=Path, default=DEFAULT_RECORD)
    given = parser.parse_args()
    subjects = given.only or list(SUBJECTS)
    slopes: list[Slope] = []
    for name in subjects:
        began = time.monotonic()
        with gateway_garbage_collection():
            for slope in SUBJECTS[name](Effort()):
                slopes.append(slope)
                print(describe(slope), flush=True)
        print(f"{name}: measured in {time.monotonic() - began:.0f} s", flush=True)
    old = read_record(given.out).slopes if given.out.exists() else ()
    record = Record(
        RECORD_FORMAT,
        machine(),
        platform.python_version(),
        commit(),
        datetime.date.today().isoformat(),
        merged(old, slopes),
    )
    given.out.parent.mkdir(parents=True, exist_ok=True)
    write_record(given.out, record)
    for name in subjects:
        plot_subject(name, [slope for slope in record.slopes if slope.command.split()[-1] == name], given.out.parent)


def describe(slope: Slope) -> str:
    """Give a slope in one line."""
    points = ", ".join(f"{size:g}: {value:.4g}" for size, value in zip(slope.sizes, slope.values, strict=True))
    return f"{slope.name} [{slope.unit} by {slope.variable}] {points}; {slope.curve.value}, error {slope.error:.1%}"


if __name__ == "__main__":
    main()
