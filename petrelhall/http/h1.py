"""HTTP/1.1 on a stream, both sides of it. h11 does the parsing; nothing here knows the platform's headers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import h11

from petrelhall.net.stream import Stream

MOST_BODY = 65536
MOST_FLOWING = 1 << 26  # bytes of an answer passed on as it comes: the platform's are up to 32 MB
MOST_INTERIM = 8  # answers of 1xx in front of the final one
Headers = list[tuple[bytes, bytes]]
OwnHeaders: Any = type(h11.Response(status_code=200, headers=[]).headers)
END = h11.EndOfMessage()  # made once, since h11 checks its headers, of which there are none, at each making


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request; the names of its headers are in lower case, and those that came twice are told."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    repeated: frozenset[bytes] = frozenset()


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class Flowing:
    """An answer too large to keep: its head and first bytes, the rest still to come from ``source``.

    ``done`` is told, once, whether the rest came whole; ``length`` is None for an answer in chunks.
    """

    status: int
    headers: dict[bytes, bytes]
    first: bytes
    length: int | None
    source: ClientSide
    done: Any = None
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Broken:
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


class ServerSide:
    """The side that takes requests, one at a time."""

    __slots__ = ("stream", "http", "asked", "headers", "body")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http = stream, h11.Connection(h11.SERVER)
        self.asked: h11.Request | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def request(self) -> Message | Broken | None:
        """Give the next request once it is whole."""
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
                    self.asked, self.headers = event, by_name(event)
                    self.body.clear()
                    if not event.http_version.startswith(b"1."):
                        return Broken(400, "another version of HTTP")
                    if ambiguous(self.headers):  # another request may hide in its body
                        return Broken(400, "both Content-Length and Transfer-Encoding")
                    if (stated_length(self.headers) or 0) > MOST_BODY:
                        return Broken(413, "body too large")
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > MOST_BODY:
                        return Broken(413, "body too large")
                elif isinstance(event, h11.EndOfMessage) and self.asked is not None:
                    asked, self.asked = self.asked, None
                    twice = len(self.headers) < len(asked.headers)
                    return Message(asked.method, asked.target, self.headers, bytes(self.body),
                                   repeated(asked) if twice else frozenset())
        except h11.RemoteProtocolError as error:
            return Broken(error.error_status_hint, str(error))

    def encourage(self) -> None:
        """Let a client go on that waits for leave to send its body."""
        if self.http.they_are_waiting_for_100_continue:
            self.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def begun(self) -> bool:
        """Tell whether a part of a request has come."""
        return bool(self.stream.incoming or self.asked or self.http.trailing_data[0])

    def answer(self, status: int, headers: Headers, body: bytes, last: bool) -> bool:
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

    def begin(self, status: int, headers: Headers, length: int | None, last: bool) -> None:
        """Write the head of an answer whose body follows in pieces: with its length, or in chunks."""
        fields = [*headers, (b"Content-Length", b"%d" % length) if length is not None
                  else (b"Transfer-Encoding", b"chunked")]
        if last:
            fields.append((b"Connection", b"close"))
        self.stream.write(self.http.send(h11.Response(status_code=status, headers=fields)) or b"")

    def more(self, data: bytes, end: bool) -> bool:
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


class ClientSide:
    """The side that asks, one request at a time."""

    __slots__ = ("stream", "http", "head", "headers", "body", "interim")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http, self.interim = stream, h11.Connection(h11.CLIENT), 0
        self.head: h11.Response | None = None
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()

    def ask(self, method: bytes, target: bytes, headers: Headers, body: bytes = b"") -> None:
        """Write a request. Its headers' names are tokens, its values were read by h11 or are our own numbers."""
        # In h11's own form they are not checked again, which costs more than writing them does.
        checked = OwnHeaders([(name, name.lower(), value) for name, value in headers])
        data = self.http.send(h11.Request(method=method, target=target, headers=checked)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        data += self.http.send(END) or b""
        self.stream.write(data)

    def reply(self, most: int = MOST_BODY) -> Reply | Flowing | Broken | None:
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
                    self.http.receive_data(b"")  # what it cuts short is broken
                elif isinstance(event, h11.Response):
                    self.head, self.headers = event, by_name(event)
                    self.body.clear()
                    self.interim = 0
                    length = stated_length(self.headers)
                    framed = length is not None or b"transfer-encoding" in self.headers
                    if ambiguous(self.headers) or not framed:  # a connection's end proves no answer whole
                        return Broken(502, "answer whose end is not told")
                    if (length or 0) > MOST_FLOWING:
                        return Broken(502, "answer too large")
                    if (length or 0) > most:
                        return self.flowing(event, length)
                elif isinstance(event, h11.Data):
                    self.body += event.data
                    if len(self.body) > most:
                        return self.flowing(self.head, stated_length(self.headers))
                elif isinstance(event, h11.EndOfMessage) and self.head is not None:
                    head, self.head = self.head, None
                    return Reply(head.status_code, self.headers, bytes(self.body))
                elif isinstance(event, h11.InformationalResponse) and self.interim < MOST_INTERIM:
                    self.interim += 1
                else:
                    return Broken(502, "no answer")
        except h11.RemoteProtocolError as error:
            return Broken(502, str(error))

    def flowing(self, head: h11.Response | None, length: int | None) -> Flowing | Broken:
        """Give what came of an answer too large to keep, to be passed on as the rest comes."""
        if head is None:
            return Broken(502, "no answer")
        first = bytes(self.body)
        self.body.clear()
        return Flowing(head.status_code, self.headers, first, length, self)

    def flow(self) -> tuple[bytes, bool] | Broken:
        """Give what more has come of a flowing answer, and whether it is all; broken where it was cut off."""
        if self.stream.incoming:
            self.http.receive_data(self.stream.take())
        data = bytearray()
        try:
            while True:
                event = self.http.next_event()
                if isinstance(event, h11.Data):
                    data += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.head = None
                    return bytes(data), True
                elif event is h11.NEED_DATA and self.stream.ended:
                    self.http.receive_data(b"")
                elif event is h11.NEED_DATA:
                    return bytes(data), False
                else:
                    return Broken(502, "answer cut off")
        except h11.RemoteProtocolError as error:
            return Broken(502, str(error))

    def again(self) -> bool:
        """Make ready for the next request; False where this connection cannot carry one."""
        stream = self.stream
        if stream.ended or stream.incoming or stream.outgoing or self.http.trailing_data[0]:
            return False
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True
