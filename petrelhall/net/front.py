"""Where clients connect: takes their connections, answers on them, and ends them in good order."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable
from typing import Protocol

from petrelhall.net.counts import Counts
from petrelhall.net.http1 import Broken, Headers, Message, ServerSide
from petrelhall.net.loop import Loop, Steps, describe, now_ms
from petrelhall.net.platform import READY
from petrelhall.net.requests import Answer, Desk, Request
from petrelhall.net.stream import NEW_SOCKET, Address, Stream

BACKLOG = 1024
AT_ONCE = 64  # connections taken in one turn
PAUSE_MS = 20.0  # in which no connection is taken when there are no descriptors
HALF_MS = 10000.0  # within which a request that has begun to come must be whole
LINGER_MS = 500.0  # in which a client may read an answer that came before it had said all
ASK_TO_LEAVE_MS, CLOSE_MS = 450.0, 800.0  # after being told to end: clients still come for up to 400 ms


class Wording(Protocol):
    """The platform's way to read requests and word answers."""

    def request(self, message: Message) -> Request | Broken:
        """Read a request."""

    def answer(self, answer: Answer | Broken) -> tuple[int, Headers, bytes]:
        """Word an answer."""


class Client:
    """One client's connection."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http, self.busy, self.idle_since = stream, ServerSide(stream), False, now_ms()

    @property
    def gone(self) -> bool:
        """Tell whether the client has closed."""
        return self.stream.ended


class Front:
    """The listener and its clients."""

    def __init__(self, loop: Loop, address: Address, wording: Wording, desk: Desk, ready: Callable[[], bool],
                 counts: Counts, log: Callable[[str], None], most: int) -> None:
        self.loop, self.wording, self.desk, self.ready = loop, wording, desk, ready
        self.counts, self.log, self.most = counts, log, most
        self.clients: set[Client] = set()
        self.leaving = False  # clients are asked to leave with their next answer
        self.closing = False  # idle clients are closed
        self.on_empty: Callable[[], None] = lambda: None
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | NEW_SOCKET)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        self.accepting = self.starved = False
        self.accept_more()

    # Taking connections

    def accept_more(self) -> None:
        """Watch the listener."""
        if not self.accepting and not self.closing:
            self.accepting = True
            self.loop.register(self.listener.fileno(), select.EPOLLIN, self.on_ready)

    def accept_less(self) -> None:
        """Let connections wait in the kernel: a listener that is ready without end would spin."""
        if self.accepting:
            self.accepting = False
            self.loop.unregister(self.listener.fileno())

    def on_ready(self, mask: int) -> None:
        """Take what connections there are."""
        for _ in range(AT_ONCE):
            if not self.accept():
                return

    def accept(self) -> bool:
        """Take one connection; False where there is none, or no room."""
        if len(self.clients) >= self.most and not self.closing:
            self.accept_less()
            self.loop.after(0.0, self.make_room)
            return False
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                self.counts.add("connections", "no_descriptor")
                self.starved = True
                self.accept_less()
                self.loop.after(PAUSE_MS, self.make_room)
                return False
            return True  # that one has left already
        self.counts.add("connections", "from_clients")
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(Stream(self.loop, sock, lambda: None))
        self.clients.add(client)
        client.stream.notify = self.loop.spawn(self.converse(client)).wake
        return True

    def make_room(self) -> None:
        """Close the client that has been idle longest, where there are too many, and go on."""
        idle = [c for c in self.clients if not c.busy and not c.http.begun and not c.stream.incoming]
        if idle and len(self.clients) >= self.most:
            oldest = min(idle, key=lambda c: c.idle_since)
            oldest.stream.receive()
            if not oldest.stream.incoming:
                oldest.stream.end(0)
            oldest.stream.notify()
        if len(self.clients) >= self.most:
            self.loop.after(PAUSE_MS, self.make_room)
        else:
            self.accept_more()

    # Conversations

    def converse(self, client: Client) -> Steps[None]:
        """Serve one connection until either side ends it."""
        try:
            while (yield from self.exchange(client)):
                pass
        except Exception as error:  # one connection's fault is not the program's, and is answered
            self.counts.add("answered", "internal_error")
            self.log(f"connection failed: {describe(error)}")
            client.http.answer(500, [], b"internal error\n", True)
        finally:
            client.stream.close()
            self.clients.discard(client)
            if self.closing and not self.clients and not self.starved:
                self.on_empty()

    def exchange(self, client: Client) -> Steps[bool]:
        """Take one request and answer it; False ends the connection."""
        asked = yield from self.asked(client)
        if asked is None:
            return False
        client.busy = True
        answer: Answer | Broken | None
        if isinstance(asked, Message) and asked.target.partition(b"?")[0] == READY:
            status, body = (200, b"ready\n") if self.ready() and not self.leaving else (503, b"not ready\n")
            keep = client.http.answer(status, [], body, self.leaving)
        else:
            request = self.wording.request(asked) if isinstance(asked, Message) else asked
            if isinstance(request, Broken):
                self.counts.add("answered", f"bad_{request.status}")
                answer = request
            else:
                answer = yield from self.desk.serve(request, client)
                if answer is None:
                    return False
            last = self.leaving or isinstance(asked, Broken)
            keep = client.http.answer(*self.wording.answer(answer), last)
        yield from self.sent(client)
        if not keep:
            yield from self.linger(client)
        client.busy, client.idle_since = False, now_ms()
        return keep and not client.gone

    def asked(self, client: Client) -> Steps[Message | Broken | None]:
        """Wait for a whole request; None where the connection ends between requests."""
        half = None
        while True:
            asked = client.http.request()
            if asked is not None or client.gone:
                if half is not None:
                    half.cancel()
                return asked
            if client.http.begun and half is None:
                half = self.loop.after(HALF_MS, self.loop.this_task().wake)
            elif half is not None and now_ms() >= half.when:
                return Broken(408, "request did not come whole")
            if self.closing and not client.http.begun:
                # What the kernel already holds has been taken: it is answered before the connection ends.
                client.stream.receive()
                if not client.stream.incoming:
                    return None
                continue
            yield

    def sent(self, client: Client) -> Steps[None]:
        """Wait until an answer has gone out; a client that does not read it may not stay for ever."""
        if not client.stream.outgoing:
            return
        until = now_ms() + HALF_MS
        timer = self.loop.at(until, self.loop.this_task().wake)
        while client.stream.outgoing and not client.gone:
            if now_ms() >= until:
                client.stream.end(errno.ETIMEDOUT)
                break
            yield
        timer.cancel()

    def linger(self, client: Client) -> Steps[None]:
        """End our side first: closing on unread bytes would reset the connection and could eat the answer."""
        client.stream.finish_sending()
        until = now_ms() + LINGER_MS
        timer = self.loop.at(until, self.loop.this_task().wake)
        while not client.gone and now_ms() < until:
            client.stream.take()
            yield
        timer.cancel()

    # The end

    def stop(self) -> None:
        """Begin the end: serve on for as long as clients may still come, then end what is idle."""
        self.loop.after(ASK_TO_LEAVE_MS, self.ask_to_leave)
        self.loop.after(CLOSE_MS, self.close)

    def ask_to_leave(self) -> None:
        """Tell clients with their next answer that it is the last."""
        self.leaving = True

    def close(self) -> None:
        """Take the connections that the kernel holds, listen no more, and end the idle ones."""
        self.closing, self.starved = True, False
        self.accept_less()
        while self.accept():
            pass
        if self.starved:  # connections wait that there was no descriptor for: as some close, take them
            self.loop.after(PAUSE_MS, self.close)
        else:
            self.listener.close()
        for client in list(self.clients):
            client.stream.notify()
        if not self.clients and not self.starved:
            self.on_empty()
