"""Configuration distribution: each pure core by itself. ``test_distribution_faults`` has all of them together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from petrelhall.configuration.deltas import Delta, SnapshotPart
from petrelhall.configuration.document import Assembly, Document, Snapshot
from petrelhall.configuration.errors import DigestMismatchError, GapError, UnknownEntryError
from petrelhall.configuration.history import History
from petrelhall.configuration.records import FIRST_RECORD, KEPT_OUTCOMES, decode_record, encode_record
from petrelhall.configuration.versions import EMPTY, Entry, VersionName
from petrelhall.distribution import messages
from petrelhall.distribution.coordinator import (
    ConsensusState,
    Coordinator,
    HeartbeatReceived,
    ProposalFailed,
    Propose,
    ReportReceived,
    SendHeartbeat,
    SendOutcome,
    SendVerdict,
    SubmitReceived,
)
from petrelhall.distribution.distributor import Distributor, SendReport, VerdictReceived, WatchReceived
from petrelhall.distribution.learner import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    Dropped,
    Learner,
    Leave,
    NoChecks,
    Notified,
    PutInForce,
    SendWatch,
    Staged,
    Tick,
    UpdateReceived,
)
from petrelhall.distribution.messages import (
    Grant,
    Heartbeat,
    LeaseRequest,
    Refusal,
    Report,
    Submit,
    Update,
    Verdict,
    Watch,
    decode,
    encode,
)
from petrelhall.distribution.publisher import Publisher
from petrelhall.distribution.timing import MARGIN, PROPOSE_AGAIN_MS, RHO, Timing
from tests.version_judge import expected_digest

TIMING = Timing()


# Content


def document_of(entries: dict[str, bytes], number: int = 1) -> Document:
    """Give a document with these entries, as one change from nothing."""
    document = Document()
    document.apply(document.delta(number, "first", tuple(Entry(*item) for item in entries.items()), ()))
    return document


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.text(min_size=1, max_size=3), st.binary(max_size=8), max_size=4),
            st.lists(st.integers(0, 5), max_size=2, unique=True),
        ),
        max_size=12,
    )
)
def test_the_digest_carried_on_is_that_of_the_entries(changes: list[tuple[dict[str, bytes], list[int]]]) -> None:
    document, model = Document(), dict[str, bytes]()
    for number, (put, places) in enumerate(changes, 1):
        removed = tuple(key for place, key in enumerate(sorted(model)) if place in places and key not in put)
        delta = document.delta(number, "c", tuple(Entry(*item) for item in put.items()), removed)
        document.apply(delta)
        for key in removed:
            del model[key]
        model |= put
        assert document.entries == model
        assert document.name.digest == expected_digest(number, model)


def test_a_change_over_a_gap_is_refused_and_nothing_altered() -> None:
    held, ahead = document_of({"a": b"1"}), document_of({"a": b"1"})
    ahead.apply(ahead.delta(2, "x", (Entry("b", b"2"),), ()))
    over_a_gap = ahead.delta(3, "y", (Entry("c", b"3"),), ())
    with pytest.raises(GapError):
        held.apply(over_a_gap)
    assert held.entries == {"a": b"1"} and held.name.number == 1


@pytest.mark.parametrize(
    "alter",
    [
        lambda delta: msgspec.structs.replace(delta, put=(Entry("b", b"other"),)),
        lambda delta: msgspec.structs.replace(delta, put=(*delta.put, Entry("c", b"more"))),
        lambda delta: msgspec.structs.replace(delta, put=()),
        lambda delta: msgspec.structs.replace(delta, removed=()),
        lambda delta: msgspec.structs.replace(delta, target=VersionName(7, delta.target.digest)),
        lambda delta: msgspec.structs.replace(delta, target=VersionName(2, bytes(32))),
    ],
)
def test_altered_content_is_refused_whole(alter: Any) -> None:
    document = document_of({"a": b"1", "old": b"0"})
    delta = document.delta(2, "x", (Entry("b", b"2"),), ("old",))
    with pytest.raises(DigestMismatchError):
        document.apply(alter(delta))
    assert document.entries == {"a": b"1", "old": b"0"} and document.name.number == 1
    document.apply(delta)
    assert document.entries == {"a": b"1", "b": b"2"}


def test_a_change_may_neither_remove_what_is_not_there_nor_name_an_entry_twice() -> None:
    document = document_of({"a": b"1"})
    for put, removed in (((), ("b",)), ((), ("a", "a")), ((Entry("a", b"2"),), ("a",)), ((Entry("c", b""),) * 2, ())):
        with pytest.raises(UnknownEntryError):
            document.delta(2, "x", put, removed)


@pytest.mark.parametrize("count", [0, 1, 4, 5, 9])
def test_a_whole_version_is_put_together_from_its_parts(count: int) -> None:
    document = document_of({f"k{place}": b"v" for place in range(count)})
    snapshot = Snapshot(document, 4)
    assembly = Assembly(snapshot.version, snapshot.parts)
    found = None
    for number in range(snapshot.parts):
        part = snapshot.part(number)
        assert assembly.add(snapshot.part(number + 1)) is None  # not its turn
        found = assembly.add(part)
        assert (found is not None) == (number == snapshot.parts - 1)
    assert found is not None and found.entries == document.entries and found.name == document.name


def test_the_parts_of_a_whole_version_are_bounded_in_bytes() -> None:
    document = document_of({f"k{place}": bytes(size) for place, size in enumerate((10, 90, 10, 300, 10, 10, 70))})
    snapshot = Snapshot(document, 100, 100)
    sizes = [[len(entry.value) for entry in snapshot.part(part).entries] for part in range(snapshot.parts)]
    assert sizes == [[10], [90], [10], [300], [10, 10, 70]]


def test_a_whole_version_with_another_digest_is_refused() -> None:
    snapshot = Snapshot(document_of({"a": b"1"}), 4)
    part = snapshot.part(0)
    spoilt = SnapshotPart(part.version, part.part, part.parts, (Entry("a", b"2"),))
    with pytest.raises(DigestMismatchError):
        Assembly(snapshot.version, 1).add(spoilt)
    twice = SnapshotPart(part.version, part.part, part.parts, part.entries * 2)
    with pytest.raises(UnknownEntryError):
        Assembly(snapshot.version, 1).add(twice)


def test_history_gives_the_changes_between_two_versions_or_nothing() -> None:
    document, history, names = Document(), History(3), [EMPTY]
    for number in range(1, 6):
        delta = document.delta(2 * number, "c", (Entry("k", bytes([number])),), ())
        document.apply(delta)
        history.add(delta)
        names.append(document.name)
    assert history.since(names[5], names[5]) == ()
    assert [delta.target for delta in history.since(names[2], names[5]) or ()] == names[3:]
    assert history.since(names[1], names[5]) is None  # no longer kept
    assert history.since(VersionName(names[3].number, bytes(32)), names[5]) is None
    other = document_of({"z": b""})
    history.add(other.delta(20, "c", (), ()))
    assert len(history.deltas) == 1  # what does not follow makes the others useless


def test_records_are_read_as_they_were_written_and_keep_a_bounded_number_of_outcomes() -> None:
    record, document = FIRST_RECORD, Document()
    for number in range(1, 40):
        record = record.staging(document.delta(number, f"c{number}", (Entry("k", bytes([number])),), ()))
        assert decode_record(encode_record(record)) == record and record.staged is not None
        if number % 3:
            assert record.delta is not None
            document.apply(record.delta)
            record = record.activating()
        else:
            record = record.dropping("bad")
        assert record.staged is None and record.last_number == number
    assert len(record.outcomes) == KEPT_OUTCOMES
    ended = record.outcome("c39")
    assert ended is not None and not ended.in_force and ended.reason == "bad"
    assert record.active == document.name and record.led_by(3).term == 1


# Messages

NAME = VersionName(3, bytes(range(32)))
DELTA = Delta(EMPTY, NAME, "change", (Entry("a", b"1"),), ("b",))
WATCH = Watch(1, 2, 3, NAME, 4, 5, True, 6, 7, 8, refusal=Refusal(4, "no"))
EXAMPLES: list[messages.Message] = [
    WATCH,
    Update(3, 1, 2, NAME, NAME, (DELTA,), SnapshotPart(NAME, 0, 1, (Entry("a", b""),)), Grant(NAME, 1500), 5),
    Report(1, 2, 3, (LeaseRequest(1, 2, 3, 4, 5, True, Refusal(1, "x")), LeaseRequest(1, 2, 3, 4, 5, False))),
    Verdict(1, 2, 3, 4, Grant(NAME, 1500), (0, 2)),
    Verdict(1, 2, 3, 4, Grant(NAME, 1500), None),
    Heartbeat(1, 2),
    Submit("c", (Entry("a", b"1"),), ("b",), 4),
    messages.Outcome("c", "in force", 3, 1),
    messages.StatusRequest(),
    messages.Status("{}"),
]


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
def test_messages_are_read_as_they_were_written(message: messages.Message) -> None:
    assert decode(encode(message)) == message


@pytest.mark.parametrize("message", EXAMPLES, ids=lambda message: type(message).__name__)
def test_what_is_no_message_is_an_error_of_its_own(message: messages.Message) -> None:
    content = encode(message)
    for cut in range(len(content)):
        with pytest.raises(messages.MalformedMessageError):
            decode(content[:cut])
    with pytest.raises(messages.MalformedMessageError):
        decode(content + b"\x00")
    with pytest.raises(messages.MessageTooLargeError):
        decode(bytes(messages.MOST_MESSAGE_BYTES + 1))
    assert issubclass(messages.MalformedMessageError, messages.MessageError)


def test_numbers_out_of_range_are_refused() -> None:
    for spoilt in (
        msgspec.structs.replace(WATCH, sender=-1),
        msgspec.structs.replace(WATCH, held=VersionName(1, b"short")),
        msgspec.structs.replace(WATCH, refusal=Refusal(1, "x" * (messages.MOST_REASON + 1))),
    ):
        with pytest.raises(messages.MalformedMessageError):
            decode(encode(spoilt))


# Timing


def test_the_margin_covers_the_drift_of_two_clocks() -> None:
    assert MARGIN > (1 + RHO) / (1 - RHO)
    assert TIMING.granted_ms / (1 + RHO) > TIMING.lease_ms / (1 - RHO)


def test_the_stated_bounds_with_rounds_between_regions() -> None:
    round_ms, decision_ms = 200.0, 500.0
    assert TIMING.change_ms(round_ms, decision_ms) == pytest.approx(1600.0)
    assert TIMING.change_silent_ms(round_ms, decision_ms) == pytest.approx(3145.0)
    assert TIMING.change_silent_ms(round_ms, decision_ms, replica_silent=True) == pytest.approx(4007.0)
    assert TIMING.change_takeover_ms(round_ms, decision_ms) == pytest.approx(3757.0)
    assert TIMING.wholes_ms(420, 10_000_000, 100e6) == pytest.approx(42_000.0)
    assert TIMING.wait_ms + TIMING.late_ms < TIMING.lease_ms


# The learner


class Refuses(NoChecks):
    """Refuses what puts an entry of this name."""

    def delta(self, document: Document, delta: Delta) -> str:
        """Refuse some changes."""
        return "not here" if any(entry.key == "refused" for entry in delta.put) else ""


class LearnerAlone:
    """A learner without a world: what it sends is looked at, what it hears is made up."""

    def __init__(self, checks: NoChecks | None = None, wants_lease: bool = True) -> None:
        self.learner = Learner(7, 99, TIMING, 2, checks or NoChecks(), 1, 0.0, wants_lease=wants_lease)
        self.source = Document()  # what is published
        self.now = 0.0
        self.actions: list[Any] = []

    def handle(self, event: Any, at: float | None = None) -> list[Any]:
        """Give it an event."""
        self.now = self.now if at is None else at
        self.actions = list(self.learner.handle(self.now, event))
        return self.actions

    def of(self, kind: type) -> list[Any]:
        """Give the latest actions of a kind."""
        return [action for action in self.actions if isinstance(action, kind)]

    def connect(self) -> Watch:
        """Connect it, and give its first watch."""
        self.handle(Tick(), self.learner.due())
        (connect,) = self.of(Connect)
        self.handle(Connected(connect.link))
        return self.watch()

    def watch(self) -> Watch:
        """Give the watch that it has just sent."""
        (sent,) = self.of(SendWatch)
        watch: Watch = sent.watch
        return watch

    def update(self, at: float | None = None, **fields: Any) -> list[Any]:
        """Answer the watch that waits."""
        update = Update(
            sequence=fields.pop("sequence", self.learner.sequence),
            term=fields.pop("term", 1),
            coordinator=2,
            active=fields.pop("active", self.source.name),
            staged=fields.pop("staged", None),
            **fields,
        )
        return self.handle(UpdateReceived(fields.get("link", self.learner.link), update), at)

    def change(self, number: int, key: str = "k") -> Delta:
        """Make the next change of what is published, not applied there yet."""
        return self.source.delta(number, f"c{number}", (Entry(key, b"%d" % number),), ())

    def grant(self) -> Grant:
        """Give a grant on what is published."""
        return Grant(self.source.name, TIMING.lease_ms)


def test_a_lease_counts_from_the_sending_of_its_watch() -> None:
    alone = LearnerAlone()
    alone.connect()
    sent_at = alone.now
    assert alone.learner.admits(alone.now) is None
    alone.update(sent_at + 400.0, grant=alone.grant())
    assert alone.learner.admits(sent_at + 400.0) == EMPTY
    assert alone.learner.admits(sent_at + TIMING.lease_ms - 0.1) == EMPTY
    assert alone.learner.admits(sent_at + TIMING.lease_ms) is None


def test_a_grant_of_more_than_was_agreed_counts_as_the_agreed_time() -> None:
    alone = LearnerAlone()
    alone.connect()
    sent_at = alone.now
    alone.update(grant=Grant(EMPTY, 10 * TIMING.lease_ms))
    assert alone.learner.admits(sent_at + TIMING.lease_ms) is None


def test_staged_content_is_acknowledged_and_put_in_force_once_active() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(alone.now + 5, grant=alone.grant())
    delta = alone.change(1)
    alone.update(staged=delta.target, changes=(delta,))
    assert alone.of(Staged)[0].delta == delta and not alone.of(PutInForce)
    watch = alone.watch()
    assert (watch.prepared, watch.held, watch.lease_ms > 0) == (1, EMPTY, True)
    assert alone.learner.admits(alone.now) == EMPTY  # the old goes on
    alone.source.apply(delta)
    alone.update()
    assert alone.of(PutInForce) == [PutInForce(delta.target, (delta,))]
    assert alone.learner.document.entries == {"k": b"1"}
    watch = alone.watch()
    assert (watch.held, watch.prepared, watch.lease_ms) == (delta.target, 0, 0)
    assert alone.learner.admits(alone.now) is None  # the old lease does not count for the new version
    alone.update(grant=alone.grant())
    assert alone.learner.admits(alone.now) == delta.target


def test_news_of_a_later_version_ends_a_lease_even_where_its_content_is_missing() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(grant=alone.grant())
    assert alone.learner.admits(alone.now) == EMPTY
    alone.update(active=VersionName(5, bytes(32)), grant=Grant(EMPTY, 1500))
    assert alone.learner.admits(alone.now) is None


def test_a_grant_on_another_version_than_the_one_in_force_is_no_lease() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(grant=Grant(VersionName(0, bytes(32)), 1500))
    assert alone.learner.admits(alone.now) is None


def test_late_repeated_and_foreign_answers_are_not_taken() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(sequence=alone.learner.sequence + 1, grant=alone.grant())
    assert alone.of(Dropped) and alone.learner.admits(alone.now) is None
    alone.handle(UpdateReceived(alone.learner.link + 1, Update(1, 1, 1, EMPTY, None, grant=alone.grant())))
    assert alone.of(Dropped)
    first = alone.learner.sequence
    alone.update(grant=alone.grant())
    until = alone.learner.lease_until
    alone.update(alone.now + 300, sequence=first, grant=alone.grant())
    assert alone.of(Dropped) and alone.learner.lease_until == until


def test_bad_content_is_refused_whole_and_named_while_the_old_stays() -> None:
    alone = LearnerAlone()
    alone.connect()
    good = alone.change(1)
    alone.source.apply(good)
    alone.update(changes=(good,), grant=alone.grant())
    spoilt = msgspec.structs.replace(alone.change(2), put=(Entry("k", b"spoilt"),))
    alone.update(staged=spoilt.target, changes=(spoilt,))
    assert "digest" in alone.of(Notified)[0].what and "version 2" in alone.of(Notified)[0].what
    assert alone.learner.staged is None and alone.learner.document.entries == {"k": b"1"}
    assert alone.learner.admits(alone.now) == good.target
    assert alone.of(Disconnect)  # the other distributor is asked
    assert alone.learner.distributor == 0
    assert alone.connect().needs_whole is False
    assert alone.learner.distributor == 1
    alone.update(staged=spoilt.target, changes=(spoilt,))
    assert alone.connect().needs_whole is True  # that was no help


def test_a_change_over_a_gap_ends_with_the_whole() -> None:
    alone = LearnerAlone()
    alone.connect()
    missed = alone.change(1)
    alone.source.apply(missed)
    delta = alone.change(2, "other")
    alone.source.apply(delta)
    alone.update(changes=(delta,))
    assert "based on version 1, held is 0" in alone.of(Notified)[0].what
    assert alone.learner.document.entries == {} and alone.learner.trouble
    alone.connect()
    alone.update(changes=(delta,))
    assert alone.connect().needs_whole
    snapshot = Snapshot(alone.source, 1)
    for number in range(snapshot.parts):
        assert not alone.learner.document.entries
        alone.update(part=snapshot.part(number))
    assert alone.of(PutInForce) == [PutInForce(alone.source.name, None)]
    assert alone.learner.document.entries == alone.source.entries and not alone.learner.trouble
    assert not alone.watch().needs_whole


def test_changes_before_one_that_is_refused_are_in_force_and_told() -> None:
    alone = LearnerAlone()
    alone.connect()
    first = alone.change(1)
    alone.source.apply(first)
    second = alone.change(2)
    alone.source.apply(second)
    alone.update(changes=(first, msgspec.structs.replace(second, put=())))
    assert alone.of(PutInForce) == [PutInForce(first.target, (first,))]
    assert alone.learner.document.name == first.target


def test_what_its_own_checks_refuse_is_told_with_the_next_watch() -> None:
    alone = LearnerAlone(Refuses())
    alone.connect()
    alone.update(grant=alone.grant())
    delta = alone.change(1, "refused")
    alone.update(staged=delta.target, changes=(delta,))
    watch = alone.watch()
    assert watch.refusal == Refusal(1, "not here") and watch.prepared == 0
    assert alone.learner.admits(alone.now) == EMPTY
    alone.update()  # dropped
    assert alone.watch().refusal is None


def test_a_staged_version_that_is_dropped_is_dropped() -> None:
    alone = LearnerAlone()
    alone.connect()
    delta = alone.change(1)
    alone.update(staged=delta.target, changes=(delta,))
    alone.update()
    assert alone.of(Staged) == [Staged(None)] and alone.watch().prepared == 0
    other = alone.change(2)
    alone.source.apply(other)
    alone.update(changes=(other,))
    assert alone.learner.document.name == other.target


def test_a_staged_version_and_those_after_it_are_put_in_force_together() -> None:
    alone = LearnerAlone()
    alone.connect()
    first = alone.change(1)
    alone.update(staged=first.target, changes=(first,))
    alone.source.apply(first)
    second = alone.change(2)
    alone.source.apply(second)
    alone.update(changes=(second,))  # the first is known to be prepared
    assert alone.of(PutInForce) == [PutInForce(second.target, (first, second))]


def test_a_connection_without_an_answer_is_given_up_for_the_next_distributor() -> None:
    alone = LearnerAlone()
    watch = alone.connect()
    given_up = alone.now + watch.wait_ms + TIMING.late_ms
    assert alone.handle(Tick(), given_up - 1) == []
    alone.handle(Tick(), given_up)
    assert alone.of(Disconnect) and not alone.of(Connect)
    assert given_up <= alone.learner.due() <= given_up + TIMING.jitter_ms
    alone.handle(Tick(), alone.learner.due())
    assert alone.of(Connect)[0].distributor == 1


def test_reconnections_are_spread_and_put_off_longer_with_each_failure() -> None:
    first, fifth = [], []
    for seed in range(400):
        learner = Learner(1, 1, TIMING, 2, NoChecks(), seed, 0.0)
        first.append(learner.due())
        for _ in range(5):
            now = learner.due()
            (connect,) = learner.handle(now, Tick())
            assert isinstance(connect, Connect)
            learner.handle(now, Disconnected(connect.link))
        fifth.append(learner.due() - now)
    assert min(first) < 0.1 * TIMING.jitter_ms and 0.9 * TIMING.jitter_ms < max(first) <= TIMING.jitter_ms
    assert min(fifth) < 0.1 * 16 * TIMING.jitter_ms and max(fifth) <= 16 * TIMING.jitter_ms
    tenths = Counter(int(10 * at / TIMING.jitter_ms) for at in first)
    assert len(tenths) == 10 and max(tenths.values()) < 80  # evenly: 40 each on average


def test_who_leaves_gives_its_lease_back_and_asks_no_more() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(grant=alone.grant())
    alone.handle(Leave())
    assert alone.learner.admits(alone.now) is None
    assert alone.watch().wants_lease is False
    alone.update(grant=alone.grant())
    assert alone.learner.admits(alone.now) is None
    assert alone.handle(Tick(), alone.now + 60_000) == []


@pytest.mark.parametrize("fields", [{"active": VersionName(5, bytes(32))}, {"detached": True}])
def test_a_source_that_is_behind_or_detached_is_left_for_the_next(fields: dict[str, Any]) -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(grant=alone.grant(), **fields)
    assert alone.of(Disconnect) and not alone.of(SendWatch)
    if "detached" in fields:
        assert alone.learner.admits(alone.now) == EMPTY  # a lease is a lease
    alone.connect()
    assert alone.learner.distributor == 1


def test_who_finds_no_slot_for_the_whole_comes_again_at_a_random_time() -> None:
    alone = LearnerAlone()
    alone.connect()
    alone.update(active=VersionName(5, bytes(32)), retry_ms=1000)
    assert not alone.of(SendWatch)
    assert alone.now < alone.learner.due() <= alone.now + 1000


# The publisher


class PublisherAlone:
    """A publisher with a document of its own."""

    def __init__(self, timing: Timing = TIMING) -> None:
        self.document = Document()
        self.publisher = Publisher(timing, self.document)
        self.sequence = 0

    def change(self, number: int) -> Delta:
        """Put a change in force."""
        delta = self.document.delta(number, f"c{number}", (Entry(f"k{number}", b"v"),), ())
        self.document.apply(delta)
        self.publisher.applied((delta,))
        self.publisher.publish(0.0, self.publisher.term, 0, self.document.name, None)
        return delta

    def watch(self, connection: int, now: float = 0.0, **fields: Any) -> list[Update]:
        """Send a watch; give the answer, if there is one at once."""
        self.sequence += 1
        known = {"held": self.document.name, "wait_ms": 500, "lease_ms": 500, "term": self.publisher.term, **fields}
        watch = Watch(
            sender=connection, incarnation=1, sequence=self.sequence, prepared=known.pop("prepared", 0), leased=0,
            wants_lease=True, **known,
        )  # fmt: skip
        return [sent.update for sent in self.publisher.watch(now, connection, watch)]


def test_a_watch_waits_until_its_time_is_up() -> None:
    alone = PublisherAlone()
    alone.change(1)
    assert alone.watch(1) == []
    assert alone.publisher.tick(499.0) == []
    (sent,) = alone.publisher.tick(500.0)
    assert sent.connection == 1 and sent.update.changes == () and sent.update.active == alone.document.name
    assert alone.publisher.tick(600.0) == []


def test_a_watch_is_answered_with_the_changes_since() -> None:
    alone = PublisherAlone()
    before = alone.document.name
    changes = tuple(alone.change(number) for number in (1, 2, 4))
    (update,) = alone.watch(1, held=before)
    assert update.changes == changes
    (update,) = alone.watch(1, held=before, prepared=1)
    assert update.changes == changes[1:]  # what is prepared is not sent again


def test_many_changes_come_in_answers_of_bounded_size(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("petrelhall.distribution.publisher.MOST_CHANGES_BYTES", 7)
    alone = PublisherAlone()
    changes = [alone.change(number) for number in range(1, 6)]  # of 3 bytes each
    staged = alone.document.delta(6, "c", (Entry("a", b""),), ())
    alone.publisher.publish(0.0, 0, 0, alone.document.name, staged)
    held, got = EMPTY, []
    while (update := alone.watch(1, held=held)[0]).changes[-1] != staged:
        assert len(update.changes) == 2
        got += update.changes
        held = update.changes[-1].target
    assert [*got, *update.changes] == [*changes, staged]


def test_those_that_wait_hear_of_a_staged_version_once() -> None:
    alone = PublisherAlone()
    alone.watch(1)
    alone.watch(2, prepared=1)
    staged = alone.document.delta(1, "c", (Entry("a", b""),), ())
    (sent,) = alone.publisher.publish(0.0, 0, 0, alone.document.name, staged)
    assert sent.connection == 1 and sent.update.changes == (staged,) and sent.update.staged == staged.target
    assert alone.watch(1, prepared=1) == []
    assert alone.watch(1, refusal=Refusal(1, "no")) == []
    assert alone.publisher.publish(0.0, 0, 0, alone.document.name, None)  # dropped, which is told


def test_who_knows_of_a_version_without_its_content_says_so() -> None:
    alone = PublisherAlone()
    alone.watch(1)
    ahead = VersionName(7, bytes(32))
    (sent,) = alone.publisher.publish(0.0, 0, 0, ahead, None)
    assert sent.update.active == ahead and sent.update.changes == ()
    assert alone.watch(1, held=ahead) == []  # nothing that it does not know


def test_who_is_detached_says_so_at_once() -> None:
    alone = PublisherAlone()
    alone.watch(1)
    (sent,) = alone.publisher.publish(0.0, 0, 0, alone.document.name, None, True)
    assert sent.update.detached
    assert [update.detached for update in alone.watch(1)] == [True]
    alone.publisher.publish(0.0, 0, 0, alone.document.name, None)
    assert alone.watch(1) == []


def test_a_new_term_is_told() -> None:
    alone = PublisherAlone()
    alone.watch(1)
    (sent,) = alone.publisher.publish(0.0, 3, 4, alone.document.name, None)
    assert (sent.update.term, sent.update.coordinator) == (3, 4)


def test_a_grant_is_kept_for_the_answer_or_given_at_once_to_who_has_no_lease() -> None:
    alone = PublisherAlone()
    grant = Grant(alone.document.name, 1500)
    alone.watch(1, lease_ms=500)
    assert alone.publisher.granted(1.0, 1, alone.sequence, grant) == []
    (sent,) = alone.publisher.tick(500.0)
    assert sent.update.grant == grant
    alone.watch(1, lease_ms=0)
    assert alone.publisher.granted(1.0, 1, alone.sequence - 1, grant) == []  # of an earlier watch
    (sent,) = alone.publisher.granted(1.0, 1, alone.sequence, grant)
    assert sent.update.grant == grant


def test_who_is_too_far_behind_gets_the_whole_in_parts_and_only_so_many_at_once() -> None:
    alone = PublisherAlone(replace(TIMING, kept_deltas=2, part_entries=2, whole_slots=2))
    for number in range(1, 6):
        alone.change(number)
    (first,) = alone.watch(1, held=EMPTY)
    assert first.part is not None and (first.part.part, first.part.parts, first.changes) == (0, 3, ())
    (second,) = alone.watch(2, held=EMPTY)
    (third,) = alone.watch(3, held=EMPTY)
    assert second.part is not None and third.part is None and third.retry_ms == TIMING.whole_retry_ms
    version = first.part.version
    alone.change(6)  # what was begun stays as it was
    for number in (1, 2):
        (update,) = alone.watch(1, held=EMPTY, whole=version, part=number)
        assert update.part is not None and (update.part.part, update.part.version) == (number, version)
    (third,) = alone.watch(3, held=EMPTY)
    assert third.part is not None  # a slot is free again
    alone.publisher.tick(0.0 + TIMING.whole_idle_ms + 1)
    assert not alone.publisher.fetches  # who asks for no more parts has lost its slot


def test_a_closed_connection_is_forgotten() -> None:
    alone = PublisherAlone()
    alone.watch(1)
    alone.publisher.closed(1)
    assert alone.publisher.tick(1000.0) == []


# The distributor


def distributor_watch(gateway: int, sequence: int = 1, **fields: Any) -> Watch:
    """Give a gateway's watch."""
    known = {"held": EMPTY, "prepared": 0, "leased": 0, "wants_lease": True, "lease_ms": 0, "term": 0, "wait_ms": 250}
    return Watch(sender=gateway, incarnation=5, sequence=sequence, **{**known, **fields})


