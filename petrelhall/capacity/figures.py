"""Which figures the capacity tables hold: for each role what is spent, from which slopes, and what carries it. Pure.

A figure is a sum of terms. A term is one slope, taken at one size, times factors that follow from the size and from
what happens a second. A term without a slope is counted from the size alone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from petrelhall.capacity.sizes import Budget, Size
from petrelhall.capacity.workload import Rates

DESCRIPTORS = 1024  # of one gateway
OWN_DESCRIPTORS = 40  # of these, beside those to clients and servers: ``gateway.program.RESERVED_DESCRIPTORS``
CLIENT_SHARE = 0.6  # of the rest, for clients: ``gateway.program.CLIENT_SHARE``
CLIENT_CONNECTIONS = int(CLIENT_SHARE * (DESCRIPTORS - OWN_DESCRIPTORS))
SERVER_CONNECTIONS = DESCRIPTORS - OWN_DESCRIPTORS - CLIENT_CONNECTIONS
POOL_CLOCK_S = 0.1  # between two turns of the connection pool's clock: ``links.pool.TICK_MS``
QUOTA_CLOCK_S = 0.05  # between two turns of the quotas' clock: ``quota.ledger.TURN_MS``
CALLS_AT_ONCE = 64.0  # of a command that looks at many gateways: ``cli.ask.look_at_all``


class Role(str, Enum):
    """A part of the deployment that spends something."""

    SERVING = "gateway (serving part)"
    CONTROL = "gateway (control part)"
    REPLICA = "control replica"
    DISTRIBUTOR = "distributor"
    DISCOVERY = "discovery's agent"
    COUNTER = "counter"
    TOOL = "operator's tool"


class Quantity(str, Enum):
    """What is spent, and the unit that it is worked out in."""

    STATE = "state"  # entries
    STATE_BYTES = "state, bytes"
    MESSAGES_IN = "messages/s in"
    MESSAGES_OUT = "messages/s out"
    BYTES_IN = "bytes/s in"
    BYTES_OUT = "bytes/s out"
    CPU = "CPU"  # cores
    TURN = "longest turn"  # seconds in which the one thread does nothing else
    DELAYED = "time in long turns"  # share of the time in turns that are longer than a request may be delayed
    MEMORY = "memory"  # bytes
    DESCRIPTORS = "descriptors"
    DURATION = "duration"  # seconds


class Factor(Enum):
    """What a slope is multiplied by, in words."""

    REQUESTS = "requests/s"
    LIST_CHANGES = "list changes/s"
    LISTS_HERE = "whole lists/s of one gateway"
    WHOLE_LISTS = "whole lists/s of all"
    CHANGES = "configuration changes/s"
    RECONNECTIONS = "reconnections/s of all"
    GATEWAYS = "gateways"
    SHARE = "gateways / control machines"
    PER_MACHINE = "1 / control machines"
    WATCHES = "gateways / distributors"
    PER_DISTRIBUTOR = "1 / distributors"
    SERVERS = "servers"
    TENANTS = "tenants"
    TENANTS_SEEN = "tenants seen"
    OWN_DESCRIPTORS = "descriptors kept for it"
    CLIENT_CONNECTIONS = "most connections of clients"
    SERVER_CONNECTIONS = "most connections to servers"
    POOL_CLOCK = "turns/s of the pool's clock"
    QUOTA_CLOCK = "turns/s of the quotas' clock"
    INTERVAL = "intervals/s"
    QUIET = "(1 - configuration changes/s)"
    CALLS_AT_ONCE = "calls at once"

    def of(self, size: Size, rates: Rates) -> float:
        """Give the factor's value."""
        machines = max(1, size.control_machines)
        values = {
            Factor.REQUESTS: rates.requests,
            Factor.LIST_CHANGES: rates.list_changes,
            Factor.LISTS_HERE: rates.whole_lists_here,
            Factor.WHOLE_LISTS: rates.whole_lists,
            Factor.CHANGES: rates.changes,
            Factor.RECONNECTIONS: rates.reconnections,
            Factor.GATEWAYS: float(size.gateways),
            Factor.SHARE: size.gateways / machines,
            Factor.PER_MACHINE: 1.0 / machines,
            Factor.WATCHES: size.gateways / size.distributors,
            Factor.PER_DISTRIBUTOR: 1.0 / size.distributors,
            Factor.SERVERS: float(size.servers),
            Factor.TENANTS: float(size.tenants),
            Factor.TENANTS_SEEN: rates.tenants_seen,
            Factor.OWN_DESCRIPTORS: float(OWN_DESCRIPTORS),
            Factor.CLIENT_CONNECTIONS: float(CLIENT_CONNECTIONS),
            Factor.SERVER_CONNECTIONS: float(SERVER_CONNECTIONS),
            Factor.POOL_CLOCK: 1.0 / POOL_CLOCK_S,
            Factor.QUOTA_CLOCK: 1.0 / QUOTA_CLOCK_S,
            Factor.INTERVAL: 1.0,
            Factor.QUIET: max(0.0, 1.0 - rates.changes),
            Factor.CALLS_AT_ONCE: min(CALLS_AT_ONCE, float(size.gateways)),
        }
        return values[self]


