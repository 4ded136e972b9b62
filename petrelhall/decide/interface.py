"""Interface of the decision module: its settings, the events it receives and the actions it returns.

All times are milliseconds on one monotonic clock; ``now`` is passed in with each event.
This module holds data types only: every decision is made in ``policy.py``.

Some names must not change: stored snapshots contain a hash of the ``repr`` of ``Plan`` and ``RequestClass``, and the
class name of an event selects its handler (``on_arrival`` for ``Arrival``).
"""

from __future__ import annotations

import functools
import math
import zlib
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed more than once."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Ending(Enum):
    """Result of an attempt, a probe or a counter call; ``MOOT``: the attempt was never sent."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@functools.lru_cache(maxsize=1024)
def server_number(address: str) -> int:
    """Return the 32 bits that stand for a server's id."""
    return zlib.crc32(address.encode())


@dataclass(frozen=True)
class RequestClass:
    """One class of requests; ``group`` and ``window_ms`` apply to keyed requests only."""

    effect: Effect
    aim_ms: float  # target latency
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0  # 0: an answer after the target latency is worth nothing
    group: str = "all"  # which servers share a key: all, or those with the same value of this attribute of Server
    window_ms: float = 0.0  # time in which servers recognize a key
    streamed: bool = False


@dataclass(frozen=True)
class Plan:
    """The limits of one customer, across all gateways together; 0 means no such limit."""

    rate: float  # quota, units/s
    burst: float  # size of the quota's token bucket, units
    max_open: int = 0  # limit on concurrent attempts
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0  # units/s
    ceiling_burst: float = 0.0  # size of the ceiling's token bucket, units
    ceiling_slack: float = 0.0


@dataclass(frozen=True)
class Settings:
    """Everything that a gateway is configured with at startup."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    position: int = 0  # this gateway's number among the gateways
    gateways: int = 1
    zone: int = 0
    subscribe: bool = False
    ask_every_ms: float = 10000.0
    max_attempts: int = 3
    second_copies: bool = False
    cancel: bool = False
    cancel_stops_work: bool = False
    probes: bool = False
    reports_with_answers: bool = False
    report_names: tuple[str, ...] = ()
    peers: bool = False
    peer_messages_per_s: float = 0.0
    counter: bool = False
    counter_wait_ms: float = 0.0
    meter_ms: float = 0.0  # period of the meter of customers' use; 0: there is none
    largest_units: float = 1.0  # most units that one request takes
    cost_after: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients ignore Retry-After
    drain_grace_ms: float = 0.0
    cold_from: float = 1.0  # share of a warm server's work that a server can do when it starts
    cold_ms: float = 0.0  # time after its start in which a server becomes warm
    overload_factor: float = 1.0  # load that overloads a server within ``fall_ms``, over that of a warm server
    fall_ms: float = 1000.0  # time in which such a load overloads a server
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0

    def __post_init__(self) -> None:
        """Reject invalid settings with an error that names the field."""
        if not self.classes:
            raise ValueError("classes: at least one class is required")
        for name in ("gateways", "max_attempts", "largest_units"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")
        for name in ("meter_ms", "cold_ms", "fall_ms", "max_retry_after_ms", "peer_messages_per_s"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        for index, request_class in enumerate(self.classes):
            if request_class.aim_ms <= 0 or request_class.deadline_ms <= 0:
                raise ValueError(f"classes[{index}]: aim_ms and deadline_ms must be above 0")
        for index, plan in enumerate(self.plans):
            for name in ("rate", "burst", "max_open", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
                if getattr(plan, name) < 0:
                    raise ValueError(f"plans[{index}].{name}: must not be negative")


# Events


@dataclass(frozen=True)
class Started:
    """The gateway has started; its only state is its settings."""


@dataclass(frozen=True)
class Server:
    """One entry of the server list; ``since_ms`` 0 means that the server started long ago."""

    address: str
    zone: int = 0
    cell: int = 0
    phase: str = "healthy"
    weight: float = 1.0
    since_ms: float = 0.0
    pool: str = ""  # name that the operators give to a part of the fleet


@dataclass(frozen=True)
class ServerList:
    """An update from discovery; ``kind`` is ``delta``, ``full``, ``cached`` or ``failed``."""

    kind: str
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True)
class Arrival:
    """A request was accepted; it must get exactly one final answer within ``left_ms``."""

    request: int
    request_class: int
    plan: int
    customer: str
    left_ms: float
    units: float = 1.0
    set_size: int = 1
    repeat: bool = False
    pools: tuple[str, ...] = ()  # pools that may serve it, in order of preference; empty: all
    set_first: int = 0  # first gateway of the customer's set: ``set_size`` consecutive numbers, wrapping around
    # When an earlier request with the same id, which may have run, was sent, and ``server_number`` of its server.
    ran_at: float = math.inf
    ran_on: int = 0
    is_upload: bool = False  # its body is passed on while the client sends it, so an attempt lasts at least as long


@dataclass(frozen=True)
class StreamStarted:
    """The response has started to stream to the client."""

    request: int
    attempt: int


@dataclass(frozen=True)
class Outcome:
    """The result of an attempt. ``used`` is the customer's metered use as a fraction of its rate."""

    request: int
    attempt: int
    server: str
    ending: Ending
    latency_ms: float
    finished: bool = False
    used: float | None = None
    actual_units: float | None = None
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ClientGone:
    """The client disconnected; it needs no answer any more."""

    request: int


