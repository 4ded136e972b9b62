"""A control replica on sockets and disk: TCP for watches, reports and operators, UDP among the replicas."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from typing import Any

from petrelhall.distribution.consensus import PersistVotes, SendConsensus
from petrelhall.distribution.coordinator import (
    HeartbeatReceived,
    ReportReceived,
    SendHeartbeat,
    SendOutcome,
    SendVerdict,
    SubmitReceived,
)
from petrelhall.distribution.distributor import ConnectionClosed, WatchReceived
from petrelhall.distribution.learner import Connect, Disconnect, Dropped, Notified, SendWatch, Tick
from petrelhall.distribution.messages import Heartbeat, Message, MessageError, Report, Submit, Watch, decode, encode
from petrelhall.distribution.publisher import SendUpdate
from petrelhall.distribution.replica import (
    ConsensusReceived,
    ControlReplica,
    PersistContent,
    ReplicaAction,
    ReplicaEvent,
)
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import bind_socket
from petrelhall.replica.process import TICK_MS, MessageListener, new_incarnation
from petrelhall.replica.settings import ControlFile
from petrelhall.replica.storage import Storage, StorageError
from petrelhall.replica.upstream import Upstream

CONSENSUS, MESSAGE = b"c", b"m"  # first byte of a datagram
MOST_DATAGRAM_BYTES = 2048
DATAGRAMS_A_TURN = 64


class ReplicaProcess:
    """One control replica. StorageError, at the start, where the votes that it kept cannot be read."""

    def __init__(self, loop: Loop, file: ControlFile, counts: Counts, log: Callable[[str], None], seed: int) -> None:
        self.loop, self.file, self.counts, self.log = loop, file, counts, log
        self.replicas = file.replica_addresses
        self.numbers = {address: number for number, address in enumerate(self.replicas)}
        self.storage = Storage(file.folder, file.number) if file.folder else None
        votes = self.storage.load_votes() if self.storage is not None else None
        self.core = ControlReplica(
            file.number,
            len(self.replicas),
            new_incarnation(),
            file.timing,
            seed,
            now_ms(),
            votes.memory if votes is not None else None,
            votes.documents if votes is not None else (),
            self.storage.load_content() if self.storage is not None else None,
        )
        self.failed = False
        others = [address for number, address in enumerate(self.replicas) if number != file.number]
        self.upstream = Upstream(loop, others, self.handle, log)
        self.listener = MessageListener(loop, file.listen_address, self.on_message, self.on_close, self.view, counts)
        self.datagrams = bind_socket(file.listen_address, socket.SOCK_DGRAM)
        loop.register(self.datagrams.fileno(), select.EPOLLIN, self.on_datagrams)
        loop.after(TICK_MS, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.loop.after(TICK_MS, self.tick)
        self.handle(Tick())

    def handle(self, event: ReplicaEvent) -> None:
        """Give the core an event and do as it says, in order: votes are on the disk before they are spoken of."""
        if self.failed:
            return
        try:
            for action in self.core.handle(now_ms(), event):
                self.carry_out(action)
        except StorageError as error:
            self.failed = True  # what it says from now on it could forget
            self.log(f"replica stops: {error}")
            self.loop.stop()

    def carry_out(self, action: ReplicaAction) -> None:
        """Do as the core says."""
        if isinstance(action, SendUpdate):
            self.listener.send(action.connection, action.update)
        elif isinstance(action, SendVerdict):
            self.listener.send(action.connection, action.verdict)
        elif isinstance(action, SendOutcome):
            self.listener.send(action.connection, action.outcome)
        elif isinstance(action, SendConsensus):
            self.send_datagram(action.replica, CONSENSUS + action.content)
        elif isinstance(action, SendHeartbeat):
            for number in range(len(self.replicas)):
                if number != self.file.number:
                    self.send_datagram(number, MESSAGE + encode(action.heartbeat))
        elif isinstance(action, PersistVotes):
            if self.storage is not None:
                self.storage.save_votes(action.memory, action.documents)
        elif isinstance(action, PersistContent):
            if self.storage is not None:
                self.storage.save_content(self.core.document, action.deltas)
        elif isinstance(action, Connect | Disconnect | SendWatch):
            self.upstream.carry_out(action)
        elif isinstance(action, Notified):
            self.log(f"replica: {action.what}")
        elif isinstance(action, Dropped):
            self.counts.add("distribution", f"dropped_{action.why}")

    # Sockets

    def on_message(self, connection: int, message: Message) -> None:
        """Take a message in."""
        if isinstance(message, Watch):
            self.handle(WatchReceived(connection, message))
        elif isinstance(message, Report):
            self.handle(ReportReceived(connection, message))
        elif isinstance(message, Submit):
            self.handle(SubmitReceived(connection, message))
        else:
            self.counts.add("distribution", "unexpected")

    def on_close(self, connection: int) -> None:
        """Hear that a connection is gone."""
        self.handle(ConnectionClosed(connection))

    def send_datagram(self, replica: int, content: bytes) -> None:
        """Send a datagram; one that cannot go counts as lost."""
        try:
            self.datagrams.sendto(content, self.replicas[replica])
        except OSError:
            self.counts.add("distribution", "unsent")

    def on_datagrams(self, mask: int) -> None:
        """Take datagrams in; the rest waits for the next turn."""
        for _ in range(DATAGRAMS_A_TURN):
            try:
                content, address = self.datagrams.recvfrom(MOST_DATAGRAM_BYTES)
            except OSError:
                return
            replica = self.numbers.get(address)
            if replica is None:
                self.counts.add("distribution", "stranger")
            elif content[:1] == CONSENSUS:
                self.handle(ConsensusReceived(replica, content[1:]))
            else:
                self.on_heartbeat(content[1:])

    def on_heartbeat(self, content: bytes) -> None:
        """Take a heartbeat in."""
        try:
            message = decode(content)
        except MessageError as error:
            self.counts.add("distribution", type(error).__name__)
            return
        if isinstance(message, Heartbeat):
            self.handle(HeartbeatReceived(message))

    def view(self) -> dict[str, Any]:
        """Give what operators want to see."""
        return {"role": "replica", **self.core.view(now_ms())}
