"""HTTP/1.1 client and server connections on a stream; h11 does the parsing. The platform's headers are unknown here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from petrelhall.http.reader import DEFERRED, UNAVAILABLE_STATUS, EventReader, check_header_count
from petrelhall.net.memory import MAX_BUFFERED_BODY_BYTES, MIN_SHARE_BYTES
from petrelhall.net.stream import Stream

SMALL_BODY_BYTES = 65536  # larger bodies are streamed where there is no memory to buffer them
# The rest of a body that is waited for in the kernel, which saves memory and turns; less is read as it comes.
MIN_AWAITED_BYTES = 4096
MAX_REQUEST_BODY_BYTES = (1 << 25) + SMALL_BODY_BYTES  # of a streamed request body: the platform allows 32 MB
MAX_RESPONSE_BODY_BYTES = 1 << 26  # of a streamed response: the platform allows 32 MB
MAX_INTERIM_RESPONSES = 8  # 1xx responses before the final one
Headers = list[tuple[bytes, bytes]]
ValidatedHeaders: Any = type(h11.Response(status_code=200, headers=[]).headers)
END_OF_MESSAGE = h11.EndOfMessage()  # shared: h11 checks its (empty) headers each time one is constructed


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request; header names are lower case, and ``repeated`` names those that occur more than once."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    repeated: frozenset[bytes] = frozenset()
    streaming_body: StreamingBody | None = None  # replaces ``body`` if that is too large to buffer


class StreamingBody:
    """A request body that is streamed to the server; ``length`` is None for a chunked body.

    ``consumed`` is set once the first byte was sent to a server: streamed bytes are not kept, so there is no retry.
    ``error`` says why the body ended if it is incomplete.
    """

    __slots__ = ("source", "length", "first_bytes", "consumed", "error", "is_overdue")

    def __init__(self, source: HttpServerConnection, length: int | None, first_bytes: bytes) -> None:
        self.source, self.length = source, length
        self.first_bytes = first_bytes  # received before streaming began, until they are sent on
        self.consumed = False
        self.error: HttpError | None = None
        self.is_overdue: Callable[[], bool] = lambda: False  # whether the client has exceeded its time to send

    def begin(self) -> None:
        """Forget the first bytes: they were written to a server, and the rest follows."""
        self.consumed, self.first_bytes = True, b""
        self.source.release_body()

    def read(self) -> tuple[bytes, bool] | HttpError:
        """Return the bytes received since the last call and whether the body is complete."""
        if self.error is None:
            received = self.source.read_more_body()
            if not isinstance(received, HttpError):
                if received[0] or received[1] or not self.is_overdue():
                    return received
                received = HttpError(408, "body did not come whole")
            self.error = received
        return self.error

    def is_drained(self) -> bool:
        """Return whether all that the client has sent so far was read."""
        return not self.source.reader.deferred and self.source.stream.is_open_and_quiet()


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class StreamingResponse:
    """A response too large to buffer: its head and first bytes; the rest is read from ``source``.

    ``on_done`` is called once, with whether the rest arrived in full; ``length`` is None for a chunked response.
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
    """An unusable message of the peer; ``status`` is the status to send to a client."""

    status: int
    reason: str


def validated(headers: Headers) -> Any:
    """Return headers in h11's own type, which h11 does not validate again: that would cost more than writing them.

    Names must be valid tokens; values must have been parsed by h11 or be numbers and constants of our own.
    """
    return ValidatedHeaders([(name, name.lower(), value) for name, value in headers])


def headers_by_name(head: h11.Request | h11.Response) -> dict[bytes, bytes]:
    """Return headers by lower-case name, from ``raw_items``, since iterating over h11's own sequence is slow."""
    return {name.lower(): value for name, value in head.headers.raw_items()}


def repeated_headers(head: h11.Request) -> frozenset[bytes]:
    """Return the names of headers that occur more than once."""
    occurrences = Counter(name.lower() for name, _ in head.headers.raw_items())
    return frozenset(name for name, count in occurrences.items() if count > 1)


def content_length(headers: dict[bytes, bytes]) -> int | None:
    """Return the Content-Length, if any; h11 has checked that it is a number."""
    value = headers.get(b"content-length")
    return None if value is None else int(value)


def ambiguous_framing(headers: dict[bytes, bytes]) -> bool:
    """Return whether the body is framed in two ways, so that two parsers could see its end in different places."""
    return b"content-length" in headers and b"transfer-encoding" in headers


