"""All connections of one gateway: how many there are, which are idle, and which are to be closed. Pure."""

from __future__ import annotations

from collections import Counter

from petrelhall.links.connection import Link, State
from petrelhall.links.server import Box


class Inventory:
    """Every connection from the moment that it begins to come up until it is closed.

    ``closing`` holds what is to be closed, with the cause, until the shell takes it.
    """

    def __init__(self) -> None:
        self.open = self.opening = 0
        self.idle: dict[Link, None] = {}  # all idle connections, the longest idle first
        self.leaving: dict[int, Box] = {}  # not listed any more, with connections still in use, by identity
        self.closing: list[tuple[Link, str]] = []
        self.counts: Counter[str] = Counter()

    def retire(self, link: Link, cause: str) -> None:
        """Take an idle connection out for good; the shell finds it in ``closing``."""
        self.take_out(link, cause)
        self.closing.append((link, cause))

    def take_out(self, link: Link, cause: str) -> None:
        """Count an idle connection out, and why."""
        self.out_of_idle(link)
        self.close_counted(link)
        self.counts["retired." + cause] += 1

    def out_of_idle(self, link: Link) -> None:
        """Take a connection out of the idle ones."""
        idle = link.box.idle
        if idle[-1] is link:
            idle.pop()
        elif idle[0] is link:
            del idle[0]
        else:
            idle.remove(link)
        del self.idle[link]

    def close_counted(self, link: Link) -> None:
        """Count a connection out."""
        link.state = State.CLOSED
        self.open -= 1
        if not link.box.listed and not link.box.open:
            self.leaving.pop(id(link.box), None)
