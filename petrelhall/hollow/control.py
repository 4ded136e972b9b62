"""Control processes of a run: the real cores of a replica and of a distributor, on real sockets."""

from __future__ import annotations

import os
import select
import socket
import zlib
from pathlib import Path

import msgspec

from petrelhall.accord.votes import Memory
from petrelhall.distribution.consensus import PersistVotes, SendConsensus
from petrelhall.distribution.coordinator import (
    HeartbeatReceived,
    ReportReceived,
    SendHeartbeat,
    SendOutcome,
    SendVerdict,
    SubmitReceived,
)
from petrelhall.distribution.distributor import (
    ConnectionClosed,
    Distributor,
    DistributorEvent,
    SendReport,
    VerdictReceived,
    WatchReceived,
)
from petrelhall.distribution.learner import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    Notified,
    SendWatch,
    Tick,
    UpdateReceived,
)
from petrelhall.distribution.messages import (
    Heartbeat,
    Message,
    MessageError,
    Report,
    Submit,
    Update,
    Verdict,
    Watch,
    decode,
    encode,
)
from petrelhall.distribution.publisher import SendUpdate
from petrelhall.distribution.replica import ConsensusReceived, ControlReplica, PersistContent, ReplicaEvent
from petrelhall.distribution.timing import Timing
from petrelhall.hollow.network import FrameConnection, FrameListener, Network, connect
from petrelhall.hollow.recorder import Recorder, Sighting, shared_ms
from petrelhall.net.files import write_safely
from petrelhall.net.loop import now_ms
from petrelhall.net.stream import Address

TICK_MS = 20.0
MOST_DATAGRAM_BYTES = 65536
DATAGRAM_CONSENSUS, DATAGRAM_MESSAGE = b"\x00", b"\x01"


class PersistedVotes(msgspec.Struct, frozen=True, array_like=True):
    """A replica's votes and the records that they name, as its folder holds them."""

    memory: Memory
    documents: tuple[bytes, ...]


class UpstreamLinks:
    """The connection on which a core follows another process, as its ``Connect`` and ``Disconnect`` say."""

    def __init__(self, shell: ReplicaShell | DistributorShell, addresses: tuple[Address, ...]) -> None:
        self.shell, self.addresses = shell, addresses
        self.connections: dict[int, FrameConnection] = {}  # by link

    def connect(self, action: Connect) -> None:
        """Connect."""
        link = action.link

        def opened(connection: FrameConnection) -> None:
            self.shell.handle(Connected(link))

        def closed(connection: FrameConnection) -> None:
            self.connections.pop(link, None)
            self.shell.handle(Disconnected(link))

        def frame(connection: FrameConnection, content: bytes) -> None:
            message = self.shell.read(content)
            if isinstance(message, Update):
                self.shell.handle(UpdateReceived(link, message))

        try:
            address = self.addresses[action.distributor]
            self.connections[link] = connect(self.shell.network, address, frame, opened, closed)
        except OSError:
            self.shell.network.loop.after(0.0, lambda: self.shell.handle(Disconnected(link)))

    def disconnect(self, action: Disconnect) -> None:
        """Close a connection."""
        connection = self.connections.pop(action.link, None)
        if connection is not None:
            connection.close()

    def send(self, action: SendWatch) -> None:
        """Send a watch."""
        connection = self.connections.get(action.link)
        if connection is not None:
            connection.send(encode(action.watch))


