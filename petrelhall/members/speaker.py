"""A gateway's messages: when one goes out, and what it tells."""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrelhall.events import Send
from petrelhall.members import words
from petrelhall.members.words import Word

if TYPE_CHECKING:
    from petrelhall.members.core import Members


class Speaker:
    """Sends one message in each interval, to one member, or to all on leaving."""

    def __init__(self, core: Members, now: float) -> None:
        self.core = core
        self.seq = self.segment = 0
        # Gateways that start together are not in step.
        self.next_word = now + core.random.random() * core.pace.word_ms

    def turn(self, now: float) -> None:
        """Send a message, where it is time to."""
        if now >= self.next_word and not self.core.quiet:
            self.next_word = max(self.next_word + self.core.pace.word_ms, now)
            self.say(now, self.core.recipients.next())

    def say(self, now: float, to: int | None) -> None:
        """Send a message."""
        core = self.core
        if not core.members:
            return
        of = core.pace.members
        self.seq += 1
        segment = 0
        if of > words.SEGMENT:
            segment, self.segment = self.segment, self.segment + words.SEGMENT
            self.segment = self.segment if self.segment < of else 0
        mask = (1 << words.SEGMENT) - 1
        hears, misses = core.detector.hears >> segment & mask, core.detector.misses >> segment & mask
        bad = core.bad[: words.BAD_MOST]
        free = words.room(of) - 4 * len(bad)
        # Who was away knows of nobody how far he is by now: what waited for it meanwhile is not news.
        # Who has just started knows nobody's incarnation, and can take nothing else in.
        young = to is not None and now - core.members[to].begun < core.pace.doubt_ms
        held = 0 if core.old(now) or young else min(of, (free - words.OTHERS) // 2)
        start = core.random.randrange(of) if held < of else 0
        row, over = bytes(core.table), 2 * (start + held)
        table = row[2 * start : over] + (row[: over - len(row)] if over > len(row) else b"")
        flags = words.LEAVING * core.leaving + words.OLD * core.old(now)
        lives = core.news.take((free - len(table)) // words.LIFE.size, young)
        core.actions.append(
            Send(
                to,
                words.encode(
                    Word(
                        core.number,
                        core.life,
                        self.seq,
                        core.counter,
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
