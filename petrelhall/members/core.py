"""The core of membership: events with the time handed in, actions as values.

What can be known: a dead gateway, a stopped one and one cut off look alike, and nobody can tell alone which side of a
cut it is on. The rule that is safe either way: silence makes a doubt; a doubt becomes a failure only where several
observers miss the member, a majority of all members hears each other both ways, and this process was not itself away.
A minority fails nobody. An incarnation that was replaced or that left never returns; one that only fell silent does.

That a member lives is told by its counter, which steps while it runs and which every gateway passes on as far as it
knows it: news of a dead one cannot arise, and a link that is cut hides nobody whom others still hear. That a link
works is told only by what comes over it.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from typing import Any

from petrelhall.events import Dropped, MessageReceived, Send, Superseded, Tick
from petrelhall.members import view, words
from petrelhall.members.boxes import code
from petrelhall.members.detector import Detector
from petrelhall.members.events import Action, Changed, Event, Leave, Sign
from petrelhall.members.member import Member, State
from petrelhall.members.news import LIVES, News
from petrelhall.members.plan import STALL_MS, Pace
from petrelhall.members.recipients import Recipients
from petrelhall.members.speaker import Speaker
from petrelhall.members.words import Word, newer

__all__ = [
    "Action",
    "Changed",
    "Dropped",
    "Event",
    "MessageReceived",
    "Leave",
    "Member",
    "Members",
    "Superseded",
    "Send",
    "Sign",
    "State",
    "Tick",
]

AHEAD = 4  # steps, beyond those that time allows, by which news may be ahead of what is known here


def never() -> bool:
    """Return False: where no process is ever replaced while it runs."""
    return False


class Members:
    """One gateway's view of all."""

    def __init__(self, number: int, life: int, pace: Pace, seed: int, now: float) -> None:
        self.number, self.life, self.pace, self.random = number, life & LIVES, pace, random.Random(seed)
        self.members = {other: Member(since=now) for other in range(pace.members) if other != number}
        self.started = self.turned = self.since = now
        self.counter = 0
        self.leaving = self.quiet = False
        # Tells whether a newer process of this member has started and will take over.
        self.has_successor: Callable[[], bool] = never
        self.away_ms, self.old_until = 0.0, float("-inf")  # the last absence; until when the view is old at least
        self.stalls = 0
        self.clashed = float("-inf")  # when another address last claimed this gateway's number
        self.side: frozenset[int] = frozenset((number,))
        self.table = bytearray(2 * pace.members)  # as messages tell it, two bytes a member
        self.known(number)
        self.bad: tuple[int, ...] = ()  # servers that this gateway's own attempts found bad
        self.accused: dict[int, tuple[float, tuple[int, ...]]] = {}  # by member: when, which
        self.actions: list[Action] = []
        self.recipients = Recipients(number, self.members, self.random)
        self.news = News(pace.members, self.members)
        self.detector = Detector(self, now)
        self.speaker = Speaker(self, now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if now - self.turned > STALL_MS:
            self.was_away(now, now - self.turned)
        self.turned = now
        if isinstance(event, MessageReceived):
            self.on_word(now, event.sender, event.content)
        elif isinstance(event, Sign):
            member = self.members.get(event.sender)
            if member is not None:
                member.heard = now
        elif isinstance(event, Leave):
            self.leaving = True
            self.speaker.say(now, None)
        elif isinstance(event, Superseded):
            self.quiet = True
        self.detector.turn(now)
        self.speaker.turn(now)
        return self.actions

    # Oneself

    def was_away(self, now: float, gap: float) -> None:
        """Having stood still, take what was not heard meanwhile for nothing said about the others."""
        self.stalls += 1
        self.away_ms = gap
        self.old_until = now + self.pace.doubt_ms
        self.detector.looked = self.detector.counted = now
        for member in self.members.values():
            member.fresh, member.heard, member.spoke = member.fresh + gap, member.heard + gap, member.spoke + gap
            member.misses = 0
        self.stand(now, frozenset((self.number,)))  # until it is looked at anew
        self.actions.append(Changed(self.number, "away", self.life, f"stood still for {gap:.0f} ms"))

    def old(self, now: float) -> bool:
        """Tell whether this gateway was away and may not have heard what the others know by now."""
        return now < self.old_until

    def trusted(self, now: float, member: Member | Members) -> bool:
        """Tell whether nobody else claims a member's number."""
        return now - member.clashed > self.pace.fail_ms

    # Judging

    def may_fail(self, now: float) -> bool:
        """Tell whether this gateway may call others failed: a majority of which it has fresh news is on its side.

        Rumours of those beyond a cut are on their ways for a spread: news as old as that makes no majority.
        """
        fresher = now - (self.pace.doubt_ms - self.pace.spread_ms)
        sure = 1 + sum(self.members[number].fresh > fresher for number in self.side if number != self.number)
        return self.majority(now) and sure >= self.pace.majority

    def stand(self, now: float, side: frozenset[int]) -> None:
        """Stand with these from now on."""
        if side != self.side:
            self.side, self.since = side, now

    def observers(self, now: float, number: int) -> int:
        """Count who misses a member: this gateway, and those of its side that said so lately and were not away."""
        bit = 1 << number
        found = 1
        for other in self.side:
            if other != self.number:
                member = self.members[other]
                found += bool(member.misses & bit) and not member.old and now - member.spoke <= self.pace.hear_ms
        return found

    def put(self, now: float, number: int, state: State, why: str) -> None:
        """Have a member in another state."""
        member = self.members[number]
        member.state, member.since = state, now
        self.known(number)
        if state == "left" or why == "new life":
            self.news.changed(number)
        self.actions.append(Changed(number, state, member.life, why))

    # Hearing

    def on_word(self, now: float, sender: int, content: bytes) -> None:
        """Take in a message."""
        member = self.members.get(sender)
        if member is None:
            return self.drop("foreign")
        message = words.decode(content)
        if message is None:
            return self.drop("spoilt")
        if message.of != self.pace.members:
            return self.drop("foreign")
        if message.number != sender:
            return self.clash(now, sender, message.number)
        if member.life and newer(member.life, message.life):
            self.news.again(sender)  # it may not know that it is replaced
            self.recipients.hurry(sender)
            return self.drop("dead_life")
        if message.life != member.life:
            self.begin(now, sender, message.life, message.counter)
        elif not newer(message.seq, member.seq):
            return self.drop("late")
        elif member.state == "left" and not message.flags & words.LEAVING:
            return self.drop("dead_life")
        member.seq, member.heard, member.spoke = message.seq, now, now
        member.old = bool(message.flags & words.OLD)
        mask = ((1 << words.SEGMENT) - 1) << message.segment if message.of > words.SEGMENT else -1
        member.hears = member.hears & ~mask | message.hears << message.segment
        member.misses = member.misses & ~mask | message.misses << message.segment
        if message.flags & words.LEAVING:
            if member.state != "left":
                self.put(now, sender, "left", "said so")
        else:
            member.counter, member.fresh = message.counter, now
            self.known(sender)
            self.back(now, sender, "heard")
        if member.misses >> self.number & 1:
            self.recipients.hurry(sender)  # a message of this gateway's own refutes its doubt
        self.on_table(now, sender, message)
        for entry in message.lives:
            self.on_life(now, *entry)
        self.accused[sender] = now, message.bad

    def on_table(self, now: float, sender: int, message: Word) -> None:
        """Take in how far the sender knows others to be: only for incarnations held here, and none long silent."""
        of, table, own = message.of, message.table, self.table
        number = message.start - 1
        for at in range(1, len(table), 2):
            number = number + 1 if number + 1 < of else 0
            ahead = table[at] - own[2 * number + 1] & 255
            if not ahead or number == sender or number == self.number:
                continue
            member = self.members[number]
            if table[at - 1] != member.life & 255:
                continue
            silence = now - member.fresh
            # A low byte that is behind looks far ahead: no counter steps faster than time goes by.
            if (
                ahead <= (silence + self.pace.found_ms) / self.pace.step_ms + AHEAD
                and member.state in ("here", "doubt")
                and silence < self.pace.fail_ms
            ):
                member.counter += ahead
                member.fresh = now
                own[2 * number + 1] = member.counter & 255
                if member.state == "doubt":
                    self.back(now, number, f"told by {sender}")

    def on_life(self, now: float, number: int, life: int, counter: int, held: int) -> None:
        """Take in what another knows of an incarnation: its whole counter can bring back one that failed."""
        if number == self.number:
            return self.on_own_life(life, held)
        member = self.members[number]
        if not member.life or newer(life, member.life):
            self.begin(now, number, life, counter, held)
        elif life == member.life and member.state != "left":
            if held == words.LEFT:
                self.put(now, number, "left", "told by others")
            elif held == words.HERE and newer(counter, member.counter):
                member.counter, member.fresh = counter, now
                self.known(number)
                self.back(now, number, "told by others")

    def on_own_life(self, life: int, held: int) -> None:
        """Take in what another knows of this gateway's own number, and claim a later incarnation where it is taken.

        An incarnation that is taken is that of a former process, whose clock was ahead, unless a newer process has
        started: then it is the newer one's.
        """
        is_taken = newer(life, self.life) or (life == self.life and held == words.LEFT and not self.leaving)
        if not is_taken or self.has_successor():
            return
        self.life = (life + 1) & LIVES
        self.speaker.seq = self.counter = 0
        self.known(self.number)
        self.actions.append(Changed(self.number, "here", self.life, "an older life of this number was later"))

    def begin(self, now: float, number: int, life: int, counter: int, held: int = words.HERE) -> None:
        """An incarnation begins for this gateway: all that was known of the one before is dead."""
        member = self.members[number]
        member.life, member.counter, member.seq, member.fresh = life, counter, 0, now
        member.hears, member.misses, member.begun = 0, 0, now
        member.heard = member.spoke = float("-inf")
        self.accused.pop(number, None)
        state: State = "left" if held == words.LEFT else "doubt" if held == words.MISSED else "here"
        self.put(now, number, state, "new life")

    def back(self, now: float, number: int, why: str) -> None:
        """A member is heard of again."""
        if self.members[number].state != "here":
            self.put(now, number, "here", why)

    def clash(self, now: float, sender: int, claimed: int) -> None:
        """Two gateways claim one number, or an address speaks for another's: neither is trusted for a while."""
        self.drop("clash")
        for number in {sender, claimed}:
            member = self.members.get(number, self)
            if self.trusted(now, member):
                state = "here" if isinstance(member, Members) else member.state
                self.actions.append(
                    Changed(number, state, member.life, f"not trusted: the address of {sender} claims number {claimed}")
                )
            member.clashed = now

    def drop(self, why: str) -> None:
        """Count a message that was not taken."""
        self.actions.append(Dropped(why))

    def known(self, number: int) -> None:
        """Keep what messages tell of a member: the low bytes of its incarnation and counter.

        Of one that is not here nothing is told: another incarnation's mark makes it nobody's.
        """
        member = self.members.get(number, self)
        stale = isinstance(member, Member) and member.state != "here"
        self.table[2 * number : 2 * number + 2] = bytes((member.life & 255 ^ 255 * stale, member.counter & 255))

    # What others may ask

    def majority(self, now: float) -> bool:
        """Tell whether this gateway hears more than half of all members both ways, and is not behind."""
        return len(self.side) >= self.pace.majority and not self.old(now)

    def accuse(self, boxes: Iterable[str]) -> None:
        """Have the next messages name the boxes that this gateway finds bad."""
        self.bad = tuple(itertools.islice(map(code, boxes), words.BAD_MOST))

    def accusers(self, now: float) -> dict[int, tuple[int, ...]]:
        """Give what members of this side said of boxes lately and at first hand; none that was away."""
        if self.old(now):
            return {}
        return {
            number: said
            for number, (at, said) in self.accused.items()
            if said and number in self.side and now - at <= self.pace.hear_ms and not self.members[number].old
        }

    def digest(self) -> str:
        """Give one text for who is there and in which incarnation: equal where two views are."""
        return view.digest(self)

    def view(self, now: float, names: dict[int, str]) -> dict[str, Any]:
        """Give all of it as JSON's values."""
        return view.view(self, now, names)
