"""A drill: real gateways with faults between them and to their processes, under load, judged from outside."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import signal
import time
from dataclasses import dataclass
from typing import Any

from petrelhall.standins.history import History, Moment, Said, Stated
from petrelhall.standins.meter import Meter
from petrelhall.standins.network import Way
from petrelhall.standins.strikes import Play, Strike
from petrelhall.standins.world import GatewayProcess, Setup, World, ready

TURN_S, ON_S = 0.25, 0.05  # starving: in each turn the process runs for so long
FLAP_S = 0.4
CALM_S = 3.0  # by which views are the same after the last strike
BACK_S = 2.0  # after a start or an absence, for which a gateway says itself that its view is old
VIEW_S = 2.0


@dataclass
class Trouble:
    """What is wrong with a gateway's process now; several strikes may add up."""

    dead: bool = False
    leaving: bool = False
    stopped: int = 0
    starved: int = 0
    replaced: int = 0

    @property
    def any(self) -> bool:
        """Tell whether anything is."""
        return bool(self.dead or self.leaving or self.stopped or self.starved or self.replaced)


class Drill(World):
    """One drill."""

    def __init__(self, setup: Setup, play: Play) -> None:
        super().__init__(setup)
        self.strikes = play
        self.trouble = [Trouble() for _ in range(setup.gateways)]
        self.moments: list[Moment] = []
        self.said: list[Said] = []
        self.codes: list[int] = []  # of processes that were told to end
        self.views: list[dict[str, Any]] = []  # at the end
        self.calm_at = 0.0

    # Truth

    def mark(self) -> None:
        """Keep how things stand from now on."""
        assert self.network is not None
        numbers = range(self.setup.gateways)
        at = [self.trouble[number] for number in numbers]
        self.moments.append(
            Moment(
                time.time(),
                frozenset(n for n in numbers if not (at[n].dead or at[n].leaving or at[n].stopped)),
                frozenset(pair for pair, way in self.network.ways.items() if way.cut),
                frozenset(n for n in numbers if at[n].dead or at[n].leaving),
                frozenset(n for n in numbers if at[n].starved or at[n].replaced),
            )
        )
        assert self.crowd is not None
        for number in numbers:
            if at[number].any:
                self.crowd.troubled[number] = float("inf")
            elif self.crowd.troubled.get(number) == float("inf"):
                self.crowd.troubled[number] = time.monotonic()
            (
                self.crowd.down.add
                if at[number].dead or at[number].leaving or at[number].stopped
                else self.crowd.down.discard
            )(number)

    # Strikes

    async def play(self) -> None:
        """Carry out the play."""
        assert self.network is not None
        noise = self.strikes.noise
        for way in self.network.ways.values():
            way.loss, way.delay_s = noise.loss, (noise.low_ms / 1000.0, noise.high_ms / 1000.0)
            way.repeat, way.spoil, way.per_s = noise.repeat, noise.spoil, noise.per_s
        self.mark()
        tasks = []
        for strike in sorted(self.strikes.strikes, key=lambda one: one.at_s):
            await asyncio.sleep(max(0.0, self.began + strike.at_s - time.monotonic()))
            if strike.do in ("cut", "flap"):
                tasks.append(asyncio.create_task(self.cut(strike)))
            else:
                tasks += [asyncio.create_task(self.befall(strike, number)) for number in strike.gateways]
        await asyncio.gather(*tasks)
        self.calm_at = time.time()

    def between(self, strike: Strike) -> list[Way]:
        """Give the ways that a strike concerns."""
        assert self.network is not None
        others = strike.towards or tuple(n for n in range(self.setup.gateways) if n not in strike.gateways)
        pairs = {(one, other) for one in strike.gateways for other in others if one != other}
        if not strike.one_way:
            pairs |= {(other, one) for one, other in pairs}
        return [self.network.ways[pair] for pair in pairs]

    async def cut(self, strike: Strike) -> None:
        """Cut ways, at a stretch or in turns."""
        ways, until = self.between(strike), time.monotonic() + strike.for_s
        while time.monotonic() < until:
            for way in ways:
                way.cut += 1
            self.mark()
            left = until - time.monotonic()
            await asyncio.sleep(min(left, FLAP_S) if strike.do == "flap" else left)
            for way in ways:
                way.cut -= 1
            self.mark()
            if strike.do == "flap":
                await asyncio.sleep(FLAP_S)

    async def befall(self, strike: Strike, number: int) -> None:
        """Have something happen to a process."""
        gateway, trouble = self.gateways[number], self.trouble[number]
        process = gateway.process
        assert process is not None
        if strike.do in ("stop", "starve"):
            kind = "stopped" if strike.do == "stop" else "starved"
            setattr(trouble, kind, getattr(trouble, kind) + 1)
            self.mark()
            until = time.monotonic() + strike.for_s
            while time.monotonic() < until:
                process.send_signal(signal.SIGSTOP)
                left = until - time.monotonic()
                await asyncio.sleep(left if strike.do == "stop" else min(left, TURN_S - ON_S))
                process.send_signal(signal.SIGCONT)
                if strike.do == "starve":
                    await asyncio.sleep(ON_S)
            setattr(trouble, kind, getattr(trouble, kind) - 1)
            trouble.replaced += 1
            self.mark()
            await asyncio.sleep(BACK_S)
            trouble.replaced -= 1
        elif strike.do == "upgrade":
            trouble.replaced += 1
            self.mark()
            self.upgrades.append(await gateway.upgrade())
            await asyncio.sleep(BACK_S)
            trouble.replaced -= 1
        else:
            if strike.do == "kill":
                trouble.dead = True
                self.mark()
                process.kill()
                await asyncio.to_thread(process.wait)
            else:
                trouble.leaving = True
                self.mark()
                self.codes.append(await asyncio.to_thread(gateway.end))
            await asyncio.sleep(strike.for_s)
            gateway.start()
            await self.back(gateway)
            trouble.dead = trouble.leaving = False
        self.mark()

    async def back(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway that was started again takes clients."""
        host, _, port = gateway.config["listen"].rpartition(":")
        await ready((host, int(port)))

    # What was said

    def heard(self, gateway: GatewayProcess, lines: list[str]) -> None:
        """Take in what a gateway has written."""
        for line in lines:
            place = line.find(": member {")
            if place >= 0:
                value = json.loads(line[place + 9 :])
                if "number" in value and value["state"] != "away" and "trusted" not in value.get("why", ""):
                    self.said.append(
                        Said(
                            value["at_ms"] / 1000.0,
                            gateway.number,
                            value["self"],
                            value["number"],
                            value["state"],
                            value["life"],
                        )
                    )

    async def last(self) -> None:
        """Before everything ends: look at all views once things have been calm for long enough."""
        await asyncio.sleep(max(0.0, self.calm_at + CALM_S - time.time()) if self.calm_at else 0.0)
        self.views = list(await asyncio.gather(*(view(gateway, "members") for gateway in self.gateways)))
        for gateway in self.gateways:
            self.heard(gateway, gateway.read_log())

    def outcome(self, report: dict[str, Any]) -> dict[str, Any]:
        """Judge it, and give the drill's figures."""
        pace = self.views[0]["pace"]
        slack = (pace["found_ms"] - pace["fail_ms"]) / 1000.0
        stated = Stated(pace["fail_ms"] / 1000.0, pace["found_ms"] / 1000.0, slack, pace["hear_ms"] / 1000.0)
        verdict = History(self.setup.gateways, self.moments, self.said, self.calm_at + CALM_S, stated).judge()
        assert self.network is not None
        history = {
            "moments": [
                [moment.at, sorted(moment.running), sorted(moment.cut), sorted(moment.gone), sorted(moment.blind)]
                for moment in self.moments
            ],
            "said": [list(dataclasses.astuple(one)) for one in self.said],
        }
        return {
            **({"history": history} if verdict.examples else {}),
            "seed": self.setup.seed,
            "stated_found_s": stated.found_s,
            "examples": verdict.examples,
            "upgrades_wrong": [wrong for wrong in self.upgrades if wrong],
            "exit_codes": self.codes + report["exit_codes"],
            "broken": report["broken"],
            "excused": self.judge.seen["excused"],
            "served": report["served"],
            "datagrams": dict(self.network.seen),
            "faults": len(self.strikes.strikes),
            "failures": verdict.failures,
            "found": verdict.found,
            "slowest_found_s": round(verdict.slowest_found_s, 2),
            "wrongly_failed": verdict.wrongly_failed,
            "slowest_healed_s": round(verdict.slowest_healed_s, 2),
            "dead_lives_back": verdict.dead_lives_back,
            "views_differ_at_end": len({seen["digest"] for seen in self.views}) - 1,
            "requests": report["requests"],
            "lost": report["lost"] + report["spoilt"] + report["unanswered"],
            "words_per_s_each": round(
                sum(1000.0 * seen["words"] / seen["up_ms"] for seen in self.views) / len(self.views), 2
            ),
        }


async def view(gateway: GatewayProcess, name: str) -> dict[str, Any]:
    """Ask a gateway for one of its views."""
    host, _, port = gateway.mgmt.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"GET /control/{name} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    data = await asyncio.wait_for(reader.read(), VIEW_S)
    writer.close()
    found: dict[str, Any] = json.loads(data.partition(b"\r\n\r\n")[2])
    return found


def wrong(outcome: dict[str, Any]) -> list[str]:
    """Give what a drill of membership found."""
    found = list(outcome["examples"])
    if outcome["found"] != outcome["failures"]:
        missed = outcome["failures"] - outcome["found"]
        found.append(f"{missed} failures were not found in {outcome['stated_found_s']} s")
    for name in ("wrongly_failed", "dead_lives_back", "views_differ_at_end", "lost"):
        if outcome[name]:
            found.append(f"{name.replace('_', ' ')}: {outcome[name]}")
    found += [f"upgrade: {reason}" for reason in outcome["upgrades_wrong"]]
    found += [f"rule broken: {name}, {count} times" for name, count in outcome["broken"].items()]
    found += [f"a gateway ended with exit code {code}" for code in outcome["exit_codes"] if code]
    return found


def prepare(folder: str, sections: dict[str, Any]) -> str:
    """Write an operators' file for the gateways of a drill."""
    path = os.path.join(folder, "operator.json")
    with open(path, "w") as file:
        json.dump(sections, file)
    return path


class QuotaDrill(Drill):
    """Districts that ask for twice their quota, counted at the boxes."""

    RATE, BURST, PLAN = 40.0, 60.0, "district"
    owned = True  # the gateways own shares

    def __init__(self, setup: Setup, play: Play) -> None:
        super().__init__(setup, play)
        self.meter = Meter(self.RATE, self.BURST)

    async def play(self) -> None:
        """Count from the first request on."""
        assert self.crowd is not None
        crowd = self.crowd
        crowd.plans = [self.PLAN]
        self.judge.on_first = lambda request, now: self.meter.use(
            crowd.out[request].district if request in crowd.out else -1, now
        )
        crowd.on_refused = lambda asked: self.meter.refuse(asked.district, time.monotonic())
        await super().play()

    async def last(self) -> None:
        """Ask what was lent, where shares are owned; boxes have counted the rest."""
        if self.owned:
            self.views = list(await asyncio.gather(*(view(gateway, "quota") for gateway in self.gateways)))

    def outcome(self, report: dict[str, Any]) -> dict[str, Any]:
        """Give what was counted; the stated figures are the caller's, who knows the settings."""
        self.meter.stores.pop(-1, None)
        gone = sum(one.do in ("kill", "leave", "stop", "starve") for one in self.strikes.strikes)
        return {
            "seed": self.setup.seed,
            "struck_processes": gone,
            "stops": sum(one.do in ("stop", "starve") for one in self.strikes.strikes),
            "exit_codes": self.codes + report["exit_codes"],
            "broken": report["broken"],
            "units_lent": round(sum(seen["lent"] for seen in self.views)),
            "quota_words": report["gateway_counts"].get("quota.words", 0),
            "refused_by": {
                name: count for name, count in report["gateway_counts"].items() if name.startswith("refused.")
            },
            "upgrades_wrong": [wrong for wrong in self.upgrades if wrong],
            "faults": len(self.strikes.strikes),
            "districts": len(self.meter.stores),
            "worst_error_units": round(self.meter.worst(), 1),
            "least_served_share": round(self.meter.least_served(self.setup.seconds), 3),
            "refused_with_half_unused_share": round(self.meter.refused_half_unused / max(1, self.meter.refused), 4),
            "requests": report["requests"],
            "lost": report["lost"] + report["spoilt"] + report["unanswered"],
        }