@dataclass(frozen=True, slots=True)
class Term:
    """One slope at one size, times factors; without a slope the factors' product alone."""

    slope: str
    factors: tuple[Factor, ...] = ()
    at: str = ""  # a size in place of the slope's own variable: "tenants_seen", or "replicas" (one in each region)


def slope(name: str, *factors: Factor, at: str = "") -> Term:
    """Make a term of a measured slope."""
    return Term(name, factors, at)


def counted(*factors: Factor) -> Term:
    """Make a term that follows from the size alone."""
    return Term("", factors)


@dataclass(frozen=True, slots=True)
class Definition:
    """One figure of the tables."""

    role: Role
    quantity: Quantity
    subject: str
    terms: tuple[Term, ...]
    carried_by: str
    budget: str = ""  # the name of a field of ``Budget``
    total: bool = False  # a sum of the other figures

    @property
    def partial(self) -> bool:
        """Tell whether the sum of those terms that are measured is given: what is not is named beside it."""
        return self.total or self.quantity is Quantity.DELAYED

    def limit(self, budget: Budget) -> float | None:
        """Give the budget's figure; ``None`` where none is stated."""
        if self.quantity is Quantity.DELAYED:
            return DELAYED_SHARE
        return float(getattr(budget, self.budget)) if self.budget else None


DELAYED_SHARE = 0.01  # the promise holds for 99 requests in 100
SEEN = "tenants_seen"
REPLICAS = "replicas"
NOT_BUILT = "not built"
LIST = "service discovery (`boxes.discovery`, `boxes.fleet`)"
DECISION = "admission control and load balancing (`decide.policy`)"
POOL = "connection pool (`links.plan`, `links.pool`)"
GOSSIP = "membership by gossip of heartbeat counters (`members.core`)"
CONSENSUS = "single-decree Paxos and leases among all gateways (`accord.core`)"
PEERS = "load messages between gateways (`decide.gossip`)"
LEDGER = "token buckets in owned shares (`quota.ledger`)"
DOCUMENT = "configuration document, whole with each change (`operator.file`, `accord.documents`)"
REPLICATION = "consensus among five replicas (`accord.core`)"
LEARNERS = "configuration distribution with learners (`distribution`)"
AGENT = f"{NOT_BUILT}: an agent of discovery"
PLATFORM = "the platform's own; a client is `gateway.counter`"
MANAGEMENT = "management calls, 64 at once (`cli.ask`)"

WHOLE_DOCUMENT = ("document.tenants", "document.routes")


def document(part: str, *factors: Factor) -> tuple[Term, ...]:
    """Give the terms of a configuration that names each tenant and each route."""
    return tuple(slope(f"{name}.{part}", *factors) for name in WHOLE_DOCUMENT)


def learning(name: str, part: str) -> tuple[Term, ...]:
    """Give the terms of a cost of the distribution that was measured at rest and at one change a second."""
    return (
        slope(f"distribution.{name}.changes.{part}", Factor.CHANGES),
        slope(f"distribution.{name}.rest.{part}", Factor.QUIET),
    )


