"""The operator of a run: submits changes to whichever replica coordinates, and repeats each until it has ended."""

from __future__ import annotations

from dataclasses import dataclass, field

from petrelhall.configuration.versions import Entry
from petrelhall.distribution.messages import MessageError, Outcome, Submit, decode, encode
from petrelhall.hollow.recorder import shared_ms
from petrelhall.net.frames import FrameConnection, connect
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.standins.configurations import Acknowledged, Observation, Proposed

REPEAT_MS = 500.0  # after which an unanswered change is sent again, to the next replica
LOOK_MS = 50.0
MOST_UNANSWERED = 2  # times that a change is sent to a replica that does not answer


@dataclass
class PendingChange:
    """A change that has not ended."""

    submit: Submit
    sent_at: float
    unanswered: int = 0  # times that it was sent since a coordinator last said that it has it


@dataclass
class Ended:
    """Changes by how they ended."""

    in_force: list[str] = field(default_factory=list)
    refused: dict[str, str] = field(default_factory=dict)


class Operator:
    """Submits changes."""

    def __init__(self, loop: Loop, replicas: tuple[Address, ...]) -> None:
        self.loop, self.replicas = loop, replicas
        self.connections: dict[int, FrameConnection] = {}
        self.coordinator = 0
        self.pending: dict[str, PendingChange] = {}
        self.ended = Ended()
        self.history: list[Observation] = []
        self.repeats = 0
        loop.after(LOOK_MS, self.look)

    def submit(self, change: str, put: tuple[Entry, ...]) -> None:
        """Submit a change."""
        submit = Submit(change, put, ())
        self.history.append(Proposed(shared_ms(), change, ""))
        self.pending[change] = PendingChange(submit, now_ms(), unanswered=1)
        self.send(submit)

    def send(self, submit: Submit) -> None:
        """Send a change to the replica that is thought to coordinate."""
        connection = self.connections.get(self.coordinator)
        if connection is None:
            connection = self.connections[self.coordinator] = self.connect(self.coordinator)
        connection.send(encode(submit))

    def connect(self, replica: int) -> FrameConnection:
        """Connect to a replica."""
        return connect(
            self.loop,
            self.replicas[replica],
            lambda content: self.on_frame(replica, content),
            lambda: self.closed(replica),
            lambda: None,
        )

    def closed(self, replica: int) -> None:
        """Forget a connection."""
        self.connections.pop(replica, None)

    def on_frame(self, replica: int, content: bytes) -> None:
        """Take an answer in."""
        try:
            outcome = decode(content)
        except MessageError:
            return
        if not isinstance(outcome, Outcome) or outcome.change not in self.pending:
            return
        pending = self.pending[outcome.change]
        if outcome.state == "elsewhere":
            if replica == self.coordinator:
                others = outcome.coordinator != replica
                self.coordinator = outcome.coordinator if others else (replica + 1) % len(self.replicas)
            pending.sent_at = now_ms() - REPEAT_MS + LOOK_MS  # soon, and not in a circle
        elif outcome.state == "in force":
            del self.pending[outcome.change]
            self.ended.in_force.append(outcome.change)
            self.history.append(Acknowledged(shared_ms(), outcome.change, outcome.version))
        elif outcome.state == "refused":
            del self.pending[outcome.change]
            self.ended.refused[outcome.change] = outcome.reason
        else:
            pending.unanswered = 0

    def look(self) -> None:
        """Send again what has not ended, and try the next replica where one does not answer."""
        self.loop.after(LOOK_MS, self.look)
        now = now_ms()
        due = [pending for pending in self.pending.values() if now - pending.sent_at >= REPEAT_MS]
        if any(pending.unanswered >= MOST_UNANSWERED for pending in due):
            self.coordinator = (self.coordinator + 1) % len(self.replicas)
            for pending in self.pending.values():
                pending.unanswered = 0
        for pending in due:
            pending.sent_at = now
            pending.unanswered += 1
            self.repeats += 1
            self.send(pending.submit)
