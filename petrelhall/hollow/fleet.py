"""A fleet of hollow gateways in one process on one loop, and the history of what they did."""

from __future__ import annotations

import select
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from petrelhall.accord.documents import digest_of
from petrelhall.decide import interface as api
from petrelhall.hollow.gateway import DESCRIPTORS, HOST, HollowGateway, own_port
from petrelhall.hollow.usage import check_descriptors, dropped_by_kernel
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import bind_socket
from petrelhall.operator.settings import Accord as ConsensusSettings
from petrelhall.operator.settings import Limits, Shared
from petrelhall.operator.settings import Membership as MembershipSettings
from petrelhall.operator.shared import encode
from petrelhall.standins.configurations import Acknowledged, Admitted, Committed, Observation, Proposed, Refused

SAMPLE_MS = 200.0  # between two requests that a gateway is asked to decide on
CHECK_MS = 20.0  # between two looks at whether what a run waits for has come
LONGEST_DATAGRAM = 2048
CLASSES = (api.RequestClass(api.Effect.REPEATABLE, aim_ms=1000.0, deadline_ms=3000.0),)  # settings need one


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """What is asked of a fleet; the defaults are the platform's and the operators' file's."""

    gateways: int
    messages_per_s: float = 100.0  # that a gateway takes in from its peers, of all kinds
    membership: bool = True
    seed: int = 1


class Broadcast:
    """The address of all: carries a datagram on to every gateway but its sender, from the sender's address."""

    def __init__(self, loop: Loop, gateways: list[HollowGateway]) -> None:
        self.gateways = gateways
        self.senders = {gateway.peers.address: gateway for gateway in gateways}
        with own_port() as port:
            self.sock = bind_socket((HOST, port), socket.SOCK_DGRAM)
        self.carried: Counter[str] = Counter()
        loop.register(self.sock.fileno(), select.EPOLLIN, self.on_ready)

    def on_ready(self, mask: int) -> None:
        """Carry one on."""
        try:
            content, address = self.sock.recvfrom(LONGEST_DATAGRAM)
        except OSError:
            return
        self.carried["taken"] += 1
        sender = self.senders.get(address)
        if sender is None:
            return
        for gateway in self.gateways:
            if gateway is not sender:
                try:
                    sender.peers.sock.sendto(content, gateway.peers.address)
                    self.carried["sent"] += 1
                except OSError:
                    self.carried["unsent"] += 1