def serving() -> list[Definition]:
    """Give what the serving part of one gateway spends."""
    role = Role.SERVING
    requests = Factor.REQUESTS
    return [
        Definition(role, Quantity.STATE, "servers known", (counted(Factor.SERVERS),), LIST),
        Definition(role, Quantity.STATE, "tenants remembered", (counted(Factor.TENANTS_SEEN),), DECISION),
        Definition(
            role, Quantity.STATE_BYTES, "snapshot at a reload", (slope("decide.snapshot.bytes", at=SEEN),), DECISION
        ),
        Definition(role, Quantity.MESSAGES_IN, "requests", (counted(requests),), DECISION),
        Definition(role, Quantity.MESSAGES_OUT, "requests sent to servers", (slope("links.attempts", requests),), POOL),
        Definition(role, Quantity.MESSAGES_OUT, "connections opened", (slope("links.opened", requests),), POOL),
        Definition(role, Quantity.BYTES_IN, "requests and answers", (slope("http.bytes.in", requests),), "`http.h1`"),
        Definition(role, Quantity.BYTES_OUT, "requests and answers", (slope("http.bytes.out", requests),), "`http.h1`"),
        Definition(role, Quantity.CPU, "decisions", (slope("decide.request.cpu", requests),), DECISION, "machine_cpu"),
        Definition(
            role,
            Quantity.CPU,
            "decisions by tenants remembered, at 200 servers",
            (slope("decide.tenants.cpu", requests, at=SEEN),),
            DECISION,
            "machine_cpu",
        ),
        Definition(
            role, Quantity.CPU, "choice of connections", (slope("links.request.cpu", requests),), POOL, "machine_cpu"
        ),
        Definition(role, Quantity.CPU, "clock of the pool", (slope("links.tick.cpu"),), POOL, "machine_cpu"),
        Definition(
            role,
            Quantity.CPU,
            "whole process at rest",
            (slope("process.rest.cpu"),),
            "`gateway.program`",
            "machine_cpu",
        ),
        Definition(
            role,
            Quantity.CPU,
            "protocol and sockets",
            (slope("http.request.cpu", requests),),
            "`http.h1`, `net.loop`",
            "machine_cpu",
        ),
        Definition(
            role,
            Quantity.TURN,
            "sweep of tenants",
            (slope("decide.sweep.longest", at=SEEN),),
            DECISION,
            "added_latency_s",
        ),
        Definition(
            role,
            Quantity.TURN,
            "all tenants forgotten at once",
            (slope("decide.sweep.forget", at=SEEN),),
            DECISION,
            "added_latency_s",
        ),
        Definition(
            role,
            Quantity.TURN,
            "interval of the decision module, by servers",
            (slope("decide.interval.servers"),),
            DECISION,
            "added_latency_s",
        ),
        Definition(
            role,
            Quantity.TURN,
            "snapshot at a reload",
            (slope("decide.snapshot.cpu", at=SEEN),),
            DECISION,
            "added_latency_s",
        ),
        Definition(
            role,
            Quantity.DELAYED,
            "clocks of decision module and pool, each turn as long as the longest",
            (slope("decide.interval.servers", Factor.INTERVAL), slope("links.tick.longest", Factor.POOL_CLOCK)),
            f"{DECISION}; {POOL}",
        ),
        Definition(role, Quantity.TURN, "clock of the pool", (slope("links.tick.longest"),), POOL, "added_latency_s"),
        Definition(role, Quantity.MEMORY, "servers", (slope("decide.servers.memory"),), DECISION),
        Definition(role, Quantity.MEMORY, "tenants", (slope("decide.tenants.memory", at=SEEN),), DECISION),
        Definition(role, Quantity.MEMORY, "connection pool", (slope("links.memory"),), POOL),
        Definition(
            role, Quantity.MEMORY, "whole process at rest", (slope("process.rest.memory"),), "`gateway.program`"
        ),
        Definition(
            role,
            Quantity.MEMORY,
            "whole process since its start, at most",
            (slope("process.peak.memory"),),
            "`gateway.program`",
        ),
        Definition(
            role,
            Quantity.DESCRIPTORS,
            "connections of clients, at most",
            (counted(Factor.CLIENT_CONNECTIONS),),
            "`gateway.front`",
            "descriptors",
        ),
        Definition(
            role,
            Quantity.DESCRIPTORS,
            "connections to servers, at most",
            (counted(Factor.SERVER_CONNECTIONS),),
            POOL,
            "descriptors",
        ),
        Definition(
            role,
            Quantity.DESCRIPTORS,
            "whole process at rest",
            (slope("process.rest.descriptors"),),
            "`gateway.program`",
            "descriptors",
        ),
    ]


