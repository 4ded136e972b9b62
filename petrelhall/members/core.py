"""The core of membership: events with the time handed in, actions as values.

What can be known: a dead gateway, a stopped one and one cut off look alike, and nobody can tell alone which side of a
cut it is on. The rule that is safe either way: silence makes a doubt; a doubt becomes a failure only where several
observers miss the member, a majority of all members hears each other both ways, and this process was not itself away.
A minority fails nobody. A life that was replaced or that left never returns; one that only fell silent does.

That a member lives is told by its counter, which steps while it runs and which every gateway passes on as far as it
knows it: news of a dead one cannot arise, and a link that is cut hides nobody whom others still hear. That a link
works is told only by what comes over it.
"""

from __future__ import annotations

import itertools
import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Literal

from petrelhall.members import words
from petrelhall.members.boxes import code
from petrelhall.members.plan import STALL_MS, Pace
from petrelhall.members.words import Word, newer

State = Literal["unknown", "here", "doubt", "failed", "left"]
SAID = {"here": words.HERE, "doubt": words.MISSED, "failed": words.MISSED, "left": words.LEFT}
AHEAD = 4  # steps, beyond those that time allows, by which news may be ahead of what is known here
SEEK = 4  # words of which one goes to a member that is not here
LIVES = 0xFFFFFFFF


# Events


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of membership came from the address of member ``sender``."""

    sender: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Sign:
    """Anything else came from there: the link works."""

    sender: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Told to end."""


@dataclass(frozen=True, slots=True)
class Quiet:
    """A newer process of this member speaks from now on."""


Event = Tick | Heard | Sign | Leave | Quiet


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Tell member ``to``, or all where it is None."""

    to: int | None
    content: bytes


@dataclass(frozen=True, slots=True)
class Changed:
    """A member's state or life has changed here, or this process found that it was away (``number`` its own)."""

    number: int
    state: str
    life: int
    why: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """A word was not taken; ``why`` is counted."""

    why: str


Action = Send | Changed | Dropped


@dataclass(slots=True)
class Member:
    """What this gateway knows of another."""

    state: State = "unknown"
    life: int = 0
    since: float = 0.0  # of the state
    begun: float = float("-inf")  # when its life was first heard of
    counter: int = 0
    fresh: float = float("-inf")  # when its counter last stepped, by whoever told
    heard: float = float("-inf")  # when anything last came from it
    seq: int = 0
    spoke: float = float("-inf")  # when its last word was taken
    hears: int = 0  # bitmaps as it last told them
    misses: int = 0
    old: bool = False  # it said that its view was old
    clashed: float = float("-inf")  # when its number was last claimed in two places


