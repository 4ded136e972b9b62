"""To whom the next message goes."""

from __future__ import annotations

import random

from petrelhall.members.member import Member

SEEK = 4  # messages of which one goes to a member that is not here


class Recipients:
    """The order in which members are told: in rounds, some before others, and now and then one that is not here."""

    def __init__(self, number: int, members: dict[int, Member], draw: random.Random) -> None:
        self.number, self.members, self.random = number, members, draw
        self.round: list[int] = []  # members that are here and still to be told in this round, next last
        self.seek: list[int] = []  # and such that are not
        self.told = 0
        self.urgent: list[int] = []  # told first: who doubts this gateway, or tells of a dead incarnation

    def hurry(self, number: int) -> None:
        """Have a member told before others; within the same pace."""
        if number not in self.urgent:
            self.urgent.append(number)

    def next(self) -> int:
        """Give the next to be told: those that are here once a round, in an order that is new each time.

        One message in ``SEEK`` goes to one that is not: messages to the dead are lost to the living, and where more
        than half are gone that would be most of them; but a cut that has healed is found by nothing else.
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
