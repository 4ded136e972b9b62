"""Follows service discovery: fetches the whole list once, then long-polls for changes."""

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

# How long discovery may hold a long poll. A dead connection is only noticed once the response is overdue, and until
# then the list is not updated while servers are replaced.
LONG_POLL_MS = 1000
RESPONSE_GRACE_MS = 600.0  # after which an overdue response counts as lost, with its connection
CONNECT_TIMEOUT_MS = 1000.0
RETRY_DELAY_MS = 100.0  # before reconnecting after a failure; a watch resumes if polled within 200 ms
# Long polls and retry delays are shortened by a random share up to this: hundreds of gateways that lost discovery at
# the same moment must not poll in lockstep afterwards. There is no backoff: staleness counts from the moment at which
# discovery returns.
JITTER_SHARE = 0.3
UNUSABLE = "unusable list"
MAX_LIST_BYTES = 4 * 1024 * 1024


def max_staleness_ms() -> float:
    """Return the longest time from when discovery has a change and is reachable to when the change is applied.

    In the worst case the connection dies just after a long poll was sent. Then follow the long poll, the grace for the
    response, the retry delay, a connection attempt that takes all its time, and a response that does. Whatever
    failed before, each step times out and the next follows, so the bound holds from any moment. The platform
    allows 6 s.
    """
    return LONG_POLL_MS + RESPONSE_GRACE_MS + RETRY_DELAY_MS + CONNECT_TIMEOUT_MS + RESPONSE_GRACE_MS


class DiscoveryWatch:
    """Keeps the registry and the module up to date from one address, until another watch takes over.

    ``replaced`` is the previous watch: its list stays in use, and its address is followed, until the new address has
    responded. Versions belong to an address: the new one is asked for the whole list.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        registry: ServerRegistry,
        notify: Callable[[api.ServerList], None],
        counts: Counts,
        log: Callable[[str], None],
        replaced: DiscoveryWatch | None = None,
    ) -> None:
        self.loop, self.address, self.registry, self.notify = loop, address, registry, notify
        self.counts, self.log, self.replaced = counts, log, replaced
        self.random = random.Random()  # unseeded: gateways that share a seed must not share their timing
        self.has_responded = False  # whether this address has responded
        self.needs_full_list = False  # whether to request the whole list, since a delta could not be applied
        self.stopped = False
        self.task = loop.spawn(self.poll_until_stopped())

    def follow_address(self, address: Address) -> DiscoveryWatch:
        """Return the watch of a new address that replaces this one; a watch that never got a response is dropped."""
        active, self.replaced = self.replaced or self, None
        if active is not self:
            self.end()
        return DiscoveryWatch(self.loop, address, self.registry, self.notify, self.counts, self.log, active)

    def end(self) -> None:
        """Stop following."""
        self.stopped = True
        self.task.wake()
        if self.replaced is not None:
            self.replaced.end()
            self.replaced = None

    def poll_until_stopped(self) -> Steps[None]:
        """Poll until stopped; after a failed connection, the next continues from the current version."""
        while not self.stopped:
            reason = yield from self.poll_connection()
            if self.stopped:
                return
            self.needs_full_list = self.needs_full_list or reason.startswith(UNUSABLE)
            self.counts.add("discovery", "breaks")
            if self.counts.get("discovery", "breaks") in (1, 10, 100, 1000):
                self.log(f"discovery: {reason}; retrying")
            yield from self.loop.sleep(self.jittered(RETRY_DELAY_MS))

    def poll_connection(self) -> Steps[str]:
        """Poll on one connection until it fails, and return the reason."""
        stream = connect(self.loop, self.address, self.loop.this_task().wake)
        if isinstance(stream, OSError):
            return f"connect failed: {stream}"
        timers = []
        try:
            until = now_ms() + CONNECT_TIMEOUT_MS
            timers.append(self.loop.at(until, self.loop.this_task().wake))
            while stream.connecting and not stream.ended and now_ms() < until and not self.stopped:
                yield
            if stream.connecting or stream.ended:
                return "connect failed or timed out"
            http = HttpClientConnection(stream)
            while True:
                watching = self.has_responded and not self.needs_full_list
                wait_ms = int(self.jittered(LONG_POLL_MS)) * watching
                query = f"?after={self.registry.version}&wait_ms={wait_ms}" if watching else ""
                http.send_request(b"GET", f"/v1/servers{query}".encode(), [(b"Host", b"discovery")])
                until = now_ms() + RESPONSE_GRACE_MS + wait_ms
                timers.append(self.loop.at(until, self.loop.this_task().wake))
                while not self.stopped and (reply := http.read_response(MAX_LIST_BYTES)) is None and now_ms() < until:
                    yield
                timers.pop().cancel()
                if self.stopped:  # a response of the previous address would mix two version sequences
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

    def jittered(self, max_ms: float) -> float:
        """Return a time shortened by a random share."""
        return max_ms * (1.0 - JITTER_SHARE * self.random.random())

    def handle_response(self, reply: HttpResponse | StreamingResponse | HttpError | None) -> str:
        """Apply a response; return what was wrong with it, or an empty string."""
        if reply is None:
            return "response timed out"
        if isinstance(reply, StreamingResponse):  # a list that does not fit the buffer is not used at all
            return "list too large"
        if isinstance(reply, HttpError):
            return reply.reason
        if reply.status != 200:
            return f"status {reply.status}"
        try:
            listing = ujson.loads(reply.body)
            # An older response would undo what was received since, such as drains.
            if self.has_responded and is_older(listing, self.registry.version):
                self.counts.add("discovery", "older")
                return f"{UNUSABLE}: changes are older than version {self.registry.version}"
            update = self.registry.apply(listing)
        except (ValueError, TypeError, OverflowError) as error:
            return f"{UNUSABLE}: {error}"
        self.has_responded, self.needs_full_list = True, False
        if self.replaced is not None:
            self.replaced.end()
            self.replaced = None
        self.counts.add("discovery", update.kind)
        if update.kind == "full" or update.servers:
            self.notify(update)
        return ""


def is_older(listing: object, version: int) -> bool:
    """Return whether a delta is older than the current version; a full list is always usable."""
    if not isinstance(listing, dict) or listing.get("full"):
        return False
    listed_version = listing.get("version")
    return isinstance(listed_version, int) and listed_version < version
