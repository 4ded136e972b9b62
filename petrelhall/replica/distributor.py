"""A distributor on sockets: it follows a replica, serves gateways, and reports to the coordinator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from petrelhall.distribution.distributor import (
    ConnectionClosed,
    Distributor,
    DistributorAction,
    DistributorEvent,
    SendReport,
    VerdictReceived,
    WatchReceived,
)
from petrelhall.distribution.learner import Connect, Disconnect, Notified, SendWatch, Tick
from petrelhall.distribution.messages import Message, MessageError, Verdict, Watch, decode, encode
from petrelhall.distribution.publisher import SendUpdate
from petrelhall.net.counts import Counts
from petrelhall.net.frames import FrameConnection, connect
from petrelhall.net.loop import Loop, now_ms
from petrelhall.replica.process import TICK_MS, MessageListener, new_incarnation
from petrelhall.replica.settings import ControlFile
from petrelhall.replica.upstream import Upstream


class DistributorProcess:
    """One distributor. It follows the replica of its number first, so that each follows that of its own region."""

    def __init__(self, loop: Loop, file: ControlFile, counts: Counts, log: Callable[[str], None], seed: int) -> None:
        self.loop, self.file, self.counts, self.log = loop, file, counts, log
        self.replicas = file.replica_addresses
        first = file.number % len(self.replicas)
        self.core = Distributor(file.number, new_incarnation(), file.timing, len(self.replicas), seed, now_ms())
        self.upstream = Upstream(loop, self.replicas[first:] + self.replicas[:first], self.handle, log)
        self.reports: dict[int, FrameConnection] = {}  # by replica
        self.listener = MessageListener(loop, file.listen_address, self.on_message, self.on_close, self.view, counts)
        loop.after(TICK_MS, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.loop.after(TICK_MS, self.tick)
        self.handle(Tick())

    def handle(self, event: DistributorEvent) -> None:
        """Give the core an event and do as it says."""
        for action in self.core.handle(now_ms(), event):
            self.carry_out(action)

    def carry_out(self, action: DistributorAction) -> None:
        """Do as the core says."""
        if isinstance(action, SendUpdate):
            self.listener.send(action.connection, action.update)
        elif isinstance(action, SendReport):
            self.report(action)
        elif isinstance(action, Connect | Disconnect | SendWatch):
            self.upstream.carry_out(action)
        elif isinstance(action, Notified):
            self.log(f"distributor: {action.what}")
        else:
            self.counts.add("distribution", f"dropped_{action.why}")

    def report(self, action: SendReport) -> None:
        """Send a report to the coordinator, on a connection that stays."""
        connection = self.reports.get(action.replica)
        if connection is None:
            connection = self.reports[action.replica] = connect(
                self.loop,
                self.replicas[action.replica],
                self.on_verdict,
                lambda: self.report_closed(action.replica),
                lambda: None,
            )
        connection.send(encode(action.report))

    def report_closed(self, replica: int) -> None:
        """Forget a connection; the next report makes another."""
        self.reports.pop(replica, None)

    def on_verdict(self, content: bytes) -> None:
        """Take an answer to a report in."""
        try:
            message = decode(content)
        except MessageError as error:
            self.counts.add("distribution", type(error).__name__)
            return
        if isinstance(message, Verdict):
            self.handle(VerdictReceived(message))

    def on_message(self, connection: int, message: Message) -> None:
        """Take a gateway's message in."""
        if isinstance(message, Watch):
            self.handle(WatchReceived(connection, message))
        else:
            self.counts.add("distribution", "unexpected")

    def on_close(self, connection: int) -> None:
        """Hear that a gateway's connection is gone."""
        self.handle(ConnectionClosed(connection))

    def view(self) -> dict[str, Any]:
        """Give what operators want to see."""
        return {"role": "distributor", **self.core.view(now_ms())}