def control() -> list[Definition]:
    """Give what the control part of one gateway spends, all of today's parts switched on."""
    role = Role.CONTROL
    changes, lists = Factor.LIST_CHANGES, Factor.LISTS_HERE
    rows = [
        Definition(role, Quantity.STATE, "members known", (counted(Factor.GATEWAYS),), GOSSIP),
        Definition(role, Quantity.STATE_BYTES, "configuration", document("bytes"), DOCUMENT, "document_bytes"),
        Definition(role, Quantity.MESSAGES_IN, "answers of discovery", (counted(changes),), LIST),
        Definition(
            role,
            Quantity.MESSAGES_IN,
            "configuration changes, pieces of the tenants' part",
            (slope("document.tenants.messages", Factor.CHANGES),),
            DOCUMENT,
        ),
    ]
    for subject, name, mechanism, at in MESH:
        for quantity in (Quantity.MESSAGES_IN, Quantity.MESSAGES_OUT):
            rows.append(Definition(role, quantity, subject, (slope(f"{name}.messages", at=at),), mechanism))
        for quantity in (Quantity.BYTES_IN, Quantity.BYTES_OUT):
            terms = (slope(f"{name}.bytes", at=at),)
            rows.append(Definition(role, quantity, subject, terms, mechanism, "control_bytes_per_second"))
    rows += [
        Definition(
            role,
            Quantity.BYTES_IN,
            "changes of the list of servers",
            (slope("discovery.change.bytes", changes),),
            LIST,
            "control_bytes_per_second",
        ),
        Definition(
            role,
            Quantity.BYTES_IN,
            "whole lists of servers",
            (slope("discovery.whole_list.bytes", lists),),
            LIST,
            "control_bytes_per_second",
        ),
        Definition(
            role,
            Quantity.BYTES_IN,
            "configuration changes",
            document("bytes", Factor.CHANGES),
            DOCUMENT,
            "control_bytes_per_second",
        ),
        Definition(role, Quantity.CPU, "membership", (slope("members.cpu"),), GOSSIP, "control_cpu"),
        Definition(role, Quantity.CPU, "consensus", (slope("accord.cpu"),), CONSENSUS, "control_cpu"),
        Definition(role, Quantity.CPU, "load messages", (slope("gossip.in.cpu"),), PEERS, "control_cpu"),
        Definition(role, Quantity.CPU, "quotas", (slope("quota.cpu", at=SEEN),), LEDGER, "control_cpu"),
        Definition(
            role,
            Quantity.CPU,
            "changes of the list of servers",
            (slope("discovery.change.cpu", changes),),
            LIST,
            "control_cpu",
        ),
        Definition(
            role,
            Quantity.CPU,
            "whole lists of servers",
            (slope("discovery.whole_list.cpu", lists),),
            LIST,
            "control_cpu",
        ),
        Definition(
            role, Quantity.CPU, "configuration changes", document("cpu", Factor.CHANGES), DOCUMENT, "control_cpu"
        ),
        Definition(
            role,
            Quantity.TURN,
            "a whole list of servers",
            (slope("discovery.whole_list.cpu"),),
            LIST,
            "added_latency_s",
        ),
        Definition(
            role,
            Quantity.TURN,
            "a change of the list of servers",
            (slope("discovery.change.cpu"),),
            LIST,
            "added_latency_s",
        ),
        Definition(role, Quantity.TURN, "a configuration change", document("cpu"), DOCUMENT, "added_latency_s"),
        Definition(role, Quantity.TURN, "quotas", (slope("quota.turn.longest", at=SEEN),), LEDGER, "added_latency_s"),
        Definition(
            role,
            Quantity.DELAYED,
            "clock of the quotas, each turn as long as the longest",
            (slope("quota.turn.longest", Factor.QUOTA_CLOCK, at=SEEN),),
            LEDGER,
        ),
        Definition(
            role,
            Quantity.DELAYED,
            "lists of servers and configuration",
            (
                slope("discovery.change.cpu", changes),
                slope("discovery.whole_list.cpu", lists),
                *document("cpu", Factor.CHANGES),
            ),
            f"{LIST}; {DOCUMENT}",
        ),
        Definition(role, Quantity.MEMORY, "membership", (slope("members.memory"),), GOSSIP, "control_memory_bytes"),
        Definition(role, Quantity.MEMORY, "consensus", (slope("accord.memory"),), CONSENSUS, "control_memory_bytes"),
        Definition(role, Quantity.MEMORY, "quotas", (slope("quota.memory", at=SEEN),), LEDGER, "control_memory_bytes"),
        Definition(
            role,
            Quantity.DESCRIPTORS,
            "peers, discovery, counter, operators",
            (counted(Factor.OWN_DESCRIPTORS),),
            "`gateway.program`",
            "descriptors",
        ),
        Definition(role, Quantity.DURATION, "lease", (slope("accord.lease"),), CONSENSUS, "in_force_s"),
        Definition(
            role,
            Quantity.DURATION,
            "change in force, all gateways up (simulated)",
            (slope("accord.change.simulated"),),
            CONSENSUS,
            "in_force_s",
        ),
        Definition(
            role,
            Quantity.DURATION,
            "change in force, one gateway silent",
            (slope("accord.change.silent"),),
            CONSENSUS,
            "in_force_s",
        ),
        Definition(
            role,
            Quantity.DURATION,
            "failed gateway found (held to 4 s)",
            (slope("members.found"),),
            GOSSIP,
            "in_force_s",
        ),
        Definition(
            role,
            Quantity.DURATION,
            "failed gateway found (simulated, held to 4 s)",
            (slope("members.found.simulated"),),
            GOSSIP,
            "in_force_s",
        ),
        Definition(
            role, Quantity.DURATION, "cut link found (held to 4 s)", (slope("members.cut_found"),), GOSSIP, "in_force_s"
        ),
    ]
    planned = [row for row in rows if row.carried_by not in (CONSENSUS, DOCUMENT)] + learner()
    return [*rows, *totals(rows, TOTALS), *learner(), *totals(planned, TOTALS_WITH_LEARNERS)]


