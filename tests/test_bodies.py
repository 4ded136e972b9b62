"""Clients' bodies over 64 KiB: kept while there is room, passed on as they come beyond that."""

from __future__ import annotations

import re
import socket
import struct
import time
import unittest
from typing import Any

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.gateway.requests import Request, RequestHandler
from petrelhall.http.room import KEEP_EACH, LEAST_EACH, MOST_EACH, Room
from petrelhall.links.attempt import Reach, Result
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import Stream
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, read_message

RESET = struct.pack("ii", 1, 0)


def post(length: int | None, number: int = 1, **headers: str) -> bytes:
    """Word the head of a keyed request with a body of some length, or in chunks."""
    framing = {"Transfer_Encoding": "chunked"} if length is None else {"Content_Length": str(length)}
    return build_request(number, "change", Idempotency_Key=f"k{number}", **framing, **headers).replace(
        b"GET", b"POST", 1
    )


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Counting(unittest.TestCase):
    """Who gets how much."""

    def test_a_body_is_kept_while_there_is_room_and_gives_it_back(self) -> None:
        room = Room(60.0)
        held = []
        while room.keep(KEEP_EACH, 0):
            held.append(KEEP_EACH)
        self.assertEqual(len(held), 3)  # 0.3 of 30 MB, three copies each
        self.assertFalse(Room(500.0).keep(1, KEEP_EACH))
        room.give_back(KEEP_EACH)
        self.assertTrue(room.keep(KEEP_EACH, 0))

    def test_the_more_flow_at_once_the_less_each_holds(self) -> None:
        room = Room(40.0)
        self.assertEqual(room.each, MOST_EACH)
        room.flows = 100
        self.assertLessEqual(LEAST_EACH, room.each)
        self.assertLessEqual(2 * 100 * room.each, 4 << 20)


class Streams(unittest.TestCase):
    """What a peer that resets does to a reader that is busy."""

    def test_a_reset_under_a_full_buffer_ends_the_stream_and_not_the_loop(self) -> None:
        loop = Loop(print)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            sock = listener.accept()[0]
        sock.setblocking(False)
        stream = Stream(loop, sock, lambda: None)
        stream.keep = 1000
        peer.sendall(b"x" * 50000)
        until = time.monotonic() + WAIT_TIMEOUT_S
        while len(stream.incoming) <= stream.keep and time.monotonic() < until:
            loop.turn()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        peer.close()
        while not stream.ended and time.monotonic() < until:
            loop.after(5.0, lambda: None)
            loop.turn()
        self.assertTrue(stream.ended)


