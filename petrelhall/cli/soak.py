"""``petrelhall soak``: a long run of real gateways between stand-ins, judged by those."""

from __future__ import annotations

import json

import click
import msgspec

from petrelhall.cli.play import finish, play
from petrelhall.standins.crowd import Demand
from petrelhall.standins.faults import changing_limits, read
from petrelhall.standins.world import Setup


@click.command()
@click.option("--minutes", default=10.0, show_default=True, type=click.FloatRange(0.05, 120.0))
@click.option("--boxes", default=6, show_default=True, type=click.IntRange(1, 200))
@click.option("--gateways", default=2, show_default=True, type=click.IntRange(1, 16))
@click.option("--rate", default=400.0, show_default=True, type=click.FloatRange(1.0, 2000.0), help="requests a second")
@click.option("--clients", default=64, show_default=True, type=click.IntRange(1, 1000))
@click.option("--faults", type=click.Path(), help="fault script (JSON); else hidden idle limits that change")
@click.option("--operator", default="", type=click.Path(), help="operators' file for the gateways")
@click.option("--program", default="", type=click.Path(), help="folder of another checkout whose gateway is to run")
@click.option("--sockets", default=1024, show_default=True, help="descriptors that a gateway may hold")
@click.option(
    "--upgrades",
    default=0,
    show_default=True,
    type=click.IntRange(0, 500),
    help="times that a gateway is replaced by a second process while it serves",
)
@click.option(
    "--paced",
    default=0,
    show_default=True,
    type=click.IntRange(0, 2000),
    help="clients besides that keep a connection each and pause 0.05 to 0.6 s between requests",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(), help="write the figures to this file")
@click.option("--machine", is_flag=True, help="print JSON in place of tables")
def soak(
    minutes: float,
    boxes: int,
    gateways: int,
    rate: float,
    clients: int,
    faults: str | None,
    operator: str,
    program: str,
    sockets: int,
    upgrades: int,
    paced: int,
    seed: int,
    out: str | None,
    machine: bool,
) -> None:
    """Run real gateways for minutes against boxes whose hidden idle limits change.

    \b
    Example: petrelhall soak --minutes 10 --boxes 6 --gateways 2 --rate 400 --json soak.json
    With --upgrades the crossed are requests that met the end of their connection: at an upgrade, none should.
    Exit code 1 where a rule broke, or a request was lost, unanswered or failed on a stale connection.
    """
    seconds = 60.0 * minutes
    try:
        script = read(faults) if faults else changing_limits(seconds, boxes, seed)
    except (OSError, msgspec.MsgspecError) as error:
        raise click.UsageError(f"--faults: {error}") from error
    setup = Setup(
        seconds,
        boxes,
        gateways,
        Demand(rate=rate, clients=clients, paced=paced),
        script,
        seed=seed,
        operator=operator,
        program=program,
        sockets=sockets,
        upgrades=upgrades,
    )
    report, wrong = play(setup, machine)
    if out:
        with open(out, "w") as file:
            json.dump({**report, "wrong": wrong}, file, indent=2)
    finish(report, wrong, machine)
