"""Judges what boxes and clients see against the rules of the service, from outside the gateways."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

SLACK_S = 0.05  # by which every limit in time is longer on sockets
DRAIN_S = 1.0  # after a box was told to drain, in which it may still be sent to


class Judge:
    """Hears of every attempt from the boxes and of every answer from the crowd."""

    def __init__(self) -> None:
        self.out: dict[str, int] = {}  # attempts out by request
        self.attempts: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()  # runs by idempotency key
        self.broken: Counter[str] = Counter()  # rules broken
        self.examples: dict[str, str] = {}
        self.seen: Counter[str] = Counter()
        self.stale: set[str] = set()  # requests of which an attempt was written to a dead connection
        self.answers: Counter[str] = Counter()  # final answers by request
        self.on_first: Callable[[str, float], None] | None = None  # told of each request's first attempt at a box
        self.on_policy: Callable[[str, bytes], None] | None = None  # and of the policy that it was admitted under
        self.sent_at: dict[str, list[float]] = defaultdict(list)  # monotonic times of attempts, by box

    def rule(self, name: str, example: str) -> None:
        """Note a broken rule."""
        self.broken[name] += 1
        self.examples.setdefault(name, example)

    def attempt(self, request: str, box: str, drained_at: float | None, now: float) -> None:
        """An attempt has reached a box whole."""
        self.seen["attempts"] += 1
        self.sent_at[box].append(now)
        self.attempts[request] += 1
        if self.on_first is not None and self.attempts[request] == 1:
            self.on_first(request, now)
        self.out[request] = self.out.get(request, 0) + 1
        if self.out[request] > 1:
            # The end of the earlier one may still be on its way here: look again when it must have come.
            asyncio.get_running_loop().call_later(SLACK_S, self.still_two, request, box)
        if drained_at is not None and now - drained_at > DRAIN_S + SLACK_S:
            self.rule("sent_to_a_draining_box", f"{request} to {box} {now - drained_at:.3f} s after")

    def still_two(self, request: str, box: str) -> None:
        """Look whether two attempts of a request are out."""
        if self.out.get(request, 0) > 1:
            self.rule("two_attempts_out", f"{request}, the later to {box}")

    def over(self, request: str) -> None:
        """An attempt's answer is written, or its connection has ended."""
        left = self.out.get(request, 0) - 1
        if left > 0:
            self.out[request] = left
        else:
            self.out.pop(request, None)

    def ran(self, key: str) -> None:
        """A keyed request has run."""
        if key:
            self.keys[key] += 1

    def stale_hit(self, request: str) -> None:
        """A request was written to a connection that its box had let die."""
        self.seen["stale_attempts"] += 1
        self.stale.add(request)

    def final(self, request: str, ending: str) -> None:
        """A client has its answer, or will get none; ``ending`` is served, refused, failed, lost or spoilt."""
        self.answers[request] += 1
        self.seen[ending] += 1
        if self.answers[request] > 1:
            self.rule("two_final_answers", request)
        if ending in ("lost", "spoilt"):
            self.rule(f"{ending}_request", request)
        if ending in ("failed", "lost") and request in self.stale:
            self.seen["failed_on_stale"] += 1

    def report(self) -> dict[str, Any]:
        """Give counts, and each broken rule with an example."""
        return {
            **self.seen,
            "final_answers": sum(self.answers.values()),
            "keys_run_twice": sum(count > 1 for count in self.keys.values()),
            "broken": dict(self.broken),
            "examples": self.examples,
        }
