"""HTTP/1.1 as the stand-ins read and write it: strict, small, and sharing no code with the gateway."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

MOST_HEAD = 32768
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close() sends a reset


@dataclass(slots=True)
class Head:
    """The first lines of a message."""

    first: bytes
    fields: dict[bytes, bytes]
    length: int  # of the body


class Malformed(ValueError):
    """A message that the protocol does not allow."""


class Reader:
    """Cuts a stream of bytes into messages whose bodies have a stated length."""

    __slots__ = ("buffer", "head")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.head: Head | None = None

    def feed(self, data: bytes) -> None:
        """Take in bytes."""
        self.buffer += data

    def next(self) -> tuple[Head, bytes] | None:
        """Give the next whole message."""
        if self.head is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                if len(self.buffer) > MOST_HEAD:
                    raise Malformed("head too long")
                return None
            self.head = parse(bytes(self.buffer[:end]))
            del self.buffer[: end + 4]
        if len(self.buffer) < self.head.length:
            return None
        head, self.head = self.head, None
        body = bytes(self.buffer[: head.length])
        del self.buffer[: head.length]
        return head, body


def parse(data: bytes) -> Head:
    """Read a head; a field that comes twice, or has no colon, is malformed."""
    first, *lines = data.split(b"\r\n")
    fields: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        name = name.lower()
        if not colon or not name or name in fields:
            raise Malformed(f"field {line[:40]!r}")
        fields[name] = value.strip()
    length = fields.get(b"content-length", b"0")
    if not length.isdigit() or b"transfer-encoding" in fields:
        raise Malformed("no plain length")
    return Head(first, fields, int(length))


def answer(status: int, reason: str, body: bytes, *fields: str) -> bytes:
    """Word an answer."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(sock: socket.socket) -> None:
    """Have a socket's close send a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def free_listener(address: tuple[str, int] = ("127.0.0.1", 0), backlog: int = 512) -> socket.socket:
    """Listen on loopback, on a free port unless one is named."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


class Service:
    """A part that listens on one address and converses on each connection, inside a running event loop."""

    def __init__(self) -> None:
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, at the address it was given or on a free port."""
        sock = free_listener(self.address)
        self.address = sock.getsockname()
        self.server = await asyncio.start_server(self.converse, sock=sock)

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


def text(address: tuple[str, int]) -> str:
    """Give host:port."""
    return f"{address[0]}:{address[1]}"
