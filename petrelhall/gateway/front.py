"""Where clients connect: takes their connections, answers on them, and ends them in good order."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from petrelhall.gateway.platform import READY
from petrelhall.gateway.requests import Answer, Request, RequestHandler, Served
from petrelhall.http.h1 import (
    MAX_REQUEST_BODY_BYTES,
    Headers,
    HttpError,
    HttpRequest,
    HttpServerConnection,
    StreamingBody,
    StreamingResponse,
)
from petrelhall.http.room import BodyBudget
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, describe, now_ms
from petrelhall.net.stream import MAX_UNREAD_BYTES, RESOURCE_ERRNOS, Address, Stream, bind_socket

BACKLOG = 1024
AT_ONCE = 64  # connections taken in one turn
PAUSE_MS = 20.0  # in which no connection is taken when there are no descriptors
# A first request must be whole within FIRST_MS of connecting, however slowly it trickles in, and a later one
# within WHOLE_MS of its first byte; a connection without a request is kept for IDLE_MS.
FIRST_REQUEST_TIMEOUT_MS, WHOLE_MS, IDLE_TIMEOUT_MS = 2200.0, 2200.0, 8000.0
# Beyond that, a request is given time for what it has sent: clients may send a body at 64 kB/s after a head of
# 2 s (the operators' days), so each byte come earns it the time of two at that pace. A trickle earns nothing.
MS_PER_BYTE = 2 * 1000.0 / 64000.0
SWEEP_INTERVAL_MS = 200.0  # between two looks for connections whose time is up
EVICTION_BATCH = 8  # connections ended at once where there are too many, and more while many are seen to wait
MOST_ROOM = 0.25  # of all clients: so many at most
# What a request has waited for in the kernel is taken off its time from here on; an ordinary turn takes less.
WAITED_MS = 20.0
SEND_MS = 10000.0  # in which a client must have read its answer
STALL_MS = 4000.0  # in which a flowing answer must move on, from the server and to the client
# An answer may flow for FLOW_MS, and for as long again as its bytes take at 4 kB/s: a trickle ends some time.
STREAM_TIMEOUT_MS, STREAM_MS_PER_BYTE = 30000.0, 1000.0 / 4000.0
LINGER_MS = 400.0  # in which a client may read an answer that came before it had said all
CROWDED_LINGER_TIMEOUT_MS = 50.0  # the same while others wait for its descriptor
ASK_TO_LEAVE_MS, LISTENER_CLOSE_DELAY_MS = 450.0, 800.0  # after being told to end: clients still come for up to 400 ms
# Where a newer process takes the new connections, idle ones stay until so long before the last answers are due:
# whoever asks again by then hears with its answer that the connection ends, and no end crosses a request.
LAST_ASK_MS = 700.0
PART_MS = 5.0  # between two lots of idle connections that are ended, the longest idle first
# After SIGTERM an upgrade's old process is killed once the longest deadline (3 s at most) and 0.7 s have passed:
# what is taken after being told to end must have its answer before then, with time to write it.
KILL_CAP_MS, KILL_AFTER_MS, WRITE_MS = 3000.0, 700.0, 250.0


class Wording(Protocol):
    """The platform's way to read requests and word answers."""

    def parse_request(self, message: HttpRequest) -> Request | HttpError:
        """Read a request."""

    def answer(self, answer: Answer | HttpError) -> tuple[int, Headers, bytes]:
        """Word an answer."""


class Client:
    """One client's connection."""

    def __init__(self, stream: Stream, room: BodyBudget, vet: Callable[[HttpRequest], object]) -> None:
        self.stream, self.http = stream, HttpServerConnection(stream, room, vet)
        self.busy = self.answered = self.begun = False  # one request in hand; any answered; the next begun
        self.since = now_ms()  # when it connected, or was last answered
        self.until = self.since + FIRST_REQUEST_TIMEOUT_MS  # when it is over, unless a request is whole by then
        self.counted = 0  # bytes of the stream that came before this request
        self.come, self.moved = 0, self.since  # bytes of it seen to have come, and when the last of them

    def overdue(self) -> bool:
        """Tell whether the time for a request that has begun is over: each byte earns some, silence none."""
        now, received = now_ms(), self.stream.received
        if received != self.come:
            self.come, self.moved = received, now
        earned = self.until + (received - self.counted) * MS_PER_BYTE
        return now >= min(earned, max(self.until, self.moved + STALL_MS))

    @property
    def gone(self) -> bool:
        """Tell whether the client has closed."""
        return self.stream.is_peer_closed()


