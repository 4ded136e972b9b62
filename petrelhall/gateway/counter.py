"""The shared counter: calls written one behind another on one connection, answers in the same order."""

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

CONNECT_MS = 250.0
PAUSE_MS = 100.0  # after a connection that never came up
SILENT_WAITS = 5.0  # a line that owes answers for so many waits is taken for dead: TCP would never tell
MOST_OUT = 1000  # calls without an answer; beyond them nothing is asked
MOST_LINE = 256
TOTAL = re.compile(rb"-?\d{1,30}(?:\.\d{1,30})?(?:[eE][+-]?\d{1,2})?")


class Call:
    """One call, from its action to its answer."""

    __slots__ = ("name", "line", "asked", "told")

    def __init__(self, name: int, line: bytes, asked: float) -> None:
        self.name, self.line, self.asked, self.told = name, line, asked, False


class CounterClient:
    """Carries the module's calls; each gets one reply, whatever becomes of the line."""

    def __init__(
        self, loop: Loop, address: Address, wait_ms: float, tell: Callable[[api.CounterReply], None], counts: Counts
    ) -> None:
        self.loop, self.address, self.wait_ms, self.tell, self.counts = loop, address, wait_ms, tell, counts
        self.stream: Stream | None = None
        self.unsent: deque[Call] = deque()
        self.sent: deque[Call] = deque()  # also those given up: their late lines must be consumed
        self.heard = 0.0  # when the line last gave an answer, or came to owe one
        self.paused_until = 0.0
        self.connect_timer: Timer | None = None

    def retire(self) -> None:
        """Take no more calls: another address has taken over. What is asked is still heard, then it ends."""
        self.loop.after(SILENT_WAITS * self.wait_ms, self.lose)

    def add(self, name: int, amount: float, expire_ms: float) -> None:
        """Make a call."""
        now = now_ms()
        line = f"add {name} {decimal(amount)} {min(60000, max(1, math.ceil(expire_ms)))}\r\n".encode()
        call = Call(name, line, now)
        if self.sent and now - self.heard > SILENT_WAITS * self.wait_ms:
            self.lose()
        if now < self.paused_until or len(self.sent) + len(self.unsent) >= MOST_OUT:
            return self.finish(call, Ending.CONNECT_FAILED)
        self.unsent.append(call)
        self.loop.at(now + self.wait_ms, lambda: self.give_up(call))
        if self.stream is None:
            self.open()
        self.push()

    def open(self) -> None:
        """Begin a connection."""
        stream = connect(self.loop, self.address, self.on_change)
        if isinstance(stream, OSError):
            return self.lose(pause=True)
        self.stream = stream
        self.connect_timer = self.loop.after(CONNECT_MS, self.late)

    def late(self) -> None:
        """Give up a connection that does not come up."""
        if self.stream is not None and self.stream.connecting:
            self.lose(pause=True)

    def push(self) -> None:
        """Write the calls that wait; what is not whole on its way has not been made."""
        stream = self.stream
        if stream is None or stream.connecting or stream.ended:
            return
        while self.unsent and not stream.outgoing:
            call = self.unsent.popleft()
            if not self.sent:
                self.heard = now_ms()
            self.sent.append(call)
            stream.write(call.line)

    def on_change(self) -> None:
        """Read answers, write calls, or take the line for lost."""
        stream = self.stream
        if stream is None:
            return
        if stream.incoming:
            *lines, rest = stream.take().split(b"\r\n")
            stream.incoming += rest
            for line in lines:
                if not self.sent:
                    return self.lose()  # an answer to nothing: the order is gone
                self.heard = now_ms()
                call = self.sent.popleft()
                if not self.answer(call, line):
                    self.counts.add("counter", "spoilt")
                    self.sent.appendleft(call)  # it and all behind it may have been added
                    return self.lose()
            if len(rest) > MOST_LINE:
                return self.lose()
        if stream.ended:
            return self.lose(pause=stream.connecting)
        self.push()

    def answer(self, call: Call, line: bytes) -> bool:
        """Read one line; False where it is spoilt, after which the connection is of no use."""
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

    def give_up(self, call: Call) -> None:
        """Tell that an answer did not come in time; a call that was never written added nothing."""
        if call.told:
            return
        if call in self.unsent:
            self.unsent.remove(call)
            return self.finish(call, Ending.CONNECT_FAILED)
        self.finish(call, Ending.TIMEOUT)

    def lose(self, pause: bool = False) -> None:
        """Drop the line: written calls may have been added, the others were not."""
        stream, self.stream = self.stream, None
        partly = bool(stream is not None and stream.outgoing)
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if stream is not None:
            stream.close()
        if pause:
            self.paused_until = now_ms() + PAUSE_MS
        sent, self.sent = self.sent, deque()
        unsent, self.unsent = self.unsent, deque()
        if sent and partly:  # its last byte was never written
            unsent.appendleft(sent.pop())
        for call in sent:
            self.finish(call, Ending.TIMEOUT)
        for call in unsent:
            self.finish(call, Ending.CONNECT_FAILED)

    def finish(self, call: Call, ending: Ending, total: float = 0.0) -> None:
        """Tell a call's end, once."""
        if not call.told:
            call.told = True
            self.counts.add("counter", ending.value)
            self.tell(api.CounterReply(call.name, ending, total))


def decimal(amount: float) -> str:
    """Write a number without an exponent."""
    text = f"{amount:.6f}".rstrip("0").rstrip(".")
    return "0" if text in ("", "-0") else text