class ReplicaShell:
    """A control replica."""

    def __init__(
        self,
        network: Network,
        recorder: Recorder,
        number: int,
        timing: Timing,
        replicas: tuple[Address, ...],
        listener: socket.socket,
        datagrams: socket.socket,
        folder: str,
        seed: int,
    ) -> None:
        self.network, self.recorder, self.number, self.replicas = network, recorder, number, replicas
        self.path = os.path.join(folder, f"replica-{number}")
        kept = self.load()
        self.core = ControlReplica(
            number,
            len(replicas),
            int.from_bytes(os.urandom(4), "big") >> 1 | 1,
            timing,
            seed,
            now_ms(),
            kept.memory if kept is not None else None,
            kept.documents if kept is not None else (),
        )
        self.committed = -1
        self.upstream = UpstreamLinks(self, tuple(replicas[:number] + replicas[number + 1 :]))
        self.listener = FrameListener(network, listener, self.on_frame, self.on_close)
        self.datagrams = datagrams
        datagrams.setblocking(False)
        network.loop.register(datagrams.fileno(), select.EPOLLIN, self.on_datagram)
        network.loop.after(TICK_MS, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.network.loop.after(TICK_MS, self.tick)
        self.handle(Tick())

    def handle(self, event: ReplicaEvent) -> None:
        """Give the core an event, and do as it says, in order."""
        actions = self.core.handle(now_ms(), event)
        self.observe()
        for action in actions:
            if isinstance(action, SendUpdate):
                self.listener.send(action.connection, encode(action.update))
            elif isinstance(action, SendVerdict):
                self.listener.send(action.connection, encode(action.verdict))
            elif isinstance(action, SendConsensus):
                self.send_datagram(action.replica, DATAGRAM_CONSENSUS + action.content)
            elif isinstance(action, SendHeartbeat):
                for replica in range(len(self.replicas)):
                    if replica != self.number:
                        self.send_datagram(replica, DATAGRAM_MESSAGE + encode(action.heartbeat))
            elif isinstance(action, SendOutcome):
                self.listener.send(action.connection, encode(action.outcome))
            elif isinstance(action, PersistVotes):
                self.persist(action)
            elif isinstance(action, Connect):
                self.upstream.connect(action)
            elif isinstance(action, Disconnect):
                self.upstream.disconnect(action)
            elif isinstance(action, SendWatch):
                self.upstream.send(action)
            elif isinstance(action, Notified):
                self.recorder.note(f"replica {self.number}: {action.what}")
            elif isinstance(action, PersistContent):
                pass  # a replica of a run that restarts follows another one for its content

    def observe(self) -> None:
        """Take note of a version that is newly active."""
        consensus = self.core.consensus
        record = consensus.record
        if consensus.slot < 0 or record.active.number <= self.committed:
            return
        self.committed = record.active.number
        delta = record.delta
        change = delta.change if delta is not None and delta.target == record.active else ""
        self.recorder.add(
            Sighting("committed", shared_ms(), 0, record.active.number, record.active.digest.hex(), change=change)
        )

    # Sockets

    def read(self, content: bytes) -> Message | None:
        """Read a message; None where it is none."""
        try:
            return decode(content)
        except MessageError as error:
            self.recorder.note(f"replica {self.number}: {error!r}")
            return None

    def on_frame(self, connection: int, content: bytes) -> None:
        """Take a message in."""
        message = self.read(content)
        if isinstance(message, Watch):
            self.handle(WatchReceived(connection, message))
        elif isinstance(message, Report):
            self.handle(ReportReceived(connection, message))
        elif isinstance(message, Submit):
            self.handle(SubmitReceived(connection, message))

    def on_close(self, connection: int) -> None:
        """Hear that a connection is gone."""
        self.handle(ConnectionClosed(connection))

    def send_datagram(self, replica: int, content: bytes) -> None:
        """Send a datagram; it may be lost."""
        address = self.replicas[replica]
        self.network.sent(len(content))
        self.network.deliver(address[0], lambda: self.send_now(address, content))

    def send_now(self, address: Address, content: bytes) -> None:
        """Have the kernel send a datagram."""
        try:
            self.datagrams.sendto(content, address)
        except OSError:
            self.network.traffic.dropped += 1

    def on_datagram(self, mask: int) -> None:
        """Take one datagram in."""
        try:
            content, sender = self.datagrams.recvfrom(MOST_DATAGRAM_BYTES)
        except OSError:
            return
        if sender not in self.replicas or self.network.is_cut_from(sender[0]):
            self.network.traffic.dropped += 1
            return
        self.network.received(len(content))
        if content[:1] == DATAGRAM_CONSENSUS:
            self.handle(ConsensusReceived(self.replicas.index(sender), content[1:]))
            return
        message = self.read(content[1:])
        if isinstance(message, Heartbeat):
            self.handle(HeartbeatReceived(message))

    # The folder

    def persist(self, action: PersistVotes) -> None:
        """Write votes down, safely."""
        content = msgspec.msgpack.encode(PersistedVotes(action.memory, action.documents))
        write_safely(self.path, zlib.crc32(content).to_bytes(4, "big") + content)

    def load(self) -> PersistedVotes | None:
        """Read what an earlier process of this replica wrote; None where there was none."""
        if not Path(self.path).exists():
            return None
        content = Path(self.path).read_bytes()
        if zlib.crc32(content[4:]).to_bytes(4, "big") != content[:4]:
            return None
        return msgspec.msgpack.decode(content[4:], type=PersistedVotes)

    def finish(self) -> None:
        """Do nothing more."""


class DistributorShell:
    """A distributor."""

    def __init__(
        self,
        network: Network,
        recorder: Recorder,
        number: int,
        timing: Timing,
        replicas: tuple[Address, ...],
        listener: socket.socket,
        seed: int,
    ) -> None:
        self.network, self.recorder, self.number, self.replicas = network, recorder, number, replicas
        own_first = replicas[number:] + replicas[:number]
        incarnation = int.from_bytes(os.urandom(4), "big") >> 1 | 1
        self.core = Distributor(number, incarnation, timing, len(replicas), seed, now_ms())
        self.upstream = UpstreamLinks(self, own_first)
        self.reports: dict[int, FrameConnection] = {}  # by replica
        self.listener = FrameListener(network, listener, self.on_frame, self.on_close)
        network.loop.after(TICK_MS, self.tick)

    def tick(self) -> None:
        """Let time pass."""
        self.network.loop.after(TICK_MS, self.tick)
        self.handle(Tick())

    def handle(self, event: DistributorEvent) -> None:
        """Give the core an event, and do as it says."""
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, SendUpdate):
                self.listener.send(action.connection, encode(action.update))
            elif isinstance(action, SendReport):
                self.send_report(action)
            elif isinstance(action, Connect):
                self.upstream.connect(action)
            elif isinstance(action, Disconnect):
                self.upstream.disconnect(action)
            elif isinstance(action, SendWatch):
                self.upstream.send(action)
            elif isinstance(action, Notified):
                self.recorder.note(f"distributor {self.number}: {action.what}")

    # Sockets

    def read(self, content: bytes) -> Message | None:
        """Read a message; None where it is none."""
        try:
            return decode(content)
        except MessageError as error:
            self.recorder.note(f"distributor {self.number}: {error!r}")
            return None

    def on_frame(self, connection: int, content: bytes) -> None:
        """Take a gateway's watch in."""
        message = self.read(content)
        if isinstance(message, Watch):
            self.handle(WatchReceived(connection, message))

    def on_close(self, connection: int) -> None:
        """Hear that a gateway's connection is gone."""
        self.handle(ConnectionClosed(connection))

    def send_report(self, action: SendReport) -> None:
        """Send a report on a connection of its own to the replica; without one it is lost, as any may be."""
        connection = self.reports.get(action.replica)
        if connection is None:
            self.connect_reports(action.replica)
            connection = self.reports.get(action.replica)
        if connection is not None:
            connection.send(encode(action.report))

    def connect_reports(self, replica: int) -> None:
        """Connect to a replica for reports; what is sent before the connection is there waits in it."""

        def closed(connection: FrameConnection) -> None:
            if self.reports.get(replica) is connection:
                del self.reports[replica]

        def frame(connection: FrameConnection, content: bytes) -> None:
            message = self.read(content)
            if isinstance(message, Verdict):
                self.handle(VerdictReceived(message))

        try:
            address = self.replicas[replica]
            self.reports[replica] = connect(self.network, address, frame, lambda connection: None, closed)
        except OSError:
            self.recorder.note(f"distributor {self.number}: cannot connect to replica {replica}")

    def finish(self) -> None:
        """Do nothing more."""
