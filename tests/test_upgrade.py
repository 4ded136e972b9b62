"""Upgrades: a second process of the same gateway starts on the same addresses and takes over."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import unittest.mock

from petrelhall.control.handover import mark, succeeded
from tests.peers import PATIENCE_S, Story, ask, read_message, reply


class Marks(unittest.TestCase):
    """Whose mark moves a process to leave."""

    def test_only_a_later_process_other_than_this_one_is_a_successor(self) -> None:
        self.assertTrue(succeeded(mark(20, 2000.0), 10, 1000.0))
        self.assertFalse(succeeded(mark(10, 2000.0), 10, 1000.0))  # its own
        self.assertFalse(succeeded(mark(20, 500.0), 10, 1000.0))  # left over from before this one started
        for spoilt in (b"", b"[1]", b'{"pid": "20", "started_ms": 2000}', b'{"pid": 20, "started_ms": true}'):
            self.assertFalse(succeeded(spoilt, 10, 1000.0), spoilt)


class Upgrade(Story):
    """The old process serves until the new one is ready, or it is told to end; the new one goes on."""

    def setUp(self) -> None:
        super().setUp()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.stack.enter_context(unittest.mock.patch.dict(os.environ, {"TMPDIR": folder}))

    def test_the_old_process_leaves_by_itself_once_the_new_one_is_ready(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(ask(1))
        read_message(self.accept(server))  # the first is serving, and has said it is ready
        second = subprocess.Popen([sys.executable, "-m", "petrelhall"], env={**os.environ, "EDGE_CONFIG": self.path},
                                  text=True, stderr=subprocess.PIPE)
        self.stack.callback(lambda: second.poll() is None and second.kill())
        _, errors = first.communicate(timeout=PATIENCE_S)  # no signal is sent to it
        self.assertEqual(first.returncode, 0, errors)
        self.assertIn("a newer process of this gateway is ready", errors)
        self.program = second
        late = self.client(ask(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(reply(b"new"))
        self.assertTrue(read_message(late).endswith(b"new"))

    def test_a_second_process_on_the_same_addresses_starts_and_serves_after_the_first_leaves(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(ask(1))  # the first listens and serves
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(reply(b"old"))
        self.assertTrue(read_message(client).endswith(b"old"))
        second = subprocess.Popen([sys.executable, "-m", "petrelhall"], env={**os.environ, "EDGE_CONFIG": self.path},
                                  text=True, stderr=subprocess.PIPE)
        self.stack.callback(lambda: second.poll() is None and second.kill())
        first.send_signal(signal.SIGTERM)
        _, errors = first.communicate(timeout=PATIENCE_S)
        self.assertEqual(first.returncode, 0, errors)
        self.program = second  # from here on the clients' address is the second's alone
        late = self.client(ask(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(reply(b"new"))
        self.assertTrue(read_message(late).endswith(b"new"))
        self.assertIsNone(second.poll())

    def test_what_is_taken_after_sigterm_is_answered_before_the_kill_that_follows(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(ask(1))  # it listens
        read_message(self.accept(server))
        began = time.monotonic()
        first.send_signal(signal.SIGTERM)
        late = self.client(ask(2, deadline="6000m"))  # taken while clients still come, with all of its time
        read_message(self.accept(server))  # which the server never answers
        late.settimeout(PATIENCE_S)
        answer = read_message(late)
        self.assertRegex(answer, rb"^HTTP/1.1 (429|502|503|504) ")
        self.assertLess(time.monotonic() - began, 3.0 + 0.7)  # the longest deadline, as counted, and 0.7 s
