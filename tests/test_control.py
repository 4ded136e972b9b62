"""The management listener: parsing of its calls, servers excluded by the operator, and their file across restarts."""

from __future__ import annotations

import os
import selectors
import socket
import tempfile
import time
import unittest
import unittest.mock

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.control.bans import Bans, BansError, decode
from petrelhall.control.calls import Call, Wrong, read_call
from tests.peers import (
    WAIT_TIMEOUT_S,
    GatewayTestCase,
    build_request,
    build_response,
    open_listener,
    read_message,
    server_entry,
)


class CallParsingTest(unittest.TestCase):
    """Parsing of a management call from its method and target."""

    def test_valid_calls_are_parsed_and_invalid_ones_get_their_status(self) -> None:
        self.assertEqual(read_call(b"GET", b"/control/ready"), Call(ready=True))
        self.assertEqual(read_call(b"POST", b"/control/servers/s%2D1/offline"), Call(server="s-1", out=True))
        self.assertEqual(read_call(b"POST", b"/control/servers/s1/online?x=1"), Call(server="s1"))
        self.assertIsInstance(read_call(b"GET", b"/control/servers/s1/online"), Wrong)
        self.assertEqual(getattr(read_call(b"GET", b"/control/servers/s1/online"), "status", None), 405)
        for target in (b"/control/servers//offline", b"/control/servers/a/b/offline", b"/control", b"/api"):
            self.assertEqual(getattr(read_call(b"POST", target), "status", None), 404, target)
        self.assertEqual(getattr(read_call(b"POST", b"/control/servers/a%20b/offline"), "status", None), 400)
        self.assertEqual(getattr(read_call(b"POST", b"/control/servers/%ff/offline"), "status", None), 400)


class ExclusionTest(unittest.TestCase):
    """Servers excluded by the operator, and how the changes of two processes are merged."""

    def test_a_repeated_call_changes_nothing_and_the_later_change_wins(self) -> None:
        bans = Bans("n0")
        self.assertFalse(bans.say("s1", False, 10.0))  # readmitted without having been excluded
        self.assertTrue(bans.say("s1", True, 10.0))
        self.assertFalse(bans.say("s1", True, 20.0))
        self.assertTrue(bans.holds("s1"))
        other_process = Bans("n0")
        other_process.merge(decode(bans.encode(), "n0"))
        self.assertTrue(other_process.say("s1", False, 30.0))
        self.assertTrue(bans.merge(decode(other_process.encode(), "n0")))
        self.assertFalse(bans.holds("s1"))
        self.assertEqual(bans.back_at("s1"), 30.0)
        self.assertFalse(bans.merge(decode(Bans("n0").encode(), "n0")))  # merging an empty file ends no exclusion

    def test_a_malformed_file_or_one_of_another_gateway_is_rejected(self) -> None:
        for data in (
            b"{",
            b"[]",
            b'{"form":2,"gateway":"n0","servers":{}}',
            b'{"form":1,"gateway":"n9","servers":{}}',
            b'{"form":1,"gateway":"n0","servers":{"s":[1]}}',
        ):
            with self.assertRaises(BansError, msg=data):
                decode(data, "n0")

    def test_an_excluded_server_drains_whatever_discovery_lists_and_returns_cold(self) -> None:
        registry = ServerRegistry(("a",))
        listing = {
            "version": 1,
            "full": True,
            "servers": [server_entry("s0", "127.0.0.1:9"), server_entry("s1", "127.0.0.1:8")],
        }
        registry.apply(listing)
        registry.exclusions.say("s0", True, 1000.0)
        phases = {server.address: server.phase for server in registry.apply(listing).servers}
        self.assertEqual(phases, {"s0": "cordoned", "s1": "healthy"})
        self.assertNotIn("s0", registry.healthy)
        registry.exclusions.say("s0", False, 5000.0)
        returned_servers = {server.address: server for server in registry.apply(listing).servers}
        self.assertEqual(
            (returned_servers["s0"].phase, returned_servers["s0"].since_ms, returned_servers["s1"].since_ms),
            ("healthy", 5000.0, 0.0),
        )
        self.assertEqual(registry.started["s0"], 5000.0)
        self.assertEqual(registry.known_ids, {"s0", "s1"})


