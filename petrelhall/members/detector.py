"""The failure detector: every silence judged, and whom this gateway hears both ways."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from petrelhall.members.core import Members


class Detector:
    """The steps of this gateway's counter, and its looks at the others'."""

    def __init__(self, core: Members, now: float) -> None:
        self.core = core
        self.looked = now
        self.counted = now  # when the counter last stepped
        self.hears = self.misses = 0  # bitmaps, as of the last look

    def turn(self, now: float) -> None:
        """Look, where it is time to."""
        if now - self.looked >= self.core.pace.look_ms:
            self.looked = now
            self.look(now)

    def look(self, now: float) -> None:
        """Step the counter, judge every silence, and see whom this gateway hears both ways."""
        core = self.core
        steps = int((now - self.counted) / core.pace.step_ms)
        if steps:
            core.counter += steps
            self.counted += steps * core.pace.step_ms
            core.known(core.number)
        core.stand(now, self.two_way(now))
        able = core.may_fail(now)
        missed, doubted = 0, now - core.pace.doubt_ms
        for number, member in core.members.items():
            if member.fresh > doubted or member.state not in ("here", "doubt"):
                if member.state == "failed" or member.state == "doubt":  # doubted by hearsay: not heard here either
                    missed |= 1 << number
                continue
            silence = now - member.fresh
            missed |= 1 << number
            if member.state == "here":
                core.put(now, number, "doubt", f"silent for {silence:.0f} ms")
            elif able and silence >= core.pace.fail_ms:
                witnesses = core.observers(now, number)
                if witnesses >= core.pace.observers:
                    core.put(
                        now, number, "failed", f"silent for {silence:.0f} ms, missed by {witnesses} of {len(core.side)}"
                    )
        self.misses = missed

    def two_way(self, now: float) -> frozenset[int]:
        """Give the members that this gateway hears both ways, itself among them.

        A link that had no time to be measured (a start, or many members) counts where its member is fresh and enough
        other links are proven both ways; one that had its time and brought nothing, or nothing back, does not.
        """
        core = self.core
        since, bit = now - core.pace.hear_ms, 1 << core.number
        new, fresh, clashed = core.started >= since, now - core.pace.doubt_ms, now - core.pace.fail_ms
        proven, likely, hears = [core.number], [], 0
        for number, member in core.members.items():
            if member.heard >= since:
                hears |= 1 << number
            if member.fresh <= fresh or member.state not in ("here", "doubt") or member.clashed >= clashed:
                continue
            proof = member.spoke >= since and member.hears & bit
            if member.heard >= since and proof:
                proven.append(number)
            elif new and not proof:
                likely.append(number)
        self.hears = hears
        enough = len(proven) >= min(core.pace.observers, core.pace.members)
        return frozenset(proven + likely if enough else proven)
