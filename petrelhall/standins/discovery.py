"""Discovery: the list of boxes, whole or as a watch of its changes, late by a delay that can be set."""

from __future__ import annotations

import asyncio
import json
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

    def put(
        self,
        name: str,
        address: tuple[str, int],
        state: str = "Ready",
        started_ms: int = 0,
        zone: str = "room-a",
        kind: str = "m1",
        cell: int = 0,
    ) -> None:
        """Add or change an entry; ``Gone`` removes it."""
        self.version += 1
        entry = {
            "id": name,
            "addr": text(address),
            "zone": zone,
            "kind": kind,
            "cell": cell,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }
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
