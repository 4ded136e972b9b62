"""Which members' incarnations the next message tells of."""

from __future__ import annotations

from petrelhall.members import words
from petrelhall.members.member import Member

SAID = {"here": words.HERE, "doubt": words.MISSED, "failed": words.MISSED, "left": words.LEFT}
LIVES = 0xFFFFFFFF


class News:
    """Members whose incarnation or leaving is news, and the others in turn."""

    def __init__(self, of: int, members: dict[int, Member]) -> None:
        self.of, self.members = of, members
        self.times: dict[int, int] = {}  # by member that is news: messages that are still to tell of it
        self.lives_at = 0

    def changed(self, number: int) -> None:
        """Have a member's new incarnation or leaving told until nearly all know it."""
        self.times[number] = 3 + 2 * self.of.bit_length()

    def again(self, number: int) -> None:
        """Have a member told of a few times more."""
        self.times[number] = max(self.times.get(number, 0), 3)

    def take(self, most: int, young: bool) -> tuple[tuple[int, int, int, int], ...]:
        """Give incarnations to tell of: news first, then some in turn; to a ``young`` one all that has room."""
        told = []
        for number in list(self.times)[:most]:
            self.times[number] -= 1
            if not self.times[number]:
                del self.times[number]
            told.append(number)
        for _ in range(min(self.of, most - len(told), self.of if young else words.LIVES_KEPT)):
            self.lives_at = (self.lives_at + 1) % self.of
            member = self.members.get(self.lives_at)
            if member is not None and member.life and self.lives_at not in told:
                told.append(self.lives_at)
        found = []
        for number in told:
            member = self.members[number]
            found.append((number, member.life, member.counter & LIVES, SAID[member.state]))
        return tuple(found)
