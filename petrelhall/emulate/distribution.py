"""Configuration distribution in simulated time: replicas, distributors and gateways over links and clocks with faults.

Every process has a clock of its own rate. Messages may be lost, repeated, reordered and cut off; processes may be
killed, started again and paused. Whoever judges is given each admission that a gateway could have made.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from petrelhall.accord.votes import VoterState
from petrelhall.configuration.document import Document
from petrelhall.configuration.versions import Entry
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
    SendReport,
    VerdictReceived,
    WatchReceived,
)
from petrelhall.distribution.learner import (
    Checks,
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    Learner,
    NoChecks,
    Notified,
    PutInForce,
    SendWatch,
    Tick,
    UpdateReceived,
)
from petrelhall.distribution.messages import Message, Outcome, Submit, decode, encode
from petrelhall.distribution.publisher import SendUpdate
from petrelhall.distribution.replica import ConsensusReceived, ControlReplica
from petrelhall.distribution.timing import RHO, Timing

TICK_MS = 10.0
OPERATOR = 0  # the only connection of operators
REPORTS = 1_000_000_000  # from here on, connections on which distributors report
CONNECTION_LOST_MS = 5.0  # after which a process hears that the other end was killed

Node = tuple[str, int]  # role and number


@dataclass(slots=True)
class Links:
    """How the links are; delays are milliseconds, evenly drawn between the two, so messages overtake each other."""

    loss: float = 0.0
    repeat: float = 0.0
    delay_ms: tuple[float, float] = (0.5, 2.0)
    cut: Callable[[Node, Node], bool] = field(default=lambda sender, receiver: False)


@dataclass(slots=True)
class Process:
    """One life of a node."""

    node: Node
    core: Any
    incarnation: int
    rate: float
    offset: float
    paused: bool = False
    inbox: list[Callable[[], None]] = field(default_factory=list)  # what came while it was paused

    def clock(self, now: float) -> float:
        """Give what its clock shows at a true time."""
        return self.offset + self.rate * now


@dataclass(frozen=True, slots=True)
class Admission:
    """A gateway could have admitted a request at this true time, under this version."""

    at: float
    gateway: int
    incarnation: int
    version: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class Route:
    """Where a learner's connection leads."""

    client: Node
    client_incarnation: int
    link: int
    server: Node
    server_incarnation: int


