"""Race conditions on real sockets: each test forces two events to interleave and checks the outcome."""

from __future__ import annotations

import contextlib
import errno
import json
import signal
import socket
import struct
import tempfile
import threading
import time
import unittest
import unittest.mock
from typing import Any

from petrelhall.boxes import discovery
from petrelhall.boxes.discovery import DiscoveryWatch, max_staleness_ms
from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.decide.interface import Ending, Started
from petrelhall.decide.policy import Gateway
from petrelhall.decide.settings import read_settings
from petrelhall.gateway import client as client_module
from petrelhall.gateway import front, relay
from petrelhall.gateway.dispatch import Dispatcher
from petrelhall.gateway.front import Listener
from petrelhall.gateway.mgmt import MAX_MANAGEMENT_CONNECTIONS, Management
from petrelhall.gateway.platform import ForwardedRequest, Platform
from petrelhall.gateway.requests import RequestHandler
from petrelhall.http.h1 import HttpRequest
from petrelhall.links import reuse
from petrelhall.links.attempt import AttemptProgress
from petrelhall.links.plan import ConnectionPlan
from petrelhall.links.pool import ConnectionPool
from petrelhall.net import loop as net_loop
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Task, now_ms
from petrelhall.net.stream import Stream
from petrelhall.operator.settings import Links
from tests.peers import (
    TEST_SETTINGS,
    WAIT_TIMEOUT_S,
    GatewayTestCase,
    build_request,
    build_response,
    format_address,
    open_listener,
    read_message,
    server_entry,
)

FORWARDED_REQUEST = ForwardedRequest(HttpRequest(b"GET", b"/api?client=0000000000000001", {}, b""), [(b"host", b"h")])
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def close_with_reset(sock: socket.socket) -> None:
    """Close the socket so that the peer receives a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class GatewayPartsTestCase(unittest.TestCase):
    """Runs the gateway's parts in this process and its event loop step by step, so that a test can force a race."""

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.log_lines: list[str] = []
        self.loop, self.counts, self.registry = Loop(self.log_lines.append), Counts(), ServerRegistry(("a",))
        self.server = self.stack.enter_context(open_listener())
        self.server.setblocking(False)
        self.registry.apply({"version": 1, "full": True, "servers": [server_entry("s0", format_address(self.server))]})
        self.settings = read_settings(TEST_SETTINGS)
        self.platform = Platform(self.settings, ("view", "change"), ("plan",))
        self.plan = ConnectionPlan(Links(), 10, 30000.0)
        self.pool = ConnectionPool(self.loop, self.registry, self.platform, self.counts, self.plan, 5000.0)
        self.results: list[Any] = []

    def start_gateway(self, max_connections: int = 20) -> Listener:
        """Connect all parts of a gateway and return its listener."""
        module = Gateway(self.settings, 1)
        dispatcher = Dispatcher(self.loop, module, self.counts, self.log_lines.append)
        self.request_handler = RequestHandler(self.loop, dispatcher.dispatch, self.pool, self.counts, 700.0)
        dispatcher.handle_request_action = self.request_handler.deliver
        dispatcher.dispatch(Started())
        dispatcher.dispatch(self.registry.reassign_pools())
        gateway_listener = Listener(
            self.loop,
            ("127.0.0.1", 0),
            self.platform,
            self.request_handler,
            lambda: True,
            self.counts,
            self.log_lines.append,
            max_connections,
        )
        self.stack.callback(gateway_listener.listener.close)
        self.stack.callback(lambda: [client.stream.close() for client in gateway_listener.clients])
        self.listen_address = gateway_listener.listener.getsockname()
        return gateway_listener

    def patch(self, module: Any, **values: Any) -> None:
        for name, value in values.items():
            self.stack.enter_context(unittest.mock.patch.object(module, name, value))

    def turn_until(self, done: Any) -> None:
        until = now_ms() + WAIT_TIMEOUT_S * 1000.0
        while not done():
            self.assertLess(now_ms(), until, f"condition not reached in time: {self.counts} {self.log_lines}")
            self.loop.after(5.0, lambda: None)
            self.loop.turn()

    def client(self, *data: bytes) -> socket.socket:
        sock = self.stack.enter_context(socket.create_connection(self.listen_address, WAIT_TIMEOUT_S))
        for piece in data:
            sock.sendall(piece)
        sock.setblocking(False)
        return sock

    def accept(self) -> socket.socket:
        """Accept the next connection from the gateway to the server."""
        accepted: list[socket.socket] = []

        def try_accept() -> bool:
            with contextlib.suppress(BlockingIOError):
                accepted.append(self.stack.enter_context(self.server.accept()[0]))
            return bool(accepted)

        self.turn_until(try_accept)
        accepted[0].setblocking(False)
        return accepted[0]

    def read(self, sock: socket.socket, expected: bytes | None) -> bytes:
        """Read until the expected bytes have arrived, or to the end of the connection if None."""
        data = bytearray()

        def read_available() -> bool:
            with contextlib.suppress(BlockingIOError):
                while chunk := sock.recv(65536):
                    data.extend(chunk)
                    if expected is not None and expected in data:
                        return True
                return True
            return expected is not None and expected in data

        self.turn_until(read_available)
        return bytes(data)

    def start_attempt(
        self,
        time_left_ms: float = 5000.0,
        stopped: Any = lambda: False,
        server: str = "s0",
        message: ForwardedRequest = FORWARDED_REQUEST,
        **options: Any,
    ) -> Task:
        def steps() -> Any:
            deadline = now_ms() + time_left_ms
            self.results.append((yield from self.pool.attempt(server, message, deadline, stopped, **options)))

        task = self.loop.spawn(steps())
        self.addCleanup(task.steps.close)
        return task


