"""Connection pool: opens and closes sockets as ``links.plan`` decides, and makes attempts on them."""

from __future__ import annotations

import errno
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import HttpClientConnection, HttpError, HttpResponse, StreamingBody, StreamingResponse
from petrelhall.links.attempt import AttemptProgress, AttemptResult, RequestCodec
from petrelhall.links.limits import NEVER
from petrelhall.links.plan import ConnectFailure, ConnectionPlan, ConnectionRecord, ConnectionState, Unavailable, Wait
from petrelhall.links.upload import UploadClock
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, Timer, describe, now_ms
from petrelhall.net.stream import RESOURCE_ERRNOS, Address, connect

TICK_MS = 100.0
BODY_STALL_TIMEOUT_MS = 4000.0  # a server must read some of a pending body within this time
BODY_POLL_INTERVAL_MS = 250.0  # interval for checking whether body bytes still arrive
# An answer of unknown length is held back for so long after its head, or for half of the time left if that is shorter:
# one that is complete by then, or breaks, needs no passing on. The first bytes of a large one have to be in time.
MAX_HOLD_MS = 100.0
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout *= *\"?(\d{1,6})", re.ASCII | re.IGNORECASE)


class ServerList(Protocol):
    """The current servers, as reported by discovery."""

    on_change: Callable[[], None]

    @property
    def addresses(self) -> Mapping[str, Address]:
        """Addresses by server id."""

    @property
    def healthy(self) -> Iterable[str]:
        """Ids of the servers that accept new work."""

    @property
    def started(self) -> Mapping[str, float | None]:
        """Start times by server id: Unix ms, 0 for long ago, None if not reported."""


class Connection:
    """One connection to a server: the plan's record of it, and its socket."""

    __slots__ = ("record", "http")

    def __init__(self, record: ConnectionRecord, http: HttpClientConnection) -> None:
        self.record, self.http = record, http
        record.owner_data = self


