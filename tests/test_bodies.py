"""Tests of request bodies over 64 KiB: buffered within the memory budget, streamed to the server beyond it."""

from __future__ import annotations

import contextlib
import re
import socket
import struct
import time
import unittest
from typing import Any

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.requests import Request, RequestHandler
from petrelhall.links.attempt import AttemptProgress, AttemptResult
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import Stream
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, read_message

LINGER_RESET = struct.pack("ii", 1, 0)


def post_head(length: int | None, number: int = 1, **headers: str) -> bytes:
    """Build the head of a POST with an idempotency key, for a body of the given length or (None) a chunked one."""
    framing = {"Transfer_Encoding": "chunked"} if length is None else {"Content_Length": str(length)}
    return build_request(number, "change", Idempotency_Key=f"k{number}", **framing, **headers).replace(
        b"GET", b"POST", 1
    )


def chunk(data: bytes) -> bytes:
    """Encode the data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class StreamResetTest(unittest.TestCase):
    """A stream whose peer resets the connection while its read buffer is full."""

    def test_reset_with_a_full_buffer_ends_the_stream_and_not_the_loop(self) -> None:
        loop = Loop(print)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            sock = listener.accept()[0]
        sock.setblocking(False)
        stream = Stream(loop, sock, lambda: None)
        stream.max_unread = 1000
        peer.sendall(b"x" * 50000)
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while len(stream.incoming) <= stream.max_unread and time.monotonic() < deadline:
            loop.turn()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        peer.close()
        while not stream.ended and time.monotonic() < deadline:
            loop.after(5.0, lambda: None)
            loop.turn()
        self.assertTrue(stream.ended)


class LargeBodyTest(GatewayTestCase):
    """Large bodies reach a server unchanged and are streamed at most once."""

    def read_request(self, sock: socket.socket) -> tuple[bytes, bytes]:
        """Read one complete request; returns its head and its body with any chunked framing removed."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(65536)
        head, _, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
        while (len(body) < int(length[1])) if length else not body.endswith(b"\r\n0\r\n\r\n"):
            more = sock.recv(65536)
            if not more:
                break
            body += more
        if length:
            return head, body
        decoded = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            decoded, body = decoded + body[: int(size, 16)], body[int(size, 16) + 2 :]
        return head, decoded

    def test_three_megabyte_body_is_streamed_unchanged_with_its_length(self) -> None:
        server = self.listener()
        self.start(server)
        body = bytes(range(256)) * 12000
        client = self.client(post_head(len(body)))
        with self.run_alongside(lambda: client.sendall(body)):
            server_connection = self.accept(server)
            head, received = self.read_request(server_connection)
        self.assertEqual(received, body)
        self.assertIn(b"content-length: %d" % len(body), head.lower())
        server_connection.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))
        client.sendall(build_request(2))  # the connection is still usable
        read_message(server_connection)
        server_connection.sendall(build_response(b"next"))
        self.assertTrue(read_message(client).endswith(b"next"))
        self.assertIn("answered.bodies_passed_on=1", self.stop())

    def test_request_deadline_counts_from_the_last_byte_of_the_body(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post_head(2 << 20, deadline="1000m"))
        with self.run_alongside(lambda: [(client.sendall(b"x" * (1 << 18)), time.sleep(0.2)) for _ in range(8)]):
            server_connection = self.accept(server)
            self.read_request(server_connection)
        server_connection.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def test_buffered_body_releases_its_memory_budget_with_the_answer(self) -> None:
        server = self.listener()
        self.start(server, limits={"sockets": 1024, "memory_mb": 32})  # the memory budget holds one body of 150 kB
        first = self.client(post_head(150000), b"x" * 150000)
        server_connection = self.accept(server)
        for client in (first, self.client()):  # the first connection stays open, idle
            if client is not first:
                client.sendall(post_head(150000, 2) + b"x" * 150000)
            self.read_request(server_connection)
            server_connection.sendall(build_response(b"done"))
            self.assertTrue(read_message(client).endswith(b"done"))
        self.assertNotIn("bodies_passed_on", self.stop())

    def test_slow_upload_does_not_count_as_server_latency(self) -> None:
        loop, events = Loop(print), list[Any]()

        class SlowServers:
            def attempt(self, *args: Any) -> Steps[AttemptResult]:
                yield from loop.sleep(150.0)
                return AttemptResult(Ending.OK, AttemptProgress.ANSWERED, body_sent_at=now_ms() - 5.0)

        class ConnectedClient:
            gone = False

        def record_event(event: api.Event) -> None:
            events.append(event)
            if isinstance(event, api.Arrival):
                loop.after(0.0, lambda: request_handler.deliver(api.Send(event.request, "s0")))

        request_handler = RequestHandler(loop, record_event, SlowServers(), Counts(), 0.0)
        loop.spawn(request_handler.serve(Request(0, 0, "a", 5000.0, 1.0, 1, False, None), ConnectedClient()))
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while len(events) < 2 and time.monotonic() < deadline:
            loop.turn()
        self.assertLess(events[1].latency_ms, 100.0)

    def test_chunked_body_with_a_trailer_is_accepted_and_expect_100_is_answered(self) -> None:
        server = self.listener()
        self.start(server)
        body = b"c" * (2 << 20)
        client = self.client(post_head(None, Expect="100-continue"))
        client.settimeout(WAIT_TIMEOUT_S)
        self.assertTrue(client.recv(64).startswith(b"HTTP/1.1 100"))
        chunks = b"".join(chunk(body[start : start + 50000]) for start in range(0, len(body), 50000))
        with self.run_alongside(lambda: client.sendall(chunks + b"0\r\nX-Sum: 1\r\n\r\n")):
            server_connection = self.accept(server)
            _, received = self.read_request(server_connection)
        self.assertEqual(received, body)
        server_connection.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def test_buffered_body_is_resent_completely_after_a_server_did_not_run_it(self) -> None:
        servers = [self.listener(), self.listener()]
        self.start(*servers)
        body = b"k" * 300000
        client = self.client(post_head(len(body)), body)
        first = self.accept_from_any(servers)
        self.assertEqual(self.read_request(first)[1], body)
        first.sendall(build_response(b"", "503 Busy", "X-Not-Run: 1"))
        second = self.accept_from_any(servers)
        self.assertEqual(self.read_request(second)[1], body)
        second.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def accept_from_any(self, servers: list[socket.socket]) -> socket.socket:
        """Accept a connection at whichever server the gateway connects to."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        for server in servers:
            server.settimeout(0.02)
        while time.monotonic() < deadline:
            for server in servers:
                try:
                    return self.accept(server)
                except TimeoutError:
                    continue
        raise AssertionError("the gateway connected to no server")

    def test_reset_or_early_rejection_of_a_streamed_body_is_refused_without_a_retry(self) -> None:
        for fault in ("reset", "early"):
            with self.subTest(fault=fault):
                servers = [self.listener(), self.listener()]
                self.start(*servers)
                client = self.client(post_head(4 << 20), b"x" * (2 << 20))
                server_connection = self.accept_from_any(servers)
                server_connection.recv(65536)
                if fault == "early":
                    server_connection.sendall(build_response(b"", "503 Busy", "X-Not-Run: 1", "Connection: close"))
                else:
                    server_connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    server_connection.close()
                answer = read_message(client)
                self.assertTrue(answer.startswith(b"HTTP/1.1 429"), answer)
                self.assertIn(b"retry-after", answer.lower())
                self.assertIn(b"connection: close", answer.lower())
                # The gateway keeps reading the rest of the body, even if the client reads the answer late.
                time.sleep(0.6)
                client.sendall(b"x" * (2 << 20))
                client.shutdown(socket.SHUT_WR)
                self.assertEqual(client.recv(1), b"")
                counts = self.stop()
                self.assertIn("sent.moot=", counts)  # the next attempt was not made: the body had already been streamed
                self.assertIn("connections.to_servers=1 ", counts)

    def test_client_that_stalls_in_its_body_gets_408_and_no_complete_request_is_sent(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post_head(4 << 20), b"x" * (2 << 20))
        server_connection = self.accept(server)
        received = 0
        server_connection.settimeout(2 * WAIT_TIMEOUT_S)
        while more := server_connection.recv(1 << 20):
            received += len(more)
        self.assertLess(received, 4 << 20)
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 408"))

    def test_chunked_body_over_the_size_limit_gets_413(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post_head(None))
        one_chunk = chunk(b"x" * (1 << 20))

        def send_body() -> None:
            try:
                for _ in range(40):
                    client.sendall(one_chunk)
            except OSError:
                pass  # the gateway has stopped reading

        with self.run_alongside(send_body):
            server_connection = self.accept(server)
            with contextlib.suppress(ConnectionResetError):  # what the kernel still held is dropped
                while server_connection.recv(1 << 20):
                    pass
            self.assertTrue(read_message(client).startswith(b"HTTP/1.1 413"))

    def test_server_that_does_not_read_applies_backpressure_to_its_client(self) -> None:
        server = self.listener()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.start(server)
        client = self.client(post_head(32 << 20))
        self.client(build_request(9))  # other clients connect meanwhile
        client.settimeout(1.0)
        sent = 0
        with self.assertRaises(TimeoutError):
            while sent < 32 << 20:
                sent += client.send(b"x" * 65536)
        self.assertLess(sent, 16 << 20)  # the kernel socket buffers along the path, and little more
