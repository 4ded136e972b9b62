"""``petrelhall quota``: what is stated of quotas and ceilings, from settings alone."""

from __future__ import annotations

import asyncio
import sys
import tempfile

import click
from rich.table import Table

from petrelhall.cli.drill import finish
from petrelhall.cli.tell import OUT, as_json
from petrelhall.gateway.config import ConfigError, load
from petrelhall.operator.file import OperatorError, read
from petrelhall.operator.settings import File, Links
from petrelhall.quota.bound import bounds, worst
from petrelhall.quota.shares import Terms
from petrelhall.standins.counting import CounterSoak
from petrelhall.standins.crowd import Demand
from petrelhall.standins.drill import prepare
from petrelhall.standins.world import Setup


@click.group()
def quota() -> None:
    """Quotas and ceilings that gateways own in shares.

    \b
    Example: petrelhall quota bound config.json --spread 4
    """


@quota.command()
@click.argument("file", type=click.Path())
@click.option("--operator", default="", type=click.Path(), help="operators' file; else all is at its default")
@click.option("--spread", default=0, type=click.IntRange(0, 4096), help="gateways of a district's set; 0: all")
@click.option("--window", default=60.0, show_default=True, type=click.FloatRange(0.1, 86400.0), help="seconds")
@click.option("--json", "machine", is_flag=True, help="print JSON")
def bound(file: str, operator: str, spread: int, window: float, machine: bool) -> None:
    """Print the most beyond each quota and ceiling, and the least served, for each state of the fleet.

    FILE is a gateway's configuration, as EDGE_CONFIG names it.

    \b
    Example: petrelhall quota bound config.json --spread 4 --window 60
    Exit code 1 where shares are off in the operators' file, so that nothing is stated; 2 for a file that is unusable.
    """
    try:
        config = load({"EDGE_CONFIG": file})
        settings = read(operator) if operator else File()
    except (ConfigError, OperatorError) as error:
        raise click.UsageError(str(error)) from error
    size = spread or config.settings.gateways
    alone = not config.settings.peers
    counted = config.settings.counter and (
        settings.quota.counter == "always" or (settings.quota.counter == "alone" and alone)
    )
    shown = Table(title=f"beyond rate x time + burst in {window:g} s, by all {size} gateways of a set")
    for name in ("plan", "what", "state", "units beyond, at most", "served, at least", "why"):
        shown.add_column(name)
    rows = []
    for name, plan in zip(config.plans, config.settings.plans, strict=True):
        for what, rate, burst in (("quota", plan.rate, plan.burst), ("ceiling", plan.ceiling_rate, plan.ceiling_burst)):
            if rate <= 0.0:
                continue
            for one in bounds(Terms(rate, burst, size, counted), window, settings.links.wait_ms):
                rows.append(
                    {
                        "plan": name,
                        "what": what,
                        "state": one.state,
                        "beyond": round(one.beyond, 2),
                        "served": round(one.served, 4),
                        "why": one.why,
                    }
                )
                shown.add_row(name, what, one.state, f"{one.beyond:.1f}", f"{one.served:.3f}", one.why)
    refused = (
        ""
        if settings.quota.on and not config.settings.cost_after
        else (
            "quota.on is false in the operators' file"
            if not settings.quota.on
            else "the platform tells what a request cost only afterwards"
        )
    )
    if machine:
        as_json({"window_s": window, "gateways": size, "holds": not refused, "why_not": refused, "bounds": rows})
    else:
        OUT.print(shown)
        if refused:
            OUT.print(f"NOT STATED: {refused}; this is what would be")
    sys.exit(1 if refused else 0)


@quota.command()
@click.option("--minutes", default=5.0, show_default=True, type=click.FloatRange(0.15, 120.0))
@click.option(
    "--every",
    default=20.0,
    show_default=True,
    type=click.FloatRange(2.0, 600.0),
    help="seconds between two troubles of the counter",
)
@click.option("--gateways", default=4, show_default=True, type=click.IntRange(1, 16))
@click.option("--districts", default=6, show_default=True, type=click.IntRange(1, 100))
@click.option(
    "--lean",
    default=0.7,
    show_default=True,
    type=click.FloatRange(0.0, 1.0),
    help="share of a district's requests that come to one gateway, beside its even part of the rest",
)
@click.option("--without", is_flag=True, help="without the counter, for comparison")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
@click.option("--machine", is_flag=True, help="print JSON in place of a table")
def soak(
    minutes: float,
    every: float,
    gateways: int,
    districts: int,
    lean: float,
    without: bool,
    seed: int,
    out: str | None,
    machine: bool,
) -> None:
    """Gateways that may not speak lend through a counter that is replaced, split, lost, late, busy and spoilt in turn.

    \b
    Example: petrelhall quota soak --minutes 5 --json soak.json
    Exit code 1 where more went beyond a quota or a ceiling than is stated, or a request was lost.
    """
    seconds = 60.0 * minutes
    with tempfile.TemporaryDirectory() as folder:
        operator = prepare(folder, {"quota": {"on": True, "counter": "never" if without else "alone"}})
        asked = Demand(
            rate=2.0 * districts * CounterSoak.RATE, clients=64, districts=districts, keyed_share=0.0, lean=lean
        )
        world = CounterSoak(
            Setup(seconds, 8, gateways, asked, seed=seed, operator=operator, speak=False, counters=2), every
        )
        outcome = world.outcome(asyncio.run(world.run()))
    stated = {
        name: round(worst(Terms(*terms, gateways, True), seconds, Links().wait_ms, 0), 1)
        for name, terms in (
            ("stated_error_units", (CounterSoak.RATE, CounterSoak.BURST)),
            ("stated_large_error_units", CounterSoak.LARGE),
        )
    }
    place = list(outcome).index("ceiling_passed")
    rows = list(outcome.items())
    finish(world, dict([*rows[:place], *stated.items(), *rows[place:]]), beyond_stated, out, machine)


def beyond_stated(outcome: dict[str, object]) -> list[str]:
    """Give what a soak of the counter found."""
    found = [
        f"{outcome[name]} units beyond, {outcome[stated]} are stated"
        for name, stated in (
            ("worst_error_units", "stated_error_units"),
            ("large_error_units", "stated_large_error_units"),
        )
        if float(str(outcome[name])) > float(str(outcome[stated]))
    ]
    found += [f"{name}: {outcome[name]}" for name in ("ceiling_passed", "lost", "broken") if outcome[name]]
    codes = outcome["exit_codes"]
    assert isinstance(codes, list)
    return found + [f"a gateway ended with exit code {code}" for code in codes if code]