class ConnectionPool:
    """Makes attempts at servers on the connections that the plan provides."""

    def __init__(
        self,
        loop: Loop,
        registry: ServerList,
        codec: RequestCodec,
        counts: Counts,
        plan: ConnectionPlan,
        connect_timeout_ms: float,
    ) -> None:
        self.loop, self.registry, self.codec, self.counts, self.plan = loop, registry, codec, counts, plan
        self.connect_timeout_ms = connect_timeout_ms
        # Callbacks of requests waiting for a connection, by server id.
        self.waiters: dict[str, dict[object, Callable[[], object]]] = {}
        registry.on_change = self.sync_servers
        self.sync_servers()
        loop.after(TICK_MS, self.tick)

    @property
    def open(self) -> int:
        """Number of connections."""
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
        """Make one attempt within its deadline; no more I/O of the attempt follows its result.

        ``repeatable``: the request may safely run twice. ``write_by``: latest time (Unix ms) at which it may be
        written, however long it waited for a connection, and by which it must have been delivered.
        """
        if now_ms() >= deadline:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left")
        remaining_body = self.codec.rest(message)
        if remaining_body is not None and remaining_body.consumed:  # a streamed body cannot be sent again
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "request body was already streamed")
        connection: Connection | AttemptResult | None = None
        record = self.plan.acquire(now_ms(), server_id, repeatable)
        if isinstance(record, ConnectionRecord) and not self.plan.closing:
            connection = self.usable_connection(record)  # the common case
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
                # The connection is unchanged except that its idle time is reset, which is harmless if that was short.
                keep, cause = record.idle_ms < self.plan.settings.wait_ms, "unused"
                return rejection
            connection.http.send_request(
                *self.codec.outgoing(message, deadline - now_ms()), more=remaining_body is not None
            )
            body_sent_at = 0.0
            if remaining_body is not None:
                timeout_ms = deadline - now_ms()  # restarts at the body's last byte
                clock = UploadClock(now_ms())
                failure = yield from self.send_body(connection, remaining_body, is_cancelled, clock, timeout_ms)
                if failure is not None:
                    return failure
                body_sent_at = now_ms()
                deadline = clock.written_at + timeout_ms
                timers.append(self.loop.at(deadline, stream.notify))
            request_written = True
            if write_by < deadline and stream.has_undelivered_bytes():
                timers.append(self.loop.at(write_by, stream.notify))
            result = yield from self.read_response(connection, deadline, timers, is_cancelled, write_by)
            if body_sent_at:
                result = replace(result, body_sent_at=body_sent_at)
            if isinstance(result.reply, StreamingResponse):
                if result.ending is not Ending.OK:  # only successful responses are streamed; others count as errors
                    return AttemptResult(
                        result.ending, result.progress, "answer too large", None, result.report, result.used
                    )
                streamed_reply = result.reply
                streamed_reply.on_done = lambda complete: self.on_stream_done(connection, complete)
                handed_over = True
                # The listener takes the response in this loop turn or, if its client left, never: then close it.
                self.loop.after(0.0, lambda: streamed_reply.claimed or streamed_reply.on_done(False))
                return result
            if result.progress is AttemptProgress.ANSWERED:
                keep, cause = connection.http.start_next_cycle(), "told"
            elif result.ending in (Ending.CANCELLED, Ending.TIMEOUT):
                cause = "given_up"
            return result
        except Exception as error:  # internal error, such as a message that h11 rejects; not a fault of the server
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
        """Return why an attempt that has its connection must not be written, if so.

        Since the decision it may have waited for a free or new connection. The rules apply at the time of the write:
        by now the server may drain (which counts from its announcement), the client may have left, or the time for
        a response or a retry may be over.
        """
        if not record.server.listed:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "drained before it was sent")
        if is_cancelled():
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "cancelled before it was sent")
        now = now_ms()
        if now >= deadline:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left when it could be sent")
        if now >= write_by:
            return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "too late to be sent again")
        return None

    def send_body(
        self,
        connection: Connection,
        remaining_body: StreamingBody,
        is_cancelled: Callable[[], bool],
        clock: UploadClock,
        timeout_ms: float,
    ) -> Steps[AttemptResult | None]:
        """Stream a body to the server, reading from the client only as fast as the server reads.

        It is given up ``timeout_ms`` after the client may have written the last byte, and if the server stalls.
        Returns None once it is written completely or the server has responded early, else the result. A request cut
        off before its last byte never ran; if the client stopped, the server is not at fault.
        """
        stream, http = connection.http.stream, connection.http
        remaining_body.begin()
        wake = self.loop.this_task().wake
        stall_deadline = now_ms() + BODY_STALL_TIMEOUT_MS
        unsent = len(stream.outgoing)
        timer = self.loop.after(BODY_POLL_INTERVAL_MS, wake)
        try:
            while True:
                if stream.ended:
                    return AttemptResult(
                        Ending.MOOT,
                        AttemptProgress.UNWRITTEN,
                        f"connection broken while the body was sent ({stream.error})",
                    )
                if stream.incoming:  # an early response counts
                    return None
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "cancelled while the body was sent")
                if len(stream.outgoing) < unsent:
                    stall_deadline = now_ms() + BODY_STALL_TIMEOUT_MS
                unsent = len(stream.outgoing)
                if unsent < self.loop.memory.bytes_per_stream:
                    chunk = remaining_body.read()
                    if isinstance(chunk, HttpError):
                        return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, chunk.reason)
                    if chunk[0] or chunk[1]:
                        clock.on_passed_on(now_ms(), len(chunk[0]))
                        http.send_body(*chunk)
                        unsent, stall_deadline = len(stream.outgoing), now_ms() + BODY_STALL_TIMEOUT_MS
                        if chunk[1]:
                            return None
                        continue
                    if remaining_body.is_drained():
                        # A silent client is not a stalled server: ``remaining_body`` limits that.
                        clock.on_drained(now_ms())
                        stall_deadline = now_ms() + BODY_STALL_TIMEOUT_MS
                if now_ms() >= min(stall_deadline, clock.written_at + timeout_ms):
                    return AttemptResult(
                        Ending.TIMEOUT, AttemptProgress.UNWRITTEN, "the server read the body too slowly"
                    )
                if timer.when <= now_ms():
                    until_timeout_ms = max(1.0, clock.written_at + timeout_ms - now_ms())
                    timer = self.loop.after(min(BODY_POLL_INTERVAL_MS, until_timeout_ms), wake)
                yield
        finally:
            timer.cancel()

    def on_stream_done(self, connection: Connection, complete: bool) -> None:
        """Release a connection whose response was streamed; keep it only if the response was complete.

        Called once: by the listener that took the response, or by the timer of the next loop turn if none did.
        """
        if complete:
            self.plan.on_response(now_ms(), connection.record)
        self.release(connection, complete and connection.http.start_next_cycle(), "told" if complete else "broken")

    def usable_connection(self, record: ConnectionRecord) -> Connection | AttemptResult | None:
        """Return the connection of an acquired record, started if new; None if it turns out to be closed."""
        connection: Connection | None = record.owner_data
        if connection is None:
            return self.start_connecting(record, self.loop.this_task().wake)
        # The server may have closed it since the last epoll call. A write to a connection closed by the peer
        # ends as a reset, after which the request may have run.
        if connection.http.stream.is_open_and_quiet():
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
        """Get a connection, possibly still connecting, within the limit on waiting for one.

        ``record`` is what the plan has just returned.
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
                    # Not the server's fault.
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, f"no connection: {record.cause}")
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "cancelled")
                yield from self.wait_for_connection(server_id, min(wait_deadline, now + record.ms))
            record = self.plan.acquire(now_ms(), server_id, repeatable)

    def wait_for_connection(self, server_id: str, deadline: float) -> Steps[None]:
        """Wait until a connection to a server may have been released."""
        queue, waiter = self.waiters.setdefault(server_id, {}), object()
        queue[waiter] = wake = self.loop.this_task().wake
        timer = self.loop.at(deadline, wake)
        yield
        timer.cancel()
        queue.pop(waiter, None)
        if not queue and self.waiters.get(server_id) is queue:
            del self.waiters[server_id]

    def wake_next_waiter(self, server_id: str) -> None:
        """Wake the request that has waited longest for a server."""
        queue = self.waiters.get(server_id)
        if queue:
            queue.pop(next(iter(queue)))()

    def start_connecting(self, record: ConnectionRecord, notify: Callable[[], object]) -> Connection | AttemptResult:
        """Start opening a connection."""
        address: Any = record.server.address
        stream = connect(self.loop, address, notify)
        if isinstance(stream, OSError):
            failure = ConnectFailure.OURS if stream.errno in RESOURCE_ERRNOS else ConnectFailure.REFUSED
            return self.report_connect_failure(record, failure, str(stream))
        self.counts.add("connections", "to_servers")
        return Connection(record, HttpClientConnection(stream))

    def report_connect_failure(self, record: ConnectionRecord, failure: ConnectFailure, reason: str) -> AttemptResult:
        """Report a connection that was not established to the plan, and return the result for the decision module."""
        server_dead = self.plan.on_connect_failed(now_ms(), record, failure)
        self.loop.after(0.0, self.close_retired)
        self.wake_next_waiter(record.server.id)
        return AttemptResult(Ending.CONNECT_FAILED if server_dead else Ending.MOOT, AttemptProgress.UNWRITTEN, reason)

    def wait_until_connected(
        self, connection: Connection, deadline: float, timers: list[Timer], is_cancelled: Callable[[], bool]
    ) -> Steps[AttemptResult | None]:
        """Wait until a new connection is established; nothing is written before."""
        stream, record = connection.http.stream, connection.record
        wait_deadline = now_ms() + self.connect_timeout_ms
        timers.append(self.loop.at(wait_deadline, stream.notify))
        while stream.connecting and not stream.ended:
            if is_cancelled() or now_ms() >= deadline:
                self.plan.on_connect_failed(now_ms(), record, ConnectFailure.LEFT)
                if is_cancelled():
                    return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "cancelled")
                return AttemptResult(Ending.MOOT, AttemptProgress.UNWRITTEN, "no time left to connect")  # it never ran
            if now_ms() >= wait_deadline:
                return self.report_connect_failure(record, ConnectFailure.SILENT, "connect timed out")
            yield
        if stream.ended:
            # A reset while connecting means that a live server accepted it; a refusal, that nobody listens.
            return self.report_connect_failure(
                record, classify_connect_error(stream.error), f"connection refused ({stream.error})"
            )
        self.plan.on_opened(now_ms(), record)
        return None

    def read_response(
        self,
        connection: Connection,
        deadline: float,
        timers: list[Timer],
        is_cancelled: Callable[[], bool],
        deliver_by: float = NEVER,
    ) -> Steps[AttemptResult]:
        """Wait for the response; it counts only when complete, or when the caller has to stream the rest.

        A request that has not reached the server's machine as a whole at ``deliver_by`` (Unix ms) is given up: a
        server that reads slowly would run it after its time.
        """
        http, stream, record = connection.http, connection.http.stream, connection.record
        hold_until = 0.0
        while True:
            reply = http.read_response()
            if reply is None and http.has_unknown_length:
                if not hold_until:
                    hold_until = now_ms() + min(MAX_HOLD_MS, (deadline - now_ms()) / 2.0)
                    timers.append(self.loop.at(hold_until, stream.notify))
                elif now_ms() >= hold_until and self.is_served(http):
                    reply = http.start_streaming()
            progress = AttemptProgress.UNWRITTEN if stream.outgoing else AttemptProgress.WRITTEN
            if isinstance(reply, StreamingResponse):  # the caller streams the rest
                verdict = self.codec.verdict(HttpResponse(reply.status, reply.headers, b""))
                return AttemptResult(
                    verdict.ending,
                    AttemptProgress.ANSWERED,
                    f"status {reply.status}",
                    reply,
                    verdict.report,
                    verdict.used,
                )
            if isinstance(reply, HttpResponse):
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
            if isinstance(reply, HttpError) and progress and not stream.ended:
                # A malformed response comes from a live server: an error of one request. Reported as a reset it would
                # count as the server's death, and the decision module would avoid it and treat it as cold.
                self.counts.add("servers", "spoilt_answers")
                if reply.reason == "answer too large":  # log the first one for on-call: over 64 MiB declared
                    if not self.counts.get("servers", "too_large"):
                        self.loop.log(
                            f"response of server {record.server.id} exceeds the size limit; treated as an error"
                        )
                    self.counts.add("servers", "too_large")
                return AttemptResult(Ending.ERROR, progress, reply.reason)
            if isinstance(reply, HttpError) or (stream.ended and not http.reader.deferred):
                # If a connection breaks before the last byte is written, nothing ran. Only a failed connect is
                # evidence about the server: this connection may have been closed as idle.
                if not http.head:
                    self.counts.add("connections", "broken_when_used_again", record.idle_ms >= 0.0)
                    self.plan.on_broken(now_ms(), record)
                ending = Ending.RESET if progress else Ending.MOOT
                return AttemptResult(ending, progress, reply.reason if reply else f"broken ({stream.error})")
            if is_cancelled():
                return AttemptResult(Ending.CANCELLED, progress, "cancelled")
            if now_ms() >= deliver_by:
                deliver_by = NEVER
                if stream.has_undelivered_bytes():
                    # Bytes that are sent and not acknowledged may have arrived: the request may run.
                    ending = Ending.CANCELLED if progress else Ending.MOOT
                    return AttemptResult(ending, progress, "not delivered in time to be sent again")
            if now_ms() >= deadline:
                if not http.head:
                    self.plan.on_response_timeout(now_ms(), record)
                return AttemptResult(Ending.TIMEOUT, progress, "no answer in time")
            yield

    def is_served(self, http: HttpClientConnection) -> bool:
        """Return whether the head of a response that is not complete yet says that the request was served."""
        if http.head is None:
            return False
        return self.codec.verdict(HttpResponse(http.head.status_code, http.headers, b"")).ending is Ending.OK

    # Connections

    def release(self, connection: Connection, keep: bool, cause: str) -> None:
        """Keep a connection for the next attempt or close it; a failed connect is already counted."""
        record = connection.record
        if record.state is ConnectionState.OPENING:
            self.plan.on_connect_failed(now_ms(), record, ConnectFailure.LEFT)  # internal error while connecting
        if record.state is ConnectionState.BUSY and self.plan.release(now_ms(), record, keep, cause):
            connection.http.stream.notify = lambda: self.on_idle_event(connection)
        else:
            connection.http.stream.give_up()
        if self.plan.closing:
            self.loop.after(0.0, self.close_retired)  # deferred: a handler may only close its own descriptor
        if self.waiters:
            self.wake_next_waiter(record.server.id)

    def on_idle_event(self, connection: Connection) -> None:
        """Drop an idle connection on any event: only a close or unsolicited data can arrive."""
        stream = connection.http.stream
        if stream.incoming:  # extra response or junk; not a close, so nothing to learn about the idle limit
            self.counts.add("servers", "unasked_bytes")
            self.plan.on_unsolicited_data(now_ms(), connection.record)
        else:
            self.plan.on_idle_closed(now_ms(), connection.record)
        stream.close()

    def close_retired(self) -> None:
        """Close the connections that the plan has retired."""
        for record, _ in self.plan.closing:
            if record.owner_data is not None:
                record.owner_data.http.stream.close()
        self.plan.closing.clear()

    def tick(self) -> None:
        """Run the periodic work of the plan and preconnect."""
        self.loop.after(TICK_MS, self.tick)
        for record in self.plan.tick(now_ms()):
            self.preconnect(record)
        self.close_retired()

    def preconnect(self, record: ConnectionRecord) -> None:
        """Open a connection in advance, before a request needs it."""
        connection = self.start_connecting(record, lambda: self.on_preconnect_event(record, timer))
        if isinstance(connection, Connection):
            timer = self.loop.after(self.connect_timeout_ms, lambda: self.on_preconnect_timeout(record))

    def on_preconnect_event(self, record: ConnectionRecord, timer: Timer) -> None:
        """Handle the outcome of a preconnect: release the connection, or report the failure."""
        stream = record.owner_data.http.stream
        timer.cancel()
        if stream.ended:
            self.report_connect_failure(record, classify_connect_error(stream.error), "preconnect failed")
            stream.close()
        elif not stream.connecting:
            self.plan.on_opened(now_ms(), record)
            self.release(record.owner_data, True, "")

    def on_preconnect_timeout(self, record: ConnectionRecord) -> None:
        """Abandon a preconnect that exceeds the connect timeout."""
        self.report_connect_failure(record, ConnectFailure.SILENT, "preconnect timed out")
        record.owner_data.http.stream.close()

    def sync_servers(self) -> None:
        """Update the plan from the server list."""
        healthy = set(self.registry.healthy)
        for server_id in [server_id for server_id in self.plan.servers if server_id not in healthy]:
            self.plan.remove_server(server_id)
        now = now_ms()
        for server_id in healthy:
            self.plan.add_server(
                now, server_id, self.registry.addresses[server_id], self.registry.started.get(server_id)
            )
        self.loop.after(0.0, self.close_retired)

    def describe(self) -> list[str]:
        """Return the state of all connections as text lines."""
        return self.plan.snapshot(now_ms())


def classify_connect_error(error: int) -> ConnectFailure:
    """Map the error of a failed connect to its reason."""
    return ConnectFailure.RESET if error == errno.ECONNRESET else ConnectFailure.REFUSED
