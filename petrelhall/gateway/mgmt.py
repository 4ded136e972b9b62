"""The management listener: serves operators' calls, one per connection, on a small descriptor budget of its own.

``control.calls`` parses the calls and ``control.bans`` holds the servers that operators excluded. This module connects
them to sockets and to a file under ``$TMPDIR``, which a second process of this gateway reads during an upgrade.
"""

from __future__ import annotations

import os
import select
import socket
from collections.abc import Callable
from typing import Any

import ujson

from petrelhall.boxes.fleet import ServerRegistry
from petrelhall.control.bans import BansError, decode
from petrelhall.control.calls import Call, Policy, Wrong, read_call
from petrelhall.decide import interface as api
from petrelhall.http.h1 import HttpError, HttpServerConnection
from petrelhall.net.counts import Counts
from petrelhall.net.files import shared_path, write_atomically
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import RESOURCE_ERRNOS, Address, Stream, bind_socket

MAX_MANAGEMENT_CONNECTIONS = 16  # beyond it the connection that has waited longest for its call is closed
RECEIVE_TIMEOUT_MS = 1500.0  # for a complete call: some callers send nothing or half of one and stay for 4 s
SEND_TIMEOUT_MS = 1000.0  # for sending the response
LINGER_MS = 400.0  # wait for the caller to close: closing over unread input resets, which can lose the response
ACCEPT_RETRY_MS = 20.0  # pause in accepting while no descriptor is free
FILE_POLL_MS = 250.0  # interval of checks of the file, for calls that the other process of an upgrade received
RESPONSE_BODIES = {
    200: b"yes\n",
    400: b"bad call\n",
    404: b"no such server\n",
    405: b"method not allowed\n",
    408: b"call did not come whole\n",
    503: b"not ready\n",
}


class ManagementConnection:
    """One operator's connection."""

    __slots__ = ("stream", "http", "deadline_ms", "answered")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http = stream, HttpServerConnection(stream)
        self.deadline_ms, self.answered = now_ms() + RECEIVE_TIMEOUT_MS, False


