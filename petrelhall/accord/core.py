"""The core of agreement: events with the time handed in, actions as values. ``docs/design/accord.md`` has the argument.

What is in force is the last document of a row of decisions, one for each version, each made by a ballot of the voters
(single-decree Paxos). A gateway serves under a version only while it holds a lease on it that a majority granted; the
voters see to it that no two versions can be held at once (``votes``). A process that starts empty has forgotten its
promises: it does nothing until no lease and no ballot can be left in which its earlier life took part, and then learns
from a majority before it votes.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from petrelhall.accord import words
from petrelhall.accord.change import Ballot, Change, ballot_number
from petrelhall.accord.documents import MOST_BYTES, Documents, digest_of
from petrelhall.accord.lease import Holder
from petrelhall.accord.plan import Pace
from petrelhall.accord.votes import Memory, Voter, best
from petrelhall.accord.words import EITHER, FULL, NONE, AnyWord

TOOK_MS = 400.0  # after which others finish what was voted on and not decided, each a little later than the last
KEPT = 64  # decisions and ends of changes that are remembered
BEHIND = 8  # words that may go at once beyond the pace, for each voter
OTHERS = 0.3  # of the asks for a document go to any member
PIECES = 40  # waiting to be sent, at most
COPIES = 3.0  # of each piece of a document that may have to be sent to each member
GIVE_UP = 4.0  # ballots' times, after which a change that may have been decided counts as not known


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of agreement came from the address of member ``sender``."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Propose:
    """An operator wants a document in place of version ``base``."""

    content: bytes
    base: int


@dataclass(frozen=True, slots=True)
class Abort:
    """An operator takes back what has not been voted on."""

    digest: bytes


@dataclass(frozen=True, slots=True)
class Settle:
    """An operator wants the next slot closed, so that what may be in it has a known end."""


@dataclass(frozen=True, slots=True)
class Begin:
    """An operator's word that all voters not heard here are gone, and come back empty if they come back."""


@dataclass(frozen=True, slots=True)
class Quiet:
    """A newer process of this member speaks from now on."""


Event = Tick | Heard | Propose | Abort | Settle | Begin | Quiet


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Tell a member."""

    to: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Keep:
    """Write this down, safely, before any of the actions that follow: a voter's memory, and the documents it names."""

    memory: Memory
    documents: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class Serve:
    """What is served from now on, while the lease holds: a document, or the stricter of two in each field."""

    version: int
    document: bytes
    before: bytes | None


@dataclass(frozen=True, slots=True)
class Told:
    """Something that operators want to know."""

    what: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """A word was not taken or not sent; ``why`` is counted."""

    why: str


Action = Send | Keep | Serve | Told | Dropped


