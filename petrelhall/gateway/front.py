"""The client-facing listener: accepts connections, serves requests on them and closes them gracefully."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from petrelhall.gateway.client import Client
from petrelhall.gateway.platform import HEALTH_PATH
from petrelhall.gateway.relay import relay_answer
from petrelhall.gateway.requests import Answer, Request, RequestHandler, Served
from petrelhall.http.h1 import (
    MAX_REQUEST_BODY_BYTES,
    Headers,
    HttpError,
    HttpRequest,
    StreamingBody,
    StreamingResponse,
)
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, describe, now_ms
from petrelhall.net.stream import MAX_UNREAD_BYTES, READ_CHUNK_BYTES, RESOURCE_ERRNOS, Address, Stream, bind_socket

LISTEN_BACKLOG = 1024
ACCEPTS_PER_TURN = 64
ACCEPT_PAUSE_MS = 20.0  # no connection is accepted for so long after the process ran out of descriptors

SWEEP_INTERVAL_MS = 200.0  # between two scans for connections whose time is up

# Connections closed at once at the limit of clients, or more while more clients wait; also the size of the batches in
# which idle connections are closed at the end.
EVICTION_BATCH = 8
MAX_EVICTION_SHARE = 0.25  # of the limit of clients: the most that are closed at once
# Time that a request has spent in the kernel's queue is subtracted from its deadline from this value on; an ordinary
# turn of the loop takes less.
MIN_QUEUEING_MS = 20.0
SEND_TIMEOUT_MS = 10000.0  # a client must have read its answer by then
LINGER_TIMEOUT_MS = 400.0  # for a client to read an answer that was sent before its request was complete
CROWDED_LINGER_TIMEOUT_MS = 50.0  # the same while other clients wait for the descriptor
# Both after the request to stop: new clients still arrive for up to 400 ms.
DRAIN_DELAY_MS = 450.0
LISTENER_CLOSE_DELAY_MS = 800.0
# After a handover and SIGTERM, idle connections are closed from HANDOVER_CLOSE_DELAY_MS on, within
# HANDOVER_CLOSE_DURATION_MS. A request that comes later than 0.7 s after SIGTERM goes to the new process, which has
# the time for a large answer. One that comes before learns from its answer that the connection closes.
HANDOVER_CLOSE_DELAY_MS = 450.0
HANDOVER_CLOSE_DURATION_MS = 150.0
IDLE_CLOSE_INTERVAL_MS = 5.0  # between two batches of idle connections that are closed, the longest idle first
# After SIGTERM, the old process of an upgrade is killed once the longest deadline (at most 3 s) and 0.7 s have passed.
# Requests accepted after SIGTERM must be answered before that, with time left to write the answer.
KILL_DEADLINE_CAP_MS = 3000.0
KILL_GRACE_MS = 700.0
ANSWER_WRITE_MS = 250.0


class ClientCodec(Protocol):
    """Translates between HTTP messages and the gateway's requests and answers."""

    def parse_request(self, message: HttpRequest) -> Request | HttpError:
        """Parse a client's request, or say why it is rejected."""

    def render_answer(self, answer: Answer | HttpError) -> tuple[int, Headers, bytes]:
        """Return the status, headers and body of an answer."""


@dataclass(frozen=True, slots=True)
class HealthStatus:
    """Answer to a health check."""

    healthy: bool


@dataclass(slots=True)
class Outcome:
    """What became of a request: its answer, and whether its connection closes after it (``last``).

    ``timed_out``: the request did not come whole in time.
    """

    answer: Answer | HttpError | HealthStatus
    last: bool
    timed_out: bool = False


