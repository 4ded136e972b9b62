"""Where operators call: one call a connection, each answered at once, on a few descriptors of its own.

The calls are read by ``control.calls`` and the servers taken out are kept by ``control.bans``; here they meet
sockets and the file under ``$TMPDIR`` that a second process of this gateway reads during an upgrade.
"""

from __future__ import annotations

import os
import select
import socket
import tempfile
from collections.abc import Callable
from typing import Any

import ujson

from petrelhall.boxes.fleet import Fleet
from petrelhall.control.bans import BansError, decode
from petrelhall.control.calls import Call, Policy, Wrong, read_call
from petrelhall.decide import interface as api
from petrelhall.http.h1 import Broken, ServerSide
from petrelhall.net.counts import Counts
from petrelhall.net.files import write_whole
from petrelhall.net.loop import Loop, Steps, now_ms
from petrelhall.net.stream import NO_DESCRIPTOR, Address, Stream, bound

MAX_MANAGEMENT_CONNECTIONS = 16  # connections at once; past that the one waiting longest for its call is let go
WHOLE_MS = 1500.0  # in which a call must have come whole: some callers send nothing or half and stay for 4 s
SEND_MS = 1000.0  # in which an answer must have gone out
LINGER_MS = 400.0  # in which an answered caller may close: a close over what it still sends could eat its answer
PAUSE_MS = 20.0  # in which no caller is taken where there is no descriptor
LOOK_MS = 250.0  # between two looks at the file, for what the other process of an upgrade was told
REASONS = {
    200: b"yes\n",
    400: b"bad call\n",
    404: b"no such server\n",
    405: b"method not allowed\n",
    408: b"call did not come whole\n",
    503: b"not ready\n",
}


class Caller:
    """One operator's connection."""

    __slots__ = ("stream", "http", "until", "answered")

    def __init__(self, stream: Stream) -> None:
        self.stream, self.http = stream, ServerSide(stream)
        self.until, self.answered = now_ms() + WHOLE_MS, False


