"""Runs the consensus on the shared policy: connects its core with the peers, the clock and the votes on disk.

Code that decides on a request calls ``holds`` first, in the same turn of the loop: a process that was paused then
notices that its lease has expired.
"""

from __future__ import annotations

import fcntl
import math
import os
import tempfile
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from petrelhall.accord.core import (
    Abort,
    ConsensusCore,
    DeclareVotersLost,
    Dropped,
    Event,
    MessageReceived,
    Notice,
    PersistState,
    Propose,
    Send,
    Serve,
    SettleSlot,
    Superseded,
    Tick,
)
from petrelhall.accord.documents import digest_of
from petrelhall.accord.plan import derive_timing
from petrelhall.accord.view import change_row
from petrelhall.accord.votes import VoterState
from petrelhall.accord.words import FRAME_KIND, FULL_LEASE
from petrelhall.control.calls import Policy
from petrelhall.decide import interface as api
from petrelhall.gateway.peers import Peers
from petrelhall.gateway.platform import ForwardedRequest
from petrelhall.gateway.requests import Request
from petrelhall.net.counts import Counts
from petrelhall.net.files import write_durably
from petrelhall.net.loop import OFFSET_MS, Loop, now_ms
from petrelhall.operator.file import OperatorError
from petrelhall.operator.settings import Accord as Settings
from petrelhall.operator.settings import Shared
from petrelhall.operator.shared import decode, encode

TICK_INTERVAL_MS = 50.0  # between two timer events of the core


class StoredVotes(msgspec.Struct, frozen=True, array_like=True):
    """A voter's durable state and the documents it refers to, as stored on disk."""

    format_version: int
    gateway: int
    memory: VoterState
    documents: tuple[bytes, ...]