def read_available(reader: EventReader) -> tuple[bytes, Any]:
    """Return the body bytes received and the event that ends or interrupts them (h11.RemoteProtocolError)."""
    data = bytearray()
    while isinstance(event := reader.next_event(), h11.Data):
        data += event.data
    return bytes(data), event


class HttpServerConnection:
    """The server side of a connection, reading one request at a time.

    Bodies over SMALL_BODY_BYTES are buffered while the memory budget allows. Beyond that they are streamed with
    ``streams_bodies``, and rejected without.
    """

    __slots__ = (
        "stream",
        "reader",
        "http",
        "head",
        "headers",
        "body",
        "streams_bodies",
        "check_head",
        "stated_length",
        "body_received",
        "request_end",
    )

    def __init__(
        self,
        stream: Stream,
        streams_bodies: bool = False,
        check_head: Callable[[HttpRequest], object] = lambda message: None,
    ) -> None:
        self.stream, self.reader, self.streams_bodies = stream, EventReader(stream, h11.SERVER), streams_bodies
        self.http = self.reader.http
        self.check_head = check_head  # checks a head before its large body is read; an HttpError is answered at once
        self.head: h11.Request | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.stated_length = 0  # the Content-Length of the request that is being received, 0 if it states none
        self.body_received = 0  # bytes
        self.request_end = 0  # bytes of the connection up to the end of the request that was last complete

    def read_request(self) -> HttpRequest | HttpError | None:
        """Return the next request once it is complete, or once its body has to be streamed.

        One request is returned in each turn of the event loop: a client that sends many at once waits its turn.
        """
        if not self.reader.has_input:
            return None  # nothing new: asking h11 would cost as much as parsing a head
        try:
            while True:
                event = self.reader.next_event()
                if event is h11.NEED_DATA:
                    self.send_continue()
                    if self.head is not None:
                        self.await_body()
                    return None
                if event is DEFERRED or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                    return None
                if isinstance(event, h11.Request):
                    check_header_count(event)
                    self.head, self.headers, self.body_received = event, headers_by_name(event), 0
                    self.body.clear()
                    if not event.http_version.startswith(b"1."):
                        return HttpError(400, "another version of HTTP")
                    if ambiguous_framing(self.headers):  # request smuggling: the body could hide another request
                        return HttpError(400, "both Content-Length and Transfer-Encoding")
                    length = self.stated_length = content_length(self.headers) or 0
                    if length:
                        self.reader.expect_body(length)
                    if length > SMALL_BODY_BYTES:
                        rejection = self.rejection()
                        if rejection is not None:
                            return rejection
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    self.body_received += len(event.data)
                    # A body within the least share is counted only if the rest of it is waited for.
                    size = max(self.body_received, self.stated_length)
                    if size > MIN_SHARE_BYTES and not self.reserve_memory():
                        return self.rejection() or self.stream_body()
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    return self.finish_request(False)
        except h11.RemoteProtocolError as error:
            return HttpError(error.error_status_hint, str(error))

    def rejection(self) -> HttpError | None:
        """Return why a request with a large body is rejected, as early as that is known."""
        if not self.streams_bodies or max(self.body_received, self.stated_length) > MAX_REQUEST_BODY_BYTES:
            return HttpError(413, "body too large")
        rejection = self.check_head(self.build_request(b"-", None))
        return rejection if isinstance(rejection, HttpError) else None

    def await_body(self) -> None:
        """Leave the rest of a body in the kernel until it is complete there, or as much as is buffered of any body."""
        self.stream.hold_body(self.body_received)
        awaited = min(self.stated_length, SMALL_BODY_BYTES + 1) - self.body_received
        if awaited >= MIN_AWAITED_BYTES and not self.stream.incoming:
            self.stream.wait_for(awaited)

    def reserve_memory(self) -> bool:
        """Reserve memory for the received part of a body, or for all of a large one if its length is stated."""
        length = self.stated_length
        needed = max(self.body_received, length if length > SMALL_BODY_BYTES else 0)
        stream = self.stream
        if needed <= stream.body_bytes:
            return True
        if needed > min(MAX_BUFFERED_BODY_BYTES, stream.memory.share_bytes):
            return False
        stream.hold_body(needed)
        return True

    def stream_body(self) -> HttpRequest | HttpError:
        """Return a request whose body is streamed; a small one is not, which would hold up a server for little."""
        if max(self.body_received, self.stated_length) <= SMALL_BODY_BYTES:
            return HttpError(UNAVAILABLE_STATUS, "no memory for the body")
        return self.finish_request(True)

    def release_body(self) -> None:
        """Release the memory of a body: it is sent, the request is answered or the connection has ended."""
        self.stream.release_body()
        self.body.clear()

    def finish_request(self, streamed: bool) -> HttpRequest:
        """Return the request received: complete, or with the rest of its body to be streamed."""
        body = bytes(self.body)
        streaming_body = StreamingBody(self, content_length(self.headers), body) if streamed else None
        message = self.build_request(b"" if streamed else body, streaming_body)
        self.body.clear()
        self.head = None
        if not streamed:
            self.request_end = self.reader.end_message()
        return message

    def build_request(self, body: bytes, streaming_body: StreamingBody | None) -> HttpRequest:
        """Build a request from the head that was read and a body."""
        head = self.head
        assert head is not None
        has_repeated = len(self.headers) < len(head.headers)
        return HttpRequest(
            head.method,
            head.target,
            self.headers,
            body,
            repeated_headers(head) if has_repeated else frozenset(),
            streaming_body,
        )

    def read_more_body(self) -> tuple[bytes, bool] | HttpError:
        """Return the bytes of a streamed body received since the last call and whether it is complete."""
        try:
            data, event = read_available(self.reader)
        except h11.RemoteProtocolError as error:
            return HttpError(error.error_status_hint, str(error))
        self.body_received += len(data)
        if self.body_received > MAX_REQUEST_BODY_BYTES:
            return HttpError(413, "body too large")
        if event is h11.NEED_DATA:
            self.send_continue()
            return data, False
        if event is DEFERRED:
            return data, False
        if not isinstance(event, h11.EndOfMessage):
            return HttpError(400, "body cut off")
        self.reader.end_message()
        return data, True

    @property
    def receiving_body(self) -> bool:
        """Whether a body is still being received, without errors so far."""
        return self.http.their_state is h11.SEND_BODY

    def send_continue(self) -> None:
        """Send 100 Continue if the client waits for it before sending its body."""
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def request_started(self) -> bool:
        """Whether a part of a request has been received."""
        return bool(self.stream.incoming or self.head or self.http.trailing_data[0])

    @property
    def request_waiting(self) -> bool:
        """Whether what may be a complete request was received and waits for its turn."""
        return self.reader.deferred and self.head is None

    def send_response(self, status: int, headers: Headers, body: bytes, last: bool) -> bool:
        """Send a complete response; return whether the connection can carry another request.

        ``headers`` must be as ``validated`` demands.
        """
        fields = [*headers, (b"Content-Length", b"%d" % len(body))]
        if last:
            fields.append((b"Connection", b"close"))
        try:
            data = self.http.send(h11.Response(status_code=status, headers=validated(fields))) or b""
            if body:
                data += self.http.send(h11.Data(data=body)) or b""
            data += self.http.send(END_OF_MESSAGE) or b""
        except h11.LocalProtocolError:
            return False
        self.stream.write(data)
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def send_head(self, status: int, headers: Headers, length: int | None, last: bool) -> None:
        """Send the head of a response whose body follows in pieces, with its length or chunked."""
        fields = [
            *headers,
            (b"Content-Length", b"%d" % length) if length is not None else (b"Transfer-Encoding", b"chunked"),
        ]
        if last:
            fields.append((b"Connection", b"close"))
        self.stream.write(self.http.send(h11.Response(status_code=status, headers=validated(fields))) or b"")

    def send_body(self, data: bytes, end: bool) -> bool:
        """Send a part of the body; at its end, return whether the connection can carry another request."""
        if data:
            self.stream.write(self.http.send(h11.Data(data=data)) or b"")
        if not end:
            return False
        self.stream.write(self.http.send(END_OF_MESSAGE) or b"")
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def send(self, event: h11.InformationalResponse) -> None:
        """Send an interim response."""
        self.stream.write(self.http.send(event) or b"")