def test_what_gateways_say_goes_on_in_one_report_and_grants_come_back() -> None:
    distributor = Distributor(3, 77, TIMING, 5, 1, 0.0)
    for gateway in range(10):
        assert not distributor.handle(0.0, WatchReceived(gateway, distributor_watch(gateway, lease_ms=gateway % 2)))
    sent = [one for one in distributor.handle(TIMING.flush_ms, Tick()) if isinstance(one, SendReport)]
    (report,) = [one.report for one in sent]
    assert (report.distributor, report.incarnation, len(report.requests)) == (3, 77, 10)
    verdict = Verdict(77, report.sequence, 0, 0, Grant(EMPTY, 1500), (0, 1, 2, 99))
    answered = distributor.handle(30.0, VerdictReceived(verdict))
    assert [action.connection for action in answered] == [0, 2]  # the other waits, with its grant
    answered = [one for one in distributor.handle(250.0, Tick()) if not isinstance(one, Connect)]
    grants = {one.connection: one.update.grant is not None for one in answered}
    assert grants == {gateway: gateway == 1 for gateway in range(10) if gateway not in (0, 2)}


def test_verdicts_on_reports_of_another_life_or_long_ago_are_not_passed_on() -> None:
    distributor = Distributor(3, 77, TIMING, 5, 1, 0.0)
    distributor.handle(0.0, WatchReceived(1, distributor_watch(1)))
    distributor.handle(TIMING.flush_ms, Tick())
    for verdict in (Verdict(76, 1, 0, 0, Grant(EMPTY, 1500), None), Verdict(77, 2, 0, 0, Grant(EMPTY, 1500), None)):
        assert distributor.handle(30.0, VerdictReceived(verdict)) == [Dropped("late")]


