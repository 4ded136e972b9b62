"""Figures in words: numbers with units, verdicts, and where a figure comes from. Pure."""

from __future__ import annotations

from petrelhall.capacity.figures import Quantity
from petrelhall.capacity.tables import MISSES, PARTLY, UNBUDGETED, UNMEASURED, Figure
from petrelhall.capacity.workload import Rates

PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
TIMES = ((1.0, "s"), (1e-3, "ms"), (1e-6, "us"))
HEADINGS = ("figure", "ordinary day", "worst minute", "budget", "verdict", "slope x size", "carried by")


def significant(value: float) -> str:
    """Write a number with three significant digits and without an exponent."""
    if value == 0.0:
        return "0"
    if abs(value) >= 99.95:
        return f"{value:,.0f}"
    return f"{value:.3g}" if abs(value) >= 0.001 else f"{value:.1e}"


def amount(value: float | None, quantity: Quantity) -> str:
    """Write a value in the unit that suits it."""
    if value is None:
        return UNMEASURED
    if quantity in (Quantity.CPU, Quantity.DELAYED):
        return f"{significant(100.0 * value)}%"
    if quantity in (Quantity.TURN, Quantity.DURATION):
        scale, unit = next((pair for pair in TIMES if value >= pair[0]), TIMES[-1])
        return f"{significant(value / scale)} {unit}"
    if quantity in (Quantity.BYTES_IN, Quantity.BYTES_OUT, Quantity.MEMORY, Quantity.STATE_BYTES):
        scale, prefix = next((pair for pair in PREFIXES if value >= pair[0]), (1.0, ""))
        return f"{significant(value / scale)} {prefix}B{'/s' if quantity.value.startswith('bytes') else ''}"
    return f"{significant(value)}{'/s' if quantity in (Quantity.MESSAGES_IN, Quantity.MESSAGES_OUT) else ''}"


def judged(figure: Figure) -> str:
    """Write a figure's verdict: the factor by which it misses, and whether it was only extrapolated."""
    if figure.verdict == MISSES and figure.miss is not None:
        text = f"misses x{significant(figure.miss)}"
    elif figure.verdict == PARTLY:
        text = f"{PARTLY}, {len(figure.unmeasured)} not measured"
    else:
        text = figure.verdict
    return f"{text}, extrapolated" if figure.extrapolation > 1.0 and figure.miss is not None else text


def worst(figure: Figure, day: Rates) -> str:
    """Write the worst minute's value, and which minute it is where it differs from the ordinary day."""
    text = amount(figure.worst, figure.quantity)
    return text if figure.worst == figure.ordinary or figure.worst is None else f"{text} ({figure.worst_minute})"


def source(figure: Figure) -> str:
    """Write where a figure comes from, and how far beyond the measured sizes."""
    text = figure.source
    if figure.extrapolation > 1.0:
        text += f"; {significant(figure.extrapolation)}x beyond the measured sizes"
    if figure.unmeasured and figure.verdict != UNMEASURED:
        text += f"; without {', '.join(figure.unmeasured)}"
    return text


def cells(figure: Figure, day: Rates) -> tuple[str, ...]:
    """Give a figure's row."""
    return (
        f"{figure.quantity.value}: {figure.subject}",
        amount(figure.ordinary, figure.quantity),
        worst(figure, day),
        "" if figure.budget is None else amount(figure.budget, figure.quantity),
        "" if figure.verdict == UNBUDGETED else judged(figure),
        source(figure),
        figure.carried_by,
    )
