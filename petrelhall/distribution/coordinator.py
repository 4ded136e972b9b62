"""The coordinator: stages and activates versions through the replicas' consensus, and grants leases to gateways.

Every replica has one; it acts only while the record in force names its replica and that replica's consensus lease runs.
``docs/design/distribution.md`` has the argument.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from petrelhall.accord.documents import MAX_DOCUMENT_BYTES
from petrelhall.configuration.document import Document
from petrelhall.configuration.errors import ConfigurationError
from petrelhall.configuration.records import FIRST_RECORD, ControlRecord, encode_record
from petrelhall.distribution.learner import Notified, Tick
from petrelhall.distribution.leases import LeaseTable
from petrelhall.distribution.messages import (
    MOST_REASON,
    Grant,
    Heartbeat,
    LeaseRequest,
    Outcome,
    OutcomeState,
    Refusal,
    Report,
    Submit,
    Verdict,
)
from petrelhall.distribution.timing import PROPOSE_AGAIN_MS, Timing

MOST_RECORD_BYTES = MAX_DOCUMENT_BYTES - 4096  # of the consensus' documents; the rest is for how the change ends
MOST_QUEUED = 1000  # operators' changes that wait for their turn
FORGET_EVERY_MS = 1000.0

# Events


@dataclass(frozen=True, slots=True)
class ConsensusState:
    """What the replica's consensus has in force, and until when its lease on that slot runs.

    Given before any other event of a turn where it has changed; ``lease_until`` is -inf while a later slot is decided
    and not leased yet.
    """

    slot: int
    record: ControlRecord
    lease_until: float


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """The consensus ended a proposal for the slot after ``slot`` without deciding it."""

    slot: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A distributor's report came on a connection."""

    connection: int
    report: Report


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """A coordinator told that it is there."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SubmitReceived:
    """An operator's change came on a connection."""

    connection: int
    submit: Submit


CoordinatorEvent = Tick | ConsensusState | ProposalFailed | ReportReceived | HeartbeatReceived | SubmitReceived


# Actions


@dataclass(frozen=True, slots=True)
class Propose:
    """Have the consensus decide a record in the slot after ``slot``."""

    slot: int
    record: ControlRecord


@dataclass(frozen=True, slots=True)
class SendVerdict:
    """Answer a report."""

    connection: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Tell all other replicas."""

    heartbeat: Heartbeat


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """Tell an operator how a change stands."""

    connection: int
    outcome: Outcome


CoordinatorAction = Propose | SendVerdict | SendHeartbeat | SendOutcome | Notified


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that will be granted once all leases on earlier versions are over."""

    connection: int
    incarnation: int  # of the distributor
    sequence: int
    index: int


