"""Start of a process: learns the decided version and, for a voter without stored state, what it may have voted on."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.events import Notice
from petrelhall.accord.votes import VoterState, merge_states

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore


class Recovery:
    """Queries the voters for their state until this gateway knows the decided version and may vote."""

    def __init__(self, core: ConsensusCore) -> None:
        self.core = core
        self.query: tuple[int, dict[int, words.State]] | None = None  # nonce, and the answers by voter
        self.queried = -math.inf
        # Incarnations of all voters, in the order of their numbers, if they started together without state.
        self.founding_incarnations: tuple[int, ...] = ()
        self.ignore_silent_from = math.inf  # from then on silent voters count as gone, on an operator's command

    def recover(self, now: float) -> None:
        """Learn the decided version; as a voter without state, also learn the votes, once the fence has passed.

        What a majority that included this gateway's earlier incarnation voted on is known to at least one of the
        voters with state, if answers come from all but one fewer than a majority of the voters.
        """
        core = self.core
        voter = core.voter
        learns = voter is not None and not voter.has_state and now >= voter.fence_until and core.may_vote
        if (core.has_decision and not learns) or now - self.queried < core.pace.retry_ms:
            return
        if learns and self.query is None:
            self.query = core.random.getrandbits(40) + 1, {}
        nonce, answers = self.query or (0, {})
        if learns:
            memory = self.memory_from(now, answers)
            if memory is not None:
                return self.start_voting(now, memory, answers)
        self.queried = now
        # Includes the voters that have answered: one that had no state may have recovered it since.
        for number in core.pace.voters - {core.number}:
            core.outbox.send(number, words.Query(core.incarnation, nonce))

    def memory_from(self, now: float, answers: dict[int, words.State]) -> VoterState | None:
        """Return the state that this voter takes over from the answers.

        None, with ``core.not_serving_reason`` set, if it is unknown.
        """
        core = self.core
        remembering = [state for state in answers.values() if state.remembers]
        empty = {number: state.digest for number, state in answers.items() if not state.remembers}
        missing = (core.pace.voters - {core.number} - set(answers)) if now < self.ignore_silent_from else set()
        if len(remembering) > len(core.pace.voters) - core.pace.majority or (
            remembering and not missing and now >= self.ignore_silent_from
        ):
            return merge_states([memory_of(state) for state in remembering])
        differ = sorted(number for number, digest in empty.items() if digest != core.file_digest)
        if not missing and not remembering and not differ:  # no voter has any state: all of them start together
            self.founding_incarnations = tuple(
                answers[number].incarnation if number in answers else core.incarnation * (number == core.number)
                for number in sorted(core.pace.voters)
            )
            return VoterState(0, core.file_digest)
        place = sorted(core.pace.voters).index(core.number)
        for state in remembering:  # a voter that started together with this very process, which has not voted since
            if state.founding_incarnations and state.founding_incarnations[place] == core.incarnation:
                self.founding_incarnations = state.founding_incarnations
                return VoterState(0, core.file_digest)
        core.not_serving_reason = (
            f"started without state, and the shared part of the file differs from that of {differ}"
            if differ and not remembering
            else f"started without state: {len(remembering)} voters that remember theirs have answered"
            + (f", no answer from {sorted(missing)}" if missing else "")
        )
        return None

    def start_voting(self, now: float, memory: VoterState, answers: dict[int, words.State]) -> None:
        """Take over the recovered state, and vote from now on."""
        core = self.core
        assert core.voter is not None
        core.voter.state, core.voter.has_state = memory, True
        core.voter.accepted_at = now
        self.query, self.ignore_silent_from, core.not_serving_reason = None, math.inf, ""
        source = next((number for number, state in answers.items() if state.digest == memory.digest), core.number)
        core.learn(now, memory.version, memory.digest, source)
        if core.last_decision.version > memory.version:
            core.voter.learn(core.last_decision.version, core.last_decision.digest)
        if memory.value:
            core.documents.seek(memory.value, source)
        core.persist()
        core.outbox.actions.append(Notice(f"voting from now on, version {core.last_decision.version}"))

    def on_query(self, now: float, sender: int, message: words.Query) -> None:
        """Answer a voter without state with this voter's state."""
        core = self.core
        voter = core.voter
        if voter is None:
            return
        memory = voter.state if voter.has_state else VoterState(0, core.file_digest)
        core.outbox.send(
            sender,
            words.State(
                core.incarnation,
                message.incarnation,
                message.nonce,
                voter.has_state,
                memory.version,
                memory.digest,
                memory.promised,
                memory.accepted,
                memory.value,
                self.founding_incarnations,
            ),
        )

    def on_state(self, now: float, sender: int, message: words.State) -> None:
        """Receive another voter's state; for this voter's own state only answers to queries after the fence count."""
        core = self.core
        if self.query is not None and message.nonce == self.query[0] and sender in core.pace.voters:
            self.query[1][sender] = message
            self.queried = -math.inf  # evaluate the answers at once: this may have been the last one missing
        if message.remembers:
            core.learn(now, message.version, message.digest, sender)


def memory_of(state: words.State) -> VoterState:
    """Return the voter's state that a message carries."""
    return VoterState(state.version, state.digest, state.promised, state.accepted, state.value)
