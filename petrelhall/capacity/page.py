"""The generated section of the capacity page, as Markdown. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from petrelhall.capacity.figures import Role, definitions
from petrelhall.capacity.findings import outcomes
from petrelhall.capacity.missing import Missing, missing
from petrelhall.capacity.records import Curve, Record, Slope
from petrelhall.capacity.tables import UNMEASURED, Tables
from petrelhall.capacity.words import HEADINGS, amount, cells, significant
from petrelhall.capacity.workload import Rates

POOR_FIT = 0.25  # largest error of a fit that is named beside the table of slopes
BEGUN = " (a first piece is built, off by default; its own rows are in the tables)"
BEGIN, END = "<!-- capacity:begin -->", "<!-- capacity:end -->"


class PageError(ValueError):
    """A page without the two marks of its generated section."""


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


def rate_rows(worked_out: Tables) -> tuple[tuple[str, ...], list[tuple[str, ...]]]:
    """Give the headings and the rows of the rates of the ordinary day and of the worst minutes."""
    names = [field for field in Rates.__struct_fields__ if field not in ("name", "why")]
    states = (worked_out.ordinary, *worked_out.worst_minutes)
    rows = [
        (state.name, *(significant(float(value)) for value in list(msgspec.structs.asdict(state).values())[2:]))
        for state in states
    ]
    units = {"requests": "requests/s, one gateway", "tenants_seen": "tenants seen, one gateway"}
    titles = [units.get(name, f"{name.replace('_', ' ')}/s") for name in names]
    return ("state", *titles), rows


def rates_part(worked_out: Tables) -> list[str]:
    """Give the rates, and what is assumed for each state."""
    headings, rows = rate_rows(worked_out)
    states = (worked_out.ordinary, *worked_out.worst_minutes)
    whys = [f"- **{state.name}**: {state.why}." for state in states]
    return ["### Rates\n", table(headings, rows), "\n".join(whys) + "\n"]


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
            f"{100.0 * slope.error:.1f}%",
            f"{max(slope.spread):.0%}",
            slope.leaves_out,
            f"`{slope.command}`",
        )
        for slope in sorted(record.slopes, key=lambda slope: slope.name)
    ]
    used = {term.slope for definition in definitions() for term in definition.terms}
    unused = [slope.name for slope in record.slopes if slope.name not in used]
    headings = (
        "slope",
        "what was measured",
        "sizes",
        "fit",
        "largest error",
        "largest spread of repeats",
        "left out",
        "command",
    )
    poor = [f"{slope.name} ({slope.error:.0%})" for slope in record.slopes if slope.error > POOR_FIT]
    return [
        "### Slopes\n",
        table(headings, rows),
        f"Fits that are off by more than {POOR_FIT:.0%} at some measured size: {', '.join(poor) or 'none'}.\n",
        f"Measured, and in no figure: {', '.join(unused) or 'none'}.\n",
    ]


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
                "" if outcome.spread is None else f"{outcome.spread:.0%}",
                judgement,
            )
        )
    return [
        "### Earlier findings\n",
        table(("what", "slope", "said", "measured (fit)", "spread of repeats", "outcome"), rows),
    ]


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


def how_far(one: Missing) -> str:
    """Say how far what runs today misses without one mechanism."""
    unmeasured = "; ".join(one.unmeasured)
    if one.miss is None:
        return f"not measured ({unmeasured})"
    if one.miss > 1.0:
        text = f"missed by {significant(one.miss)} times ({one.figure})"
    else:
        text = f"nothing measured misses; nearest at {significant(one.miss)} of its budget ({one.figure})"
    return f"{text}; not measured: {unmeasured}" if unmeasured else text


def missing_part(found: tuple[Missing, ...]) -> list[str]:
    """Give the missing mechanisms in order."""
    lines = [
        f"{place}. **{one.name}**{BEGUN if one.begun else ''}: {how_far(one)}. It would take: {one.takes}."
        for place, one in enumerate(found, 1)
    ]
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
