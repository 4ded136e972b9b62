"""Discovery: the list of boxes, whole or as a watch of its changes, late by a delay that can be set."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any
from urllib.parse import parse_qs, urlsplit

from petrelhall.standins.wire import Malformed, Reader, Service, answer, text

Entry = dict[str, Any]


class Discovery(Service):
    """Holds the list and tells those that watch it. Must be started inside a running event loop."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changes: list[tuple[int, Entry]] = []
        self.changed = asyncio.Event()

    def put(self, name: str, address: tuple[str, int], state: str = "Ready", started_ms: int = 0,
            zone: str = "room-a", kind: str = "m1", cell: int = 0) -> None:
        """Add or change an entry; ``Gone`` removes it."""
        self.version += 1
        entry = {"id": name, "addr": text(address), "zone": zone, "kind": kind, "cell": cell, "state": state,
                 "weight": 1.0, "started_ms": started_ms}
        if state == "Gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.version, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Give the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        messages = Reader()
        try:
            while data := await reader.read(65536):
                messages.feed(data)
                while (message := messages.next()) is not None:
                    body = json.dumps(await self.reply(message[0].first.split(b" ")[1].decode())).encode()
                    writer.write(answer(200, "OK", body, "Content-Type: application/json"))
        except (Malformed, ConnectionError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def reply(self, target: str) -> dict[str, Any]:
        """Answer a call, or a watch when there is something new or its time is up."""
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            return self.whole()
        after, wait_s = int(query["after"][0]), min(60.0, int(query["wait_ms"][0]) / 1000.0)
        if self.version <= after:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        newer = [entry for version, entry in self.changes if version > after]
        return {"version": self.version, "full": False, "servers": newer}


class Relay(asyncio.DatagramProtocol):
    """Carries datagrams between gateways: what one sends to all reaches the others from an address of its own."""

    def __init__(self, own: list[tuple[str, int]]) -> None:
        self.own = own  # where each gateway takes datagrams
        self.senders = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in own]
        for sender in self.senders:
            sender.bind(("127.0.0.1", 0))
            sender.setblocking(False)
        self.address: tuple[str, int] = ("127.0.0.1", 0)
        self.carried = self.too_long = 0

    async def start(self) -> None:
        """Listen."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0))
        self.address = transport.get_extra_info("sockname")

    @property
    def peers(self) -> list[str]:
        """Give the addresses that gateways are heard from."""
        return [text(sender.getsockname()) for sender in self.senders]

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass one on."""
        if len(data) > 256:
            self.too_long += 1
            return
        if sender in self.own:
            position = self.own.index(sender)
            for other, address in enumerate(self.own):
                if other != position:
                    self.carried += 1
                    try:
                        self.senders[position].sendto(data, address)
                    except OSError:
                        pass  # as on any network, it is lost
