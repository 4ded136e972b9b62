"""Figures in words: numbers with units, and the generated section of the capacity page as Markdown. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from petrelhall.capacity.figures import Quantity, Role, definitions
from petrelhall.capacity.findings import outcomes
from petrelhall.capacity.missing import Missing, missing
from petrelhall.capacity.records import Curve, Record, Slope
from petrelhall.capacity.tables import MISSES, PARTLY, UNBUDGETED, UNMEASURED, Figure, Tables
from petrelhall.capacity.workload import Rates

BEGIN, END = "<!-- capacity:begin -->", "<!-- capacity:end -->"
PREFIXES = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
TIMES = ((1.0, "s"), (1e-3, "ms"), (1e-6, "us"))


class PageError(ValueError):
    """A page without the two marks of its generated section."""


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
    """Write a figure's verdict, with the factor by which it misses."""
    if figure.verdict == MISSES and figure.miss is not None:
        return f"misses x{significant(figure.miss)}"
    if figure.verdict == PARTLY:
        return f"{PARTLY}, {len(figure.unmeasured)} not measured"
    return figure.verdict


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


HEADINGS = ("figure", "ordinary day", "worst minute", "budget", "verdict", "slope x size", "carried by")


def section(record: Record, worked_out: Tables) -> str:
    """Give the generated section of the page."""
    parts = [
        heading(worked_out),
        *rates_part(worked_out),
        *(part for role in Role for part in role_part(worked_out, role)),
        *slopes_part(record),
        *findings_part(record),
        *missing_part(missing(worked_out)),
    ]
    return "\n".join(parts) + "\n"


def heading(worked_out: Tables) -> str:
    """Say for what size, and from which record."""
    size = worked_out.size
    return (
        f"Worked out for {size.gateways:,} gateways, {size.servers:,} servers in {size.services:,} services, "
        f"{size.requests_per_second:,.0f} requests/s, {size.routes:,} routes, {size.tenants:,} tenants, "
        f"{size.regions} regions, {size.zones} zones, {size.changes_per_day:,.0f} changes a day, "
        f"{size.failures_per_day:,.0f} failures and {size.restarts_per_day:,.0f} restarts a day, "
        f"{size.control_machines} control machines. Slopes measured on {worked_out.measured_on} at commit "
        f"{worked_out.commit}, {worked_out.machine}, Python {worked_out.python}.\n"
    )


def table(headings: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Give a Markdown table."""
    lines = [headings, ("---",) * len(headings), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |" for line in lines) + "\n"


def rates_part(worked_out: Tables) -> list[str]:
    """Give the rates of the ordinary day and of the worst minutes, and what is assumed for each."""
    names = [field for field in Rates.__struct_fields__ if field not in ("name", "why")]
    states = (worked_out.ordinary, *worked_out.worst_minutes)
    rows = [
        (state.name, *(significant(float(value)) for value in list(msgspec.structs.asdict(state).values())[2:]))
        for state in states
    ]
    units = {"requests": "requests/s, one gateway", "tenants_seen": "tenants seen, one gateway"}
    titles = [units.get(name, f"{name.replace('_', ' ')}/s") for name in names]
    whys = [f"- **{state.name}**: {state.why}." for state in states]
    return ["### Rates\n", table(("state", *titles), rows), "\n".join(whys) + "\n"]


def role_part(worked_out: Tables, role: Role) -> list[str]:
    """Give one role's table."""
    rows = [cells(figure, worked_out.ordinary) for figure in worked_out.of(role)]
    return [f"### {role.value[0].upper()}{role.value[1:]}\n", table(HEADINGS, rows)]


def slopes_part(record: Record) -> list[str]:
    """Give what was measured: sizes, fit, its error, what is left out, the command."""
    rows = [
        (
            slope.name,
            slope.title,
            f"{len(slope.sizes)}: {significant(min(slope.sizes))} to {significant(max(slope.sizes))} {slope.variable}",
            formula(slope),
            f"{significant(100.0 * slope.error)}%",
            slope.leaves_out,
            f"`{slope.command}`",
        )
        for slope in sorted(record.slopes, key=lambda slope: slope.name)
    ]
    used = {term.slope for definition in definitions() for term in definition.terms}
    unused = [slope.name for slope in record.slopes if slope.name not in used]
    headings = ("slope", "what was measured", "sizes", "fit", "largest error", "left out", "command")
    return ["### Slopes\n", table(headings, rows), f"Measured, and in no figure: {', '.join(unused) or 'none'}.\n"]


def findings_part(record: Record) -> list[str]:
    """Give the figures that were found before, confirmed or refuted."""
    rows = []
    for outcome in outcomes(record):
        if outcome.factor is None:
            judgement = UNMEASURED
        else:
            judgement = "confirmed" if outcome.confirmed else f"refuted: {significant(outcome.factor)} times that"
        rows.append(
            (
                outcome.subject,
                f"{outcome.slope}({outcome.size:,.0f})",
                amount(outcome.said, outcome.quantity),
                amount(outcome.measured, outcome.quantity),
                judgement,
            )
        )
    return ["### Earlier findings\n", table(("what", "slope", "said", "measured (fit)", "outcome"), rows)]


def formula(slope: Slope) -> str:
    """Write a fitted curve with its coefficients."""
    size = slope.variable
    first, *others = [f"{coefficient:.4g}" for coefficient in slope.coefficients]
    if slope.curve is Curve.POWER:
        text = f"{first} x {size}^{others[0]}"
    elif slope.curve is Curve.LOGARITHMIC:
        text = f"{first} + {others[0]} x ln({size})"
    else:
        powers = [size if power == 1 else f"{size}^{power}" for power in range(1, len(others) + 1)]
        text = " + ".join([first, *(f"{other} x {power}" for other, power in zip(others, powers, strict=True))])
    return f"{text.replace('+ -', '- ')} {slope.unit}"


def missing_part(found: tuple[Missing, ...]) -> list[str]:
    """Give the missing mechanisms in order."""
    lines = []
    for place, one in enumerate(found, 1):
        if one.miss is None:
            by = f"not measured ({'; '.join(one.unmeasured)})"
        elif one.miss > 1.0:
            by = f"missed by {significant(one.miss)} times ({one.figure})"
        else:
            by = f"nothing measured misses; nearest at {significant(one.miss)} of its budget ({one.figure})"
        if one.miss is not None and one.unmeasured:
            by += f"; not measured: {'; '.join(one.unmeasured)}"
        lines.append(f"{place}. **{one.name}**: {by}. It would take: {one.takes}.")
    return ["### Missing mechanisms, by how far they miss\n", "\n".join(lines) + "\n"]


def held(page: str) -> str:
    """Give the generated section that a page holds (PageError)."""
    before, found, rest = page.partition(BEGIN + "\n")
    inside, ended, after = rest.partition(END)
    if not found or not ended or BEGIN in inside + after or END in before:
        raise PageError(f"no section between one {BEGIN} and one {END}")
    return inside


def renewed(page: str, inside: str) -> str:
    """Give the page with another generated section (PageError)."""
    return page.replace(f"{BEGIN}\n{held(page)}{END}", f"{BEGIN}\n{inside}{END}")
