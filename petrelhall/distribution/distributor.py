"""A distributor: follows a replica, answers gateways' watches, and reports to the coordinator in aggregates."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document
from petrelhall.configuration.versions import VersionName
from petrelhall.distribution.learner import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    Dropped,
    Learner,
    LearnerEvent,
    NoChecks,
    Notified,
    PutInForce,
    SendWatch,
    Staged,
    Tick,
    UpdateReceived,
)
from petrelhall.distribution.messages import LeaseRequest, Report, Verdict, Watch
from petrelhall.distribution.publisher import Publisher, SendUpdate
from petrelhall.distribution.timing import Timing

# Events, beside those of a learner, which are about the replica that it follows.


@dataclass(frozen=True, slots=True)
class WatchReceived:
    """A gateway's watch came on a connection."""

    connection: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """A gateway's connection is gone."""

    connection: int


@dataclass(frozen=True, slots=True)
class VerdictReceived:
    """The coordinator answered a report."""

    verdict: Verdict


DistributorEvent = Tick | Connected | Disconnected | UpdateReceived | WatchReceived | ConnectionClosed | VerdictReceived


# Actions


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to a replica; one that gets lost is not sent again, since gateways ask again."""

    replica: int
    report: Report


DistributorAction = Connect | Disconnect | SendWatch | SendUpdate | SendReport | Notified | Dropped


@dataclass(frozen=True, slots=True)
class Reported:
    """Which watch a request of a report came from."""

    connection: int
    sequence: int


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report that may be answered."""

    sent_at: float
    origins: tuple[Reported, ...]


class Distributor:
    """One distributor."""

    def __init__(self, number: int, incarnation: int, timing: Timing, replicas: int, seed: int, now: float) -> None:
        self.number, self.incarnation, self.timing = number, incarnation, timing
        self.document = Document()
        self.upstream = Learner(
            number, incarnation, timing, replicas, NoChecks(), seed, now, wants_lease=False, document=self.document
        )
        self.publisher = Publisher(timing, self.document)
        self.collected: dict[tuple[int, int], tuple[Reported, LeaseRequest]] = {}  # by gateway and incarnation
        self.flush_at: float | None = None
        self.sequence = 0
        self.reports: dict[int, SentReport] = {}
        self.actions: list[DistributorAction] = []

    def handle(self, now: float, event: DistributorEvent) -> list[DistributorAction]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if isinstance(event, WatchReceived):
            self.on_watch(now, event)
        elif isinstance(event, ConnectionClosed):
            self.publisher.closed(event.connection)
        elif isinstance(event, VerdictReceived):
            self.on_verdict(now, event.verdict)
        else:
            self.follow(now, event)
        if isinstance(event, Tick):
            self.actions += self.publisher.tick(now)
        if self.flush_at is not None and (now >= self.flush_at or len(self.collected) >= self.timing.most_requests):
            self.flush(now)
        return self.actions

    def follow(self, now: float, event: LearnerEvent) -> None:
        """Follow the replica, and publish what is new."""
        upstream, publisher = self.upstream, self.publisher
        before = self.published(now)
        for action in upstream.handle(now, event):
            if isinstance(action, PutInForce):
                publisher.applied(action.deltas)
            elif not isinstance(action, Staged):
                self.actions.append(action)
        if self.published(now) != before or publisher.detached != self.detached(now):
            self.actions += publisher.publish(
                now, upstream.term, upstream.coordinator, upstream.active, upstream.staged, self.detached(now)
            )

    def published(self, now: float) -> tuple[int, VersionName, VersionName, Delta | None]:
        """Give what is told to those that watch."""
        upstream = self.upstream
        return upstream.term, upstream.active, self.document.name, upstream.staged

    def detached(self, now: float) -> bool:
        """Tell whether no replica that hears of a majority has been heard for long."""
        return now - self.upstream.heard_at > self.timing.detached_ms + self.timing.wait_ms

    def on_watch(self, now: float, event: WatchReceived) -> None:
        """Answer a watch or have it wait, and report what it says."""
        watch = event.watch
        request = LeaseRequest(
            gateway=watch.sender,
            incarnation=watch.incarnation,
            held=watch.held.number,
            prepared=watch.prepared,
            leased=watch.leased,
            wants_lease=watch.wants_lease,
            refusal=watch.refusal,
        )
        self.collected[watch.sender, watch.incarnation] = Reported(event.connection, watch.sequence), request
        if self.flush_at is None:
            self.flush_at = now + self.timing.flush_ms
        self.actions += self.publisher.watch(now, event.connection, watch)

    def flush(self, now: float) -> None:
        """Report to the coordinator what was collected."""
        collected = list(self.collected.values())
        self.collected, self.flush_at = {}, None
        for sequence in [key for key, sent in self.reports.items() if now - sent.sent_at > self.timing.lease_ms]:
            del self.reports[sequence]
        if not collected:
            return
        self.sequence += 1
        self.reports[self.sequence] = SentReport(now, tuple(origin for origin, _ in collected))
        report = Report(self.number, self.incarnation, self.sequence, tuple(request for _, request in collected))
        self.actions.append(SendReport(self.upstream.coordinator, report))

    def on_verdict(self, now: float, verdict: Verdict) -> None:
        """Pass grants on to the watches that asked for them."""
        sent = self.reports.get(verdict.sequence)
        if sent is None or verdict.incarnation != self.incarnation:
            self.actions.append(Dropped("late"))
            return
        granted = range(len(sent.origins)) if verdict.granted is None else verdict.granted
        for index in granted:
            if index < len(sent.origins):
                origin = sent.origins[index]
                self.actions += self.publisher.granted(now, origin.connection, origin.sequence, verdict.grant)

    def view(self, now: float) -> dict[str, Any]:
        """Give what operators want to see, as JSON's values."""
        upstream, publisher = self.upstream, self.publisher
        return {
            "distributor": self.number,
            "term": upstream.term,
            "coordinator": upstream.coordinator,
            "follows": upstream.connected,
            "active": {
                "version": self.document.name.number,
                "digest": self.document.name.digest.hex(),
                "age_ms": round(now - upstream.changed_at),
            },
            "staged": upstream.staged.target.number if upstream.staged is not None else 0,
            "watches": len(publisher.pending),
            "fetching": len(publisher.fetches),
            "trouble": upstream.trouble,
        }