class Accord:
    """One gateway's part in agreeing."""

    def __init__(
        self,
        number: int,
        life: int,
        pace: Pace,
        document: bytes,
        check: Callable[[bytes], str],
        seed: int,
        now: float,
        memory: Memory | None = None,
        documents: tuple[bytes, ...] = (),
    ) -> None:
        self.number, self.life, self.pace, self.check = number, life, pace, check
        self.random = random.Random(seed)
        self.documents = Documents()
        for content in documents:
            self.documents.put(content)
        self.file = self.documents.put(document)  # what the file says: version 0 where nobody knows of a later one
        self.checked: dict[bytes, str] = {}  # by digest: why it cannot be served here, empty where it can
        self.voter = Voter(pace, memory, now) if number in pace.voters else None
        self.holder = Holder(pace)
        self.known = memory or Memory()  # the last decision known here
        self.certain = memory is not None  # whether anything is known
        self.history: deque[tuple[int, bytes]] = deque(maxlen=KEPT)  # the latest first
        self.serving: tuple[int, bytes, bytes | None] | None = None
        self.kind = FULL
        self.started = self.turned = now
        self.next_ask = now
        self.asked: dict[int, float] = {}  # by voter: when it was last asked for a lease
        self.pushed = -math.inf  # when the last decision was last told
        self.sought = -math.inf  # when documents were last asked for
        self.query: tuple[int, dict[int, words.State]] | None = None
        self.queried = -math.inf
        self.roots: tuple[int, ...] = ()  # lives of all voters, in their order, where they began together
        self.begin_at = math.inf  # from when on voters that are not heard count as gone, by an operator's word
        self.ballot: Ballot | None = None
        self.seen_ballot = 0
        self.changes: deque[Change] = deque(maxlen=KEPT)  # the latest last
        self.versions: dict[int, tuple[int, float]] = {}  # by member: the version that it last asked a lease on, when
        self.pieces: deque[tuple[int, words.Piece]] = deque()
        self.room, self.room_at = BEHIND * len(pace.voters) + 2.0 * pace.members, now
        self.quiet = False
        self.may_vote = True  # the shell says otherwise while votes could not be kept
        self.kept: Memory | None = memory
        self.trouble = ""  # why nothing is served, for operators
        self.actions: list[Action] = []
        if memory is not None:
            self.history.appendleft((memory.version, memory.digest))

    def take_over(self, now: float, memory: Memory | None, documents: tuple[bytes, ...]) -> None:
        """Vote from now on in place of an earlier process of this member, which votes and grants no more.

        What that one granted may hold for as long as after any start; what it has kept is all that it has voted.
        """
        self.may_vote = True
        if self.voter is None:
            return
        self.voter.fence, self.query = now + self.pace.fence_ms, None
        if memory is not None:
            for content in documents:
                self.documents.put(content)
            self.remembers(now, memory, {})

    # What the shell asks before every decision

    def allowed(self, now: float) -> bool:
        """Tell whether a request may be admitted now, under what is served."""
        return self.serving is not None and now < self.holder.until[self.kind]

    # Turns

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event; the time never goes back."""
        self.actions = []
        self.room = min(
            BEHIND * len(self.pace.voters) + 2.0 * self.pace.members,
            self.room + (now - self.room_at) * self.pace.out_per_s / 1000.0,
        )
        self.room_at = now
        if isinstance(event, Heard):
            self.on_word(now, event.sender, event.content)
        elif isinstance(event, Propose):
            self.propose(now, event)
        elif isinstance(event, Abort):
            for change in self.changes:
                if change.digest == event.digest and change.state == "checking":
                    self.end(now, change, "nowhere", {-1: "taken back"})
        elif isinstance(event, Settle):
            self.settle(now)
        elif isinstance(event, Begin):
            self.begin_at = now + self.pace.fence_ms  # who is there has answered by then
        elif isinstance(event, Quiet):
            self.quiet, self.ballot = True, None
        if not self.quiet:
            self.recover(now)
            self.work(now)
            self.lease(now)
            self.push(now)
        self.stand(now)
        return self.actions

    def say(self, to: int, word: AnyWord, reserve: float = 0.0) -> bool:
        """Send a word, within the pace; what does not go now is said again by whoever still needs it."""
        if to == self.number or self.quiet:
            return False
        if self.room < 1.0 + reserve:
            self.actions.append(Dropped("no_room"))
            return False
        self.room -= 1.0
        self.actions.append(Send(to, words.encode(word, self.pace.members, len(self.pace.voters))))
        return True

    def keep(self) -> None:
        """Have the voter's memory written down before anything that follows is said."""
        if self.voter is not None and not self.voter.remembers:
            return  # written down it would pass for all there is to be remembered
        memory = self.voter.memory if self.voter is not None else self.known
        if memory != self.kept and self.certain:
            self.kept = memory
            held = self.documents.held
            self.actions.append(
                Keep(memory, tuple(held[name] for name in (memory.digest, memory.value) if name in held))
            )

    # Learning

    def learn(self, now: float, version: int, digest: bytes, source: int) -> None:
        """Take a version for decided; what is served under an earlier one ends in this turn."""
        if not digest or (self.certain and version <= self.known.version):
            return
        self.certain = True
        self.known = Memory(version, digest)
        self.history.appendleft((version, digest))
        if self.voter is not None and self.voter.remembers:
            self.voter.learn(version, digest)
        self.holder.begin()  # with no lease nothing is let in, whatever was served
        self.next_ask = now
        self.pushed = -math.inf if source == self.number else now  # others tell what who decided it could not
        self.seek(now, digest, source)
        if self.ballot is not None and self.ballot.slot <= version:
            self.ballot = None
        self.seen_ballot = 0
        self.keep()
        self.actions.append(Told(f"version {version} {digest.hex()[:8]} is decided"))

    def seek(self, now: float, digest: bytes, source: int) -> None:
        """Have a document fetched, at once where it is not on its way yet."""
        if digest not in self.documents.held and digest not in self.documents.parts and source != self.number:
            self.sought = -math.inf
        self.documents.seek(digest, source)

    def remember(self, version: int, digest: bytes) -> None:
        """Take an earlier decision into the history."""
        if all(known != version for known, _ in self.history):
            self.history.append((version, digest))
            self.history = deque(sorted(self.history, reverse=True), maxlen=KEPT)

    def missing(self) -> int | None:
        """Give the latest decision that is not in the history, of as many as it holds."""
        known = {version for version, _ in self.history}
        return next(
            (
                version
                for version in range(self.known.version - 1, max(-1, self.known.version - KEPT), -1)
                if version not in known
            ),
            None,
        )

    def on_older(self, now: float, sender: int, word: words.Older) -> None:
        """Tell of earlier decisions."""
        found = [entry for entry in self.history if entry[0] <= word.version]
        if found:
            self.say(sender, words.Decided(self.life, tuple(found[: words.HISTORY])))

    def reason(self, digest: bytes) -> str:
        """Say why a document cannot be served here; it must be held."""
        found = self.checked.get(digest)
        if found is None:
            if len(self.checked) >= KEPT:
                self.checked.clear()
            found = self.checked[digest] = self.check(self.documents.held[digest])
        return found

    def recover(self, now: float) -> None:
        """Learn what is in force; as a voter, ask for all there is to be remembered, once nothing can be left.

        What a majority voted on, this gateway's earlier life among them, at least one of the voters knows that
        remember, where all but one fewer than a majority do.
        """
        voter = self.voter
        learns = voter is not None and not voter.remembers and now >= voter.fence and self.may_vote
        if (self.certain and not learns) or now - self.queried < self.pace.retry_ms:
            return
        if learns and self.query is None:
            self.query = self.random.getrandbits(40) + 1, {}
        nonce, answers = self.query or (0, {})
        others = self.pace.voters - {self.number}
        if learns:
            remembering = [state for state in answers.values() if state.remembers]
            empty = {number: state.digest for number, state in answers.items() if not state.remembers}
            missing = (others - set(answers)) if now < self.begin_at else set()
            if len(remembering) > len(self.pace.voters) - self.pace.majority or (
                remembering and not missing and now >= self.begin_at
            ):
                return self.remembers(now, best([memory_of(state) for state in remembering]), answers)
            differ = sorted(number for number, digest in empty.items() if digest != self.file)
            if not missing and not remembering and not differ:  # nobody knows anything: all began together
                self.roots = tuple(
                    answers[number].life if number in answers else self.life * (number == self.number)
                    for number in sorted(self.pace.voters)
                )
                return self.remembers(now, Memory(0, self.file), answers)
            place = sorted(self.pace.voters).index(self.number)
            for state in remembering:  # who began with this very process, which has not voted on anything since
                if state.roots and state.roots[place] == self.life:
                    self.roots = state.roots
                    return self.remembers(now, Memory(0, self.file), answers)
            self.trouble = (
                f"started empty, and the shared part of the file differs from that of {differ}"
                if differ and not remembering
                else f"started empty: {len(remembering)} voters that remember were heard"
                + (f", {sorted(missing)} are silent" if missing else "")
            )
        self.queried = now
        for number in others:  # also those that answered: one that was empty may remember by now
            self.say(number, words.Query(self.life, nonce))

    def remembers(self, now: float, memory: Memory, answers: dict[int, words.State]) -> None:
        """Vote from now on."""
        assert self.voter is not None
        self.voter.memory, self.voter.remembers = memory, True
        self.voter.accepted_at = now
        self.query, self.begin_at, self.trouble = None, math.inf, ""
        source = next((number for number, state in answers.items() if state.digest == memory.digest), self.number)
        self.learn(now, memory.version, memory.digest, source)
        if self.known.version > memory.version:
            self.voter.learn(self.known.version, self.known.digest)
        if memory.value:
            self.documents.seek(memory.value, source)
        self.keep()
        self.actions.append(Told(f"votes from now on, version {self.known.version}"))

    # Hearing

    def on_word(self, now: float, sender: int, content: bytes) -> None:
        """Take in a word."""
        word = words.decode(content, self.pace.members, len(self.pace.voters))
        if isinstance(word, str):
            self.actions.append(Dropped(word))
        elif getattr(word, "to", self.life) != self.life:
            self.actions.append(Dropped("other_life"))
        elif not self.quiet:
            getattr(self, "on_" + type(word).__name__.lower())(now, sender, word)

    def on_ask(self, now: float, sender: int, word: words.Ask) -> None:
        """Answer with a lease, or with what is decided."""
        self.learn(now, word.version, word.digest, sender)
        self.versions[sender] = word.version, now
        if self.voter is None:
            return
        kind = self.voter.grant(now, sender, word)
        if kind != NONE or sender not in self.voter.waiting:  # one that waits is answered once there is an answer
            self.answer(now, sender, word, kind)
        self.clear(now)

    def answer(self, now: float, to: int, ask: words.Ask, kind: int) -> None:
        """Tell an asker what it got."""
        assert self.voter is not None
        if to == self.number:
            self.holder.granted(to, ask.nonce, kind, float(ask.ms))
        elif self.certain:
            self.say(
                to,
                words.Grant(
                    self.life,
                    ask.life,
                    ask.nonce,
                    kind,
                    ask.ms,
                    self.known.version,
                    self.known.digest,
                    words.bitmap(self.voter.holders(now)),
                ),
            )

    def clear(self, now: float) -> None:
        """Grant to those that waited until this voter was clear of earlier versions."""
        assert self.voter is not None
        for member, ask in self.voter.cleared(now):
            self.answer(now, member, ask, self.voter.grant(now, member, ask))

    def on_grant(self, now: float, sender: int, word: words.Grant) -> None:
        """Take a lease in, or learn that another version is decided."""
        self.learn(now, word.version, word.digest, sender)
        if word.version == self.known.version and word.kind != NONE:
            if not self.holder.granted(sender, word.nonce, word.kind, float(word.ms)):
                self.actions.append(Dropped("late"))

    def on_decided(self, now: float, sender: int, word: words.Decided) -> None:
        """Learn of decisions."""
        for version, digest in word.history[:1]:
            self.learn(now, version, digest, sender)
        before = len(self.history)
        for version, digest in word.history:
            self.remember(version, digest)
        if len(self.history) > before and (missing := self.missing()) is not None:
            self.say(sender, words.Older(self.life, missing))
        if (
            self.certain
            and word.history[:1] == ((self.known.version, self.known.digest),)
            and sender in self.pace.voters
            and now - self.asked.get(sender, -math.inf) >= self.pace.retry_ms / 2.0
        ):
            self.ask(now, frozenset((sender,)))  # it waits to be told that what was before is given back

    def behind(self, now: float, sender: int, slot: int, before: bytes) -> bool:
        """Learn what a word on a slot implies; True where the slot is one that is decided here, which is told."""
        self.learn(now, slot - 1, before, sender)
        if self.certain and slot <= self.known.version:
            self.say(sender, words.Decided(self.life, tuple(self.history)[: words.HISTORY]))
            return True
        return not self.certain or slot != self.known.version + 1

    def voting(self, now: float, sender: int, slot: int, before: bytes) -> bool:
        """Tell whether this gateway votes on a slot now."""
        later = self.behind(now, sender, slot, before)
        return not later and self.voter is not None and self.voter.remembers

    def on_prepare(self, now: float, sender: int, word: words.Prepare) -> None:
        """Promise, or tell of a later ballot."""
        if not self.voting(now, sender, word.slot, word.before):
            return
        assert self.voter is not None
        self.seen_ballot = max(self.seen_ballot, word.ballot)
        if self.voter.promise(word.ballot):
            self.keep()
            memory = self.voter.memory
            self.say(sender, words.Promise(self.life, word.life, word.slot, word.ballot, memory.accepted, memory.value))
        else:
            self.say(sender, words.Nack(self.life, word.life, word.slot, self.voter.memory.promised))

    def on_accept(self, now: float, sender: int, word: words.Accept) -> None:
        """Vote, or tell of a later ballot."""
        if not self.voting(now, sender, word.slot, word.before):
            return
        assert self.voter is not None
        self.seen_ballot = max(self.seen_ballot, word.ballot)
        self.seek(now, word.digest, sender)
        if self.voter.accept(now, word.ballot, word.digest):
            self.keep()
            self.say(sender, words.Accepted(self.life, word.life, word.slot, word.ballot))
        else:
            self.say(sender, words.Nack(self.life, word.life, word.slot, self.voter.memory.promised))

    def on_promise(self, now: float, sender: int, word: words.Promise) -> None:
        """Count a promise."""
        ballot = self.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (word.slot, word.ballot)
            and sender in self.pace.voters
            and ballot.open(now, self.pace)
        ):
            self.promised(now, ballot, sender, word.accepted, word.digest)

    def promised(self, now: float, ballot: Ballot, voter: int, accepted: int, digest: bytes) -> None:
        """Go on to the vote once a majority has promised."""
        before = ballot.value
        ballot.promised(voter, accepted, digest, self.pace)
        if ballot.value and not before:
            ballot.asked = -math.inf
            if ballot.value not in self.documents.held:
                self.documents.seek(ballot.value, voter)
            for change in self.changes:
                if change.slot == ballot.slot and change.digest == ballot.value:
                    change.voted_on = True

    def on_accepted(self, now: float, sender: int, word: words.Accepted) -> None:
        """Count a vote."""
        ballot = self.ballot
        if (
            ballot is not None
            and (ballot.slot, ballot.number) == (word.slot, word.ballot)
            and sender in self.pace.voters
            and ballot.open(now, self.pace)
        ):
            self.voted(now, ballot, sender)

    def voted(self, now: float, ballot: Ballot, voter: int) -> None:
        """Decide with a majority."""
        if ballot.voted(voter, self.pace):
            self.documents.seek(ballot.value, next(iter(sorted(ballot.votes - {self.number})), voter))
            self.learn(now, ballot.slot, ballot.value, self.number)

    def on_nack(self, now: float, sender: int, word: words.Nack) -> None:
        """Hear of a later ballot: ours is over, and the next waits its turn."""
        self.seen_ballot = max(self.seen_ballot, word.ballot)
        ballot = self.ballot
        if ballot is not None and ballot.slot == word.slot and ballot.number < word.ballot:
            ballot.began = min(
                ballot.began, now - self.pace.ballot_ms + self.random.uniform(0.0, 2.0) * self.pace.retry_ms
            )

    def on_query(self, now: float, sender: int, word: words.Query) -> None:
        """Tell one that starts empty what there is."""
        voter = self.voter
        if voter is None:
            return
        memory = voter.memory if voter.remembers else Memory(0, self.file)
        self.say(
            sender,
            words.State(
                self.life,
                word.life,
                word.nonce,
                voter.remembers,
                memory.version,
                memory.digest,
                memory.promised,
                memory.accepted,
                memory.value,
                self.roots,
            ),
        )

    def on_state(self, now: float, sender: int, word: words.State) -> None:
        """Hear what another voter remembers; only what was asked after the fence counts for one's own votes."""
        if self.query is not None and word.nonce == self.query[0] and sender in self.pace.voters:
            self.query[1][sender] = word
            self.queried = -math.inf  # it may have been the last that was missing
        if word.remembers:
            self.learn(now, word.version, word.digest, sender)

    def on_check(self, now: float, sender: int, word: words.Check) -> None:
        """Look at a document that may come, and tell what this gateway's own checks say."""
        if self.behind(now, sender, word.slot, word.before):
            return
        if word.content and digest_of(word.content) == word.digest and word.digest not in self.documents.held:
            self.hold(word.content)
        self.seek(now, word.digest, sender)
        held = word.digest in self.documents.held
        reason = self.reason(word.digest) if held else ""
        votes = self.voter is not None and self.voter.remembers and now >= self.voter.fence
        holders = self.voter.holders(now) if self.voter is not None and votes else set()
        self.say(
            sender,
            words.Opinion(
                self.life,
                word.life,
                word.slot,
                word.digest,
                (2 if reason else 1) * held,
                short(reason),
                votes,
                words.bitmap(holders),
            ),
        )

    def on_opinion(self, now: float, sender: int, word: words.Opinion) -> None:
        """Hear what another gateway's checks say."""
        for change in self.changes:
            if change.state == "checking" and (change.slot, change.digest) == (word.slot, word.digest):
                self.opinion(now, change, sender, word.verdict, word.reason)
                if word.votes and sender in self.pace.voters:
                    change.holders[sender] = words.numbers(word.holders)

    def opinion(self, now: float, change: Change, member: int, verdict: int, reason: str) -> None:
        """Count an opinion; one gateway that could not serve it stops a change."""
        change.opinions[member] = verdict
        if verdict == 2:
            self.end(now, change, "nowhere", {member: reason})

    def on_want(self, now: float, sender: int, word: words.Want) -> None:
        """Queue pieces of a document."""
        for index, size, data in self.documents.pieces(word.digest, word.first, word.mask):
            if len(self.pieces) >= PIECES:
                break
            piece = words.Piece(self.life, word.digest, index, size, data)
            if (sender, piece) not in self.pieces:
                self.pieces.append((sender, piece))

    def on_piece(self, now: float, sender: int, word: words.Piece) -> None:
        """Take a piece in."""
        content = self.documents.piece(word.digest, word.index, word.size, word.data)
        if content is not None:
            self.hold(content)

    def hold(self, content: bytes) -> bytes:
        """Hold a document; those of the last versions and of open changes stay."""
        wanted = {digest for _, digest in list(self.history)[:4]} | {self.file, self.known.digest}
        wanted |= {change.digest for change in self.changes if not change.over}
        if self.voter is not None:
            wanted.add(self.voter.memory.value)
        digest = self.documents.put(content, frozenset(wanted))
        if self.voter is not None and self.voter.memory.value == digest:
            self.kept = None  # what was voted on can be written down now
            self.keep()
        return digest

    # Changes

    def propose(self, now: float, event: Propose) -> None:
        """Begin a change, or say at once why it cannot be."""
        digest = digest_of(event.content)
        change = Change(digest, event.base + 1, self.known.digest, now)
        for known in self.changes:  # the same document proposed again is the same change
            if (known.digest, known.slot) == (digest, change.slot) and (not known.over or known.state == "in force"):
                return
        self.changes.append(change)
        busy = [one for one in self.changes if one is not change and not one.over and one.slot == change.slot]
        reason = ""
        if len(event.content) > MOST_BYTES:
            reason = f"larger than {MOST_BYTES} bytes"
        elif not self.certain:
            reason = self.trouble or "this gateway does not know yet what is in force"
        elif event.base != self.known.version:
            reason = f"made for version {event.base}, decided is {self.known.version}"
        elif busy:
            reason = "another change is on its way here"
        if reason:
            return self.end(now, change, "nowhere", {-1: reason})
        self.hold(event.content)
        refused = self.reason(digest)
        self.opinion(now, change, self.number, 2 if refused else 1, refused)

    def settle(self, now: float) -> None:
        """Close the next slot, with what was voted on in it or with what is in force as it is."""
        if not self.certain or any(change.settles and not change.over for change in self.changes):
            return
        self.changes.append(
            Change(self.known.digest, self.known.version + 1, self.known.digest, now, "deciding", settles=True)
        )

    def end(self, now: float, change: Change, state: Any, reasons: dict[int, str] | None = None) -> None:
        """Have a change end."""
        if change.over:
            return
        change.end(now, state, reasons)
        why = "; ".join(f"{number}: {reason}" if number >= 0 else reason for number, reason in change.reasons.items())
        self.actions.append(
            Told(f"change {change.digest.hex()[:8]} for version {change.slot}: {state}" + (f" ({why})" if why else ""))
        )

    def work(self, now: float) -> None:
        """Go on with what is open: changes of this gateway's, and votes that nobody finished."""
        for change in self.changes:
            if not change.over:
                self.follow(now, change)
        ballot = self.ballot
        if ballot is not None and not ballot.open(now, self.pace):
            ballot = self.ballot = None
        if ballot is None:
            own = next(
                (
                    change.digest
                    for change in self.changes
                    if change.state == "deciding" and change.slot == self.known.version + 1
                ),
                None,
            )
            if own is not None or self.unfinished(now):
                ballot = self.ballot = self.begin(now, own or self.known.digest)
        if ballot is not None and now - ballot.asked >= self.pace.retry_ms:
            self.canvass(now, ballot)
        if self.voter is not None:
            self.clear(now)

    def unfinished(self, now: float) -> bool:
        """Tell whether this voter has voted on what is not decided, and nobody seems to go on with it."""
        voter = self.voter
        if voter is None or not voter.remembers or not voter.memory.accepted:
            return False
        place = sorted(self.pace.voters).index(self.number)
        return now - voter.accepted_at >= TOOK_MS + 2.0 * place * self.pace.retry_ms + self.pace.ballot_ms / 2.0

    def begin(self, now: float, own: bytes) -> Ballot:
        """Begin a ballot, later than any that was heard of."""
        promised = self.voter.memory.promised if self.voter is not None else 0
        self.seen_ballot = ballot_number(max(self.seen_ballot, promised), self.number, self.life)
        return Ballot(self.known.version + 1, self.seen_ballot, now, own)

    def canvass(self, now: float, ballot: Ballot) -> None:
        """Ask the voters that have not answered, oneself among them."""
        ballot.asked = now
        voter, before = self.voter, self.known.digest
        if voter is not None and voter.remembers and not ballot.value and self.number not in ballot.promises:
            if voter.promise(ballot.number):
                self.keep()
                self.promised(now, ballot, self.number, voter.memory.accepted, voter.memory.value)
        if not ballot.value:
            for number in self.pace.voters - set(ballot.promises):
                self.say(number, words.Prepare(self.life, ballot.slot, ballot.number, before))
            return
        if voter is not None and voter.remembers and self.number not in ballot.votes:
            if voter.accept(now, ballot.number, ballot.value):
                self.keep()
                self.voted(now, ballot, self.number)
        for number in self.pace.voters - ballot.votes:
            if self.ballot is ballot:  # else decided by our own vote
                self.say(number, words.Accept(self.life, ballot.slot, ballot.number, ballot.value, before))

    def follow(self, now: float, change: Change) -> None:
        """Take one change a step further."""
        if self.known.version >= change.slot:
            return self.outcome(now, change)
        if change.state == "checking":
            if self.voter is not None and self.voter.remembers and now >= self.voter.fence:
                change.holders[self.number] = self.voter.holders(now)
            needed = change.needed(self.pace)
            if needed is not None and all(change.opinions.get(number) == 1 for number in needed):
                change.state = "deciding"
                return
            if now - change.began > self.patience(change):
                silent = sorted((needed or set(self.pace.voters)) - set(change.opinions))
                behind = sorted(number for number, verdict in change.opinions.items() if not verdict)
                return self.end(
                    now,
                    change,
                    "nowhere",
                    {-1: (f"no answer from {silent}" if silent else f"{behind} have not got the whole of it")},
                )
            if now - change.asked >= 1.5 * self.pace.retry_ms:
                change.asked = now
                content = self.documents.held.get(change.digest, b"")
                word = words.Check(
                    self.life, change.slot, change.digest, change.before, content if len(content) <= words.DATA else b""
                )
                others = [number for number in range(self.pace.members) if number != self.number]
                voters = [number for number in others if number in self.pace.voters]
                rest = [
                    number for number in others if number not in self.pace.voters and not change.opinions.get(number)
                ]
                self.random.shuffle(rest)
                for number in voters + rest:
                    if not self.say(number, word, 2.0 * len(self.pace.voters)):
                        break
        elif change.state == "deciding" and now - change.began > self.patience(change) + GIVE_UP * self.pace.ballot_ms:
            if change.voted_on or change.settles:
                change.end(now, "not known")
                self.ballot = None
            else:
                self.end(now, change, "nowhere", {-1: "no majority of the voters answered"})

    def patience(self, change: Change) -> float:
        """Give the time in which all must have looked at a change: a long document takes its time to come."""
        pieces = len(self.documents.held.get(change.digest, b"")) / words.DATA
        return self.pace.check_ms + COPIES * 1000.0 * pieces * self.pace.members / self.pace.words_per_s

    def outcome(self, now: float, change: Change) -> None:
        """Tell a change's end from what was decided in its slot."""
        decided = dict(self.history).get(change.slot)
        if decided is None:
            change.state = "not known"
        elif decided != change.digest:
            self.end(now, change, "nowhere", {-1: f"version {change.slot} was decided to be another"})
        elif self.known.version > change.slot or (self.serving is not None and self.kind == FULL and self.allowed(now)):
            self.end(now, change, "in force")
        elif change.state != "decided":
            change.end(now, "decided")

    # Leases

    def lease(self, now: float) -> None:
        """Ask for a lease on what is decided, again and again."""
        if self.certain and now >= self.next_ask:
            self.ask(now, self.pace.voters)
            missing = self.missing()
            if missing is not None:
                self.say(self.random.choice(sorted(self.pace.voters)), words.Older(self.life, missing))
            holds = self.holder.until[FULL] > now
            self.next_ask = now + (self.pace.ask_ms if holds else self.pace.again_ms)

    def ask(self, now: float, voters: frozenset[int]) -> None:
        """Ask for a lease, where the document is held and can be served here; else give back what was before."""
        digest = self.known.digest
        held = digest in self.documents.held
        reason = self.reason(digest) if held else ""
        if held:
            self.trouble = f"version {self.known.version} cannot be served here: {reason}" if reason else ""
        ask = words.Ask(
            self.life,
            self.holder.ask(now),
            self.known.version,
            digest,
            int(self.pace.life_ms),
            held and not reason,
            self.before() is not None,
        )
        self.versions[self.number] = self.known.version, now
        for number in sorted(voters):
            self.asked[number] = now
            self.say(number, ask)
        if self.voter is not None and self.number in voters:
            kind = self.voter.grant(now, self.number, ask)
            if kind != NONE:
                self.holder.granted(self.number, ask.nonce, kind, float(ask.ms))
            self.clear(now)

    def before(self) -> bytes | None:
        """Give the digest of the version before the decided one, where its document is held and can be served."""
        digest = dict(self.history).get(self.known.version - 1)
        return digest if digest in self.documents.held and not self.reason(digest) else None

    def stand(self, now: float) -> None:
        """Serve what the lease is on."""
        digest = self.known.digest
        if not self.certain or digest not in self.documents.held:
            return
        full = self.holder.until[FULL] > now
        before = None if full else self.before()
        if not full and (before is None or self.holder.until[EITHER] <= now):
            return
        self.kind = FULL if full else EITHER
        wanted = self.known.version, digest, before
        if wanted != self.serving:
            self.serving = wanted
            held = self.documents.held
            self.actions.append(Serve(self.known.version, held[digest], held[before] if before else None))
            for change in self.changes:
                if not change.over and change.slot <= self.known.version:
                    self.outcome(now, change)

    # Telling

    def push(self, now: float) -> None:
        """Tell of a decision until all were heard to know it, ask for documents, and send pieces of them."""
        if self.certain and self.known.version and now - self.pushed >= self.pace.retry_ms:
            late = self.voter.earlier(now) if self.voter is not None else set()
            if self.pushed == -math.inf:  # who decided it tells all, once
                late = set(range(self.pace.members))
            self.pushed = now
            word = words.Decided(self.life, tuple(self.history)[: words.HISTORY])
            for number in self.random.sample(sorted(late), len(late)):
                self.say(number, word, float(len(self.pace.voters)))
        if self.documents.parts and now - self.sought >= self.pace.retry_ms:
            self.sought = now
            for source, digest, missing, mask in self.documents.wants():
                if self.random.random() < OTHERS:  # whoever named it may be gone
                    source = self.random.randrange(self.pace.members)
                self.say(source, words.Want(self.life, digest, missing, mask))
        while self.pieces and self.room >= 2.0 + len(self.pace.voters):
            to, piece = self.pieces.popleft()
            self.say(to, piece)

    def owed(self, now: float) -> list[int]:
        """Give the members that are not known to have the decided version, as far as this gateway hears."""
        return [
            number
            for number in range(self.pace.members)
            if self.versions.get(number, (-1, 0.0))[0] < self.known.version
            or now - self.versions[number][1] > 2.0 * self.pace.life_ms
        ]

    def view(self, now: float) -> dict[str, Any]:
        """Give all of it as JSON's values."""
        state = "unsure"
        if self.allowed(now):
            state = "serving" if self.kind == FULL else "strictest"
        memory = self.voter.memory if self.voter is not None and self.voter.remembers else None
        pending = [
            {"digest": change.digest.hex(), "version": change.slot, "state": change.state}
            for change in self.changes
            if not change.over
        ]
        if memory is not None and memory.accepted and not pending:
            pending.append({"digest": memory.value.hex(), "version": memory.version + 1, "state": "voted on"})
        return {
            "self": self.number,
            "life": self.life,
            "version": self.known.version if self.certain else None,
            "digest": self.known.digest.hex(),
            "state": state,
            "why": self.trouble,
            "lease_ms": round(max(0.0, self.holder.until[self.kind] - now)) if self.allowed(now) else 0,
            "votes": memory is not None,
            "pending": pending,
            "owed": self.owed(now) if self.certain else [],
            "members": [
                {
                    "number": number,
                    "votes": number in self.pace.voters,
                    "version": version,
                    "asked_ms_ago": round(now - at),
                }
                for number, (version, at) in sorted(self.versions.items())
            ],
            "history": [{"version": version, "digest": digest.hex()} for version, digest in self.history],
            "changes": [
                {
                    "digest": change.digest.hex(),
                    "version": change.slot,
                    "state": change.state,
                    "settles": change.settles,
                    "took_ms": round((change.ended or now) - change.began),
                    "reasons": {str(number): reason for number, reason in change.reasons.items()},
                }
                for change in self.changes
            ],
            "pace": {
                "life_ms": round(self.pace.life_ms),
                "ask_ms": round(self.pace.ask_ms),
                "fence_ms": round(self.pace.fence_ms),
                "voters": sorted(self.pace.voters),
            },
        }


def memory_of(state: words.State) -> Memory:
    """Give what a voter told of its memory."""
    return Memory(state.version, state.digest, state.promised, state.accepted, state.value)


def short(reason: str) -> str:
    """Give as much of a reason as a word holds."""
    return reason.encode()[: words.REASON].decode(errors="ignore")
