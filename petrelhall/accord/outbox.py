"""What the core answers in one turn, and the pace at which its messages may go out."""

from __future__ import annotations

from petrelhall.accord import words
from petrelhall.accord.events import Action
from petrelhall.accord.plan import TimingParameters
from petrelhall.accord.words import AnyMessage
from petrelhall.events import Dropped, Send

BEHIND = 8  # messages that may go at once beyond the pace, for each voter


class Outbox:
    """The actions of this turn, and a token bucket that bounds the messages among them."""

    def __init__(self, number: int, pace: TimingParameters, now: float) -> None:
        self.number, self.pace = number, pace
        self.most = BEHIND * len(pace.voters) + 2.0 * pace.members
        self.room, self.room_at = self.most, now
        self.quiet = False  # a newer process of this member speaks
        self.actions: list[Action] = []

    def begin_turn(self, now: float) -> None:
        """Begin with no actions, and with room for as many messages as the time since the last turn allows."""
        self.actions = []
        self.room = min(self.most, self.room + (now - self.room_at) * self.pace.send_rate_per_s / 1000.0)
        self.room_at = now

    def send(self, to: int, message: AnyMessage, reserve: float = 0.0) -> bool:
        """Send a message, within the pace; what does not go now is sent again by whoever still needs it."""
        if to == self.number or self.quiet:
            return False
        if self.room < 1.0 + reserve:
            self.actions.append(Dropped("no_room"))
            return False
        self.room -= 1.0
        self.actions.append(Send(to, words.encode(message, self.pace.members, len(self.pace.voters))))
        return True
