"""HTTP/1.1 on a stream, both sides of it. h11 does the parsing; nothing here knows the platform's headers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from petrelhall.http.room import BodyBudget
from petrelhall.net.stream import Stream

MOST_BODY = 65536
MAX_REQUEST_BODY_BYTES = (
    1 << 25
) + MOST_BODY  # bytes of a client's body passed on as it comes: the platform's are up to 32 MB
MOST_FLOWING = 1 << 26  # bytes of an answer passed on as it comes: the platform's are up to 32 MB
MOST_INTERIM = 8  # answers of 1xx in front of the final one
Headers = list[tuple[bytes, bytes]]
OwnHeaders: Any = type(h11.Response(status_code=200, headers=[]).headers)
END = h11.EndOfMessage()  # made once, since h11 checks its headers, of which there are none, at each making


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request; the names of its headers are in lower case, and those that came twice are told."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    repeated: frozenset[bytes] = frozenset()
    streaming_body: StreamingBody | None = None  # in place of ``body``, where it is too large to keep


class StreamingBody:
    """A client's body that is passed on as it comes; ``length`` of the whole is None for chunks.

    ``spent`` from the first byte that a server was sent: what was passed on is not kept, and cannot go again.
    ``broken`` tells how it ended where it did not come whole.
    """

    __slots__ = ("source", "length", "first_bytes", "consumed", "error", "is_overdue")

    def __init__(self, source: HttpServerConnection, length: int | None, first: bytes) -> None:
        self.source, self.length = source, length
        self.first_bytes = first  # what had come of it, until that is passed on
        self.consumed = False
        self.error: HttpError | None = None
        self.is_overdue: Callable[[], bool] = lambda: False  # whether the client has run out of time to send

    def read(self) -> tuple[bytes, bool] | HttpError:
        """Give what more has come, and whether it is all."""
        if self.error is None:
            came = self.source.more_body()
            if not isinstance(came, HttpError):
                if came[0] or came[1] or not self.is_overdue():
                    return came
                came = HttpError(408, "body did not come whole")
            self.error = came
        return self.error


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class StreamingResponse:
    """An answer too large to keep: its head and first bytes, the rest still to come from ``source``.

    ``done`` is told, once, whether the rest came whole; ``length`` is None for an answer in chunks.
    """

    status: int
    headers: dict[bytes, bytes]
    first_bytes: bytes
    length: int | None
    source: HttpClientConnection
    on_done: Any = None
    claimed: bool = False


@dataclass(frozen=True, slots=True)
class HttpError:
    """The other side said something that cannot be used; ``status`` is what a client is to be told."""

    status: int
    reason: str


def by_name(head: h11.Request | h11.Response) -> dict[bytes, bytes]:
    """Give headers by their names in lower case; read raw, since h11's own sequence is slow to walk."""
    return {name.lower(): value for name, value in head.headers.raw_items()}


def repeated(head: h11.Request) -> frozenset[bytes]:
    """Give the names of the headers that came more than once."""
    times = Counter(name.lower() for name, _ in head.headers.raw_items())
    return frozenset(name for name, count in times.items() if count > 1)


def stated_length(headers: dict[bytes, bytes]) -> int | None:
    """Give the length that a head says its body has; h11 has seen to its being a number."""
    value = headers.get(b"content-length")
    return None if value is None else int(value)


def ambiguous(headers: dict[bytes, bytes]) -> bool:
    """Tell whether a head frames its body in two ways: two readers could see its end in two places."""
    return b"content-length" in headers and b"transfer-encoding" in headers


def gather(http: h11.Connection) -> tuple[bytes, Any]:
    """Give all of a body that has come, and the event that ends or interrupts it (h11.RemoteProtocolError)."""
    data = bytearray()
    while isinstance(event := http.next_event(), h11.Data):
        data += event.data
    return bytes(data), event


