"""A start: learning what is in force, and as a voter that started empty what it may have voted on before."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from petrelhall.accord import words
from petrelhall.accord.events import Told
from petrelhall.accord.votes import Memory, best

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord


class Recovery:
    """Asks the voters what they remember, until this gateway knows what is in force and may vote."""

    def __init__(self, core: Accord) -> None:
        self.core = core
        self.query: tuple[int, dict[int, words.State]] | None = None
        self.queried = -math.inf
        self.roots: tuple[int, ...] = ()  # incarnations of all voters, in their order, where they began together
        self.ignore_silent_from = (
            math.inf
        )  # from when on voters that are not heard count as gone, by an operator's order

    def recover(self, now: float) -> None:
        """Learn what is in force; as a voter, ask for all there is to be remembered, once nothing can be left.

        What a majority voted on, this gateway's earlier incarnation among them, at least one of the voters knows that
        remember, where all but one fewer than a majority do.
        """
        core = self.core
        voter = core.voter
        learns = voter is not None and not voter.remembers and now >= voter.fence and core.may_vote
        if (core.certain and not learns) or now - self.queried < core.pace.retry_ms:
            return
        if learns and self.query is None:
            self.query = core.random.getrandbits(40) + 1, {}
        nonce, answers = self.query or (0, {})
        if learns:
            memory = self.memory_from(now, answers)
            if memory is not None:
                return self.start_voting(now, memory, answers)
        self.queried = now
        # Also those that answered: one that was empty may remember by now.
        for number in core.pace.voters - {core.number}:
            core.outbox.send(number, words.Query(core.life, nonce))

    def memory_from(self, now: float, answers: dict[int, words.State]) -> Memory | None:
        """Give what this voter is to remember by what others answered; None, and why, while that is not known."""
        core = self.core
        remembering = [state for state in answers.values() if state.remembers]
        empty = {number: state.digest for number, state in answers.items() if not state.remembers}
        missing = (core.pace.voters - {core.number} - set(answers)) if now < self.ignore_silent_from else set()
        if len(remembering) > len(core.pace.voters) - core.pace.majority or (
            remembering and not missing and now >= self.ignore_silent_from
        ):
            return best([memory_of(state) for state in remembering])
        differ = sorted(number for number, digest in empty.items() if digest != core.file)
        if not missing and not remembering and not differ:  # nobody knows anything: all began together
            self.roots = tuple(
                answers[number].incarnation if number in answers else core.life * (number == core.number)
                for number in sorted(core.pace.voters)
            )
            return Memory(0, core.file)
        place = sorted(core.pace.voters).index(core.number)
        for state in remembering:  # who began with this very process, which has not voted on anything since
            if state.roots and state.roots[place] == core.life:
                self.roots = state.roots
                return Memory(0, core.file)
        core.trouble = (
            f"started empty, and the shared part of the file differs from that of {differ}"
            if differ and not remembering
            else f"started empty: {len(remembering)} voters that remember were heard"
            + (f", {sorted(missing)} are silent" if missing else "")
        )
        return None

    def start_voting(self, now: float, memory: Memory, answers: dict[int, words.State]) -> None:
        """Vote from now on."""
        core = self.core
        assert core.voter is not None
        core.voter.memory, core.voter.remembers = memory, True
        core.voter.accepted_at = now
        self.query, self.ignore_silent_from, core.trouble = None, math.inf, ""
        source = next((number for number, state in answers.items() if state.digest == memory.digest), core.number)
        core.learn(now, memory.version, memory.digest, source)
        if core.known.version > memory.version:
            core.voter.learn(core.known.version, core.known.digest)
        if memory.value:
            core.documents.seek(memory.value, source)
        core.keep()
        core.outbox.actions.append(Told(f"votes from now on, version {core.known.version}"))

    def on_query(self, now: float, sender: int, message: words.Query) -> None:
        """Tell one that starts empty what there is."""
        core = self.core
        voter = core.voter
        if voter is None:
            return
        memory = voter.memory if voter.remembers else Memory(0, core.file)
        core.outbox.send(
            sender,
            words.State(
                core.life,
                message.incarnation,
                message.nonce,
                voter.remembers,
                memory.version,
                memory.digest,
                memory.promised,
                memory.accepted,
                memory.value,
                self.roots,
            ),
        )

    def on_state(self, now: float, sender: int, message: words.State) -> None:
        """Hear what another voter remembers; only what was asked after the fence counts for one's own votes."""
        core = self.core
        if self.query is not None and message.nonce == self.query[0] and sender in core.pace.voters:
            self.query[1][sender] = message
            self.queried = -math.inf  # it may have been the last that was missing
        if message.remembers:
            core.learn(now, message.version, message.digest, sender)


def memory_of(state: words.State) -> Memory:
    """Give what a voter told of its memory."""
    return Memory(state.version, state.digest, state.promised, state.accepted, state.value)