class HollowFleet:
    """Hollow gateways, changes proposed to them, and what was observed."""

    def __init__(self, loop: Loop, settings: FleetSettings) -> None:
        check_descriptors(settings.gateways * DESCRIPTORS + 1)
        self.loop, self.settings = loop, settings
        self.history: list[Observation] = []
        self.known: dict[int, int] = {}  # by gateway: the version that it was last seen to hold for decided
        self.names: dict[str, str] = {}  # of changes, by digest
        self.proposed_at: dict[str, float] = {}
        self.acknowledged: set[str] = set()
        self.gateways: list[HollowGateway] = []
        self.broadcast: Broadcast | None = None
        try:
            for number in range(settings.gateways):
                self.gateways.append(HollowGateway(loop, number))
        except OSError:
            self.close()
            raise
        broadcast = self.broadcast = Broadcast(loop, self.gateways)
        addresses = tuple(gateway.peers.address for gateway in self.gateways)
        for gateway in self.gateways:
            gateway.peers.meet(addresses, broadcast.sock.getsockname())

    def start(self) -> None:
        """Start all control parts at once, and the requests that they decide on."""
        size = self.settings.gateways
        consensus = ConsensusSettings(on=True)
        membership = MembershipSettings(on=self.settings.membership, boxes_out=0.0)
        for gateway in self.gateways:
            settings = api.Settings(
                classes=CLASSES,
                plans=(),
                position=gateway.number,
                gateways=size,
                peers=True,
                peer_messages_per_s=self.settings.messages_per_s,
            )
            gateway.start(settings, consensus, membership, self.settings.seed * 100_003 + gateway.number, self.observe)
            self.loop.after(SAMPLE_MS * gateway.number / size, partial(self.sample, gateway))

    # What is observed

    def sample(self, gateway: HollowGateway) -> None:
        """Have a gateway decide on a request, and again after a while."""
        if not gateway.ended:
            self.loop.after(SAMPLE_MS, partial(self.sample, gateway))
            self.observe(gateway, sampled=True)

    def observe(self, gateway: HollowGateway, sampled: bool = False) -> None:
        """Write down what a gateway holds for decided and what it would admit a request under."""
        if gateway.policy_consensus is None:  # its consensus is just being put together
            return
        now, core = now_ms(), gateway.policy_consensus.core
        if core.has_decision and self.known.get(gateway.number) != core.last_decision.version:
            self.known[gateway.number] = core.last_decision.version
            digest = core.last_decision.digest.hex()
            self.history.append(Committed(now, core.last_decision.version, digest, self.names.get(digest, "")))
        served = gateway.served()
        if served is not None:
            self.history.append(Admitted(now, gateway.number, *served))
        elif sampled:
            self.history.append(Refused(now, gateway.number))
        for change in core.changes:
            name = self.names.get(change.digest.hex(), "")
            if change.state == "in force" and name not in self.acknowledged:
                self.acknowledged.add(name)
                self.history.append(Acknowledged(now, name, change.slot))

    # Changes

    def propose(self, number: int) -> str:
        """Propose the change of a number, at the gateway of that number, and give the change's name."""
        gateway = self.gateways[number % len(self.gateways)]
        document = encode(Shared(plans={"measured": Limits(rate=1000.0, burst=1000.0 + number)}))
        name = f"change-{number}"
        core = gateway.running.core
        digest = digest_of(document).hex()
        self.names[digest] = name
        self.proposed_at[name] = now_ms()
        self.history.append(Proposed(now_ms(), name, digest))
        gateway.running.propose(document, core.last_decision.version)
        return name

    def everyone_serves(self, version: int) -> bool:
        """Tell whether all gateways would admit a request under this version or a later one."""
        return all((served := gateway.served()) is not None and served[0] >= version for gateway in self.gateways)

    def latest(self) -> int:
        """Give the latest version that any gateway holds for decided."""
        return max(self.known.values(), default=-1)

    # Running

    def run_until(self, done: Callable[[], bool], deadline_ms: float) -> bool:
        """Turn the loop until something holds; False where the deadline came first."""
        while not done():
            check_at = min(deadline_ms, now_ms() + CHECK_MS)
            self.loop.at(check_at, _nothing)  # else a loop without timers would wait for longer
            while now_ms() < check_at:
                self.loop.turn()
            if check_at == deadline_ms:
                return done()
        return True

    def drain(self, quiet_ms: float, longest_ms: float) -> None:
        """Let nobody say anything more, and take in what is still on its way."""
        for gateway in self.gateways:
            gateway.fall_silent()
        deadline, seen, seen_at = now_ms() + longest_ms, -1, now_ms()
        while now_ms() < deadline and now_ms() - seen_at < quiet_ms:
            self.loop.turn()
            taken = self.count("received") + self.count("dropped")
            if taken != seen:
                seen, seen_at = taken, now_ms()

    # Counts

    def count(self, name: str) -> int:
        """Add up one count of the gateways' datagrams."""
        return sum(gateway.counts.get("peers", name) for gateway in self.gateways)

    def dropped_by_kernel(self) -> int:
        """Count the datagrams that found a full receive buffer."""
        ports = [gateway.peers.address[1] for gateway in self.gateways]
        if self.broadcast is not None:
            ports.append(self.broadcast.sock.getsockname()[1])
        return dropped_by_kernel(ports)

    def close(self) -> None:
        """Give back all sockets and files."""
        for gateway in self.gateways:
            gateway.close()
        if self.broadcast is not None:
            self.loop.unregister(self.broadcast.sock.fileno())
            self.broadcast.sock.close()


def _nothing() -> None:
    """Do nothing: what a timer is for that only ends a wait."""