class Listener:
    """The listener and its clients."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        wording: Wording,
        request_handler: RequestHandler,
        ready: Callable[[], bool],
        counts: Counts,
        log: Callable[[str], None],
        most: int,
        room: BodyBudget,
    ) -> None:
        self.room = room  # for bodies and large answers
        self.loop, self.wording, self.request_handler, self.ready = loop, wording, request_handler, ready
        self.counts, self.log, self.most = counts, log, most
        self.clients: set[Client] = set()
        self.names: set[bytes] = set()  # of the requests in hand
        self.leaving = False  # clients are asked to leave with their next answer
        self.closing = False  # the listener is closed, or closes as soon as all that it holds is taken
        self.parting = False  # idle clients are closed
        self.lingering = 0  # connections that are ended and still drained
        self.succeeded = False  # a newer process takes the new connections
        self.end_by = float("inf")  # Unix ms by which what is taken must be answered
        self.on_empty: Callable[[], None] = lambda: None
        self.listener = bind_socket(address)
        self.listener.listen(BACKLOG)
        self.accepting = self.starved = self.crowded = False
        self.queued_since = self.watched_at = self.ready_at = now_ms()  # known empty; watched; told of (Unix ms)
        self.accepted = 0  # connections taken since it was known to be empty
        self.accept_more()
        loop.after(SWEEP_INTERVAL_MS, self.sweep)

    # Taking connections

    def accept_more(self) -> None:
        """Watch the listener."""
        if not self.accepting and not self.closing:
            self.accepting, self.watched_at = True, now_ms()
            self.loop.register(self.listener.fileno(), select.EPOLLIN, self.on_ready)

    def accept_less(self) -> None:
        """Let connections wait in the kernel: a listener that is ready without end would spin."""
        if self.accepting:
            self.accepting = False
            self.loop.unregister(self.listener.fileno())

    def on_ready(self, mask: int) -> None:
        """Take what connections there are."""
        if max(self.watched_at, self.ready_at) < self.loop.previous_poll_at:  # the look before would have told of it
            self.queued_since, self.accepted = self.loop.earliest_ready_at, 0
        self.ready_at = self.loop.polled_at
        for _ in range(AT_ONCE):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Take one connection; False where there is none, or no room."""
        if len(self.clients) >= self.most and not self.closing:
            self.accept_less()
            if not self.crowded:
                self.crowded = True
                self.loop.after(0.0, self.make_room)
            return False
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            self.queued_since, self.accepted = now_ms(), 0
            return False
        except OSError as error:
            if self.listener.fileno() < 0:  # closed: nothing can come any more
                return False
            if error.errno in RESOURCE_ERRNOS:
                self.counts.add("connections", "no_descriptor")
                self.starved = True
                self.accept_less()
                self.loop.after(PAUSE_MS, self.make_room)
                return False
            return True  # that one has left already
        self.counts.add("connections", "from_clients")
        self.accepted += 1
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(self.loop, sock, lambda: None)
        stream.end_on_peer_close = stream.drop_excess = (
            True  # a client that leaves behind a flood has left all the same
        )
        stream.queued_since = self.queued_since
        client = Client(stream, self.room, self.wording.parse_request)
        self.clients.add(client)
        client.stream.notify = self.loop.spawn(self.converse(client)).wake
        return True

    def make_room(self) -> None:
        """Let go of some clients where there are too many, and go on.

        First those that never asked for anything, longest there first: hundreds that say nothing must not
        keep out those that ask. Then half requests, then whoever has been idle longest.
        """
        self.crowded = False
        if len(self.clients) >= self.most:
            free = [client for client in self.clients if not client.busy]
            free.sort(key=lambda c: (c.answered, c.http.request_started, c.since))
            # As many as have come without an end so far: where hundreds wait, eight at a time would let them wait
            # for seconds. Those that are being ended hold their descriptors for a moment more: that many fewer.
            wanted = max(EVICTION_BATCH, min(self.accepted, int(MOST_ROOM * self.most)))
            free = free[: max(0, wanted - self.lingering)]
            for client in free:
                self.counts.add("connections", "made_room")
                client.until = 0.0
                client.stream.notify()
            self.crowded = True
            self.loop.after(0.0 if free else PAUSE_MS, self.make_room)
        else:
            self.accept_more()

    def sweep(self) -> None:
        """Wake the connections whose time is up; one look at all costs less than a timer for each."""
        self.loop.after(SWEEP_INTERVAL_MS, self.sweep)
        now = now_ms()
        for client in self.clients:
            if not client.busy and client.until <= now:
                client.stream.notify()

    # Conversations

    def converse(self, client: Client) -> Steps[None]:
        """Serve one connection until either side ends it."""
        try:
            while (yield from self.exchange(client)):
                pass
        except Exception as error:  # one connection's fault is not the program's, and is answered
            self.counts.add("answered", "internal_error")
            self.log(f"connection failed: {describe(error)}")
            client.http.send_response(500, [], b"internal error\n", True)
            yield from self.linger(client)
        finally:
            client.stream.close()
            client.http.release_body()
            self.clients.discard(client)
            if self.closing and not self.clients and not self.starved:
                self.on_empty()

    def exchange(self, client: Client) -> Steps[bool]:
        """Take one request and answer it; False ends the connection."""
        asked = yield from self.asked(client)
        if asked is None:
            # Who was never answered has nothing to lose by a reset, and there may be hundreds of them.
            if (self.leaving or client.answered) and not client.gone:
                yield from self.part(client)
            return False
        client.busy = True
        answer: Answer | HttpError | None
        if isinstance(asked, HttpRequest) and asked.target.partition(b"?")[0] == READY:
            status, body = (200, b"ready\n") if self.ready() and not self.leaving else (503, b"not ready\n")
            keep = client.http.send_response(status, [], body, self.leaving)
        else:
            request = self.wording.parse_request(asked) if isinstance(asked, HttpRequest) else asked
            if isinstance(request, Request) and isinstance(asked, HttpRequest) and asked.streaming_body is None:
                request = without_wait(request, now_ms() - client.stream.earliest_arrival_at)
            if isinstance(request, Request) and request.left_ms > self.end_by - now_ms():
                request = replace(request, left_ms=max(1.0, self.end_by - now_ms()))
            if isinstance(request, Request) and request.request_id in self.names:
                request = HttpError(400, "a request of that name is in hand")  # which goes on undisturbed
            if isinstance(request, HttpError):
                if not self.counts.get("answered", f"bad_{request.status}"):  # the first of each, for on-call
                    self.log(f"first request answered {request.status}: {request.reason}")
                self.counts.add("answered", f"bad_{request.status}")
                answer = request
            else:
                rest = asked.streaming_body if isinstance(asked, HttpRequest) else None
                self.names.add(request.request_id)
                if rest is not None:
                    self.receive(client, rest)
                try:
                    answer = yield from self.request_handler.serve(request, client)
                finally:
                    self.names.discard(request.request_id)
                    if rest is not None:
                        self.room.active_streams -= 1
                        client.stream.max_unread, client.stream.drop_excess = MAX_UNREAD_BYTES, True
                if answer is None:
                    return False
                if rest is not None and rest.error is not None:  # its own doing, whatever became of the attempt
                    self.counts.add("answered", f"bad_{rest.error.status}")
                    answer = asked = rest.error
            last = (
                self.leaving
                or isinstance(asked, HttpError)
                or client.http.receiving_body
                or client.stream.dropped_bytes > 0
            )
            if isinstance(answer, Served) and isinstance(answer.reply, StreamingResponse):
                keep = yield from self.flow(client, answer.reply, last)
            else:
                keep = client.http.send_response(*self.wording.answer(answer), last)
        client.http.release_body()
        yield from self.sent(client)
        keep = keep and not client.stream.dropped_bytes
        if not keep and not (self.crowded and isinstance(asked, HttpError) and asked.status == 408):
            yield from self.linger(client, client.http.receiving_body)
        client.busy, client.answered, client.begun, client.since = False, True, False, now_ms()
        client.until, client.counted = client.since + IDLE_TIMEOUT_MS, client.stream.received
        return keep and not client.gone

    def asked(self, client: Client) -> Steps[HttpRequest | HttpError | None]:
        """Wait for a whole request; None where the connection ends between requests."""
        while True:
            asked = client.http.read_request()
            if asked is not None or client.gone:
                return asked
            begun, now = client.http.request_started, now_ms()
            if begun and not client.begun:
                client.begun = True
                if client.answered:
                    client.until = now + WHOLE_MS
            if client.overdue() if begun else now >= client.until or self.parting:
                if begun:
                    return HttpError(408, "request did not come whole")
                # What the kernel already holds is taken: it is answered before the connection ends. A client that
                # was accepted in this turn may have closed behind it long ago, which counts first.
                client.stream.poll()
                if not client.stream.incoming:
                    return None
                continue
            yield

    def receive(self, client: Client, rest: StreamingBody) -> None:
        """Make ready to pass a body on as it comes: little of it is held, and its client must go on sending."""
        self.counts.add("answered", "bodies_passed_on")
        self.room.active_streams += 1
        client.stream.max_unread, client.stream.drop_excess = self.room.bytes_per_stream, False
        rest.is_overdue = client.overdue

    def flow(self, client: Client, answer: StreamingResponse, last: bool) -> Steps[bool]:
        """Pass an answer on as it comes, reading the server only as fast as the client reads.

        A server that says nothing more for STALL_MS, or a client that reads nothing for as long, ends both: the
        client cannot be told otherwise that the rest will not come.
        """
        answer.claimed = True
        self.room.active_streams += 1
        source, wake = answer.source, self.loop.this_task().wake
        source.stream.notify, source.stream.max_unread = wake, self.room.bytes_per_stream
        kind = answer.headers.get(b"content-type")
        # Only answers that served are passed on: the status is the server's 200.
        client.http.send_head(answer.status, [(b"Content-Type", kind)] if kind else [], answer.length, last)
        data, whole, keep = answer.first_bytes, False, False
        stall, last_ms = now_ms() + STALL_MS, now_ms() + STREAM_TIMEOUT_MS
        timer = self.loop.at(stall, wake)
        try:
            while not client.gone:
                if data or whole:
                    keep = client.http.send_body(data, whole)
                    last_ms += len(data) * STREAM_MS_PER_BYTE
                    data, stall = b"", now_ms() + STALL_MS
                    timer.cancel()
                    timer = self.loop.at(stall, wake)
                    if whole:
                        return keep
                if len(client.stream.outgoing) < self.room.bytes_per_stream:
                    got = source.read_body()
                    if isinstance(got, HttpError):
                        break
                    data, whole = got
                    if data or whole:
                        continue
                if now_ms() >= min(stall, last_ms):
                    break
                yield
            client.stream.abort()  # cut off: to a client of HTTP/1.0, an orderly end would be the end of the answer
            return False
        finally:
            timer.cancel()
            self.room.active_streams -= 1
            source.stream.max_unread = MAX_UNREAD_BYTES
            answer.on_done(whole)

    def sent(self, client: Client) -> Steps[None]:
        """Wait until an answer has gone out; a client that does not read it may not stay for ever."""
        if not client.stream.outgoing:
            return
        until = now_ms() + SEND_MS
        timer = self.loop.at(until, self.loop.this_task().wake)
        while client.stream.outgoing and not client.gone:
            if now_ms() >= until:
                client.stream.end(errno.ETIMEDOUT)
                break
            yield
        timer.cancel()

    def linger(self, client: Client, sending: bool = False) -> Steps[None]:
        """End our side first: closing on unread bytes would reset the connection and could eat the answer.

        A client that is still ``sending`` a body nobody wants any more is heard out, for as long as it keeps up the
        pace of one that is wanted: many read the answer only then.
        """
        client.stream.discard()
        while (
            sending
            and not client.gone
            and not client.overdue()
            and client.come - client.counted < MAX_REQUEST_BODY_BYTES
        ):
            timer = self.loop.after(SWEEP_INTERVAL_MS, self.loop.this_task().wake)
            yield
            timer.cancel()
        client.stream.finish_sending()
        until = now_ms() + (CROWDED_LINGER_TIMEOUT_MS if self.crowded else LINGER_MS)
        timer = self.loop.at(until, self.loop.this_task().wake)
        self.lingering += 1
        try:
            while not client.gone and now_ms() < until:
                yield
        finally:
            self.lingering -= 1
            timer.cancel()

    def part(self, client: Client) -> Steps[None]:
        """End an idle connection of a process that leaves, and count the request that the end has crossed."""
        client.busy, came = True, client.stream.received
        yield from self.linger(client)
        if client.stream.received > came:
            self.counts.add("connections", "end_crossed_request")

    # The end

    def hand_over(self) -> None:
        """A newer process takes the new connections: listen no more, and ask clients to leave with each answer.

        Who is idle stays, for as long as it is known to be safe: ended at once, some ends would cross a request.
        """
        self.leaving = self.succeeded = True
        self.close()

    def stop(self, longest_ms: float) -> None:
        """Begin the end: serve on for as long as clients may still come, then end what is idle.

        ``longest_ms`` is the longest deadline of any class: with it the time of a kill is known.
        """
        self.end_by = now_ms() + min(longest_ms, KILL_CAP_MS) + KILL_AFTER_MS - WRITE_MS
        self.request_handler.end_all_by(self.end_by)
        if self.succeeded:
            self.loop.at(self.end_by - LAST_ASK_MS, self.part_some)
        else:
            self.loop.after(ASK_TO_LEAVE_MS, self.ask_to_leave)
            self.loop.after(LISTENER_CLOSE_DELAY_MS, self.close_idle_connections)

    def ask_to_leave(self) -> None:
        """Tell clients with their next answer that it is the last."""
        self.leaving = True

    def close_idle_connections(self) -> None:
        """Listen no more, and end the idle connections at once."""
        self.parting = True
        self.close()
        for client in list(self.clients):
            client.stream.notify()

    def part_some(self) -> None:
        """End a few idle connections, the longest idle first, and more soon: each is looked at right before.

        Whoever has begun a request is not idle: it ends with its answer.
        """
        idle = sorted(
            (client for client in self.clients if not client.busy and not client.http.request_started),
            key=lambda client: client.since,
        )
        for client in idle[:EVICTION_BATCH]:
            client.until = 0.0
            client.stream.notify()
        if idle:
            self.loop.after(PART_MS, self.part_some)

    def close(self) -> None:
        """Take the connections that the kernel holds, and listen no more; again, it changes nothing."""
        self.closing, self.starved = True, False
        self.accept_less()
        while self.accept():
            pass
        if self.starved:  # connections wait that there was no descriptor for: as some close, take them
            self.loop.after(PAUSE_MS, self.close)
        else:
            self.listener.close()
        if not self.clients and not self.starved:
            self.on_empty()


def without_wait(request: Request, waited_ms: float) -> Request:
    """Take off a request's time what it has waited for in the kernel since its last byte may have come.

    A client counts its time from that byte. Servers and the module must not be told more than is left of it.
    """
    if waited_ms < WAITED_MS:
        return request
    return replace(request, left_ms=max(1.0, request.left_ms - waited_ms))
