"""Upgrades on this gateway's side: say under ``$TMPDIR`` when this process is ready, and leave for a newer one.

The marks are read and made by ``control.handover``. Where the old process begins to leave as soon as the new one
is ready, rather than at SIGTERM up to 6 s later, the two do not both serve a whole gateway's share for long.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable

from petrelhall.control.handover import mark, succeeded
from petrelhall.net.files import write_whole
from petrelhall.net.loop import Loop, now_ms

LOOK_MS = 250.0  # between two looks at the mark


class Handover:
    """One process's side of an upgrade."""

    def __init__(self, loop: Loop, gateway: str, ready: Callable[[], bool], leave: Callable[[], None],
                 log: Callable[[str], None]) -> None:
        self.loop, self.ready, self.leave, self.log = loop, ready, leave, log
        self.path = os.path.join(tempfile.gettempdir(), f"petrelhall-{gateway}-ready.json")
        self.pid, self.started, self.told, self.gone = os.getpid(), now_ms(), False, False
        loop.after(LOOK_MS, self.look)

    def look(self) -> None:
        """Say that this process is ready, once; then watch for a newer one's word."""
        if not self.gone:
            self.loop.after(LOOK_MS, self.look)
            self.look_now()

    def look_now(self) -> None:
        """Look at once: told to end, a process must know whether that is an upgrade."""
        if self.gone:
            return
        try:  # read before writing: a newer process may have spoken before this one was ever ready
            with open(self.path, "rb") as file:
                data = file.read()
        except OSError:  # none yet, or unreadable: nobody newer has spoken
            data = b""
        if data and succeeded(data, self.pid, self.started):
            self.gone = True
            self.log("a newer process of this gateway is ready: this one ends with its last client")
            self.leave()
        elif self.ready():
            self.say()

    def say(self) -> None:
        """Leave the mark, whole or not at all, once; where it cannot be written, upgrades go by SIGTERM.

        It stands before anyone is told that this process is ready: SIGTERM may reach the old one at once.
        """
        if self.told:
            return
        self.told = True  # whether or not it can be written: a read-only place stays read-only
        try:
            write_whole(self.path, mark(self.pid, self.started))
        except OSError as error:
            self.log(f"cannot mark this process ready in {self.path}: {os.strerror(error.errno or 0)}")