class Coordinator:
    """One replica's part; ``document`` is the replica's, which holds the active version's content."""

    def __init__(self, number: int, replicas: int, timing: Timing, document: Document, now: float) -> None:
        self.number, self.replicas, self.timing, self.document = number, replicas, timing, document
        self.slot, self.record, self.lease_until = -1, FIRST_RECORD, -math.inf
        self.table = LeaseTable(timing)
        self.fence = math.inf  # before, leases that earlier terms granted may run
        self.fenced_term = -1
        self.clear_version = -1  # the version of which it is known that no lease on an earlier one runs
        self.waiting: dict[tuple[int, int], WaitingRequest] = {}  # by gateway and incarnation
        self.refusals: dict[int, Refusal] = {}  # of the staged version, by gateway
        self.queue: deque[Submit] = deque()
        self.operators: dict[str, set[int]] = {}  # by change: connections that want to know its end
        self.proposed_slot = -1
        self.proposed_at = -math.inf
        self.heard_at = now  # when the coordinator was last heard of
        self.heartbeat_at = -math.inf
        self.forget_at = now
        self.activated_at = now
        self.actions: list[CoordinatorAction] = []

    def leads(self, now: float) -> bool:
        """Tell whether this replica may act as the coordinator now."""
        return self.record.coordinator == self.number and now < self.lease_until

    def handle(self, now: float, event: CoordinatorEvent) -> list[CoordinatorAction]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if isinstance(event, ConsensusState):
            self.on_consensus(now, event)
        elif isinstance(event, ProposalFailed):
            if event.slot == self.proposed_slot:
                self.proposed_at = now - self.timing.proposal_ms + PROPOSE_AGAIN_MS
        elif isinstance(event, ReportReceived):
            self.on_report(now, event)
        elif isinstance(event, HeartbeatReceived):
            if event.heartbeat.term >= self.record.term:
                self.heard_at = now
        elif isinstance(event, SubmitReceived):
            self.on_submit(now, event)
        self.proceed(now)
        return self.actions

    # Consensus

    def on_consensus(self, now: float, event: ConsensusState) -> None:
        """Take in what is in force among the replicas."""
        self.lease_until = event.lease_until
        if event.slot > self.slot:
            self.enter(now, event.slot, event.record)
        if self.leads(now) and self.fenced_term != self.record.term:
            self.fenced_term = self.record.term
            self.fence = now + self.timing.granted_ms

    def enter(self, now: float, slot: int, record: ControlRecord) -> None:
        """Go on from a later slot's record."""
        before, self.slot, self.record = self.record, slot, record
        self.heard_at = now  # somebody goes on
        if record.term != before.term:
            self.fence = math.inf
            self.table = LeaseTable(self.timing)  # what it holds is from another term; the fence stands for it
            self.waiting.clear()
            self.queue.clear()
            self.operators.clear()
        if record.active != before.active:
            self.activated_at = now
        if record.staged != before.staged:
            self.refusals.clear()
        for outcome in record.outcomes[-2:]:
            self.tell(outcome.change)

    def propose(self, now: float, record: ControlRecord) -> None:
        """Propose the next record, once in a while."""
        if self.proposed_slot == self.slot and now - self.proposed_at < self.timing.proposal_ms:
            return
        self.proposed_slot, self.proposed_at = self.slot, now
        self.actions.append(Propose(self.slot, record))

    # Leases

    def on_report(self, now: float, event: ReportReceived) -> None:
        """Take in what gateways say, and grant what may be granted."""
        if not self.leads(now):
            return
        report = event.report
        granted: list[int] = []
        for index, request in enumerate(report.requests):
            holder = self.table.heard(now, request)
            key = request.gateway, request.incarnation
            self.waiting.pop(key, None)
            if request.refusal is not None and request.refusal.version == self.staged_number:
                self.refusals[request.gateway] = request.refusal
            if request.leased and request.leased == self.record.active.number:
                self.clear_version = request.leased  # whoever granted that was clear of all earlier ones
            if not self.may_hold(request):
                continue
            if self.is_clear(now):
                self.table.grant(now, holder, self.record.active.number)
                granted.append(index)
            else:
                self.waiting[key] = WaitingRequest(event.connection, report.incarnation, report.sequence, index)
        if granted:
            indices = None if len(granted) == len(report.requests) else tuple(granted)
            self.send_verdict(event.connection, report.incarnation, report.sequence, indices)

    @property
    def staged_number(self) -> int:
        """Give the number of the staged version, 0 for none."""
        return self.record.staged.number if self.record.staged is not None else 0

    def may_hold(self, request: LeaseRequest) -> bool:
        """Tell whether a gateway may have a lease on the active version, once earlier ones are over.

        While a version is staged those that are not prepared for it have none, so that it need not wait for them.
        """
        if not request.wants_lease or request.held != self.record.active.number:
            return False
        return self.staged_number in (0, request.prepared)

    def is_clear(self, now: float) -> bool:
        """Tell whether no lease on an earlier version can run, of this term or an earlier one."""
        active = self.record.active.number
        if self.clear_version == active:
            return True
        if now < self.fence or self.table.earlier_than(now, active):
            return False
        self.clear_version = active
        return True

    def send_verdict(self, connection: int, incarnation: int, sequence: int, granted: tuple[int, ...] | None) -> None:
        """Grant some requests of a report a lease on the active version."""
        grant = Grant(self.record.active, self.timing.lease_ms)
        verdict = Verdict(incarnation, sequence, self.record.term, self.number, grant, granted)
        self.actions.append(SendVerdict(connection, verdict))

    def grant_waiting(self, now: float) -> None:
        """Grant to those that waited until earlier leases were over."""
        if not self.waiting or not self.is_clear(now):
            return
        waiting, self.waiting = self.waiting, {}
        reports: dict[tuple[int, int, int], list[int]] = {}
        for key, request in waiting.items():
            self.table.grant(now, self.table.holders[key], self.record.active.number)
            report = request.connection, request.incarnation, request.sequence
            reports.setdefault(report, []).append(request.index)
        for (connection, incarnation, sequence), indices in reports.items():
            self.send_verdict(connection, incarnation, sequence, tuple(indices))

    # Turns

    def proceed(self, now: float) -> None:
        """Go on with whatever is open."""
        if not self.leads(now):
            self.consider_takeover(now)
            return
        self.heard_at = now
        if now >= self.heartbeat_at:
            self.heartbeat_at = now + self.timing.heartbeat_ms
            self.actions.append(SendHeartbeat(Heartbeat(self.number, self.record.term)))
        if now >= self.forget_at:
            self.forget_at = now + FORGET_EVERY_MS
            self.table.forget(now)
        self.grant_waiting(now)
        if self.record.staged is not None:
            self.advance_staged(now)
        elif self.queue and not self.waiting and self.document.name == self.record.active:
            self.stage(now)

    def consider_takeover(self, now: float) -> None:
        """Take the coordinator's place after a silence, each replica a little later than the one before."""
        place = (self.number - self.record.coordinator - 1) % self.replicas
        patience = self.timing.takeover_ms * (1.0 + place / 2.0)
        if now >= self.lease_until or now - self.heard_at < patience or self.document.name != self.record.active:
            return
        self.propose(now, self.record.led_by(self.number))

    def advance_staged(self, now: float) -> None:
        """Activate the staged version once all that may hold a lease are prepared; drop it where one refuses it."""
        if self.refusals:
            gateway, refusal = min(self.refusals.items())
            reason = f"gateway {gateway}: {refusal.reason}"[:MOST_REASON]
            self.propose(now, self.record.dropping(reason))
        elif now >= self.fence and not self.table.unprepared(now, self.staged_number):
            self.propose(now, self.record.activating())

    def stage(self, now: float) -> None:
        """Stage the next change that waits; what is proposed and not decided yet stays in the queue."""
        while self.queue:
            submit = self.queue[0]
            if self.record.outcome(submit.change) is not None:
                self.queue.popleft()
                self.tell(submit.change)
                continue
            try:
                if submit.base not in (None, self.record.active.number):
                    raise ConfigurationError(f"made for version {submit.base}, active is {self.record.active.number}")
                delta = self.document.delta(self.record.last_number + 1, submit.change, submit.put, submit.removed)
            except ConfigurationError as error:
                self.queue.popleft()
                self.reply(submit.change, "refused", 0, str(error)[:MOST_REASON])
                continue
            record = self.record.staging(delta)
            size = len(encode_record(record))
            if size > MOST_RECORD_BYTES:
                self.queue.popleft()
                self.reply(submit.change, "refused", 0, f"{size} bytes; at most {MOST_RECORD_BYTES} in one change")
                continue
            self.propose(now, record)
            return

    # Operators

    def on_submit(self, now: float, event: SubmitReceived) -> None:
        """Take an operator's change, or tell how it ended where it is known already."""
        change = event.submit.change
        self.operators.setdefault(change, set()).add(event.connection)
        if self.record.outcome(change) is not None:
            self.tell(change)
        elif not self.leads(now):
            self.reply(change, "elsewhere", 0, "this replica is not the coordinator")
        elif self.record.delta is not None and self.staged_number and self.record.delta.change == change:
            self.reply(change, "staged", self.staged_number, "")
        elif any(queued.change == change for queued in self.queue):
            self.reply(change, "queued", 0, "")
        elif len(self.queue) >= MOST_QUEUED:
            self.reply(change, "refused", 0, "too many changes wait")
        else:
            self.queue.append(event.submit)
            self.reply(change, "queued", 0, "")

    def tell(self, change: str) -> None:
        """Tell those that want to know how a change ended."""
        outcome = self.record.outcome(change)
        if outcome is not None:
            self.reply(change, "in force" if outcome.in_force else "refused", outcome.version, outcome.reason)

    def reply(self, change: str, state: OutcomeState, version: int, reason: str) -> None:
        """Tell all that asked for a change how it stands; once it has ended they are forgotten."""
        outcome = Outcome(change, state, version, self.record.coordinator, reason)
        for connection in sorted(self.operators.get(change, ())):
            self.actions.append(SendOutcome(connection, outcome))
        if state not in ("queued", "staged"):
            self.operators.pop(change, None)

    def view(self, now: float) -> dict[str, Any]:
        """Give what operators want to see, as JSON's values."""
        active = self.record.active
        return {
            "replica": self.number,
            "slot": self.slot,
            "term": self.record.term,
            "coordinator": self.record.coordinator,
            "leads": self.leads(now),
            "consensus_lease_ms": max(0, round(self.lease_until - now)) if self.lease_until > -math.inf else 0,
            "active": {
                "version": active.number,
                "digest": active.digest.hex(),
                "age_ms": round(now - self.activated_at),
            },
            "staged": self.staged_number,
            "queued": len(self.queue),
            "unprepared": sorted(self.table.unprepared(now, self.staged_number)) if self.staged_number else [],
            "versions": dict(Counter(str(holder.held) for holder in self.table.latest().values())),
            "missing": [
                {"gateway": gateway, "held": holder.held, "heard_ms_ago": round(now - holder.heard_at)}
                for gateway, holder in (self.table.missing(now, active.number) if self.leads(now) else [])
            ],
        }
