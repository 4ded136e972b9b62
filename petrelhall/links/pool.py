"""Connections to servers, and the attempts made on them."""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable
from typing import Any

from petrelhall.boxes.fleet import Fleet
from petrelhall.decide.interface import Ending
from petrelhall.http.h1 import Broken, ClientSide, Reply
from petrelhall.links.attempt import Reach, Result, Wording
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Steps, Timer, describe, now_ms
from petrelhall.net.stream import Address, connect

IDLE_SHARE = 0.8  # of a server's patience with an idle connection that is used
BROKEN_GAIN, BROKEN_MOST, BROKEN_KEPT = 0.1, 0.25, 0.98  # weight of one use; share not used; left a second
MOST_PER_SERVER = 64


class Connection:
    """One connection to a server."""

    __slots__ = ("server", "address", "http", "idle_since", "used")

    def __init__(self, server: str, address: Address, http: ClientSide) -> None:
        self.server, self.address, self.http = server, address, http
        self.idle_since = self.used = 0.0  # when it was last put away, and taken again

    def close(self) -> None:
        """Close it at once."""
        self.http.stream.close()


class Pool:
    """Keeps connections that are idle and makes new ones, within bounds."""

    def __init__(self, loop: Loop, fleet: Fleet, wording: Wording, counts: Counts, most: int, idle_ms: float,
                 connect_ms: float) -> None:
        self.loop, self.fleet, self.wording, self.counts = loop, fleet, wording, counts
        self.most, self.connect_ms, self.idle_ms = most, connect_ms, IDLE_SHARE * idle_ms
        self.broken = [0.0] * 33  # share of kept connections that broke when used, by doublings of idle ms
        self.idle: dict[str, deque[Connection]] = {}
        self.open = 0
        self.by_server: dict[str, int] = {}
        loop.after(1000.0, self.sweep)

    # Attempts

    def attempt(self, server: str, message: Any, until: float, stopped: Callable[[], bool]) -> Steps[Result]:
        """Make one attempt that ends by its time; it is over on the wire when this gives its result."""
        if now_ms() >= until:
            return Result(Ending.TIMEOUT, Reach.UNWRITTEN, "no time left")
        connection = self.take(server)
        if isinstance(connection, Result):
            return connection
        stream = connection.http.stream
        stream.notify = self.loop.this_task().wake
        timers = [self.loop.at(until, stream.notify)]
        keep = asked = False
        try:
            if stream.connecting:
                failed = yield from self.connected(connection, until, timers, stopped)
                if failed is not None:
                    return failed
            # What was decided before discovery told that the server drains must not be written after: the
            # rule on drains counts from the telling, and connecting may have taken a while.
            if server not in self.fleet.healthy:
                return Result(Ending.MOOT, Reach.UNWRITTEN, "drained before it was sent")
            connection.http.ask(*self.wording.outgoing(message, until - now_ms()))
            asked = True
            result = yield from self.answered(connection, until, stopped)
            keep = result.reach is Reach.ANSWERED and connection.http.again()
            return result
        except Exception as error:  # our own fault, such as a message that h11 will not word: no server's
            self.loop.log(f"attempt failed: {describe(error)}")
            keep = False
            reach = Reach.WRITTEN if asked else Reach.UNWRITTEN
            return Result(Ending.ERROR if asked else Ending.MOOT, reach, describe(error))
        finally:
            for timer in timers:
                timer.cancel()
            self.release(connection, keep)

    def connected(self, connection: Connection, until: float, timers: list[Timer],
                  stopped: Callable[[], bool]) -> Steps[Result | None]:
        """Wait for a new connection to come up; nothing is written before it has."""
        stream = connection.http.stream
        latest = now_ms() + self.connect_ms
        timers.append(self.loop.at(latest, stream.notify))
        while stream.connecting and not stream.ended:
            if stopped():
                return Result(Ending.CANCELLED, Reach.UNWRITTEN, "called off")
            if now_ms() >= until:
                return Result(Ending.TIMEOUT, Reach.UNWRITTEN, "no time left to connect")
            if now_ms() >= latest:
                return Result(Ending.CONNECT_FAILED, Reach.UNWRITTEN, "connection did not come up")
            yield
        if stream.ended:
            # A connection reset as it comes up was taken by someone that lives; refused, there is nobody.
            ending = Ending.MOOT if stream.error == errno.ECONNRESET else Ending.CONNECT_FAILED
            return Result(ending, Reach.UNWRITTEN, f"connection refused ({stream.error})")
        return None

    def answered(self, connection: Connection, until: float, stopped: Callable[[], bool]) -> Steps[Result]:
        """Wait for the answer; it counts only when it is whole."""
        http, stream = connection.http, connection.http.stream
        while True:
            reply = http.reply()
            reach = Reach.UNWRITTEN if stream.outgoing else Reach.WRITTEN
            if isinstance(reply, Reply):
                self.learn(connection, False)
                verdict = self.wording.verdict(reply)
                return Result(verdict.ending, Reach.ANSWERED, f"status {reply.status}", reply,
                              verdict.report, verdict.used)
            if isinstance(reply, Broken) and reach and not stream.ended:
                # A spoilt answer comes from a server that lives: an error of one request. Told as a reset it
                # would count as the server's death, and the module would leave it alone and treat it as cold.
                self.counts.add("servers", "spoilt_answers")
                return Result(Ending.ERROR, reach, reply.reason)
            if isinstance(reply, Broken) or stream.ended:
                # A connection that breaks before the last byte is written proves that nothing ran. Only one
                # that never came up tells of its server: this one may have been closed as idle.
                self.learn(connection, not http.head)
                ending = Ending.RESET if reach else Ending.MOOT
                return Result(ending, reach, reply.reason if reply else f"broken ({stream.error})")
            if stopped():
                return Result(Ending.CANCELLED, reach, "called off")
            if now_ms() >= until:
                return Result(Ending.TIMEOUT, reach, "no answer in time")
            yield

    # Connections

    def take(self, server: str) -> Connection | Result:
        """Give an idle connection, the one used last, or begin a new one."""
        address = self.fleet.addresses.get(server)
        if address is None or server not in self.fleet.healthy:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "not in the list")
        idle = self.idle.get(server)
        while idle:
            connection = idle.pop()
            # The server may have closed it since epoll was last asked: what is written to a connection
            # closed by the other side would end as a reset, which may have run.
            connection.used = now_ms()
            risk = self.broken[idle_class(connection.used - connection.idle_since)]
            if connection.address == address and risk < BROKEN_MOST and connection.http.stream.alive():
                return connection
            self.drop(connection)
        if self.open >= self.most:
            self.evict()
        if self.open >= self.most or self.by_server.get(server, 0) >= MOST_PER_SERVER:
            return Result(Ending.MOOT, Reach.UNWRITTEN, "too many connections")  # no fault of the server
        stream = connect(self.loop, address, self.loop.this_task().wake)
        if isinstance(stream, OSError):
            ours = stream.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
            return Result(Ending.MOOT if ours else Ending.CONNECT_FAILED, Reach.UNWRITTEN, str(stream))
        self.open += 1
        self.by_server[server] = self.by_server.get(server, 0) + 1
        self.counts.add("connections", "to_servers")
        return Connection(server, address, ClientSide(stream))

    def release(self, connection: Connection, keep: bool) -> None:
        """Keep a connection for the next attempt, or close it."""
        if not keep or connection.server not in self.fleet.healthy:
            return self.drop(connection)
        connection.idle_since = now_ms()
        connection.http.stream.notify = lambda: self.stirred(connection)
        self.idle.setdefault(connection.server, deque()).append(connection)

    def stirred(self, connection: Connection) -> None:
        """Drop an idle connection on which anything happens: only its end, or junk, can."""
        idle = self.idle.get(connection.server)
        if idle and connection in idle:
            idle.remove(connection)
            self.drop(connection)

    def learn(self, connection: Connection, broke: bool) -> None:
        """Learn how kept connections fare by the time that they lay idle.

        Servers may close sooner than told, without a word; what is written to such a one may have run.
        """
        if connection.used:
            self.counts.add("connections", "broken_when_used_again", broke)
            age = idle_class(connection.used - connection.idle_since)
            self.broken[age] += BROKEN_GAIN * (broke - self.broken[age])

    def drop(self, connection: Connection) -> None:
        """Close a connection for good."""
        connection.close()
        self.open -= 1
        left = self.by_server[connection.server] - 1
        if left:
            self.by_server[connection.server] = left
        else:
            del self.by_server[connection.server]

    def evict(self) -> None:
        """Close the connection that has been idle longest, to make room."""
        oldest = min((idle[0] for idle in self.idle.values() if idle),
                     key=lambda connection: connection.idle_since, default=None)
        if oldest is not None:
            self.idle[oldest.server].popleft()
            self.drop(oldest)

    def sweep(self) -> None:
        """Close what has been idle too long, or leads to a server that wants nothing new."""
        self.loop.after(1000.0, self.sweep)
        self.broken = [BROKEN_KEPT * share for share in self.broken]
        before = now_ms() - self.idle_ms
        for server, idle in list(self.idle.items()):
            while idle and (idle[0].idle_since < before or server not in self.fleet.healthy):
                self.drop(idle.popleft())
            if not idle:
                del self.idle[server]


def idle_class(idle_ms: float) -> int:
    """Give the doublings of a time: connections idle for alike long fare alike."""
    return min(32, int(idle_ms).bit_length())
