"""The operators' file as typed structures. A section for each subsystem; what is absent has these defaults.

The bounds stand in the types, so that the schema, the check and the gateway cannot differ. Times are
milliseconds (``_ms``) or seconds (``_s``).
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

Whole = Annotated[int, Meta(ge=1, le=4096)]


class Cold(Struct, frozen=True, forbid_unknown_fields=True):
    """How a box that has just started gets its first connections."""

    per_s: Annotated[
        float,
        Meta(
            gt=0.0,
            le=1000.0,
            description=(
                "new connections a second, of all gateways together, to a box that has just started; rises evenly to "
                "eight times that until the box is warm"
            ),
        ),
    ] = 12.0
    at_once: Annotated[
        int,
        Meta(
            ge=1, le=64, description=("connections that one gateway has coming up at a time at a box that is not warm")
        ),
    ] = 2
    ms: Annotated[
        float,
        Meta(ge=0.0, le=600000.0, description=("how long a box counts as cold; 0 takes the platform's own figure")),
    ] = 0.0


class Stale(Struct, frozen=True, forbid_unknown_fields=True):
    """How connections are retired before the box drops them."""

    tolerance: Annotated[
        float,
        Meta(
            gt=0.0,
            le=0.5,
            description=(
                "share of uses at some idle time that may break, beyond what breaks on fresh connections, before "
                "connections are no longer kept for so long; a tenth of it for requests whose repeat is not free"
            ),
        ),
    ] = 0.01
    half_life_s: Annotated[
        float,
        Meta(
            ge=1.0,
            le=3600.0,
            description=(
                "seconds in which what was learned of a box loses half its weight; a limit that was learned is tried "
                "anew after about five of them"
            ),
        ),
    ] = 30.0
    proven_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=60000.0,
            description=(
                "idle time that nobody has yet survived at a box up to which a request whose repeat is not free still "
                "uses a kept connection"
            ),
        ),
    ] = 1000.0
    idle_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=600000.0,
            description=("longest idle time of a connection; 0 takes 0.8 of the platform's own figure"),
        ),
    ] = 0.0


class Links(Struct, frozen=True, forbid_unknown_fields=True):
    """Connections to boxes."""

    per_box: Annotated[int, Meta(ge=1, le=1024, description="connections to one box at most")] = 64
    total: Annotated[
        int,
        Meta(
            ge=0,
            le=65536,
            description=(
                "connections to all boxes at most; 0 takes the boxes' share of the descriptors, which is never passed"
            ),
        ),
    ] = 0
    opening_per_box: Annotated[int, Meta(ge=1, le=1024, description=("connections coming up at a time at one box"))] = (
        16
    )
    opening: Annotated[int, Meta(ge=1, le=4096, description=("connections coming up at a time at all boxes"))] = 64
    wait_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=10000.0,
            description=(
                "how long a request waits for a connection when none may be opened, before it is told as never sent; "
                "a quarter of its time at most"
            ),
        ),
    ] = 100.0
    reuse: Annotated[
        Literal["last_used", "oldest", "least_used"], Meta(description=("which idle connection is used first"))
    ] = "last_used"
    ahead: Annotated[
        int,
        Meta(
            ge=0, le=64, description=("spare connections opened ahead to a box whose requests had to wait for new ones")
        ),
    ] = 0
    warm_up_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=600000.0,
            description=(
                "time over which a gateway that starts opens its first connection to each warm box, in an order of its "
                "own; 0 opens none ahead"
            ),
        ),
    ] = 0.0
    max_age_s: Annotated[
        float,
        Meta(
            ge=0.0,
            le=86400.0,
            description=("age, give or take a fifth, at which a connection is not used again; 0 for no such age"),
        ),
    ] = 600.0
    max_uses: Annotated[
        int,
        Meta(
            ge=0,
            le=1000000000,
            description=("uses, give or take a fifth, after which a connection is not used again; 0 for no such count"),
        ),
    ] = 0
    cold: Cold = Cold()
    stale: Stale = Stale()


Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$")]
Share = Annotated[float, Meta(gt=0.0, le=1.0)]


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """A pool: the boxes for which all that is stated here holds, by what discovery says of them."""

    name: Name
    kind: str | None = None
    zone: str | None = None
    cell: int | None = None
    id: Annotated[str, Meta(description="regular expression that the whole id matches")] | None = None


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """One step of a move."""

    share: Share  # of the traffic that may move, on the target
    least_s: Annotated[float, Meta(ge=0.0, le=86400.0)] = 20.0
    least_evidence: Annotated[int, Meta(ge=0, le=10000000, description="matched answers in this step")] = 100


class Worse(Struct, frozen=True, forbid_unknown_fields=True):
    """What counts as worse."""

    tolerated: Annotated[
        float, Meta(ge=1.0, le=10.0, description=("ratio of latencies up to which nothing is halted"))
    ] = 1.05
    accepted: Annotated[
        float,
        Meta(
            ge=1.0,
            le=10.0,
            description=("ratio of latencies that the target must be shown to stay under before a step forward"),
        ),
    ] = 1.15
    margin: Annotated[float, Meta(ge=0.0, le=0.5, description="share of errors that is not worse")] = 0.01
    alpha: Annotated[
        float, Meta(gt=0.0, le=0.2, description=("chance that a move between equal pools is ever halted"))
    ] = 0.01
    source_drift: Annotated[
        float,
        Meta(
            ge=1.0,
            le=100.0,
            description=("the source itself this much slower than at the move's begin: hold, blame nobody"),
        ),
    ] = 1.6


class LeaveOut(Struct, frozen=True, forbid_unknown_fields=True):
    """Who stays with the source all along."""

    classes: tuple[str, ...] = ()
    plans: tuple[str, ...] = ()
    districts: tuple[str, ...] = ()


class Window(Struct, frozen=True, forbid_unknown_fields=True):
    """A time, in Unix seconds, in which no move begins."""

    start_s: float
    end_s: float


class Move(Struct, frozen=True, forbid_unknown_fields=True):
    """A move of traffic from one pool to another. Another name is another move, which begins anew."""

    name: Name
    source: Name
    target: Name
    steps: Annotated[tuple[Step, ...], Meta(min_length=1, max_length=32)] = (
        Step(0.1),
        Step(0.25),
        Step(0.5),
        Step(1.0),
    )
    by: Annotated[Literal["request", "district"], Meta(description="what the hash is taken of")] = "request"
    order: Annotated[
        Literal["run", "pause", "undo", "finish"],
        Meta(
            description=("the operators' word: run it, hold where it is, bring all back, or take the target for good")
        ),
    ] = "run"
    spill: Annotated[
        Literal["source", "refuse"],
        Meta(
            description=(
                "what becomes of the target's requests when it has no room: the source serves them, or they are refused"
            )
        ),
    ] = "source"
    worse: Worse = Worse()
    leave_out: LeaveOut = LeaveOut()
    closed: tuple[Window, ...] = ()
    record: Annotated[
        str,
        Meta(
            description=(
                "file to which every judged answer is appended as a line of JSON, for `petrelhall shift "
                "replay`; a disk "
                "that stalls holds up serving, so not where that matters; empty for none"
            )
        ),
    ] = ""
    undo_per_s: Annotated[
        float, Meta(gt=0.0, le=10.0, description=("share of the traffic brought back a second when the move is undone"))
    ] = 0.2


class Shift(Struct, frozen=True, forbid_unknown_fields=True):
    """Pools of boxes, and a move between two of them."""

    pools: Annotated[tuple[Pool, ...], Meta(min_length=1, max_length=64)]
    default: Annotated[str, Meta(description="pool of boxes that no pool wants; empty: such a box is an error")] = ""
    move: Move | None = None


class Membership(Struct, frozen=True, forbid_unknown_fields=True):
    """What gateways know of each other. Takes hold at a start."""

    on: Annotated[bool, Meta(description="off wherever the platform's settings do not let gateways speak")] = False
    share: Annotated[
        float,
        Meta(
            ge=0.01,
            le=0.5,
            description=("share of the messages that a gateway takes in a second; what it leaves is the other parts'"),
        ),
    ] = 0.1
    late_ms: Annotated[
        float,
        Meta(
            ge=1.0,
            le=5000.0,
            description=("longest time that a message between gateways takes in ordinary times; doubts wait for it"),
        ),
    ] = 300.0
    boxes_out: Annotated[
        float,
        Meta(
            ge=0.0,
            le=0.5,
            description=(
                "share of the boxes, rounded down, that are left out at most because several gateways find them bad; 0 "
                "leaves none out"
            ),
        ),
    ] = 0.2


class Quota(Struct, frozen=True, forbid_unknown_fields=True):
    """Quotas and ceilings that gateways own in shares. Takes hold at a start."""

    on: Annotated[
        bool,
        Meta(
            description=(
                "quotas and ceilings hold within the stated error whatever the network does, at the price of "
                "units lost on "
                "their way; without messages between gateways each keeps to an even slice"
            )
        ),
    ] = False
    share: Annotated[
        float,
        Meta(
            ge=0.01, le=0.8, description=("share of the messages that a gateway takes in a second, for asks and loans")
        ),
    ] = 0.3
    counter: Annotated[
        Literal["alone", "always", "never"],
        Meta(
            description=(
                "when units are lent through the shared counter: where gateways cannot speak, always, or never"
            )
        ),
    ] = "alone"


class Accord(Struct, frozen=True, forbid_unknown_fields=True):
    """Changes of the shared part that take hold on all gateways or on none. Takes hold at a start."""

    on: Annotated[bool, Meta(description="off wherever the platform's settings do not let gateways speak")] = False
    unsure: Annotated[
        Literal["refuse", "strictest"],
        Meta(
            description=(
                "what a gateway does while two versions may be in force: refuse with 503, or serve by the "
                "stricter of both in "
                "each field where it holds both; where it cannot know it refuses"
            )
        ),
    ] = "refuse"
    lease_ms: Annotated[
        float,
        Meta(
            ge=500.0,
            le=60000.0,
            description=(
                "for which a gateway may serve after it last heard from a majority; longer where messages are too few"
            ),
        ),
    ] = 2000.0
    hold_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=3600000.0,
            description=(
                "added to that, so that what is in force stays while a majority is lost; changes wait for it "
                "where one is away"
            ),
        ),
    ] = 0.0
    wait_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=1000.0,
            description=("how long a request waits where a change is just taking hold, before it is refused"),
        ),
    ] = 150.0
    late_ms: Annotated[
        float,
        Meta(ge=1.0, le=5000.0, description=("longest time that a message between gateways takes in ordinary times")),
    ] = 300.0
    share: Annotated[
        float, Meta(ge=0.01, le=0.8, description=("share of the messages that a gateway takes in a second"))
    ] = 0.3
    voters: Annotated[
        int, Meta(ge=1, le=15, description=("gateways that vote, spread over all; the same in all files"))
    ] = 7
    begin: Annotated[
        Literal["wait", "file"],
        Meta(
            description=(
                "until a gateway has heard what is in force: refuse, or serve by its own file, for the time "
                "in which this is "
                "switched on gateway by gateway"
            )
        ),
    ] = "wait"
    stamp: Annotated[
        bool, Meta(description=("tell boxes in X-Policy under which version, and when, a request was admitted"))
    ] = False
    folder: Annotated[
        str, Meta(description=("folder that lasts, for this gateway's votes and documents; empty for none"))
    ] = ""


class Distribution(Struct, frozen=True, forbid_unknown_fields=True):
    """The shared part learned from distributors (`petrelhall.replica`), in place of accord. Takes hold at a start."""

    on: bool = False
    distributors: Annotated[
        tuple[Annotated[str, Meta(pattern=r"^[^\s:]+:[0-9]{1,5}$")], ...],
        Meta(
            max_length=16,
            description=(
                "HOST:PORT of each; a gateway begins with the one at the place of its own position, and falls back on "
                "the next"
            ),
        ),
    ] = ()
    lease_ms: Annotated[
        int,
        Meta(
            ge=300,
            le=60000,
            description="for which a gateway may serve after it last asked; that of the control processes' files",
        ),
    ] = 1500
    wait_ms: Annotated[
        float,
        Meta(
            ge=0.0,
            le=1000.0,
            description="how long a request waits where a change is just taking hold, before it is refused",
        ),
    ] = 400.0
    begin: Annotated[
        Literal["wait", "file"],
        Meta(description="until anything was heard: refuse, or serve by the shared part of the file"),
    ] = "wait"
    stamp: Annotated[
        bool, Meta(description="tell boxes in X-Policy under which version a request was admitted, and when")
    ] = False


class Limits(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What is said of a plan in place of the platform's own figures."""

    rate: Annotated[float, Meta(ge=0.0, le=1e9, description="units a second")] | None = None
    burst: Annotated[float, Meta(ge=0.0, le=1e9, description="units")] | None = None
    max_open: Annotated[int, Meta(ge=0, le=1000000, description="attempts out; 0 for no such limit")] | None = None
    ceiling_rate: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None
    ceiling_burst: Annotated[float, Meta(ge=0.0, le=1e9)] | None = None


class ClassLimits(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What is said of a class of requests."""

    deadline_ms: Annotated[
        float,
        Meta(gt=0.0, le=3600000.0, description=("longest deadline; the platform's own holds where it is shorter")),
    ]


class Shared(Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What all gateways must agree on; with accord or distribution on, changed by their commands only."""

    plans: dict[str, Limits] = {}
    classes: dict[str, ClassLimits] = {}
    move: Annotated[Move, Meta(description="between pools of shift, in place of the move there")] | None = None


class File(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    links: Links = Links()
    shift: Shift | None = None
    members: Membership = Membership()
    quota: Quota = Quota()
    accord: Accord = Accord()
    distribution: Distribution = Distribution()
    shared: Shared = Shared()
