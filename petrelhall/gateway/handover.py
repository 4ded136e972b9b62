"""Handover from an old to a new process of one gateway during an upgrade, through small files under ``$TMPDIR``.

A new process announces that it joins, and the serving process then writes a snapshot of its state for it. Once the new
process is ready it writes the ready marker, and the old one starts to drain when it reads that. Waiting for SIGTERM
instead would take up to 6 s, in which both processes would serve a whole gateway's share. ``control.handover`` encodes
and decodes the files' content, and ``decide.snapshot`` the snapshot's.
"""

from __future__ import annotations

import errno
import os
import time
from collections.abc import Callable
from typing import Any

from petrelhall.control.handover import handed, letter, mark, marked, succeeded
from petrelhall.net.files import shared_path, write_atomically
from petrelhall.net.loop import Loop, now_ms
from petrelhall.net.stream import Address, is_address_in_use

MANAGED_POLL_MS = 50.0  # between two polls where operators have a management address, and so can start an upgrade
DEFAULT_POLL_MS = 250.0  # between two polls elsewhere
READ_WITHIN_POLLS = 2.0  # polls within which the other process has read a marker
ADDRESS_WAIT_MS = 3000.0  # a process that is ending has released the clients' address within this time
SNAPSHOT_WAIT_MS = 300.0  # the old process must deliver its snapshot within this time, before the new one listens
WAIT_STEP_S = 0.005


class Handover:
    """One process's side of an upgrade."""

    def __init__(self, gateway: str, log: Callable[[str], None]) -> None:
        self.log = log
        self.pid, self.started = os.getpid(), now_ms()
        # joined: this process found a serving one and takes over from it
        self.marker_written = self.replaced = self.joined = False
        self.snapshot_pid = 0  # pid of the process that a snapshot was written for
        self.partner_pid = 0  # the other process of the upgrade, as long as it exists
        # Called once the other process has ended, or knows that this one takes over.
        self.on_alone: Callable[[], None] = lambda: None
        self.ready_path, self.join_path, self.snapshot_path = (
            shared_path(gateway, f"{name}.json") for name in ("ready", "joins", "snapshot")
        )

    # The new process

    def join(self) -> Any:
        """Request a snapshot from the serving process; None if there is no such process or it did not respond."""
        serving = marked(read_file(self.ready_path))
        if serving is None or serving == self.pid or not is_alive(serving):
            return None
        self.joined, self.partner_pid = True, serving
        if not self.write_file(self.join_path, mark(self.pid, self.started)):
            return None
        deadline = now_ms() + SNAPSHOT_WAIT_MS
        while now_ms() < deadline:
            snapshot = handed(read_file(self.snapshot_path), self.pid)
            if snapshot is not None:
                return snapshot
            time.sleep(WAIT_STEP_S)
        self.log("the serving process wrote no snapshot in time; starting without its state")
        return None

    def ensure_address_free(self, address: Address) -> None:
        """Raise OSError if another process listens on the clients' address and this is not an upgrade.

        With a listener shared by mistake, half of the clients would be answered by a gateway that is not theirs. A
        ready marker under ``$TMPDIR`` is taken as the sign of an upgrade whoever wrote it: it then hides an unrelated
        process on the address. Waits for a process that is about to exit.
        """
        deadline = now_ms() + ADDRESS_WAIT_MS
        while not os.path.exists(self.ready_path) and is_address_in_use(address):
            if now_ms() >= deadline:
                host_port = f"{address[0]}:{address[1]}"
                raise OSError(
                    errno.EADDRINUSE,
                    f"listen: another process listens at {host_port}, and there is no ready marker "
                    f"{self.ready_path} that would indicate an upgrade",
                )
            time.sleep(WAIT_STEP_S)

    # Both processes

    def watch(
        self,
        loop: Loop,
        poll_ms: float,
        is_ready: Callable[[], bool],
        drain: Callable[[], None],
        snapshot: Callable[[], dict[str, Any]],
    ) -> None:
        """Start to poll for the other process's files."""
        self.loop, self.poll_ms, self.is_ready, self.drain, self.snapshot = loop, poll_ms, is_ready, drain, snapshot
        loop.after(poll_ms, self.poll)

    def poll(self) -> None:
        """Poll now and again after each interval, until a newer process has taken over."""
        if self.partner_pid and not is_alive(self.partner_pid):
            self.partner_pid = 0
            self.on_alone()
        if not self.replaced:
            self.loop.after(self.poll_ms, self.poll)
            self.poll_now()

    def poll_now(self) -> None:
        """Poll once: start to drain if a newer process is ready, else announce that this one is.

        Also called on SIGTERM, when a process must know whether it is being replaced.
        """
        if self.replaced:
            return
        # Read before writing: a newer process may have written its marker before this one was ever ready.
        if succeeded(read_file(self.ready_path), self.pid, self.started):
            self.replaced = True
            self.log("a newer process of this gateway is ready: this one exits after its last client")
            self.drain()
        elif self.is_ready():
            self.write_ready_marker()
            self.answer_join()

    def answer_join(self) -> None:
        """Write a snapshot for a newer process that has announced that it joins, once for each process."""
        joining_pid = self.joining_pid()
        if joining_pid is not None and joining_pid != self.snapshot_pid:
            self.snapshot_pid = self.partner_pid = joining_pid
            self.write_file(self.snapshot_path, letter(joining_pid, self.snapshot()))

    def has_successor(self) -> bool:
        """Return whether a newer process of this gateway has announced that it joins, and still runs."""
        joining_pid = self.joining_pid()
        return joining_pid is not None and is_alive(joining_pid)

    def joining_pid(self) -> int | None:
        """Return the pid of the newer process that announced last that it joins, if there was one."""
        data = read_file(self.join_path)
        return marked(data) if succeeded(data, self.pid, self.started) else None

    def write_ready_marker(self) -> None:
        """Write the ready marker atomically, once; if that fails, the old process drains only on SIGTERM.

        It is written before readiness is reported to anyone, since the old process may then get SIGTERM at once.
        """
        if not self.marker_written:
            self.marker_written = True  # also if the write fails: a read-only directory stays read-only
            self.write_file(self.ready_path, mark(self.pid, self.started))
            if self.joined:
                self.loop.after(READ_WITHIN_POLLS * self.poll_ms, lambda: self.on_alone())

    def write_file(self, path: str, data: bytes) -> bool:
        """Write a file atomically; return whether that succeeded."""
        try:
            write_atomically(path, data)
        except OSError as error:
            self.log(f"cannot write handover file {path}: {os.strerror(error.errno or 0)}")
            return False
        return True


def read_file(path: str) -> bytes:
    """Return a file's content; empty if it is missing or unreadable."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError:
        return b""


def is_alive(pid: int) -> bool:
    """Return whether a process with this pid exists."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except OSError:  # it exists, but belongs to another user
        return True
    return True