class PolicyConsensus:
    """One gateway's member of the policy consensus; created only if the operators' file turns ``accord`` on."""

    change_command = "petrelhall policy propose"

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        settings: Settings,
        platform: api.Settings,
        name: str,
        seed: int,
        shared: Shared,
        check: Callable[[Shared], str],
        apply: Callable[[Shared, Shared | None], None],
        counts: Counts,
        log: Callable[[str], None],
    ) -> None:
        self.loop, self.peers, self.settings, self.counts, self.log = loop, peers, settings, counts, log
        self.check, self.apply = check, apply
        self.number, self.name = platform.position, name
        now = now_ms()
        timing = derive_timing(
            platform.gateways,
            settings.voters,
            platform.peer_messages_per_s,
            settings.share,
            settings.lease_ms,
            settings.hold_ms,
            settings.late_ms,
            settings.unsure == "strictest",
        )
        self.lock_fd: int | None = None
        self.lock_folder = settings.folder or tempfile.gettempdir()
        may_vote = self.acquire_lock()  # otherwise the process that this one replaces votes until it exits
        stored = self.load() if may_vote else None
        # Random, so that it differs from the incarnations of earlier processes.
        incarnation = int.from_bytes(os.urandom(4), "big") >> 1 | 1
        self.core = ConsensusCore(
            self.number,
            incarnation,
            timing,
            encode(shared),
            self.document_problem,
            seed,
            now,
            stored.memory if stored is not None else None,
            stored.documents if stored is not None else (),
        )
        self.core.may_vote = may_vote
        self.epoch = 0  # of the policy served; decisions made in another epoch are not carried out
        self.wake_callbacks: set[Callable[[], None]] = set()
        self.last_held_at = -math.inf  # last time at which requests could be decided on
        self.serves_file_at_start = settings.begin == "file"  # serve the file's policy until a version is known
        self.ended = self.was_ready = False  # was_ready: requests could be decided on at least once
        peers.datagram_handlers[FRAME_KIND] = self.on_message
        loop.after(TICK_INTERVAL_MS, self.tick)

    # Called when requests are decided on

    def holds(self, epoch: int | None = None) -> bool:
        """Return whether a request may be decided on now or, for a past decision's epoch, whether it still stands."""
        if epoch is not None and epoch != self.epoch:
            return False
        now = now_ms()
        if self.core.can_admit(now) or (self.serves_file_at_start and not self.core.has_decision):
            self.last_held_at, self.was_ready = now, True
            return True
        return False

    def version_header(self) -> bytes | None:
        """Return the header value that tells servers the version and time of an admission; None if it is not sent."""
        serving = self.core.serving
        if not self.settings.stamp or serving is None:
            return None
        version, digest, before = serving
        # The time of the check is on the machine's monotonic clock, which all processes of a machine share.
        return b"%d %s %s %.3f" % (
            version,
            digest.hex()[:8].encode(),
            b"either" if before else b"one",
            self.last_held_at - OFFSET_MS,
        )

    def admitted(self, request: Request) -> None:
        """Add the header that tells servers under which version a request is admitted, if the settings ask for it."""
        header = self.version_header()
        if header is not None and isinstance(request.message, ForwardedRequest):
            request.message.headers.append((b"X-Policy", header))

    def worth_waiting(self) -> float:
        """Return for how many ms a request should wait for a policy change that is about to take effect, or 0."""
        return max(0.0, self.last_held_at + self.settings.wait_ms - now_ms())

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Register a task to be woken once requests may be decided on, or remove it (``off``)."""
        (self.wake_callbacks.discard if off else self.wake_callbacks.add)(wake)

    # Events and actions of the core

    def tick(self) -> None:
        """Pass a timer event to the core; retry the lock until this process may vote."""
        if not self.ended:
            self.loop.after(TICK_INTERVAL_MS, self.tick)
            if not self.core.may_vote and self.acquire_lock():
                stored = self.load()
                self.core.take_over(
                    now_ms(),
                    stored.memory if stored is not None else None,
                    stored.documents if stored is not None else (),
                )
            self.handle(Tick())

    def on_message(self, number: int, content: bytes) -> None:
        """Pass a message from another gateway to the core."""
        if not self.ended:
            self.handle(MessageReceived(number, content))

    def handle(self, event: Event) -> None:
        """Pass an event to the core and carry out its actions in order: votes are on disk before they are sent."""
        before = self.core.serving
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, Send):
                self.peers.send(action.content, (action.to,))
                self.counts.add("accord", "words")
            elif isinstance(action, PersistState):
                if not self.save(action):
                    # A vote that is not on disk must not be sent: a restart would forget it.
                    self.core.handle(now_ms(), Superseded())
                    break
            elif isinstance(action, Serve):
                self.apply_version(action)
            elif isinstance(action, Notice):
                self.log(f"policy: {action.text}")
            elif isinstance(action, Dropped):
                self.counts.add("accord", f"dropped_{action.reason}")
        if self.core.serving is not before:
            self.epoch += 1
        if (self.wake_callbacks or not self.was_ready) and self.holds():
            for wake in list(self.wake_callbacks):
                wake()

    def apply_version(self, action: Serve) -> None:
        """Apply a version, or two versions of which either may be in force."""
        self.counts.add("accord", "served")
        self.apply(decode(action.document), decode(action.previous) if action.previous is not None else None)
        self.log(
            f"policy: serving version {action.version}"
            + (", by the stricter of it and the version before in each field" if action.previous is not None else "")
        )

    def document_problem(self, content: bytes) -> str:
        """Return why a document cannot be served by this gateway; empty if it can."""
        try:
            return self.check(decode(content))
        except OperatorError as error:
            return str(error)

    def on_operator_file_changed(self) -> None:
        """Check documents again: one that could not be served may be servable with the changed operators' file."""
        self.core.checks.invalidate()

    def hand_over(self) -> None:
        """Stop sending and voting: a newer process of this gateway takes over. The current lease stays valid."""
        self.handle(Superseded())
        self.ended = True
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    # Votes on disk

    @property
    def path(self) -> str:
        """Return the path of the file with the stored votes."""
        return os.path.join(self.settings.folder, f"policy-{self.number}")

    def load(self) -> StoredVotes | None:
        """Read the votes stored by an earlier process; the lock ensures that it no longer votes."""
        if not self.settings.folder:
            return None
        try:
            with open(self.path, "rb") as file:
                data = file.read()
            if len(data) < 4 or zlib.crc32(data[4:]).to_bytes(4, "big") != data[:4]:
                raise ValueError("checksum mismatch")
            stored: StoredVotes = msgspec.msgpack.decode(data[4:], type=StoredVotes)
            if (stored.format_version, stored.gateway) != (1, self.number):
                raise ValueError(f"unexpected format {stored.format_version} or gateway number {stored.gateway}")
            if digest_of(b"".join(stored.documents[:1])) != stored.memory.digest:
                raise ValueError("the document in force is missing")
            return stored
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:  # continue without stored votes: the core learns before it votes
            self.log(f"policy: ignoring stored votes in {self.path}: {error}")
            return None

    def acquire_lock(self) -> bool:
        """Lock out other voting processes of this member; return whether this process may vote.

        Where the lock file cannot be created and no folder is set, it may: no second process is started there.
        """
        path = os.path.join(self.lock_folder, f"petrelhall-{self.name}-votes.lock")
        try:
            lock = os.open(path, os.O_CREAT | os.O_RDWR, 0o600)
        except OSError:
            return not self.settings.folder
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            return False
        self.lock_fd = lock
        return True

    def save(self, action: PersistState) -> bool:
        """Store a voter's state; return False if it must be stored and could not be."""
        if not self.settings.folder:
            return True
        data = msgspec.msgpack.encode(StoredVotes(1, self.number, action.state, action.documents))
        try:
            write_durably(self.path, zlib.crc32(data).to_bytes(4, "big") + data)
        except OSError as error:
            self.log(f"policy: cannot write {self.path}; no longer voting or sending: {os.strerror(error.errno or 0)}")
            return False
        return True

    # Management calls

    def view(self) -> dict[str, Any]:
        """Return the state for ``GET /control/policy``."""
        now = now_ms()
        view = self.core.view(now)
        document = self.core.documents.held.get(self.core.last_decision.digest) if self.core.has_decision else None
        return {
            **view,
            "kind": "full" if self.core.lease_kind == FULL_LEASE else "either",
            "document": msgspec.json.decode(document) if document is not None else None,
        }

    def call(self, call: Policy, body: bytes) -> tuple[int, dict[str, Any]]:
        """Carry out an operator's call; return the HTTP status and the state right after it."""
        if call.what == "propose":
            try:
                content = encode(decode(body))
            except OperatorError as error:
                return 400, {"error": str(error)}
            return self.propose(content, call.base)
        if call.what == "back":
            before = self.core.history.digest(call.base - 1) or b""
            content = self.core.documents.held.get(before, b"")
            if not content:
                return 409, {"error": f"this gateway does not hold the document of version {call.base - 1}"}
            return self.propose(content, call.base)
        if call.what == "abort":
            self.handle(Abort(bytes.fromhex(call.digest)))
        elif call.what == "settle":
            self.handle(SettleSlot())
        elif call.what == "begin":
            self.handle(DeclareVotersLost())
        return 200, self.core.view(now_ms())

    def propose(self, content: bytes, base: int) -> tuple[int, dict[str, Any]]:
        """Propose a document to replace version ``base``; return the HTTP status and the change's row of the view."""
        self.handle(Propose(content, base))
        digest = digest_of(content)
        change = [change for change in self.core.changes if (change.digest, change.slot) == (digest, base + 1)][-1]
        return (409 if change.state == "nowhere" else 200), change_row(change, now_ms())