def test_the_latest_of_a_gateway_counts_in_a_report() -> None:
    distributor = Distributor(3, 77, TIMING, 5, 1, 0.0)
    distributor.handle(0.0, WatchReceived(1, distributor_watch(1, 1)))
    distributor.handle(1.0, WatchReceived(1, distributor_watch(1, 2, prepared=4)))
    (sent,) = [one for one in distributor.handle(TIMING.flush_ms, Tick()) if isinstance(one, SendReport)]
    (request,) = sent.report.requests
    assert request.prepared == 4


# The coordinator


class CoordinatorAlone:
    """A coordinator whose consensus decides at once, or when it is told to."""

    def __init__(self, number: int = 0) -> None:
        self.document = Document()
        self.coordinator = Coordinator(number, 5, TIMING, self.document, 0.0)
        self.slot, self.record, self.now = 0, FIRST_RECORD, 0.0
        self.sequence = 0
        self.actions: list[Any] = []
        self.state(1e9)

    def handle(self, event: Any, at: float | None = None) -> list[Any]:
        """Give it an event."""
        self.now = self.now if at is None else at
        self.actions = list(self.coordinator.handle(self.now, event))
        return self.actions

    def of(self, kind: type) -> list[Any]:
        """Give the latest actions of a kind."""
        return [action for action in self.actions if isinstance(action, kind)]

    def state(self, lease_until: float, at: float | None = None) -> list[Any]:
        """Tell it what is in force."""
        return self.handle(ConsensusState(self.slot, self.record, lease_until), at)

    def decide(self, record: Any = None) -> list[Any]:
        """Have its proposal, or another record, decided."""
        self.record = record or self.of(Propose)[0].record
        self.slot += 1
        delta = self.record.delta
        if delta is not None and self.record.active == delta.target and self.document.name == delta.base:
            self.document.apply(delta)
        return self.state(1e9)

    def report(self, *requests: LeaseRequest, at: float | None = None) -> list[int] | None:
        """Report, and give the indices that were granted."""
        self.sequence += 1
        self.handle(ReportReceived(8, Report(1, 1, self.sequence, requests)), at)
        verdicts = [one.verdict for one in self.of(SendVerdict) if one.verdict.sequence == self.sequence]
        if not verdicts:
            return []
        return None if verdicts[0].granted is None else list(verdicts[0].granted)

    def fenced(self) -> CoordinatorAlone:
        """Let the fence pass."""
        self.handle(Tick(), self.now + TIMING.granted_ms)
        return self

    def submit(self, change: str = "c1", key: str = "k", base: int | None = None) -> list[Any]:
        """Submit a change."""
        return self.handle(SubmitReceived(4, Submit(change, (Entry(key, b"v"),), (), base)))


