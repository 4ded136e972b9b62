"""One peer may take a limited share of each turn of the event loop, whatever it sends: real sockets, turn by turn."""

from __future__ import annotations

import contextlib
import socket
import unittest
from typing import Any

from petrelhall.gateway import front
from petrelhall.net.stream import READ_CHUNK_BYTES
from tests.peers import build_request
from tests.test_moments import HEALTH_REQUEST, GatewayPartsTestCase

PIPELINED_REQUESTS = 60
UNKNOWN_CLASS_REQUEST = build_request(kind="no-such-class")
UNKNOWN_PATH_REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


class FairnessTestCase(GatewayPartsTestCase):
    """Counts the turns of the loop that something takes."""

    turns = 0  # so far

    def turn_until(self, done: Any) -> None:
        def count_and_check() -> bool:
            reached = bool(done())
            self.turns += not reached
            return reached

        super().turn_until(count_and_check)

    def turns_until(self, done: Any) -> int:
        """Run the loop until the condition holds; return the number of turns."""
        turns_before = self.turns
        self.turn_until(done)
        return self.turns - turns_before

    def receive(self, sock: socket.socket, received: bytearray) -> bytearray:
        """Add what has arrived on a socket."""
        with contextlib.suppress(BlockingIOError):
            while data := sock.recv(65536):
                received += data
        return received

    def turns_until_received(self, sock: socket.socket, expected: bytes) -> int:
        """Run the loop until a socket has received these bytes; return the number of turns."""
        received = bytearray()
        return self.turns_until(lambda: expected in self.receive(sock, received))


class PipelinedRequestsTest(FairnessTestCase):
    """A client that sends many requests at once waits its turn for each of them."""

    def check_flood(self, request: bytes, status: bytes) -> None:
        """Send a flood and then one request on another connection, which must not wait for all of the flood."""
        flood, usual = self.client(request * PIPELINED_REQUESTS), self.client(HEALTH_REQUEST)
        turns = self.turns_until_received(usual, b"ready")
        answers = self.receive(flood, bytearray())
        self.assertLessEqual(answers.count(b"HTTP/1.1 "), turns)
        self.turn_until(lambda: self.receive(flood, answers).count(b"HTTP/1.1 ") == PIPELINED_REQUESTS)
        self.assertEqual(answers.count(b"HTTP/1.1 " + status), PIPELINED_REQUESTS)

    # Guards against: hundreds of bad requests at once hold up all usual clients for seconds (review/2).
    def test_a_flood_of_unknown_classes_is_answered_one_a_turn(self) -> None:
        self.start_gateway()
        self.check_flood(UNKNOWN_CLASS_REQUEST, b"400")

    def test_a_flood_of_unknown_paths_is_answered_one_a_turn(self) -> None:
        self.start_gateway()
        self.check_flood(UNKNOWN_PATH_REQUEST, b"404")

    def test_a_flood_of_health_checks_is_answered_one_a_turn(self) -> None:
        self.start_gateway()
        self.check_flood(HEALTH_REQUEST, b"200")

    def test_a_flood_of_refused_requests_is_answered_one_a_turn(self) -> None:
        self.registry.apply({"version": 2, "full": True, "servers": []})
        self.start_gateway()
        self.check_flood(build_request(), b"429")

    def test_requests_that_wait_for_their_turn_do_not_run_out_of_time(self) -> None:
        self.patch(front, IDLE_TIMEOUT_MS=0.0, REQUEST_TIMEOUT_MS=0.0)
        self.start_gateway()
        flood = self.client(HEALTH_REQUEST * PIPELINED_REQUESTS)
        answers = bytearray()
        self.turn_until(lambda: self.receive(flood, answers).count(b"200 ") == PIPELINED_REQUESTS)

    def test_a_flood_beyond_the_read_buffer_waits_in_the_kernel_and_is_answered_whole(self) -> None:
        gateway_listener = self.start_gateway()
        count = 2 * READ_CHUNK_BYTES // len(UNKNOWN_CLASS_REQUEST)
        flood = self.client(UNKNOWN_CLASS_REQUEST * count)
        answers, most_unread = bytearray(), 0

        def all_answered() -> bool:
            nonlocal most_unread
            most_unread = max([most_unread, *(len(client.stream.incoming) for client in gateway_listener.clients)])
            return self.receive(flood, answers).count(b"HTTP/1.1 400") == count

        self.turn_until(all_answered)
        self.assertLessEqual(most_unread, READ_CHUNK_BYTES + 1)

    def test_a_newcomer_at_the_limit_ends_a_flood_with_an_orderly_last_answer(self) -> None:
        self.start_gateway(1)
        flood = self.client(HEALTH_REQUEST * 2000)
        answers = bytearray()
        self.turn_until(lambda: self.receive(flood, answers))
        newcomer = self.client(HEALTH_REQUEST)
        self.read(newcomer, b"ready")
        self.receive(flood, answers)
        self.assertEqual(answers.count(b"HTTP/1.1 200"), answers.count(b"HTTP/1.1 "))
        self.assertEqual(answers.count(b"Connection: close"), 1)
        self.assertTrue(answers.endswith(b"ready\n"))


if __name__ == "__main__":
    unittest.main()
