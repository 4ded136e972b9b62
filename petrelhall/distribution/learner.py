"""A learner: follows the configuration through one distributor at a time, and holds a lease where it wants one.

Gateways are learners with a lease. Distributors follow a replica by the same code, without one.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Protocol

from petrelhall.configuration.deltas import Delta, SnapshotPart
from petrelhall.configuration.document import Assembly, Document
from petrelhall.configuration.errors import ConfigurationError
from petrelhall.configuration.versions import EMPTY, VersionName
from petrelhall.distribution.messages import MOST_REASON, Refusal, Update, Watch
from petrelhall.distribution.timing import Timing

# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Connected:
    """The connection that was asked for is there."""

    link: int


@dataclass(frozen=True, slots=True)
class Disconnected:
    """A connection could not be made, or is gone."""

    link: int


@dataclass(frozen=True, slots=True)
class UpdateReceived:
    """An answer came on a connection."""

    link: int
    update: Update


@dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to end: its lease is given back."""


LearnerEvent = Tick | Connected | Disconnected | UpdateReceived | Leave


# Actions


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to a distributor, by its place in the list; ``link`` names the connection from now on."""

    link: int
    distributor: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close a connection; nothing that comes on it is wanted any more."""

    link: int


@dataclass(frozen=True, slots=True)
class SendWatch:
    """Send a watch."""

    link: int
    watch: Watch


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Use a version from now on: by these changes, or (``deltas`` is None) by all of the document's entries."""

    version: VersionName
    deltas: tuple[Delta, ...] | None


@dataclass(frozen=True, slots=True)
class Staged:
    """The content of a version was checked and is held, not used yet; None: what was staged was dropped."""

    delta: Delta | None


@dataclass(frozen=True, slots=True)
class Notified:
    """Something that operators want to know."""

    what: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """A message was not taken; ``why`` is counted."""

    why: str


LearnerAction = Connect | Disconnect | SendWatch | PutInForce | Staged | Notified | Dropped


class Checks(Protocol):
    """A learner's own checks of content; each gives the reason why it cannot be served, empty where it can."""

    def delta(self, document: Document, delta: Delta) -> str:
        """Check a change against the document that it would change."""

    def whole(self, document: Document) -> str:
        """Check a whole document."""


class NoChecks:
    """Takes everything, as who only passes content on."""

    def delta(self, document: Document, delta: Delta) -> str:
        """Take any change."""
        return ""

    def whole(self, document: Document) -> str:
        """Take any document."""
        return ""


