"""Event loop: readiness by epoll, timers, and tasks that are generators.

A task yields to wait and is resumed when something wakes it. Wake-ups can be spurious, so a task checks its
condition again after each one. Times are Unix milliseconds based on the monotonic clock: the offset is taken
once, so that time never jumps.
"""

from __future__ import annotations

import heapq
import select
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, TypeVar

from petrelhall.net.memory import MemoryBudget
from petrelhall.net.turns import SLOW_TURN_BOUNDS_MS, Turn, TurnTimes

T = TypeVar("T")
Steps = Generator[None, None, T]  # a coroutine run by a task; it ends with a value

MAX_POLL_S = 60.0
MAX_CANCELLED_TIMERS = 500  # beyond these they are removed from the heap once they are most of it
UNLIMITED_BYTES = 1 << 40
BLOCKED_POLL_MS = 1.0  # a poll that took this long has blocked: nothing was ready when it began
OFFSET_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Return the current time in Unix milliseconds; it never goes back."""
    return time.monotonic() * 1000.0 + OFFSET_MS


class Timer:
    """A call scheduled for some time, unless cancelled."""

    __slots__ = ("when", "call", "loop")

    def __init__(self, when: float, call: Callable[[], object] | None, loop: Loop) -> None:
        self.when, self.call, self.loop = when, call, loop

    def cancel(self) -> None:
        """Cancel the call. Idempotent, also after the call was made."""
        if self.call is not None:
            self.call = None
            self.loop.cancelled_timers += 1


class Task:
    """A generator that the loop runs until it ends."""

    __slots__ = ("loop", "steps", "queued", "done")

    def __init__(self, loop: Loop, steps: Steps[Any]) -> None:
        self.loop, self.steps, self.queued, self.done = loop, steps, False, False

    def wake(self) -> None:
        """Schedule the task to resume; a task that is running checks all its conditions before it waits again."""
        if not self.queued and not self.done and self.loop.current is not self:
            self.queued = True
            self.loop.ready.append(self)


class Loop:
    """Runs the handlers, timers and tasks of one thread; ``memory`` limits what its streams hold."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self.log, self.epoll = log, select.epoll()
        self.memory = MemoryBudget(UNLIMITED_BYTES)  # until the program sets that of its process
        self.handlers: dict[int, Callable[[int], None]] = {}
        self.timers: list[tuple[float, int, Timer]] = []  # a heap; the sequence number orders equal times
        self.timer_count = self.cancelled_timers = 0  # timers ever set; cancelled ones that are still in the heap
        self.ready: deque[Task] = deque()
        self.current: Task | None = None
        self.running = False
        self.polled_at = now_ms()  # when the sockets were last polled
        self.previous_poll_at = self.polled_at  # when they were polled before that
        self.earliest_ready_at = self.polled_at  # what the last poll reported was not ready before this time
        self.turns = 0  # begun so far
        self.turn_times = TurnTimes()

    # Readiness. A handler may close only its own descriptor: a later event of the same batch could otherwise be
    # attributed to a new socket with the same descriptor number. Tasks and timers may close any.

    def register(self, fd: int, mask: int, handler: Callable[[int], None]) -> None:
        """Call the handler with the event mask whenever the descriptor is ready."""
        self.epoll.register(fd, mask)
        self.handlers[fd] = handler

    def modify(self, fd: int, mask: int) -> None:
        """Change the events that a descriptor is watched for."""
        self.epoll.modify(fd, mask)

    def unregister(self, fd: int) -> None:
        """Stop watching a descriptor."""
        if self.handlers.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    # Timers and tasks

    def at(self, when: float, call: Callable[[], object]) -> Timer:
        """Schedule a call at a time (Unix ms)."""
        timer = Timer(when, call, self)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, timer))
        if self.cancelled_timers > MAX_CANCELLED_TIMERS and 2 * self.cancelled_timers > len(self.timers):
            self.drop_cancelled_timers()
        return timer

    def drop_cancelled_timers(self) -> None:
        """Remove the cancelled timers from the heap."""
        self.timers = [entry for entry in self.timers if entry[2].call is not None]
        heapq.heapify(self.timers)
        self.cancelled_timers = 0

    def after(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Schedule a call after a delay."""
        return self.at(now_ms() + delay_ms, call)

    def spawn(self, steps: Steps[Any]) -> Task:
        """Start a task."""
        task = Task(self, steps)
        task.wake()
        return task

    def this_task(self) -> Task:
        """Return the running task."""
        if self.current is None:
            raise RuntimeError("no task is running")
        return self.current

    def resume_next_turn(self) -> None:
        """Resume the running task in the next turn, whatever happens: it has used its share of this one.

        The task still yields as it does to wait. Tasks that are ready by then are resumed before it.
        """
        task = self.this_task()
        if not task.queued:
            task.queued = True
            self.ready.append(task)

    def sleep(self, delay_ms: float) -> Steps[None]:
        """Suspend the running task for a time."""
        until = now_ms() + delay_ms
        self.at(until, self.this_task().wake)
        while now_ms() < until:
            yield

    # Running

    def run(self) -> None:
        """Run until ``stop`` is called."""
        self.running = True
        while self.running:
            self.turn()

    def stop(self) -> None:
        """Stop after the current turn."""
        self.running = False

    def turn(self) -> None:
        """Wait for the next event and run what is due.

        Sockets come before timers, so that data received before a deadline counts as in time.
        """
        self.turns += 1
        poll_started_at = now_ms()
        events = self.epoll.poll(self.poll_timeout_s())
        self.previous_poll_at, self.polled_at = self.polled_at, now_ms()
        # A poll that blocked had found nothing ready; otherwise data may have arrived at any time in the last turn.
        blocked = self.polled_at - poll_started_at >= BLOCKED_POLL_MS
        self.earliest_ready_at = poll_started_at if blocked else self.previous_poll_at
        for fd, mask in events:
            handler = self.handlers.get(fd)
            if handler is not None:
                self.guard(handler, mask)
        timers_started_at = now_ms()
        self.run_timers(timers_started_at)
        self.run_tasks(timers_started_at)

    def run_timers(self, now: float) -> None:
        """Make the calls that are due."""
        while self.timers and self.timers[0][0] <= now:
            timer = heapq.heappop(self.timers)[2]
            call, timer.call = timer.call, None  # a later cancellation is none of a timer in the heap
            if call is None:
                self.cancelled_timers -= 1
            else:
                self.guard(call)

    def run_tasks(self, timers_started_at: float) -> None:
        """Resume each task that is ready, once, and record how long the turn took."""
        started_at = step_started_at = now_ms()
        steps, longest_step_ms = len(self.ready), 0.0
        for _ in range(steps):
            self.step(self.ready.popleft())
            now = now_ms()
            if now - step_started_at > longest_step_ms:
                longest_step_ms = now - step_started_at
            step_started_at = now
        times = self.turn_times
        if longest_step_ms > times.longest_step_ms:
            times.longest_step_ms = longest_step_ms
        if step_started_at - self.polled_at >= SLOW_TURN_BOUNDS_MS[0]:
            times.record(
                Turn(
                    timers_started_at - self.polled_at,
                    started_at - timers_started_at,
                    step_started_at - started_at,
                    steps,
                    longest_step_ms,
                )
            )

    def poll_timeout_s(self) -> float:
        """Return the poll timeout: the seconds until the next task or timer is due."""
        if self.ready:
            return 0.0
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.cancelled_timers -= 1
        if not self.timers:
            return MAX_POLL_S
        return min(MAX_POLL_S, max(0.0, (self.timers[0][0] - now_ms()) / 1000.0))

    def step(self, task: Task) -> None:
        """Run a task until it waits again."""
        task.queued, self.current = False, task
        try:
            next(task.steps)
        except StopIteration:
            task.done = True
        except Exception as error:  # an error in one task must not end the program
            task.done = True
            self.log(f"task failed: {describe(error)}")
        finally:
            self.current = None

    def guard(self, call: Callable[..., object], *arguments: object) -> None:
        """Make a call and log its failure, which must not end the program."""
        try:
            call(*arguments)
        except Exception as error:
            self.log(f"handler failed: {describe(error)}")


def describe(error: Exception) -> str:
    """Return an exception and the place where it was raised, on one line."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f" in {frames[-1].name}, line {frames[-1].lineno}" if frames else ""
    return f"{error!r}{location}"