def learner() -> list[Definition]:
    """Give what the control part of a gateway spends as a learner, in place of consensus and whole documents."""
    role, subject = Role.CONTROL, "as a learner of configurations"
    network = "control_bytes_per_second"
    return [
        Definition(role, Quantity.BYTES_IN, subject, learning("gateway", "bytes_in"), LEARNERS, network),
        Definition(role, Quantity.BYTES_OUT, subject, learning("gateway", "bytes_out"), LEARNERS, network),
        Definition(role, Quantity.CPU, subject, learning("gateway", "cpu"), LEARNERS, "control_cpu"),
        Definition(
            role,
            Quantity.MEMORY,
            subject,
            (slope("distribution.gateway.memory"),),
            LEARNERS,
            "control_memory_bytes",
        ),
    ]


MESH = (  # what gateways say to each other: as much comes in as goes out, over all of them
    ("membership", "members", GOSSIP, ""),
    ("consensus (the busiest gateway)", "accord", CONSENSUS, ""),
    ("load messages", "gossip", PEERS, ""),
    ("quotas", "quota", LEDGER, SEEN),
)
TOTALS = (
    ((Quantity.BYTES_IN, Quantity.BYTES_OUT), "total, in and out", "control_bytes_per_second"),
    ((Quantity.CPU,), "total", "control_cpu"),
    ((Quantity.MEMORY,), "total", "control_memory_bytes"),
)
TOTALS_WITH_LEARNERS = tuple(
    (quantities, f"{subject}, as a learner in place of consensus", budget) for quantities, subject, budget in TOTALS
)


def totals(rows: list[Definition], sums: tuple[tuple[tuple[Quantity, ...], str, str], ...]) -> list[Definition]:
    """Give the sums over a role's figures of the same quantity."""
    return [
        Definition(
            rows[0].role,
            quantities[-1],
            subject,
            tuple(term for row in rows if row.quantity in quantities for term in row.terms),
            "all of the above",
            budget,
            total=True,
        )
        for quantities, subject, budget in sums
    ]


