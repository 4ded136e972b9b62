"""Shared helpers for tests that run the gateway process against scripted clients and servers.

The scripted side uses blocking sockets, and every wait has a timeout.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
import unittest.mock
from collections.abc import Iterator
from typing import Any

WAIT_TIMEOUT_S = 10.0  # upper bound of any single wait
EFFECT_BY_CLASS = {"view": "repeatable", "change": "by_key"}
TEST_SETTINGS: dict[str, Any] = {
    "Areas": ["a"],
    "Balancers": 1,
    "Grades": [
        {
            "Name": name,
            "Effect": effect,
            "Group": "all",
            "PromiseMs": 3000.0,
            "DeadlineMs": 6000.0,
            "WindowMs": 5000.0,
            "LateWorth": 0.2,
        }
        for name, effect in EFFECT_BY_CLASS.items()
    ],
    "Packages": [{"Name": "plan", "QuotaRate": 500.0, "Depth": 1000.0}],
    "Limits": {
        "Cancel": True,
        "MaxAttempts": 5,
        "RetryAfter": True,
        "MaxRetryAfterMs": 1500.0,
        "ConnIdleMs": 30000.0,
        "ConnectTimeoutMs": 250.0,
    },
    "Report": {"Source": "piggyback", "Names": ["rif"]},
}


def open_listener() -> socket.socket:
    """Listen on a free port of the loopback interface."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    listener.settimeout(WAIT_TIMEOUT_S)
    return listener


def format_address(sock: socket.socket) -> str:
    """Return the local address of a socket as ``host:port``."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def read_message(sock: socket.socket) -> bytes:
    """Read one HTTP message framed by Content-Length, or all data up to the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
    while length and len(body) < int(length[1]):
        chunk = sock.recv(65536)
        if not chunk:
            break
        body += chunk
    return head + b"\r\n\r\n" + body


def build_response(body: bytes, status: str = "200 OK", *headers: str) -> bytes:
    """Build a server's HTTP response with a Content-Length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def build_request(number: int = 1, kind: str = "view", deadline: str = "6000m", **changes: str | None) -> bytes:
    """Build a client's request; a keyword argument sets a header, and None omits it."""
    headers: dict[str, str | None] = {
        "Host": "service",
        "X-Request-Id": f"{number:016x}",
        "X-Class": kind,
        "X-Contract": "plan",
        "X-Deadline": deadline,
        "X-Metering": "units=1,spread=1,first=0",
    }
    headers |= {name.replace("_", "-"): value for name, value in changes.items()}
    lines = [f"{name}: {value}" for name, value in headers.items() if value is not None]
    return "\r\n".join(["GET /api?client=00000000b4d65521 HTTP/1.1", *lines]).encode() + b"\r\n\r\n"


def server_entry(name: str, host_port: str, state: str = "Ready") -> dict[str, Any]:
    """Build the entry of one server as discovery lists it."""
    return {
        "id": name,
        "addr": host_port,
        "zone": "a",
        "kind": "k",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class GatewayTestCase(unittest.TestCase):
    """Starts a gateway process with scripted servers, and cleans all of it up."""

    def setUp(self) -> None:
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        # Gateways with the same name share files in TMPDIR (handover, exclusions), so each test gets its own directory:
        # concurrent test runs must not find each other's files.
        scratch = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.stack.enter_context(unittest.mock.patch.dict(os.environ, {"TMPDIR": scratch}))

    def listener(self) -> socket.socket:
        return self.stack.enter_context(open_listener())

    def start(
        self, *servers: socket.socket, sockets: int = 1024, arguments: tuple[str, ...] = (), **overrides: Any
    ) -> subprocess.Popen[str]:
        with open_listener() as free_port:
            self.gateway_address = free_port.getsockname()
        server_entries = [server_entry(f"s{n}", format_address(server)) for n, server in enumerate(servers)]
        config = {
            "name": "n0",
            "listen": f"{self.gateway_address[0]}:{self.gateway_address[1]}",
            "discovery": "127.0.0.1:1",
            "seed": "2a",
            "limits": {"sockets": sockets},
            "settings": TEST_SETTINGS,
            "known": {"version": 1, "full": True, "servers": server_entries},
        } | overrides
        directory = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.config_path = path = os.path.join(directory, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        self.config = config
        self.program = self.start_process(*arguments)
        self.stack.callback(self.kill_gateway)
        return self.program

    def start_process(self, *arguments: str, **environment: str) -> subprocess.Popen[str]:
        """Start a process of the gateway, beside one that runs or after it; it is killed in the end."""
        program = subprocess.Popen(
            [sys.executable, "-m", "petrelhall", *arguments],
            env={**os.environ, "EDGE_CONFIG": self.config_path, **environment},
            text=True,
            stderr=subprocess.PIPE,
        )
        self.stack.callback(lambda: program.poll() is None and program.kill())
        return program

    def peak_mb(self) -> float:
        """Return the most memory of the process that was ever resident, in MiB."""
        with open(f"/proc/{self.program.pid}/status") as file:
            peak = re.search(r"VmHWM:\s+(\d+)", file.read())
        assert peak is not None
        return int(peak[1]) / 1024.0

    def reload(self, content: str) -> None:
        """Replace the configuration file and send SIGHUP."""
        with open(self.config_path, "w") as file:
            file.write(content)
        self.program.send_signal(signal.SIGHUP)

    def wait_for_log(self, pattern: str) -> str:
        """Wait until the process logs a line that matches a pattern, and return that line."""
        assert self.program.stderr is not None
        timer = threading.Timer(WAIT_TIMEOUT_S, self.program.kill)  # ends the read loop below on a timeout
        timer.start()
        lines = []
        for line in self.program.stderr:
            lines.append(line)
            if re.search(pattern, line):
                timer.cancel()
                return line
        raise AssertionError(f"{pattern!r} not in {lines}")

    def kill_gateway(self) -> None:
        """Kill the process if it still runs, and wait until it has exited."""
        if self.program.poll() is None:
            self.program.kill()
        self.program.communicate(timeout=WAIT_TIMEOUT_S)

    def stop(self) -> str:
        """Stop the process with SIGTERM, check that it exits with status 0, and return its log output."""
        self.program.send_signal(signal.SIGTERM)
        _, log_output = self.program.communicate(timeout=WAIT_TIMEOUT_S)
        self.assertEqual(self.program.returncode, 0, log_output)
        return log_output

    def client(self, *data: bytes) -> socket.socket:
        """Connect as soon as the gateway listens, and send the given data."""
        give_up_at = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            try:
                sock = self.stack.enter_context(socket.create_connection(self.gateway_address, WAIT_TIMEOUT_S))
                break
            except ConnectionRefusedError:
                if time.monotonic() > give_up_at or self.program.poll() is not None:
                    raise
                time.sleep(0.01)
        for piece in data:
            sock.sendall(piece)
        return sock

    def accept(self, listener: socket.socket) -> socket.socket:
        sock = self.stack.enter_context(listener.accept()[0])
        sock.settimeout(WAIT_TIMEOUT_S)
        return sock

    @contextlib.contextmanager
    def run_alongside(self, run_peer: Any) -> Iterator[threading.Thread]:
        """Run a scripted peer in a thread while the test goes on, and wait for it at the end."""
        thread = threading.Thread(target=run_peer, daemon=True)
        thread.start()
        yield thread
        thread.join(WAIT_TIMEOUT_S)
        self.assertFalse(thread.is_alive())