class HttpClientConnection:
    """The client side of a connection, sending one request at a time."""

    __slots__ = ("stream", "reader", "http", "head", "headers", "body", "interim", "streamed_bytes")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.reader, self.interim = stream, EventReader(stream, h11.CLIENT), 0
        self.http = self.reader.http
        self.streamed_bytes = 0  # bytes received of a streaming response
        self.head: h11.Response | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def send_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes = b"", more: bool = False
    ) -> None:
        """Send a request, or its beginning if there is ``more`` of its body to follow.

        ``headers`` must be as ``validated`` demands.
        """
        data = self.http.send(h11.Request(method=method, target=target, headers=validated(headers))) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        if not more:
            data += self.http.send(END_OF_MESSAGE) or b""
        self.stream.write(data)

    def send_body(self, data: bytes, end: bool) -> None:
        """Send more of a request body, or its end."""
        out = self.http.send(h11.Data(data=data)) or b"" if data else b""
        if end:
            out += self.http.send(END_OF_MESSAGE) or b""
        self.stream.write(out)

    def read_response(self, max_bytes: int = 0) -> HttpResponse | StreamingResponse | HttpError | None:
        """Return the response once it is complete; an incomplete response is an error and never served.

        One with more than ``max_bytes``, or what the memory budget allows of SMALL_BODY_BYTES, is streamed; never one
        of MIN_SHARE_BYTES or less.
        """
        if not self.reader.has_input and not self.stream.ended:
            return None
        try:
            while True:
                event = self.reader.next_event()
                if event is DEFERRED:
                    return None
                if event is h11.NEED_DATA:
                    if not self.stream.ended:
                        return None
                    if self.stream.error:  # a reset does not complete a response, even one delimited by the close
                        return HttpError(502, f"broken ({self.stream.error})")
                    self.http.receive_data(b"")  # an incomplete message becomes a protocol error
                elif isinstance(event, h11.Response):
                    check_header_count(event)
                    self.head, self.headers = event, headers_by_name(event)
                    self.body.clear()
                    self.interim = 0
                    length = content_length(self.headers)
                    if ambiguous_framing(self.headers):
                        return HttpError(502, "response with ambiguous framing")
                    if (length or 0) > MAX_RESPONSE_BODY_BYTES:
                        return HttpError(502, "answer too large")
                    if length:
                        self.reader.expect_body(length)
                    if length and length > MIN_SHARE_BYTES and length > self.buffer_limit(max_bytes):
                        return self.start_streaming()
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    size = len(self.body)
                    if size > MIN_SHARE_BYTES and size > self.buffer_limit(max_bytes):
                        return self.start_streaming()
                    self.stream.body_bytes = size
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    head, self.head = self.head, None
                    self.stream.release_body()
                    return HttpResponse(head.status_code, self.headers, bytes(self.body))
                elif isinstance(event, h11.InformationalResponse) and self.interim < MAX_INTERIM_RESPONSES:
                    self.interim += 1
                else:
                    return HttpError(502, "no answer")
        except h11.RemoteProtocolError as error:
            return HttpError(502, str(error))

    def buffer_limit(self, max_bytes: int) -> int:
        """Return how many bytes of a response are buffered: ``max_bytes``, or what the memory budget allows for 0."""
        return max_bytes or min(SMALL_BODY_BYTES, self.stream.memory.share_bytes + self.stream.body_bytes)

    @property
    def has_unknown_length(self) -> bool:
        """Whether the head of a response has come that does not state the length of its body."""
        return self.head is not None and b"content-length" not in self.headers

    def start_streaming(self) -> StreamingResponse | HttpError:
        """Return the part received so far of a response whose head has come, the rest to be streamed."""
        if self.head is None:
            return HttpError(502, "no answer")
        first_bytes = bytes(self.body)
        self.streamed_bytes = len(first_bytes)
        self.body.clear()
        self.stream.release_body()
        return StreamingResponse(self.head.status_code, self.headers, first_bytes, content_length(self.headers), self)

    def read_body(self) -> tuple[bytes, bool] | HttpError:
        """Return the bytes of a streaming response received since the last call and whether it is complete.

        A response that was cut off is an HttpError.
        """
        try:
            data, event = read_available(self.reader)
            if event is h11.NEED_DATA and self.stream.ended:
                if self.stream.error:
                    return HttpError(502, f"broken ({self.stream.error})")
                self.http.receive_data(b"")  # an incomplete message becomes a protocol error
                event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            return HttpError(502, str(error))
        self.streamed_bytes += len(data)
        if self.streamed_bytes > MAX_RESPONSE_BODY_BYTES:
            return HttpError(502, "answer without end")
        if event is h11.NEED_DATA or event is DEFERRED:
            return data, False
        if not isinstance(event, h11.EndOfMessage):
            return HttpError(502, "answer cut off")
        self.head = None
        return data, True

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if the connection cannot carry one."""
        stream = self.stream
        if stream.ended or stream.incoming or stream.outgoing or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        self.reader.end_message()
        return True
