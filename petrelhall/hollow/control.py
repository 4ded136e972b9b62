"""A control replica of a run: the replica's own shell and core, watched, with its datagrams on the run's network."""

from __future__ import annotations

from functools import partial

from petrelhall.distribution.coordinator import HeartbeatReceived
from petrelhall.distribution.messages import encode
from petrelhall.distribution.replica import ConsensusReceived, ReplicaAction, ReplicaEvent
from petrelhall.hollow.network import Network
from petrelhall.hollow.recorder import Recorder, Sighting, shared_ms
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from petrelhall.replica.replica import ReplicaProcess
from petrelhall.replica.settings import ControlFile

MESSAGE_BYTE = 1  # before each datagram's content, which tells its kind


class WatchedReplica(ReplicaProcess):
    """A replica whose commits are written down before anyone hears of them."""

    def __init__(self, loop: Loop, file: ControlFile, network: Network, recorder: Recorder, seed: int) -> None:
        self.network, self.recorder = network, recorder
        self.committed = -1
        super().__init__(loop, file, Counts(), recorder.note, seed)

    def handle(self, event: ReplicaEvent) -> None:
        """Take in an event, unless it came by datagram from where nothing comes now."""
        if isinstance(event, ConsensusReceived):
            if not self.network.receive(self.replicas[event.replica][0], MESSAGE_BYTE + len(event.content)):
                return
        elif isinstance(event, HeartbeatReceived):
            host = self.replicas[event.heartbeat.replica][0]
            if not self.network.receive(host, MESSAGE_BYTE + len(encode(event.heartbeat))):
                return
        super().handle(event)
        self.observe()

    def carry_out(self, action: ReplicaAction) -> None:
        """Look first whether a version is newly active, and then do as the core says."""
        self.observe()
        super().carry_out(action)

    def send_datagram(self, replica: int, content: bytes) -> None:
        """Send a datagram over the network of the run."""
        deliver = partial(super().send_datagram, replica, content)
        self.network.send(self.replicas[replica][0], len(content), deliver)

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
