"""What operators are shown of membership, and one text by which views are compared."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from petrelhall.members.core import Members


def digest(core: Members) -> str:
    """Give one text for who is there and in which incarnation: equal where two views are."""
    known = {number: (member.state, member.life) for number, member in core.members.items()}
    known[core.number] = ("left" if core.leaving else "here", core.life)
    return f"{zlib.crc32(repr(sorted(known.items())).encode()):08x}"


def view(core: Members, now: float, names: dict[int, str]) -> dict[str, Any]:
    """Give all of it as JSON's values."""
    bit = 1 << core.number
    own = [number for number, member in core.members.items() if now - member.heard <= core.pace.hear_ms]
    rows = []
    for number in range(core.pace.members):
        if number == core.number:
            rows.append(
                {
                    "name": names.get(number, str(number)),
                    "number": number,
                    "life": core.life,
                    "state": "left" if core.leaving else "here",
                    "since_ms": round(core.started),
                    "hears": own,
                    "trusted": core.trusted(now, core),
                    "heard_by": [other for other, member in core.members.items() if member.hears & bit],
                }
            )
            continue
        member = core.members[number]
        heard_by = [other for other, third in core.members.items() if third.hears >> number & 1]
        rows.append(
            {
                "name": names.get(number, str(number)),
                "number": number,
                "state": member.state,
                "life": member.life,
                "since_ms": round(member.since),
                "trusted": core.trusted(now, member),
                "hears": [other for other in range(core.pace.members) if member.hears >> other & 1],
                "heard_by": sorted([*heard_by, core.number] if number in own else heard_by),
            }
        )
    return {
        "self": core.number,
        "life": core.life,
        "view": "old" if core.old(now) else "fresh",
        "away_ms": round(core.away_ms),
        "stalls": core.stalls,
        "words": core.speaker.seq,
        "up_ms": round(now - core.started) + 1,
        "side": {
            "heard": len(core.side),
            "of": core.pace.members,
            "majority": core.majority(now),
            "since_ms": round(core.since),
            "members": sorted(core.side),
        },
        "members": rows,
        "digest": digest(core),
        "pace": {
            "doubt_ms": round(core.pace.doubt_ms),
            "fail_ms": round(core.pace.fail_ms),
            "found_ms": round(core.pace.found_ms),
            "hear_ms": round(core.pace.hear_ms),
            "words_per_s": round(1000.0 / core.pace.word_ms, 2),
        },
    }
