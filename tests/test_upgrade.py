"""Upgrades: a second process of the same gateway starts on the same addresses and takes over."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from tests.peers import PATIENCE_S, Story, ask, read_message, reply


class Upgrade(Story):
    """The old process serves until it is told to end; the new one starts beside it and goes on."""

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