class Management:
    """The management listener and the servers that operators have excluded."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        registry: ServerRegistry,
        is_ready: Callable[[], bool],
        on_server_list: Callable[[api.ServerList], None],
        counts: Counts,
        log: Callable[[str], None],
        gateway: str,
    ) -> None:
        self.loop, self.registry, self.is_ready, self.on_server_list = loop, registry, is_ready, on_server_list
        self.counts, self.log = counts, log
        self.connections: list[ManagementConnection] = []  # oldest first
        self.views: dict[str, Callable[[], Any]] = {}  # read-only views of the enabled subsystems, by name
        self.policy: Callable[[Policy, bytes], tuple[int, dict[str, Any]]] | None = None
        registry.exclusions.gateway = gateway
        self.path = shared_path(gateway, "servers-out.json")
        self.file_state: tuple[int, int, int] | None = None  # inode, size and mtime when last read or written
        self.load_exclusions(notify=False)
        loop.after(FILE_POLL_MS, self.poll_file)
        self.listener = bind_socket(address)
        self.listener.listen(MAX_MANAGEMENT_CONNECTIONS)
        self.register_listener()

    def register_listener(self) -> None:
        """Watch the listener for connections, unless it was closed meanwhile."""
        if self.listener.fileno() >= 0:
            self.loop.register(self.listener.fileno(), select.EPOLLIN, self.on_acceptable)

    def close(self) -> None:
        """Stop listening; calls on accepted connections are still answered."""
        self.loop.unregister(self.listener.fileno())
        self.listener.close()

    # Connections

    def on_acceptable(self, mask: int) -> None:
        """Accept a connection; at the limit, close the one that has waited longest for its call."""
        try:
            sock, _ = self.listener.accept()
        except OSError as error:
            if error.errno in RESOURCE_ERRNOS:  # the connection stays in the backlog; polling it would busy-loop
                self.loop.unregister(self.listener.fileno())
                self.loop.after(ACCEPT_RETRY_MS, self.register_listener)
            return  # otherwise the peer has already gone
        lingering = [conn for conn in self.connections if conn.answered and not conn.stream.outgoing]
        closable = lingering or [conn for conn in self.connections if not conn.answered]
        if len(self.connections) >= MAX_MANAGEMENT_CONNECTIONS and closable:
            self.counts.add("control", "shed")
            closable[0].deadline_ms = 0.0
            closable[0].stream.notify()
        elif len(self.connections) >= MAX_MANAGEMENT_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ManagementConnection(Stream(self.loop, sock, lambda: None))
        self.connections.append(connection)
        task = self.loop.spawn(self.serve_connection(connection))
        connection.stream.notify = task.wake
        self.loop.at(connection.deadline_ms, task.wake)

    def serve_connection(self, connection: ManagementConnection) -> Steps[None]:
        """Read one call, answer it and close the connection."""
        try:
            request = connection.http.read_request()
            while request is None and not connection.stream.ended and now_ms() < connection.deadline_ms:
                yield
                request = connection.http.read_request()
            if request is None:
                if connection.stream.ended or not connection.http.request_started:
                    self.counts.add("control", "silent")
                    return
                request = HttpError(408, "call did not come whole")
            call = request if isinstance(request, HttpError) else read_call(request.method, request.target)
            result: Any = None
            if isinstance(call, Call) and call.policy is not None and self.policy is not None:
                assert not isinstance(request, HttpError)
                status, result = self.policy(call.policy, bytes(request.body))
            else:
                status = self.execute(call)
            self.counts.add("control", f"answered_{status}")
            connection.answered = True
            content = RESPONSE_BODIES.get(status, b"no\n")
            if status == 200 and isinstance(call, Call) and call.view:
                result = self.views[call.view]()
            if result is not None:
                content = ujson.dumps(result).encode()
            connection.http.send_response(status, [], content, True)
            send_deadline_ms = now_ms() + SEND_TIMEOUT_MS
            self.loop.at(send_deadline_ms, self.loop.this_task().wake)
            while connection.stream.outgoing and not connection.stream.ended and now_ms() < send_deadline_ms:
                yield
            connection.stream.finish_sending()
            connection.stream.discard()
            connection.deadline_ms = now_ms() + LINGER_MS  # ends sooner if a new connection needs the slot
            self.loop.at(connection.deadline_ms, self.loop.this_task().wake)
            while not connection.stream.ended and now_ms() < connection.deadline_ms:
                yield
        finally:
            connection.stream.close()
            self.connections.remove(connection)

    def execute(self, call: Call | Wrong | HttpError) -> int:
        """Carry out a call and return its HTTP status: 2xx on success, else 4xx or 5xx."""
        if not isinstance(call, Call):
            return call.status
        if call.ready:
            return 200 if self.is_ready() else 503
        if call.policy is not None:
            return 404
        if call.view:
            return 200 if call.view in self.views else 404
        if call.server not in self.registry.known_ids and call.server not in self.registry.exclusions.marks:
            return 404
        self.load_exclusions()  # the other process of an upgrade may have received a later call
        if self.registry.exclusions.say(call.server, call.out, now_ms()):
            self.log(f"server {call.server} {'taken offline' if call.out else 'put back online'} by an operator")
            self.save_exclusions()
            self.on_server_list(self.registry.reassign_pools())
        return 200

    # The file of excluded servers

    def load_exclusions(self, notify: bool = True) -> None:
        """Merge the file's content if it changed since this process last read or wrote it."""
        try:
            stat = os.stat(self.path)
            file_state = stat.st_ino, stat.st_size, stat.st_mtime_ns
            if file_state == self.file_state:  # unchanged
                return
            with open(self.path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return
        except OSError as error:
            return self.log(f"excluded servers: cannot read {self.path}: {os.strerror(error.errno or 0)}")
        self.file_state = file_state
        try:
            exclusions = decode(data, self.registry.exclusions.gateway)
        except BansError as error:
            return self.log(f"excluded servers: {self.path} ignored: {error}")
        if self.registry.exclusions.merge(exclusions) and notify:
            self.on_server_list(self.registry.reassign_pools())

    def poll_file(self) -> None:
        """Check the file for changes at a fixed interval."""
        self.loop.after(FILE_POLL_MS, self.poll_file)
        self.load_exclusions()

    def save_exclusions(self) -> None:
        """Write the file atomically, so that a reader never sees part of it."""
        try:
            write_atomically(self.path, self.registry.exclusions.encode())
            stat = os.stat(self.path)
            self.file_state = stat.st_ino, stat.st_size, stat.st_mtime_ns
        except OSError as error:  # the exclusion still applies in this process
            self.log(f"excluded servers: cannot write {self.path}: {os.strerror(error.errno or 0)}")