def request(gateway: int, held: int = 0, prepared: int = 0, **fields: Any) -> LeaseRequest:
    """Give what a gateway's watch says."""
    known = {"incarnation": 1, "leased": 0, "wants_lease": True, **fields}
    return LeaseRequest(gateway=gateway, held=held, prepared=prepared, **known)


def test_no_lease_is_granted_before_those_of_earlier_terms_are_over() -> None:
    alone = CoordinatorAlone()
    assert alone.report(request(1), at=TIMING.granted_ms - 1) == []
    alone.handle(Tick(), TIMING.granted_ms)
    (sent,) = alone.of(SendVerdict)  # it waited
    assert sent.verdict.granted == (0,) and sent.verdict.grant == Grant(EMPTY, TIMING.lease_ms)
    assert alone.report(request(1), request(2)) is None  # both


def test_a_gateway_that_has_held_a_lease_on_the_version_shows_that_earlier_ones_are_over() -> None:
    alone = CoordinatorAlone()
    staged = alone.record.staging(alone.document.delta(1, "c", (), ()))
    alone.decide(staged)
    alone.decide(staged.activating())
    assert alone.report(request(1, held=1)) == []
    assert alone.report(request(2, held=1, leased=1)) is None
    assert alone.coordinator.handle(alone.now, Tick()) == [] or not alone.coordinator.waiting


