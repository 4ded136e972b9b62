"""Judges which version of the policy each request was admitted under, and what operators were told of changes.

It knows only what was seen from outside: at what time a gateway admitted under which version, and which ends of
changes were claimed. It shares no code with what it judges.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EXAMPLES = 8


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request was let in. ``either``: under the stricter of this version and the one before."""

    at: float  # ms, by a clock that all share, give or take the judge's slack
    gateway: int
    version: int
    digest: str
    either: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """An operator was told how a change for a version ended."""

    at: float
    version: int
    digest: str
    state: str  # "in force", "nowhere"


@dataclass
class Verdict:
    """What was wrong."""

    mixed: int = 0  # admitted under a version after a later one had begun, or under two documents of one number
    lost_changes: int = 0  # told to be in force, and not so
    wrong_answers: int = 0  # told to be nowhere, and yet somewhere
    versions: int = 0
    examples: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Keep an example."""
        if len(self.examples) < EXAMPLES:
            self.examples.append(text)


@dataclass
class Record:
    """All that was seen."""

    slack_ms: float = 0.0
    admitted: list[Admitted] = field(default_factory=list)
    claims: list[Claim] = field(default_factory=list)
    histories: list[dict[int, str]] = field(default_factory=list)  # what gateways told at the end: digest by version

    def judge(self) -> Verdict:
        """Hold all of it against each other."""
        verdict = Verdict()
        names: dict[int, str] = {}
        begun: dict[int, float] = {}  # by version: when it was first admitted under, alone
        for one in self.admitted:
            if not one.either:
                begun[one.version] = min(begun.get(one.version, one.at), one.at)
        starts = sorted(begun.items())
        for one in self.admitted:
            if names.setdefault(one.version, one.digest) != one.digest:
                verdict.mixed += 1
                verdict.note(
                    f"version {one.version} is {one.digest} at gateway {one.gateway}, "
                    f"{names[one.version]} elsewhere"
                )
            later = [(version, at) for version, at in starts if version > one.version and at + self.slack_ms < one.at]
            if later:
                verdict.mixed += 1
                verdict.note(
                    f"gateway {one.gateway} admitted under {one.version} {one.at - later[0][1]:.1f} ms after "
                    f"the first under {later[0][0]}"
                )
        for history in self.histories:
            for version, digest in history.items():
                if names.setdefault(version, digest) != digest:
                    verdict.mixed += 1
                    verdict.note(f"version {version} is {digest} in one history, {names[version]} elsewhere")
        last = max(names, default=0)
        for claim in self.claims:
            there = names.get(claim.version) == claim.digest
            if claim.state == "in force":
                before = [
                    one
                    for one in self.admitted
                    if one.at > claim.at + self.slack_ms and one.version < claim.version and not one.either
                ]
                if not there or before or last < claim.version:
                    verdict.lost_changes += 1
                    verdict.note(
                        f"version {claim.version} {claim.digest} was told to be in force: "
                        + (
                            f"gateway {before[0].gateway} admitted under {before[0].version} later"
                            if before
                            else f"it is {names.get(claim.version)}"
                        )
                    )
            elif claim.state == "nowhere" and there:
                verdict.wrong_answers += 1
                verdict.note(f"version {claim.version} {claim.digest} was told to be nowhere")
        verdict.versions = len(names)
        return verdict
