"""Tests of when an answer or a body is passed on while it comes, and of when its time is up."""

from __future__ import annotations

import contextlib
import socket
import unittest

from petrelhall.links import pool
from petrelhall.links.upload import KERNEL_BUFFERED_BYTES, UploadClock
from petrelhall.net.loop import now_ms
from tests.peers import build_request, build_response
from tests.test_bodies import chunk, post_head
from tests.test_moments import GatewayPartsTestCase, close_with_reset

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_BODY_BYTES = 8 << 20


class StalledUploadsTest(GatewayPartsTestCase):
    """Clients that stop half way through large bodies."""

    # Guards against: stalled bodies hold all places at the servers, and usual requests are refused (issue 53, a).
    def test_a_usual_request_is_served_while_large_bodies_stall(self) -> None:
        self.start_gateway(max_connections=40)
        for number in range(1, 21):
            self.client(post_head(LARGE_BODY_BYTES, number), b"x" * 1000)
        self.turn_until(lambda: self.counts.get("taken", "requests") == 20)
        usual = self.client(build_request(100))
        head = b""
        while not head.startswith(b"GET"):
            server = self.accept()
            head = self.read(server, b"\r\n\r\n")
        server.sendall(build_response(b"usual"))
        self.assertTrue(self.read(usual, b"usual").startswith(b"HTTP/1.1 200"))
        self.assertGreater(self.counts.get("refused", "uploads_0"), 0)


class UnknownLengthTest(GatewayPartsTestCase):
    """Answers that do not state their length and come slowly."""

    def ask(self, deadline: str) -> tuple[socket.socket, socket.socket]:
        """Send a request; returns the client's and the server's connection."""
        self.start_gateway()
        client = self.client(build_request(deadline=deadline))
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        return client, server

    # Guards against: a large chunked answer that comes slowly is cut off at the deadline and answered 429 (issue 53).
    def test_a_slow_chunked_answer_begins_in_time_and_is_passed_on_past_the_deadline(self) -> None:
        client, server = self.ask("600m")
        started_at = now_ms()
        server.sendall(CHUNKED_HEAD + chunk(b"first"))
        self.assertTrue(self.read(client, b"first").startswith(b"HTTP/1.1 200"))
        self.assertLess(now_ms() - started_at, 600.0)
        self.turn_until(lambda: now_ms() - started_at > 800.0)
        server.sendall(chunk(b"last") + chunk(b""))
        self.assertIn(b"last", self.read(client, b"0\r\n\r\n"))

    # Guards against: an answer whose body comes late is cut off, since only its head was there (issue 53, late-body).
    def test_an_answer_of_unknown_length_begins_with_its_head(self) -> None:
        client, server = self.ask("400m")
        started_at = now_ms()
        server.sendall(CHUNKED_HEAD)
        self.read(client, b"\r\n\r\n")
        self.turn_until(lambda: now_ms() - started_at > 600.0)
        server.sendall(chunk(b"late") + chunk(b""))
        self.assertIn(b"late", self.read(client, b"0\r\n\r\n"))

    def test_a_chunked_answer_that_breaks_soon_is_tried_again(self) -> None:
        self.patch(pool, MAX_HOLD_MS=400.0)
        client, server = self.ask("6000m")
        server.sendall(CHUNKED_HEAD + chunk(b"half"))
        self.loop.turn()
        close_with_reset(server)
        self.read(client, b"HTTP/1.1 429")  # there is no second server

    def test_a_slow_chunked_error_is_not_passed_on(self) -> None:
        client, server = self.ask("500m")
        server.sendall(CHUNKED_HEAD.replace(b"200 OK", b"500 Oh") + chunk(b"wrong"))
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 429"))


class StoppedServerTest(GatewayPartsTestCase):
    """Servers that stop reading a large body, which the client has written within a moment."""

    def check_answer_in_time(self, request: bytes) -> None:
        """Send a request to a server that does not read, and check that the final answer comes in time."""
        self.start_gateway()
        client = self.client()
        started_at, unsent = now_ms(), memoryview(request)
        self.accept_quietly()
        answer = bytearray()

        def send_and_read() -> bool:
            nonlocal unsent
            with contextlib.suppress(OSError):
                while unsent:
                    unsent = unsent[client.send(unsent[:262144]) :]
            with contextlib.suppress(BlockingIOError):
                answer.extend(client.recv(4096))
            return b"\r\n\r\n" in answer

        self.turn_until(send_and_read)
        self.assertTrue(answer.startswith(b"HTTP/1.1 429"), answer)
        self.assertLess(now_ms() - started_at, 1500.0 + 50.0)

    def accept_quietly(self) -> None:
        """Take the gateway's connection at the server once it comes, and never read from it."""

        def accept(mask: int) -> None:
            self.loop.unregister(self.server.fileno())
            self.stack.enter_context(self.server.accept()[0])

        self.loop.register(self.server.fileno(), 1, accept)

    # Guards against: a server stops reading a large body, and the final answer comes seconds late (issue 53, stuck).
    def test_a_body_with_a_length_that_the_server_stops_reading_is_answered_in_time(self) -> None:
        self.check_answer_in_time(post_head(LARGE_BODY_BYTES, deadline="1500m") + b"x" * LARGE_BODY_BYTES)

    def test_a_chunked_body_that_the_server_stops_reading_is_answered_in_time(self) -> None:
        body = chunk(b"x" * 65536) * (LARGE_BODY_BYTES // 65536) + chunk(b"")
        self.check_answer_in_time(post_head(None, deadline="1500m") + body)


class UploadClockTest(unittest.TestCase):
    """The earliest time at which a client can have written the last byte."""

    def test_it_counts_from_when_all_that_was_written_had_been_passed_on(self) -> None:
        clock = UploadClock(1000.0)
        clock.on_passed_on(1100.0, 50000)
        self.assertEqual(clock.written_at, 1000.0)  # the rest may have been written at once, and wait in a kernel
        clock.on_drained(1200.0)
        self.assertEqual(clock.written_at, 1200.0)

    def test_more_than_the_kernels_hold_was_not_written_at_once(self) -> None:
        clock = UploadClock(0.0)
        step, now = 1 << 20, 0.0
        for now in range(100, 4100, 100):
            clock.on_passed_on(float(now), step)
        behind_ms = 100.0 * KERNEL_BUFFERED_BYTES / step
        self.assertEqual(clock.written_at, now - behind_ms)


if __name__ == "__main__":
    unittest.main()
