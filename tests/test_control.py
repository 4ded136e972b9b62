"""The management listener: its calls, the servers taken out, and their file across an upgrade."""

from __future__ import annotations

import os
import selectors
import socket
import tempfile
import time
import unittest
import unittest.mock

from petrelhall.boxes.fleet import Fleet
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


class Calls(unittest.TestCase):
    """What a call asks, read from its method and target alone."""

    def test_calls_are_read_and_what_is_none_is_told_how(self) -> None:
        self.assertEqual(read_call(b"GET", b"/control/ready"), Call(ready=True))
        self.assertEqual(read_call(b"POST", b"/control/servers/s%2D1/offline"), Call(server="s-1", out=True))
        self.assertEqual(read_call(b"POST", b"/control/servers/s1/online?x=1"), Call(server="s1"))
        self.assertIsInstance(read_call(b"GET", b"/control/servers/s1/online"), Wrong)
        self.assertEqual(getattr(read_call(b"GET", b"/control/servers/s1/online"), "status", None), 405)
        for target in (b"/control/servers//offline", b"/control/servers/a/b/offline", b"/control", b"/api"):
            self.assertEqual(getattr(read_call(b"POST", target), "status", None), 404, target)
        self.assertEqual(getattr(read_call(b"POST", b"/control/servers/a%20b/offline"), "status", None), 400)
        self.assertEqual(getattr(read_call(b"POST", b"/control/servers/%ff/offline"), "status", None), 400)


class Marks(unittest.TestCase):
    """The operators' word on servers, and how two processes' words meet."""

    def test_a_repeated_call_changes_nothing_and_the_later_word_wins(self) -> None:
        bans = Bans("n0")
        self.assertFalse(bans.say("s1", False, 10.0))  # back, though never out
        self.assertTrue(bans.say("s1", True, 10.0))
        self.assertFalse(bans.say("s1", True, 20.0))
        self.assertTrue(bans.holds("s1"))
        other = Bans("n0")
        other.merge(decode(bans.encode(), "n0"))
        self.assertTrue(other.say("s1", False, 30.0))
        self.assertTrue(bans.merge(decode(other.encode(), "n0")))
        self.assertFalse(bans.holds("s1"))
        self.assertEqual(bans.back_at("s1"), 30.0)
        self.assertFalse(bans.merge(decode(Bans("n0").encode(), "n0")))  # an empty file ends no ban

    def test_a_spoilt_or_foreign_file_is_refused(self) -> None:
        for data in (
            b"{",
            b"[]",
            b'{"form":2,"gateway":"n0","servers":{}}',
            b'{"form":1,"gateway":"n9","servers":{}}',
            b'{"form":1,"gateway":"n0","servers":{"s":[1]}}',
        ):
            with self.assertRaises(BansError, msg=data):
                decode(data, "n0")

    def test_a_server_taken_out_drains_whatever_discovery_says_and_comes_back_cold(self) -> None:
        fleet = Fleet(("a",))
        listing = {
            "version": 1,
            "full": True,
            "servers": [server_entry("s0", "127.0.0.1:9"), server_entry("s1", "127.0.0.1:8")],
        }
        fleet.take(listing)
        fleet.bans.say("s0", True, 1000.0)
        phases = {server.address: server.phase for server in fleet.take(listing).servers}
        self.assertEqual(phases, {"s0": "cordoned", "s1": "healthy"})
        self.assertNotIn("s0", fleet.healthy)
        fleet.bans.say("s0", False, 5000.0)
        back = {server.address: server for server in fleet.take(listing).servers}
        self.assertEqual((back["s0"].phase, back["s0"].since_ms, back["s1"].since_ms), ("healthy", 5000.0, 0.0))
        self.assertEqual(fleet.started["s0"], 5000.0)
        self.assertEqual(fleet.ever, {"s0", "s1"})


def call(where: tuple[str, int], method: str, path: str) -> int:
    """Make one management call and give its status."""
    with socket.create_connection(where, WAIT_TIMEOUT_S) as sock:
        sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: gw\r\nContent-Length: 0\r\n\r\n".encode())
        return int(read_message(sock).split(b" ", 2)[1])


