"""The actions that the core returns from one turn, and the rate limit on its outgoing messages."""

from __future__ import annotations

from petrelhall.accord import words
from petrelhall.accord.events import Action
from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.words import AnyMessage
from petrelhall.events import Dropped, Send

BURST_PER_VOTER = 8  # messages that may be sent at once above the sustained rate, for each voter


class Outbox:
    """The actions of the current turn, and a token bucket that limits the messages among them."""

    def __init__(self, number: int, pace: TimingParameters, now: float) -> None:
        self.number, self.pace = number, pace
        self.capacity = BURST_PER_VOTER * len(pace.voters) + 2.0 * pace.members
        self.tokens, self.refilled_at = self.capacity, now
        self.superseded = False  # a newer process of this member sends in its place
        self.actions: list[Action] = []

    def begin_turn(self, now: float) -> None:
        """Start a turn without actions, and refill the token bucket for the time since the previous turn."""
        self.actions = []
        self.tokens = min(self.capacity, self.tokens + (now - self.refilled_at) * self.pace.send_rate_per_s / 1000.0)
        self.refilled_at = now

    def send(self, to: int, message: AnyMessage, reserve: float = 0.0) -> bool:
        """Queue a message unless fewer than ``reserve`` tokens would remain.

        A message that is dropped here is not queued: whoever still needs it sends it again.
        """
        if to == self.number or self.superseded:
            return False
        if self.tokens < 1.0 + reserve:
            self.actions.append(Dropped("no_room"))
            return False
        self.tokens -= 1.0
        self.actions.append(Send(to, words.encode(message, self.pace.members, len(self.pace.voters))))
        return True
