"""How a run of stand-ins is shown: a live table while it goes on, a summary at its end."""

from __future__ import annotations

import time
from typing import Any

from rich.table import Table

from petrelhall.standins.world import World

RULED = ("lost", "spoilt")


def verdict(report: dict[str, Any]) -> list[str]:
    """Give what is wrong with a run: broken rules, and requests without exactly one final answer."""
    wrong = [
        f"rule broken: {name}, {count} times, such as {report['examples'][name]}"
        for name, count in report["broken"].items()
    ]
    if report["final_answers"] != report["requests"]:
        wrong.append(f"{report['requests']} requests had {report['final_answers']} final answers")
    wrong += [f"{report[name]} requests {name}" for name in RULED if report[name]]
    if report["unanswered"]:
        wrong.append(f"{report['unanswered']} requests had no answer in their time")
    if report["failed_on_stale"]:
        wrong.append(f"{report['failed_on_stale']} requests failed on a stale connection")
    if report["upgrades"] and report["crossed"] + report["unreached"]:
        wrong.append(f"{report['crossed']} requests met their connection's end, {report['unreached']} a closed door")
    wrong += [f"upgrade: {reason}" for reason in report["upgrades_wrong"]]
    wrong += [
        f"gateway {number} ended with exit code {code}" for number, code in enumerate(report["exit_codes"]) if code
    ]
    return wrong


def table(world: World) -> Table:
    """Give the present state as a table, a row a box."""
    seen, crowd = world.judge.seen, world.crowd
    assert crowd is not None
    latencies = sorted(crowd.latencies[-2000:])

    def at(share: float) -> str:
        return f"{latencies[int(share * (len(latencies) - 1))]:.0f} ms" if latencies else "-"

    shown = Table(
        title=(
            f"{time.monotonic() - world.began:.0f} s of {world.setup.seconds:.0f}: {crowd.asked} asked, "
            f"{seen['served']} served, {seen['refused']} refused, {seen['failed']} failed, "
            f"p50 {at(0.5)}, p99 {at(0.99)}, {seen['stale_attempts']} stale, "
            f"{sum(world.judge.broken.values())} rules broken"
        )
    )
    for name in ("box", "state", "connections", "peak", "opened", "in work", "served", "turned away", "faults"):
        shown.add_column(name, justify="left" if name in ("box", "state", "faults") else "right")
    for box in world.boxes:
        faults = box.faults
        wrong = [f"idle {faults.idle_s[0]:g}..{faults.idle_s[1]:g} s {faults.idle_mode}"] if faults.idle_s else []
        wrong += [name for name in ("refuse", "hang", "mute") if getattr(faults, name)]
        wrong += [f"{faults.slow:g} times slower"] if faults.slow != 1.0 else []
        wrong += [f"cap {faults.cap}"] if faults.cap else []
        state = "down" if box.listener is None else "draining" if box.drained_at else "ready"
        if state == "ready" and box.started and time.monotonic() - box.started < box.model.cold_s:
            state = "cold"
        shown.add_row(
            box.name,
            state,
            *(
                str(number)
                for number in (
                    len(box.lines),
                    box.seen.peak,
                    box.seen.opened,
                    box.working,
                    box.seen.served,
                    box.seen.turned_away,
                )
            ),
            ", ".join(wrong),
        )
    return shown


def summary(report: dict[str, Any]) -> Table:
    """Give the figures of a run as a table."""
    shown = Table(title="summary", show_header=False)
    for name in (
        "requests",
        "final_answers",
        "served",
        "refused",
        "failed",
        "unanswered",
        "crossed",
        "unreached",
        "upgrades",
        "late",
        "p50_ms",
        "p99_ms",
        "attempts",
        "stale_attempts",
        "stale_after_learning_per_1000",
        "failed_on_stale",
        "opened",
        "opened_ahead",
        "retired",
        "connections_per_1000",
        "cold_opened_first_s",
        "cpu_ms_per_request",
        "memory_mb",
    ):
        shown.add_row(name.replace("_", " "), str(report[name]))
    return shown
