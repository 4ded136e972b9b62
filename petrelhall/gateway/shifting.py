"""Carries out a traffic shift between two server pools.

Assigns servers and requests to pools and reports to the core in ``shift.move`` how attempts end.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable

import ujson
import xxhash

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.peers import SHIFT_KIND
from petrelhall.gateway.requests import Request
from petrelhall.links.attempt import AttemptResult
from petrelhall.links.plan import ConnectionPlan
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Timer, now_ms
from petrelhall.operator.settings import Shift
from petrelhall.shift.judge import Answer
from petrelhall.shift.move import Mover, State, Turn
from petrelhall.shift.plan import PoolError, Pools, side

TICK_MS = 250.0
# SHIFT_KIND, the move's digest, state, step, and the log wealth (evidence) of the tests for slower answers and for
# errors.
PEER_MESSAGE = struct.Struct("<cIBBff")
ANNOUNCE_INTERVAL_MS = 1000.0
JUDGED_ENDINGS = {Ending.OK, Ending.ERROR, Ending.RESET, Ending.TIMEOUT, Ending.FULL, Ending.CONNECT_FAILED}
STATES = list(State)  # peer messages carry an index into it


class TrafficShifter:
    """One gateway's part in the operators' move; does nothing if none is configured."""

    def __init__(
        self,
        loop: Loop,
        registry: ServerRegistry,
        connection_plan: ConnectionPlan,
        on_event: Callable[[api.Event], None],
        counts: Counts,
        log: Callable[[str], None],
        classes: tuple[str, ...],
        plans: tuple[str, ...],
    ) -> None:
        self.loop, self.registry, self.connection_plan, self.on_event = loop, registry, connection_plan, on_event
        self.counts, self.log = counts, log
        self.classes, self.plans = classes, plans
        self.settings: Shift | None = None
        self.pool_rules: Pools | None = None
        self.mover: Mover | None = None
        self.timer: Timer | None = None
        self.reported_servers: set[str] = set()  # logged as being in no pool, or in more than one
        self.pool_by_server: dict[str, str | None] = {}  # as of each server's last listing
        self.to_peers: Callable[[bytes], None] | None = None
        self.last_announced_ms = 0.0
        self.unwritten_records: list[str] | None = None  # judged answers; None while recording is off

    # Settings

    def configure(self, settings: Shift | None) -> None:
        """Apply the operators' settings: a move with another name or pools starts anew, a removed one ends."""
        if settings == self.settings:
            return
        previous, self.settings = self.mover, settings
        self.pool_rules = Pools(settings) if settings is not None else None
        self.registry.pool_of = self.assign_pool if self.pool_rules is not None else (lambda entry: "")
        self.reported_servers.clear()
        self.pool_by_server.clear()
        move = settings.move if settings is not None else None
        if move is None:
            self.mover = None
        elif previous is not None and (previous.move.name, previous.move.source, previous.move.target) == (
            move.name,
            move.source,
            move.target,
        ):
            previous.told(move)
        else:
            self.mover = Mover(move, max(1, len(self.classes)))
        if self.registry.entries:
            self.on_event(self.registry.reassign_pools())
        if self.timer is None and self.mover is not None:
            self.tick()

    def assign_pool(self, entry: dict[str, object]) -> str | None:
        """Return a server's pool; one in no pool or in several is not used, which is logged once."""
        assert self.pool_rules is not None
        server = str(entry.get("id"))
        try:
            pool = self.pool_by_server[server] = self.pool_rules.of(entry)
            return pool
        except PoolError as error:
            self.pool_by_server[server] = None
            if server not in self.reported_servers:
                self.counts.add("shift", "boxes_in_no_pool")
                self.reported_servers.add(server)
                self.log(f"shift: {error}; the server is not used")
            return None

    # Requests

    def pools(self, request: Request) -> tuple[str, ...]:
        """Return the pools that a request may use, in order of preference."""
        mover = self.mover
        if mover is None:
            return ()
        return side(
            mover.move,
            mover.wanted,
            request.customer,
            request.request_id.decode("latin-1"),
            self.classes[request.request_class],
            self.plans[request.plan],
        ).pools

    def ended(
        self, request: Request, pools: tuple[str, ...], server: str, result: AttemptResult, took_ms: float
    ) -> None:
        """Pass the outcome of a request's first attempt to the core.

        Attempts that spilt into another pool or met a cold server are left out, since nothing compares with them.
        """
        mover = self.mover
        connections = self.connection_plan.servers.get(server)
        if mover is None or not pools or server not in self.pool_by_server or result.ending not in JUDGED_ENDINGS:
            return
        move, pool = mover.move, self.pool_by_server[server]
        self.counts.add("shift", f"attempts_{pool}")
        if pool != pools[0]:
            self.counts.add("shift", "spilt")
            return
        now = now_ms()
        if connections is not None and self.connection_plan.cold(now, connections):
            self.counts.add("shift", "cold_left_out")
            return
        class_and_plan = self.classes[request.request_class], self.plans[request.plan]
        left_out = move.leave_out
        if (
            class_and_plan[0] in left_out.classes
            or class_and_plan[1] in left_out.plans
            or request.customer in left_out.districts
        ):
            return
        kind = class_and_plan[0], class_and_plan[1], round(math.log2(max(1e-3, request.units)))
        error = result.ending not in (Ending.OK, Ending.TIMEOUT)
        answer = Answer(kind, took_ms, error, result.ending is Ending.TIMEOUT, request.customer)
        mover.answer(now, answer, pool == move.target)
        if self.unwritten_records is not None:
            self.unwritten_records.append(
                ujson.dumps(
                    {
                        "at_ms": now,
                        "target": pool == move.target,
                        "kind": kind,
                        "latency_ms": took_ms,
                        "error": error,
                        "censored": answer.censored,
                        "district": request.customer,
                    }
                )
            )

    # Periodic work

    def tick(self) -> None:
        """Advance the move; log its transitions and announce its state to peers."""
        mover = self.mover
        if mover is None:
            self.timer = None
            return
        self.timer = self.loop.after(TICK_MS, self.tick)
        self.write_records(mover)
        now = now_ms()
        if len(self.pool_by_server) > 2 * len(self.registry.entries) + 100:  # drop servers that are no longer listed
            self.pool_by_server = {
                server: pool for server, pool in self.pool_by_server.items() if server in self.registry.entries
            }
        usable_pools = {self.pool_by_server.get(server) for server in self.registry.healthy}
        pools_ready = mover.move.source in usable_pools and mover.move.target in usable_pools
        transitions = mover.look(now, now / 1000.0, pools_ready)
        for transition in transitions:
            self.log_transition(mover, transition)
        if self.to_peers is not None and (transitions or now - self.last_announced_ms >= ANNOUNCE_INTERVAL_MS):
            self.last_announced_ms = now
            self.to_peers(
                PEER_MESSAGE.pack(
                    SHIFT_KIND,
                    move_digest(mover),
                    STATES.index(mover.state),
                    mover.step,
                    clamp_log(mover.judge.all.slower.log),
                    clamp_log(mover.judge.all.errs.log),
                )
            )

    def write_records(self, mover: Mover) -> None:
        """Append the judged answers to the record file, if the operators have set one."""
        if not mover.move.record:
            self.unwritten_records = None
            return
        if self.unwritten_records:
            try:
                with open(mover.move.record, "a") as file:
                    file.write("\n".join(self.unwritten_records) + "\n")
            except OSError as error:
                self.counts.add("shift", "record_failed")
                self.log(f"shift: cannot write the record file: {error.strerror}")
        self.unwritten_records = []

    def log_transition(self, mover: Mover, transition: Turn) -> None:
        """Log a transition of the move as a line of JSON."""
        self.counts.add("shift", f"turns_{transition.state.value}")
        self.log(
            "shift "
            + ujson.dumps(
                {
                    "move": mover.move.name,
                    "state": transition.state.value,
                    "share": round(transition.share, 4),
                    "reason": transition.reason,
                }
            )
        )

    def on_peer_message(self, number: int, content: bytes) -> None:
        """Take in the state of another gateway; malformed messages and those about other moves are ignored."""
        mover = self.mover
        if mover is None or len(content) != PEER_MESSAGE.size:
            return
        _, digest, state, step, log_slower, log_errors = PEER_MESSAGE.unpack(content)
        if digest == move_digest(mover) and state < len(STATES):
            mover.heard(number, STATES[state], step, log_slower, log_errors)

    def describe(self) -> list[str]:
        """Return the move's status as log lines."""
        return [] if self.mover is None else ["shift " + ujson.dumps(self.mover.status())]


def move_digest(mover: Mover) -> int:
    """Return a hash of the move's name and pools, by which all gateways identify it."""
    move = mover.move
    return xxhash.xxh32_intdigest(f"{move.name}\0{move.source}\0{move.target}".encode())


def clamp_log(log_wealth: float) -> float:
    """Clamp a log wealth to a finite range that the 32-bit float of a peer message can hold."""
    return max(-1e6, min(1e6, log_wealth))
