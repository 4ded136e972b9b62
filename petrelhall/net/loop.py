"""The event loop: readiness by epoll, timers, and tasks that are generators.

A task yields to wait and runs on when something wakes it. A wake-up says only that something may have
changed, so a task looks again at whatever it waits for. Times are Unix milliseconds read off the monotonic
clock: the offset is taken once, so that they never jump.
"""

from __future__ import annotations

import heapq
import select
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, TypeVar

T = TypeVar("T")
Steps = Generator[None, None, T]  # a piece of a task that ends with a value

LONGEST_S = 60.0
BLOCKED_POLL_MS = 1.0  # a look at the sockets that took as long has waited: nothing was ready when it began
OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Give the time now, in Unix milliseconds that only go forward."""
    return time.monotonic() * 1000.0 + OFFSET_MS


class Timer:
    """A call that is due at some time, unless cancelled."""

    __slots__ = ("when", "call")

    def __init__(self, when: float, call: Callable[[], object] | None) -> None:
        self.when, self.call = when, call

    def cancel(self) -> None:
        """Call it off."""
        self.call = None


class Task:
    """A generator that the loop runs until it ends."""

    __slots__ = ("loop", "steps", "queued", "done")

    def __init__(self, loop: Loop, steps: Steps[Any]) -> None:
        self.loop, self.steps, self.queued, self.done = loop, steps, False, False

    def wake(self) -> None:
        """Let it run on soon; one that runs looks at all it waits for before it waits again."""
        if not self.queued and not self.done and self.loop.current is not self:
            self.queued = True
            self.loop.ready.append(self)


class Loop:
    """One thread's work."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log, self.epoll = log, select.epoll()
        self.handlers: dict[int, Callable[[int], None]] = {}
        self.timers: list[tuple[float, int, Timer]] = []  # a heap; the number keeps equal times in order
        self.timed = 0
        self.ready: deque[Task] = deque()
        self.current: Task | None = None
        self.running = False
        self.polled_at = now_ms()  # when sockets were last asked what has come
        self.previous_poll_at = self.polled_at  # when they were asked the time before
        self.earliest_ready_at = self.polled_at  # what the last look found ready had not come before this time

    # Readiness. A handler may close its own descriptor only: a later event of the same batch could else be
    # taken for one of a new socket that was given the closed one's number. Tasks and timers may close any.

    def register(self, fd: int, mask: int, handler: Callable[[int], None]) -> None:
        """Call the handler with what a descriptor is ready for."""
        self.epoll.register(fd, mask)
        self.handlers[fd] = handler

    def modify(self, fd: int, mask: int) -> None:
        """Change what a descriptor is watched for."""
        self.epoll.modify(fd, mask)

    def unregister(self, fd: int) -> None:
        """Watch a descriptor no more."""
        if self.handlers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    # Timers and tasks

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Make a call at some time."""
        timer = Timer(when, call)
        self.timed += 1
        heapq.heappush(self.timers, (when, self.timed, timer))
        return timer

    def after(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Make a call after some milliseconds."""
        return self.at(now_ms() + delay_ms, call)

    def spawn(self, steps: Steps[Any]) -> Task:
        """Start a task."""
        task = Task(self, steps)
        task.wake()
        return task

    def this_task(self) -> Task:
        """Give the task that is running."""
        if self.current is None:
            raise RuntimeError("no task is running")
        return self.current

    def sleep(self, delay_ms: float) -> Steps[None]:
        """Wait for some milliseconds."""
        until = now_ms() + delay_ms
        self.at(until, self.this_task().wake)
        while now_ms() < until:
            yield

    # Running

    def run(self) -> None:
        """Work until stopped."""
        self.running = True
        while self.running:
            self.turn()

    def stop(self) -> None:
        """End after this turn."""
        self.running = False

    def turn(self) -> None:
        """Wait for whatever comes first; sockets before timers: what has come in time counts as in time."""
        began = now_ms()
        events = self.epoll.poll(self.patience())
        self.previous_poll_at, self.polled_at = self.polled_at, now_ms()
        # A look that had to wait found nothing ready at first; else it may have come at any time of the last turn.
        waited = self.polled_at - began >= BLOCKED_POLL_MS
        self.earliest_ready_at = began if waited else self.previous_poll_at
        for fd, mask in events:
            handler = self.handlers.get(fd)
            if handler is not None:
                self.guard(handler, mask)
        now = now_ms()
        while self.timers and self.timers[0][0] <= now:
            call = heapq.heappop(self.timers)[2].call
            if call is not None:
                self.guard(call)
        for _ in range(len(self.ready)):
            self.step(self.ready.popleft())

    def patience(self) -> float:
        """Give the seconds that nothing is due for."""
        if self.ready:
            return 0.0
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return LONGEST_S
        return min(LONGEST_S, max(0.0, (self.timers[0][0] - now_ms()) / 1000.0))

    def step(self, task: Task) -> None:
        """Run a task to its next wait."""
        task.queued, self.current = False, task
        try:
            next(task.steps)
        except StopIteration:
            task.done = True
        except Exception as error:  # one task's fault is not the program's
            task.done = True
            self.log(f"task failed: {describe(error)}")
        finally:
            self.current = None

    def guard(self, call: Callable[..., object], *values: object) -> None:
        """Make a call whose failure must not end the program."""
        try:
            call(*values)
        except Exception as error:
            self.log(f"handler failed: {describe(error)}")


def describe(error: Exception) -> str:
    """Give an exception and its place on one line."""
    places = traceback.extract_tb(error.__traceback__)
    place = f" in {places[-1].name}, line {places[-1].lineno}" if places else ""
    return f"{error!r}{place}"
