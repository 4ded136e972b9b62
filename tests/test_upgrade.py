"""Upgrades: a second process of the same gateway starts on the same addresses and takes over."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from petrelhall.control.handover import mark, succeeded
from petrelhall.decide import interface as api
from petrelhall.gateway.peers import Peers
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, open_listener, read_message


class Marks(unittest.TestCase):
    """Whose mark moves a process to leave."""

    def test_only_a_later_process_other_than_this_one_is_a_successor(self) -> None:
        self.assertTrue(succeeded(mark(20, 2000.0), 10, 1000.0))
        self.assertFalse(succeeded(mark(10, 2000.0), 10, 1000.0))  # its own
        self.assertFalse(succeeded(mark(20, 500.0), 10, 1000.0))  # left over from before this one started
        for spoilt in (b"", b"[1]", b'{"pid": "20", "started_ms": 2000}', b'{"pid": 20, "started_ms": true}'):
            self.assertFalse(succeeded(spoilt, 10, 1000.0), spoilt)


class Speakers(unittest.TestCase):
    """Two processes of a gateway on one address for what peers say."""

    def test_a_process_that_only_speaks_leaves_all_datagrams_to_the_newer_one(self) -> None:
        got: dict[str, int] = {"old": 0, "new": 0}
        loop = Loop(print)
        senders = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(32)]
        for sender in senders:
            sender.bind(("127.0.0.1", 0))
            self.addCleanup(sender.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            own = free.getsockname()
        everyone = senders[0].getsockname()
        peers = []
        for name in got:

            def heard(message: api.PeerMessage, name: str = name) -> None:
                got[name] += 1

            peers.append(Peers(loop, own, tuple(s.getsockname() for s in senders), everyone, 99, heard, Counts()))
            self.addCleanup(peers[-1].sock.close)
        peers[0].stop_receiving()
        for sender in senders:
            sender.sendto(b"x", own)
        until = time.monotonic() + WAIT_TIMEOUT_S
        while sum(got.values()) < len(senders) and time.monotonic() < until:
            loop.turn()
        self.assertEqual(got, {"old": 0, "new": len(senders)})
        peers[0].send(b"still told")
        senders[0].settimeout(WAIT_TIMEOUT_S)
        self.assertEqual(senders[0].recvfrom(64), (b"still told", own))


class Upgrade(GatewayTestCase):
    """The old process serves until the new one is ready, or it is told to end; the new one goes on."""

    def test_the_old_process_leaves_by_itself_once_the_new_one_is_ready(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(build_request(1))
        read_message(self.accept(server))  # the first is serving, and has said it is ready
        second = subprocess.Popen(
            [sys.executable, "-m", "petrelhall"],
            env={**os.environ, "EDGE_CONFIG": self.path},
            text=True,
            stderr=subprocess.PIPE,
        )
        self.stack.callback(lambda: second.poll() is None and second.kill())
        _, errors = first.communicate(timeout=WAIT_TIMEOUT_S)  # no signal is sent to it
        self.assertEqual(first.returncode, 0, errors)
        self.assertIn("a newer process of this gateway is ready", errors)
        self.program = second
        late = self.client(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"new"))
        self.assertTrue(read_message(late).endswith(b"new"))

    def second(self, **environment: str) -> subprocess.Popen[str]:
        """Start another process of the same gateway beside the first."""
        program = subprocess.Popen(
            [sys.executable, "-m", "petrelhall"],
            text=True,
            stderr=subprocess.PIPE,
            env={**os.environ, "EDGE_CONFIG": self.path, **environment},
        )
        self.stack.callback(lambda: program.poll() is None and program.kill())
        return program

    def serve(self, at_server: socket.socket, client: socket.socket, body: bytes) -> bytes:
        """Answer the next request on a server's connection, and give what the client reads."""
        read_message(at_server)
        at_server.sendall(build_response(body))
        return read_message(client)

    def test_an_idle_client_keeps_its_connection_over_an_upgrade_until_it_asks_again(self) -> None:
        server = self.listener()
        first = self.start(server)
        idle = self.client(build_request(1))
        at_server = self.accept(server)
        self.assertTrue(self.serve(at_server, idle, b"one").endswith(b"one"))
        second = self.second()
        self.wait_for_log("a newer process of this gateway is ready")
        first.send_signal(signal.SIGTERM)
        time.sleep(1.0)  # past the time at which a process without a successor ends what is idle
        idle.sendall(build_request(2))
        answer = self.serve(at_server, idle, b"two")
        self.assertTrue(answer.endswith(b"two"))
        self.assertIn(b"connection: close", answer.lower())  # and it ends with that answer
        self.assertEqual(first.wait(WAIT_TIMEOUT_S), 0)
        self.assertIsNone(second.poll())
        self.program = second

    def test_a_request_that_has_begun_as_the_idle_are_ended_is_still_answered(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.serve(at_server, client, b"one")
        self.second()
        self.wait_for_log("a newer process of this gateway is ready")
        first.send_signal(signal.SIGTERM)
        time.sleep(2.4)  # the idle are ended 2.75 s after SIGTERM
        client.sendall(build_request(2)[:40])
        time.sleep(0.6)
        client.sendall(build_request(2)[40:])
        self.assertTrue(self.serve(at_server, client, b"two").endswith(b"two"))

    def test_an_idle_client_that_never_asks_again_does_not_hold_the_old_process_past_the_kill(self) -> None:
        server = self.listener()
        first = self.start(server)
        clients = []
        for number in range(1, 20):  # more than are ended at once
            clients.append(self.client(build_request(number)))
            at_server = self.accept(server)
            read_message(at_server)
            at_server.sendall(build_response(b"one", "200 OK", "Connection: close"))
            self.assertTrue(read_message(clients[-1]).endswith(b"one"))
        idle = clients[0]
        self.second()
        self.wait_for_log("a newer process of this gateway is ready")
        began = time.monotonic()
        first.send_signal(signal.SIGTERM)
        self.assertEqual(first.wait(WAIT_TIMEOUT_S), 0)
        self.assertLess(time.monotonic() - began, 3.0 + 0.7)
        self.assertEqual(idle.recv(1), b"")

    def test_sigterm_right_after_ready_finds_the_mark_that_stands_before_it(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.serve(at_server, client, b"one")
        with open_listener() as free:
            where = free.getsockname()
        self.second(EDGE_MGMT=f"{where[0]}:{where[1]}")
        until = time.monotonic() + WAIT_TIMEOUT_S
        answer = b""
        while b" 200 " not in answer and time.monotonic() < until:
            with contextlib.suppress(ConnectionError), socket.create_connection(where, WAIT_TIMEOUT_S) as call:
                call.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = read_message(call)
        first.send_signal(signal.SIGTERM)
        time.sleep(1.0)  # a process that did not know of the new one by then has ended who is idle
        client.sendall(build_request(2))
        self.assertTrue(self.serve(at_server, client, b"two").endswith(b"two"))
        _, errors = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertIn("a newer process of this gateway is ready", errors)

    def test_a_gateway_set_on_an_address_in_use_by_another_does_not_start_and_does_no_harm(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.serve(at_server, client, b"one")
        with tempfile.TemporaryDirectory() as elsewhere:  # no mark of an upgrade there
            other = self.second(EDGE_NAME="n9", TMPDIR=elsewhere)
            _, errors = other.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(other.returncode, 1)
        self.assertRegex(errors, r"\Apetrelhall: cannot start: .*another process listens at 127.0.0.1:\d+.*\n\Z")
        client.sendall(build_request(2))
        self.assertTrue(self.serve(at_server, client, b"two").endswith(b"two"))
        self.assertIsNone(self.program.poll())

    def test_a_second_process_on_the_same_addresses_starts_and_serves_after_the_first_leaves(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))  # the first listens and serves
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"old"))
        self.assertTrue(read_message(client).endswith(b"old"))
        second = subprocess.Popen(
            [sys.executable, "-m", "petrelhall"],
            env={**os.environ, "EDGE_CONFIG": self.path},
            text=True,
            stderr=subprocess.PIPE,
        )
        self.stack.callback(lambda: second.poll() is None and second.kill())
        first.send_signal(signal.SIGTERM)
        _, errors = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(first.returncode, 0, errors)
        self.program = second  # from here on the clients' address is the second's alone
        late = self.client(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"new"))
        self.assertTrue(read_message(late).endswith(b"new"))
        self.assertIsNone(second.poll())

    def test_what_is_taken_after_sigterm_is_answered_before_the_kill_that_follows(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(build_request(1))  # it listens
        read_message(self.accept(server))
        began = time.monotonic()
        first.send_signal(signal.SIGTERM)
        late = self.client(build_request(2, deadline="6000m"))  # taken while clients still come, with all of its time
        read_message(self.accept(server))  # which the server never answers
        late.settimeout(WAIT_TIMEOUT_S)
        answer = read_message(late)
        self.assertRegex(answer, rb"^HTTP/1.1 (429|502|503|504) ")
        self.assertLess(time.monotonic() - began, 3.0 + 0.7)  # the longest deadline, as counted, and 0.7 s