class HttpServerConnection:
    """The side that takes requests, one at a time.

    With ``room``, bodies over MOST_BODY are kept while that has some, and passed on as they come from there.
    """

    __slots__ = ("stream", "http", "asked", "headers", "body", "room", "vet", "held", "come")

    def __init__(
        self,
        stream: Stream,
        room: BodyBudget | None = None,
        vet: Callable[[HttpRequest], object] = lambda message: None,
    ) -> None:
        self.stream, self.http, self.room = stream, h11.Connection(h11.SERVER), room
        self.vet = vet  # reads a head before its large body is waited for: a Broken is answered at once
        self.asked: h11.Request | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.held = self.come = 0  # bytes of room taken for this body; bytes of it that have come

    def read_request(self) -> HttpRequest | HttpError | None:
        """Give the next request once it is whole, or as much of it as is kept."""
        if self.stream.incoming:
            self.http.receive_data(self.stream.take())
        elif not self.http.trailing_data[0]:
            return None  # nothing new: asking h11 costs as much as parsing a head does
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.encourage()
                    return None
                if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return None
                if isinstance(event, h11.Request):
                    self.asked, self.headers, self.come = event, by_name(event), 0
                    self.body.clear()
                    if not event.http_version.startswith(b"1."):
                        return HttpError(400, "another version of HTTP")
                    if ambiguous(self.headers):  # another request may hide in its body
                        return HttpError(400, "both Content-Length and Transfer-Encoding")
                    if (stated_length(self.headers) or 0) > MOST_BODY:
                        wrong = self.refused()
                        if wrong is not None:
                            return wrong
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.come += len(event.data)
                    if self.come > MOST_BODY and not self.keeps():
                        wrong = self.refused()
                        return wrong or self.message(True)
                elif isinstance(event, h11.EndOfMessage) and self.asked is not None:
                    return self.message(False)
        except h11.RemoteProtocolError as error:
            return HttpError(error.error_status_hint, str(error))

    def refused(self) -> HttpError | None:
        """Say why a request with a large body goes no further, as soon as that is known."""
        if self.room is None or max(self.come, stated_length(self.headers) or 0) > MAX_REQUEST_BODY_BYTES:
            return HttpError(413, "body too large")
        wrong = self.vet(self.word(b"-", None))
        return wrong if isinstance(wrong, HttpError) else None

    def keeps(self) -> bool:
        """Take room for what has come of a body, at once for all of it where its length is stated."""
        wanted = max(self.come, stated_length(self.headers) or 0) - self.held
        if self.room is None or (wanted > 0 and not self.room.reserve(wanted, self.held)):
            return False
        self.held += max(0, wanted)
        return True

    def release_body(self) -> None:
        """Give back the room that a request's body took: it is answered, or its connection has ended."""
        if self.room is not None and self.held:
            self.room.release(self.held)
        self.held = 0
        self.body.clear()

    def message(self, flows: bool) -> HttpRequest:
        """Give the request that has come, whole or with the rest of its body to follow."""
        body = bytes(self.body)
        rest = StreamingBody(self, stated_length(self.headers), body) if flows else None
        message = self.word(b"" if flows else body, rest)
        self.body.clear()
        self.asked = None
        return message

    def word(self, body: bytes, streaming_body: StreamingBody | None) -> HttpRequest:
        """Put the head that was read and a body together."""
        asked = self.asked
        assert asked is not None
        twice = len(self.headers) < len(asked.headers)
        return HttpRequest(
            asked.method, asked.target, self.headers, body, repeated(asked) if twice else frozenset(), streaming_body
        )

    def more_body(self) -> tuple[bytes, bool] | HttpError:
        """Give what more has come of a body that is passed on, and whether it is all."""
        if self.stream.incoming:
            self.http.receive_data(self.stream.take())
        try:
            data, event = gather(self.http)
        except h11.RemoteProtocolError as error:
            return HttpError(error.error_status_hint, str(error))
        self.come += len(data)
        if self.come > MAX_REQUEST_BODY_BYTES:
            return HttpError(413, "body too large")
        if event is h11.NEED_DATA:
            self.encourage()
            return data, False
        return (data, True) if isinstance(event, h11.EndOfMessage) else HttpError(400, "body cut off")

    @property
    def receiving_body(self) -> bool:
        """Tell whether a body is still coming, in good form so far."""
        return self.http.their_state is h11.SEND_BODY

    def encourage(self) -> None:
        """Let a client go on that waits for leave to send its body."""
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def request_started(self) -> bool:
        """Tell whether a part of a request has come."""
        return bool(self.stream.incoming or self.asked or self.http.trailing_data[0])

    def send_response(self, status: int, headers: Headers, body: bytes, last: bool) -> bool:
        """Write a whole answer and tell whether the connection can carry another request."""
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        if last:
            fields.append((b"Connection", b"close"))
        try:
            data = self.http.send(h11.Response(status_code=status, headers=fields)) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(END) or b""
        except h11.LocalProtocolError:
            return False
        self.stream.write(data)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def send_head(self, status: int, headers: Headers, length: int | None, last: bool) -> None:
        """Write the head of an answer whose body follows in pieces: with its length, or in chunks."""
        fields = [
            *headers,
            (b"Content-Length", b"%d" % length) if length is not None else (b"Transfer-Encoding", b"chunked"),
        ]
        if last:
            fields.append((b"Connection", b"close"))
        self.stream.write(self.http.send(h11.Response(status_code=status, headers=fields)) or b"")

    def send_body(self, data: bytes, end: bool) -> bool:
        """Write a piece of the body, and at its end tell whether the connection can carry another request."""
        if data:
            self.stream.write(self.http.send(h11.Data(data=data)) or b"")
        if not end:
            return False
        self.stream.write(self.http.send(END) or b"")
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def send(self, event: h11.InformationalResponse) -> None:
        """Write something that is no answer yet."""
        self.stream.write(self.http.send(event) or b"")


