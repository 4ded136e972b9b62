"""Upgrades: a second process of the same gateway starts on the same addresses and takes over."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

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
