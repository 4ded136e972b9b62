"""Tests of the event loop's record of its slow turns."""

from __future__ import annotations

import time
import unittest

from petrelhall.net.loop import Loop, Steps

SLOW_STEP_S = 0.06  # longer than the second bound of slow turns


class TurnTimesTest(unittest.TestCase):
    """Runs a loop turn by turn with one slow part."""

    def setUp(self) -> None:
        self.loop = Loop(lambda text: None)

    def test_a_slow_step_of_a_task_is_told_apart_from_timers_and_handlers(self) -> None:
        def slow() -> Steps[None]:
            time.sleep(SLOW_STEP_S)
            yield

        def quick() -> Steps[None]:
            yield

        self.loop.spawn(slow())
        self.loop.spawn(quick())
        self.loop.turn()
        times = self.loop.turn_times
        self.assertEqual(times.slow_turns, [1, 1, 0, 0], str(times))
        self.assertGreaterEqual(times.longest_step_ms, SLOW_STEP_S * 1000.0)
        self.assertEqual(times.longest_turn.steps, 2)
        self.assertLess(times.longest_turn.handlers_ms + times.longest_turn.timers_ms, SLOW_STEP_S * 1000.0)

    def test_a_slow_timer_is_told_apart_from_tasks(self) -> None:
        self.loop.after(0.0, lambda: time.sleep(SLOW_STEP_S))
        self.loop.turn()
        turn = self.loop.turn_times.longest_turn
        self.assertGreaterEqual(turn.timers_ms, SLOW_STEP_S * 1000.0)
        self.assertEqual((turn.steps, turn.tasks_ms < turn.timers_ms), (0, True), str(turn))


if __name__ == "__main__":
    unittest.main()
