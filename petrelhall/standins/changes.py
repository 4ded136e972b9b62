"""A drill of changes of policy: operators propose all the time, while gateways and the network between them fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from petrelhall.standins.drill import Drill
from petrelhall.standins.policies import Admitted, Claim, Record
from petrelhall.standins.strikes import Play
from petrelhall.standins.world import GatewayProcess, Setup, ready

CALL_S, POLL_S, FOLLOW_S = 2.0, 0.1, 8.0
PAUSE_S = (0.3, 1.5)  # between two changes
SETTLE_S = 12.0  # at the end, in which every change's end must be known


@dataclass
class Asked:
    """A change that an operator asked for."""

    version: int
    digest: str
    gateway: int
    at: float
    state: str = "not known"
    took_s: float = 0.0
    reasons: dict[str, str] = field(default_factory=dict)


class PolicyDrill(Drill):
    """One drill."""

    def __init__(self, setup: Setup, play: Play) -> None:
        super().__init__(setup, play)
        self.record = Record(slack_ms=1.0)
        self.changes: list[Asked] = []
        self.draw = random.Random(f"{setup.seed}/changes")
        self.made = 0
        self.following: set[asyncio.Task[None]] = set()

    async def back(self, gateway: GatewayProcess) -> None:
        """Wait until its process listens: it may have to learn for long before it serves."""
        host, _, port = gateway.mgmt.rpartition(":")
        await ready((host, int(port)), "/control/ready")

    # Operators

    async def play(self) -> None:
        """Propose all the time, beside the strikes."""
        self.judge.on_policy = self.stamped
        operators = asyncio.create_task(self.operate())
        try:
            await super().play()
            await asyncio.sleep(3600.0)
        finally:
            operators.cancel()

    def stamped(self, request: str, stamp: bytes) -> None:
        """Hear from a box under which version a request was admitted, and when."""
        version, digest, kind, at = stamp.decode().split()
        asked = self.crowd.out.get(request) if self.crowd is not None else None
        gateway = asked.gateway if asked is not None else -1
        self.record.admitted.append(Admitted(float(at), gateway, int(version), digest, kind == "either"))

    async def operate(self) -> None:
        """Be the operators: now two at once, now with an outdated base, now with what no gateway can serve."""
        while time.monotonic() - self.began < self.setup.seconds - 4.0:
            await asyncio.sleep(self.draw.uniform(*PAUSE_S))
            for _ in range(2 if self.draw.random() < 0.2 else 1):
                number, kind = self.draw.randrange(self.setup.gateways), self.draw.random()
                task = asyncio.create_task(self.change(number, kind, self.made))
                self.made += 1
                self.following.add(task)
                task.add_done_callback(self.following.discard)

    async def change(self, number: int, kind: float, serial: int) -> None:
        """Ask one gateway for a change, and follow it as far as that gateway tells."""
        view = await self.ask(number, "GET", "/control/policy")
        if view is None or view["version"] is None:
            return
        base = view["version"]
        if kind < 0.1:
            base = max(0, base - 1)  # as one who has not looked lately
        plan = "nobody" if 0.1 <= kind < 0.2 else "district"
        document = {"plans": {plan: {"rate": 1000.0 + serial}}}
        path, body = f"/control/policy?base={base}", json.dumps(document).encode()
        if 0.2 <= kind < 0.3 and base > 0:
            path, body = f"/control/policy/back?base={base}", b""
        at = time.monotonic()
        told = await self.ask(number, "POST", path, body)
        if told is None or "digest" not in told:
            return  # refused at once, or no answer: nothing was begun, or nobody can say by which digest
        change = Asked(told["version"], told["digest"], number, at)
        self.changes.append(change)
        while not self.take(change, told) and time.monotonic() - at < FOLLOW_S:
            await asyncio.sleep(POLL_S)
            view = await self.ask(number, "GET", "/control/policy")
            rows = [
                row
                for row in (view or {}).get("changes", ())
                if (row["version"], row["digest"]) == (change.version, change.digest)
            ]
            if view is not None and not rows:
                return  # another process by now: it does not know of it
            told = rows[-1] if rows else {"state": "not known"}

    def take(self, change: Asked, row: dict[str, Any]) -> bool:
        """Take in what is told of a change; True once its end is."""
        if row["state"] not in ("in force", "nowhere"):
            return False
        change.state, change.took_s, change.reasons = row["state"], row["took_ms"] / 1000.0, row["reasons"]
        self.record.claims.append(Claim(time.monotonic() * 1000.0, change.version, change.digest[:8], change.state))
        return True

    async def ask(self, number: int, method: str, path: str, body: bytes = b"") -> dict[str, Any] | None:
        """Make a management call; None where no answer came."""
        gateway: GatewayProcess = self.gateways[number]
        host, _, port = gateway.mgmt.rpartition(":")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), CALL_S)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            data = await asyncio.wait_for(reader.read(), CALL_S)
            found: dict[str, Any] = json.loads(data.partition(b"\r\n\r\n")[2])
            return found
        except (OSError, ValueError, TimeoutError):
            return None
        finally:
            if writer is not None:
                with contextlib.suppress(OSError):
                    writer.close()

    # The end

    async def last(self) -> None:
        """Once all is calm, have the end of every change known; close the slot of those that nobody can tell of."""
        await asyncio.gather(*self.following, return_exceptions=True)
        until = time.monotonic() + SETTLE_S
        while time.monotonic() < until:
            views = await asyncio.gather(
                *(self.ask(number, "GET", "/control/policy") for number in range(self.setup.gateways))
            )
            self.views = [view for view in views if view is not None and view["version"] is not None]
            histories = [{row["version"]: row["digest"] for row in view["history"]} for view in self.views]
            for change in self.open():
                for history in histories:
                    if change.version in history:
                        state = "in force" if history[change.version] == change.digest else "nowhere"
                        self.take(change, {"state": state, "took_ms": 0.0, "reasons": {}})
                        break
            same = len(self.views) == self.setup.gateways and len({view["version"] for view in self.views}) == 1
            if same and not self.open() and all(view["state"] == "serving" for view in self.views):
                break
            if same and self.open():
                await self.ask(0, "POST", "/control/policy/settle")
            await asyncio.sleep(0.3)
        self.record.histories = [{row["version"]: row["digest"][:8] for row in view["history"]} for view in self.views]

    def open(self) -> list[Asked]:
        """Give the changes whose end is not known."""
        return [change for change in self.changes if change.state == "not known"]

    def outcome(self, report: dict[str, Any]) -> dict[str, Any]:
        """Judge it, and give the drill's figures."""
        # The same document asked for at two gateways may be refused at one and go in by the other.
        asked = Counter((change.version, change.digest[:8]) for change in self.changes)
        self.record.claims = [
            claim
            for claim in self.record.claims
            if claim.state == "in force" or asked[claim.version, claim.digest] == 1
        ]
        verdict = self.record.judge()
        ended = {
            state: [change for change in self.changes if change.state == state]
            for state in ("in force", "nowhere", "not known")
        }
        refusals = [change for change in ended["nowhere"] if change.reasons and "-1" not in change.reasons]
        states = [view["state"] for view in self.views]
        assert self.network is not None
        return {
            "seed": self.setup.seed,
            "examples": verdict.examples,
            "versions": verdict.versions,
            "wrong_answers": verdict.wrong_answers,
            "not_serving_at_end": self.setup.gateways - states.count("serving"),
            "why": sorted({view["why"] for view in self.views if view["why"]}),
            "upgrades_wrong": [wrong for wrong in self.upgrades if wrong],
            "exit_codes": self.codes + report["exit_codes"],
            "broken": report["broken"],
            "excused": self.judge.seen["excused"],
            "served": report["served"],
            "admitted": len(self.record.admitted),
            "words": report["gateway_counts"].get("accord.words", 0),
            "dropped": {
                name: count for name, count in report["gateway_counts"].items() if name.startswith("accord.dropped")
            },
            "datagrams": dict(self.network.seen),
            "faults": len(self.strikes.strikes),
            "reasons": sorted({reason for change in ended["nowhere"] for reason in change.reasons.values()})[:12],
            "changes": len(self.changes),
            "in_force": len(ended["in force"]),
            "nowhere": len(ended["nowhere"]),
            "unknown_at_end": len(ended["not known"]),
            "mixed": verdict.mixed,
            "lost_changes": verdict.lost_changes,
            "slowest_in_force_s": round(max((one.took_s for one in ended["in force"]), default=0.0), 2),
            "slowest_refusal_s": round(max((one.took_s for one in refusals), default=0.0), 2),
            "requests": report["requests"],
            "refused_unsure": self.judge.seen["unsure"],
            "lost": report["lost"] + report["spoilt"] + report["unanswered"],
        }

    def wrong(self, outcome: dict[str, Any]) -> list[str]:
        """Give what the drill found."""
        found = list(outcome["examples"])
        for name in ("mixed", "lost_changes", "wrong_answers", "unknown_at_end", "not_serving_at_end", "lost"):
            if outcome[name]:
                found.append(f"{name.replace('_', ' ')}: {outcome[name]}")
        found += [f"upgrade: {reason}" for reason in outcome["upgrades_wrong"]]
        found += [f"rule broken: {name}, {count} times" for name, count in outcome["broken"].items()]
        return found + [f"a gateway ended with exit code {code}" for code in outcome["exit_codes"] if code]
