"""Carries out on sockets what ``links.plan`` decides: connections to boxes, and the attempts made on them."""

from __future__ import annotations

import errno
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import HttpClientConnection, HttpError, HttpResponse, StreamingBody, StreamingResponse
from petrelhall.http.room import BodyBudget
from petrelhall.links.attempt import Reach, Result, Wording
from petrelhall.links.limits import NEVER
from petrelhall.links.plan import End, Link, No, Plan, State, Wait
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, Timer, describe, now_ms
from petrelhall.net.stream import RESOURCE_ERRNOS, Address, connect

TICK_MS = 100.0
STALL_MS = 4000.0  # in which a box must read some of a body that waits for it
LOOK_MS = 250.0  # between two looks whether a body still comes
KEEP_ALIVE = re.compile(rb"timeout *= *\"?(\d{1,6})", re.ASCII | re.IGNORECASE)


class Listing(Protocol):
    """The boxes that there are."""

    on_change: Callable[[], None]

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Give addresses by id."""

    @property
    def healthy(self) -> Iterable[str]:
        """Give the ids of those that want new work."""

    @property
    def started(self) -> Mapping[str, float | None]:
        """Give when each started: Unix ms, 0 for long ago, None for untold."""


class Connection:
    """One connection to a box: what the plan knows of it, and the socket."""

    __slots__ = ("link", "http")

    def __init__(self, link: Link, http: HttpClientConnection) -> None:
        self.link, self.http = link, http
        link.carrier = self


class Pool:
    """Makes attempts at boxes, on the connections that the plan gives."""

    def __init__(
        self,
        loop: Loop,
        fleet: Listing,
        wording: Wording,
        counts: Counts,
        plan: Plan,
        connect_ms: float,
        room: BodyBudget | None = None,
    ) -> None:
        self.room = room or BodyBudget(0.0)  # for bodies that are passed on
        self.loop, self.fleet, self.wording, self.counts, self.plan = loop, fleet, wording, counts, plan
        self.connect_ms = connect_ms
        self.waiting: dict[str, dict[object, Callable[[], object]]] = {}  # for a connection, by box
        fleet.on_change = self.follow
        self.follow()
        loop.after(TICK_MS, self.tick)

    @property
    def open(self) -> int:
        """Give how many connections there are."""
        return self.plan.open

    # Attempts

    def attempt(
        self,
        server: str,
        message: Any,
        until: float,
        stopped: Callable[[], bool],
        free: bool = True,
        write_by: float = NEVER,
    ) -> Steps[Result]:
        """Make one attempt that ends by its time; it is over on the wire when this gives its result.

        ``free`` tells that the request may run twice without harm; ``write_by`` is the last moment (Unix ms) at
        which it may be written, whatever it has waited for until then.
        """
        if now_ms() >= until:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "no time left")
        rest = self.wording.rest(message)
        if rest is not None and rest.consumed:  # whether it may go again is no question any more: it cannot
            return Result(Ending.MOOT, Reach.UNWRITTEN, "its body was passed on already")
        connection: Connection | Result | None = None
        link = self.plan.take(now_ms(), server, free)
        if isinstance(link, Link) and not self.plan.closing:
            connection = self.usable(link)  # as nearly always
        if connection is None:
            connection = yield from self.obtain(server, until, stopped, free, link)
        if isinstance(connection, Result):
            return connection
        stream, link = connection.http.stream, connection.link
        stream.notify = self.loop.this_task().wake
        timers = [self.loop.at(until, stream.notify)]
        keep = asked = handed = False
        cause = "broken"
        try:
            if stream.connecting:
                failed = yield from self.connected(connection, until, timers, stopped)
                if failed is not None:
                    return failed
            hindrance = self.hindrance(link, until, write_by, stopped)
            if hindrance is not None:
                # It is as good as before, but for the time that it lay idle until now, which is soon forgotten.
                keep, cause = link.idle_ms < self.plan.settings.wait_ms, "unused"
                return hindrance
            connection.http.send_request(*self.wording.outgoing(message, until - now_ms()), more=rest is not None)
            asked_at = 0.0
            if rest is not None:
                allowed = until - now_ms()  # counts from the body's last byte
                failed = yield from self.pour(connection, rest, stopped)
                if failed is not None:
                    return failed
                asked_at = now_ms()
                until = asked_at + allowed
                timers.append(self.loop.at(until, stream.notify))
            asked = True
            result = yield from self.answered(connection, until, stopped)
            if asked_at:
                result = replace(result, asked_at=asked_at)
            if isinstance(result.reply, StreamingResponse):
                if result.ending is not Ending.OK:  # not an answer to pass on: taken for an error, as before
                    return Result(result.ending, result.reach, "answer too large", None, result.report, result.used)
                flowing = result.reply
                flowing.on_done = lambda whole: self.flowed(connection, whole)
                handed = True
                # Taken in this same step by the front, or never (its client left): then it is closed.
                self.loop.after(0.0, lambda: flowing.claimed or flowing.on_done(False))
                return result
            if result.reach is Reach.ANSWERED:
                keep, cause = connection.http.start_next_cycle(), "told"
            elif result.ending in (Ending.CANCELLED, Ending.TIMEOUT):
                cause = "given_up"
            return result
        except Exception as error:  # our own fault, such as a message that h11 will not word: no box's
            self.loop.log(f"attempt failed: {describe(error)}")
            keep = False
            reach = Reach.WRITTEN if asked else Reach.UNWRITTEN
            return Result(Ending.ERROR if asked else Ending.MOOT, reach, describe(error))
        finally:
            for timer in timers:
                timer.cancel()
            if not handed:
                self.release(connection, keep, cause)

    def hindrance(self, link: Link, until: float, write_by: float, stopped: Callable[[], bool]) -> Result | None:
        """Say why an attempt that has its connection must not be written after all.

        Between the decision and this moment it may have waited for a connection: for a free one, or for one to come
        up. The rules count from the write: the box may drain by now (they count from the telling), the client may
        have left, the time for an answer or for a repeat may be over.
        """
        if not link.box.listed:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "drained before it was sent")
        if stopped():
            return Result(Ending.MOOT, Reach.UNWRITTEN, "called off before it was sent")
        now = now_ms()
        if now >= until:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "no time left when it could be sent")
        if now >= write_by:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "too late to be sent again")
        return None

    def pour(self, connection: Connection, rest: StreamingBody, stopped: Callable[[], bool]) -> Steps[Result | None]:
        """Pass a body on as it comes, reading the client only as fast as the box reads.

        Gives None once it is all written, or the box has answered before; else how the attempt ended. What broke
        off before its last byte never ran: that tells nothing against a box whose client stopped.
        """
        stream, http = connection.http.stream, connection.http
        rest.consumed, rest.first_bytes = True, b""
        wake = self.loop.this_task().wake
        stall = now_ms() + STALL_MS
        waiting = len(stream.outgoing)
        timer = self.loop.after(LOOK_MS, wake)
        try:
            while True:
                if stream.ended:
                    return Result(Ending.MOOT, Reach.UNWRITTEN, f"broken under a body ({stream.error})")
                if stream.incoming:  # it answers before it has read all: that answer counts
                    return None
                if stopped():
                    return Result(Ending.MOOT, Reach.UNWRITTEN, "called off under a body")
                if len(stream.outgoing) < waiting:
                    stall = now_ms() + STALL_MS
                waiting = len(stream.outgoing)
                if waiting < self.room.bytes_per_stream:
                    came = rest.read()
                    if isinstance(came, HttpError):
                        return Result(Ending.MOOT, Reach.UNWRITTEN, came.reason)
                    if came[0] or came[1]:
                        http.send_body(*came)
                        waiting, stall = len(stream.outgoing), now_ms() + STALL_MS
                        if came[1]:
                            return None
                        continue
                    stall = now_ms() + STALL_MS  # the client's silence is not the box's: ``rest`` bounds that
                elif now_ms() >= stall:
                    return Result(Ending.TIMEOUT, Reach.UNWRITTEN, "the box reads no more of a body")
                if timer.when <= now_ms():
                    timer = self.loop.after(LOOK_MS, wake)
                yield
        finally:
            timer.cancel()

    def flowed(self, connection: Connection, whole: bool) -> None:
        """Take back a connection whose answer was passed on as it came; kept only where it came whole.

        Told once: by the front that took the answer, or by the look at the next turn where nobody did.
        """
        if whole:
            self.plan.answered(now_ms(), connection.link)
        self.release(connection, whole and connection.http.start_next_cycle(), "told" if whole else "broken")

    def usable(self, link: Link) -> Connection | Result | None:
        """Give the connection of a link that was taken, begun if it is new; None where it proves closed."""
        connection: Connection | None = link.carrier
        if connection is None:
            return self.begin(link, self.loop.this_task().wake)
        # The box may have closed it since epoll was last asked: what is written to a connection
        # closed by the other side would end as a reset, which may have run.
        if connection.http.stream.is_open_and_quiet():
            return connection
        self.plan.found_closed(now_ms(), link)
        connection.http.stream.close()
        return None

    def obtain(
        self, server: str, until: float, stopped: Callable[[], bool], free: bool, link: Link | Wait | No
    ) -> Steps[Connection | Result]:
        """Get a connection, one that comes up included, within the time that waiting for one is worth.

        ``link`` is what the plan has just said.
        """
        latest = 0.0
        while True:
            now = now_ms()
            if self.plan.closing:
                self.carry_out()
            if isinstance(link, Link):
                connection = None if link.state is State.CLOSED else self.usable(link)
                if connection is not None:
                    return connection
            elif isinstance(link, No):
                return Result(Ending.MOOT, Reach.UNWRITTEN, link.value)
            else:
                latest = latest or now + min(self.plan.settings.wait_ms, (until - now) / 4.0)
                if now >= latest:
                    self.counts.add("links", "none_in_time")
                    return Result(Ending.MOOT, Reach.UNWRITTEN, f"no connection: {link.cause}")  # no box's fault
                if stopped():
                    return Result(Ending.MOOT, Reach.UNWRITTEN, "called off")
                yield from self.wait(server, min(latest, now + link.ms))
            link = self.plan.take(now_ms(), server, free)

    def wait(self, server: str, until: float) -> Steps[None]:
        """Wait until a connection of a box may have come free."""
        queue, mark = self.waiting.setdefault(server, {}), object()
        queue[mark] = wake = self.loop.this_task().wake
        timer = self.loop.at(until, wake)
        yield
        timer.cancel()
        queue.pop(mark, None)
        if not queue and self.waiting.get(server) is queue:
            del self.waiting[server]

    def wake_one(self, server: str) -> None:
        """Let the request that has waited longest for a box look again."""
        queue = self.waiting.get(server)
        if queue:
            queue.pop(next(iter(queue)))()

    def begin(self, link: Link, notify: Callable[[], object]) -> Connection | Result:
        """Begin to open a connection."""
        address: Any = link.box.address
        stream = connect(self.loop, address, notify)
        if isinstance(stream, OSError):
            end = End.OURS if stream.errno in RESOURCE_ERRNOS else End.REFUSED
            return self.failed(link, end, str(stream))
        self.counts.add("connections", "to_servers")
        return Connection(link, HttpClientConnection(stream))

    def failed(self, link: Link, end: End, reason: str) -> Result:
        """Tell the plan of a connection that did not come up, and word it for the module."""
        dead = self.plan.failed(now_ms(), link, end)
        self.loop.after(0.0, self.carry_out)
        self.wake_one(link.box.id)
        return Result(Ending.CONNECT_FAILED if dead else Ending.MOOT, Reach.UNWRITTEN, reason)

    def connected(
        self, connection: Connection, until: float, timers: list[Timer], stopped: Callable[[], bool]
    ) -> Steps[Result | None]:
        """Wait for a new connection to come up; nothing is written before it has."""
        stream, link = connection.http.stream, connection.link
        latest = now_ms() + self.connect_ms
        timers.append(self.loop.at(latest, stream.notify))
        while stream.connecting and not stream.ended:
            if stopped() or now_ms() >= until:
                self.plan.failed(now_ms(), link, End.LEFT)
                if stopped():
                    return Result(Ending.MOOT, Reach.UNWRITTEN, "called off")
                return Result(Ending.MOOT, Reach.UNWRITTEN, "no time left to connect")  # it never ran
            if now_ms() >= latest:
                return self.failed(link, End.SILENT, "connection did not come up")
            yield
        if stream.ended:
            # A connection reset as it comes up was taken by someone that lives; refused, there is nobody.
            return self.failed(link, ended(stream.error), f"connection refused ({stream.error})")
        self.plan.opened(now_ms(), link)
        return None

    def answered(self, connection: Connection, until: float, stopped: Callable[[], bool]) -> Steps[Result]:
        """Wait for the answer; it counts only when it is whole."""
        http, stream, link = connection.http, connection.http.stream, connection.link
        while True:
            reply = http.read_response()
            reach = Reach.UNWRITTEN if stream.outgoing else Reach.WRITTEN
            if isinstance(reply, StreamingResponse):  # the rest is passed on by whoever takes the answer
                verdict = self.wording.verdict(HttpResponse(reply.status, reply.headers, b""))
                return Result(
                    verdict.ending, Reach.ANSWERED, f"status {reply.status}", reply, verdict.report, verdict.used
                )
            if isinstance(reply, HttpResponse):
                self.plan.answered(now_ms(), link)
                if b"keep-alive" in reply.headers:
                    told = KEEP_ALIVE.search(reply.headers[b"keep-alive"])
                    if told is not None:
                        self.plan.told(link, float(told[1]))
                verdict = self.wording.verdict(reply)
                return Result(
                    verdict.ending, Reach.ANSWERED, f"status {reply.status}", reply, verdict.report, verdict.used
                )
            if isinstance(reply, HttpError) and reach and not stream.ended:
                # A spoilt answer comes from a box that lives: an error of one request. Told as a reset it
                # would count as the box's death, and the module would leave it alone and treat it as cold.
                self.counts.add("servers", "spoilt_answers")
                if reply.reason == "answer too large":  # the first is told, for on-call: over 64 MiB stated
                    if not self.counts.get("servers", "too_large"):
                        self.loop.log(f"an answer of box {link.box.id} was over the bytes kept: taken for an error")
                    self.counts.add("servers", "too_large")
                return Result(Ending.ERROR, reach, reply.reason)
            if isinstance(reply, HttpError) or stream.ended:
                # A connection that breaks before the last byte is written proves that nothing ran. Only one
                # that never came up tells of its box: this one may have been closed as idle.
                if not http.head:
                    self.counts.add("connections", "broken_when_used_again", link.idle_ms >= 0.0)
                    self.plan.broke(now_ms(), link)
                ending = Ending.RESET if reach else Ending.MOOT
                return Result(ending, reach, reply.reason if reply else f"broken ({stream.error})")
            if stopped():
                return Result(Ending.CANCELLED, reach, "called off")
            if now_ms() >= until:
                if not http.head:
                    self.plan.silent(now_ms(), link)
                return Result(Ending.TIMEOUT, reach, "no answer in time")
            yield

    # Connections

    def release(self, connection: Connection, keep: bool, cause: str) -> None:
        """Put a connection away for the next attempt, or close it; one that never came up is counted already."""
        link = connection.link
        if link.state is State.OPENING:
            self.plan.failed(now_ms(), link, End.LEFT)  # our own fault as it came up
        if link.state is State.BUSY and self.plan.put(now_ms(), link, keep, cause):
            connection.http.stream.notify = lambda: self.stirred(connection)
        else:
            connection.http.stream.close()
        if self.plan.closing:
            self.loop.after(0.0, self.carry_out)  # not now: a handler may close its own descriptor only
        if self.waiting:
            self.wake_one(link.box.id)

    def stirred(self, connection: Connection) -> None:
        """Drop an idle connection on which anything happens: only its end, or junk, can."""
        stream = connection.http.stream
        if stream.incoming:  # a second answer, noise: its box has not closed it, which would teach how long it may lie
            self.counts.add("servers", "unasked_bytes")
            self.plan.spoilt(now_ms(), connection.link)
        else:
            self.plan.closed(now_ms(), connection.link)
        stream.close()

    def carry_out(self) -> None:
        """Close what the plan has retired."""
        for link, _ in self.plan.closing:
            if link.carrier is not None:
                link.carrier.http.stream.close()
        self.plan.closing.clear()

    def tick(self) -> None:
        """Let the plan retire and open ahead."""
        self.loop.after(TICK_MS, self.tick)
        for link in self.plan.tick(now_ms()):
            self.open_ahead(link)
        self.carry_out()

    def open_ahead(self, link: Link) -> None:
        """Open a connection that no request waits for yet."""
        connection = self.begin(link, lambda: self.risen(link, timer))
        if isinstance(connection, Connection):
            timer = self.loop.after(self.connect_ms, lambda: self.not_risen(link))

    def risen(self, link: Link, timer: Timer) -> None:
        """Put a connection away that was opened ahead and has come up; or it has not."""
        stream = link.carrier.http.stream
        timer.cancel()
        if stream.ended:
            self.failed(link, ended(stream.error), "opened ahead")
            stream.close()
        elif not stream.connecting:
            self.plan.opened(now_ms(), link)
            self.release(link.carrier, True, "")

    def not_risen(self, link: Link) -> None:
        """Give up a connection opened ahead that does not come up."""
        self.failed(link, End.SILENT, "opened ahead")
        link.carrier.http.stream.close()

    def follow(self) -> None:
        """Bring the plan up to date with the list of boxes."""
        healthy = set(self.fleet.healthy)
        for name in [name for name in self.plan.boxes if name not in healthy]:
            self.plan.unlisted(name)
        now = now_ms()
        for name in healthy:
            self.plan.listed(now, name, self.fleet.addresses[name], self.fleet.started.get(name))
        self.loop.after(0.0, self.carry_out)

    def describe(self) -> list[str]:
        """Give the state of all connections in lines for people."""
        return self.plan.snapshot(now_ms())


def ended(error: int) -> End:
    """Give how a connection ended that had not come up."""
    return End.RESET if error == errno.ECONNRESET else End.REFUSED
