"""A gateway in a process of its own, before a discovery on loopback, and what the kernel says of it."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from benchmarks.scale.installation import DESCRIPTORS, ZONES

START_SECONDS, END_SECONDS, LOOK_SECONDS = 30.0, 15.0, 0.05
NANOSECONDS = 1e9
SETTINGS: dict[str, Any] = {
    "Areas": list(ZONES),
    "Balancers": 1,
    "Grades": [{"Name": "read", "Effect": "repeatable", "Group": "all", "PromiseMs": 2000.0, "DeadlineMs": 6000.0}],
    "Packages": [{"Name": "plan", "QuotaRate": 500.0, "Depth": 1000.0}],
    "Limits": {"Cancel": True, "MaxAttempts": 3, "ConnIdleMs": 30000.0, "ConnectTimeoutMs": 250.0},
    "Report": {"Source": "piggyback", "Names": ["rif"]},
}


class Answers(BaseHTTPRequestHandler):
    """Answers the whole list at once, and a watch when its time is up: nothing changes."""

    protocol_version = "HTTP/1.1"
    whole = b""

    def do_GET(self) -> None:
        """Answer one call."""
        query = parse_qs(urlsplit(self.path).query)
        body = self.whole
        if "after" in query:
            time.sleep(float(query["wait_ms"][0]) / 1000.0)
            body = b'{"version":1,"full":false,"servers":[]}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with contextlib.suppress(OSError):  # the gateway was ended meanwhile
            self.wfile.write(body)

    def log_message(self, format: str, *arguments: Any) -> None:
        """Write no log."""


class Server(ThreadingHTTPServer):
    """Serves until it is told to end, whatever becomes of its clients."""

    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Say nothing: a gateway that is ended resets its connection."""


@contextlib.contextmanager
def discovery(listing: dict[str, Any]) -> Iterator[str]:
    """Serve a list of servers at an address on loopback."""
    handler = type("Listing", (Answers,), {"whole": json.dumps(listing).encode()})
    server = Server(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join(END_SECONDS)


def free_address() -> str:
    """Give an address on loopback where nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        return f"127.0.0.1:{taken.getsockname()[1]}"


@contextlib.contextmanager
def gateway(listing: dict[str, Any]) -> Iterator[int]:
    """Start a gateway before a discovery, and give its process id once it is ready for clients."""
    with tempfile.TemporaryDirectory() as folder, discovery(listing) as where:
        config = {
            "name": "measured",
            "listen": free_address(),
            "discovery": where,
            "seed": "2a",
            "limits": {"sockets": DESCRIPTORS},
            "settings": SETTINGS,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        environment = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": folder}
        process = subprocess.Popen([sys.executable, "-m", "petrelhall"], env=environment, stderr=subprocess.DEVNULL)
        try:
            wait_until_ready(process, config["listen"])
            yield process.pid
        finally:
            process.kill()
            process.wait(END_SECONDS)


def wait_until_ready(process: subprocess.Popen[bytes], where: str) -> None:
    """Ask a gateway for its health until it says that it takes clients (RuntimeError)."""
    until = time.monotonic() + START_SECONDS
    while time.monotonic() < until and process.poll() is None:
        connection = http.client.HTTPConnection(where, timeout=END_SECONDS)
        try:
            connection.request("GET", "/healthz")
            if connection.getresponse().status == 200:
                return
        except OSError:
            pass
        finally:
            connection.close()
        time.sleep(LOOK_SECONDS)
    raise RuntimeError(f"the gateway is not ready, exit code {process.poll()}")


@dataclass(frozen=True)
class Usage:
    """What the kernel says of a process at one moment."""

    resident_bytes: float
    peak_bytes: float
    cpu_s: float
    descriptors: int


def usage(process_id: int) -> Usage:
    """Ask the kernel."""
    folder = Path("/proc") / str(process_id)
    status = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines() if ":" in line)
    return Usage(
        1024.0 * float(status["VmRSS"].split()[0]),
        1024.0 * float(status["VmHWM"].split()[0]),
        int((folder / "schedstat").read_text().split()[0]) / NANOSECONDS,
        len(list((folder / "fd").iterdir())),
    )
