"""Client of the shared counter: pipelines calls on one connection; replies come in the order of the calls."""

from __future__ import annotations

import math
import re
from collections import deque
from collections.abc import Callable

from petrelhall.decide import interface as api
from petrelhall.decide.interface import Ending
from petrelhall.net.counts import Counts
from petrelhall.net.loop import Loop, Timer, now_ms
from petrelhall.net.stream import Address, Stream, connect

CONNECT_TIMEOUT_MS = 250.0
RECONNECT_DELAY_MS = 100.0  # after a connection attempt that failed
# A connection that owes replies for this many timeouts is considered dead: TCP alone might never report that.
DEAD_AFTER_TIMEOUTS = 5.0
MAX_PENDING_CALLS = 1000  # calls without a reply; further calls fail at once
MAX_LINE_BYTES = 256
TOTAL = re.compile(rb"-?\d{1,30}(?:\.\d{1,30})?(?:[eE][+-]?\d{1,2})?")


class Call:
    """One call to the counter, until its result is reported."""

    __slots__ = ("name", "line", "called_at", "finished")

    def __init__(self, name: int, line: bytes, called_at: float) -> None:
        self.name, self.line, self.called_at, self.finished = name, line, called_at, False


class CounterClient:
    """Carries calls to the counter; each gets exactly one reply, whatever happens to the connection."""

    def __init__(
        self, loop: Loop, address: Address, wait_ms: float, notify: Callable[[api.CounterReply], None], counts: Counts
    ) -> None:
        self.loop, self.address, self.wait_ms, self.notify, self.counts = loop, address, wait_ms, notify, counts
        self.stream: Stream | None = None
        self.unsent: deque[Call] = deque()
        self.sent: deque[Call] = deque()  # includes calls that timed out: their late replies must be consumed
        self.last_reply_at = 0.0  # time of the last reply, or of the first call after all earlier ones were answered
        self.reconnect_at = 0.0
        self.connect_timer: Timer | None = None

    def retire(self) -> None:
        """Close the connection after a delay: another address has replaced this one.

        No more calls are made here; replies to earlier calls are still awaited.
        """
        self.loop.after(DEAD_AFTER_TIMEOUTS * self.wait_ms, self.disconnect)

    def add(self, name: int, amount: float, expire_ms: float) -> None:
        """Add an amount to a counter."""
        now = now_ms()
        line = f"add {name} {format_decimal(amount)} {min(60000, max(1, math.ceil(expire_ms)))}\r\n".encode()
        call = Call(name, line, now)
        if self.sent and now - self.last_reply_at > DEAD_AFTER_TIMEOUTS * self.wait_ms:
            self.disconnect()
        if now < self.reconnect_at or len(self.sent) + len(self.unsent) >= MAX_PENDING_CALLS:
            return self.finish(call, Ending.CONNECT_FAILED)
        self.unsent.append(call)
        self.loop.at(now + self.wait_ms, lambda: self.on_call_timeout(call))
        if self.stream is None:
            self.connect()
        self.send_calls()

    def connect(self) -> None:
        """Open a connection."""
        stream = connect(self.loop, self.address, self.on_stream_event)
        if isinstance(stream, OSError):
            return self.disconnect(delay_reconnect=True)
        self.stream = stream
        self.connect_timer = self.loop.after(CONNECT_TIMEOUT_MS, self.on_connect_timeout)

    def on_connect_timeout(self) -> None:
        """Abandon a connection that is not established in time."""
        if self.stream is not None and self.stream.connecting:
            self.disconnect(delay_reconnect=True)

    def send_calls(self) -> None:
        """Write the unsent calls; a call that is not written completely has not been made."""
        stream = self.stream
        if stream is None or stream.connecting or stream.ended:
            return
        while self.unsent and not stream.outgoing:
            call = self.unsent.popleft()
            if not self.sent:
                self.last_reply_at = now_ms()
            self.sent.append(call)
            stream.write(call.line)

    def on_stream_event(self) -> None:
        """Read replies, write unsent calls, or handle the loss of the connection."""
        stream = self.stream
        if stream is None:
            return
        if stream.incoming:
            *lines, rest = stream.take().split(b"\r\n")
            stream.put_back(rest)
            for line in lines:
                if not self.sent:
                    return self.disconnect()  # a reply without a call: replies no longer match calls
                self.last_reply_at = now_ms()
                call = self.sent.popleft()
                if not self.handle_reply(call, line):
                    self.counts.add("counter", "spoilt")
                    self.sent.appendleft(call)  # this call and all later ones may have taken effect
                    return self.disconnect()
            if len(rest) > MAX_LINE_BYTES:
                return self.disconnect()
        if stream.ended:
            return self.disconnect(delay_reconnect=stream.connecting)
        self.send_calls()

    def handle_reply(self, call: Call, line: bytes) -> bool:
        """Finish a call with its reply line; False if the line is malformed, which makes the connection unusable."""
        words = line.split()
        if words == [b"busy"]:
            self.finish(call, Ending.FULL)
        elif words[:1] == [b"error"]:
            self.finish(call, Ending.ERROR)
        elif len(words) == 2 and words[0] == b"ok" and TOTAL.fullmatch(words[1]):
            self.finish(call, Ending.OK, float(words[1]))
        else:
            return False
        return True

    def on_call_timeout(self, call: Call) -> None:
        """Report that no reply came in time; a call that was never written has added nothing."""
        if call.finished:
            return
        if call in self.unsent:
            self.unsent.remove(call)
            return self.finish(call, Ending.CONNECT_FAILED)
        self.finish(call, Ending.TIMEOUT)

    def disconnect(self, delay_reconnect: bool = False) -> None:
        """Close the connection and finish all calls: those written may have taken effect, the others did not."""
        stream, self.stream = self.stream, None
        partly_written = bool(stream is not None and stream.outgoing)
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if stream is not None:
            stream.close()
        if delay_reconnect:
            self.reconnect_at = now_ms() + RECONNECT_DELAY_MS
        sent, self.sent = self.sent, deque()
        unsent, self.unsent = self.unsent, deque()
        if sent and partly_written:  # the last call was not written completely
            unsent.appendleft(sent.pop())
        for call in sent:
            self.finish(call, Ending.TIMEOUT)
        for call in unsent:
            self.finish(call, Ending.CONNECT_FAILED)

    def finish(self, call: Call, ending: Ending, total: float = 0.0) -> None:
        """Report the result of a call, at most once."""
        if not call.finished:
            call.finished = True
            self.counts.add("counter", ending.value)
            self.notify(api.CounterReply(call.name, ending, total))


def format_decimal(amount: float) -> str:
    """Format a number without an exponent."""
    text = f"{amount:.6f}".rstrip("0").rstrip(".")
    return "0" if text in ("", "-0") else text