class Members:
    """One gateway's view of all."""

    def __init__(self, number: int, life: int, pace: Pace, seed: int, now: float) -> None:
        self.number, self.life, self.pace, self.random = number, life & LIVES, pace, random.Random(seed)
        self.members = {other: Member(since=now) for other in range(pace.members) if other != number}
        self.started = self.looked = self.turned = self.since = now
        self.counter = self.seq = 0
        self.counted = now  # when the counter last stepped
        self.next_word = now + self.random.random() * pace.word_ms  # gateways that start together are not in step
        self.round: list[int] = []  # members that are here and still to be told in this round, next last
        self.seek: list[int] = []  # and such that are not
        self.told = 0
        self.urgent: list[int] = []  # told first: who doubts this gateway, or tells of a dead life
        self.news: dict[int, int] = {}  # members whose life or leaving is news, with the words left to tell it
        self.lives_at = self.segment = 0
        self.leaving = self.quiet = False
        self.away_ms, self.old_until = 0.0, float("-inf")  # the last absence; until when the view is old at least
        self.stalls = 0
        self.clashed = float("-inf")  # when another address last claimed this gateway's number
        self.side: frozenset[int] = frozenset((number,))
        self.hears = self.misses = 0  # bitmaps, as of the last look
        self.table = bytearray(2 * pace.members)  # as words tell it, two bytes a member
        self.known(number)
        self.bad: tuple[int, ...] = ()  # boxes that this gateway's own attempts found bad
        self.accused: dict[int, tuple[float, tuple[int, ...]]] = {}  # by member: when, which
        self.actions: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event; the time never goes back."""
        self.actions = []
        if now - self.turned > STALL_MS:
            self.was_away(now, now - self.turned)
        self.turned = now
        if isinstance(event, Heard):
            self.on_word(now, event.sender, event.content)
        elif isinstance(event, Sign):
            member = self.members.get(event.sender)
            if member is not None:
                member.heard = now
        elif isinstance(event, Leave):
            self.leaving = True
            self.say(now, None)
        elif isinstance(event, Quiet):
            self.quiet = True
        if now - self.looked >= self.pace.look_ms:
            self.looked = now
            self.look(now)
        if now >= self.next_word and not self.quiet:
            self.next_word = max(self.next_word + self.pace.word_ms, now)
            self.say(now, self.whom())
        return self.actions

    # Oneself

    def was_away(self, now: float, gap: float) -> None:
        """Having stood still, take what was not heard meanwhile for nothing said about the others."""
        self.stalls += 1
        self.away_ms = gap
        self.old_until = now + self.pace.doubt_ms
        self.looked = self.counted = now
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

    # Looking

    def look(self, now: float) -> None:
        """Step the counter, judge every silence, and see whom this gateway hears both ways."""
        steps = int((now - self.counted) / self.pace.step_ms)
        if steps:
            self.counter += steps
            self.counted += steps * self.pace.step_ms
            self.known(self.number)
        self.stand(now, self.two_way(now))
        able = self.may_fail(now)
        missed, doubted = 0, now - self.pace.doubt_ms
        for number, member in self.members.items():
            if member.fresh > doubted or member.state not in ("here", "doubt"):
                if member.state == "failed" or member.state == "doubt":  # doubted by hearsay: not heard here either
                    missed |= 1 << number
                continue
            silence = now - member.fresh
            missed |= 1 << number
            if member.state == "here":
                self.put(now, number, "doubt", f"silent for {silence:.0f} ms")
            elif able and silence >= self.pace.fail_ms:
                witnesses = self.observers(now, number)
                if witnesses >= self.pace.observers:
                    self.put(
                        now, number, "failed", f"silent for {silence:.0f} ms, missed by {witnesses} of {len(self.side)}"
                    )
        self.misses = missed

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

    def two_way(self, now: float) -> frozenset[int]:
        """Give the members that this gateway hears both ways, itself among them.

        A link that had no time to be measured (a start, or many members) counts where its member is fresh and enough
        other links are proven both ways; one that had its time and brought nothing, or nothing back, does not.
        """
        since, bit = now - self.pace.hear_ms, 1 << self.number
        new, fresh, clashed = self.started >= since, now - self.pace.doubt_ms, now - self.pace.fail_ms
        proven, likely, hears = [self.number], [], 0
        for number, member in self.members.items():
            if member.heard >= since:
                hears |= 1 << number
            if member.fresh <= fresh or member.state not in ("here", "doubt") or member.clashed >= clashed:
                continue
            proof = member.spoke >= since and member.hears & bit
            if member.heard >= since and proof:
                proven.append(number)
            elif new and not proof:
                likely.append(number)
        self.hears = hears
        enough = len(proven) >= min(self.pace.observers, self.pace.members)
        return frozenset(proven + likely if enough else proven)

    def put(self, now: float, number: int, state: State, why: str) -> None:
        """Have a member in another state."""
        member = self.members[number]
        member.state, member.since = state, now
        self.known(number)
        if state == "left" or why == "new life":
            self.news[number] = 3 + 2 * self.pace.members.bit_length()
        self.actions.append(Changed(number, state, member.life, why))

    # Hearing

    def on_word(self, now: float, sender: int, content: bytes) -> None:
        """Take in a word."""
        member = self.members.get(sender)
        if member is None:
            return self.drop("foreign")
        word = words.decode(content)
        if word is None:
            return self.drop("spoilt")
        if word.of != self.pace.members:
            return self.drop("foreign")
        if word.number != sender:
            return self.clash(now, sender, word.number)
        if member.life and newer(member.life, word.life):
            self.news[sender] = max(self.news.get(sender, 0), 3)  # it may not know that it is replaced
            self.hurry(sender)
            return self.drop("dead_life")
        if word.life != member.life:
            self.begin(now, sender, word.life, word.counter)
        elif not newer(word.seq, member.seq):
            return self.drop("late")
        elif member.state == "left" and not word.flags & words.LEAVING:
            return self.drop("dead_life")
        member.seq, member.heard, member.spoke = word.seq, now, now
        member.old = bool(word.flags & words.OLD)
        mask = ((1 << words.SEGMENT) - 1) << word.segment if word.of > words.SEGMENT else -1
        member.hears = member.hears & ~mask | word.hears << word.segment
        member.misses = member.misses & ~mask | word.misses << word.segment
        if word.flags & words.LEAVING:
            if member.state != "left":
                self.put(now, sender, "left", "said so")
        else:
            member.counter, member.fresh = word.counter, now
            self.known(sender)
            self.back(now, sender, "heard")
        if member.misses >> self.number & 1:
            self.hurry(sender)  # a word of this gateway's own refutes its doubt
        self.on_table(now, sender, word)
        for entry in word.lives:
            self.on_life(now, *entry)
        self.accused[sender] = now, word.bad

    def on_table(self, now: float, sender: int, word: Word) -> None:
        """Take in how far the sender knows others to be: only for lives held here, and none long silent."""
        of, table, own = word.of, word.table, self.table
        number = word.start - 1
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
        """Take in what another knows of a life: with the whole counter, which can bring back one that failed."""
        if number == self.number:
            if newer(life, self.life) or (life == self.life and held == words.LEFT and not self.leaving):
                self.life, self.seq, self.counter = (life + 1) & LIVES, 0, 0  # a clock went back between two starts
                self.known(self.number)
                self.actions.append(Changed(number, "here", self.life, "an older life of this number was later"))
            return
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

    def begin(self, now: float, number: int, life: int, counter: int, held: int = words.HERE) -> None:
        """A life begins for this gateway: all that was known of the one before is dead."""
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
        """Count a word that was not taken."""
        self.actions.append(Dropped(why))

    def known(self, number: int) -> None:
        """Keep what words tell of a member: the low bytes of its life and counter.

        Of one that is not here nothing is told: another life's mark makes it nobody's.
        """
        member = self.members.get(number, self)
        stale = isinstance(member, Member) and member.state != "here"
        self.table[2 * number : 2 * number + 2] = bytes((member.life & 255 ^ 255 * stale, member.counter & 255))

    # Speaking

    def hurry(self, number: int) -> None:
        """Have a member told before others; within the same pace."""
        if number not in self.urgent:
            self.urgent.append(number)

    def whom(self) -> int:
        """Give the next to be told: those that are here once a round, in an order that is new each time.

        One word in ``SEEK`` goes to one that is not: words to the dead are lost to the living, and where more than
        half are gone that would be most of them; but a cut that has healed is found by nothing else.
        """
        self.told += 1
        if self.urgent and self.told % 2:  # the others' turn comes all the same
            number = self.urgent.pop(0)
            if number in self.round:
                self.round.remove(number)
            return number
        for silent in (self.told % SEEK == 0, self.told % SEEK != 0):
            waiting = self.seek if silent else self.round
            while waiting:
                number = waiting.pop()
                if (self.members[number].state != "here") == silent:
                    return number
            waiting += [number for number, member in self.members.items() if (member.state != "here") == silent]
            if waiting:
                self.random.shuffle(waiting)
                return waiting.pop()
        return self.number  # unreached: some member is here or is not

    def say(self, now: float, to: int | None) -> None:
        """Send a word."""
        if not self.members:
            return
        of = self.pace.members
        self.seq += 1
        segment = 0
        if of > words.SEGMENT:
            segment, self.segment = self.segment, self.segment + words.SEGMENT
            self.segment = self.segment if self.segment < of else 0
        mask = (1 << words.SEGMENT) - 1
        hears, misses = self.hears >> segment & mask, self.misses >> segment & mask
        bad = self.bad[: words.BAD_MOST]
        free = words.room(of) - 4 * len(bad)
        # Who was away knows of nobody how far he is by now: what waited for it meanwhile is not news.
        # Who has just started knows nobody's life, and can take nothing else in.
        young = to is not None and now - self.members[to].begun < self.pace.doubt_ms
        held = 0 if self.old(now) or young else min(of, (free - words.OTHERS) // 2)
        start = self.random.randrange(of) if held < of else 0
        row, over = bytes(self.table), 2 * (start + held)
        table = row[2 * start : over] + (row[: over - len(row)] if over > len(row) else b"")
        flags = words.LEAVING * self.leaving + words.OLD * self.old(now)
        lives = self.lives((free - len(table)) // words.LIFE.size, young)
        self.actions.append(
            Send(
                to,
                words.encode(
                    Word(
                        self.number,
                        self.life,
                        self.seq,
                        self.counter,
                        of,
                        flags,
                        segment,
                        hears,
                        misses,
                        start,
                        table,
                        lives,
                        bad,
                    )
                ),
            )
        )

    def lives(self, most: int, young: bool) -> tuple[tuple[int, int, int, int], ...]:
        """Give lives to tell of: news first, then some in turn; to one that is ``young`` all that there is room for."""
        told = []
        for number in list(self.news)[:most]:
            self.news[number] -= 1
            if not self.news[number]:
                del self.news[number]
            told.append(number)
        known = self.pace.members
        for _ in range(min(known, most - len(told), known if young else words.LIVES_KEPT)):
            self.lives_at = (self.lives_at + 1) % known
            member = self.members.get(self.lives_at)
            if member is not None and member.life and self.lives_at not in told:
                told.append(self.lives_at)
        found = []
        for number in told:
            member = self.members[number]
            found.append((number, member.life, member.counter & LIVES, SAID[member.state]))
        return tuple(found)

    # What others may ask

    def majority(self, now: float) -> bool:
        """Tell whether this gateway hears more than half of all members both ways, and is not behind."""
        return len(self.side) >= self.pace.majority and not self.old(now)

    def accuse(self, boxes: Iterable[str]) -> None:
        """Have the next words name the boxes that this gateway finds bad."""
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
        """Give one text for who is there and in which life: equal where two views are."""
        known = {number: (member.state, member.life) for number, member in self.members.items()}
        known[self.number] = ("left" if self.leaving else "here", self.life)
        return f"{zlib.crc32(repr(sorted(known.items())).encode()):08x}"

    def view(self, now: float, names: dict[int, str]) -> dict[str, Any]:
        """Give all of it as JSON's values."""
        bit = 1 << self.number
        own = [number for number, member in self.members.items() if now - member.heard <= self.pace.hear_ms]
        rows = []
        for number in range(self.pace.members):
            if number == self.number:
                rows.append(
                    {
                        "name": names.get(number, str(number)),
                        "number": number,
                        "life": self.life,
                        "state": "left" if self.leaving else "here",
                        "since_ms": round(self.started),
                        "hears": own,
                        "trusted": self.trusted(now, self),
                        "heard_by": [other for other, member in self.members.items() if member.hears & bit],
                    }
                )
                continue
            member = self.members[number]
            heard_by = [other for other, third in self.members.items() if third.hears >> number & 1]
            rows.append(
                {
                    "name": names.get(number, str(number)),
                    "number": number,
                    "state": member.state,
                    "life": member.life,
                    "since_ms": round(member.since),
                    "trusted": self.trusted(now, member),
                    "hears": [other for other in range(self.pace.members) if member.hears >> other & 1],
                    "heard_by": sorted([*heard_by, self.number] if number in own else heard_by),
                }
            )
        return {
            "self": self.number,
            "life": self.life,
            "view": "old" if self.old(now) else "fresh",
            "away_ms": round(self.away_ms),
            "stalls": self.stalls,
            "words": self.seq,
            "up_ms": round(now - self.started) + 1,
            "side": {
                "heard": len(self.side),
                "of": self.pace.members,
                "majority": self.majority(now),
                "since_ms": round(self.since),
                "members": sorted(self.side),
            },
            "members": rows,
            "digest": self.digest(),
            "pace": {
                "doubt_ms": round(self.pace.doubt_ms),
                "fail_ms": round(self.pace.fail_ms),
                "found_ms": round(self.pace.found_ms),
                "hear_ms": round(self.pace.hear_ms),
                "words_per_s": round(1000.0 / self.pace.word_ms, 2),
            },
        }
