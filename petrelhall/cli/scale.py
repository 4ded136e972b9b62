"""``petrelhall scale``: the real control code of many gateways at once, with no data plane."""

from __future__ import annotations

import sys

import click
import msgspec
from rich.table import Table

from petrelhall.cli.tell import OUT, as_json
from petrelhall.hollow.consensus_run import Report
from petrelhall.hollow.consensus_run import run as run_consensus
from petrelhall.hollow.fleet import FleetSettings
from petrelhall.hollow.usage import TooFewDescriptors


@click.group()
def scale() -> None:
    """Hollow gateways: the real control code on real sockets of this machine, hundreds in one process.

    \b
    Example: petrelhall scale run --gateways 100 --seconds 60 --json
    """


@scale.command()
@click.option("--gateways", default=100, show_default=True, type=click.IntRange(2, 4096))
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1.0, 3600.0), help="at most")
@click.option("--changes", default=3, show_default=True, type=click.IntRange(0, 1000), help="one after the other")
@click.option(
    "--messages",
    default=100.0,
    show_default=True,
    type=click.FloatRange(1.0, 100000.0),
    help="a second that a gateway takes in from its peers",
)
@click.option("--membership/--no-membership", default=True, show_default=True, help="run membership as well")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "machine", is_flag=True, help="print JSON in place of a table")
def run(
    gateways: int, seconds: float, changes: int, messages: float, membership: bool, seed: int, machine: bool
) -> None:
    """Run the control code as every gateway runs it today: all take part in consensus.

    \b
    Example: petrelhall scale run --gateways 200 --seconds 100 --json
    Exit code 1 where the judge found a mistake or a datagram is not accounted for; 2 where the gateways do not fit.
    """
    try:
        report = run_consensus(FleetSettings(gateways, messages, membership, seed), seconds, changes)
    except (TooFewDescriptors, OSError) as error:
        print(f"petrelhall scale: {error}", file=sys.stderr)
        sys.exit(2)
    if machine:
        as_json(msgspec.to_builtins(report))
    else:
        OUT.print(table(report))
    if report.wrong or report.datagrams.unaccounted:
        sys.exit(1)


def table(report: Report) -> Table:
    """Show the figures of a run."""
    shown = Table(title=f"{report.gateways} hollow gateways, {report.seconds:.0f} s")
    shown.add_column("figure")
    shown.add_column("value", justify="right")
    rows = {
        "until all could admit": _ms(report.started_ms),
        "a lease, by the formulas": _ms(report.lease_ms),
        "share of a core at rest": f"{report.core_share_at_rest:.3f}",
        "share of a core in changes": f"{report.core_share_in_change:.3f}",
        "bytes a second out, a gateway": f"{report.bytes_per_s_per_gateway:.0f}",
        "memory, a gateway": f"{report.mib_per_gateway:.2f} MiB",
        "loop late by (99th)": _ms(report.loop_late_ms[1]),
        "datagrams sent": str(report.datagrams.sent),
        "datagrams unaccounted for": str(report.datagrams.unaccounted),
    }
    for change in report.changes:
        rows[f"{change.name}: {change.end}"] = (
            f"committed {_ms(change.committed_ms)}, in force everywhere {_ms(change.in_force_everywhere_ms)}"
        )
    for entry in report.at_end:
        rows[f"at the end on version {entry.version}"] = f"{entry.admitting} of {entry.gateways} admit"
    rows["mistakes"] = ", ".join(f"{name}: {count}" for name, count in report.wrong.items()) or "none"
    for name, value in rows.items():
        shown.add_row(name, value)
    return shown


def _ms(value: float | None) -> str:
    """Word a time."""
    return "not in this run" if value is None else f"{value:.0f} ms"
