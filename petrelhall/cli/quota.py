"""``petrelhall quota``: what is stated of quotas and ceilings, from settings alone."""

from __future__ import annotations

import sys

import click
from rich.table import Table

from petrelhall.cli.tell import OUT, as_json
from petrelhall.gateway.config import ConfigError, load
from petrelhall.operator.file import OperatorError, read
from petrelhall.operator.settings import File
from petrelhall.quota.bound import bounds
from petrelhall.quota.shares import Terms


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
    shown = Table(title=f"beyond rate x time + burst in {window:g} s, by all {size} gateways of a set")
    for name in ("plan", "what", "state", "units beyond, at most", "served, at least", "why"):
        shown.add_column(name)
    rows = []
    for name, plan in zip(config.plans, config.settings.plans, strict=True):
        for what, rate, burst in (("quota", plan.rate, plan.burst),
                                  ("ceiling", plan.ceiling_rate, plan.ceiling_burst)):
            if rate <= 0.0:
                continue
            for one in bounds(Terms(rate, burst, size), window, settings.links.wait_ms):
                rows.append({"plan": name, "what": what, "state": one.state, "beyond": round(one.beyond, 2),
                             "served": round(one.served, 4), "why": one.why})
                shown.add_row(name, what, one.state, f"{one.beyond:.1f}", f"{one.served:.3f}", one.why)
    refused = "" if settings.quota.on and not config.settings.cost_after else (
        "quota.on is false in the operators' file" if not settings.quota.on
        else "the platform tells what a request cost only afterwards")
    if machine:
        as_json({"window_s": window, "gateways": size, "holds": not refused, "why_not": refused, "bounds": rows})
    else:
        OUT.print(shown)
        if refused:
            OUT.print(f"NOT STATED: {refused}; this is what would be")
    sys.exit(1 if refused else 0)