class Bodies(GatewayTestCase):
    """Large bodies reach a server as they were sent, once."""

    def read_body(self, sock: socket.socket) -> tuple[bytes, bytes]:
        """Read a request whole: its head, and its body without framing."""
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
        whole = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            whole, body = whole + body[: int(size, 16)], body[int(size, 16) + 2 :]
        return head, whole

    def test_three_megabytes_pass_unchanged_with_their_length(self) -> None:
        server = self.listener()
        self.start(server)
        body = bytes(range(256)) * 12000
        client = self.client(post(len(body)))
        with self.run_alongside(lambda: client.sendall(body)):
            at_server = self.accept(server)
            head, came = self.read_body(at_server)
        self.assertEqual(came, body)
        self.assertIn(b"content-length: %d" % len(body), head.lower())
        at_server.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))
        client.sendall(build_request(2))  # the connection goes on
        read_message(at_server)
        at_server.sendall(build_response(b"next"))
        self.assertTrue(read_message(client).endswith(b"next"))
        self.assertIn("answered.bodies_passed_on=1", self.stop())

    def test_the_time_of_a_request_counts_from_the_last_byte_of_its_body(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post(2 << 20, deadline="1000m"))
        with self.run_alongside(lambda: [(client.sendall(b"x" * (1 << 18)), time.sleep(0.2)) for _ in range(8)]):
            at_server = self.accept(server)
            self.read_body(at_server)
        at_server.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def test_a_kept_body_gives_its_room_back_with_its_answer(self) -> None:
        server = self.listener()
        self.start(server, limits={"sockets": 1024, "memory_mb": 32})  # room for one of 150 kB
        first = self.client(post(150000), b"x" * 150000)
        at_server = self.accept(server)
        for client in (first, self.client()):  # the first stays, idle
            if client is not first:
                client.sendall(post(150000, 2) + b"x" * 150000)
            self.read_body(at_server)
            at_server.sendall(build_response(b"done"))
            self.assertTrue(read_message(client).endswith(b"done"))
        self.assertNotIn("bodies_passed_on", self.stop())

    def test_a_slow_body_is_no_slowness_of_its_server(self) -> None:
        loop, told = Loop(print), list[Any]()

        class Servers:
            def attempt(self, *args: Any) -> Steps[Result]:
                yield from loop.sleep(150.0)
                return Result(Ending.OK, Reach.ANSWERED, asked_at=now_ms() - 5.0)

        class Caller:
            gone = False

        def tell(event: api.Event) -> None:
            told.append(event)
            if isinstance(event, api.Arrival):
                loop.after(0.0, lambda: request_handler.deliver(api.Send(event.request, "s0")))

        request_handler = RequestHandler(loop, tell, Servers(), Counts(), 0.0)
        loop.spawn(request_handler.serve(Request(0, 0, "a", 5000.0, 1.0, 1, False, None), Caller()))
        until = time.monotonic() + WAIT_TIMEOUT_S
        while len(told) < 2 and time.monotonic() < until:
            loop.turn()
        self.assertLess(told[1].latency_ms, 100.0)

    def test_chunks_with_a_trailer_pass_and_a_client_that_waits_for_leave_gets_it(self) -> None:
        server = self.listener()
        self.start(server)
        body = b"c" * (2 << 20)
        client = self.client(post(None, Expect="100-continue"))
        client.settimeout(WAIT_TIMEOUT_S)
        self.assertTrue(client.recv(64).startswith(b"HTTP/1.1 100"))
        pieces = b"".join(chunk(body[at : at + 50000]) for at in range(0, len(body), 50000))
        with self.run_alongside(lambda: client.sendall(pieces + b"0\r\nX-Sum: 1\r\n\r\n")):
            at_server = self.accept(server)
            _, came = self.read_body(at_server)
        self.assertEqual(came, body)
        at_server.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def test_a_body_that_is_kept_goes_again_whole_where_a_server_did_not_run_it(self) -> None:
        servers = [self.listener(), self.listener()]
        self.start(*servers)
        body = b"k" * 300000
        client = self.client(post(len(body)), body)
        first = self.either(servers)
        self.assertEqual(self.read_body(first)[1], body)
        first.sendall(build_response(b"", "503 Busy", "X-Not-Run: 1"))
        second = self.either(servers)
        self.assertEqual(self.read_body(second)[1], body)
        second.sendall(build_response(b"done"))
        self.assertTrue(read_message(client).endswith(b"done"))

    def either(self, servers: list[socket.socket]) -> socket.socket:
        """Accept at whichever server is connected to."""
        until = time.monotonic() + WAIT_TIMEOUT_S
        for server in servers:
            server.settimeout(0.02)
        while time.monotonic() < until:
            for server in servers:
                try:
                    return self.accept(server)
                except TimeoutError:
                    continue
        raise AssertionError("nobody came")

    def test_a_server_that_breaks_off_or_answers_early_ends_the_one_attempt_with_a_refusal(self) -> None:
        for way in ("reset", "early"):
            with self.subTest(way=way):
                servers = [self.listener(), self.listener()]
                self.start(*servers)
                client = self.client(post(4 << 20), b"x" * (2 << 20))
                at_server = self.either(servers)
                at_server.recv(65536)
                if way == "early":
                    at_server.sendall(build_response(b"", "503 Busy", "X-Not-Run: 1", "Connection: close"))
                else:
                    at_server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    at_server.close()
                answer = read_message(client)
                self.assertTrue(answer.startswith(b"HTTP/1.1 429"), answer)
                self.assertIn(b"retry-after", answer.lower())
                self.assertIn(b"connection: close", answer.lower())
                time.sleep(0.6)  # it is heard out, however late it reads the answer
                client.sendall(b"x" * (2 << 20))
                client.shutdown(socket.SHUT_WR)
                self.assertEqual(client.recv(1), b"")
                counts = self.stop()
                self.assertIn("sent.moot=", counts)  # the next was none: its body had been passed on
                self.assertIn("connections.to_servers=1 ", counts)

    def test_a_client_that_stops_in_its_body_gets_408_and_its_server_no_whole_request(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post(4 << 20), b"x" * (2 << 20))
        at_server = self.accept(server)
        came = 0
        at_server.settimeout(2 * WAIT_TIMEOUT_S)
        while more := at_server.recv(1 << 20):
            came += len(more)
        self.assertLess(came, 4 << 20)
        self.assertTrue(read_message(client).startswith(b"HTTP/1.1 408"))

    def test_a_body_that_grows_past_what_is_taken_gets_413(self) -> None:
        server = self.listener()
        self.start(server)
        client = self.client(post(None))
        piece = chunk(b"x" * (1 << 20))

        def send() -> None:
            try:
                for _ in range(40):
                    client.sendall(piece)
            except OSError:
                pass  # the gateway reads no more

        with self.run_alongside(send):
            at_server = self.accept(server)
            while at_server.recv(1 << 20):
                pass
            self.assertTrue(read_message(client).startswith(b"HTTP/1.1 413"))

    def test_a_server_that_does_not_read_holds_its_client_back(self) -> None:
        server = self.listener()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.start(server)
        client = self.client(post(32 << 20))
        self.client(build_request(9))  # others are served meanwhile
        client.settimeout(1.0)
        sent = 0
        with self.assertRaises(TimeoutError):
            while sent < 32 << 20:
                sent += client.send(b"x" * 65536)
        self.assertLess(sent, 16 << 20)  # what the kernel holds on the way, and little more
