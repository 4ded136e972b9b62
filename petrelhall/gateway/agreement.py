"""Carries out agreement on sockets and disk: words in and out, turns by the clock, what is served applied, votes kept.

Whoever decides on a request asks ``holds`` first, in the same turn: a process that stood still finds its lease gone.
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
    Accord,
    Begin,
    Dropped,
    Event,
    Heard,
    Keep,
    Propose,
    Quiet,
    Send,
    Serve,
    Settle,
    Tick,
    Told,
)
from petrelhall.accord.documents import digest_of
from petrelhall.accord.plan import pace
from petrelhall.accord.view import change_row
from petrelhall.accord.votes import Memory
from petrelhall.accord.words import FULL, KIND
from petrelhall.control.calls import Policy
from petrelhall.decide import interface as api
from petrelhall.gateway.peers import Peers
from petrelhall.gateway.platform import ForwardedRequest
from petrelhall.gateway.requests import Request
from petrelhall.net.counts import Counts
from petrelhall.net.files import write_safely
from petrelhall.net.loop import OFFSET_MS, Loop, now_ms
from petrelhall.operator.file import OperatorError
from petrelhall.operator.settings import Accord as Settings
from petrelhall.operator.settings import Shared
from petrelhall.operator.shared import decode, encode

TICK_MS = 50.0


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """A voter's memory and the documents that it names, as the folder holds them."""

    form: int
    number: int
    memory: Memory
    documents: tuple[bytes, ...]