class HttpClientConnection:
    """The side that asks, one request at a time."""

    __slots__ = ("stream", "http", "head", "headers", "body", "interim", "flowed")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http, self.interim = stream, h11.Connection(h11.CLIENT), 0
        self.flowed = 0  # bytes of a flowing answer that have come
        self.head: h11.Response | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def send_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes = b"", more: bool = False
    ) -> None:
        """Write a request, or its beginning where there is ``more`` of its body to come.

        Its headers' names are tokens, its values were read by h11 or are our own numbers.
        """
        # In h11's own form they are not checked again, which costs more than writing them does.
        checked = OwnHeaders([(name, name.lower(), value) for name, value in headers])
        data = self.http.send(h11.Request(method=method, target=target, headers=checked)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        if not more:
            data += self.http.send(END) or b""
        self.stream.write(data)

    def send_body(self, data: bytes, end: bool) -> None:
        """Write more of a request's body, or its end."""
        out = self.http.send(h11.Data(data=data)) or b"" if data else b""
        if end:
            out += self.http.send(END) or b""
        self.stream.write(out)

    def read_response(self, most: int = MOST_BODY) -> HttpResponse | StreamingResponse | HttpError | None:
        """Give the answer once it is whole; what comes of half an answer is broken, never served."""
        if self.stream.incoming:
            self.http.receive_data(self.stream.take())
        elif not self.stream.ended:
            return None
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    if not self.stream.ended:
                        return None
                    if self.stream.error:  # a reset is no end, though the body may state no other
                        return HttpError(502, f"broken ({self.stream.error})")
                    self.http.receive_data(b"")  # what it cuts short is broken
                elif isinstance(event, h11.Response):
                    self.head, self.headers = event, by_name(event)
                    self.body.clear()
                    self.interim = 0
                    length = stated_length(self.headers)
                    if ambiguous(self.headers):
                        return HttpError(502, "answer whose end is told in two ways")
                    if (length or 0) > MOST_FLOWING:
                        return HttpError(502, "answer too large")
                    if (length or 0) > most:
                        return self.flowing(event, length)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > most:
                        return self.flowing(self.head, stated_length(self.headers))
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    head, self.head = self.head, None
                    return HttpResponse(head.status_code, self.headers, bytes(self.body))
                elif isinstance(event, h11.InformationalResponse) and self.interim < MOST_INTERIM:
                    self.interim += 1
                else:
                    return HttpError(502, "no answer")
        except h11.RemoteProtocolError as error:
            return HttpError(502, str(error))

    def flowing(self, head: h11.Response | None, length: int | None) -> StreamingResponse | HttpError:
        """Give what came of an answer too large to keep, to be passed on as the rest comes."""
        if head is None:
            return HttpError(502, "no answer")
        first = bytes(self.body)
        self.flowed = len(first)
        self.body.clear()
        return StreamingResponse(head.status_code, self.headers, first, length, self)

    def read_body(self) -> tuple[bytes, bool] | HttpError:
        """Give what more has come of a flowing answer, and whether it is all; broken where it was cut off."""
        if self.stream.incoming:
            self.http.receive_data(self.stream.take())
        try:
            data, event = gather(self.http)
            if event is h11.NEED_DATA and self.stream.ended:
                if self.stream.error:
                    return HttpError(502, f"broken ({self.stream.error})")
                self.http.receive_data(b"")  # what it cuts short is broken
                event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            return HttpError(502, str(error))
        self.flowed += len(data)
        if self.flowed > MOST_FLOWING:
            return HttpError(502, "answer without end")
        if event is h11.NEED_DATA:
            return data, False
        if not isinstance(event, h11.EndOfMessage):
            return HttpError(502, "answer cut off")
        self.head = None
        return data, True

    def start_next_cycle(self) -> bool:
        """Make ready for the next request; False where this connection cannot carry one."""
        stream = self.stream
        if stream.ended or stream.incoming or stream.outgoing or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True