class Learner:
    """One learner."""

    def __init__(
        self,
        number: int,
        incarnation: int,
        timing: Timing,
        distributors: int,
        checks: Checks,
        seed: int,
        now: float,
        wants_lease: bool = True,
        document: Document | None = None,
    ) -> None:
        self.number, self.incarnation, self.timing, self.distributors = number, incarnation, timing, distributors
        self.checks, self.wants_lease = checks, wants_lease
        self.random = random.Random(seed)
        self.document = document or Document()
        self.active = EMPTY  # the latest version that is known to be active, held or not
        self.term = self.coordinator = 0
        self.staged: Delta | None = None
        self.refusal: Refusal | None = None
        self.assembly: Assembly | None = None
        self.needs_whole = False
        self.trouble = ""  # why the active version is not in force here
        self.lease_version, self.lease_until = EMPTY, -math.inf
        self.leased = 0  # the highest version on which a lease was held
        self.applied: list[Delta] | None = []  # in this turn; None for a whole document
        self.changed_at = now  # when a version was last put in force
        self.distributor = -1
        self.link = self.sequence = 0
        self.connected = self.connecting = self.waiting = False
        self.sent_at = self.heard_at = now  # heard_at: when an answer came of one that hears of a majority of replicas
        self.deadline = math.inf  # of the connection, or of the answer
        self.next_at = now + self.random.uniform(0.0, timing.jitter_ms)  # of the next connection or watch
        self.failures = 0
        self.left = self.informed = False  # informed: anything was heard of what is active
        self.actions: list[LearnerAction] = []

    # What the shell asks before every request

    def admits(self, now: float) -> VersionName | None:
        """Give the version under which the leased part may be served now; None without a lease."""
        if now < self.lease_until and self.lease_version == self.document.name == self.active:
            return self.active
        return None

    # Turns

    def due(self) -> float:
        """Give when the next ``Tick`` has something to do; earlier ones do no harm."""
        return self.deadline if self.connecting or self.waiting else self.next_at

    def handle(self, now: float, event: LearnerEvent) -> list[LearnerAction]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if isinstance(event, UpdateReceived):
            self.on_update(now, event)
        elif isinstance(event, Connected):
            self.on_connected(now, event.link)
        elif isinstance(event, Disconnected):
            if event.link == self.link and (self.connected or self.connecting):
                self.lost(now)
        elif isinstance(event, Leave):
            self.leave(now)
        if not self.left:
            self.proceed(now)
        return self.actions

    def proceed(self, now: float) -> None:
        """Connect, ask, or give up a connection, where the time for it has come."""
        if (self.connecting or self.waiting) and now >= self.deadline:
            self.actions.append(Disconnect(self.link))
            self.lost(now)
        if now < self.next_at or self.connecting or self.waiting:
            return
        if self.connected:
            self.watch(now)
        else:
            self.connect(now)

    def connect(self, now: float) -> None:
        """Connect to the next distributor."""
        self.link += 1
        self.distributor = (self.distributor + 1) % self.distributors
        self.connecting, self.deadline = True, now + self.timing.lease_ms / 3.0
        self.actions.append(Connect(self.link, self.distributor))

    def on_connected(self, now: float, link: int) -> None:
        """Use a connection."""
        if link == self.link and self.connecting:
            self.connecting, self.connected = False, True
            self.next_at = now

    def lost(self, now: float) -> None:
        """Put the next connection off by a random time, which grows with each failure in a row (full jitter)."""
        self.connected = self.connecting = self.waiting = False
        self.assembly = None
        most_ms = min(self.timing.jitter_most_ms, self.timing.jitter_ms * 2.0 ** min(self.failures, 16))
        self.failures += 1
        self.next_at = now + self.random.uniform(0.0, most_ms)

    def leave(self, now: float) -> None:
        """Give the lease back."""
        self.lease_until, self.wants_lease = -math.inf, False
        if self.connected:
            self.watch(now)
        self.left = True

    # Asking

    def watch(self, now: float) -> None:
        """Ask for what is new, which also acknowledges, releases and renews."""
        lease_ms = max(0, int(self.lease_until - now)) if self.admits(now) is not None else 0
        wait_ms = self.timing.wait_ms
        if self.assembly is not None or self.needs_whole:
            wait_ms = 0
        self.sequence += 1
        self.sent_at, self.waiting = now, True
        self.deadline = now + wait_ms + self.timing.late_ms
        watch = Watch(
            sender=self.number,
            incarnation=self.incarnation,
            sequence=self.sequence,
            held=self.document.name,
            prepared=self.staged.target.number if self.staged is not None else 0,
            leased=self.leased,
            wants_lease=self.wants_lease,
            lease_ms=lease_ms,
            term=self.term,
            wait_ms=wait_ms,
            needs_whole=self.needs_whole,
            whole=self.assembly.version if self.assembly is not None else None,
            part=self.assembly.next_part if self.assembly is not None else 0,
            refusal=self.refusal,
        )
        self.actions.append(SendWatch(self.link, watch))

    # Hearing

    def on_update(self, now: float, event: UpdateReceived) -> None:
        """Take in the answer to the watch that waits for one; any other is late or repeated."""
        update = event.update
        if event.link != self.link or not self.waiting or update.sequence != self.sequence:
            self.actions.append(Dropped("late"))
            return
        self.waiting, self.next_at, self.informed = False, now, True
        if update.term >= self.term:
            self.term, self.coordinator = update.term, update.coordinator
        if update.active.number > self.active.number:
            self.active = update.active  # no lease on an earlier version counts from here on
        if update.retry_ms:
            self.next_at = now + self.random.uniform(0.0, float(update.retry_ms))
        self.applied = []
        try:
            self.take(update)
        except ConfigurationError as error:
            self.refuse(now, error)
        else:
            self.take_grant(update)
            self.judge_source(now, update)
        if self.applied or self.applied is None:
            self.changed_at = now
            self.actions.append(PutInForce(self.document.name, tuple(self.applied) if self.applied else None))
        if self.document.name == self.active:
            self.trouble = ""

    def judge_source(self, now: float, update: Update) -> None:
        """Go on with a source that is of use; leave one that is detached, or has not got what it tells of."""
        progress = self.applied is None or self.applied or update.part is not None or update.retry_ms
        behind = self.document.name.number < update.active.number and not progress
        if not update.detached:
            self.heard_at = now
        if update.detached or behind:
            self.actions.append(Disconnect(self.link))
            self.lost(now)
        else:
            self.failures = 0

    def take_grant(self, update: Update) -> None:
        """Hold a lease on what is in force here, counted from when it was asked for."""
        grant = update.grant
        if grant is None or grant.version != self.document.name or not self.wants_lease:
            return
        until = self.sent_at + min(grant.lease_ms, self.timing.lease_ms)
        if self.lease_version == grant.version:
            until = max(until, self.lease_until)
        self.lease_version, self.lease_until = grant.version, until
        self.leased = max(self.leased, grant.version.number)

    def take(self, update: Update) -> None:
        """Take content in, whole change by whole change; raise at the first that cannot be taken."""
        if update.part is not None:
            self.take_part(update.part)
            return
        self.settle_staged(update)
        for delta in update.changes:
            if update.staged is not None and delta.target == update.staged:
                self.stage(delta)
            elif self.document.name.number < delta.target.number <= update.active.number:
                self.check_delta(delta)
                self.apply(delta)

    def apply(self, delta: Delta) -> None:
        """Change the document."""
        assert self.applied is not None
        self.document.apply(delta)
        self.applied.append(delta)

    def settle_staged(self, update: Update) -> None:
        """Put in force what was staged and has become active, or drop it where it was dropped."""
        delta = self.staged
        if self.refusal is not None and (update.staged is None or update.staged.number != self.refusal.version):
            self.refusal = None
        if delta is None or update.staged == delta.target:
            return
        if update.active.number < self.active.number and update.active.number < delta.target.number:
            return  # from a distributor that is behind
        self.staged = None
        follows = update.changes[0].base if update.changes else update.active
        if delta.target in (update.active, follows) and update.active.number >= delta.target.number:
            self.apply(delta)
            return
        self.actions.append(Staged(None))

    def stage(self, delta: Delta) -> None:
        """Check a staged version's content, and hold it."""
        if self.staged is not None and self.staged.target == delta.target:
            return
        self.document.check(delta)
        reason = self.checks.delta(self.document, delta)
        if reason:
            self.refusal = Refusal(delta.target.number, reason[:MOST_REASON])
            self.actions.append(Notified(f"version {delta.target.number} is refused: {reason}"))
            return
        self.staged = delta
        self.actions.append(Staged(delta))

    def check_delta(self, delta: Delta) -> None:
        """Raise where a change cannot be put in force here."""
        self.document.check(delta)
        reason = self.checks.delta(self.document, delta)
        if reason:
            raise ConfigurationError(f"version {delta.target.number} cannot be served here: {reason}")

    def take_part(self, part: SnapshotPart) -> None:
        """Take a part of a whole version in, and put the whole in force with the last."""
        if self.assembly is None or self.assembly.version != part.version:
            self.assembly = Assembly(part.version, part.parts)
        document = self.assembly.add(part)
        if document is None:
            return
        self.assembly = None
        if document.name.number < self.document.name.number:
            raise ConfigurationError(f"whole version {document.name.number} is older than what is held")
        reason = self.checks.whole(document)
        if reason:
            raise ConfigurationError(f"version {document.name.number} cannot be served here: {reason}")
        self.needs_whole, self.staged = False, None
        self.document.entries, self.document.total = document.entries, document.total
        self.document.name = document.name
        self.applied = None

    def refuse(self, now: float, error: ConfigurationError) -> None:
        """Keep what is in force, name what was refused, and ask the next distributor; the whole if that was no help."""
        self.needs_whole = self.needs_whole or self.failures > 0
        self.trouble = str(error)
        self.actions.append(Notified(f"refused: {error}"))
        self.actions.append(Disconnect(self.link))
        self.lost(now)
