"""One peer may take a limited share of each turn of the event loop, whatever it sends: real sockets, turn by turn."""

from __future__ import annotations

import contextlib
import json
import socket
import unittest
from typing import Any

from petrelhall.boxes.discovery import DiscoveryWatch
from petrelhall.gateway import client as client_module
from petrelhall.http import h1, reader
from petrelhall.net.stream import READ_CHUNK_BYTES
from tests.peers import build_request, build_response, format_address, open_listener, server_entry
from tests.test_moments import HEALTH_REQUEST, GatewayPartsTestCase

PIPELINED_REQUESTS = 60
SMALL_CHUNKS = 1000
EVENTS_PER_TURN = 16  # of one connection
MAX_HEADERS = 100
UNKNOWN_CLASS_REQUEST = build_request(kind="no-such-class")
UNKNOWN_PATH_REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"
CHUNKED_BODY = b"1\r\nx\r\n" * SMALL_CHUNKS + b"0\r\n\r\n"
CHUNKED_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKED_BODY


def build_post(*trailing: bytes, **headers: str) -> bytes:
    """Build a POST of the keyed class, followed by its body."""
    head = build_request(kind="change", Idempotency_Key="k", **headers)
    return head.replace(b"GET", b"POST", 1) + b"".join(trailing)


def add_header_lines(head: bytes, count: int) -> bytes:
    """Add short header lines to a complete head."""
    return head[:-2] + b"a:\r\n" * count + b"\r\n"


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
        self.patch(client_module, IDLE_TIMEOUT_MS=0.0, REQUEST_TIMEOUT_MS=0.0)
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