def test_a_version_is_activated_once_each_lease_is_prepared_or_over() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1), request(2))
    granted_at = alone.now
    alone.submit()
    (proposed,) = alone.of(Propose)
    assert proposed.record.staged is not None and proposed.record.active == EMPTY
    alone.decide()
    assert not alone.of(Propose)
    assert alone.report(request(1, prepared=1), request(2), at=granted_at + 500) == [0]  # who is not prepared: none
    assert alone.coordinator.view(alone.now)["unprepared"] == [2]
    alone.handle(Tick(), granted_at + TIMING.granted_ms - 1)
    assert not alone.of(Propose)
    alone.handle(Tick(), granted_at + TIMING.granted_ms)
    assert alone.of(Propose)[0].record.active.number == 1


def test_all_prepared_is_activated_at_once_and_granted_when_all_have_released() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1), request(2), request(3))
    alone.submit()
    alone.decide()
    alone.report(request(1, prepared=1), request(2, prepared=1))
    assert not alone.of(Propose)
    alone.report(request(3, prepared=1))
    assert alone.of(Propose)
    alone.decide()
    assert alone.report(request(1, held=1)) == []
    assert alone.report(request(1, prepared=1)) == []  # late: nothing is granted on the old any more
    assert alone.report(request(1, held=1), request(2, held=1)) == []
    alone.report(request(3, held=1))
    sent = [one.verdict for one in alone.of(SendVerdict)]
    assert sorted(index for verdict in sent for index in verdict.granted or (0,)) == [0, 0, 1]
    assert {verdict.grant.version.number for verdict in sent} == {1}
    view = alone.coordinator.view(alone.now)
    assert (view["missing"], view["versions"], view["active"]["version"]) == ([], {"1": 3}, 1)
    view = alone.coordinator.view(alone.now + TIMING.granted_ms + 7)
    assert [(one["gateway"], one["held"], one["heard_ms_ago"]) for one in view["missing"]][0] == (1, 1, 1552)


