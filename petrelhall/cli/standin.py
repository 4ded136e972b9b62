"""``petrelhall stand-in``: the stand-ins as programs of their own, for gateways that were started by hand."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import click
import msgspec

from petrelhall.cli.tell import OUT, as_json, log
from petrelhall.standins.box import Model
from petrelhall.standins.counter import Counter
from petrelhall.standins.crowd import Crowd, Demand
from petrelhall.standins.faults import read
from petrelhall.standins.judge import Judge
from petrelhall.standins.wire import text
from petrelhall.standins.world import Setup, World

PORT = click.IntRange(0, 65535)
SECONDS = click.FloatRange(0.1, 86400.0)


@click.group("stand-in")
def standin() -> None:
    """Run parts of the world round a gateway as programs, on loopback.

    \b
    Example: petrelhall stand-in boxes --count 6 --port 8500 --seconds 600
    """


def run_for(seconds: float, start: Callable[[], Awaitable[None]]) -> None:
    """Run until the time is up or a signal comes."""

    async def whole() -> None:
        ended = asyncio.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, ended.set)
        await start()
        try:
            await asyncio.wait_for(ended.wait(), seconds)
        except TimeoutError:
            pass

    asyncio.run(whole())


@standin.command()
@click.option("--count", default=6, show_default=True, type=click.IntRange(1, 200))
@click.option("--port", default=0, type=PORT, help="discovery's port; 0 for a free one")
@click.option("--service-ms", default=6.0, show_default=True, type=click.FloatRange(0.01, 10000.0))
@click.option("--faults", type=click.Path(), help="fault script (JSON)")
@click.option("--seconds", default=600.0, show_default=True, type=SECONDS)
@click.option("--seed", default=1, show_default=True)
def boxes(count: int, port: int, service_ms: float, faults: str | None, seconds: float, seed: int) -> None:
    """Boxes and the discovery that lists them; what they saw is printed at the end.

    \b
    Example: petrelhall stand-in boxes --count 6 --port 8500
    """
    try:
        setup = Setup(
            seconds,
            count,
            0,
            script=read(faults) if faults else Setup().script,
            model=Model(service_ms=service_ms),
            seed=seed,
        )
    except (OSError, msgspec.MsgspecError) as error:
        raise click.UsageError(f"--faults: {error}") from error
    if any(fault.do in ("kill_gateway", "restart_gateway") for fault in setup.script.faults):
        raise click.UsageError("--faults: gateways are not this program's to kill")
    world = World(setup)
    world.discovery.address = ("127.0.0.1", port)
    tasks: list[asyncio.Task[None]] = []

    async def start() -> None:
        await world.start_boxes()
        world.began = asyncio.get_running_loop().time()
        tasks.append(asyncio.create_task(world.play()))
        log().info("listening", discovery=text(world.discovery.address), boxes=[text(b.address) for b in world.boxes])

    run_for(seconds, start)
    report = world.judge.report()
    as_json(
        {
            **report,
            "boxes": {
                box.name: {"opened": box.seen.opened, "peak": box.seen.peak, "served": box.seen.served}
                for box in world.boxes + world.gone
            },
        }
    )
    sys.exit(1 if report["broken"] else 0)


@standin.command()
@click.option("--port", default=0, type=PORT)
@click.option("--per-s", default=1300.0, show_default=True, type=click.FloatRange(1.0, 100000.0))
@click.option("--seconds", default=600.0, show_default=True, type=SECONDS)
def counter(port: int, per_s: float, seconds: float) -> None:
    """The shared counter.

    \b
    Example: petrelhall stand-in counter --port 6400
    """
    held = Counter(per_s)
    held.address = ("127.0.0.1", port)

    async def start() -> None:
        await held.start()
        log().info("listening", counter=text(held.address))

    run_for(seconds, start)
    as_json({"calls": held.calls, "errors": held.errors, "names": len(held.numbers)})


@standin.command()
@click.argument("gateways", nargs=-1, required=True)
@click.option("--rate", default=100.0, show_default=True, type=click.FloatRange(0.1, 2000.0))
@click.option("--seconds", default=20.0, show_default=True, type=SECONDS)
@click.option("--plan", "plans", multiple=True, default=("district",), show_default=True)
@click.option("--seed", default=1, show_default=True)
def crowd(gateways: tuple[str, ...], rate: float, seconds: float, plans: tuple[str, ...], seed: int) -> None:
    """Clients that ask GATEWAYS (ports, or 127.0.0.1:PORT); exit code 1 where a request lacks its one answer.

    \b
    Example: petrelhall stand-in crowd 8443 8444 --rate 200 --seconds 30
    """
    addresses = []
    for gateway in gateways:
        host, _, port = gateway.rpartition(":")
        if not port.isdigit() or (host and not host.startswith("127.")):
            raise click.UsageError(f"{gateway}: must be a port, or an address in 127.0.0.0/8 with one")
        addresses.append((host or "127.0.0.1", int(port)))
    judge = Judge()
    clients = Crowd(Demand(rate=rate), judge, addresses, list(plans), seed)
    asyncio.run(clients.run(seconds))
    report = judge.report()
    as_json({**clients.summary(), **report})
    wrong = report["broken"] or report["final_answers"] != clients.asked or report.get("unanswered")
    OUT.print("every request had exactly one final answer" if not wrong else "WRONG", style="bold")
    sys.exit(1 if wrong else 0)
