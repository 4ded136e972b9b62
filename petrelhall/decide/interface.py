"""What a gateway is told and what it answers: settings, events and actions.

All times are milliseconds on one clock that only goes forward; ``now`` is handed in with each event.
Nothing here decides anything: every decision lies in ``policy.py``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running a request a second time would do."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    ONCE = "once"


class Ending(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


@dataclass(frozen=True)
class RequestClass:
    """One kind of request; ``group`` and ``window_ms`` matter for keyed requests only."""

    effect: Effect
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    group: str = "all"
    window_ms: float = 0.0
    streamed: bool = False


@dataclass(frozen=True)
class Plan:
    """The limits of one customer, over all gateways together; 0 stands for no such limit."""

    rate: float
    burst: float
    max_open: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    position: int = 0
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
    meter_ms: float = 0.0
    largest_units: float = 1.0
    cost_after: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients take no advice
    drain_grace_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    overload_factor: float = 1.0
    fall_ms: float = 1000.0
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0

    def __post_init__(self) -> None:
        """Refuse settings that make no sense, naming the field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
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
    """The gateway comes up and knows nothing but its settings."""


@dataclass(frozen=True)
class Server:
    """A line of the list of servers; ``since_ms`` 0 means started long ago."""

    address: str
    zone: int = 0
    cell: int = 0
    phase: str = "healthy"
    weight: float = 1.0
    since_ms: float = 0.0
    pool: str = ""  # the operators' name for a part of the fleet


@dataclass(frozen=True)
class ServerList:
    """Discovery's news: ``delta``, ``full``, ``cached`` or ``failed``."""

    kind: str
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True)
class Arrival:
    """A request has been taken; it is owed one final answer within ``left_ms``."""

    request: int
    request_class: int
    plan: int
    customer: str
    left_ms: float
    units: float = 1.0
    set_size: int = 1
    repeat: bool = False
    pools: tuple[str, ...] = ()  # among whose servers it may go, in order; empty: all
    set_first: int = 0  # number of the first gateway that the customer uses; ``set_size`` in a row, counted round


@dataclass(frozen=True)
class StreamStarted:
    """The answer has begun to flow to the client."""

    request: int
    attempt: int


@dataclass(frozen=True)
class Outcome:
    """How an attempt ended. ``used`` is the customer's metered use as a share of its rate."""

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
    """The client left; nothing more is owed."""

    request: int


@dataclass(frozen=True)
class Alarm:
    """A timer set by the gateway has come due."""

    token: int


@dataclass(frozen=True)
class ProbeResult:
    """The answer to a probe."""

    server: str
    ending: Ending
    latency_ms: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerMessage:
    """Bytes from another gateway; they may be late, lost or junk."""

    sender: int
    content: bytes


@dataclass(frozen=True)
class CounterReply:
    """The answer to a call of the shared counter."""

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
    """Start an attempt; ``timeout_ms`` 0 means until the client gives up.

    ``write_by`` is the last time (ms, on the module's clock) at which it may be written: a repeat that waits for a
    connection until its window is over must not go any more.
    """

    request: int
    server: str
    timeout_ms: float = 0.0
    write_by: float = math.inf


@dataclass(frozen=True)
class Refuse:
    """Final: not served, and safe to ask again."""

    request: int
    retry_after_ms: float = 0.0
    cause: str = ""  # for people: ceiling, cut, time, pace, open, quota; none: no server


@dataclass(frozen=True)
class Fail:
    """Final: not served, with no promise about effects."""

    request: int


@dataclass(frozen=True)
class Cancel:
    """Call off one attempt."""

    request: int
    attempt: int


@dataclass(frozen=True)
class SetTimer:
    """Ask for an ``Alarm`` after some time."""

    after_ms: float
    token: int


@dataclass(frozen=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(frozen=True)
class Tell:
    """Send bytes to other gateways, by their numbers; none named: to every one."""

    content: bytes
    to: tuple[int, ...] = ()


@dataclass(frozen=True)
class CounterAdd:
    """Add to a named number that all gateways share."""

    name: int
    amount: float
    expire_ms: float


@dataclass(frozen=True)
class Subscribe:
    """Follow the list of servers from now on."""


@dataclass(frozen=True)
class Note:
    """A line for the people on call."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Tell | CounterAdd | Subscribe | Note