class SmallChunksTest(FairnessTestCase):
    """A body in very small chunks is parsed a few chunks at a time."""

    # Guards against: bodies in chunks of one byte, sent at full speed, hold up all usual clients for seconds.
    def test_a_request_body_in_small_chunks_waits_its_turn_and_arrives_whole(self) -> None:
        gateway_listener = self.start_gateway()
        flood = self.client(build_post(CHUNKED_BODY, Transfer_Encoding="chunked"))
        usual = self.client(HEALTH_REQUEST)
        turns = self.turns_until_received(usual, b"ready")
        most_received = max(client.http.body_received for client in gateway_listener.clients)
        self.assertLessEqual(most_received, EVENTS_PER_TURN * turns)
        server = self.accept()
        self.read(server, b"\r\n\r\n" + b"x" * SMALL_CHUNKS)
        server.sendall(build_response(b"ok"))
        self.read(flood, b"ok")

    def test_a_streamed_request_body_in_small_chunks_waits_its_turn(self) -> None:
        self.patch(h1, SMALL_BODY_BYTES=10)
        self.patch(h1, MAX_BUFFERED_BODY_BYTES=10)
        self.start_gateway()
        self.client(build_post(CHUNKED_BODY, Transfer_Encoding="chunked"))
        self.read(self.accept(), b"\r\n0\r\n\r\n")
        self.assertGreaterEqual(self.turns, SMALL_CHUNKS // EVENTS_PER_TURN)

    def check_answer(self, close: bool) -> None:
        """Have a server answer in small chunks: the client gets all of it, a few chunks in each turn."""
        self.start_gateway()
        client = self.client(build_request())
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        server.sendall(CHUNKED_ANSWER)
        if close:
            server.close()
        received = bytearray()
        turns = self.turns_until(lambda: self.receive(client, received).count(b"x") == SMALL_CHUNKS)
        self.assertGreaterEqual(turns, SMALL_CHUNKS // EVENTS_PER_TURN)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received[:100])

    # Guards against: a server's answer in very small chunks holds up all clients.
    def test_an_answer_in_small_chunks_waits_its_turn(self) -> None:
        self.check_answer(close=False)

    def test_an_answer_in_small_chunks_before_a_close_is_served_whole(self) -> None:
        self.check_answer(close=True)

    def test_a_streamed_answer_in_small_chunks_waits_its_turn(self) -> None:
        self.patch(h1, SMALL_BODY_BYTES=10)
        self.check_answer(close=False)

    def test_a_list_of_servers_in_small_chunks_waits_its_turn_and_is_applied(self) -> None:
        with open_listener() as discovery:
            watch = DiscoveryWatch(
                self.loop, discovery.getsockname(), self.registry, lambda update: None, self.counts, print
            )
            self.addCleanup(watch.task.steps.close)
            self.loop.turn()
            agent = self.stack.enter_context(discovery.accept()[0])
        agent.setblocking(False)
        self.read(agent, b"\r\n\r\n")
        entries = [server_entry(f"new-{n}", format_address(self.server)) for n in range(10)]
        listing = json.dumps({"version": 5, "full": True, "servers": entries}).encode()
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in listing)
        agent.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n")
        turns = self.turns_until(lambda: self.registry.version == 5)
        self.assertGreaterEqual(turns, len(listing) // EVENTS_PER_TURN)


class ManyLinesTest(FairnessTestCase):
    """Heads of many short lines are refused before they cost time and memory."""

    HEADERS = build_request().count(b"\r\n") - 2

    def setUp(self) -> None:
        super().setUp()
        self.start_gateway()

    def test_a_head_with_the_most_headers_is_served(self) -> None:
        client = self.client(add_header_lines(build_request(), MAX_HEADERS - self.HEADERS))
        server = self.accept()
        self.read(server, b"\r\n\r\n")
        server.sendall(add_header_lines(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", MAX_HEADERS - 1) + b"ok")
        self.assertTrue(self.read(client, b"ok").startswith(b"HTTP/1.1 200"))

    # Guards against: heads of thousands of short lines hold up all clients and take many times their size in memory.
    def test_a_head_with_more_headers_is_rejected(self) -> None:
        client = self.client(add_header_lines(build_request(), MAX_HEADERS - self.HEADERS + 1))
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 431"))

    def test_a_head_of_thousands_of_lines_is_rejected_before_it_is_complete(self) -> None:
        client = self.client(build_request()[:-2] + b"a:\r\n" * 3000)
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 431"))

    def test_thousands_of_trailers_are_rejected_before_they_are_complete(self) -> None:
        trailers = b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 3000
        client = self.client(build_post(trailers, Transfer_Encoding="chunked"))
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 431"))

    def test_an_answer_with_more_headers_is_not_served(self) -> None:
        client = self.client(build_post(b"12", Content_Length="2"))
        server = self.accept()
        self.read(server, b"\r\n\r\n12")
        server.sendall(add_header_lines(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", MAX_HEADERS) + b"ok")
        self.turn_until(lambda: self.counts.get("servers", "spoilt_answers"))
        self.assertEqual(self.receive(client, bytearray()).count(b"200 "), 0)


class ManyBlanksTest(FairnessTestCase):
    """Long runs of blanks are refused in heads and trailers, and pass in bodies."""

    BLANKS = b" \t" * 128  # the fewest in a row that are too many

    def setUp(self) -> None:
        super().setUp()
        self.start_gateway()

    def check_served(self, request: bytes, forwarded: bytes) -> None:
        """Check that a request reaches the server with this end, and that its client is answered."""
        client = self.client(request)
        server = self.accept()
        self.assertTrue(self.read(server, forwarded).endswith(forwarded))
        server.sendall(build_response(b"ok"))
        self.assertTrue(self.read(client, b"ok").startswith(b"HTTP/1.1 200"))

    def check_rejected(self, request: bytes) -> None:
        """Check that a request is answered 400."""
        client = self.client(request)
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.counts.get("taken", "requests"), 0)

    def test_fewer_blanks_in_a_header_are_served(self) -> None:
        self.check_served(build_request()[:-2] + b"a:" + self.BLANKS[1:] + b"x\r\n\r\n", b"\r\n\r\n")

    # Guards against: one head of 60 kB of blanks, and an illegal character, holds up all clients for many seconds.
    def test_a_run_of_blanks_in_a_header_is_rejected(self) -> None:
        self.check_rejected(build_request()[:-2] + b"a:" + self.BLANKS + b"x\r\n\r\n")

    def test_a_run_of_blanks_that_comes_in_two_pieces_is_rejected(self) -> None:
        client = self.client(build_request()[:-2] + b"a:" + self.BLANKS[1:])
        self.turn_until(lambda: self.counts.get("connections", "from_clients"))
        client.sendall(self.BLANKS[:2])
        self.assertTrue(self.read(client, b"\r\n\r\n").startswith(b"HTTP/1.1 400"))

    def test_a_run_of_blanks_in_trailers_is_rejected(self) -> None:
        trailers = b"1\r\nx\r\n0\r\na:" + self.BLANKS + b"x\r\n\r\n"
        self.check_rejected(build_post(trailers, Transfer_Encoding="chunked"))

    def test_blanks_and_lines_in_a_body_of_known_length_arrive_unchanged(self) -> None:
        body = self.BLANKS * 20 + b"\n" * 5000
        self.check_served(build_post(body, Content_Length=str(len(body))), b"\r\n\r\n" + body)

    def test_blanks_and_lines_in_a_chunked_body_arrive_unchanged(self) -> None:
        body = self.BLANKS * 20 + b"\n" * 5000
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        self.check_served(build_post(chunked, Transfer_Encoding="chunked"), b"\r\n\r\n" + body)

    def test_a_body_of_known_length_does_not_hide_the_next_head_from_the_limits(self) -> None:
        head = add_header_lines(build_request(), 3000)
        client = self.client(build_post(b"12", Content_Length="2") + head)
        server = self.accept()
        self.read(server, b"\r\n\r\n12")
        server.sendall(build_response(b"ok"))
        self.assertIn(b"HTTP/1.1 431", self.read(client, b"431"))


class PieceSizeTest(unittest.TestCase):
    """Input is handed to the parser in pieces of limited size, with few lines and no long run of blanks."""

    def test_pieces_end_at_the_limits(self) -> None:
        for incoming, size in (
            (b"x" * 100, 100),
            (b"x" * 2 * reader.PIECE_BYTES, reader.PIECE_BYTES),
            (b"ab\n" * reader.PIECE_LINES, 3 * reader.PIECE_LINES),
            (b"ab\n" * reader.PIECE_LINES + b"c\nd", 3 * reader.PIECE_LINES),
            (b"ab" + b"\t" * reader.MAX_BLANKS * 2, 2 + reader.MAX_BLANKS),
            (b"ab " * reader.MAX_BLANKS, 3 * reader.MAX_BLANKS),
        ):
            with self.subTest(incoming=incoming[:10], length=len(incoming)):
                self.assertEqual(reader.piece_size(bytearray(incoming)), size)


if __name__ == "__main__":
    unittest.main()
