"""Carries out on sockets what ``links.plan`` decides: connections to boxes, and the attempts made on them."""

from __future__ import annotations

import errno
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import Broken, ClientSide, Flowing, Inflow, Reply
from petrelhall.http.room import Room
from petrelhall.links.attempt import AttemptProgress, AttemptResult, RequestCodec
from petrelhall.links.limits import NEVER
from petrelhall.links.plan import ConnectFailure, ConnectionPlan, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, Timer, describe, now_ms
from petrelhall.net.stream import NO_DESCRIPTOR, Address, connect

TICK_MS = 100.0
BODY_STALL_TIMEOUT_MS = 4000.0  # in which a box must read some of a body that waits for it
BODY_POLL_INTERVAL_MS = 250.0  # between two looks whether a body still comes
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout *= *\"?(\d{1,6})", re.ASCII | re.IGNORECASE)


class ServerList(Protocol):
    """The boxes that there are."""

    changed: Callable[[], None]

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

    __slots__ = ("record", "http")

    def __init__(self, record: ConnectionRecord, http: ClientSide) -> None:
        self.record, self.http = record, http
        record.owner_data = self


class ConnectionPool:
    """Makes attempts at boxes, on the connections that the plan gives."""

    def __init__(
        self,
        loop: Loop,
        fleet: ServerList,
        codec: RequestCodec,
        counts: Counts,
        plan: ConnectionPlan,
        connect_ms: float,
        room: Room | None = None,
    ) -> None:
        self.room = room or Room(0.0)  # for bodies that are passed on
        self.loop, self.fleet, self.codec, self.counts, self.plan = loop, fleet, codec, counts, plan
        self.connect_ms = connect_ms
        self.waiters: dict[str, dict[object, Callable[[], object]]] = {}  # for a connection, by box
        fleet.changed = self.sync_servers
        self.sync_servers()
        loop.after(TICK_MS, self.tick)

    @property
    def open(self) -> int:
        """Give how many connections there are."""
        return self.plan.open

    # Attempts

    def attempt(
        self,
        server_id: str,
        message: Any,
        deadline: float,
        is_cancelled: Callable[[], bool],
        repeatable: bool = True,
        write_by: float = NEVER,
    ) -> Steps[AttemptResult]:
        """Make one attempt that ends by its time; it is over on the wire when this gives its result.

        ``free`` tells that the request may run twice without harm; ``write_by`` is the last moment (Unix ms) at
        which it may be written, whatever it has waited for until then.
        """
        if now_ms() >= deadline:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left")
        remaining_body = self.codec.rest(message)
        if (
            remaining_body is not None and remaining_body.spent
        ):  # whether it may go again is no question any more: it cannot
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "its body was passed on already")
        connection: Connection | AttemptResult | None = None
        record = self.plan.acquire(now_ms(), server_id, repeatable)
        if isinstance(record, ConnectionRecord) and not self.plan.closing:
            connection = self.usable_connection(record)  # as nearly always
        if connection is None:
            connection = yield from self.obtain_connection(server_id, deadline, is_cancelled, repeatable, record)
        if isinstance(connection, AttemptResult):
            return connection
        stream, record = connection.http.stream, connection.record
        stream.notify = self.loop.this_task().wake
        timers = [self.loop.at(deadline, stream.notify)]
        keep = request_written = handed_over = False
        cause = "broken"
        try:
            if stream.connecting:
                failure = yield from self.wait_until_connected(connection, deadline, timers, is_cancelled)
                if failure is not None:
                    return failure
            rejection = self.check_before_write(record, deadline, write_by, is_cancelled)
            if rejection is not None:
                # It is as good as before, but for the time that it lay idle until now, which is soon forgotten.
                keep, cause = record.idle_ms < self.plan.settings.wait_ms, "unused"
                return rejection
            connection.http.ask(*self.codec.outgoing(message, deadline - now_ms()), more=remaining_body is not None)
            body_sent_at = 0.0
            if remaining_body is not None:
                timeout_ms = deadline - now_ms()  # counts from the body's last byte
                failure = yield from self.send_body(connection, remaining_body, is_cancelled)
                if failure is not None:
                    return failure
                body_sent_at = now_ms()
                deadline = body_sent_at + timeout_ms
                timers.append(self.loop.at(deadline, stream.notify))
            request_written = True
            result = yield from self.read_response(connection, deadline, is_cancelled)
            if body_sent_at:
                result = replace(result, body_sent_at=body_sent_at)
            if isinstance(result.reply, Flowing):
                if result.ending is not Ending.OK:  # not an answer to pass on: taken for an error, as before
                    return AttemptResult(
                        result.ending, result.progress, "answer too large", None, result.report, result.used
                    )
                streamed_reply = result.reply
                streamed_reply.done = lambda complete: self.on_stream_done(connection, complete)
                handed_over = True
                # Taken in this same step by the front, or never (its client left): then it is closed.
                self.loop.after(0.0, lambda: streamed_reply.taken or streamed_reply.done(False))
                return result
            if result.progress is AttemptProgress.ANSWERED:
                keep, cause = connection.http.again(), "told"
            elif result.ending in (Ending.CANCELLED, Ending.TIMEOUT):
                cause = "given_up"
            return result
        except Exception as error:  # our own fault, such as a message that h11 will not word: no box's
            self.loop.log(f"attempt failed: {describe(error)}")
            keep = False
            progress = AttemptProgress.WRITTEN if request_written else AttemptProgress.UNWRITTEN
            return AttemptResult(Ending.ERROR if request_written else Ending.MOOT, progress, describe(error))
        finally:
            for timer in timers:
                timer.cancel()
            if not handed_over:
                self.release(connection, keep, cause)

    def check_before_write(
        self, record: ConnectionRecord, deadline: float, write_by: float, is_cancelled: Callable[[], bool]
    ) -> AttemptResult | None:
        """Say why an attempt that has its connection must not be written after all.

        Between the decision and this moment it may have waited for a connection: for a free one, or for one to come
        up. The rules count from the write: the box may drain by now (they count from the telling), the client may
        have left, the time for an answer or for a repeat may be over.
        """
        if not record.server.listed:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "drained before it was sent")
        if is_cancelled():
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "called off before it was sent")
        now = now_ms()
        if now >= deadline:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left when it could be sent")
        if now >= write_by:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "too late to be sent again")
        return None

    def send_body(
        self, connection: Connection, remaining_body: Inflow, is_cancelled: Callable[[], bool]
    ) -> Steps[AttemptResult | None]:
        """Pass a body on as it comes, reading the client only as fast as the box reads.

        Gives None once it is all written, or the box has answered before; else how the attempt ended. What broke
        off before its last byte never ran: that tells nothing against a box whose client stopped.
        """
        stream, http = connection.http.stream, connection.http
        remaining_body.spent, remaining_body.first = True, b""
        wake = self.loop.this_task().wake
        stall_deadline = now_ms() + BODY_STALL_TIMEOUT_MS
        unsent = len(stream.outgoing)
        timer = self.loop.after(BODY_POLL_INTERVAL_MS, wake)
        try:
            while True:
                if stream.ended:
                    return AttemptResult(
                        Ending.MOOT, AttemptProgress.UNWRITTEN, f"broken under a body ({stream.error})"
                    )
                if stream.incoming:  # it answers before it has read all: that answer counts
                    return None
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "called off under a body")
                if len(stream.outgoing) < unsent:
                    stall_deadline = now_ms() + BODY_STALL_TIMEOUT_MS
                unsent = len(stream.outgoing)
                if unsent < self.room.each:
                    chunk = remaining_body.flow()
                    if isinstance(chunk, Broken):
                        return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, chunk.reason)
                    if chunk[0] or chunk[1]:
                        http.ask_more(*chunk)
                        unsent, stall_deadline = len(stream.outgoing), now_ms() + BODY_STALL_TIMEOUT_MS
                        if chunk[1]:
                            return None
                        continue
                    stall_deadline = (
                        now_ms() + BODY_STALL_TIMEOUT_MS
                    )  # the client's silence is not the box's: ``rest`` bounds that
                elif now_ms() >= stall_deadline:
                    return AttemptResult(Ending.TIMEOUT, AttemptProgress.UNWRITTEN, "the box reads no more of a body")
                if timer.when <= now_ms():
                    timer = self.loop.after(BODY_POLL_INTERVAL_MS, wake)
                yield
        finally:
            timer.cancel()

    def on_stream_done(self, connection: Connection, complete: bool) -> None:
        """Take back a connection whose answer was passed on as it came; kept only where it came whole.

        Told once: by the front that took the answer, or by the look at the next turn where nobody did.
        """
        if complete:
            self.plan.on_response(now_ms(), connection.record)
        self.release(connection, complete and connection.http.again(), "told" if complete else "broken")

    def usable_connection(self, record: ConnectionRecord) -> Connection | AttemptResult | None:
        """Give the connection of a link that was taken, begun if it is new; None where it proves closed."""
        connection: Connection | None = record.owner_data
        if connection is None:
            return self.start_connecting(record, self.loop.this_task().wake)
        # The box may have closed it since epoll was last asked: what is written to a connection
        # closed by the other side would end as a reset, which may have run.
        if connection.http.stream.alive():
            return connection
        self.plan.on_closed_before_use(now_ms(), record)
        connection.http.stream.close()
        return None

    def obtain_connection(
        self,
        server_id: str,
        deadline: float,
        is_cancelled: Callable[[], bool],
        repeatable: bool,
        record: ConnectionRecord | Wait | Unavailable,
    ) -> Steps[Connection | AttemptResult]:
        """Get a connection, one that comes up included, within the time that waiting for one is worth.

        ``link`` is what the plan has just said.
        """
        wait_deadline = 0.0
        while True:
            now = now_ms()
            if self.plan.closing:
                self.close_retired()
            if isinstance(record, ConnectionRecord):
                connection = None if record.state is ConnectionState.CLOSED else self.usable_connection(record)
                if connection is not None:
                    return connection
            elif isinstance(record, Unavailable):
                return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, record.value)
            else:
                wait_deadline = wait_deadline or now + min(self.plan.settings.wait_ms, (deadline - now) / 4.0)
                if now >= wait_deadline:
                    self.counts.add("links", "none_in_time")
                    return AttemptResult(
                        Ending.MOOT, AttemptProgress.UNWRITTEN, f"no connection: {record.cause}"
                    )  # no box's fault
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "called off")
                yield from self.wait_for_connection(server_id, min(wait_deadline, now + record.ms))
            record = self.plan.acquire(now_ms(), server_id, repeatable)

    def wait_for_connection(self, server_id: str, deadline: float) -> Steps[None]:
        """Wait until a connection of a box may have come free."""
        queue, waiter = self.waiters.setdefault(server_id, {}), object()
        queue[waiter] = wake = self.loop.this_task().wake
        timer = self.loop.at(deadline, wake)
        yield
        timer.cancel()
        queue.pop(waiter, None)
        if not queue and self.waiters.get(server_id) is queue:
            del self.waiters[server_id]

    def wake_next_waiter(self, server_id: str) -> None:
        """Let the request that has waited longest for a box look again."""
        queue = self.waiters.get(server_id)
        if queue:
            queue.pop(next(iter(queue)))()

    def start_connecting(self, record: ConnectionRecord, notify: Callable[[], object]) -> Connection | AttemptResult:
        """Begin to open a connection."""
        address: Any = record.server.address
        stream = connect(self.loop, address, notify)
        if isinstance(stream, OSError):
            failure = ConnectFailure.OURS if stream.errno in NO_DESCRIPTOR else ConnectFailure.REFUSED
            return self.report_connect_failure(record, failure, str(stream))
        self.counts.add("connections", "to_servers")
        return Connection(record, ClientSide(stream))

    def report_connect_failure(self, record: ConnectionRecord, failure: ConnectFailure, reason: str) -> AttemptResult:
        """Tell the plan of a connection that did not come up, and word it for the module."""
        server_dead = self.plan.on_connect_failed(now_ms(), record, failure)
        self.loop.after(0.0, self.close_retired)
        self.wake_next_waiter(record.server.id)
        return AttemptResult(Ending.CONNECT_FAILED if server_dead else Ending.MOOT, AttemptProgress.UNWRITTEN, reason)

    def wait_until_connected(
        self, connection: Connection, deadline: float, timers: list[Timer], is_cancelled: Callable[[], bool]
    ) -> Steps[AttemptResult | None]:
        """Wait for a new connection to come up; nothing is written before it has."""
        stream, record = connection.http.stream, connection.record
        wait_deadline = now_ms() + self.connect_ms
        timers.append(self.loop.at(wait_deadline, stream.notify))
        while stream.connecting and not stream.ended:
            if is_cancelled() or now_ms() >= deadline:
                self.plan.on_connect_failed(now_ms(), record, ConnectFailure.LEFT)
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "called off")
                return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left to connect")  # it never ran
            if now_ms() >= wait_deadline:
                return self.report_connect_failure(record, ConnectFailure.SILENT, "connection did not come up")
            yield
        if stream.ended:
            # A connection reset as it comes up was taken by someone that lives; refused, there is nobody.
            return self.report_connect_failure(
                record, classify_connect_error(stream.error), f"connection refused ({stream.error})"
            )
        self.plan.on_opened(now_ms(), record)
        return None

    def read_response(
        self, connection: Connection, deadline: float, is_cancelled: Callable[[], bool]
    ) -> Steps[AttemptResult]:
        """Wait for the answer; it counts only when it is whole."""
        http, stream, record = connection.http, connection.http.stream, connection.record
        while True:
            reply = http.reply()
            progress = AttemptProgress.UNWRITTEN if stream.outgoing else AttemptProgress.WRITTEN
            if isinstance(reply, Flowing):  # the rest is passed on by whoever takes the answer
                verdict = self.codec.verdict(Reply(reply.status, reply.headers, b""))
                return AttemptResult(
                    verdict.ending,
                    AttemptProgress.ANSWERED,
                    f"status {reply.status}",
                    reply,
                    verdict.report,
                    verdict.used,
                )
            if isinstance(reply, Reply):
                self.plan.on_response(now_ms(), record)
                if b"keep-alive" in reply.headers:
                    timeout = KEEP_ALIVE_TIMEOUT.search(reply.headers[b"keep-alive"])
                    if timeout is not None:
                        self.plan.on_keep_alive_hint(record, float(timeout[1]))
                verdict = self.codec.verdict(reply)
                return AttemptResult(
                    verdict.ending,
                    AttemptProgress.ANSWERED,
                    f"status {reply.status}",
                    reply,
                    verdict.report,
                    verdict.used,
                )
            if isinstance(reply, Broken) and progress and not stream.ended:
                # A spoilt answer comes from a box that lives: an error of one request. Told as a reset it
                # would count as the box's death, and the module would leave it alone and treat it as cold.
                self.counts.add("servers", "spoilt_answers")
                if reply.reason == "answer too large":  # the first is told, for on-call: over 64 MiB stated
                    if not self.counts.get("servers", "too_large"):
                        self.loop.log(
                            f"an answer of box {record.server.id} was over the bytes kept: taken for an error"
                        )
                    self.counts.add("servers", "too_large")
                return AttemptResult(Ending.ERROR, progress, reply.reason)
            if isinstance(reply, Broken) or stream.ended:
                # A connection that breaks before the last byte is written proves that nothing ran. Only one
                # that never came up tells of its box: this one may have been closed as idle.
                if not http.head:
                    self.counts.add("connections", "broken_when_used_again", record.idle_ms >= 0.0)
                    self.plan.on_broken(now_ms(), record)
                ending = Ending.RESET if progress else Ending.MOOT
                return AttemptResult(ending, progress, reply.reason if reply else f"broken ({stream.error})")
            if is_cancelled():
                return AttemptResult(Ending.CANCELLED, progress, "called off")
            if now_ms() >= deadline:
                if not http.head:
                    self.plan.on_response_timeout(now_ms(), record)
                return AttemptResult(Ending.TIMEOUT, progress, "no answer in time")
            yield

    # Connections

    def release(self, connection: Connection, keep: bool, cause: str) -> None:
        """Put a connection away for the next attempt, or close it; one that never came up is counted already."""
        record = connection.record
        if record.state is ConnectionState.OPENING:
            self.plan.on_connect_failed(now_ms(), record, ConnectFailure.LEFT)  # our own fault as it came up
        if record.state is ConnectionState.BUSY and self.plan.release(now_ms(), record, keep, cause):
            connection.http.stream.notify = lambda: self.on_idle_event(connection)
        else:
            connection.http.stream.close()
        if self.plan.closing:
            self.loop.after(0.0, self.close_retired)  # not now: a handler may close its own descriptor only
        if self.waiters:
            self.wake_next_waiter(record.server.id)

    def on_idle_event(self, connection: Connection) -> None:
        """Drop an idle connection on which anything happens: only its end, or junk, can."""
        stream = connection.http.stream
        if stream.incoming:  # a second answer, noise: its box has not closed it, which would teach how long it may lie
            self.counts.add("servers", "unasked_bytes")
            self.plan.on_unsolicited_data(now_ms(), connection.record)
        else:
            self.plan.on_idle_closed(now_ms(), connection.record)
        stream.close()

    def close_retired(self) -> None:
        """Close what the plan has retired."""
        for record, _ in self.plan.closing:
            if record.owner_data is not None:
                record.owner_data.http.stream.close()
        self.plan.closing.clear()

    def tick(self) -> None:
        """Let the plan retire and open ahead."""
        self.loop.after(TICK_MS, self.tick)
        for record in self.plan.tick(now_ms()):
            self.preconnect(record)
        self.close_retired()

    def preconnect(self, record: ConnectionRecord) -> None:
        """Open a connection that no request waits for yet."""
        connection = self.start_connecting(record, lambda: self.on_preconnect_event(record, timer))
        if isinstance(connection, Connection):
            timer = self.loop.after(self.connect_ms, lambda: self.on_preconnect_timeout(record))

    def on_preconnect_event(self, record: ConnectionRecord, timer: Timer) -> None:
        """Put a connection away that was opened ahead and has come up; or it has not."""
        stream = record.owner_data.http.stream
        timer.cancel()
        if stream.ended:
            self.report_connect_failure(record, classify_connect_error(stream.error), "opened ahead")
            stream.close()
        elif not stream.connecting:
            self.plan.on_opened(now_ms(), record)
            self.release(record.owner_data, True, "")

    def on_preconnect_timeout(self, record: ConnectionRecord) -> None:
        """Give up a connection opened ahead that does not come up."""
        self.report_connect_failure(record, ConnectFailure.SILENT, "opened ahead")
        record.owner_data.http.stream.close()

    def sync_servers(self) -> None:
        """Bring the plan up to date with the list of boxes."""
        healthy = set(self.fleet.healthy)
        for server_id in [server_id for server_id in self.plan.servers if server_id not in healthy]:
            self.plan.remove_server(server_id)
        now = now_ms()
        for server_id in healthy:
            self.plan.add_server(now, server_id, self.fleet.addresses[server_id], self.fleet.started.get(server_id))
        self.loop.after(0.0, self.close_retired)

    def describe(self) -> list[str]:
        """Give the state of all connections in lines for people."""
        return self.plan.snapshot(now_ms())


def classify_connect_error(error: int) -> ConnectFailure:
    """Give how a connection ended that had not come up."""
    return ConnectFailure.RESET if error == errno.ECONNRESET else ConnectFailure.REFUSED
