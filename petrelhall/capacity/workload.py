"""How often things happen on an ordinary day and in the worst minutes, derived from the size. Pure.

A machine that fails, is restarted or is replaced belongs to the servers, the gateways or the control machines in
proportion to their numbers. A server that goes and comes back changes two entries of the list of servers. A gateway
that starts, or that loses the process it watches, asks for its documents again.
"""

from __future__ import annotations

import msgspec

from petrelhall.capacity.sizes import Size

DAY_S = 86400.0
MINUTE_S = 60.0
CHANGE_BURST = 8.0
CHANGE_BURST_WHY = (
    "people and pipelines work in about a third of the day and release in batches at the hour; "
    "8 times the mean is also the one change a second that the scale drill plays"
)
ROLLOUT_BURST = 10.0
ROLLOUT_BURST_WHY = (
    "machines are replaced service by service: a rollout that replaces a fifth of a day's 3,000 machines "
    "within half an hour runs at about 10 times the mean"
)
RACK_MACHINES = 40.0
RACK_WHY = "40 machines stand behind one top-of-rack switch, mixed as all machines are"
ENTRIES_PER_RESTART = 2.0  # of the list of servers: the server goes, the server is back
ONCE_A_MINUTE = 1.0 / MINUTE_S  # a gateway that starts or returns in this minute asks for one whole list
TENANT_KEPT_S = 15.0  # for which the decision module remembers a tenant after its last request


class Rates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What happens a second in one state of the deployment. Rates are of the whole deployment if not said otherwise."""

    name: str
    why: str  # what is assumed, and the reason for it
    requests: float  # at one gateway
    tenants_seen: float  # tenants that one gateway remembers
    changes: float  # configuration changes
    list_changes: float  # entries of the list of servers
    gateway_starts: float
    reconnections: float  # gateways that connect to a control process anew, starts among them
    whole_lists: float  # whole lists of servers asked of discovery
    whole_lists_here: float  # of these by the gateway that the tables look at


def ordinary(size: Size) -> Rates:
    """Give the mean of an ordinary day, with the requests of its peak."""
    turnover = (size.failures_per_day + size.restarts_per_day) / DAY_S
    starts = turnover * size.gateways / size.machines
    return Rates(
        name="ordinary day",
        why="the day's mean; requests at the peak",
        requests=size.requests_per_gateway,
        tenants_seen=tenants_seen(size, size.requests_per_gateway),
        changes=size.changes_per_day / DAY_S,
        list_changes=ENTRIES_PER_RESTART * turnover * size.servers / size.machines,
        gateway_starts=starts,
        reconnections=starts,
        whole_lists=starts,
        whole_lists_here=starts / size.gateways,
    )


def tenants_seen(size: Size, requests: float) -> float:
    """Give the most tenants that one gateway remembers: each of its requests may be another tenant's."""
    return min(float(size.tenants), max(1.0, requests * TENANT_KEPT_S))


def worst_minutes(size: Size) -> tuple[Rates, ...]:
    """Give the worst minutes, each by itself: they have different causes and are not added up."""
    day = ordinary(size)
    busy = msgspec.structs.replace(day, changes=CHANGE_BURST * day.changes)
    return (rollout(day), rack_lost(size, busy), zone_lost(size, busy), region_back(size, busy), zone_start(size, busy))


def rollout(day: Rates) -> Rates:
    """Give the minute of a large rollout beside a batch of configuration changes."""
    return msgspec.structs.replace(
        day,
        name="rollout",
        why=f"changes x {CHANGE_BURST:g}: {CHANGE_BURST_WHY}; restarts x {ROLLOUT_BURST:g}: {ROLLOUT_BURST_WHY}",
        changes=CHANGE_BURST * day.changes,
        list_changes=ROLLOUT_BURST * day.list_changes,
        gateway_starts=ROLLOUT_BURST * day.gateway_starts,
        reconnections=ROLLOUT_BURST * day.reconnections,
        whole_lists=ROLLOUT_BURST * day.whole_lists,
        whole_lists_here=ONCE_A_MINUTE,
    )


def rack_lost(size: Size, busy: Rates) -> Rates:
    """Give the minute in which a rack or its switch goes."""
    lost = min(1.0, RACK_MACHINES / size.machines)
    return msgspec.structs.replace(
        busy,
        name="rack lost",
        why=f"{RACK_WHY}; all its servers leave the list in that minute",
        list_changes=busy.list_changes + lost * size.servers / MINUTE_S,
    )


def zone_lost(size: Size, busy: Rates) -> Rates:
    """Give the minute in which a zone goes: its servers leave the list, its gateways' requests go to the others."""
    share = 1.0 / size.zones
    requests = busy.requests / (1.0 - share) if size.zones > 1 else busy.requests
    watching = size.gateways * (1.0 - share) * share
    return msgspec.structs.replace(
        busy,
        name="zone lost",
        why=(
            "zones are alike; all servers of one leave the list, the remaining gateways take its requests, and those "
            "that watched a control process in it connect to another"
        ),
        requests=requests,
        tenants_seen=tenants_seen(size, requests),
        list_changes=busy.list_changes + share * size.servers / MINUTE_S,
        reconnections=busy.reconnections + watching / MINUTE_S,
    )


def region_back(size: Size, busy: Rates) -> Rates:
    """Give the minute in which a region that was cut off returns."""
    share = 1.0 / size.regions
    back = share * size.gateways / MINUTE_S
    return msgspec.structs.replace(
        busy,
        name="region back",
        why=(
            "regions are alike; after minutes apart all entries of one come back to the list at once (as many left it "
            "when it was cut off), and its gateways connect again and need whole documents"
        ),
        list_changes=busy.list_changes + share * size.servers / MINUTE_S,
        reconnections=busy.reconnections + back,
        whole_lists=busy.whole_lists + back,
        whole_lists_here=ONCE_A_MINUTE,
    )


def zone_start(size: Size, busy: Rates) -> Rates:
    """Give the minute in which all gateways of a zone start at once."""
    starts = size.gateways / size.zones / MINUTE_S
    return msgspec.structs.replace(
        busy,
        name="zone starts",
        why="the power of a zone returns: all its gateways start within one minute and hold nothing",
        gateway_starts=busy.gateway_starts + starts,
        reconnections=busy.reconnections + starts,
        whole_lists=busy.whole_lists + starts,
        whole_lists_here=ONCE_A_MINUTE,
    )
