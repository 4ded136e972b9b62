"""Answers watches: with the changes since a version, with the whole in parts, or when their time is up.

Replicas answer distributors by it, and distributors answer gateways.
"""

from __future__ import annotations

from dataclasses import dataclass

from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document, Snapshot
from petrelhall.configuration.history import History
from petrelhall.configuration.versions import VersionName
from petrelhall.distribution.messages import Grant, Update, Watch
from petrelhall.distribution.timing import Timing

MOST_CHANGES_BYTES = 1024 * 1024  # in one answer, but for a single change that is larger


@dataclass(frozen=True, slots=True)
class SendUpdate:
    """Answer the watch that waits on a connection."""

    connection: int
    update: Update


@dataclass(slots=True)
class PendingWatch:
    """A watch that waits for news, or for its time to be up."""

    watch: Watch
    due: float
    grant: Grant | None = None


@dataclass(slots=True)
class WholeFetch:
    """A connection that fetches a whole version."""

    snapshot: Snapshot
    last_at: float


class Publisher:
    """What is published, and who waits for it. The document is its owner's, who tells of each change."""

    def __init__(self, timing: Timing, document: Document) -> None:
        self.timing, self.document = timing, document
        self.history = History(timing.kept_deltas)
        self.term = self.coordinator = 0
        self.active = document.name  # the latest that is known of, with or without its content
        self.detached = False
        self.staged: Delta | None = None
        self.pending: dict[int, PendingWatch] = {}
        self.fetches: dict[int, WholeFetch] = {}
        self.snapshot: Snapshot | None = None

    # Told by the owner

    def applied(self, deltas: tuple[Delta, ...] | None) -> None:
        """Hear how the document was changed; None: it was replaced."""
        if deltas is None:
            self.history.deltas.clear()
            return
        for delta in deltas:
            self.history.add(delta)

    def publish(
        self,
        now: float,
        term: int,
        coordinator: int,
        active: VersionName,
        staged: Delta | None,
        detached: bool = False,
    ) -> list[SendUpdate]:
        """Tell those that wait for it what has changed."""
        self.term, self.coordinator, self.detached = term, coordinator, detached
        self.active = max(active, self.document.name, key=lambda name: name.number)
        follows = staged is not None and staged.base == self.document.name
        self.staged = staged if follows else None
        return [
            self.answer(now, connection)
            for connection, pending in list(self.pending.items())
            if self.is_news(pending.watch)
        ]

    # Watches

    def watch(self, now: float, connection: int, watch: Watch) -> list[SendUpdate]:
        """Take a watch; it takes the place of one that still waits on this connection."""
        self.pending[connection] = PendingWatch(watch, now + watch.wait_ms)
        if self.is_news(watch) or watch.needs_whole or watch.whole is not None:
            return [self.answer(now, connection)]
        if not watch.wait_ms:
            return [self.answer(now, connection)]
        return []

    def granted(self, now: float, connection: int, sequence: int, grant: Grant) -> list[SendUpdate]:
        """Keep a grant for the answer; who has no lease is answered at once."""
        pending = self.pending.get(connection)
        if pending is None or pending.watch.sequence != sequence:
            return []
        pending.grant = grant
        return [] if pending.watch.lease_ms else [self.answer(now, connection)]

    def closed(self, connection: int) -> None:
        """Forget a connection."""
        self.pending.pop(connection, None)
        self.fetches.pop(connection, None)

    def tick(self, now: float) -> list[SendUpdate]:
        """Answer watches whose time is up, and free the slots of those who fetch no more."""
        for connection, fetch in list(self.fetches.items()):
            if now - fetch.last_at > self.timing.whole_idle_ms:
                del self.fetches[connection]
        due = [connection for connection, pending in self.pending.items() if now >= pending.due]
        return [self.answer(now, connection) for connection in due]

    # Answers

    def is_news(self, watch: Watch) -> bool:
        """Tell whether there is anything that the sender of a watch does not know."""
        active = self.active
        if watch.held.number < active.number or watch.term < self.term or self.detached:
            return True
        if watch.held != self.document.name:
            return watch.held.number == self.document.name.number  # another content under this number
        staged = self.staged.target.number if self.staged is not None else 0
        refused = watch.refusal.version if watch.refusal is not None else 0
        if staged:
            return staged not in (watch.prepared, refused)
        return bool(watch.prepared or refused)  # what it prepared or refused was dropped

    def answer(self, now: float, connection: int) -> SendUpdate:
        """Answer the watch that waits on a connection."""
        pending = self.pending.pop(connection)
        watch = pending.watch
        changes = self.changes(watch)
        if watch.needs_whole or watch.whole is not None or changes is None:
            return SendUpdate(connection, self.whole(now, connection, watch))
        self.fetches.pop(connection, None)
        return SendUpdate(connection, self.update(watch, changes=changes, grant=pending.grant))

    def update(
        self, watch: Watch, changes: tuple[Delta, ...] = (), grant: Grant | None = None, retry_ms: int = 0
    ) -> Update:
        """Make an answer."""
        staged = self.staged.target if self.staged is not None else None
        return Update(
            sequence=watch.sequence,
            term=self.term,
            coordinator=self.coordinator,
            active=self.active,
            staged=staged,
            changes=changes,
            grant=grant,
            retry_ms=retry_ms,
            detached=self.detached,
        )

    def changes(self, watch: Watch) -> tuple[Delta, ...] | None:
        """Give the changes that the sender of a watch lacks; None where it needs the whole."""
        held_here = self.document.name
        if watch.held.number > held_here.number:
            return ()
        found = self.history.since(watch.held, held_here)
        if found is None:
            return None
        some = first_of(found, MOST_CHANGES_BYTES)
        if len(some) < len(found):
            return some  # the next watch asks for more
        if self.staged is not None:
            found += (self.staged,)
        if watch.held == held_here and watch.refusal is not None and found:
            return tuple(delta for delta in found if delta.target.number not in (watch.prepared, watch.refusal.version))
        return tuple(delta for delta in found if delta.target.number != watch.prepared)

    def whole(self, now: float, connection: int, watch: Watch) -> Update:
        """Give the part of a whole version that is wanted next, or say when to come again."""
        fetch = self.fetches.get(connection)
        if fetch is None:
            if len(self.fetches) >= self.timing.whole_slots:
                return self.update(watch, retry_ms=self.timing.whole_retry_ms)
            fetch = self.fetches[connection] = WholeFetch(self.current_snapshot(), now)
        fetch.last_at = now
        part = watch.part if watch.whole == fetch.snapshot.version else 0
        if part >= fetch.snapshot.parts:
            part = 0
        update = self.update(watch)
        if part == fetch.snapshot.parts - 1:
            del self.fetches[connection]
        return Update(
            sequence=update.sequence,
            term=update.term,
            coordinator=update.coordinator,
            active=update.active,
            staged=update.staged,
            part=fetch.snapshot.part(part),
        )

    def current_snapshot(self) -> Snapshot:
        """Give a whole version from which the kept changes lead to the active one: one that others fetch, or anew."""
        snapshot = self.snapshot
        shared = any(fetch.snapshot is snapshot for fetch in self.fetches.values())
        if snapshot is None or not shared or not self.reaches(snapshot.version):
            snapshot = self.snapshot = Snapshot(self.document, self.timing.part_entries)
        return snapshot

    def reaches(self, version: VersionName) -> bool:
        """Tell whether the kept changes lead from a version to the active one."""
        return self.history.since(version, self.document.name) is not None


def first_of(deltas: tuple[Delta, ...], most_bytes: int) -> tuple[Delta, ...]:
    """Give the first of some changes, at least one, that have no more bytes together."""
    size = 0
    for place, delta in enumerate(deltas):
        size += delta.size
        if place and size > most_bytes:
            return deltas[:place]
    return deltas
