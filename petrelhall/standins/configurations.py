"""An independent judge of configuration changes: finds what a history of observations shows to be wrong.

The history holds what was seen from outside: which change was proposed, which version was committed with which digest,
under which version a gateway admitted at what time, how a document came to a gateway, and what an operator was told.
The judge knows nothing of leases, watches or ballots, and shares no code with the programs that it judges.
"""

from __future__ import annotations

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

EXAMPLES_OF_EACH_KIND = 4


# Observations: what was seen, each at a time in milliseconds by one clock


@dataclass(frozen=True, slots=True)
class Proposed:
    """An operator proposed a change; ``change`` names it for good, also where it is sent again."""

    at_ms: float
    change: str
    digest: str


@dataclass(frozen=True, slots=True)
class Committed:
    """A control process holds a version for decided. ``change`` is empty where nobody proposed it (the first one)."""

    at_ms: float
    version: int
    digest: str
    change: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """A gateway took a document in: whole, or made from that of version ``base`` by a list of changes."""

    at_ms: float
    gateway: int
    version: int
    digest: str
    base: int | None = None  # None: whole


@dataclass(frozen=True, slots=True)
class Admitted:
    """A gateway decided on a request under a version."""

    at_ms: float
    gateway: int
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class Refused:
    """A gateway could not decide on a request, for example since it held no lease."""

    at_ms: float
    gateway: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """An operator was told that a change is in force as a version."""

    at_ms: float
    change: str
    version: int


@dataclass(frozen=True, slots=True)
class Excused:
    """A fault kept a gateway from control in this time: it is not waited for, but it may not break a rule either."""

    from_ms: float
    until_ms: float
    gateway: int


Observation = Proposed | Committed | Applied | Admitted | Refused | Acknowledged | Excused


# Findings


class Mistake(Enum):
    """What can be wrong."""

    MIXED_VERSIONS = "mixed versions"  # admitted under a version after a later one was admitted anywhere
    LOST = "change lost"  # told to be in force, and not committed, or not served by who should
    DOUBLED = "change doubled"  # one change committed as two versions
    FORKED = "version forked"  # one version committed with two digests
    WRONG_CONTENT = "wrong content"  # served or taken in with a digest that is not the committed one
    NOT_COMMITTED = "not committed"  # served before, or without, a commit
    GAP = "change over a gap"  # a list of changes applied to another version than it was made for
    BACKWARDS = "backwards"  # a gateway returned to an earlier version


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that was wrong."""

    mistake: Mistake
    at_ms: float
    text: str


@dataclass(frozen=True, slots=True)
class InForce:
    """How long one version took from its commit until every gateway that could be reached served it."""

    version: int
    took_ms: float  # of the slowest gateway
    since_proposed_ms: float  # the same from when it was first proposed; NaN where nobody proposed it
    gateways: int
    excused: int
    missing: tuple[int, ...]  # neither excused nor ever seen to serve it, or a later one


@dataclass
class Verdict:
    """All that was found."""

    observations: int = 0
    versions: int = 0
    refused: int = 0
    findings: dict[Mistake, list[Finding]] = field(default_factory=lambda: defaultdict(list))
    counts: dict[Mistake, int] = field(default_factory=lambda: dict.fromkeys(Mistake, 0))
    in_force: list[InForce] = field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Tell whether nothing was wrong."""
        return not any(self.counts.values())

    def add(self, mistake: Mistake, at_ms: float, text: str) -> None:
        """Count a mistake, and keep the first few of its kind."""
        self.counts[mistake] += 1
        kept = self.findings[mistake]
        if len(kept) < EXAMPLES_OF_EACH_KIND:
            kept.append(Finding(mistake, at_ms, text))

    def in_force_times(self) -> list[float]:
        """Give the times of the versions that all who could be reached served."""
        return sorted(entry.took_ms for entry in self.in_force if not entry.missing and entry.gateways)

    def times_since_proposed(self) -> list[float]:
        """Give the same from each change's first proposal."""
        return sorted(
            entry.since_proposed_ms
            for entry in self.in_force
            if not entry.missing and entry.gateways and not math.isnan(entry.since_proposed_ms)
        )


