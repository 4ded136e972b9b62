"""One hollow gateway: the shells and cores of membership and consensus as a gateway runs them, and nothing else."""

from __future__ import annotations

import contextlib
import os
import socket
import tempfile
from collections.abc import Callable, Iterator

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.gateway.agreement import PolicyConsensus
from petrelhall.gateway.membership import Membership
from petrelhall.gateway.peers import Peers
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address
from petrelhall.operator.settings import Accord as ConsensusSettings
from petrelhall.operator.settings import Membership as MembershipSettings
from petrelhall.operator.settings import Shared

HOST = "127.0.0.1"
DESCRIPTORS = 2  # its socket, and the lock of the process that may vote
UNKNOWN: Address = (HOST, 0)  # until all sockets are bound


@contextlib.contextmanager
def own_port() -> Iterator[int]:
    """Give a UDP port that no other socket has, to be bound within the context.

    A gateway binds with SO_REUSEPORT, and asked for any port the kernel may then give one that another gateway of the
    fleet has. So a socket that shares with nobody finds the port, and lets it be shared only once it has it.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as finder:
        finder.bind((HOST, 0))
        finder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        finder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        yield finder.getsockname()[1]


class MeteredPeers(Peers):
    """The gateway's own datagram socket, on a port that the kernel chooses, with a count of bytes."""

    def __init__(self, loop: Loop, number: int, counts: Counts) -> None:
        with own_port() as port:
            super().__init__(loop, (HOST, port), (), UNKNOWN, number, lambda message: None, counts)
        self.number = number
        self.address: Address = self.sock.getsockname()

    def meet(self, peers: tuple[Address, ...], everyone: Address) -> None:
        """Learn the addresses of all, which are known once all sockets are bound."""
        self.peers, self.broadcast_address = peers, everyone
        self.peer_numbers = {address: number for number, address in enumerate(peers) if number != self.number}

    def send(self, content: bytes, to: tuple[int, ...] = ()) -> None:
        """Count the bytes of what is said, and say it."""
        self.counts.add("peers", "bytes", len(content) * max(1, len(to)))
        super().send(content, to)


class HollowGateway:
    """The control part of one gateway; requests are stood in for by asking whether one could be decided on."""

    def __init__(self, loop: Loop, number: int) -> None:
        self.loop, self.number, self.counts = loop, number, Counts()
        self.peers = MeteredPeers(loop, number, self.counts)
        self.name = f"hollow-{os.getpid()}-{number}"
        self.policy_consensus: PolicyConsensus | None = None
        self.membership: Membership | None = None
        self.ended = False

    def start(
        self,
        settings: api.Settings,
        consensus: ConsensusSettings,
        membership: MembershipSettings,
        seed: int,
        on_event: Callable[[HollowGateway], None],
    ) -> None:
        """Start the control part as ``gateway.program`` does; ``on_event`` is called at each change that it tells."""
        if membership.on:
            self.membership = Membership(
                self.loop,
                self.peers,
                membership,
                settings,
                self.name,
                seed,
                ServerRegistry(()),
                lambda listing: None,
                lambda: not self.ended,
                lambda: False,
                self.counts,
                lambda line: None,
            )
        self.policy_consensus = PolicyConsensus(
            self.loop,
            self.peers,
            consensus,
            settings,
            self.name,
            seed,
            Shared(),
            lambda document: "",
            lambda document, before: on_event(self),
            self.counts,
            lambda line: on_event(self),
        )

    @property
    def running(self) -> PolicyConsensus:
        """Give the consensus shell of a gateway that was started."""
        assert self.policy_consensus is not None
        return self.policy_consensus

    def served(self) -> tuple[int, str] | None:
        """Give version and digest under which a request would be admitted now; None where it would be refused."""
        policy_consensus = self.running
        serving = policy_consensus.core.serving
        if serving is None or not policy_consensus.holds():
            return None
        return serving[0], serving[1].hex()

    def age_ms(self) -> float:
        """Give for how long no request could have been decided on (infinite: never yet)."""
        return now_ms() - self.running.last_held_at

    def fall_silent(self) -> None:
        """Say nothing more; what others say is still taken in and counted, and moves nothing here."""
        self.ended = True
        self.peers.datagram_handlers.clear()
        self.peers.on_module_datagram = None
        if self.membership is not None:
            self.membership.ended = True
        if self.policy_consensus is not None:
            self.policy_consensus.ended = True

    def close(self) -> None:
        """Give back what is held of the machine."""
        self.fall_silent()
        self.loop.unregister(self.peers.sock.fileno())
        self.peers.sock.close()
        if self.policy_consensus is not None and self.policy_consensus.lock_fd is not None:
            os.close(self.policy_consensus.lock_fd)
            self.policy_consensus.lock_fd = None
            with contextlib.suppress(OSError):
                os.unlink(os.path.join(tempfile.gettempdir(), f"petrelhall-{self.name}-votes.lock"))
