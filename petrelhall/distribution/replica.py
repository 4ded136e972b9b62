"""A control replica: consensus on records, the content that they name, the coordinator, and watches answered.

Content comes with the records themselves. A replica that missed some, because it was down, follows another replica as a
learner until it has caught up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from petrelhall.accord.votes import VoterState
from petrelhall.configuration.deltas import Delta
from petrelhall.configuration.document import Document
from petrelhall.configuration.errors import ConfigurationError
from petrelhall.configuration.records import ControlRecord
from petrelhall.distribution.consensus import PersistVotes, RecordConsensus, SendConsensus
from petrelhall.distribution.coordinator import (
    Coordinator,
    CoordinatorEvent,
    HeartbeatReceived,
    Propose,
    ReportReceived,
    SendHeartbeat,
    SendOutcome,
    SendVerdict,
    SubmitReceived,
)
from petrelhall.distribution.distributor import ConnectionClosed, WatchReceived
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
from petrelhall.distribution.publisher import Publisher, SendUpdate
from petrelhall.distribution.timing import Timing


@dataclass(frozen=True, slots=True)
class ConsensusReceived:
    """A datagram of the consensus came from a replica."""

    replica: int
    content: bytes


@dataclass(frozen=True, slots=True)
class PersistContent:
    """The document was changed by these (None: replaced); write it down, so that a restart need not fetch the whole."""

    deltas: tuple[Delta, ...] | None


ReplicaEvent = (
    Tick
    | ConsensusReceived
    | WatchReceived
    | ConnectionClosed
    | ReportReceived
    | HeartbeatReceived
    | SubmitReceived
    | Connected
    | Disconnected
    | UpdateReceived
)
ReplicaAction = (
    SendConsensus
    | PersistVotes
    | PersistContent
    | SendUpdate
    | SendVerdict
    | SendHeartbeat
    | SendOutcome
    | Connect
    | Disconnect
    | SendWatch
    | Notified
    | Dropped
)
FOLLOWING_EVENTS = (Connected, Disconnected, UpdateReceived)
COORDINATOR_EVENTS = (ReportReceived, HeartbeatReceived, SubmitReceived)


class ControlReplica:
    """One control replica.

    Downstream ``WatchReceived`` and ``ConnectionClosed`` are answered by ``SendUpdate``; ``ReportReceived``,
    ``HeartbeatReceived`` and ``SubmitReceived`` go to the coordinator; ``ConsensusReceived`` and ``SendConsensus`` are
    datagrams, which may be lost. ``Connect``, ``Disconnect`` and ``SendWatch`` (with ``Connected``, ``Disconnected``,
    ``UpdateReceived``) are about another replica that is followed for missing content: ``distributor`` in ``Connect``
    is then the place among the *other* replicas, in the order of their numbers.
    """

    def __init__(
        self,
        number: int,
        replicas: int,
        incarnation: int,
        timing: Timing,
        seed: int,
        now: float,
        memory: VoterState | None = None,
        documents: tuple[bytes, ...] = (),
        document: Document | None = None,
    ) -> None:
        self.number, self.replicas, self.incarnation, self.timing, self.seed = (
            number,
            replicas,
            incarnation,
            timing,
            seed,
        )
        self.document = document or Document()
        self.consensus = RecordConsensus(number, replicas, incarnation, timing, seed, now, memory, documents)
        self.coordinator = Coordinator(number, replicas, timing, self.document, now)
        self.publisher = Publisher(timing, self.document)
        self.follower: Learner | None = None  # while content is missing
        self.links = 0  # of earlier followers, so that no name of a connection is used twice
        self.staged: Delta | None = None
        self.seen_slot = -1
        self.leased_at = now + timing.lease_ms  # when the consensus lease was last held; a start takes a while
        self.actions: list[ReplicaAction] = []

    def handle(self, now: float, event: ReplicaEvent) -> list[ReplicaAction]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if isinstance(event, Tick):
            self.actions += self.consensus.tick(now)
            self.actions += self.publisher.tick(now)
        elif isinstance(event, ConsensusReceived):
            self.actions += self.consensus.receive(now, event.replica, event.content)
        elif isinstance(event, WatchReceived):
            self.actions += self.publisher.watch(now, event.connection, event.watch)
        elif isinstance(event, ConnectionClosed):
            self.publisher.closed(event.connection)
        self.follow(now, event)
        self.take_record(now)
        if isinstance(event, COORDINATOR_EVENTS):
            self.coordinate(now, event)
        elif isinstance(event, Tick):
            self.coordinate(now, event)
            self.look_at_lease(now)
        return self.actions

    def coordinate(self, now: float, event: CoordinatorEvent) -> None:
        """Give the coordinator an event, and the consensus its proposals."""
        state = self.consensus.state()
        events: list[CoordinatorEvent] = [] if state is None else [state]
        for one in [*events, *self.consensus.take_failures(), event]:
            for action in self.coordinator.handle(now, one):
                if isinstance(action, Propose):
                    self.actions += self.consensus.propose(now, action.slot, action.record)
                else:
                    self.actions.append(action)

    # Content

    def take_record(self, now: float) -> None:
        """Take in the content of a record that is newly in force, and publish it."""
        consensus = self.consensus
        if consensus.slot == self.seen_slot:
            return
        self.seen_slot = consensus.slot
        self.take_content(consensus.record)
        self.publish(now)
        self.coordinate(now, Tick())

    def take_content(self, record: ControlRecord) -> None:
        """Apply the change that leads to the active version; without its base another replica is followed."""
        delta = record.delta
        try:
            if delta is not None and delta.target == record.active and delta.base == self.document.name:
                self.document.apply(delta)
                self.content_changed((delta,))
            self.staged = delta if record.staged is not None else None
        except ConfigurationError as error:
            self.actions.append(Notified(f"content of slot {self.seen_slot}: {error}"))

    def content_changed(self, deltas: tuple[Delta, ...] | None) -> None:
        """Keep changes for those who watch, and on disk."""
        self.publisher.applied(deltas)
        self.actions.append(PersistContent(deltas))

    def look_at_lease(self, now: float) -> None:
        """Tell those that watch where this replica has been without its consensus lease for long, or has one again."""
        state = self.consensus.state()
        if state is not None and now < state.lease_until:
            self.leased_at = max(self.leased_at, now)
        if self.publisher.detached != self.detached(now):
            self.publish(now)

    def detached(self, now: float) -> bool:
        """Tell whether this replica has heard of no majority for long."""
        return now - self.leased_at > self.timing.detached_ms

    def publish(self, now: float) -> None:
        """Tell those that watch what is active and staged, also where its content is missing here."""
        record = self.consensus.record
        self.actions += self.publisher.publish(
            now, record.term, record.coordinator, record.active, self.staged, self.detached(now)
        )

    def follow(self, now: float, event: ReplicaEvent) -> None:
        """Follow another replica while content is missing."""
        complete = self.document.name.number >= self.consensus.record.active.number
        follower = self.follower
        if complete:
            if follower is not None:
                self.actions.append(Disconnect(follower.link))
                self.links, self.follower = follower.link, None
            return
        if follower is None:
            follower = self.follower = self.new_follower(now)
        if isinstance(event, FOLLOWING_EVENTS):
            self.take_followed(now, follower, event)
        elif isinstance(event, Tick):
            self.take_followed(now, follower, event)

    def new_follower(self, now: float) -> Learner:
        """Begin to follow another replica."""
        follower = Learner(
            self.number,
            self.incarnation,
            self.timing,
            self.replicas - 1,
            NoChecks(),
            self.seed,
            now,
            wants_lease=False,
            document=self.document,
        )
        follower.link = self.links
        return follower

    def take_followed(self, now: float, follower: Learner, event: LearnerEvent) -> None:
        """Take content from another replica in."""
        for action in follower.handle(now, event):
            if isinstance(action, PutInForce):
                self.content_changed(action.deltas)
                self.publish(now)
            elif not isinstance(action, Staged):
                self.actions.append(action)

    def view(self, now: float) -> dict[str, Any]:
        """Give what operators want to see, as JSON's values."""
        return {**self.coordinator.view(now), "held": self.document.name.number, "watches": len(self.publisher.pending)}