class Listener(GatewayTestCase):
    """A gateway with its management listener, round scripted servers."""

    def setUp(self) -> None:
        super().setUp()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.stack.enter_context(unittest.mock.patch.dict(os.environ, {"TMPDIR": folder}))
        with open_listener() as free:
            self.mgmt = free.getsockname()

    def begin(self, *servers: socket.socket) -> None:
        self.start(*servers, mgmt=address_of(self.mgmt))
        until = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            try:
                if call(self.mgmt, "GET", "/control/ready") == 200:
                    return
            except OSError:
                pass
            self.assertLess(time.monotonic(), until)
            self.assertIsNone(self.program.poll())
            time.sleep(0.02)

    def test_calls_are_answered_within_a_second_though_many_say_nothing_or_half(self) -> None:
        self.begin(self.listener())
        silent = [self.stack.enter_context(socket.create_connection(self.mgmt, WAIT_TIMEOUT_S)) for _ in range(40)]
        for sock in silent[::2]:
            sock.sendall(b"POST /control/serv")
        for method, path, status in (
            ("GET", "/control/ready", 200),
            ("POST", "/control/servers/nobody/offline", 404),
            ("DELETE", "/control/ready", 405),
            ("GET", "/elsewhere", 404),
        ):
            began = time.monotonic()
            self.assertEqual(call(self.mgmt, method, path), status)
            self.assertLess(time.monotonic() - began, 1.0)
        self.assertIn(b"408", silent[-2].recv(200))  # half a call is told so in time, the oldest first

    def test_a_server_taken_out_gets_nothing_new_until_it_is_put_back(self) -> None:
        first, second = self.listener(), self.listener()
        self.begin(first, second)
        self.assertEqual(call(self.mgmt, "POST", "/control/servers/s0/offline"), 200)
        self.assertEqual(call(self.mgmt, "POST", "/control/servers/s0/offline"), 200)  # again: still yes
        self.all_to(second, instead_of=first)
        self.assertEqual(call(self.mgmt, "POST", "/control/servers/s0/online"), 200)
        until, number = time.monotonic() + 5.0, 10  # back cold, and used again within 5 s
        with selectors.DefaultSelector() as ready:
            ready.register(first, selectors.EVENT_READ)
            ready.register(second, selectors.EVENT_READ)
            while time.monotonic() < until:  # three at once: under load, not only the one measured quickest
                clients, held = [], []
                for _ in range(3):
                    number += 1
                    clients.append(self.client(build_request(number)))
                    chosen = ready.select(WAIT_TIMEOUT_S)[0][0].fileobj
                    held.append((chosen, self.accept(chosen)))  # type: ignore[arg-type]
                for (_, at_server), client in zip(held, clients, strict=True):
                    read_message(at_server)
                    at_server.sendall(build_response(b"ok", "200 OK", "Connection: close"))
                    self.assertTrue(read_message(client).endswith(b"ok"))
                if any(chosen is first for chosen, _ in held):
                    return
        self.fail("a server put back got nothing in 5 s")

    def test_a_ban_holds_for_the_next_process_of_the_gateway(self) -> None:
        first, second = self.listener(), self.listener()
        self.begin(first, second)
        self.assertEqual(call(self.mgmt, "POST", "/control/servers/s0/offline"), 200)
        self.stop()
        self.begin(first, second)  # the new process reads what the old one kept under $TMPDIR
        self.all_to(second, instead_of=first)

    def all_to(self, server: socket.socket, instead_of: socket.socket) -> None:
        """Have a few requests served, each by one server and none by the other."""
        instead_of.settimeout(0.3)
        for number in range(1, 5):
            client = self.client(build_request(number))
            at_server = self.accept(server)
            read_message(at_server)
            at_server.sendall(build_response(b"ok", "200 OK", "Connection: close"))
            self.assertTrue(read_message(client).endswith(b"ok"))
        with self.assertRaises(TimeoutError):
            instead_of.accept()


def address_of(where: tuple[str, int]) -> str:
    return f"{where[0]}:{where[1]}"