def quantile(ordered: list[float], share: float) -> float:
    """Give the smallest value that at least so large a share of the (ordered) values do not pass; NaN of none."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def content_digest(number: int, entries: Mapping[str, bytes]) -> str:
    """Work out the digest of a version of the distributed configuration from its content, by the page of its design.

    SHA-256 over the number and the sum, modulo 2**256, of each entry's SHA-256: of its key's length, key and value.
    """
    total = 0
    for key, value in entries.items():
        name = key.encode()
        total += int.from_bytes(hashlib.sha256(len(name).to_bytes(4, "big") + name + value).digest(), "big")
    return hashlib.sha256(number.to_bytes(8, "big") + (total % (1 << 256)).to_bytes(32, "big")).hexdigest()


def judge(
    history: Iterable[Observation],
    gateways: int,
    end_ms: float,
    grace_ms: float,
    slack_ms: float = 0.0,
) -> Verdict:
    """Judge a history of so many gateways that ended at a time.

    A version committed within ``grace_ms`` of the end need not be served everywhere yet. ``slack_ms`` is by how much
    the clocks of the observers may differ: 0 in one process.
    """
    return _Judge(gateways, end_ms, grace_ms, slack_ms).judge(sorted(history, key=_when))


def _when(observation: Observation) -> float:
    """Give an observation's time; the sort is stable, so that those of one moment stay in the order given."""
    return observation.from_ms if isinstance(observation, Excused) else observation.at_ms