def test_who_dies_between_activation_and_release_is_waited_out() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1), request(2))
    alone.submit()
    alone.decide()
    alone.report(request(1, prepared=1), request(2, prepared=1))
    last = alone.now
    alone.decide()
    assert alone.report(request(1, held=1), at=last + TIMING.granted_ms - 1) == []
    alone.handle(Tick(), last + TIMING.granted_ms)
    assert alone.of(SendVerdict)


def test_a_gateways_new_process_does_not_release_the_lease_of_the_old_one() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1))
    granted_at = alone.now
    alone.submit()
    alone.decide()
    alone.report(request(1, prepared=1, incarnation=2))
    assert not alone.of(Propose)
    alone.handle(Tick(), granted_at + TIMING.granted_ms)
    assert alone.of(Propose)


def test_a_lease_that_is_given_back_is_not_waited_for() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1))
    alone.report(request(1, wants_lease=False))
    alone.submit()
    alone.decide()
    assert alone.of(Propose)[0].record.active.number == 1


def test_one_refusal_ends_a_change_and_names_the_gateway() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1), request(2))
    alone.submit()
    alone.decide()
    alone.report(request(1, prepared=1), request(2, refusal=Refusal(1, "no room")))
    (proposed,) = alone.of(Propose)
    assert proposed.record.staged is None and proposed.record.active == EMPTY
    alone.decide()
    (told,) = [one.outcome for one in alone.of(SendOutcome)]
    assert (told.state, told.reason) == ("refused", "gateway 2: no room")
    alone.submit("c2")
    assert alone.of(Propose)[0].record.staged.number == 2  # no number is used twice


