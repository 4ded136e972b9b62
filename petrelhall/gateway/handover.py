"""Upgrades on this gateway's side, by small files under ``$TMPDIR``.

A new process says that it joins; the one that serves then leaves a snapshot of what it knows for it. When the new
one is ready it says so, and the old one, on reading that, begins to leave: rather than at SIGTERM up to 6 s later,
so that the two do not both serve a whole gateway's share for long. The files' content is read and made by
``control.handover``, the snapshot's by ``decide.snapshot``.
"""

from __future__ import annotations

import errno
import os
import tempfile
import time
from collections.abc import Callable
from typing import Any

from petrelhall.control.handover import handed, letter, mark, marked, succeeded
from petrelhall.net.files import write_whole
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address, taken

MANAGED_POLL_MS, DEFAULT_POLL_MS = (
    50.0,
    250.0,
)  # between two looks where operators can call, and so upgrade, and elsewhere
FREE_MS = 3000.0  # in which a process that ends has left the clients' address
JOIN_MS, STEP_S = 300.0, 0.005  # in which the old process must have answered, before the new one listens


class Handover:
    """One process's side of an upgrade."""

    def __init__(self, gateway: str, log: Callable[[str], None]) -> None:
        self.log = log
        self.pid, self.started = os.getpid(), now_ms()
        self.told = self.gone = self.joined = False  # joined: it found one that serves, and takes over from it
        self.answered = 0  # pid of the process that a snapshot was left for
        place = os.path.join(tempfile.gettempdir(), f"petrelhall-{gateway}-")
        self.ready_path, self.joins_path, self.snapshot_path = (
            f"{place}{name}.json" for name in ("ready", "joins", "snapshot")
        )

    # The new process

    def join(self) -> Any:
        """Ask the process that serves, if there is one, for what it knows; None where nothing came of it."""
        serving = marked(read(self.ready_path))
        if serving is None or serving == self.pid or not alive(serving):
            return None
        self.joined = True
        if not self.write(self.joins_path, mark(self.pid, self.started)):
            return None
        until = now_ms() + JOIN_MS
        while now_ms() < until:
            found = handed(read(self.snapshot_path), self.pid)
            if found is not None:
                return found
            time.sleep(STEP_S)
        self.log("no snapshot came from the process that serves: this one starts from nothing")
        return None

    def ensure_address_free(self, address: Address) -> None:
        """See to it that nobody else listens at the clients' address, or that this is an upgrade (OSError).

        A listener that is shared by mistake would have half of its clients answered by a gateway that is not theirs.
        A mark under ``$TMPDIR`` is the sign of an upgrade, whoever left it: a stranger cannot be told apart then. One
        that is about to end is waited for.
        """
        until = now_ms() + FREE_MS
        while not os.path.exists(self.ready_path) and taken(address):
            if now_ms() >= until:
                where = f"{address[0]}:{address[1]}"
                raise OSError(
                    errno.EADDRINUSE,
                    f"listen: another process listens at {where}, and no mark in "
                    f"{self.ready_path} tells of an upgrade",
                )
            time.sleep(STEP_S)

    # Both

    def watch(
        self,
        loop: Loop,
        look_ms: float,
        ready: Callable[[], bool],
        leave: Callable[[], None],
        snapshot: Callable[[], dict[str, Any]],
    ) -> None:
        """Begin to look for the other process's words."""
        self.loop, self.look_ms, self.ready, self.leave, self.snapshot = loop, look_ms, ready, leave, snapshot
        loop.after(look_ms, self.look)

    def look(self) -> None:
        """Say that this process is ready, once; then watch for a newer one's word."""
        if not self.gone:
            self.loop.after(self.look_ms, self.look)
            self.poll_now()

    def poll_now(self) -> None:
        """Look at once: told to end, a process must know whether that is an upgrade."""
        if self.gone:
            return
        # Read before writing: a newer process may have spoken before this one was ever ready.
        if succeeded(read(self.ready_path), self.pid, self.started):
            self.gone = True
            self.log("a newer process of this gateway is ready: this one ends with its last client")
            self.leave()
        elif self.ready():
            self.say()
            self.answer()

    def answer(self) -> None:
        """Leave a snapshot for a newer process that joins, once."""
        data = read(self.joins_path)
        if succeeded(data, self.pid, self.started):
            joins = marked(data)
            if joins is not None and joins != self.answered:
                self.answered = joins
                self.write(self.snapshot_path, letter(joins, self.snapshot()))

    def say(self) -> None:
        """Leave the mark, whole or not at all, once; where it cannot be written, upgrades go by SIGTERM.

        It stands before anyone is told that this process is ready: SIGTERM may reach the old one at once.
        """
        if not self.told:
            self.told = True  # whether or not it can be written: a read-only place stays read-only
            self.write(self.ready_path, mark(self.pid, self.started))

    def write(self, path: str, data: bytes) -> bool:
        """Write a file whole; tell whether that could be."""
        try:
            write_whole(path, data)
        except OSError as error:
            self.log(f"cannot write {path} for an upgrade: {os.strerror(error.errno or 0)}")
            return False
        return True


def read(path: str) -> bytes:
    """Give a file's content, empty where there is none or it cannot be read."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError:
        return b""


def alive(pid: int) -> bool:
    """Tell whether a process is there."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except OSError:  # there, and not ours to signal
        return True
    return True
