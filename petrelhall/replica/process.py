"""What the two kinds of control processes have in common: a loop, a listener, messages read."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import msgspec

from petrelhall.distribution.messages import Message, MessageError, Status, StatusRequest, decode, encode
from petrelhall.net.counts import Counts
from petrelhall.net.frames import FrameListener
from petrelhall.net.loop import Loop
from petrelhall.net.stream import Address

TICK_MS = 20.0


def new_incarnation() -> int:
    """Give a number that no earlier process had, by chance."""
    return int.from_bytes(os.urandom(4), "big") >> 1 | 1


class MessageListener:
    """Takes connections of gateways, distributors and operators; answers what asks for the status by itself."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_message: Callable[[int, Message], None],
        on_close: Callable[[int], None],
        view: Callable[[], dict[str, Any]],
        counts: Counts,
    ) -> None:
        self.on_message, self.view, self.counts = on_message, view, counts
        self.frames = FrameListener(loop, address, self.on_frame, on_close)

    def send(self, connection: int, message: Message) -> None:
        """Answer."""
        self.frames.send(connection, encode(message))

    def on_frame(self, connection: int, content: bytes) -> None:
        """Read a message; what is none is counted and not answered."""
        try:
            message = decode(content)
        except MessageError as error:
            self.counts.add("distribution", type(error).__name__)
            return
        if isinstance(message, StatusRequest):
            self.send(connection, Status(msgspec.json.encode(self.view()).decode()))
        else:
            self.on_message(connection, message)
