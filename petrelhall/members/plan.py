"""The paces of membership as formulas of the settings. ``docs/design/members.md`` derives them.

Every time is in milliseconds. With n members, a share s of the m messages a second that a gateway takes in, and words
whose table holds w of the n counters, an entry reaches a gateway in one word of n / w, so

    words a second, each         r = s m                    (as many come in as go out)
    one entry's round            e = (n / min(n, w)) / r    mean time until the next word that holds it comes
    a counter's step             t = 4 e                    so that four words of each gateway tell of each step
    spread                       p = ln(n) (e + late / 2)   until nearly all have heard of a step: a word waits at each
                                                            hop for its turn, and is on its way for half of the
                                                            longest time that a word takes
    silence that is a doubt      d = 3 t + p + late / 2     three steps in a row were missed
    silence that is a failure    f = 2 d                    with observers and a majority, see ``core``
    hearing                      h = max(d, 5 (n - 1) / r)  a link is heard that brought one of five words

Where fewer than half of the members are lost, all others find a failure within ``found_ms`` = f + 2 p + 2 looks: the
last step of the dead one is on its way for p, and so are the words of those who miss it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from petrelhall.members.words import OTHERS, room

STEPS, MISSED, WORDS = 4.0, 3.0, 5.0  # words that tell of a step; steps missed for a doubt; words missed for a link
LOOK_MS = 100.0  # between two turns by the clock
STALL_MS = 500.0  # between two turns, past which this process was away
FASTEST_MS = 100.0  # between two words: more would cost CPU and find nothing sooner


@dataclass(frozen=True, slots=True)
class Pace:
    """What follows from the settings."""

    members: int
    word_ms: float  # between two words of one gateway
    step_ms: float
    spread_ms: float
    doubt_ms: float
    fail_ms: float
    hear_ms: float
    observers: int  # this gateway among them, that must have missed a member before it counts as failed

    @property
    def found_ms(self) -> float:
        """Within which all gateways of a majority hold a dead member failed."""
        return self.fail_ms + 2.0 * self.spread_ms + 2.0 * self.look_ms

    @property
    def look_ms(self) -> float:
        """Give the time between two looks at all silences: finer than matters would only cost CPU."""
        return max(LOOK_MS, self.doubt_ms / 16.0)

    @property
    def majority(self) -> int:
        """Give the least number of members that is more than half."""
        return self.members // 2 + 1


def pace(members: int, messages_per_s: float, share: float, late_ms: float) -> Pace:
    """Give the paces for so many members, where a gateway takes in so many messages a second."""
    word_ms = max(FASTEST_MS, 1000.0 / max(0.01, share * messages_per_s))
    held = min(members, (room(members) - OTHERS) // 2)
    entry_ms = members / held * word_ms
    step_ms = STEPS * entry_ms
    spread_ms = math.log(max(2, members)) * (entry_ms + late_ms / 2.0)
    doubt_ms = MISSED * step_ms + spread_ms + late_ms / 2.0
    return Pace(
        members,
        word_ms,
        step_ms,
        spread_ms,
        doubt_ms,
        2.0 * doubt_ms,
        max(doubt_ms, WORDS * (members - 1) * word_ms),
        3 if members >= 5 else 2,
    )
