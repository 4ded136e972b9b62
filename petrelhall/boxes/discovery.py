"""Follows discovery: one list at the start, then a watch that is asked again at once after each answer."""

from __future__ import annotations

import random
from collections.abc import Callable

import ujson

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.http.h1 import HttpClientConnection, HttpError, HttpResponse, StreamingResponse
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import Address, connect

# How long discovery may hold a watch: a line that went dead says nothing, and until its answer is
# overdue the list stands still while servers are replaced.
LONG_POLL_MS = 1000
RESPONSE_GRACE_MS = 600.0  # after which an answer that is due counts as lost with its connection
CONNECT_TIMEOUT_MS = 1000.0
RETRY_DELAY_MS = 100.0  # before asking anew after a failure: a watch goes on if asked within 200 ms
# Waits and pauses are shorter by a random part of up to so much: hundreds of gateways that lost discovery at one moment
# must not ask in step from then on. The pause does not grow: what discovery has at its return is told from that moment.
SPREAD = 0.3
UNUSABLE = "unusable list"
MOST_LIST = 4 * 1024 * 1024


def max_staleness_ms() -> float:
    """Give the longest time from when discovery has a change, and can be reached, to when the change is in use.

    At worst the watch has just been asked when its line goes dead: its wait is over, then its answer late; then
    the pause, a connection that takes all its time, and an answer that does. Whatever failed before, each step ends
    by itself and the next follows, so this holds from any moment. The platform allows 6 s.
    """
    return LONG_POLL_MS + RESPONSE_GRACE_MS + RETRY_DELAY_MS + CONNECT_TIMEOUT_MS + RESPONSE_GRACE_MS


class DiscoveryWatch:
    """Keeps the fleet and the module up to date from one address, until another takes its place.

    ``replaced`` is the watch that served until now: the old list serves, and the old address is heard, until
    the new one has answered. Versions belong to an address: the new one is asked for the whole list.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        fleet: ServerRegistry,
        tell: Callable[[api.ServerList], None],
        counts: Counts,
        log: Callable[[str], None],
        replaced: DiscoveryWatch | None = None,
    ) -> None:
        self.loop, self.address, self.fleet, self.tell = loop, address, fleet, tell
        self.counts, self.log, self.replaced = counts, log, replaced
        self.random = random.Random()  # of its own: gateways that share a seed must not share their moments
        self.listed = False  # whether this address has answered
        self.whole = False  # whether to ask for the whole list, since a change could not be used
        self.over = False
        self.task = loop.spawn(self.follow())

    def follow_address(self, address: Address) -> DiscoveryWatch:
        """Give the watch that takes this one's place; one that never answered leaves no trace."""
        serving, self.replaced = self.replaced or self, None
        if serving is not self:
            self.end()
        return DiscoveryWatch(self.loop, address, self.fleet, self.tell, self.counts, self.log, serving)

    def end(self) -> None:
        """Follow no more."""
        self.over = True
        self.task.wake()
        if self.replaced is not None:
            self.replaced.end()
            self.replaced = None

    def follow(self) -> Steps[None]:
        """Ask until the end; whatever fails on one connection, the next goes on from the version held."""
        while not self.over:
            reason = yield from self.converse()
            if self.over:
                return
            self.whole = self.whole or reason.startswith(UNUSABLE)
            self.counts.add("discovery", "breaks")
            if self.counts.get("discovery", "breaks") in (1, 10, 100, 1000):
                self.log(f"discovery: {reason}; asking again")
            yield from self.loop.sleep(self.jittered(RETRY_DELAY_MS))

    def converse(self) -> Steps[str]:
        """Use one connection for as long as it serves, and give the reason why it does no more."""
        stream = connect(self.loop, self.address, self.loop.this_task().wake)
        if isinstance(stream, OSError):
            return f"cannot connect: {stream}"
        timers = []
        try:
            until = now_ms() + CONNECT_TIMEOUT_MS
            timers.append(self.loop.at(until, self.loop.this_task().wake))
            while stream.connecting and not stream.ended and now_ms() < until and not self.over:
                yield
            if stream.connecting or stream.ended:
                return "cannot connect"
            http = HttpClientConnection(stream)
            while True:
                watching = self.listed and not self.whole
                wait_ms = int(self.jittered(LONG_POLL_MS)) * watching
                query = f"?after={self.fleet.version}&wait_ms={wait_ms}" if watching else ""
                http.send_request(b"GET", f"/v1/servers{query}".encode(), [(b"Host", b"discovery")])
                until = now_ms() + RESPONSE_GRACE_MS + wait_ms
                timers.append(self.loop.at(until, self.loop.this_task().wake))
                while not self.over and (reply := http.read_response(MOST_LIST)) is None and now_ms() < until:
                    yield
                timers.pop().cancel()
                if self.over:  # what an address says that was left behind would mix two counts of versions
                    return "left"
                failure = self.handle_response(reply)
                if failure:
                    return failure
                if not http.start_next_cycle():
                    return "connection closed"
        finally:
            for timer in timers:
                timer.cancel()
            stream.close()

    def jittered(self, most_ms: float) -> float:
        """Give most of a time, or all of it."""
        return most_ms * (1.0 - SPREAD * self.random.random())

    def handle_response(self, reply: HttpResponse | StreamingResponse | HttpError | None) -> str:
        """Use an answer; give what was wrong with it, if anything was."""
        if reply is None:
            return "no answer in time"
        if isinstance(reply, StreamingResponse):  # a list is kept whole or not at all
            return "list too large"
        if isinstance(reply, HttpError):
            return reply.reason
        if reply.status != 200:
            return f"status {reply.status}"
        try:
            listing = ujson.loads(reply.body)
            if self.listed and older(listing, self.fleet.version):  # it would undo what was told since, such as drains
                self.counts.add("discovery", "older")
                return f"{UNUSABLE}: changes older than version {self.fleet.version}"
            news = self.fleet.apply(listing)
        except (ValueError, TypeError, OverflowError) as error:
            return f"{UNUSABLE}: {error}"
        self.listed, self.whole = True, False
        if self.replaced is not None:
            self.replaced.end()
            self.replaced = None
        self.counts.add("discovery", news.kind)
        if news.kind == "full" or news.servers:
            self.tell(news)
        return ""


def older(listing: object, version: int) -> bool:
    """Tell whether changes come from before a version that is held; a whole list stands for itself."""
    if not isinstance(listing, dict) or listing.get("full"):
        return False
    told = listing.get("version")
    return isinstance(told, int) and told < version