class Listener:
    """Accepts clients on a listening socket and serves their requests."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        codec: ClientCodec,
        request_handler: RequestHandler,
        is_healthy: Callable[[], bool],
        counts: Counts,
        log: Callable[[str], None],
        max_clients: int,
    ) -> None:
        self.loop, self.codec, self.request_handler, self.is_healthy = loop, codec, request_handler, is_healthy
        self.counts, self.log, self.max_clients = counts, log, max_clients
        self.clients: set[Client] = set()
        self.request_ids: set[bytes] = set()  # of the requests in flight
        self.draining = False  # every answer says that its connection closes
        self.closing = False  # the listening socket is closed, or will be once its queue has been accepted
        self.closing_idle = False  # idle connections are closed
        self.lingering = 0  # connections shut down for sending and still drained
        self.handed_over = False  # a newer process accepts the new connections
        self.answer_by = float("inf")  # Unix ms by which every accepted request must be answered
        self.on_empty: Callable[[], None] = lambda: None
        self.listener = bind_socket(address)
        self.listener.listen(LISTEN_BACKLOG)
        self.accepting = self.out_of_descriptors = self.at_capacity = False
        # Unix ms: when the accept queue was last known to be empty, when the socket was last registered with the
        # loop, and when the loop last reported it as readable.
        self.queued_since = self.watched_since = self.readable_at = now_ms()
        self.accepted = 0  # connections accepted since the queue was last known to be empty
        self.resume_accepting()
        loop.after(SWEEP_INTERVAL_MS, self.sweep)

    # Accepting connections

    def resume_accepting(self) -> None:
        """Register the listening socket with the loop."""
        if not self.accepting and not self.closing:
            self.accepting, self.watched_since = True, now_ms()
            self.loop.register(self.listener.fileno(), select.EPOLLIN, self.on_readable)

    def pause_accepting(self) -> None:
        """Leave new connections in the kernel's queue; a socket that stays readable would make the loop spin."""
        if self.accepting:
            self.accepting = False
            self.loop.unregister(self.listener.fileno())

    def on_readable(self, mask: int) -> None:
        """Accept the waiting connections, up to ACCEPTS_PER_TURN."""
        # If there had been a connection at the poll before, that poll would have reported it.
        if max(self.watched_since, self.readable_at) < self.loop.previous_poll_at:
            self.queued_since, self.accepted = self.loop.earliest_ready_at, 0
        self.readable_at = self.loop.polled_at
        for _ in range(ACCEPTS_PER_TURN):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Accept one connection; returns False if none is waiting or none can be accepted now."""
        if len(self.clients) >= self.max_clients and not self.closing:
            self.pause_accepting()
            if not self.at_capacity:
                self.at_capacity = True
                self.loop.after(0.0, self.evict_clients)
            return False
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            self.queued_since, self.accepted = now_ms(), 0
            return False
        except OSError as error:
            if self.listener.fileno() < 0:  # the socket is closed: no connection can arrive any more
                return False
            if error.errno in RESOURCE_ERRNOS:
                self.counts.add("connections", "no_descriptor")
                self.out_of_descriptors = True
                self.pause_accepting()
                self.loop.after(ACCEPT_PAUSE_MS, self.evict_clients)
                return False
            return True  # this client has already disconnected
        self.counts.add("connections", "from_clients")
        self.accepted += 1
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, lambda: None)
        stream.end_on_peer_close, stream.max_unread = True, READ_CHUNK_BYTES
        stream.queued_since = self.queued_since
        stream.record_arrivals()
        client = Client(stream, self.codec.parse_request)
        self.clients.add(client)
        client.stream.notify = self.loop.spawn(self.serve_client(client)).wake
        return True

    def evict_clients(self) -> None:
        """Close some connections at the limit of clients, then resume accepting.

        Connections that never sent a request go first, the oldest before the others: hundreds of silent connections
        must not keep out clients with requests. Then follow incomplete requests, then the longest idle connections.
        """
        self.at_capacity = False
        if len(self.clients) >= self.max_clients:
            evictable = [client for client in self.clients if not client.busy]
            evictable.sort(key=lambda c: (c.answered, c.http.request_started, c.idle_since))
            # Close as many as were accepted since the queue was last empty: with hundreds waiting, batches of eight
            # would make them wait for seconds. Connections that still linger will free their descriptors in a
            # moment, so that many fewer are closed.
            wanted = max(EVICTION_BATCH, min(self.accepted, int(MAX_EVICTION_SHARE * self.max_clients)))
            evictable = evictable[: max(0, wanted - self.lingering)]
            for client in evictable:
                self.counts.add("connections", "made_room")
                self.evict(client)
            self.at_capacity = True
            self.loop.after(0.0 if evictable else ACCEPT_PAUSE_MS, self.evict_clients)
        else:
            self.resume_accepting()

    def evict(self, client: Client) -> None:
        """End a connection that is not busy; one whose next request waits for its turn ends with that answer."""
        if client.http.request_waiting:
            client.evicted = True
        else:
            client.expires_at = 0.0
        client.stream.notify()

    def sweep(self) -> None:
        """Wake the connections whose time is up; one periodic scan costs less than a timer for each of them."""
        self.loop.after(SWEEP_INTERVAL_MS, self.sweep)
        now = now_ms()
        for client in self.clients:
            if not client.busy and client.expires_at <= now:
                client.stream.notify()

    @property
    def is_answering(self) -> bool:
        """Whether a client has a request in flight or an answer that is not sent completely."""
        return any(client.busy for client in self.clients)

    # Serving connections

    def serve_client(self, client: Client) -> Steps[None]:
        """Serve one connection until either side closes it."""
        try:
            while (yield from self.handle_next_request(client)):
                pass
        except Exception as error:  # an error on one connection must not stop the program, and is answered
            self.counts.add("answered", "internal_error")
            self.log(f"connection failed: {describe(error)}")
            client.http.send_response(500, [], b"internal error\n", True)
            yield from self.linger(client)
        finally:
            client.stream.close()
            client.http.release_body()
            self.clients.discard(client)
            if self.closing and not self.clients and not self.out_of_descriptors:
                self.on_empty()

    def handle_next_request(self, client: Client) -> Steps[bool]:
        """Read one request and answer it; returns False if the connection is to be closed."""
        outcome = yield from self.serve_next_request(client)
        if outcome is None:
            return False
        answer = outcome.answer
        if isinstance(answer, Served) and isinstance(answer.reply, StreamingResponse):
            keep_alive = yield from relay_answer(self.loop, client, answer.reply, outcome.last)
        else:
            keep_alive = self.send_answer(client, answer, outcome.last)
        timed_out = outcome.timed_out
        # A slow client may keep its connection for long: it must not keep the answer in memory as well.
        del outcome, answer
        client.http.release_body()
        if client.stream.outgoing:
            yield from self.wait_until_sent(client)
        keep_alive = keep_alive and not client.stream.dropped_bytes
        if not keep_alive and not (self.at_capacity and timed_out):
            yield from self.linger(client, client.http.receiving_body)
        client.end_request()
        return keep_alive and not client.gone

    def serve_next_request(self, client: Client) -> Steps[Outcome | None]:
        """Read one request and return its answer; None if the connection is to be closed without one.

        Nothing refers to the request after this.
        """
        received = yield from self.next_request(client)
        if received is None:
            # A client that was never answered loses nothing by a reset, and there may be hundreds of them.
            if (self.draining or client.answered) and not client.gone:
                yield from self.close_gracefully(client)
            return None
        client.begin_request()
        if isinstance(received, HttpRequest) and received.target.partition(b"?")[0] == HEALTH_PATH:
            healthy = self.is_healthy() and not self.draining
            return Outcome(HealthStatus(healthy), self.draining or client.evicted)
        request = self.parse_request(client, received)
        if isinstance(request, HttpError):
            return self.reject(client, request, isinstance(received, HttpError))
        body_rest = received.streaming_body if isinstance(received, HttpRequest) else None
        try:
            self.begin_serving(client, request, body_rest)
            answer = yield from self.request_handler.serve(request, client)
        finally:
            self.end_serving(client, request, body_rest)
        if answer is None:
            return None
        # A body that the client broke off is the client's error, whatever became of the attempt.
        if body_rest is not None and body_rest.error is not None:
            self.counts.add("answered", f"bad_{body_rest.error.status}")
            return Outcome(body_rest.error, True, body_rest.error.status == 408)
        return Outcome(answer, self.is_last_answer(client))

    def parse_request(self, client: Client, received: HttpRequest | HttpError) -> Request | HttpError:
        """Return the request that a message contains, with the time that is left for it."""
        if isinstance(received, HttpError):
            return received
        request = self.codec.parse_request(received)
        if isinstance(request, HttpError):
            return request
        if received.streaming_body is None:
            arrived_at = client.stream.earliest_arrival_of(client.http.request_end)
            request = subtract_queueing_time(request, now_ms() - arrived_at)
        if request.remaining_ms > self.answer_by - now_ms():
            request = replace(request, remaining_ms=max(1.0, self.answer_by - now_ms()))
        if request.request_id in self.request_ids:
            # Only the duplicate is rejected; the first request proceeds.
            return HttpError(400, "a request of that name is in hand")
        return request

    def reject(self, client: Client, error: HttpError, unreadable: bool) -> Outcome:
        """Return the answer to an invalid request; the first one of each status is logged for the engineer on call.

        After what is ``unreadable`` no other request can be read.
        """
        if not self.counts.get("answered", f"bad_{error.status}"):
            self.log(f"first request answered {error.status}: {error.reason}")
        self.counts.add("answered", f"bad_{error.status}")
        return Outcome(error, unreadable or self.is_last_answer(client), unreadable and error.status == 408)

    def is_last_answer(self, client: Client) -> bool:
        """Return whether the connection can carry no request after the answer that is sent next."""
        return self.draining or client.evicted or client.http.receiving_body or client.stream.dropped_bytes > 0

    def begin_serving(self, client: Client, request: Request, body_rest: StreamingBody | None) -> None:
        """Mark a valid request as in flight, and prepare its connection."""
        self.request_ids.add(request.request_id)
        if body_rest is None:
            client.look_behind_request()
        else:
            self.start_streaming_body(client, body_rest)

    def end_serving(self, client: Client, request: Request, body_rest: StreamingBody | None) -> None:
        """Mark a request as no longer in flight."""
        self.request_ids.discard(request.request_id)
        if body_rest is not None:
            client.stream.max_unread, client.stream.drop_excess = MAX_UNREAD_BYTES, True

    def send_answer(self, client: Client, answer: Answer | HttpError | HealthStatus, last: bool) -> bool:
        """Send a complete answer; return whether the connection can carry another request."""
        if isinstance(answer, HealthStatus):
            status, body = (200, b"ready\n") if answer.healthy else (503, b"not ready\n")
            return client.http.send_response(status, [], body, last)
        return client.http.send_response(*self.codec.render_answer(answer), last)

    def next_request(self, client: Client) -> Steps[HttpRequest | HttpError | None]:
        """Wait for a complete request; returns None if the connection ends between requests."""
        while True:
            received = client.http.read_request()
            if received is not None or client.gone:
                return received
            if client.http.request_waiting:
                yield  # for its turn, whatever the time
                continue
            started, now = client.http.request_started, now_ms()
            if started and not client.request_started:
                client.start_request(now)
            if client.overdue() if started else now >= client.expires_at or self.closing_idle:
                if started:
                    return HttpError(408, "request did not come whole")
                # Read what the kernel already holds, so that it is answered before the connection closes. A client
                # accepted in this turn may have closed long ago right after its request; the close takes precedence.
                client.stream.poll()
                if not client.stream.incoming:
                    return None
                continue
            yield

    def start_streaming_body(self, client: Client, body_rest: StreamingBody) -> None:
        """Set up streaming of a request body: little of it is buffered, and the client must keep sending."""
        self.counts.add("answered", "bodies_passed_on")
        client.stream.max_unread, client.stream.drop_excess = self.loop.memory.bytes_per_stream, False
        body_rest.is_overdue = client.overdue

    def wait_until_sent(self, client: Client) -> Steps[None]:
        """Wait until the answer is written; a client that does not read it is dropped after SEND_TIMEOUT_MS."""
        until = now_ms() + SEND_TIMEOUT_MS
        timer = self.loop.at(until, self.loop.this_task().wake)
        while client.stream.outgoing and not client.gone:
            if now_ms() >= until:
                client.stream.end(errno.ETIMEDOUT)
                break
            yield
        timer.cancel()

    def linger(self, client: Client, sending: bool = False) -> Steps[None]:
        """Shut down our side and wait for the client to close.

        Closing a socket with unread bytes would reset the connection, and the client could lose the answer. If the
        client is still ``sending`` a body that is no longer needed, the body is read and discarded as long as it
        keeps the rate required of any body: many clients read the answer only after sending all of it.
        """
        client.stream.discard()
        while (
            sending
            and not self.at_capacity
            and not client.gone
            and not client.overdue()
            and client.bytes_seen - client.bytes_before_request < MAX_REQUEST_BODY_BYTES
        ):
            timer = self.loop.after(SWEEP_INTERVAL_MS, self.loop.this_task().wake)
            yield
            timer.cancel()
        client.stream.finish_sending()
        until = now_ms() + (CROWDED_LINGER_TIMEOUT_MS if self.at_capacity else LINGER_TIMEOUT_MS)
        timer = self.loop.at(until, self.loop.this_task().wake)
        self.lingering += 1
        try:
            while not client.gone and now_ms() < until:
                yield
        finally:
            self.lingering -= 1
            timer.cancel()

    def close_gracefully(self, client: Client) -> Steps[None]:
        """Close an idle connection, and count a request that crossed the close."""
        client.busy, received_before = True, client.stream.received
        yield from self.linger(client)
        if client.stream.received > received_before:
            self.counts.add("connections", "end_crossed_request")

    # Shutdown

    def hand_over(self) -> None:
        """Stop listening, since a newer process accepts the new connections, and drain the existing ones.

        Idle connections stay open for as long as is safe: closing them now would cross some clients' requests.
        """
        self.draining = self.handed_over = True
        self.close()

    def stop(self, longest_ms: float) -> None:
        """Begin the shutdown: keep serving while clients may still connect, then close idle connections.

        ``longest_ms`` is the longest deadline of any request class; the time at which the process is killed
        follows from it.
        """
        self.answer_by = now_ms() + min(longest_ms, KILL_DEADLINE_CAP_MS) + KILL_GRACE_MS - ANSWER_WRITE_MS
        self.request_handler.answer_all_by(self.answer_by)
        if self.handed_over:
            self.loop.after(HANDOVER_CLOSE_DELAY_MS, self.close_longest_idle)
        else:
            self.loop.after(DRAIN_DELAY_MS, self.start_draining)
            self.loop.after(LISTENER_CLOSE_DELAY_MS, self.close_idle_connections)

    def start_draining(self) -> None:
        """Mark every further answer as the last one on its connection."""
        self.draining = True

    def close_idle_connections(self) -> None:
        """Stop listening and close all idle connections at once."""
        self.closing_idle = True
        self.close()
        for client in list(self.clients):
            client.stream.notify()

    def close_longest_idle(self, batch: int = 0) -> None:
        """Close a batch of idle connections, the longest idle first, and schedule the next batch.

        Each connection is checked for a request right before it is closed. One with a partly received request is
        not idle: it closes with its answer. ``batch`` 0 stands for the first one, which sets the size of all.
        """
        idle = sorted(
            (client for client in self.clients if not client.busy and not client.http.request_started),
            key=lambda client: client.idle_since,
        )
        batches = int(HANDOVER_CLOSE_DURATION_MS / IDLE_CLOSE_INTERVAL_MS)
        batch = batch or max(EVICTION_BATCH, len(idle) // batches + 1)
        for client in idle[:batch]:
            client.expires_at = 0.0
            client.stream.notify()
        if idle:
            self.loop.after(IDLE_CLOSE_INTERVAL_MS, lambda: self.close_longest_idle(batch))

    def close(self) -> None:
        """Accept the connections left in the kernel's queue, then close the listening socket. Idempotent."""
        self.closing, self.out_of_descriptors = True, False
        self.pause_accepting()
        while self.accept():
            pass
        if self.out_of_descriptors:  # accept the remaining connections as descriptors become free
            self.loop.after(ACCEPT_PAUSE_MS, self.close)
        else:
            self.listener.close()
        if not self.clients and not self.out_of_descriptors:
            self.on_empty()


def subtract_queueing_time(request: Request, waited_ms: float) -> Request:
    """Subtract from a request's remaining time what it may have waited in the kernel since its last byte arrived.

    The client's deadline counts from that byte. Servers and the decision module must not be given more time than
    is left.
    """
    if waited_ms < MIN_QUEUEING_MS:
        return request
    return replace(request, remaining_ms=max(1.0, request.remaining_ms - waited_ms))