def replica() -> list[Definition]:
    """Give what one of five control replicas spends."""
    role = Role.REPLICA
    return [
        Definition(role, Quantity.STATE_BYTES, "configuration, one version", document("bytes"), LEARNERS),
        Definition(
            role, Quantity.STATE_BYTES, "log", (slope("replica.log.bytes"),), f"{NOT_BUILT}: compaction of the log"
        ),
        Definition(
            role, Quantity.MESSAGES_IN, "consensus at rest", (slope("accord.messages", at=REPLICAS),), REPLICATION
        ),
        Definition(
            role, Quantity.MESSAGES_OUT, "consensus at rest", (slope("accord.messages", at=REPLICAS),), REPLICATION
        ),
        Definition(role, Quantity.BYTES_IN, "consensus at rest", (slope("accord.bytes", at=REPLICAS),), REPLICATION),
        Definition(role, Quantity.BYTES_OUT, "consensus at rest", (slope("accord.bytes", at=REPLICAS),), REPLICATION),
        Definition(
            role, Quantity.CPU, "consensus at rest", (slope("accord.cpu", at=REPLICAS),), REPLICATION, "machine_cpu"
        ),
        Definition(
            role,
            Quantity.CPU,
            "checking each change as a whole document",
            document("cpu", Factor.CHANGES),
            LEARNERS,
            "machine_cpu",
        ),
        *spread("replica", role, "with distribution, the coordinator"),
        Definition(role, Quantity.MEMORY, "consensus", (slope("accord.memory", at=REPLICAS),), REPLICATION),
        Definition(
            role, Quantity.DESCRIPTORS, "open connections", (slope("replica.descriptors"),), LEARNERS, "descriptors"
        ),
        Definition(
            role,
            Quantity.DURATION,
            "one decision written to disk",
            (slope("replica.commit"),),
            f"{NOT_BUILT}: group commit",
            "in_force_s",
        ),
        Definition(
            role,
            Quantity.DURATION,
            "change decided, one replica silent",
            (slope("accord.change.silent", at=REPLICAS),),
            REPLICATION,
            "in_force_s",
        ),
    ]


def spread(name: str, role: Role, subject: str) -> list[Definition]:
    """Give what a control process of the distribution spends."""
    rows = [
        (Quantity.MESSAGES_IN, "messages_in", ""),
        (Quantity.MESSAGES_OUT, "messages_out", ""),
        (Quantity.BYTES_IN, "bytes_in", ""),
        (Quantity.BYTES_OUT, "bytes_out", ""),
        (Quantity.CPU, "cpu", "machine_cpu"),
    ]
    return [
        *(
            Definition(role, quantity, subject, learning(name, part), LEARNERS, budget)
            for quantity, part, budget in rows
        ),
        Definition(role, Quantity.MEMORY, subject, (slope(f"distribution.{name}.memory"),), LEARNERS),
    ]


def distributor() -> list[Definition]:
    """Give what one distributor spends; gateways are spread evenly over the distributors."""
    role = Role.DISTRIBUTOR
    anew = (Factor.RECONNECTIONS, Factor.PER_DISTRIBUTOR)
    return [
        Definition(role, Quantity.STATE, "watches held", (counted(Factor.WATCHES),), LEARNERS),
        *spread("distributor", role, "the busiest of five"),
        Definition(
            role, Quantity.BYTES_OUT, "whole documents to those that connect", document("bytes", *anew), LEARNERS
        ),
        Definition(role, Quantity.DESCRIPTORS, "watches", (counted(Factor.WATCHES),), LEARNERS, "descriptors"),
        *(
            Definition(
                role,
                Quantity.DURATION,
                f"change submitted to in force everywhere, {which}",
                (slope(f"distribution.in_force.{which}"),),
                LEARNERS,
                "in_force_s",
            )
            for which in ("median", "99th", "slowest")
        ),
        *(
            Definition(
                role,
                Quantity.DURATION,
                f"change committed to in force everywhere, {which}",
                (slope(f"distribution.commit_in_force.{which}"),),
                LEARNERS,
                "in_force_s",
            )
            for which in ("median", "99th", "slowest")
        ),
    ]


