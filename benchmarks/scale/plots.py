"""Draws the costs of one subject against size, with the fits and the budgets."""

from __future__ import annotations

from pathlib import Path

import matplotlib
import numpy

from petrelhall.capacity.records import Slope

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  # the backend must be chosen first

COLUMNS, WIDTH, HEIGHT, DOTS_PER_INCH = 3, 4.0, 2.8, 72
POINTS_OF_A_CURVE = 60
# What a cost is held against, by the name of its slope or by its unit: the promise to requests, and what a gateway may
# spend for control (3.1% of a core, 128 MB, 26 KB/s, changes and failures within 4 s).
REQUEST_MS, CHANGE_MS = 1.2, 4000.0
BUDGETS_BY_NAME = {
    "members.found": CHANGE_MS,
    "members.cut_found": CHANGE_MS,
    "members.found.simulated": CHANGE_MS,
    "accord.lease": CHANGE_MS,
    "accord.change.silent": CHANGE_MS,
    "accord.change.simulated": CHANGE_MS,
}
BUDGETS_BY_UNIT = {
    "ms": REQUEST_MS,
    "us": 1000.0 * REQUEST_MS,
    "ms/s": 31.0,
    "MiB": 128.0e6 / 1048576.0,
    "bytes/s": 26000.0,
}


def budget_of(slope: Slope) -> float | None:
    """Give the budget that a cost is held against, where there is one."""
    return BUDGETS_BY_NAME.get(slope.name, BUDGETS_BY_UNIT.get(slope.unit))


def decade_about(slope: Slope, budget: float | None) -> tuple[float, float]:
    """Give limits of a logarithmic axis that show all costs and the budget, with room about them."""
    shown = [value for value in (*slope.values, budget or 0.0) if value > 0.0] or [1.0]
    return min(shown) / 3.0, max(shown) * 3.0


def plot_subject(name: str, slopes: list[Slope], folder: Path) -> Path:
    """Draw one file for a subject: a panel for each slope."""
    rows = -(-len(slopes) // COLUMNS)
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(COLUMNS * WIDTH, rows * HEIGHT), squeeze=False)
    panels = list(axes.flat)
    for panel, slope in zip(panels, slopes, strict=False):
        sizes = numpy.geomspace(min(slope.sizes), max(slope.sizes), POINTS_OF_A_CURVE)
        label = f"{slope.curve.value}, error {slope.error:.0%}"
        panel.plot(sizes, [slope.at(size) for size in sizes], "-", linewidth=1, label=label)
        panel.plot(slope.sizes, slope.values, "ko", markersize=4)
        budget = budget_of(slope)
        if budget is not None:
            panel.axhline(budget, color="C3", linestyle="--", linewidth=1, label=f"budget {budget:.4g}")
        panel.set(xscale="log", yscale="log", xlabel=slope.variable, ylabel=slope.unit)
        panel.set_ylim(*decade_about(slope, budget))
        panel.set_title(slope.name, fontsize=9)
        panel.legend(fontsize=7)
    for panel in panels[len(slopes) :]:
        panel.set_axis_off()
    figure.tight_layout()
    path = folder / f"{name}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path
