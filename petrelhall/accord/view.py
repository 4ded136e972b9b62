"""The state of the consensus as operators see it, as JSON values."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhall.accord.change import Change
from petrelhall.accord.words import FULL_LEASE

if TYPE_CHECKING:
    from petrelhall.accord.core import Accord


def change_row(change: Change, now: float) -> dict[str, Any]:
    """Return one change that an operator proposed here."""
    return {
        "digest": change.digest.hex(),
        "version": change.slot,
        "state": change.state,
        "settles": change.settles,
        "took_ms": round((change.ended or now) - change.began),
        "reasons": {str(number): reason for number, reason in change.reasons.items()},
    }


def view(core: Accord, now: float) -> dict[str, Any]:
    """Return the whole state of this gateway's consensus."""
    state = "unsure"
    if core.allowed(now):
        state = "serving" if core.kind == FULL_LEASE else "strictest"
    memory = core.voter.memory if core.voter is not None and core.voter.remembers else None
    pending = [
        {"digest": change.digest.hex(), "version": change.slot, "state": change.state}
        for change in core.changes
        if not change.over
    ]
    if memory is not None and memory.accepted and not pending:
        pending.append({"digest": memory.value.hex(), "version": memory.version + 1, "state": "voted on"})
    return {
        "self": core.number,
        "life": core.life,
        "version": core.known.version if core.certain else None,
        "digest": core.known.digest.hex(),
        "state": state,
        "why": core.trouble,
        "lease_ms": round(max(0.0, core.holder.until[core.kind] - now)) if core.allowed(now) else 0,
        "votes": memory is not None,
        "pending": pending,
        "owed": core.leases.owed(now) if core.certain else [],
        "members": [
            {
                "number": number,
                "votes": number in core.pace.voters,
                "version": version,
                "asked_ms_ago": round(now - at),
            }
            for number, (version, at) in sorted(core.leases.versions.items())
        ],
        "history": [{"version": version, "digest": digest.hex()} for version, digest in core.history],
        "changes": [change_row(change, now) for change in core.changes],
        "pace": {
            "life_ms": round(core.pace.lease_duration_ms),
            "ask_ms": round(core.pace.renewal_interval_ms),
            "fence_ms": round(core.pace.fence_ms),
            "voters": sorted(core.pace.voters),
        },
    }
