"""Narrow moments on real sockets: two events are made to cross, and what must come out is looked at."""

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
from petrelhall.boxes.discovery import Watch, blind_ms
from petrelhall.boxes.fleet import Fleet
from petrelhall.decide.interface import Ending, Started
from petrelhall.decide.policy import Gateway
from petrelhall.decide.settings import read_settings
from petrelhall.gateway import front
from petrelhall.gateway.dispatch import Dispatcher
from petrelhall.gateway.front import Listener
from petrelhall.gateway.mgmt import MAX_MANAGEMENT_CONNECTIONS, Management
from petrelhall.gateway.platform import ForwardedRequest, Platform
from petrelhall.gateway.requests import RequestHandler
from petrelhall.http.h1 import Message
from petrelhall.http.room import Room
from petrelhall.links import reuse
from petrelhall.links.attempt import Reach
from petrelhall.links.plan import Plan
from petrelhall.links.pool import Pool
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

ASKED = ForwardedRequest(Message(b"GET", b"/api?client=0000000000000001", {}, b""), [(b"host", b"h")])
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"


def reset(sock: socket.socket) -> None:
    """Close with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Inside(unittest.TestCase):
    """A gateway's parts in this process, their loop turned by hand, so that a crossing can be made to happen."""

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.notes: list[str] = []
        self.loop, self.counts, self.fleet = Loop(self.notes.append), Counts(), Fleet(("a",))
        self.server = self.stack.enter_context(open_listener())
        self.server.setblocking(False)
        self.fleet.take({"version": 1, "full": True, "servers": [server_entry("s0", format_address(self.server))]})
        self.settings = read_settings(TEST_SETTINGS)
        self.platform = Platform(self.settings, ("view", "change"), ("plan",))
        self.plan = Plan(Links(), 10, 30000.0)
        self.pool = Pool(self.loop, self.fleet, self.platform, self.counts, self.plan, 5000.0)
        self.results: list[Any] = []

    def gateway(self, most: int = 20) -> Listener:
        """Put the whole together."""
        module = Gateway(self.settings, 1)
        dispatcher = Dispatcher(self.loop, module, self.counts, self.notes.append)
        self.request_handler = RequestHandler(self.loop, dispatcher.dispatch, self.pool, self.counts, 700.0)
        dispatcher.handle_request_action = self.request_handler.deliver
        dispatcher.dispatch(Started())
        dispatcher.dispatch(self.fleet.relabel())
        made = Listener(
            self.loop,
            ("127.0.0.1", 0),
            self.platform,
            self.request_handler,
            lambda: True,
            self.counts,
            self.notes.append,
            most,
            Room(64.0),
        )
        self.stack.callback(made.listener.close)
        self.stack.callback(lambda: [client.stream.close() for client in made.clients])
        self.where = made.listener.getsockname()
        return made

    def patch(self, module: Any, **values: Any) -> None:
        for name, value in values.items():
            self.stack.enter_context(unittest.mock.patch.object(module, name, value))

    def turn_until(self, done: Any) -> None:
        until = now_ms() + WAIT_TIMEOUT_S * 1000.0
        while not done():
            self.assertLess(now_ms(), until, f"nothing came of it: {self.counts} {self.notes}")
            self.loop.after(5.0, lambda: None)
            self.loop.turn()

    def client(self, *data: bytes) -> socket.socket:
        sock = self.stack.enter_context(socket.create_connection(self.where, WAIT_TIMEOUT_S))
        for piece in data:
            sock.sendall(piece)
        sock.setblocking(False)
        return sock

    def accept(self) -> socket.socket:
        """Take the connection that the server is sent."""
        taken: list[socket.socket] = []

        def come() -> bool:
            with contextlib.suppress(BlockingIOError):
                taken.append(self.stack.enter_context(self.server.accept()[0]))
            return bool(taken)

        self.turn_until(come)
        taken[0].setblocking(False)
        return taken[0]

    def read(self, sock: socket.socket, mark: bytes | None) -> bytes:
        """Read until something has come, or to the end (no mark)."""
        data = bytearray()

        def come() -> bool:
            with contextlib.suppress(BlockingIOError):
                while more := sock.recv(65536):
                    data.extend(more)
                    if mark is not None and mark in data:
                        return True
                return True
            return mark is not None and mark in data

        self.turn_until(come)
        return bytes(data)

    def attempt(self, until_ms: float = 5000.0, stopped: Any = lambda: False, **more: Any) -> Task:
        def steps() -> Any:
            self.results.append((yield from self.pool.attempt("s0", ASKED, now_ms() + until_ms, stopped, **more)))

        task = self.loop.spawn(steps())
        self.addCleanup(task.steps.close)
        return task