def test_a_repeated_change_is_made_once_and_its_end_told_again() -> None:
    alone = CoordinatorAlone().fenced()
    alone.submit("c1")
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["queued"]
    alone.submit("c1")
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["queued"] and len(alone.coordinator.queue) == 1
    alone.handle(Tick(), alone.now + TIMING.proposal_ms)
    alone.decide()
    alone.submit("c1")
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["staged"]
    alone.decide(alone.record.activating())
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["in force"]
    assert not alone.of(Propose) and alone.record.last_number == 1
    alone.submit("c1")
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["in force"]
    assert not alone.of(Propose) and not alone.coordinator.queue


def test_a_change_made_for_another_version_is_refused() -> None:
    alone = CoordinatorAlone().fenced()
    alone.submit(base=5)
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["queued", "refused"]
    assert not alone.of(Propose)
    alone.handle(SubmitReceived(4, Submit("c2", (), ("missing",))))
    assert alone.of(SendOutcome)[-1].outcome.state == "refused"


def test_a_change_that_is_too_large_is_refused_and_the_next_is_made() -> None:
    alone = CoordinatorAlone().fenced()
    alone.handle(SubmitReceived(4, Submit("large", (Entry("k", bytes(65_000)),), ())))
    assert "at most 61440 in one change" in alone.of(SendOutcome)[-1].outcome.reason
    alone.submit("c2")
    assert alone.of(Propose)


