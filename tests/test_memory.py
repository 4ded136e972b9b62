"""Tests of the memory budget: what hundreds of peers make the process hold stays within its limit."""

from __future__ import annotations

import contextlib
import select
import socket
import time
import unittest

from petrelhall.net import loop as net_loop
from petrelhall.net.loop import Loop
from petrelhall.net.memory import (
    MAX_STREAM_BYTES,
    MIB,
    MIN_SHARE_BYTES,
    MemoryBudget,
    process_budget,
    resident_bytes,
)
from petrelhall.net.stream import Stream
from tests.peers import WAIT_TIMEOUT_S, GatewayTestCase, build_request, build_response, read_message
from tests.test_bodies import chunk, post_head
from tests.test_moments import GatewayPartsTestCase

LEAST_MEMORY_MB = 32  # that the platform's pages name
PEERS = 300
ANSWER_BYTES = 4 * MIB


class MemoryBudgetTest(unittest.TestCase):
    """The share of one connection, and the total."""

    def test_the_total_stays_within_the_limit_however_many_connections_hold_their_share(self) -> None:
        budget = MemoryBudget(20.0 * MIB)
        for connections in range(1, 1000):
            share = budget.share_bytes
            if share == MIN_SHARE_BYTES:
                break
            budget.held_bytes += share
            self.assertLessEqual(budget.held_bytes, budget.limit_bytes, connections)
        self.assertLess(budget.limit_bytes - budget.held_bytes, 8 * (MIN_SHARE_BYTES + 1))

    def test_a_usual_request_fits_whatever_is_held(self) -> None:
        budget = MemoryBudget(0.0)
        budget.held_bytes = 10 * budget.limit_bytes
        self.assertEqual((budget.share_bytes, budget.bytes_per_stream), (MIN_SHARE_BYTES, MIN_SHARE_BYTES))

    def test_a_stream_holds_less_the_more_is_held(self) -> None:
        budget = MemoryBudget(64.0 * MIB)
        self.assertEqual(budget.bytes_per_stream, MAX_STREAM_BYTES)
        budget.held_bytes = budget.limit_bytes - MIB // 2
        self.assertEqual(budget.bytes_per_stream, MIB // 16)

    def test_fewer_clients_may_connect_where_there_is_little_memory(self) -> None:
        resident_mb = resident_bytes() / MIB
        self.assertEqual(process_budget(resident_mb + 100.0, 600)[1], 600)
        self.assertLess(process_budget(resident_mb + 4.0, 600)[1], 400)
        self.assertGreater(process_budget(0.0, 600)[1], 0)


class HeldBytesTest(unittest.TestCase):
    """What a stream holds is counted until it is closed."""

    def test_a_stream_counts_what_it_holds_and_takes_no_more_than_its_share(self) -> None:
        memory = MemoryBudget(0.0)
        memory.held_bytes = memory.limit_bytes - 8 * 10000
        others = memory.held_bytes
        loop = Loop(print)
        loop.memory = memory
        peer, sock = socket.socketpair()
        self.addCleanup(peer.close)
        sock.setblocking(False)
        stream = Stream(loop, sock, lambda: None)
        peer.sendall(b"x" * 50000)
        for _ in range(20):
            loop.after(1.0, lambda: None)
            loop.turn()
        self.assertLess(len(stream.incoming), 12000)
        self.assertEqual(memory.held_bytes, others + len(stream.incoming))
        stream.take(4000)
        stream.hold_unparsed(300)
        stream.hold_body(2000)
        self.assertEqual(memory.held_bytes, others + len(stream.incoming) + 2300)
        stream.close()
        stream.hold_body(5000)  # as by the owner of a body, after the connection has ended
        self.assertEqual(memory.held_bytes, others)


class CancelledTimersTest(unittest.TestCase):
    """Timers that were cancelled long before they are due."""

    # Guards against: each step of an answer that is read slowly leaves a timer in memory (issue 53, a).
    def test_cancelled_timers_do_not_pile_up(self) -> None:
        loop, calls = Loop(print), list[int]()
        loop.after(0.0, lambda: calls.append(1))
        for _ in range(10 * net_loop.MAX_CANCELLED_TIMERS):
            loop.after(60000.0, lambda: calls.append(2)).cancel()
        self.assertLess(len(loop.timers), 3 * net_loop.MAX_CANCELLED_TIMERS)
        loop.turn()
        self.assertEqual(calls, [1])

    def test_a_timer_cancelled_after_its_call_is_not_counted(self) -> None:
        loop = Loop(print)
        timer = loop.after(0.0, lambda: None)
        loop.turn()
        timer.cancel()
        self.assertEqual((loop.cancelled_timers, loop.timers), (0, []))


class AwaitedBodyTest(GatewayPartsTestCase):
    """The rest of a body of known length waits in the kernel."""

    def test_half_a_body_is_not_held_and_the_whole_is_served(self) -> None:
        self.start_gateway()
        client = self.client(post_head(60000), b"x" * 1000)
        self.turn_until(lambda: self.loop.memory.held_bytes)
        client.sendall(b"x" * 40000)
        for _ in range(10):
            self.loop.after(5.0, lambda: None)
            self.loop.turn()
        self.assertLess(self.loop.memory.held_bytes, 2000)
        client.sendall(b"x" * 19000)
        server = self.accept()
        self.assertTrue(self.read(server, b"x" * 60000))
        server.sendall(build_response(b"done"))
        self.read(client, b"done")
        self.turn_until(lambda: not self.loop.memory.held_bytes)

    def test_a_client_that_leaves_while_its_body_is_awaited_is_noticed(self) -> None:
        listener = self.start_gateway()
        client = self.client(post_head(60000), b"x" * 1000)
        self.turn_until(lambda: self.loop.memory.held_bytes)
        client.close()
        self.turn_until(lambda: not listener.clients)
        self.assertEqual(self.loop.memory.held_bytes, 0)

    def test_a_small_body_is_refused_where_there_is_no_memory_and_a_usual_request_is_served(self) -> None:
        self.start_gateway()
        self.loop.memory = MemoryBudget(0.0)
        self.loop.memory.held_bytes = self.loop.memory.limit_bytes
        refused = self.client(post_head(None), chunk(b"x" * 1000) * 10)
        self.assertTrue(self.read(refused, b"\r\n\r\n").startswith(b"HTTP/1.1 503"))
        usual = self.client(post_head(200, 2), b"x" * 200)
        server = self.accept()
        self.read(server, b"x" * 200)
        server.sendall(build_response(b"done"))
        self.read(usual, b"done")


class ManyPeersTest(GatewayTestCase):
    """Hundreds of slow peers, with the least memory and 1,024 descriptors."""

    def check_memory(self, *requests: bytes) -> None:
        """Connect many peers, each of which sends a part of a request and stops, and check the memory."""
        server = self.listener()
        self.start(server, limits={"sockets": 1024, "memory_mb": LEAST_MEMORY_MB})
        usual = self.client()
        unsent = []
        for number in range(PEERS):
            peer = self.client()
            peer.setblocking(False)
            unsent.append((peer, memoryview(requests[number % len(requests)].replace(b"%NR%", b"%04d" % number))))
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            for number, (peer, data) in enumerate(unsent):
                with contextlib.suppress(OSError):
                    while data:
                        data = data[peer.send(data[:65536]) :]
                unsent[number] = peer, data
            time.sleep(0.02)
        usual.sendall(build_request(9999))
        self.assertTrue(read_message(usual).startswith(b"HTTP/1.1 "))  # it is answered; the server serves nothing
        self.assertLess(self.peak_mb(), LEAST_MEMORY_MB)
        self.assertIsNone(self.program.poll())

    def post(self, length: int | None) -> bytes:
        return post_head(length, 1).replace(b"0000000000000001", b"%NR%000000000001")

    # Guards against: clients that stop half way through a body make the process exceed its memory (issue 53, a).
    def test_bodies_that_stop_half_way(self) -> None:
        self.check_memory(self.post(65000) + b"x" * 60000)

    def test_large_bodies_that_stop_half_way(self) -> None:
        self.check_memory(self.post(400000) + b"x" * 200000)

    def test_chunked_bodies_that_stop_half_way(self) -> None:
        self.check_memory(self.post(None) + chunk(b"x" * 1024) * 60)

    # Guards against: heads that stay incomplete, or have very many short fields, take all the memory (issue 53, a).
    def test_heads_that_stop_and_heads_of_many_short_fields(self) -> None:
        head = build_request()[:-2]
        self.check_memory(head + b"X-Long: " + b"x" * 15000, head + b"a:\r\n" * 15000)

    # Guards against: long answers that are read slowly make the process exceed its memory (issue 53, a).
    def test_long_answers_that_are_read_slowly(self) -> None:
        servers = [self.listener() for _ in range(4)]
        self.start(*servers, limits={"sockets": 1024, "memory_mb": LEAST_MEMORY_MB})
        answer = memoryview(build_response(b"x" * ANSWER_BYTES))
        peers, answers = [], []
        for number in range(1, 201):
            peer = self.client(build_request(number))
            at_server = self.accept(select.select(servers, [], [], WAIT_TIMEOUT_S)[0][0])
            read_message(at_server)
            answers.append(answer[at_server.send(answer[:1000]) :])
            self.assertTrue(peer.recv(100))
            peers.append((peer, at_server))
            for sock in peers[-1]:
                sock.setblocking(False)
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            for number, (peer, at_server) in enumerate(peers):
                with contextlib.suppress(OSError):
                    while answers[number]:
                        answers[number] = answers[number][at_server.send(answers[number][:65536]) :]
                with contextlib.suppress(OSError):
                    peer.recv(1300)  # 64 kB a second
            time.sleep(0.02)
        self.assertLess(self.peak_mb(), LEAST_MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