def call_status(address: tuple[str, int], method: str, path: str) -> int:
    """Make one management call and return its HTTP status."""
    with socket.create_connection(address, WAIT_TIMEOUT_S) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: gw\r\nContent-Length: 0\r\n\r\n".encode())
        return int(read_message(sock).split(b" ", 2)[1])


class ManagementListenerTest(GatewayTestCase):
    """A gateway process with its management listener and scripted servers."""

    def setUp(self) -> None:
        super().setUp()
        directory = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.stack.enter_context(unittest.mock.patch.dict(os.environ, {"TMPDIR": directory}))
        with open_listener() as free_port:
            self.management_address = free_port.getsockname()

    def start_with_management(self, *servers: socket.socket) -> None:
        self.start(*servers, mgmt=host_port(self.management_address))
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            try:
                if call_status(self.management_address, "GET", "/control/ready") == 200:
                    return
            except OSError:
                pass
            self.assertLess(time.monotonic(), give_up_at)
            self.assertIsNone(self.program.poll())
            time.sleep(0.02)

    def test_calls_are_answered_within_a_second_despite_silent_and_incomplete_ones(self) -> None:
        self.start_with_management(self.listener())
        idle_connections = [
            self.stack.enter_context(socket.create_connection(self.management_address, WAIT_TIMEOUT_S))
            for _ in range(40)
        ]
        for sock in idle_connections[::2]:
            sock.sendall(b"POST /control/serv")
        for method, path, status in (
            ("GET", "/control/ready", 200),
            ("POST", "/control/servers/nobody/offline", 404),
            ("DELETE", "/control/ready", 405),
            ("GET", "/elsewhere", 404),
        ):
            started_at = time.monotonic()
            self.assertEqual(call_status(self.management_address, method, path), status)
            self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertIn(b"408", idle_connections[-2].recv(200))  # an incomplete call times out with 408, the oldest first

    def test_an_excluded_server_gets_no_new_requests_until_it_is_readmitted(self) -> None:
        first, second = self.listener(), self.listener()
        self.start_with_management(first, second)
        self.assertEqual(call_status(self.management_address, "POST", "/control/servers/s0/offline"), 200)
        # Repeating the call succeeds too.
        self.assertEqual(call_status(self.management_address, "POST", "/control/servers/s0/offline"), 200)
        self.check_all_requests_reach(second, other_server=first)
        self.assertEqual(call_status(self.management_address, "POST", "/control/servers/s0/online"), 200)
        give_up_at, number = time.monotonic() + 5.0, 10  # readmitted with a slow start, and used again within 5 s
        with selectors.DefaultSelector() as selector:
            selector.register(first, selectors.EVENT_READ)
            selector.register(second, selectors.EVENT_READ)
            # Three requests at once put load on the servers: a single one goes to the server measured as fastest.
            while time.monotonic() < give_up_at:
                clients, accepted = [], []
                for _ in range(3):
                    number += 1
                    clients.append(self.client(build_request(number)))
                    chosen_listener = selector.select(WAIT_TIMEOUT_S)[0][0].fileobj
                    accepted.append((chosen_listener, self.accept(chosen_listener)))  # type: ignore[arg-type]
                for (_, at_server), client in zip(accepted, clients, strict=True):
                    read_message(at_server)
                    at_server.sendall(build_response(b"ok", "200 OK", "Connection: close"))
                    self.assertTrue(read_message(client).endswith(b"ok"))
                if any(chosen_listener is first for chosen_listener, _ in accepted):
                    return
        self.fail("a readmitted server got no request within 5 s")

    def test_an_exclusion_survives_a_restart_of_the_gateway(self) -> None:
        first, second = self.listener(), self.listener()
        self.start_with_management(first, second)
        self.assertEqual(call_status(self.management_address, "POST", "/control/servers/s0/offline"), 200)
        self.stop()
        self.start_with_management(first, second)  # the new process reads the file that the old one wrote under $TMPDIR
        self.check_all_requests_reach(second, other_server=first)

    def check_all_requests_reach(self, server: socket.socket, other_server: socket.socket) -> None:
        """Send a few requests and check that one server gets them all and the other none."""
        other_server.settimeout(0.3)
        for number in range(1, 5):
            client = self.client(build_request(number))
            at_server = self.accept(server)
            read_message(at_server)
            at_server.sendall(build_response(b"ok", "200 OK", "Connection: close"))
            self.assertTrue(read_message(client).endswith(b"ok"))
        with self.assertRaises(TimeoutError):
            other_server.accept()


def host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