@dataclass(frozen=True)
class Alarm:
    """A timer requested with ``SetTimer`` has expired."""

    token: int


@dataclass(frozen=True)
class ProbeResult:
    """The result of a ``Probe``."""

    server: str
    ending: Ending
    latency_ms: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessage:
    """A datagram from another gateway; it may be delayed, and its content may be invalid."""

    sender: int
    content: bytes


@dataclass(frozen=True)
class CounterReply:
    """The result of a ``CounterAdd``."""

    name: int
    ending: Ending
    total: float = 0.0


Event = (
    Started
    | ServerList
    | Arrival
    | StreamStarted
    | Outcome
    | ClientGone
    | Alarm
    | ProbeResult
    | PeerMessage
    | CounterReply
)


# Actions


@dataclass(frozen=True)
class Send:
    """Start an attempt; ``timeout_ms`` 0 means no timeout other than the client's own.

    ``write_by`` is the latest time (ms, on the module's clock) at which the request may be written: a retry that
    waited for a connection until its deduplication window closed must not be sent.
    """

    request: int
    server: str
    timeout_ms: float = 0.0
    write_by: float = math.inf


@dataclass(frozen=True)
class Refuse:
    """Final answer: the request was not served and is safe to retry."""

    request: int
    retry_after_ms: float = 0.0
    cause: str = ""  # for operators: ceiling, cut, time, pace, open, quota; empty: no server


@dataclass(frozen=True)
class Fail:
    """Final answer: the request was not served, but may have had effects."""

    request: int


@dataclass(frozen=True)
class Cancel:
    """Cancel one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True)
class SetTimer:
    """Request an ``Alarm`` with this token after ``after_ms``."""

    after_ms: float
    token: int


@dataclass(frozen=True)
class Probe:
    """Request a load report from a server."""

    server: str


@dataclass(frozen=True)
class Tell:
    """Send a datagram to the gateways numbered in ``to``; empty: to all other gateways."""

    content: bytes
    to: tuple[int, ...] = ()


@dataclass(frozen=True)
class CounterAdd:
    """Add ``amount`` to a named counter that all gateways share."""

    name: int
    amount: float
    expire_ms: float


@dataclass(frozen=True)
class Subscribe:
    """Subscribe to updates of the server list."""


@dataclass(frozen=True)
class Note:
    """A line for the operators' log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Tell | CounterAdd | Subscribe | Note
