"""``petrelhall scale``: the real control code of many gateways at once, with no data plane."""

from __future__ import annotations

import sys

import click
import msgspec
from rich.table import Table

from petrelhall.cli.tell import OUT, as_json
from petrelhall.hollow.consensus_run import Report
from petrelhall.hollow.consensus_run import run as run_consensus
from petrelhall.hollow.distribution_run import DistributionReport, DistributionSettings, Fault
from petrelhall.hollow.distribution_run import run as run_distribution
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


@scale.command()
@click.option("--gateways", default=100, show_default=True, type=click.IntRange(5, 4096))
@click.option("--seconds", default=60.0, show_default=True, type=click.FloatRange(1.0, 3600.0), help="of changes")
@click.option("--rest", default=8.0, show_default=True, type=click.FloatRange(3.0, 600.0), help="seconds before them")
@click.option("--changes", default=1.0, show_default=True, type=click.FloatRange(0.01, 100.0), help="a second")
@click.option("--entries", default=200, show_default=True, type=click.IntRange(1, 100000), help="of the first version")
@click.option("--delay-ms", default=0.0, show_default=True, type=click.FloatRange(0.0, 1000.0), help="between regions")
@click.option("--fault", default="none", show_default=True, type=click.Choice([fault.value for fault in Fault]))
@click.option("--fault-seconds", default=30.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "machine", is_flag=True, help="print JSON in place of a table")
def distribution(
    gateways: int,
    seconds: float,
    rest: float,
    changes: float,
    entries: int,
    delay_ms: float,
    fault: str,
    fault_seconds: float,
    seed: int,
    machine: bool,
) -> None:
    """Run the distribution of configurations: 5 replicas, 5 distributors, and gateways that learn and do not vote.

    \b
    Example: petrelhall scale distribution --gateways 300 --fault distributor --json
    Exit code 1 where the judge found a mistake or a change is not in force; 2 where the gateways do not fit.
    """
    settings = DistributionSettings(
        gateways=gateways,
        seconds=seconds,
        changes_per_s=changes,
        rest_s=rest,
        entries=entries,
        delay_ms=delay_ms,
        fault=Fault(fault),
        fault_s=fault_seconds,
        seed=seed,
    )
    try:
        report = run_distribution(settings)
    except (TooFewDescriptors, OSError) as error:
        print(f"petrelhall scale: {error}", file=sys.stderr)
        sys.exit(2)
    if machine:
        as_json(msgspec.to_builtins(report))
    else:
        OUT.print(distribution_table(report))
    if not report.passed():
        sys.exit(1)


def distribution_table(report: DistributionReport) -> Table:
    """Show the figures of a run of the distribution."""
    shown = Table(title=f"{report.gateways} gateways that learn, fault: {report.fault}")
    for name in ("figure", "median", "99th", "slowest"):
        shown.add_column(name, justify="left" if name == "figure" else "right")
    rows = {
        "submitted to in force everywhere": report.submit_to_in_force_ms,
        "committed to in force everywhere": report.commit_to_in_force_ms,
        "a gateway without a lease, each change": report.without_lease_ms,
    }
    for name, found in rows.items():
        shown.add_row(name, _ms(found.median), _ms(found.percentile_99), _ms(found.slowest))
    shown.add_row("until all admitted at the start", "", "", _ms(report.started_ms))
    ended = f"{report.changes_in_force} of {report.changes_submitted}"
    shown.add_row("changes in force", "", "", ended)
    parts = (report.gateway, *report.replicas, *report.distributors)
    for part in parts:
        shown.add_row(
            f"{part.name}: core at rest, in changes; memory",
            f"{100.0 * part.at_rest.core:.2f}%",
            f"{100.0 * part.in_changes.core:.2f}%",
            f"{part.mib:.2f} MiB",
        )
    wrong = {name: count for name, count in report.mistakes.items() if count}
    shown.add_row("mistakes", "", "", ", ".join(f"{name}: {count}" for name, count in wrong.items()) or "none")
    return shown


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