class World:
    """All processes, their links and a true time."""

    def __init__(
        self,
        replicas: int,
        distributors: int,
        gateways: int,
        seed: int,
        timing: Timing | None = None,
        links: Links | None = None,
        on_admission: Callable[[Admission, dict[str, bytes]], None] | None = None,
        checks: Callable[[int], Checks] | None = None,
        learner: type[Learner] = Learner,
        clocks: bool = True,
    ) -> None:
        self.counts = {"replica": replicas, "distributor": distributors, "gateway": gateways}
        self.timing, self.links = timing or Timing(), links or Links()
        self.random = random.Random(seed)
        self.on_admission, self.checks, self.learner, self.clocks = on_admission, checks, learner, clocks
        self.now = 0.0
        self.order = itertools.count()
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[Node, Process] = {}
        self.incarnations = itertools.count(1)
        self.connections = itertools.count(1)
        self.routes: dict[int, Route] = {}
        self.by_link: dict[tuple[Node, int, int], int] = {}
        self.votes: dict[int, tuple[VoterState, tuple[bytes, ...]]] = {}
        self.contents: dict[int, Document] = {}
        self.outcomes: dict[str, Outcome] = {}
        self.in_force_at: dict[tuple[int, int], float] = {}  # by gateway and version
        self.activated: dict[str, set[int]] = {}  # by change: the versions that any gateway put in force for it
        self.notes: list[tuple[float, Node, str]] = []
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.whole_parts = 0
        for role, count in self.counts.items():
            for number in range(count):
                self.start((role, number))

    # Processes

    def start(self, node: Node, forgets: bool = False) -> None:
        """Start a process; a replica remembers its votes unless it forgets them."""
        role, number = node
        incarnation = next(self.incarnations)
        rate = 1.0 + self.random.uniform(-RHO, RHO) if self.clocks else 1.0
        offset = self.random.uniform(0.0, 1e6) if self.clocks else 0.0
        process = Process(node, None, incarnation, rate, offset)
        clock, seed = process.clock(self.now), self.random.getrandbits(32)
        if role == "replica":
            memory, documents = (None, ()) if forgets else self.votes.get(number, (None, ()))
            document = self.contents.pop(number, None)
            process.core = ControlReplica(
                number, self.counts["replica"], incarnation, self.timing, seed, clock, memory, documents, document
            )
        elif role == "distributor":
            process.core = Distributor(number, incarnation, self.timing, self.counts["replica"], seed, clock)
        else:
            checks = self.checks(number) if self.checks is not None else NoChecks()
            process.core = self.learner(
                number, incarnation, self.timing, self.counts["distributor"], checks, seed, clock, document=Document()
            )
            process.core.distributor = number % self.counts["distributor"] - 1
        self.processes[node] = process
        self.schedule_tick(process)

    def kill(self, node: Node) -> None:
        """End a process at once; the other ends of its connections hear of it."""
        process = self.processes.pop(node, None)
        if process is None:
            return
        if node[0] == "replica":
            self.contents[node[1]] = process.core.document  # what its disk holds
        for connection, route in list(self.routes.items()):
            if route.server == node and route.server_incarnation == process.incarnation:
                del self.routes[connection]
                self.later(
                    CONNECTION_LOST_MS,
                    lambda route=route: self.give(  # type: ignore[misc]
                        route.client, Disconnected(route.link), route.client_incarnation
                    ),
                )
            elif route.client == node and route.client_incarnation == process.incarnation:
                self.close(connection)

    def pause(self, node: Node) -> None:
        """Have a process stand still."""
        if node in self.processes:
            self.processes[node].paused = True

    def resume(self, node: Node) -> None:
        """Have a process go on: first it may admit requests, then it hears what came."""
        process = self.processes.get(node)
        if process is None or not process.paused:
            return
        process.paused = False
        self.sample(process)
        waiting, process.inbox = process.inbox, []
        for call in waiting:
            call()

    # Time

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Have something happen."""
        heapq.heappush(self.due, (self.now + delay, next(self.order), call))

    def run(self, duration: float) -> None:
        """Let time pass."""
        end = self.now + duration
        while self.due and self.due[0][0] <= end:
            self.now, _, call = heapq.heappop(self.due)
            call()
        self.now = end

    def run_until(self, condition: Callable[[], bool], most: float, step: float = 20.0) -> float | None:
        """Let time pass until something is true; give the time that it took, None where it did not become true."""
        began = self.now
        while self.now - began < most:
            if condition():
                return self.now - began
            self.run(step)
        return self.now - began if condition() else None

    def schedule_tick(self, process: Process) -> None:
        """Have a process take its next turn by the clock."""
        delay = TICK_MS
        if process.node[0] == "gateway":
            delay = max(1.0, (process.core.due() - process.clock(self.now)) / process.rate + 0.01)
        self.later(delay, lambda: self.tick(process))

    def tick(self, process: Process) -> None:
        """Let a process take a turn by the clock."""
        if self.processes.get(process.node) is not process:
            return
        if not process.paused:
            self.turn(process, Tick())
        self.schedule_tick(process)

    def turn(self, process: Process, event: Any) -> None:
        """Give a process an event, and do as it says."""
        self.sample(process)
        for action in process.core.handle(process.clock(self.now), event):
            self.carry_out(process, action)
        self.sample(process)
        if process.node[0] == "gateway" and process.core.admits(process.clock(self.now)) is not None:
            left = (process.core.lease_until - process.clock(self.now)) / process.rate
            self.later(max(0.0, left - 0.001), lambda: self.sample(process))

    def sample(self, process: Process) -> None:
        """Tell the judge what a gateway would admit now."""
        if process.node[0] != "gateway" or process.paused or self.processes.get(process.node) is not process:
            return
        name = process.core.admits(process.clock(self.now))
        if name is None:
            return
        gateway = process.node[1]
        self.in_force_at.setdefault((gateway, name.number), self.now)
        if self.on_admission is not None:
            admission = Admission(self.now, gateway, process.incarnation, name.number, name.digest)
            self.on_admission(admission, process.core.document.entries)

    def give(self, node: Node, event: Any, incarnation: int | None = None) -> None:
        """Give a node an event now, or when it goes on."""
        process = self.processes.get(node)
        if process is None or (incarnation is not None and process.incarnation != incarnation):
            return
        if process.paused:
            process.inbox.append(lambda: self.give(node, event, process.incarnation))
        else:
            self.turn(process, event)

    # Links

    def send(self, sender: Node, receiver: Node, kind: str, content: bytes, deliver: Callable[[], None]) -> None:
        """Put a message on its way."""
        self.messages[kind] += 1
        self.bytes[kind] += len(content)
        if self.links.cut(sender, receiver):
            return
        for _ in range(2 if self.links.repeat and self.random.random() < self.links.repeat else 1):
            if self.random.random() >= self.links.loss:
                self.later(self.random.uniform(*self.links.delay_ms), deliver)

    def send_message(
        self,
        sender: Node,
        receiver: Node,
        message: Message,
        event: Callable[[Any], Any],
        incarnation: int | None = None,
    ) -> None:
        """Send a message as bytes, and have it arrive as an event."""
        content = encode(message)
        self.send(
            sender,
            receiver,
            type(message).__name__,
            content,
            lambda: self.give(receiver, event(decode(content)), incarnation),
        )

    def connect(self, process: Process, action: Connect) -> None:
        """Make a learner's connection, where the other end is there and can be reached."""
        role, number = process.node
        if role == "gateway":
            server = "distributor", action.distributor
        elif role == "distributor":
            server = "replica", (action.distributor + number) % self.counts["replica"]
        else:
            others = [replica for replica in range(self.counts["replica"]) if replica != number]
            server = "replica", others[action.distributor]
        client, incarnation, link = process.node, process.incarnation, action.link
        delay = 2.0 * self.random.uniform(*self.links.delay_ms)
        there = self.processes.get(server)
        if there is None or self.links.cut(client, server) or self.links.cut(server, client):
            self.later(delay, lambda: self.give(client, Disconnected(link), incarnation))
            return
        connection = next(self.connections)
        self.routes[connection] = Route(client, incarnation, link, server, there.incarnation)
        self.by_link[client, incarnation, link] = connection
        self.later(delay, lambda: self.give(client, Connected(link), incarnation))

    def close(self, connection: int) -> None:
        """Have the server's end of a connection hear that it is closed."""
        route = self.routes.pop(connection, None)
        if route is None:
            return
        self.by_link.pop((route.client, route.client_incarnation, route.link), None)
        if not self.links.cut(route.client, route.server):
            self.later(
                self.random.uniform(*self.links.delay_ms),
                lambda: self.give(route.server, ConnectionClosed(connection), route.server_incarnation),
            )

    # Actions

    def carry_out(self, process: Process, action: Any) -> None:
        """Do as a core says."""
        node = process.node
        if isinstance(action, Connect):
            self.connect(process, action)
        elif isinstance(action, Disconnect):
            connection = self.by_link.get((node, process.incarnation, action.link))
            if connection is not None:
                self.close(connection)
        elif isinstance(action, SendWatch):
            self.send_watch(process, action)
        elif isinstance(action, SendUpdate):
            self.send_update(node, action)
        elif isinstance(action, SendReport):
            connection = REPORTS + node[1]
            self.send_message(
                node, ("replica", action.replica), action.report, lambda report: ReportReceived(connection, report)
            )
        elif isinstance(action, SendVerdict):
            distributor = "distributor", action.connection - REPORTS
            self.send_message(node, distributor, action.verdict, VerdictReceived)
        elif isinstance(action, SendHeartbeat):
            for number in range(self.counts["replica"]):
                if number != node[1]:
                    self.send_message(node, ("replica", number), action.heartbeat, HeartbeatReceived)
        elif isinstance(action, SendConsensus):
            content, sender = action.content, node[1]
            replica = "replica", action.replica
            self.send(
                node, replica, "consensus", content, lambda: self.give(replica, ConsensusReceived(sender, content))
            )
        elif isinstance(action, PersistVotes):
            self.votes[node[1]] = action.memory, action.documents
        elif isinstance(action, SendOutcome):
            if action.outcome.state != "elsewhere":
                self.outcomes[action.outcome.change] = action.outcome
        elif isinstance(action, Notified):
            self.notes.append((self.now, node, action.what))
        elif isinstance(action, PutInForce):
            if action.deltas is None:
                self.notes.append((self.now, node, f"whole version {action.version.number}"))
            for delta in action.deltas or ():
                self.activated.setdefault(delta.change, set()).add(delta.target.number)

    def send_watch(self, process: Process, action: SendWatch) -> None:
        """Send a learner's watch on its connection."""
        connection = self.by_link.get((process.node, process.incarnation, action.link))
        route = self.routes.get(connection) if connection is not None else None
        if connection is None or route is None:
            return
        self.send_message(
            process.node,
            route.server,
            action.watch,
            lambda watch: WatchReceived(connection, watch),
            route.server_incarnation,
        )

    def send_update(self, node: Node, action: SendUpdate) -> None:
        """Answer a watch on its connection."""
        route = self.routes.get(action.connection)
        if route is None or route.server != node:
            return
        self.whole_parts += action.update.part is not None
        self.send_message(
            node,
            route.client,
            action.update,
            lambda update: UpdateReceived(route.link, update),
            route.client_incarnation,
        )

    # Operators

    def submit(self, change: str, entries: dict[str, bytes], removed: tuple[str, ...] = ()) -> None:
        """Have an operator ask every replica for a change, again until its end is known."""
        outcome = self.outcomes.get(change)
        if outcome is not None and outcome.state in ("in force", "refused"):
            return
        put = tuple(Entry(key, value) for key, value in entries.items())
        for number in range(self.counts["replica"]):
            self.give(("replica", number), SubmitReceived(OPERATOR, Submit(change, put, removed)))
        self.later(100.0, lambda: self.submit(change, entries, removed))

    def ended(self, change: str) -> bool:
        """Tell whether a change's end is known to its operator."""
        outcome = self.outcomes.get(change)
        return outcome is not None and outcome.state in ("in force", "refused")

    def in_force_everywhere(self, change: str) -> bool:
        """Tell whether each gateway that is there and not paused could admit by a change's version, or a later one."""
        outcome = self.outcomes.get(change)
        if outcome is None or outcome.state != "in force":
            return False
        for node, process in self.processes.items():
            if node[0] == "gateway" and not process.paused:
                name = process.core.admits(process.clock(self.now))
                if name is None or name.number < outcome.version:
                    return False
        return True

    def activations_doubled(self) -> list[str]:
        """Give the changes that gateways put in force as more than one version."""
        return [change for change, versions in self.activated.items() if len(versions) > 1]