def discovery() -> list[Definition]:
    """Give what one agent of discovery spends; one stands on each control machine."""
    role = Role.DISCOVERY
    fanned = (Factor.LIST_CHANGES, Factor.SHARE)
    whole = (Factor.WHOLE_LISTS, Factor.PER_MACHINE)
    return [
        Definition(role, Quantity.STATE, "servers", (counted(Factor.SERVERS),), AGENT),
        Definition(role, Quantity.STATE_BYTES, "list of servers", (slope("discovery.whole_list.bytes"),), AGENT),
        Definition(role, Quantity.MESSAGES_IN, "health of servers", (slope("discovery.agent.messages.in"),), AGENT),
        Definition(role, Quantity.MESSAGES_OUT, "answers with a change", (counted(*fanned),), AGENT),
        Definition(role, Quantity.BYTES_IN, "health of servers", (slope("discovery.agent.bytes.in"),), AGENT),
        Definition(
            role, Quantity.BYTES_OUT, "answers with a change", (slope("discovery.change.bytes", *fanned),), AGENT
        ),
        Definition(role, Quantity.BYTES_OUT, "whole lists", (slope("discovery.whole_list.bytes", *whole),), AGENT),
        Definition(role, Quantity.CPU, "all", (slope("discovery.agent.cpu"),), AGENT, "machine_cpu"),
        Definition(role, Quantity.MEMORY, "all", (slope("discovery.agent.memory"),), AGENT),
        Definition(role, Quantity.DESCRIPTORS, "watches", (counted(Factor.SHARE),), AGENT, "descriptors"),
    ]


def counter() -> list[Definition]:
    """Give what the shared counter of quotas spends."""
    role = Role.COUNTER
    calls = slope("counter.calls", Factor.GATEWAYS)
    loans = slope("quota.counter.calls", Factor.GATEWAYS, at=SEEN)
    return [
        Definition(role, Quantity.STATE, "accounts", (counted(Factor.TENANTS),), PLATFORM),
        Definition(role, Quantity.MESSAGES_IN, "calls, quotas without shares", (calls,), PLATFORM),
        Definition(role, Quantity.MESSAGES_IN, "calls, quotas in owned shares", (loans,), PLATFORM),
        Definition(role, Quantity.MESSAGES_OUT, "answers, quotas without shares", (calls,), PLATFORM),
        Definition(role, Quantity.MESSAGES_OUT, "answers, quotas in owned shares", (loans,), PLATFORM),
        Definition(role, Quantity.BYTES_IN, "calls", (slope("counter.bytes.in", Factor.GATEWAYS),), PLATFORM),
        Definition(role, Quantity.BYTES_OUT, "answers", (slope("counter.bytes.out", Factor.GATEWAYS),), PLATFORM),
        Definition(role, Quantity.CPU, "calls", (slope("counter.cpu", Factor.GATEWAYS),), PLATFORM),
        Definition(role, Quantity.MEMORY, "accounts", (slope("counter.memory"),), PLATFORM),
        Definition(role, Quantity.DESCRIPTORS, "one connection a gateway", (counted(Factor.GATEWAYS),), PLATFORM),
    ]


def tool() -> list[Definition]:
    """Give what an operator's command spends that looks at all gateways, or checks a whole configuration."""
    role = Role.TOOL
    return [
        Definition(role, Quantity.STATE, "views held side by side", (counted(Factor.GATEWAYS),), MANAGEMENT),
        Definition(
            role, Quantity.MESSAGES_IN, "answers, at one look a second", (counted(Factor.GATEWAYS),), MANAGEMENT
        ),
        Definition(role, Quantity.MESSAGES_OUT, "calls, at one look a second", (counted(Factor.GATEWAYS),), MANAGEMENT),
        Definition(
            role,
            Quantity.BYTES_IN,
            "views, at one look a second",
            (slope("tool.view.bytes", Factor.GATEWAYS),),
            MANAGEMENT,
        ),
        Definition(
            role,
            Quantity.BYTES_OUT,
            "calls, at one look a second",
            (slope("tool.call.bytes", Factor.GATEWAYS),),
            MANAGEMENT,
        ),
        Definition(role, Quantity.CPU, "one look a second", (slope("tool.look.cpu", Factor.GATEWAYS),), MANAGEMENT),
        Definition(role, Quantity.DURATION, "check of a whole configuration", document("cpu"), DOCUMENT, "in_force_s"),
        Definition(role, Quantity.MEMORY, "views", (slope("tool.view.memory", Factor.GATEWAYS),), MANAGEMENT),
        Definition(
            role, Quantity.DESCRIPTORS, "calls at once", (counted(Factor.CALLS_AT_ONCE),), MANAGEMENT, "descriptors"
        ),
    ]


def definitions() -> tuple[Definition, ...]:
    """Give all figures, role by role."""
    return (*serving(), *control(), *replica(), *distributor(), *discovery(), *counter(), *tool())