class ChecksBeforeWriteTest(GatewayPartsTestCase):
    """A decision to send is checked again just before the request is written to the connection."""

    @contextlib.contextmanager
    def delayed_connection(self) -> Any:
        """Keep the server's accept queue full inside the block, so that a connection is established only after it.

        Then check that the connection was established, that nothing was written to it, and how the attempt ended.
        """
        self.server.close()
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as server,
            socket.create_connection(server.getsockname()),
        ):
            self.server = server
            self.registry.apply({"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]})
            yield
            server.settimeout(WAIT_TIMEOUT_S)
            server.accept()[0].close()
            self.turn_until(lambda: self.results)
            for _ in range(4):
                self.loop.after(5.0, lambda: None)
                self.loop.turn()
            sock = self.stack.enter_context(server.accept()[0])  # the delayed connection was established
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                self.assertEqual(sock.recv(100), b"")  # and nothing was written to it
        self.assertEqual((self.results[0].ending, self.results[0].progress), (Ending.MOOT, AttemptProgress.UNWRITTEN))

    def test_a_retry_whose_window_ends_before_its_connection_is_established_is_not_written(self) -> None:
        with self.delayed_connection():
            write_by = now_ms() + 30.0
            self.start_attempt(write_by=write_by)
            self.turn_until(lambda: now_ms() > write_by)
        self.assertIn("too late", self.results[0].reason)

    def test_a_request_cancelled_before_its_connection_is_established_is_not_written(self) -> None:
        cancelled: list[bool] = []
        with self.delayed_connection():
            self.start_attempt(stopped=lambda: bool(cancelled))
            self.turn_until(lambda: self.plan.opening)
            cancelled.append(True)  # nothing wakes the attempt until its connection is established

    def test_a_request_whose_deadline_passes_while_connecting_counts_as_unwritten(self) -> None:
        self.server.close()
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as server,
            socket.create_connection(server.getsockname()),
        ):
            self.registry.apply({"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]})
            self.start_attempt(time_left_ms=60.0)
            self.turn_until(lambda: self.results)
        self.assertEqual((self.results[0].ending, self.results[0].progress), (Ending.MOOT, AttemptProgress.UNWRITTEN))

    def test_a_duplicate_response_that_arrives_late_is_not_taken_for_the_next_request(self) -> None:
        self.patch(reuse, REUSE_DELAY_MS=300.0)  # long enough for a slow machine
        self.plan.settings = Links(wait_ms=2000.0)
        self.start_attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(build_response(b"one"))
        self.turn_until(lambda: self.results)
        self.start_attempt()  # at once, before the reuse delay is over
        self.loop.turn()
        with self.assertRaises(BlockingIOError):  # the second request is not written yet
            first.recv(100)
        first.sendall(build_response(b"one"))  # the duplicate, some milliseconds late
        second = self.accept()
        self.read(second, b"\r\n\r\n")
        second.sendall(build_response(b"two"))
        self.turn_until(lambda: len(self.results) == 2)
        self.assertEqual([result.reply.body for result in self.results], [b"one", b"two"])
        self.assertEqual(self.plan.counts["retired.spoilt"], 1)
        # Does not count as evidence of the idle timeout of the server.
        self.assertFalse(self.plan.servers["s0"].unsettled_deaths)

    # Guards against: after a server closed a connection early, a late second answer goes to another client (review/1).
    def test_a_connection_close_to_its_idle_limit_is_not_reused_before_a_duplicate_response_can_come(self) -> None:
        self.patch(reuse, REUSE_DELAY_MS=5000.0)
        self.plan.settings = Links(wait_ms=6000.0)
        self.start_attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(build_response(b"one"))
        self.turn_until(lambda: self.results)
        server = self.plan.servers["s0"]
        server.provisional_idle_limit_ms = 6000.0  # as after a reset under a request on a connection that idle
        server.idle[0].idle_since -= 3500.0  # over half of that, and not yet the reuse delay
        self.start_attempt()
        self.loop.turn()
        with self.assertRaises(BlockingIOError):  # the second request is not written yet
            first.recv(100)
        first.sendall(build_response(b"one"))  # the duplicate
        second = self.accept()
        self.read(second, b"\r\n\r\n")
        second.sendall(build_response(b"two"))
        self.turn_until(lambda: len(self.results) == 2)
        self.assertEqual([result.reply.body for result in self.results], [b"one", b"two"])

    def test_a_request_waits_for_reuse_no_longer_than_a_duplicate_response_may_be_late(self) -> None:
        self.start_attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(build_response(b"one"))
        self.turn_until(lambda: self.results)
        started_at = now_ms()
        self.start_attempt()
        self.read(first, b"\r\n\r\n")  # on the same connection
        self.assertLess(now_ms() - started_at, 500.0)
        self.assertEqual(self.plan.counts["opened.needed"], 1)


class ClientDisconnectTest(GatewayPartsTestCase):
    """Clients that close or reset their connection."""

    def test_a_close_during_a_long_loop_iteration_is_seen_before_the_attempt_is_written(self) -> None:
        self.start_gateway()
        client = self.client(build_request())
        original, closed = self.pool.check_before_write, []

        def close_client_first(*values: Any) -> Any:
            if not closed:
                closed.append(client.close())
                self.loop.polled_at -= 1000.0  # as if the last poll of the sockets was a second ago
            return original(*values)

        self.patch(self.pool, check_before_write=close_client_first)
        server = self.accept()
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertEqual(self.counts.get("sent", "moot"), 1)
        with contextlib.suppress(BlockingIOError):
            self.assertEqual(server.recv(100), b"")

    def test_a_client_that_closes_after_sending_a_flood_is_detected_as_gone(self) -> None:
        self.start_gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        chunk = b"x" * 65536
        sent = 0

        def send_flood() -> bool:  # more than is buffered for a connection with a request in flight
            nonlocal sent
            with contextlib.suppress(BlockingIOError):
                sent += client.send(chunk)
            return sent > 4 * 98304

        self.turn_until(send_flood)
        client.close()
        started_at = now_ms()
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertLess(now_ms() - started_at, 1000.0)  # well before its deadline of 6 s
        self.assertEqual(self.read(server, None), b"")

    def test_a_request_followed_at_once_by_the_clients_close_is_not_started(self) -> None:
        self.start_gateway()
        client = self.client(build_request())
        client.close()  # request and close are both in the kernel before the gateway polls
        self.turn_until(lambda: self.counts.get("connections", "from_clients"))
        for _ in range(5):
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.assertEqual(self.counts.get("taken", "requests"), 0)
        self.assertEqual(self.plan.open, 0)

    def test_a_client_gone_before_it_is_accepted_at_the_connection_limit_is_not_served(self) -> None:
        # Accepted in the same iteration as the eviction that made room, the connection is read before its first poll.
        for name, leave in (("closed", socket.socket.close), ("reset", close_with_reset)):
            with self.subTest(name):
                self.start_gateway(max_connections=1)
                client = self.client(build_request())
                leave(client)
                self.turn_until(lambda: self.counts.get("connections", "made_room"))
                for _ in range(5):
                    self.loop.after(5.0, lambda: None)
                    self.loop.turn()
                self.assertEqual(self.counts.get("taken", "requests"), 0)
                self.assertEqual(self.plan.open, 0)

    # Guards against: a request begins whose client has closed behind a flood larger than what the kernel holds.
    def test_a_request_whose_client_closed_behind_a_flood_is_not_begun(self) -> None:
        gateway_listener = self.start_gateway()
        gateway_listener.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        client = self.client()
        client.settimeout(WAIT_TIMEOUT_S)
        client.sendall(build_request() + HEALTH_REQUEST * 10000)  # more than the gateway's side of the kernel holds
        client.close()
        self.turn_until(lambda: self.counts.get("taken", "requests"))
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertEqual(self.counts.get("connections", "to_servers"), 0)  # no attempt was begun

    def test_a_waiting_client_is_answered_when_an_eviction_happens_in_the_iteration_of_its_accept(self) -> None:
        self.start_gateway(max_connections=1)
        client = self.client(HEALTH_REQUEST)
        self.assertTrue(self.read(client, b"ready\n").startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.counts.get("connections", "made_room"), 1)

    def test_a_client_gone_before_the_final_accepts_of_a_shutdown_is_not_served(self) -> None:
        gateway_listener = self.start_gateway()

        # Runs after this iteration's socket events, so that the connection is still in the accept queue.
        def close_idle_with_a_client_in_the_queue() -> None:
            self.client(build_request()).close()
            gateway_listener.close_idle_connections()  # accepts it and reads from it in this iteration

        self.loop.after(0.0, close_idle_with_a_client_in_the_queue)
        self.turn_until(lambda: self.counts.get("connections", "from_clients") and not gateway_listener.clients)
        self.assertEqual(self.counts.get("connections", "from_clients"), 1)
        self.assertEqual(self.counts.get("taken", "requests"), 0)

    def forwarded_deadline_ms(self) -> float:
        """Read the request forwarded to the server, and return the time left in its X-Deadline header."""
        head = self.read(self.accept(), b"\r\n\r\n").lower()
        return float(head.partition(b"x-deadline: ")[2].partition(b"m")[0])

    def test_the_forwarded_deadline_excludes_the_wait_during_a_long_loop_iteration(self) -> None:
        # A poll that returns late on a slow machine does not count as blocked.
        self.patch(net_loop, BLOCKED_POLL_MS=1000.0)
        gateway_listener = self.start_gateway()
        client = self.client(HEALTH_REQUEST)
        self.read(client, b"ready\n")
        client.sendall(build_request())
        (connection,) = gateway_listener.clients
        connection.stream.registered_at -= 3000.0  # registered long before, and
        self.loop.polled_at -= 1500.0  # the request may have arrived at any time during an iteration of 1.5 s
        self.loop.turn()
        self.assertLessEqual(self.forwarded_deadline_ms(), 4500.0)

    # Guards against: a server is told more time than is left, if later bytes came while a request waited for its turn.
    def test_the_forwarded_deadline_excludes_the_wait_behind_another_request(self) -> None:
        self.patch(reuse, REUSE_DELAY_MS=0.0)
        self.start_gateway()
        client = self.client(build_request(1) + build_request(2))
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        answer_at = now_ms() + 500.0
        self.turn_until(lambda: now_ms() >= answer_at)
        client.sendall(build_request(3))
        self.loop.turn()
        server.sendall(build_response(b"one"))
        head = self.read(server, b"\r\n\r\n").lower()
        self.assertIn(b"x-request-id: 0000000000000002", head)
        self.assertLessEqual(float(head.partition(b"x-deadline: ")[2].partition(b"m")[0]), 5500.0)

    def test_data_that_arrives_while_the_loop_is_polling_has_not_waited(self) -> None:
        far, near = socket.socketpair(socket.AF_UNIX)
        loop = Loop(self.log_lines.append)
        stream = Stream(loop, self.stack.enter_context(near), lambda: None)
        self.stack.enter_context(far)
        stream.registered_at -= 3000.0
        loop.polled_at -= 1500.0  # the iteration before was long, but the poll after it finds nothing ready
        sender = threading.Timer(0.2, far.sendall, (b"x",))
        self.stack.callback(sender.join)
        started_at = now_ms()
        sender.start()
        loop.turn()
        self.assertEqual(stream.incoming, b"x")
        self.assertGreaterEqual(stream.earliest_arrival_at, started_at)

    def test_the_forwarded_deadline_excludes_the_wait_in_the_accept_queue(self) -> None:
        gateway_listener = self.start_gateway(max_connections=1)
        self.read(self.client(HEALTH_REQUEST), b"ready\n")
        self.turn_until(lambda: not gateway_listener.accepting)
        self.client(build_request())
        gateway_listener.queued_since -= 1500.0  # nothing was accepted for that long
        self.assertLessEqual(self.forwarded_deadline_ms(), 4500.0)

    def test_the_accept_queue_is_known_to_be_empty_after_the_connection_limit_is_left(self) -> None:
        gateway_listener = self.start_gateway(max_connections=1)
        self.read(self.client(HEALTH_REQUEST), b"ready\n")
        self.turn_until(lambda: self.counts.get("connections", "made_room") and gateway_listener.accepting)
        gateway_listener.queued_since -= 1500.0  # before the connection limit was reached
        for _ in range(3):  # the listener is polled and is not readable
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.client(build_request())
        self.assertGreater(self.forwarded_deadline_ms(), 5500.0)

    def test_the_decision_module_drops_an_attempt_whose_client_left_before_it_was_sent(self) -> None:
        gateway_listener = self.start_gateway()
        client = self.client(build_request())
        module = gateway_listener.request_handler.handle_event.__self__.module
        original_deliver = gateway_listener.request_handler.deliver

        def close_client_first(action: Any) -> None:
            client.close()
            for connection in gateway_listener.clients:
                connection.stream.end(0)  # the close is seen after the decision and before the attempt starts
            original_deliver(action)

        gateway_listener.request_handler.handle_event.__self__.handle_request_action = close_client_first
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertEqual((module.in_flight, module.open_attempts, module.servers["s0"].open_attempts), ({}, 0.0, 0.0))
        self.assertAlmostEqual(module.customers["00000000b4d65521"].shared_bucket, 1000.0, places=0)


class SlowReaderTest(GatewayPartsTestCase):
    """Large answers to clients that read slowly."""

    # Guards against: a large answer to a client that reads slowly, and all the time, is reset (review/3).
    def test_a_client_that_reads_slowly_and_steadily_gets_a_large_answer_whole(self) -> None:
        self.patch(relay, STALL_TIMEOUT_MS=1000.0)
        self.start_gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        server.settimeout(WAIT_TIMEOUT_S)
        body = bytes(range(256)) * 32768
        sender = threading.Thread(target=server.sendall, args=(build_response(body),))
        sender.start()
        self.stack.callback(sender.join)
        received, started_at = bytearray(), now_ms()

        def read_steadily() -> bool:
            elapsed_ms = now_ms() - started_at
            allowed = int(400.0 * elapsed_ms) if elapsed_ms < 3000.0 else 2 * len(body)  # bytes; then at full speed
            with contextlib.suppress(BlockingIOError):
                while len(received) < allowed and (data := client.recv(65536)):
                    received.extend(data)
            return len(received) >= len(body)

        self.turn_until(read_steadily)
        self.assertTrue(received.endswith(body))


class ConnectionCloseTest(GatewayPartsTestCase):
    """Connections that the gateway closes while the other side is still sending."""

    def read_and_check_not_reset(self, client: socket.socket, until: bytes | None = None) -> bytes:
        """Read to the end, send into the closed connection, and check that it was not reset."""
        data = self.read(client, until)
        if until is not None:
            data += self.read(client, None)
        client.sendall(build_request(2))
        for _ in range(4):
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.assertEqual(client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)
        return data

    def test_data_sent_while_an_idle_connection_is_closed_causes_no_reset(self) -> None:
        self.patch(client_module, IDLE_TIMEOUT_MS=50.0)
        self.patch(front, SWEEP_INTERVAL_MS=10.0)
        self.start_gateway()
        client = self.client(HEALTH_REQUEST)
        self.assertTrue(self.read_and_check_not_reset(client, b"ready\n").startswith(b"HTTP/1.1 200"))

    def test_data_sent_while_a_408_is_written_does_not_destroy_it_by_a_reset(self) -> None:
        self.patch(client_module, FIRST_REQUEST_TIMEOUT_MS=50.0)
        self.patch(front, SWEEP_INTERVAL_MS=10.0)
        self.start_gateway()
        self.assertTrue(self.read_and_check_not_reset(self.client(build_request()[:40])).startswith(b"HTTP/1.1 408"))

    def test_a_500_after_an_internal_error_is_not_destroyed_by_a_reset(self) -> None:
        self.start_gateway()
        self.patch(self.platform, parse_request=unittest.mock.Mock(side_effect=ZeroDivisionError))
        client = self.client(build_request() + b"x" * 20000)
        self.assertTrue(self.read_and_check_not_reset(client).startswith(b"HTTP/1.1 500"))

    def test_a_connection_over_the_limit_evicts_few_idle_ones_and_nothing_busy_loops(self) -> None:
        self.patch(front, CROWDED_LINGER_TIMEOUT_MS=300.0)
        self.start_gateway(max_connections=31)
        for _ in range(30):
            # Left idle: the client does not close its end when the gateway closes the connection.
            self.read(self.client(HEALTH_REQUEST), b"ready\n")
        turns, turn, started_at = [], self.loop.turn, now_ms()
        self.patch(self.loop, turn=lambda: turns.append(turn()))
        for _ in range(2):
            self.read(self.client(HEALTH_REQUEST), b"ready\n")  # accepted once one of the idle connections is closed
        self.assertLess(len(turns), 100.0 + (now_ms() - started_at))
        # The two late clients are among the evicted.
        self.assertLessEqual(self.counts.get("connections", "made_room"), front.EVICTION_BATCH + 2)

    def test_many_waiting_connections_evict_several_idle_ones_at_once_but_at_most_a_quarter(self) -> None:
        self.patch(front, CROWDED_LINGER_TIMEOUT_MS=200.0)
        gateway_listener = self.start_gateway(max_connections=80)
        for _ in range(79):
            # Left idle: the client does not close its end when the gateway closes the connection.
            self.read(self.client(HEALTH_REQUEST), b"ready\n")
        late_clients = [self.client(HEALTH_REQUEST) for _ in range(60)]
        max_lingering = 0

        def all_answered() -> bool:
            nonlocal max_lingering
            max_lingering = max(max_lingering, gateway_listener.lingering)
            return self.counts.get("connections", "from_clients") == 139

        self.turn_until(all_answered)
        for client in late_clients:
            self.read(client, b"ready\n")
        self.assertGreater(max_lingering, front.EVICTION_BATCH)
        self.assertLessEqual(max_lingering, 20)

    def test_a_response_that_trickles_endlessly_is_aborted_after_the_stream_timeout(self) -> None:
        self.patch(relay, STREAM_TIMEOUT_MS=200.0, STREAM_MS_PER_BYTE=0.0)
        self.start_gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        server.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"11170\r\n" + b"x" * 70000 + b"\r\n")
        started_at, outcomes = now_ms(), []

        def trickle_and_read() -> bool:
            with contextlib.suppress(OSError):
                server.send(b"1\r\nx\r\n")
            try:
                while client.recv(65536):
                    pass
                outcomes.append(b"orderly")
            except BlockingIOError:
                return False
            except ConnectionResetError:
                outcomes.append(b"reset")
            return True

        self.turn_until(trickle_and_read)
        self.assertEqual(outcomes, [b"reset"])
        self.assertLess(now_ms() - started_at, 2000.0)


class ManagementListenerTest(GatewayPartsTestCase):
    """The management listener."""

    def start_management(self) -> Management:
        directory = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.patch(tempfile, tempdir=directory)
        management = Management(
            self.loop,
            ("127.0.0.1", 0),
            self.registry,
            lambda: True,
            lambda news: None,
            self.counts,
            self.log_lines.append,
            "n0",
        )
        self.stack.callback(management.listener.close)
        self.stack.callback(lambda: [caller.stream.close() for caller in management.connections])
        self.listen_address = management.listener.getsockname()
        return management

    def test_a_response_to_a_caller_that_sent_excess_data_is_not_destroyed_by_a_reset(self) -> None:
        management = self.start_management()
        caller = self.client(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n" + b"x" * 200000)
        self.turn_until(lambda: self.counts.get("control", "answered_200"))
        caller.setblocking(True)
        caller.sendall(b"x" * 10000)  # before it reads: a reset would discard the response
        caller.setblocking(False)
        self.assertTrue(self.read(caller, None).startswith(b"HTTP/1.1 200"))
        caller.close()
        self.turn_until(lambda: not management.connections)

    def test_answered_callers_that_stay_connected_do_not_use_up_the_connection_limit(self) -> None:
        self.start_management()
        for _ in range(2 * MAX_MANAGEMENT_CONNECTIONS):  # none of them closes its connection
            self.assertTrue(self.read(self.client(HEALTH_REQUEST.replace(b"/healthz", b"/control/ready")), b"yes\n"))

    def test_running_out_of_descriptors_for_callers_does_not_busy_loop(self) -> None:
        management = self.start_management()
        accept_attempts: list[int] = []

        def raise_emfile() -> Any:
            accept_attempts.append(1)
            raise OSError(errno.EMFILE, "too many open files")

        listener = management.listener
        management.listener = unittest.mock.Mock(accept=raise_emfile, fileno=listener.fileno)
        self.stack.callback(listener.close)
        caller = self.client(HEALTH_REQUEST.replace(b"/healthz", b"/control/ready"))
        until = now_ms() + 200.0
        self.turn_until(lambda: now_ms() > until)
        self.assertLessEqual(len(accept_attempts), 12)
        management.listener = listener
        self.assertTrue(self.read(caller, b"yes\n"))  # accepted once a descriptor is available


class DiscoveryWatchTest(GatewayPartsTestCase):
    """Polling of discovery: a poll that goes silent, and many gateways that poll."""

    def test_a_change_takes_effect_within_the_staleness_bound_after_a_poll_goes_silent(self) -> None:
        self.assertLessEqual(max_staleness_ms(), 6000.0)
        dead_poll_detected_ms = (
            discovery.RESPONSE_GRACE_MS
            + discovery.RETRY_DELAY_MS
            + discovery.CONNECT_TIMEOUT_MS
            + discovery.RESPONSE_GRACE_MS
        )
        # The bound is 6 s after the silence begins or 2 s after a long poll's end, whichever is later.
        self.assertLessEqual(dead_poll_detected_ms, 4000.0)
        discovery_server = self.server  # the listener of the scripted server acts as discovery
        reported: list[Any] = []
        connect_errors: list[OSError] = []
        connect = discovery.connect
        self.patch(discovery, connect=lambda *values: connect_errors.pop() if connect_errors else connect(*values))
        watch = DiscoveryWatch(
            self.loop,
            discovery_server.getsockname(),
            self.registry,
            reported.append,
            self.counts,
            self.log_lines.append,
        )
        self.addCleanup(watch.task.steps.close)
        connection = self.accept()
        self.read(connection, b"\r\n\r\n")
        connection.sendall(build_response(json.dumps({"version": 2, "full": True, "servers": []}).encode()))
        self.read(connection, b"after=2")
        started_at = now_ms()  # from here on this connection stays silent
        for answer in (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{", build_response(b"", "503 Busy")):
            partial_connection = self.accept()
            self.read(partial_connection, b"after=2")
            # The next connect fails for lack of a descriptor.
            connect_errors.append(OSError(errno.EMFILE, "too many open files"))
            partial_connection.sendall(answer)
            if answer.endswith(b"{"):
                close_with_reset(partial_connection)
        new_connection = self.accept()
        self.read(new_connection, b"after=2")
        listing = {"version": 3, "full": False, "servers": [server_entry("s9", "127.0.0.1:9")]}
        new_connection.sendall(build_response(json.dumps(listing, indent=2).encode()))
        self.turn_until(lambda: "s9" in self.registry.addresses)
        self.assertLess(now_ms() - started_at, max_staleness_ms())

    def test_gateways_that_lost_discovery_together_do_not_poll_in_step(self) -> None:
        watches = [
            DiscoveryWatch(
                self.loop, ("127.0.0.1", 9), self.registry, lambda news: None, self.counts, self.log_lines.append
            )
            for _ in range(50)
        ]
        for watch in watches:
            self.addCleanup(watch.task.steps.close)
        waits = [watch.jittered(discovery.LONG_POLL_MS) for watch in watches]
        self.assertGreater(max(waits) - min(waits), 100.0)
        self.assertTrue(all(700.0 <= wait <= 1000.0 for wait in waits), waits)


class GatewayProcessTest(GatewayTestCase):
    """The gateway as a process."""

    def test_a_response_without_a_length_is_complete_only_after_an_orderly_close(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(build_request(1))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        at_server.close()
        self.assertTrue(read_message(client).endswith(b"\r\n\r\nwhole"))
        client.sendall(build_request(2))
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        close_with_reset(at_server)
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 429"))
        self.assertIn("sent.ok=1 sent.reset=1", self.stop())

    def test_a_large_response_cut_by_a_reset_looks_complete_to_no_client(self) -> None:
        server = self.listener()
        self.start(server)
        for number, version in enumerate((b"HTTP/1.1", b"HTTP/1.0")):
            with self.subTest(version=version):
                client = self.client(build_request(number).replace(b"HTTP/1.1", version, 1))
                at_server = self.accept(server)
                read_message(at_server)
                at_server.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 200000)
                data = b""
                while len(data) < 100000:
                    chunk = client.recv(65536)
                    self.assertTrue(chunk, data[:200])
                    data += chunk
                close_with_reset(at_server)
                with self.assertRaises(ConnectionResetError):
                    while chunk := client.recv(65536):
                        data += chunk
                self.assertFalse(data.endswith(b"0\r\n\r\n"))

    def test_a_request_whose_deadline_is_after_the_kill_is_answered_before_it(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(build_request(deadline="6000m"))
        at_server = self.accept(server)
        read_message(at_server)  # the server never answers
        self.program.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        self.program.send_signal(signal.SIGTERM)  # a repeated signal must not change the timing
        answer = read_message(client)
        # The kill comes 3.7 s after SIGTERM: 3 s for the longest deadline and a grace of 0.7 s.
        self.assertLess(time.monotonic() - started_at, 3.7)
        self.assertRegex(answer, rb"^HTTP/1.1 (429|502)")
        self.assertEqual(at_server.recv(100), b"")
        _, log_output = self.program.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(self.program.returncode, 0, log_output)
        self.assertIn("answered.cut_off_at_the_end=1", log_output)

    # Guards against: after SIGTERM the process ends in the middle of a large answer that it passes on (review/8).
    def test_an_answer_that_takes_longer_than_every_deadline_is_passed_on_whole_after_sigterm(self) -> None:
        server = self.listener()
        short = [kind | {"DeadlineMs": 500.0} for kind in TEST_SETTINGS["Grades"]]
        self.start(server, settings=TEST_SETTINGS | {"Grades": short})
        client = self.client(build_request())
        unfinished = self.client(build_request(2)[:40])  # a client without a request does not keep the process
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 163840\r\n\r\n")
        self.program.send_signal(signal.SIGTERM)

        def answer_slowly() -> None:
            for _ in range(20):  # 5 s; without the answer the process would end 3.3 s after SIGTERM
                at_server.sendall(b"x" * 8192)
                time.sleep(0.25)

        with self.run_alongside(answer_slowly):
            self.assertTrue(read_message(client).endswith(b"\r\n\r\n" + b"x" * 163840))
        unfinished.close()
        _, log_output = self.program.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(self.program.returncode, 0, log_output)

    def test_idle_clients_at_the_descriptor_limit_leave_descriptors_for_discovery_and_servers(self) -> None:
        with open_listener() as free_port:
            discovery_address = free_port.getsockname()
        server = self.listener()
        # Discovery is down at the start.
        self.start(sockets=100, discovery=f"{discovery_address[0]}:{discovery_address[1]}", known=None)
        idle_clients = [self.client(HEALTH_REQUEST) for _ in range(150)]
        discovery_server = self.stack.enter_context(socket.create_server(discovery_address, backlog=64))
        discovery_server.settimeout(WAIT_TIMEOUT_S)
        connection = self.accept(discovery_server)
        read_message(connection)
        listing = {"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]}
        connection.sendall(build_response(json.dumps(listing).encode()))
        self.assertIn(b"after=2", read_message(connection))
        client = self.client(build_request())
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"served"))
        self.assertTrue(read_message(client).endswith(b"served"))
        for sock in idle_clients:
            sock.close()
        self.assertNotIn("no_descriptor", self.stop())


if __name__ == "__main__":
    unittest.main()
