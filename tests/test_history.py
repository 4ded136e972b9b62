"""Tests of requests that come again with the same id, on another connection or at another process of the gateway."""

from __future__ import annotations

import copy
import math
import os
import signal
import socket
import tempfile
import time
import unittest
import unittest.mock

from petrelhall.decide import interface as api
from petrelhall.decide.interface import server_number
from petrelhall.decide.policy import Gateway
from petrelhall.gateway import history
from petrelhall.gateway.history import RequestHistory, RequestRecord, fingerprint_of
from tests.peers import TEST_SETTINGS, WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, read_message

WINDOW_MS = 700.0
DEAD_PROCESS = 1 << 22  # above the largest process id of Linux


class RequestHistoryTest(unittest.TestCase):
    """The records, shared by several processes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.enterContext(unittest.mock.patch.object(tempfile, "gettempdir", lambda: self.folder))
        self.log_lines: list[str] = []

    def open(self, process: int = 0) -> RequestHistory:
        """Open the records as a process of the gateway."""
        records = RequestHistory("n0", self.log_lines.append)
        self.addCleanup(os.close, records.file)
        records.process = process or records.process
        return records

    def run_request(self, records: RequestHistory, request_id: bytes, ran: bool, at: float = 1000.0) -> RequestRecord:
        record = RequestRecord(records, request_id)
        record.begin_attempt(at, "s1")
        record.end_attempt(at, "s1", ran)
        record.close()
        return record

    def test_a_request_that_may_have_run_is_found_by_every_process(self) -> None:
        self.run_request(self.open(), b"id", True)
        found = self.open().find(fingerprint_of(b"id"))
        assert found is not None
        self.assertEqual((found.ran_at, found.server, found.in_flight), (1000.0, server_number("s1"), False))

    def test_a_request_that_never_ran_is_forgotten(self) -> None:
        self.run_request(self.open(), b"id", False)
        self.assertIsNone(self.open().find(fingerprint_of(b"id")))

    def test_a_repeat_keeps_the_time_of_the_first_run(self) -> None:
        records = self.open()
        self.run_request(records, b"id", True, 1000.0)
        self.run_request(records, b"id", True, 2000.0)
        found = records.find(fingerprint_of(b"id"))
        assert found is not None
        self.assertEqual(found.ran_at, 1000.0)

    def test_a_request_in_flight_is_known_as_such_as_long_as_its_process_lives(self) -> None:
        for process, in_flight in ((os.getppid(), True), (DEAD_PROCESS, False)):
            RequestRecord(self.open(process), b"id%d" % process).begin_attempt(1000.0, "s1")
            found = self.open().find(fingerprint_of(b"id%d" % process))
            assert found is not None
            self.assertEqual((found.in_flight, found.ran_at), (in_flight, 1000.0))

    def test_the_oldest_ended_request_of_a_bucket_is_replaced(self) -> None:
        self.enterContext(unittest.mock.patch.object(history, "BUCKETS", 1))
        records = self.open()
        RequestRecord(records, b"in flight").begin_attempt(1.0, "s1")
        for number in range(10):
            self.run_request(records, b"%d" % number, True, 1000.0 + number)
        kept = [
            request_id
            for request_id in (b"in flight", b"6", b"7", b"8", b"9")
            if records.find(fingerprint_of(request_id))
        ]
        self.assertEqual(kept, [b"in flight", b"7", b"8", b"9"])

    def test_without_a_folder_to_write_in_ids_are_remembered_by_this_process_alone(self) -> None:
        self.folder = os.path.join(self.folder, "none")
        records = self.open()
        self.run_request(records, b"id", True)
        self.assertIsNotNone(records.find(fingerprint_of(b"id")))
        self.assertIn("not shared", self.log_lines[0])


class RepeatedIdTest(unittest.TestCase):
    """The decision on a request whose id came before and may have run."""

    def decide(self, effect: api.Effect, group: str, age_ms: float, zone: int) -> type[api.Action]:
        """Return the type of the decision; the request ran in zone 0, and the only other server is in ``zone``."""
        kind = api.RequestClass(effect, 500.0, 1500.0, late_worth=0.2, group=group, window_ms=WINDOW_MS)
        gateway = Gateway(api.Settings((kind,), (api.Plan(100.0, 100.0),), max_attempts=5), 1)
        gateway.handle(100000.0, api.Started())
        servers = (api.Server("old", 0, 0, "cordoned", 1.0, 0.0), api.Server("s1", zone, 0, "healthy", 1.0, 0.0))
        gateway.handle(100000.0, api.ServerList("full", servers))
        ran_at = 200000.0 - age_ms
        arrival = api.Arrival(1, 0, 0, "c", 1500.0, 1.0, 1, False, (), 0, ran_at, server_number("old"))
        actions = gateway.handle(200000.0, arrival)
        decision = next(action for action in actions if isinstance(action, api.Send | api.Refuse | api.Fail))
        if isinstance(decision, api.Send) and ran_at < math.inf:
            self.assertLess(decision.write_by, ran_at + WINDOW_MS)
        return type(decision)

    def test_it_is_sent_only_within_its_window_and_group(self) -> None:
        keyed, once = api.Effect.KEYED, api.Effect.ONCE
        for effect, group, age_ms, zone, expected in (
            (keyed, "all", 0.3 * WINDOW_MS, 1, api.Send),
            (keyed, "all", 1.1 * WINDOW_MS, 1, api.Refuse),
            (keyed, "zone", 0.3 * WINDOW_MS, 0, api.Send),
            (keyed, "zone", 0.3 * WINDOW_MS, 1, api.Fail),
            (once, "all", 0.3 * WINDOW_MS, 0, api.Fail),
        ):
            with self.subTest(effect=effect, group=group, age_ms=age_ms, zone=zone):
                self.assertIs(self.decide(effect, group, age_ms, zone), expected)


class RepeatedIdProcessTest(GatewayTestCase):
    """A keyed request whose client leaves, and whose id comes again."""

    def start_keyed(self) -> socket.socket:
        """Start a gateway with a short window, and return its server."""
        settings = copy.deepcopy(TEST_SETTINGS)
        for kind in settings["Grades"]:
            kind["WindowMs"] = WINDOW_MS
        server = self.listener()
        self.start(server, settings=settings)
        return server

    def keyed_request(self) -> bytes:
        return build_request(7, "change", Idempotency_Key="k7", Content_Length="0").replace(b"GET", b"POST", 1)

    def send_and_leave(self, server: socket.socket) -> socket.socket:
        """Send the request, wait until it has begun to run, and close the client's connection."""
        client = self.client(self.keyed_request())
        at_server = self.accept(server)
        read_message(at_server)
        client.close()
        self.assertEqual(at_server.recv(1), b"")  # the gateway has given the attempt up
        return at_server

    def assert_refused(self, server: socket.socket, client: socket.socket) -> None:
        """Check that the request is refused and was not sent."""
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 429"))
        server.setblocking(False)
        with self.assertRaises(BlockingIOError):
            read_message(self.accept(server))

    # Guards against: a keyed id that comes again after its window, when its client has left, runs twice (issue 53, d).
    def test_an_id_that_comes_again_after_its_window_is_refused(self) -> None:
        server = self.start_keyed()
        self.send_and_leave(server)
        time.sleep(1.5 * WINDOW_MS / 1000.0)
        self.assert_refused(server, self.client(self.keyed_request()))

    def test_an_id_that_comes_again_within_its_window_is_sent_again(self) -> None:
        server = self.start_keyed()
        self.send_and_leave(server)
        client = self.client(self.keyed_request())
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"done before"))
        self.assertTrue(read_message(client).endswith(b"done before"))

    def test_an_id_that_was_refused_without_running_is_sent_when_it_comes_again(self) -> None:
        server = self.start_keyed()
        client = self.client(self.keyed_request())
        at_server = self.accept(server)
        read_message(at_server)
        at_server.sendall(build_response(b"", "503 Full", "X-Not-Run: 1"))
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 429"))
        time.sleep(1.5 * WINDOW_MS / 1000.0)
        client.sendall(self.keyed_request())
        at_server = self.accept(server)  # a connection that has been idle may be dead: not used for a keyed request
        read_message(at_server)
        at_server.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    # Guards against: an id that ran at the old process of an upgrade runs again at the new one (issue 53, d).
    def test_an_id_that_ran_at_the_process_before_an_upgrade_is_refused_after_its_window(self) -> None:
        server = self.start_keyed()
        self.send_and_leave(server)
        first, self.program = self.program, self.start_process()
        self.stack.callback(self.kill_gateway)
        _, log_output = first.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertIn("a newer process of this gateway is ready", log_output)
        time.sleep(1.5 * WINDOW_MS / 1000.0)
        self.assert_refused(server, self.client(self.keyed_request()))

    def test_an_id_that_ran_in_a_process_that_was_killed_is_refused_after_its_window(self) -> None:
        server = self.start_keyed()
        self.client(self.keyed_request())
        read_message(self.accept(server))
        self.program.send_signal(signal.SIGKILL)
        self.program.communicate(timeout=WAIT_TIMEOUT_S)
        time.sleep(1.5 * WINDOW_MS / 1000.0)
        self.program = self.start_process()
        self.stack.callback(self.kill_gateway)
        self.assert_refused(server, self.client(self.keyed_request()))


if __name__ == "__main__":
    unittest.main()
