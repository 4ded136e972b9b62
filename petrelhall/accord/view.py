"""The state of the consensus as operators see it, as JSON values."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from petrelhall.accord.change import Change
from petrelhall.accord.words import FULL_LEASE

if TYPE_CHECKING:
    from petrelhall.accord.core import ConsensusCore


def change_row(change: Change, now: float) -> dict[str, Any]:
    """Return one change that an operator proposed here."""
    return {
        "digest": change.digest.hex(),
        "version": change.slot,
        "state": change.state,
        "settles": change.settles,
        "took_ms": round((change.ended_at or now) - change.started_at),
        "reasons": {str(number): reason for number, reason in change.reasons.items()},
    }


def view(core: ConsensusCore, now: float) -> dict[str, Any]:
    """Return the whole state of this gateway's consensus."""
    state = "unsure"
    if core.can_admit(now):
        state = "serving" if core.lease_kind == FULL_LEASE else "strictest"
    memory = core.voter.state if core.voter is not None and core.voter.has_state else None
    pending = [
        {"digest": change.digest.hex(), "version": change.slot, "state": change.state}
        for change in core.changes
        if not change.finished
    ]
    if memory is not None and memory.accepted and not pending:
        pending.append({"digest": memory.value.hex(), "version": memory.version + 1, "state": "voted on"})
    return {
        "self": core.number,
        "life": core.incarnation,
        "version": core.last_decision.version if core.has_decision else None,
        "digest": core.last_decision.digest.hex(),
        "state": state,
        "why": core.not_serving_reason,
        "lease_ms": round(max(0.0, core.holder.expires_at[core.lease_kind] - now)) if core.can_admit(now) else 0,
        "votes": memory is not None,
        "pending": pending,
        "owed": core.leases.members_behind(now) if core.has_decision else [],
        "members": [
            {
                "number": number,
                "votes": number in core.pace.voters,
                "version": version,
                "asked_ms_ago": round(now - at),
            }
            for number, (version, at) in sorted(core.leases.reported_versions.items())
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
