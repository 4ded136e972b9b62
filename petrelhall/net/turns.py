"""How long the turns of the event loop take, and which part of a turn takes the time.

A peer that holds up all others shows here: by one long step of a task, by many short ones, by the handlers of sockets
or by timers.
"""

from __future__ import annotations

from dataclasses import dataclass

SLOW_TURN_BOUNDS_MS = (10.0, 50.0, 250.0, 1000.0)


@dataclass(frozen=True, slots=True)
class Turn:
    """One turn of the loop, from the end of its poll; times are in ms."""

    handlers_ms: float = 0.0  # handlers of ready sockets
    timers_ms: float = 0.0
    tasks_ms: float = 0.0
    steps: int = 0  # tasks that were resumed
    longest_step_ms: float = 0.0  # of one task

    @property
    def total_ms(self) -> float:
        """Return the length of the turn."""
        return self.handlers_ms + self.timers_ms + self.tasks_ms

    def __str__(self) -> str:
        """Return the parts of the turn as text."""
        return (
            f"{self.total_ms:.1f} ms (handlers {self.handlers_ms:.1f}, timers {self.timers_ms:.1f}, "
            f"{self.steps} task steps {self.tasks_ms:.1f}, longest step {self.longest_step_ms:.1f})"
        )


class TurnTimes:
    """Counts the turns by length and keeps the longest one and the longest step of any task."""

    def __init__(self) -> None:
        self.slow_turns = [0] * len(SLOW_TURN_BOUNDS_MS)  # turns at least as long as each bound
        self.longest_turn = Turn()
        self.longest_step_ms = 0.0

    def record(self, turn: Turn) -> None:
        """Record a turn that may be slow."""
        for index, bound_ms in enumerate(SLOW_TURN_BOUNDS_MS):
            self.slow_turns[index] += turn.total_ms >= bound_ms
        if turn.total_ms > self.longest_turn.total_ms:
            self.longest_turn = turn

    def __str__(self) -> str:
        """Return the counts and the longest turn on one line."""
        slow = ", ".join(
            f"{count} of {bound_ms:.0f} ms or more"
            for count, bound_ms in zip(self.slow_turns, SLOW_TURN_BOUNDS_MS, strict=True)
        )
        return f"{slow}; longest step {self.longest_step_ms:.1f} ms; longest turn {self.longest_turn}"