class _Judge:
    """One pass over a history that is in order of time."""

    def __init__(self, gateways: int, end_ms: float, grace_ms: float, slack_ms: float) -> None:
        self.gateways, self.end_ms, self.grace_ms, self.slack_ms = gateways, end_ms, grace_ms, slack_ms
        self.verdict = Verdict()
        self.commits: dict[int, Committed] = {}  # the first of each version
        self.version_of: dict[str, int] = {}  # by change
        self.proposed: dict[str, float] = {}  # by change: when it was first proposed
        self.first_admitted: dict[int, float] = {}  # by version
        self.latest = -1  # the latest version that was admitted under more than the slack ago
        self.fresh: list[tuple[float, int]] = []  # first admissions that are not older than the slack
        self.serving: dict[int, int] = {}  # by gateway: the version it last admitted under
        self.applied: dict[int, int] = {}  # by gateway: the version of the document it last took in
        self.reached: dict[int, dict[int, float]] = defaultdict(dict)  # by version and gateway: when first admitted
        self.acknowledged: list[Acknowledged] = []
        self.excuses: dict[int, list[Excused]] = defaultdict(list)

    def judge(self, history: list[Observation]) -> Verdict:
        """Judge all of it."""
        self.verdict.observations = len(history)
        for observation in history:
            if isinstance(observation, Committed):
                self.on_committed(observation)
            elif isinstance(observation, Proposed):
                self.proposed.setdefault(observation.change, observation.at_ms)
            elif isinstance(observation, Excused):
                self.excuses[observation.gateway].append(observation)
        for observation in history:
            if isinstance(observation, Admitted):
                self.on_admitted(observation)
            elif isinstance(observation, Applied):
                self.on_applied(observation)
            elif isinstance(observation, Refused):
                self.verdict.refused += 1
            elif isinstance(observation, Acknowledged):
                self.acknowledged.append(observation)
        self.verdict.versions = len(self.commits)
        self.measure()
        self.look_for_lost()
        return self.verdict

    # One observation

    def on_committed(self, seen: Committed) -> None:
        """Hold a commit against those before it."""
        known = self.commits.setdefault(seen.version, seen)
        if known.digest != seen.digest:
            self.verdict.add(
                Mistake.FORKED, seen.at_ms, f"version {seen.version} is {known.digest} and also {seen.digest}"
            )
        if seen.change and self.version_of.setdefault(seen.change, seen.version) != seen.version:
            first = self.version_of[seen.change]
            self.verdict.add(
                Mistake.DOUBLED, seen.at_ms, f"change {seen.change} is version {first} and also {seen.version}"
            )

    def on_admitted(self, seen: Admitted) -> None:
        """Hold a decision on a request against the commits and all earlier decisions."""
        self.check_content(seen.at_ms, seen.gateway, seen.version, seen.digest, "served")
        before = self.serving.get(seen.gateway, -1)
        if seen.version < before:
            self.verdict.add(
                Mistake.BACKWARDS, seen.at_ms, f"gateway {seen.gateway} went from version {before} to {seen.version}"
            )
        self.serving[seen.gateway] = seen.version
        self.ripen(seen.at_ms)
        if seen.version < self.latest:
            since = seen.at_ms - self.first_admitted[self.latest]
            self.verdict.add(
                Mistake.MIXED_VERSIONS,
                seen.at_ms,
                f"gateway {seen.gateway} admitted under {seen.version}, {since:.1f} ms after {self.latest} was",
            )
        if seen.version not in self.first_admitted:
            self.first_admitted[seen.version] = seen.at_ms
            self.fresh.append((seen.at_ms, seen.version))
        self.reached[seen.version].setdefault(seen.gateway, seen.at_ms)

    def ripen(self, now_ms: float) -> None:
        """Let first admissions that are older than the slack count."""
        for at_ms, version in self.fresh:
            if at_ms + self.slack_ms < now_ms:
                self.latest = max(self.latest, version)
        self.fresh = [entry for entry in self.fresh if entry[0] + self.slack_ms >= now_ms]

    def on_applied(self, seen: Applied) -> None:
        """Hold a document that was taken in against the one that it was made from."""
        self.check_content(seen.at_ms, seen.gateway, seen.version, seen.digest, "took in")
        held = self.applied.get(seen.gateway)
        if seen.base is not None and (seen.base != held or seen.version <= seen.base):
            self.verdict.add(
                Mistake.GAP,
                seen.at_ms,
                f"gateway {seen.gateway} applied a change from {seen.base} to {seen.version} while it held {held}",
            )
        self.applied[seen.gateway] = seen.version

    def check_content(self, at_ms: float, gateway: int, version: int, digest: str, did: str) -> None:
        """Hold a version and its digest against its commit."""
        commit = self.commits.get(version)
        if commit is not None and commit.digest != digest:
            self.verdict.add(
                Mistake.WRONG_CONTENT,
                at_ms,
                f"gateway {gateway} {did} version {version} as {digest}; committed was {commit.digest}",
            )
        elif did == "served" and (commit is None or commit.at_ms > at_ms + self.slack_ms):
            when = "never" if commit is None else f"{commit.at_ms - at_ms:.1f} ms later"
            self.verdict.add(
                Mistake.NOT_COMMITTED, at_ms, f"gateway {gateway} served version {version}, committed {when}"
            )

    # The whole

    def measure(self) -> None:
        """Work out how long each version took, with a walk from the last to the first: who serves 5 has reached 4."""
        reached: dict[int, float] = {}
        measured: list[InForce] = []
        for version in sorted(self.commits.keys() | self.reached.keys(), reverse=True):
            for gateway, at_ms in self.reached.get(version, {}).items():
                reached[gateway] = min(at_ms, reached.get(gateway, math.inf))
            commit = self.commits.get(version)
            if commit is not None:
                measured.append(self.in_force(commit, reached))
        self.verdict.in_force = measured[::-1]

    def in_force(self, commit: Committed, reached: dict[int, float]) -> InForce:
        """Work out how long one version took."""
        slowest, excused, missing, counted = 0.0, 0, [], 0
        for gateway in range(self.gateways):
            at_ms = reached.get(gateway, math.inf)
            if self.is_excused(gateway, commit.at_ms, min(at_ms, self.end_ms)):
                excused += 1
            elif at_ms == math.inf:
                missing.append(gateway)
            else:
                counted += 1
                slowest = max(slowest, at_ms - commit.at_ms)
        waited = commit.at_ms - self.proposed.get(commit.change, math.nan)
        return InForce(commit.version, slowest, waited + slowest, counted, excused, tuple(missing))

    def is_excused(self, gateway: int, from_ms: float, until_ms: float) -> bool:
        """Tell whether a fault kept a gateway from control at some time within these two."""
        return any(
            excuse.from_ms <= until_ms and excuse.until_ms >= from_ms for excuse in self.excuses.get(gateway, ())
        )

    def look_for_lost(self) -> None:
        """Find changes that were told to be in force and are not, and versions that who should does not serve."""
        for told in self.acknowledged:
            if self.version_of.get(told.change) != told.version:
                self.verdict.add(
                    Mistake.LOST,
                    told.at_ms,
                    f"change {told.change} was told to be version {told.version}; committed as "
                    f"{self.version_of.get(told.change)}",
                )
        for entry in self.verdict.in_force:
            commit = self.commits[entry.version]
            if entry.missing and commit.at_ms + self.grace_ms < self.end_ms:
                self.verdict.add(
                    Mistake.LOST,
                    commit.at_ms,
                    f"version {entry.version} never came in force at {len(entry.missing)} gateways, "
                    f"the first {entry.missing[0]}",
                )
