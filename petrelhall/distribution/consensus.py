"""The replicas' records decided by ``accord``: its members and voters are the replicas, its documents are records."""

from __future__ import annotations

import math
from dataclasses import dataclass, fields

import msgspec

from petrelhall.accord import core
from petrelhall.accord.documents import digest_of
from petrelhall.accord.plan import TimingParameters, derive_timing
from petrelhall.accord.votes import VoterState
from petrelhall.accord.words import FULL_LEASE
from petrelhall.configuration.records import FIRST_RECORD, ControlRecord, decode_record, encode_record
from petrelhall.distribution.coordinator import ConsensusState, ProposalFailed
from petrelhall.distribution.timing import CHECK_ROUNDS, MARGIN, REPLICA_ROUND_MS, Timing

MESSAGES_PER_S = 4000.0  # that replicas may send each other: few are sent, but none may wait for its turn
RETRY_MS = 30.0  # between two messages of one kind to a replica that has not answered: replicas are few


@dataclass(frozen=True, slots=True)
class SendConsensus:
    """Send a datagram of the consensus to a replica."""

    replica: int
    content: bytes


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Write this down, safely, before any of the actions that follow is carried out."""

    memory: VoterState
    documents: tuple[bytes, ...]


ConsensusAction = SendConsensus | PersistVotes


class ReplicaPace(TimingParameters):
    """The consensus' timing among few replicas."""

    @property
    def check_ms(self) -> float:
        """Give the time in which all replicas must have looked at a record, before it is proposed anew.

        A replica that dies meanwhile is asked until then; by then its lease has run out, and nobody asks it again.
        """
        return MARGIN * self.lease_duration_ms + CHECK_ROUNDS * REPLICA_ROUND_MS


def replica_pace(replicas: int, timing: Timing) -> ReplicaPace:
    """Give the consensus' timing for so many replicas."""
    lease_ms = timing.consensus_lease_ms
    found = derive_timing(replicas, replicas, MESSAGES_PER_S, 1.0, lease_ms, 0.0, REPLICA_ROUND_MS, strictest=False)
    known = {one.name: getattr(found, one.name) for one in fields(found)}
    return ReplicaPace(**{**known, "retry_ms": RETRY_MS, "acquire_interval_ms": RETRY_MS})


def check_record(content: bytes) -> str:
    """Say why a record cannot be used."""
    try:
        decode_record(content)
    except msgspec.DecodeError as error:
        return str(error)
    return ""


class RecordConsensus:
    """One replica's part in deciding records."""

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
    ) -> None:
        self.accord = core.ConsensusCore(
            number,
            incarnation,
            replica_pace(replicas, timing),
            encode_record(FIRST_RECORD),
            check_record,
            seed,
            now,
            memory,
            documents,
        )
        self.slot, self.record = -1, FIRST_RECORD
        self.proposals: dict[bytes, int] = {}  # by digest of the record: slot that it is to follow
        self.failures: list[ProposalFailed] = []

    def tick(self, now: float) -> list[ConsensusAction]:
        """Let time pass."""
        return self.carry_out(self.accord.handle(now, core.Tick()))

    def receive(self, now: float, replica: int, content: bytes) -> list[ConsensusAction]:
        """Take in a datagram."""
        return self.carry_out(self.accord.handle(now, core.MessageReceived(replica, content)))

    def propose(self, now: float, slot: int, record: ControlRecord) -> list[ConsensusAction]:
        """Propose a record for the slot after ``slot``."""
        content = encode_record(record)
        self.proposals[digest_of(content)] = slot
        return self.carry_out(self.accord.handle(now, core.Propose(content, slot)))

    def carry_out(self, actions: list[core.Action]) -> list[ConsensusAction]:
        """Take in what is in force, and give the actions that remain."""
        found: list[ConsensusAction] = []
        for action in actions:
            if isinstance(action, core.Send):
                found.append(SendConsensus(action.to, action.content))
            elif isinstance(action, core.PersistState):
                found.append(PersistVotes(action.state, action.documents))
            elif isinstance(action, core.Serve):
                self.slot, self.record = action.version, decode_record(action.document)
        self.collect_failures()
        return found

    def collect_failures(self) -> None:
        """Find the proposals that have ended without being decided."""
        if not self.proposals:
            return
        for change in self.accord.changes:
            slot = self.proposals.get(change.digest)
            if slot is None or change.slot != slot + 1 or not change.finished:
                continue
            del self.proposals[change.digest]
            if change.state == "nowhere":
                self.failures.append(ProposalFailed(slot, "; ".join(change.reasons.values())))

    def take_failures(self) -> list[ProposalFailed]:
        """Give the proposals that failed since this was last asked."""
        found, self.failures = self.failures, []
        return found

    def state(self) -> ConsensusState | None:
        """Give what is in force here and until when it is leased; None while nothing is known."""
        accord = self.accord
        if self.slot < 0:
            return None
        current = accord.has_decision and accord.last_decision.version == self.slot
        return ConsensusState(self.slot, self.record, accord.holder.expires_at[FULL_LEASE] if current else -math.inf)