class Writing(Inside):
    """What was decided is checked once more at the moment of the write."""

    @contextlib.contextmanager
    def late(self) -> Any:
        """Have a connection come up only once this is left: until then the server's queue is full."""
        self.server.close()
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as server,
            socket.create_connection(server.getsockname()),
        ):
            self.server = server
            self.fleet.take({"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]})
            yield
            server.settimeout(WAIT_TIMEOUT_S)
            server.accept()[0].close()
            self.turn_until(lambda: self.results)
            for _ in range(4):
                self.loop.after(5.0, lambda: None)
                self.loop.turn()
            sock = self.stack.enter_context(server.accept()[0])  # it came up
            sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                self.assertEqual(sock.recv(100), b"")  # and was never written to
        self.assertEqual((self.results[0].ending, self.results[0].reach), (Ending.MOOT, Reach.UNWRITTEN))

    def test_a_repeat_whose_window_is_over_when_its_connection_comes_up_is_not_written(self) -> None:
        with self.late():
            write_by = now_ms() + 30.0
            self.attempt(write_by=write_by)
            self.turn_until(lambda: now_ms() > write_by)
        self.assertIn("too late", self.results[0].reason)

    def test_a_request_called_off_as_its_connection_comes_up_is_not_written(self) -> None:
        off: list[bool] = []
        with self.late():
            self.attempt(stopped=lambda: bool(off))
            self.turn_until(lambda: self.plan.opening)
            off.append(True)  # nobody wakes the attempt: only the connection's coming up will

    def test_a_request_without_time_left_before_its_connection_comes_up_never_ran(self) -> None:
        self.server.close()
        with (
            socket.create_server(("127.0.0.1", 0), backlog=0) as server,
            socket.create_connection(server.getsockname()),
        ):
            self.fleet.take({"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]})
            self.attempt(until_ms=60.0)
            self.turn_until(lambda: self.results)
        self.assertEqual((self.results[0].ending, self.results[0].reach), (Ending.MOOT, Reach.UNWRITTEN))

    def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_requests(self) -> None:
        self.patch(reuse, REST_MS=300.0)  # so that a slow machine is in time
        self.plan.settings = Links(wait_ms=2000.0)
        self.attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(build_response(b"one"))
        self.turn_until(lambda: self.results)
        self.attempt()  # in the same moment
        self.loop.turn()
        with self.assertRaises(BlockingIOError):  # its request is not written yet
            first.recv(100)
        first.sendall(build_response(b"one"))  # again, some milliseconds late
        second = self.accept()
        self.read(second, b"\r\n\r\n")
        second.sendall(build_response(b"two"))
        self.turn_until(lambda: len(self.results) == 2)
        self.assertEqual([result.reply.body for result in self.results], [b"one", b"two"])
        self.assertEqual(self.plan.counts["retired.spoilt"], 1)
        self.assertFalse(self.plan.boxes["s0"].deaths)  # no word on how long idle connections are kept

    def test_a_request_rests_no_longer_than_a_second_answer_may_be_late(self) -> None:
        self.attempt()
        first = self.accept()
        self.read(first, b"\r\n\r\n")
        first.sendall(build_response(b"one"))
        self.turn_until(lambda: self.results)
        begin = now_ms()
        self.attempt()
        self.read(first, b"\r\n\r\n")  # on the same connection
        self.assertLess(now_ms() - begin, 500.0)
        self.assertEqual(self.plan.counts["opened.needed"], 1)


class Leaving(Inside):
    """Clients that leave."""

    def test_a_close_that_crosses_a_long_turn_is_seen_before_the_attempt_is_written(self) -> None:
        self.gateway()
        client = self.client(build_request())
        original, crossed = self.pool.hindrance, []

        def crossing(*values: Any) -> Any:
            if not crossed:
                crossed.append(client.close())
                self.loop.looked_at -= 1000.0  # this turn has gone on for a second since the sockets were asked
            return original(*values)

        self.patch(self.pool, hindrance=crossing)
        server = self.accept()
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertEqual(self.counts.get("sent", "moot"), 1)
        with contextlib.suppress(BlockingIOError):
            self.assertEqual(server.recv(100), b"")

    def test_whoever_leaves_behind_a_flood_has_left(self) -> None:
        self.gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        flood = b"x" * 65536
        sent = 0

        def flooded() -> bool:  # more than is kept for a connection whose request is in hand
            nonlocal sent
            with contextlib.suppress(BlockingIOError):
                sent += client.send(flood)
            return sent > 4 * 98304

        self.turn_until(flooded)
        client.close()
        begin = now_ms()
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertLess(now_ms() - begin, 1000.0)  # not at its deadline, 6 s
        self.assertEqual(self.read(server, None), b"")

    def test_a_request_whose_client_closed_behind_it_is_not_begun(self) -> None:
        self.gateway()
        client = self.client(build_request())
        client.close()  # both lie in the kernel before the gateway looks
        self.turn_until(lambda: self.counts.get("connections", "from_clients"))
        for _ in range(5):
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.assertEqual(self.counts.get("taken", "requests"), 0)
        self.assertEqual(self.plan.open, 0)

    def test_a_client_that_left_before_it_was_accepted_into_a_full_house_is_not_served(self) -> None:
        # Taken in the very turn in which room is made, it is read before epoll was ever asked about it.
        for name, leave in (("closed", socket.socket.close), ("reset", reset)):
            with self.subTest(name):
                self.gateway(most=1)
                client = self.client(build_request())
                leave(client)
                self.turn_until(lambda: self.counts.get("connections", "made_room"))
                for _ in range(5):
                    self.loop.after(5.0, lambda: None)
                    self.loop.turn()
                self.assertEqual(self.counts.get("taken", "requests"), 0)
                self.assertEqual(self.plan.open, 0)

    def test_a_client_that_waits_is_answered_even_where_room_is_made_the_turn_it_is_accepted(self) -> None:
        self.gateway(most=1)
        client = self.client(HEALTH)
        self.assertTrue(self.read(client, b"ready\n").startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.counts.get("connections", "made_room"), 1)

    def test_a_client_that_left_before_the_last_connections_are_accepted_is_not_served(self) -> None:
        made = self.gateway()

        def end_crossed_by_a_client() -> None:  # after the turn's sockets: the listener holds one that nobody has seen
            self.client(build_request()).close()
            made.close_idle_connections()  # accepts it and looks at it in this turn

        self.loop.after(0.0, end_crossed_by_a_client)
        self.turn_until(lambda: self.counts.get("connections", "from_clients") and not made.clients)
        self.assertEqual(self.counts.get("connections", "from_clients"), 1)
        self.assertEqual(self.counts.get("taken", "requests"), 0)

    def told_left_ms(self) -> float:
        """Read the attempt that the server is sent, and give the time that it is told."""
        head = self.read(self.accept(), b"\r\n\r\n").lower()
        return float(head.partition(b"x-deadline: ")[2].partition(b"m")[0])

    def test_what_a_request_waited_for_in_a_long_turn_is_not_told_as_left(self) -> None:
        self.patch(net_loop, WAITED_MS=1000.0)  # a look that a slow machine is late with has not waited
        made = self.gateway()
        client = self.client(HEALTH)
        self.read(client, b"ready\n")
        client.sendall(build_request())
        (held,) = made.clients
        held.stream.registered_at -= 3000.0  # long known, and
        self.loop.looked_at -= 1500.0  # it came at any time of a turn of 1.5 s
        self.loop.turn()
        self.assertLessEqual(self.told_left_ms(), 4500.0)

    def test_what_comes_while_nothing_is_done_has_not_waited(self) -> None:
        far, near = socket.socketpair(socket.AF_UNIX)
        loop = Loop(self.notes.append)
        stream = Stream(loop, self.stack.enter_context(near), lambda: None)
        self.stack.enter_context(far)
        stream.registered_at -= 3000.0
        loop.looked_at -= 1500.0  # the turn before was long, but the look at its end finds nothing ready
        sender = threading.Timer(0.2, far.sendall, (b"x",))
        self.stack.callback(sender.join)
        began = now_ms()
        sender.start()
        loop.turn()
        self.assertEqual(stream.incoming, b"x")
        self.assertGreaterEqual(stream.came_since, began)

    def test_what_a_request_waited_for_in_the_listener_is_not_told_as_left(self) -> None:
        made = self.gateway(most=1)
        self.read(self.client(HEALTH), b"ready\n")
        self.turn_until(lambda: not made.accepting)
        self.client(build_request())
        made.queued_since -= 1500.0  # nothing was taken from the listener for so long
        self.assertLessEqual(self.told_left_ms(), 4500.0)

    def test_an_empty_listener_is_known_to_be_empty_where_a_full_house_found_room_again(self) -> None:
        made = self.gateway(most=1)
        self.read(self.client(HEALTH), b"ready\n")
        self.turn_until(lambda: self.counts.get("connections", "made_room") and made.accepting)
        made.queued_since -= 1500.0  # before the house was full
        for _ in range(3):  # the listener is watched and nothing is told of it
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.client(build_request())
        self.assertGreater(self.told_left_ms(), 5500.0)

    def test_the_module_forgets_an_attempt_decided_on_as_its_client_left(self) -> None:
        made = self.gateway()
        client = self.client(build_request())
        module = made.request_handler.tell.__self__.module
        give = made.request_handler.deliver

        def crossing(order: Any) -> None:
            client.close()
            for held in made.clients:
                held.stream.end(0)  # the close is seen between the decision and the attempt
            give(order)

        made.request_handler.tell.__self__.handle_request_action = crossing
        self.turn_until(lambda: self.counts.get("answered", "client_left"))
        self.assertEqual((module.in_flight, module.open, module.servers["s0"].open), ({}, 0.0, 0.0))
        self.assertAlmostEqual(module.customers["00000000b4d65521"].shared_bucket, 1000.0, places=0)


class Closing(Inside):
    """Ends of connections that cross what the other side sends."""

    def unharmed(self, client: socket.socket, until: bytes | None = None) -> bytes:
        """Read to the end, send into the closed connection, and see that it was not reset."""
        data = self.read(client, until)
        if until is not None:
            data += self.read(client, None)
        client.sendall(build_request(2))
        for _ in range(4):
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.assertEqual(client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), 0)
        return data

    def test_what_crosses_the_end_of_an_idle_connection_resets_nothing(self) -> None:
        self.patch(front, IDLE_TIMEOUT_MS=50.0, SWEEP_INTERVAL_MS=10.0)
        self.gateway()
        client = self.client(HEALTH)
        self.assertTrue(self.unharmed(client, b"ready\n").startswith(b"HTTP/1.1 200"))

    def test_what_crosses_a_408_does_not_reset_it_away(self) -> None:
        self.patch(front, FIRST_REQUEST_TIMEOUT_MS=50.0, SWEEP_INTERVAL_MS=10.0)
        self.gateway()
        self.assertTrue(self.unharmed(self.client(build_request()[:40])).startswith(b"HTTP/1.1 408"))

    def test_an_answer_to_what_broke_us_is_not_reset_away(self) -> None:
        self.gateway()
        self.patch(self.platform, parse_request=unittest.mock.Mock(side_effect=ZeroDivisionError))
        client = self.client(build_request() + b"x" * 20000)
        self.assertTrue(self.unharmed(client).startswith(b"HTTP/1.1 500"))

    def test_one_that_comes_to_a_full_house_ends_few_of_those_that_rest_and_nothing_spins(self) -> None:
        self.patch(front, CROWDED_LINGER_TIMEOUT_MS=300.0)
        self.gateway(most=31)
        for _ in range(30):
            self.read(self.client(HEALTH), b"ready\n")  # they rest, and do not close when they are told of the end
        turns, turn, begin = [], self.loop.turn, now_ms()
        self.patch(self.loop, turn=lambda: turns.append(turn()))
        for _ in range(2):
            self.read(self.client(HEALTH), b"ready\n")  # once one of those has ended
        self.assertLess(len(turns), 100.0 + (now_ms() - begin))
        self.assertLessEqual(
            self.counts.get("connections", "made_room"), front.EVICTION_BATCH + 2
        )  # the late two among them

    def test_where_many_wait_for_a_place_more_are_made_at_once_and_never_over_a_quarter(self) -> None:
        self.patch(front, CROWDED_LINGER_TIMEOUT_MS=200.0)
        made = self.gateway(most=80)
        for _ in range(79):
            self.read(self.client(HEALTH), b"ready\n")  # they rest, and do not close when they are told of the end
        late = [self.client(HEALTH) for _ in range(60)]
        most_ending = 0

        def all_answered() -> bool:
            nonlocal most_ending
            most_ending = max(most_ending, made.lingering)
            return self.counts.get("connections", "from_clients") == 139

        self.turn_until(all_answered)
        for client in late:
            self.read(client, b"ready\n")
        self.assertGreater(most_ending, front.EVICTION_BATCH)
        self.assertLessEqual(most_ending, 20)

    def test_an_answer_that_trickles_without_end_is_cut_off_in_time(self) -> None:
        self.patch(front, STREAM_TIMEOUT_MS=200.0, STREAM_MS_PER_BYTE=0.0)
        self.gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        server.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"11170\r\n" + b"x" * 70000 + b"\r\n")
        begin, ended = now_ms(), []

        def trickled() -> bool:
            with contextlib.suppress(OSError):
                server.send(b"1\r\nx\r\n")
            try:
                while client.recv(65536):
                    pass
                ended.append(b"orderly")
            except BlockingIOError:
                return False
            except ConnectionResetError:
                ended.append(b"reset")
            return True

        self.turn_until(trickled)
        self.assertEqual(ended, [b"reset"])
        self.assertLess(now_ms() - begin, 2000.0)


class Operators(Inside):
    """The operators' listener."""

    def management(self) -> Management:
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.patch(tempfile, tempdir=folder)
        made = Management(
            self.loop,
            ("127.0.0.1", 0),
            self.fleet,
            lambda: True,
            lambda news: None,
            self.counts,
            self.notes.append,
            "n0",
        )
        self.stack.callback(made.listener.close)
        self.stack.callback(lambda: [caller.stream.close() for caller in made.connections])
        self.where = made.listener.getsockname()
        return made

    def test_an_answer_to_a_caller_that_said_more_is_not_reset_away(self) -> None:
        made = self.management()
        caller = self.client(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n" + b"x" * 200000)
        self.turn_until(lambda: self.counts.get("control", "answered_200"))
        caller.setblocking(True)
        caller.sendall(b"x" * 10000)  # before it reads: a reset would take the answer from it
        caller.setblocking(False)
        self.assertTrue(self.read(caller, None).startswith(b"HTTP/1.1 200"))
        caller.close()
        self.turn_until(lambda: not made.connections)

    def test_answered_callers_that_stay_keep_no_place(self) -> None:
        self.management()
        for _ in range(2 * MAX_MANAGEMENT_CONNECTIONS):  # none of them closes
            self.assertTrue(self.read(self.client(HEALTH.replace(b"/healthz", b"/control/ready")), b"yes\n"))

    def test_no_descriptor_for_a_caller_does_not_spin(self) -> None:
        made = self.management()
        tries: list[int] = []

        def none_left() -> Any:
            tries.append(1)
            raise OSError(errno.EMFILE, "too many open files")

        listener = made.listener
        made.listener = unittest.mock.Mock(accept=none_left, fileno=listener.fileno)
        self.stack.callback(listener.close)
        caller = self.client(HEALTH.replace(b"/healthz", b"/control/ready"))
        until = now_ms() + 200.0
        self.turn_until(lambda: now_ms() > until)
        self.assertLessEqual(len(tries), 12)
        made.listener = listener
        self.assertTrue(self.read(caller, b"yes\n"))  # taken once there is one


class Listening(Inside):
    """Discovery that falls silent, and many that ask it."""

    def test_a_change_is_in_use_within_the_stated_time_of_a_line_gone_dead(self) -> None:
        self.assertLessEqual(blind_ms(), 6000.0)
        wait_over = discovery.LATE_MS + discovery.PAUSE_MS + discovery.CONNECT_MS + discovery.LATE_MS
        self.assertLessEqual(wait_over, 4000.0)  # 6 s from the silence on, or 2 s after a wait's end, the later
        agent = self.server  # the same listener plays discovery
        told: list[Any] = []
        none_left: list[OSError] = []
        connect = discovery.connect
        self.patch(discovery, connect=lambda *values: none_left.pop() if none_left else connect(*values))
        watch = Watch(self.loop, agent.getsockname(), self.fleet, told.append, self.counts, self.notes.append)
        self.addCleanup(watch.task.steps.close)
        line = self.accept()
        self.read(line, b"\r\n\r\n")
        line.sendall(build_response(json.dumps({"version": 2, "full": True, "servers": []}).encode()))
        self.read(line, b"after=2")
        begin = now_ms()  # and never a word again
        for answer in (b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{", build_response(b"", "503 Busy")):
            half = self.accept()
            self.read(half, b"after=2")
            none_left.append(OSError(errno.EMFILE, "too many open files"))  # and at once no descriptor to ask anew
            half.sendall(answer)
            if answer.endswith(b"{"):
                reset(half)
        fresh = self.accept()
        self.read(fresh, b"after=2")
        listing = {"version": 3, "full": False, "servers": [server_entry("s9", "127.0.0.1:9")]}
        fresh.sendall(build_response(json.dumps(listing, indent=2).encode()))
        self.turn_until(lambda: "s9" in self.fleet.addresses)
        self.assertLess(now_ms() - begin, blind_ms())

    def test_gateways_that_lost_discovery_at_one_moment_do_not_ask_in_step(self) -> None:
        watches = [
            Watch(self.loop, ("127.0.0.1", 9), self.fleet, lambda news: None, self.counts, self.notes.append)
            for _ in range(50)
        ]
        for watch in watches:
            self.addCleanup(watch.task.steps.close)
        waits = [watch.some(discovery.WAIT_MS) for watch in watches]
        self.assertGreater(max(waits) - min(waits), 100.0)
        self.assertTrue(all(700.0 <= wait <= 1000.0 for wait in waits), waits)


class Whole(GatewayTestCase):
    """The program itself."""

    def test_an_answer_without_a_length_ends_by_an_orderly_close_only(self) -> None:
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
        reset(at_server)
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 429"))
        self.assertIn("sent.ok=1 sent.reset=1", self.stop())

    def test_a_large_answer_that_is_reset_is_not_whole_to_any_client(self) -> None:
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
                    more = client.recv(65536)
                    self.assertTrue(more, data[:200])
                    data += more
                reset(at_server)
                with self.assertRaises(ConnectionResetError):
                    while more := client.recv(65536):
                        data += more
                self.assertFalse(data.endswith(b"0\r\n\r\n"))

    def test_a_request_with_longer_to_live_than_the_process_is_answered_before_the_kill(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(build_request(deadline="6000m"))
        at_server = self.accept(server)
        read_message(at_server)  # and the server hangs
        self.program.send_signal(signal.SIGTERM)
        begin = time.monotonic()
        self.program.send_signal(signal.SIGTERM)  # twice
        answer = read_message(client)
        self.assertLess(time.monotonic() - begin, 3.7)  # the kill comes 3 s and 0.7 s after the word
        self.assertRegex(answer, rb"^HTTP/1.1 (429|502)")
        self.assertEqual(at_server.recv(100), b"")
        _, errors = self.program.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(self.program.returncode, 0, errors)
        self.assertIn("answered.cut_off_at_the_end=1", errors)

    def test_idle_clients_that_take_every_descriptor_leave_discovery_and_servers_theirs(self) -> None:
        with open_listener() as free:
            where = free.getsockname()
        server = self.listener()
        self.start(sockets=100, discovery=f"{where[0]}:{where[1]}", known=None)  # discovery is down
        crowd = [self.client(HEALTH) for _ in range(150)]
        agent = self.stack.enter_context(socket.create_server(where, backlog=64))
        agent.settimeout(WAIT_TIMEOUT_S)
        line = self.accept(agent)
        read_message(line)
        listing = {"version": 2, "full": True, "servers": [server_entry("s0", format_address(server))]}
        line.sendall(build_response(json.dumps(listing).encode()))
        self.assertIn(b"after=2", read_message(line))
        client = self.client(build_request())
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"served"))
        self.assertTrue(read_message(client).endswith(b"served"))
        for sock in crowd:
            sock.close()
        self.assertNotIn("no_descriptor", self.stop())


if __name__ == "__main__":
    unittest.main()