class PolicyConsensus:
    """One gateway's part in agreeing on the policy; not there where the operators' file does not ask for it."""

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
        paces = pace(
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
        alone = self.acquire_lock()  # else a process that this one replaces votes as long as it serves
        kept = self.load() if alone else None
        life = int.from_bytes(os.urandom(4), "big") >> 1 | 1  # never a number of an earlier life, by chance
        self.core = Accord(
            self.number,
            life,
            paces,
            encode(shared),
            self.refused,
            seed,
            now,
            kept.memory if kept is not None else None,
            kept.documents if kept is not None else (),
        )
        self.core.may_vote = alone
        self.epoch = 0  # of what is served: decisions of another epoch are not carried out
        self.waiting: set[Callable[[], None]] = set()
        self.last_held_at = -math.inf  # when requests could last be decided on
        self.unstamped = settings.begin == "file"  # serve by the file until anything is known
        self.ended = self.was_ready = False  # begun: requests could be decided on once
        peers.datagram_handlers[KIND] = self.heard
        loop.after(TICK_MS, self.tick)

    # What decides on requests asks

    def holds(self, epoch: int | None = None) -> bool:
        """Tell whether a request may be decided on now; of a decision that was made, whether it still stands."""
        if epoch is not None and epoch != self.epoch:
            return False
        now = now_ms()
        if self.core.allowed(now) or (self.unstamped and not self.core.certain):
            self.last_held_at, self.was_ready = now, True
            return True
        return False

    def stamp(self) -> bytes | None:
        """Word under which version a request is admitted now, and when; None where boxes are not to be told."""
        serving = self.core.serving
        if not self.settings.stamp or serving is None:
            return None
        version, digest, before = serving
        # When it was looked at, by the machine's monotonic clock: what all processes of a machine share.
        return b"%d %s %s %.3f" % (
            version,
            digest.hex()[:8].encode(),
            b"either" if before else b"one",
            self.last_held_at - OFFSET_MS,
        )

    def admitted(self, request: Request) -> None:
        """Tell the boxes under which version a request is let in, where they are to be told."""
        stamp = self.stamp()
        if stamp is not None and isinstance(request.message, ForwardedRequest):
            request.message.headers.append((b"X-Policy", stamp))

    def worth_waiting(self) -> float:
        """Give for how many ms more a request should wait: a change is just taking hold, or 0."""
        return max(0.0, self.last_held_at + self.settings.wait_ms - now_ms())

    def wait(self, wake: Callable[[], None], off: bool = False) -> None:
        """Have a task woken once requests may be decided on, or no more."""
        (self.waiting.discard if off else self.waiting.add)(wake)

    # The core

    def tick(self) -> None:
        """Take a turn by the clock."""
        if not self.ended:
            self.loop.after(TICK_MS, self.tick)
            if not self.core.may_vote and self.acquire_lock():
                kept = self.load()
                self.core.take_over(
                    now_ms(), kept.memory if kept is not None else None, kept.documents if kept is not None else ()
                )
            self.handle(Tick())

    def heard(self, number: int, content: bytes) -> None:
        """Take in a word."""
        if not self.ended:
            self.handle(Heard(number, content))

    def handle(self, event: Event) -> None:
        """Give the core an event and do as it says, in order: what must be kept is on disk before it is spoken of."""
        before = self.core.serving
        for action in self.core.handle(now_ms(), event):
            if isinstance(action, Send):
                self.peers.send(action.content, (action.to,))
                self.counts.add("accord", "words")
            elif isinstance(action, Keep):
                if not self.save(action):
                    self.core.handle(now_ms(), Quiet())  # it may not say what it could forget
                    break
            elif isinstance(action, Serve):
                self.serve(action)
            elif isinstance(action, Told):
                self.log(f"policy: {action.what}")
            elif isinstance(action, Dropped):
                self.counts.add("accord", f"dropped_{action.why}")
        if self.core.serving is not before:
            self.epoch += 1
        if (self.waiting or not self.was_ready) and self.holds():
            for wake in list(self.waiting):
                wake()

    def serve(self, action: Serve) -> None:
        """Take a version, or two of which either may be in force, into service."""
        self.counts.add("accord", "served")
        self.apply(decode(action.document), decode(action.before) if action.before is not None else None)
        self.log(
            f"policy: version {action.version} is served here"
            + (", by the stricter of it and the one before" if action.before is not None else "")
        )

    def refused(self, content: bytes) -> str:
        """Say why a document cannot be served here."""
        try:
            return self.check(decode(content))
        except OperatorError as error:
            return str(error)

    def on_operator_file_changed(self) -> None:
        """Check documents anew, since the own file has changed: what could not be served may be able to now."""
        self.core.checks.forget()

    def hand_over(self) -> None:
        """A newer process of this gateway speaks and votes from now on; the lease that is held runs on."""
        self.handle(Quiet())
        self.ended = True
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None

    # The folder

    @property
    def path(self) -> str:
        """Give where votes are kept."""
        return os.path.join(self.settings.folder, f"policy-{self.number}")

    def load(self) -> Kept | None:
        """Read what an earlier process kept; that it votes no more is known from the lock."""
        if not self.settings.folder:
            return None
        try:
            with open(self.path, "rb") as file:
                data = file.read()
            if len(data) < 4 or zlib.crc32(data[4:]).to_bytes(4, "big") != data[:4]:
                raise ValueError("its checksum does not hold")
            kept: Kept = msgspec.msgpack.decode(data[4:], type=Kept)
            if (kept.form, kept.number) != (1, self.number):
                raise ValueError(f"it is of form {kept.form} and gateway {kept.number}")
            if digest_of(b"".join(kept.documents[:1])) != kept.memory.digest:
                raise ValueError("the document in force is not in it")
            return kept
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:  # as one that starts empty: it learns before it votes
            self.log(f"policy: {self.path} ignored: {error}")
            return None

    def acquire_lock(self) -> bool:
        """Have this process alone vote for this member; where no file can be made no second one is ever started."""
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

    def save(self, action: Keep) -> bool:
        """Write a memory down; False where it had to be and could not."""
        if not self.settings.folder:
            return True
        data = msgspec.msgpack.encode(Kept(1, self.number, action.memory, action.documents))
        try:
            write_safely(self.path, zlib.crc32(data).to_bytes(4, "big") + data)
        except OSError as error:
            self.log(f"policy: cannot write {self.path}, no more is said: {os.strerror(error.errno or 0)}")
            return False
        return True

    # Operators

    def view(self) -> dict[str, Any]:
        """Give all of it, for ``GET /control/policy``."""
        now = now_ms()
        view = self.core.view(now)
        document = self.core.documents.held.get(self.core.known.digest) if self.core.certain else None
        return {
            **view,
            "kind": "full" if self.core.kind == FULL else "either",
            "document": msgspec.json.decode(document) if document is not None else None,
        }

    def call(self, call: Policy, body: bytes) -> tuple[int, dict[str, Any]]:
        """Carry out an operator's call, and tell its status and what is known at once."""
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
            self.handle(Settle())
        elif call.what == "begin":
            self.handle(Begin())
        return 200, self.core.view(now_ms())

    def propose(self, content: bytes, base: int) -> tuple[int, dict[str, Any]]:
        """Propose a document in place of a version."""
        self.handle(Propose(content, base))
        digest = digest_of(content)
        change = [change for change in self.core.changes if (change.digest, change.slot) == (digest, base + 1)][-1]
        return (409 if change.state == "nowhere" else 200), change_row(change, now_ms())