class Management:
    """The management listener and the servers that operators have taken out."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        fleet: Fleet,
        ready: Callable[[], bool],
        tell: Callable[[api.ServerList], None],
        counts: Counts,
        log: Callable[[str], None],
        gateway: str,
    ) -> None:
        self.loop, self.fleet, self.ready, self.tell, self.counts, self.log = loop, fleet, ready, tell, counts, log
        self.connections: list[Caller] = []  # oldest first
        self.views: dict[str, Callable[[], Any]] = {}  # of the parts that are on, by name
        self.policy: Callable[[Policy, bytes], tuple[int, dict[str, Any]]] | None = None
        fleet.bans.gateway = gateway
        self.path = os.path.join(tempfile.gettempdir(), f"petrelhall-{gateway}-servers-out.json")
        self.seen: tuple[int, int, int] | None = None  # the file as last read or written: inode, size, mtime
        self.look(tell=False)
        loop.after(LOOK_MS, self.watch)
        self.listener = bound(address)
        self.listener.listen(MAX_MANAGEMENT_CONNECTIONS)
        self.listen()

    def listen(self) -> None:
        """Watch the listener, unless it was closed meanwhile."""
        if self.listener.fileno() >= 0:
            self.loop.register(self.listener.fileno(), select.EPOLLIN, self.on_ready)

    def close(self) -> None:
        """Listen no more; callers in hand are still answered."""
        self.loop.unregister(self.listener.fileno())
        self.listener.close()

    # Connections

    def on_ready(self, mask: int) -> None:
        """Take a caller; where all places are held, the one that has waited longest for its call goes."""
        try:
            sock, _ = self.listener.accept()
        except OSError as error:
            if error.errno in NO_DESCRIPTOR:  # the kernel holds it: told of it without end, the loop would spin
                self.loop.unregister(self.listener.fileno())
                self.loop.after(PAUSE_MS, self.listen)
            return  # else it has gone already
        leaving = [caller for caller in self.connections if caller.answered and not caller.stream.outgoing]
        waiting = leaving or [caller for caller in self.connections if not caller.answered]
        if len(self.connections) >= MAX_MANAGEMENT_CONNECTIONS and waiting:
            self.counts.add("control", "shed")
            waiting[0].until = 0.0
            waiting[0].stream.notify()
        elif len(self.connections) >= MAX_MANAGEMENT_CONNECTIONS:
            sock.close()
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = Caller(Stream(self.loop, sock, lambda: None))
        self.connections.append(caller)
        task = self.loop.spawn(self.converse(caller))
        caller.stream.notify = task.wake
        self.loop.at(caller.until, task.wake)

    def converse(self, caller: Caller) -> Steps[None]:
        """Read one call, answer it and close."""
        try:
            asked = caller.http.request()
            while asked is None and not caller.stream.ended and now_ms() < caller.until:
                yield
                asked = caller.http.request()
            if asked is None:
                if caller.stream.ended or not caller.http.begun:
                    self.counts.add("control", "silent")
                    return
                asked = Broken(408, "call did not come whole")
            call = asked if isinstance(asked, Broken) else read_call(asked.method, asked.target)
            told: Any = None
            if isinstance(call, Call) and call.policy is not None and self.policy is not None:
                assert not isinstance(asked, Broken)
                status, told = self.policy(call.policy, bytes(asked.body))
            else:
                status = self.answer(call)
            self.counts.add("control", f"answered_{status}")
            caller.answered = True
            content = REASONS.get(status, b"no\n")
            if status == 200 and isinstance(call, Call) and call.view:
                told = self.views[call.view]()
            if told is not None:
                content = ujson.dumps(told).encode()
            caller.http.answer(status, [], content, True)
            until = now_ms() + SEND_MS
            self.loop.at(until, self.loop.this_task().wake)
            while caller.stream.outgoing and not caller.stream.ended and now_ms() < until:
                yield
            caller.stream.finish_sending()
            caller.stream.discard()
            caller.until = now_ms() + LINGER_MS  # sooner, where another wants the place
            self.loop.at(caller.until, self.loop.this_task().wake)
            while not caller.stream.ended and now_ms() < caller.until:
                yield
        finally:
            caller.stream.close()
            self.connections.remove(caller)

    def answer(self, call: Call | Wrong | Broken) -> int:
        """Carry out a call and give its status: 2xx for yes, 4xx or 5xx for no."""
        if not isinstance(call, Call):
            return call.status
        if call.ready:
            return 200 if self.ready() else 503
        if call.policy is not None:
            return 404
        if call.view:
            return 200 if call.view in self.views else 404
        if call.server not in self.fleet.ever and call.server not in self.fleet.bans.marks:
            return 404
        self.look()  # the other process may have heard a later word
        if self.fleet.bans.say(call.server, call.out, now_ms()):
            self.log(f"server {call.server} {'taken out' if call.out else 'put back'} by the operators")
            self.keep()
            self.tell(self.fleet.relabel())
        return 200

    # The file

    def look(self, tell: bool = True) -> None:
        """Take what the file says where it changed since it was last read or written here."""
        try:
            state = os.stat(self.path)
            seen = state.st_ino, state.st_size, state.st_mtime_ns
            if seen == self.seen:  # as it was: no need to read it
                return
            with open(self.path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return
        except OSError as error:
            return self.log(f"servers taken out: cannot read {self.path}: {os.strerror(error.errno or 0)}")
        self.seen = seen
        try:
            marks = decode(data, self.fleet.bans.gateway)
        except BansError as error:
            return self.log(f"servers taken out: {self.path} ignored: {error}")
        if self.fleet.bans.merge(marks) and tell:
            self.tell(self.fleet.relabel())

    def watch(self) -> None:
        """Look at the file now and then."""
        self.loop.after(LOOK_MS, self.watch)
        self.look()

    def keep(self) -> None:
        """Write the file whole and then put it in place: a reader never finds half of it."""
        try:
            write_whole(self.path, self.fleet.bans.encode())
            state = os.stat(self.path)
            self.seen = state.st_ino, state.st_size, state.st_mtime_ns
        except OSError as error:  # it still holds in this process
            self.log(f"servers taken out: cannot write {self.path}: {os.strerror(error.errno or 0)}")
