"""Upgrades: a second process of the same gateway starts on the same addresses and takes over."""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import subprocess
import tempfile
import time
import unittest

from petrelhall.control.handover import mark, succeeded
from petrelhall.decide import interface as api
from petrelhall.gateway.peers import Peers
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop
from tests.peers import (
    WAIT_TIMEOUT_S,
    GatewayTestCase,
    build_request,
    build_response,
    format_address,
    open_listener,
    read_message,
    server_entry,
)


class ReadyMarkerTest(unittest.TestCase):
    """Which ready marker makes a process hand over and exit."""

    def test_only_another_process_started_later_is_a_successor(self) -> None:
        self.assertTrue(succeeded(mark(20, 2000.0), 10, 1000.0))
        self.assertFalse(succeeded(mark(10, 2000.0), 10, 1000.0))  # its own marker
        self.assertFalse(succeeded(mark(20, 500.0), 10, 1000.0))  # left over from a process before this one
        for malformed in (b"", b"[1]", b'{"pid": "20", "started_ms": 2000}', b'{"pid": 20, "started_ms": true}'):
            self.assertFalse(succeeded(malformed, 10, 1000.0), malformed)


class PeerSocketTest(unittest.TestCase):
    """Two processes of a gateway share the address on which peers' datagrams arrive."""

    def test_a_process_that_stopped_receiving_leaves_all_datagrams_to_the_newer_one(self) -> None:
        received_counts: dict[str, int] = {"old": 0, "new": 0}
        loop = Loop(print)
        senders = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(32)]
        for sender in senders:
            sender.bind(("127.0.0.1", 0))
            self.addCleanup(sender.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free_port:
            free_port.bind(("127.0.0.1", 0))
            own_address = free_port.getsockname()
        broadcast_address = senders[0].getsockname()
        peers = []
        for name in received_counts:

            def count_message(message: api.PeerMessage, name: str = name) -> None:
                received_counts[name] += 1

            peers.append(
                Peers(
                    loop,
                    own_address,
                    tuple(s.getsockname() for s in senders),
                    broadcast_address,
                    99,
                    count_message,
                    Counts(),
                )
            )
            self.addCleanup(peers[-1].sock.close)
        peers[0].stop_receiving()
        for sender in senders:
            sender.sendto(b"x", own_address)
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while sum(received_counts.values()) < len(senders) and time.monotonic() < give_up_at:
            loop.turn()
        self.assertEqual(received_counts, {"old": 0, "new": len(senders)})
        peers[0].send(b"still told")
        senders[0].settimeout(WAIT_TIMEOUT_S)
        self.assertEqual(senders[0].recvfrom(64), (b"still told", own_address))


class UpgradeTest(GatewayTestCase):
    """The old process serves until the new one is ready or SIGTERM arrives; the new one takes over."""

    def test_the_old_process_exits_without_a_signal_once_the_new_one_is_ready(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(build_request(1))
        read_message(self.accept(server))  # the first process is serving, so it has written its ready marker
        second = self.start_process()
        _, log_output = first.communicate(timeout=WAIT_TIMEOUT_S)  # without a signal
        self.assertEqual(first.returncode, 0, log_output)
        self.assertIn("a newer process of this gateway is ready", log_output)
        self.program = second
        late_client = self.client(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"new"))
        self.assertTrue(read_message(late_client).endswith(b"new"))

    def answer_request(self, at_server: socket.socket, client: socket.socket, body: bytes) -> bytes:
        """Answer the next request on a server's connection, and return the response that the client reads."""
        read_message(at_server)
        at_server.sendall(build_response(body))
        return read_message(client)

    def start_and_replace(self) -> tuple[socket.socket, subprocess.Popen[str], socket.socket, socket.socket]:
        """Serve one request, then start a second process and wait until the first one knows that it is ready.

        Returns the listening server, the first process, and the client's and the server's connection of the request.
        """
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.answer_request(at_server, client, b"one")
        self.start_process()
        self.wait_for_log("a newer process of this gateway is ready")
        return server, first, client, at_server

    def test_an_idle_client_keeps_its_connection_during_an_upgrade_until_its_next_request(self) -> None:
        server = self.listener()
        first = self.start(server)
        idle_client = self.client(build_request(1))
        at_server = self.accept(server)
        self.assertTrue(self.answer_request(at_server, idle_client, b"one").endswith(b"one"))
        second = self.start_process()
        self.wait_for_log("a newer process of this gateway is ready")
        first.send_signal(signal.SIGTERM)
        time.sleep(0.25)
        idle_client.sendall(build_request(2))
        answer = self.answer_request(at_server, idle_client, b"two")
        self.assertTrue(answer.endswith(b"two"))
        self.assertIn(b"connection: close", answer.lower())  # the connection closes after this response
        self.assertEqual(first.wait(WAIT_TIMEOUT_S), 0)
        self.assertIsNone(second.poll())
        self.program = second

    # Guards against: an upgrade during an outage of discovery forgets a drain that the old process knows (review/10).
    def test_a_drain_that_discovery_told_the_old_process_binds_the_new_one_while_discovery_is_down(self) -> None:
        discovery, draining, usual = self.listener(), self.listener(), self.listener()
        first = self.start(draining, usual, discovery=format_address(discovery))  # both are listed as ready
        connection = self.accept(discovery)
        read_message(connection)
        entries = [
            server_entry("s0", format_address(draining), "Terminating"),
            server_entry("s1", format_address(usual)),
        ]
        connection.sendall(build_response(json.dumps({"version": 2, "full": True, "servers": entries}).encode()))
        self.assertIn(b"after=2", read_message(connection))  # from here on discovery is silent
        self.program = self.start_process()
        _, log_output = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertIn("a newer process of this gateway is ready", log_output)
        # None is answered before all are sent, so that they would spread over both servers.
        clients = [self.client(build_request(number)) for number in range(2, 10)]
        for _ in clients:
            at_server = self.accept(select.select([draining, usual], [], [], WAIT_TIMEOUT_S)[0][0])
            self.assertEqual(at_server.getsockname(), usual.getsockname())
            read_message(at_server)

    # Guards against: the old process takes a request 1 s after SIGTERM; SIGKILL cuts its large answer off (review/7).
    def test_a_request_that_comes_long_after_sigterm_has_its_large_answer_from_the_new_process(self) -> None:
        server, first, client, _ = self.start_and_replace()
        stopped_at = time.monotonic()
        first.send_signal(signal.SIGTERM)
        self.assertEqual(client.recv(1), b"")  # closed in order, so that the client asks again on a new connection
        self.assertLess(time.monotonic() - stopped_at, 0.7)
        time.sleep(1.0)
        client = self.client(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 81920\r\n\r\n")
        for _ in range(10):  # 3 s: past the time of the kill
            at_server.sendall(b"x" * 8192)
            time.sleep(0.3)
        self.assertTrue(read_message(client).endswith(b"x" * 81920))
        self.assertIsNotNone(first.poll())

    def test_a_request_half_received_when_idle_connections_are_closed_is_still_answered(self) -> None:
        _, first, client, at_server = self.start_and_replace()
        first.send_signal(signal.SIGTERM)
        time.sleep(0.25)  # idle connections are closed 0.45 s after SIGTERM
        client.sendall(build_request(2)[:40])
        time.sleep(1.5)
        client.sendall(build_request(2)[40:])
        self.assertTrue(self.answer_request(at_server, client, b"two").endswith(b"two"))

    def test_idle_clients_do_not_keep_the_old_process_running_past_the_kill_deadline(self) -> None:
        server = self.listener()
        first = self.start(server)
        clients = []
        for number in range(1, 20):  # more than are closed in one batch
            clients.append(self.client(build_request(number)))
            at_server = self.accept(server)
            read_message(at_server)
            at_server.sendall(build_response(b"one", "200 OK", "Connection: close"))
            self.assertTrue(read_message(clients[-1]).endswith(b"one"))
        idle_client = clients[0]
        self.start_process()
        self.wait_for_log("a newer process of this gateway is ready")
        started_at = time.monotonic()
        first.send_signal(signal.SIGTERM)
        self.assertEqual(first.wait(WAIT_TIMEOUT_S), 0)
        self.assertLess(time.monotonic() - started_at, 3.0 + 0.7)
        self.assertEqual(idle_client.recv(1), b"")

    def test_sigterm_right_after_ready_finds_the_marker_written_before_ready_is_reported(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.answer_request(at_server, client, b"one")
        with open_listener() as free_port:
            management_address = free_port.getsockname()
        self.start_process(EDGE_MGMT=f"{management_address[0]}:{management_address[1]}")
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        answer = b""
        while b" 200 " not in answer and time.monotonic() < give_up_at:
            with (
                contextlib.suppress(ConnectionError),
                socket.create_connection(management_address, WAIT_TIMEOUT_S) as connection,
            ):
                connection.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = read_message(connection)
        first.send_signal(signal.SIGTERM)
        time.sleep(0.25)
        client.sendall(build_request(2))
        self.assertTrue(self.answer_request(at_server, client, b"two").endswith(b"two"))
        _, log_output = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertIn("a newer process of this gateway is ready", log_output)

    def test_a_gateway_configured_with_an_address_in_use_does_not_start_or_disturb_the_other(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        self.answer_request(at_server, client, b"one")
        with tempfile.TemporaryDirectory() as other_directory:  # without a handover marker in it
            other_gateway = self.start_process(EDGE_NAME="n9", TMPDIR=other_directory)
            _, log_output = other_gateway.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(other_gateway.returncode, 1)
        self.assertRegex(log_output, r"\Apetrelhall: cannot start: .*another process listens at 127.0.0.1:\d+.*\n\Z")
        client.sendall(build_request(2))
        self.assertTrue(self.answer_request(at_server, client, b"two").endswith(b"two"))
        self.assertIsNone(self.program.poll())

    def test_a_second_process_on_the_same_addresses_serves_after_the_first_exits(self) -> None:
        server = self.listener()
        first = self.start(server)
        client = self.client(build_request(1))  # waits until the first process listens and serves
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"old"))
        self.assertTrue(read_message(client).endswith(b"old"))
        second = self.start_process()
        first.send_signal(signal.SIGTERM)
        _, log_output = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(first.returncode, 0, log_output)
        self.program = second  # from here on only the second process listens on the client address
        late_client = self.client(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"new"))
        self.assertTrue(read_message(late_client).endswith(b"new"))
        self.assertIsNone(second.poll())

    def test_a_request_accepted_after_sigterm_is_answered_before_the_kill(self) -> None:
        server = self.listener()
        first = self.start(server)
        self.client(build_request(1))  # waits until the gateway listens
        read_message(self.accept(server))
        started_at = time.monotonic()
        first.send_signal(signal.SIGTERM)
        # Accepted while the listener is still open, with its full deadline.
        late_client = self.client(build_request(2, deadline="6000m"))
        read_message(self.accept(server))  # the server never answers
        late_client.settimeout(WAIT_TIMEOUT_S)
        answer = read_message(late_client)
        self.assertRegex(answer, rb"^HTTP/1.1 (429|502|503|504) ")
        # The kill comes after the longest deadline, counted as at most 3 s, and another 0.7 s.
        self.assertLess(time.monotonic() - started_at, 3.0 + 0.7)