def test_a_proposal_that_failed_or_was_lost_is_made_again() -> None:
    alone = CoordinatorAlone().fenced()
    alone.submit()
    assert alone.of(Propose)
    alone.handle(Tick(), alone.now + TIMING.proposal_ms - 1)
    assert not alone.of(Propose)
    alone.handle(Tick(), alone.now + 1)
    assert alone.of(Propose)
    alone.handle(ProposalFailed(alone.slot, "no majority"))
    assert not alone.of(Propose)  # not in the same turn
    alone.handle(Tick(), alone.now + PROPOSE_AGAIN_MS)
    assert alone.of(Propose)


def test_without_its_consensus_lease_a_coordinator_neither_grants_nor_activates() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1))
    alone.submit()
    alone.decide()
    alone.state(alone.now)  # its lease is over
    assert alone.report(request(1, prepared=1), at=alone.now + 2 * TIMING.granted_ms) == []
    assert not alone.of(Propose) and not alone.of(SendHeartbeat)


def test_a_coordinator_that_was_replaced_stays_so() -> None:
    alone = CoordinatorAlone().fenced()
    alone.report(request(1))
    alone.decide(alone.record.led_by(1))
    assert alone.report(request(1)) == []
    alone.submit()
    assert [one.outcome.state for one in alone.of(SendOutcome)] == ["elsewhere"]
    assert alone.of(SendOutcome)[0].outcome.coordinator == 1


def test_a_silent_coordinator_is_replaced_by_the_next_in_turn() -> None:
    for number, patience in ((1, 1.0), (2, 1.5), (4, 2.5)):
        alone = CoordinatorAlone(number)
        wait = TIMING.takeover_ms * patience
        alone.handle(Tick(), wait - 1)
        assert not alone.of(Propose)
        alone.handle(HeartbeatReceived(Heartbeat(0, 0)))
        alone.handle(Tick(), 2 * wait - 2)
        assert not alone.of(Propose)
        alone.handle(Tick(), 2 * wait)
        assert alone.of(Propose)[0].record == FIRST_RECORD.led_by(number)


def test_a_new_coordinator_goes_on_with_what_is_staged_after_its_fence() -> None:
    alone = CoordinatorAlone(1)
    staged = FIRST_RECORD.staging(alone.document.delta(1, "c", (), ()))
    alone.decide(staged)
    alone.handle(Tick(), 10_000.0)
    alone.decide()  # it takes over
    began = alone.now
    assert alone.record.term == 1 and not alone.of(Propose)
    assert alone.report(request(1, prepared=1)) == []
    alone.handle(Tick(), began + TIMING.granted_ms - 1)
    assert not alone.of(Propose)
    alone.handle(Tick(), began + TIMING.granted_ms)
    assert alone.of(Propose)[0].record.active.number == 1
