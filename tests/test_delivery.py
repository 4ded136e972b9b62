"""Tests of what becomes of the bytes of an attempt that the kernel still holds when the attempt may no longer run."""

from __future__ import annotations

import contextlib
import socket
import unittest
from typing import Any

from petrelhall.decide.interface import Ending
from petrelhall.gateway.platform import ForwardedRequest
from petrelhall.http.h1 import HttpRequest
from petrelhall.links.attempt import AttemptProgress
from petrelhall.net.loop import Task, now_ms
from tests.peers import build_response, format_address, server_entry
from tests.test_moments import GatewayPartsTestCase

BODY_BYTES = 1000000
SERVER_BUFFER_BYTES = 16384


class UndeliveredBytesTest(GatewayPartsTestCase):
    """A server that reads slowly, so that the kernel of the gateway's machine holds most of a request's body."""

    def setUp(self) -> None:
        super().setUp()
        self.server.close()
        self.server = self.stack.enter_context(socket.socket())
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_BUFFER_BYTES)
        self.server.bind(("127.0.0.1", 0))
        self.server.listen()
        self.server.setblocking(False)
        self.registry.apply({"version": 2, "full": True, "servers": [server_entry("s0", format_address(self.server))]})

    def start_large_attempt(self, time_left_ms: float = 8000.0, stopped: Any = lambda: False, **options: Any) -> Task:
        """Send a large body; ``stopped`` tells whether its client has left."""
        headers = [(b"host", b"h"), (b"content-length", b"%d" % BODY_BYTES)]
        request = HttpRequest(b"POST", b"/api?client=0000000000000001", {}, b"b" * BODY_BYTES)
        message = ForwardedRequest(request, headers)
        return self.start_attempt(time_left_ms, stopped, message=message, repeatable=False, **options)

    def bytes_until_closed(self, at_server: socket.socket) -> int:
        """Read what the server's machine still gets, to the end of the connection."""
        received = 0

        def read_available() -> bool:
            nonlocal received
            try:
                while data := at_server.recv(65536):
                    received += len(data)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                pass
            return True

        self.turn_until(read_available)
        return received

    # Guards against: a repeat of a keyed request comes whole to a slow server after its window, and runs (review/6).
    def test_a_repeat_not_delivered_when_its_window_ends_is_cut_off(self) -> None:
        self.start_large_attempt(write_by=now_ms() + 150.0)
        at_server = self.accept()
        self.turn_until(lambda: self.results)
        self.assertLess(self.bytes_until_closed(at_server), BODY_BYTES)
        # Whether the last bytes had arrived is not known, so the request counts as one that may have run.
        self.assertIs(self.results[0].ending, Ending.CANCELLED)
        self.assertIs(self.results[0].progress, AttemptProgress.WRITTEN)

    def test_a_repeat_delivered_before_its_window_ends_is_served_after_it(self) -> None:
        write_by = now_ms() + 1500.0
        self.start_large_attempt(write_by=write_by)
        at_server = self.accept()
        self.read(at_server, b"\r\n\r\n")
        received = 0

        def read_body() -> bool:
            nonlocal received
            with contextlib.suppress(BlockingIOError):
                received += len(at_server.recv(65536))
            return received >= BODY_BYTES - 65536

        self.turn_until(read_body)
        self.assertLess(now_ms(), write_by)
        self.turn_until(lambda: read_body() and now_ms() > write_by + 50.0)
        at_server.sendall(build_response(b"done"))
        self.turn_until(lambda: self.results)
        self.assertEqual(self.results[0].reply.body, b"done")

    # Guards against: the kernel delivers the rest of a request whose client has left, and the server runs it.
    def test_a_request_given_up_because_its_client_left_does_not_come_whole_afterwards(self) -> None:
        left: list[bool] = []
        attempt = self.start_large_attempt(stopped=lambda: bool(left))
        at_server = self.accept()
        self.read(at_server, b"\r\n\r\n")
        left.append(True)
        attempt.wake()
        self.turn_until(lambda: self.results)
        self.assertIs(self.results[0].ending, Ending.CANCELLED)
        self.assertLess(self.bytes_until_closed(at_server), BODY_BYTES)

    # Guards against: the kernel delivers the rest of a request that has timed out, and two servers run it at once.
    def test_a_request_that_timed_out_does_not_come_whole_afterwards(self) -> None:
        self.start_large_attempt(time_left_ms=200.0)
        at_server = self.accept()
        self.turn_until(lambda: self.results)
        self.assertIs(self.results[0].ending, Ending.TIMEOUT)
        self.assertLess(self.bytes_until_closed(at_server), BODY_BYTES)


if __name__ == "__main__":
    unittest.main()
