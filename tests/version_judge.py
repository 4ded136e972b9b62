"""Judges admissions under versions of the configuration. It shares no code with the cores."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping


def expected_digest(number: int, entries: Mapping[str, bytes]) -> bytes:
    """Work the digest of a version out from all of its entries."""
    total = 0
    for key, value in entries.items():
        written = len(key.encode()).to_bytes(4, "big") + key.encode() + value
        total += int.from_bytes(hashlib.sha256(written).digest(), "big")
    return hashlib.sha256(number.to_bytes(8, "big") + (total % 2**256).to_bytes(32, "big")).digest()


class Judge:
    """Hears of every admission, in the order of true time."""

    def __init__(self) -> None:
        self.latest = -1
        self.mixed: list[str] = []
        self.spoilt: list[str] = []
        self.admissions = 0
        self.checked: set[tuple[int, int, int]] = set()
        self.digests: dict[int, bytes] = {}

    def admitted(
        self, at: float, gateway: int, incarnation: int, version: int, digest: bytes, entries: Mapping[str, bytes]
    ) -> None:
        """No version may be admitted once a later one was; its content must be what its digest says."""
        self.admissions += 1
        if version < self.latest:
            self.mixed.append(f"{at:.3f}: gateway {gateway} admits by {version} after {self.latest}")
        self.latest = max(self.latest, version)
        if (gateway, incarnation, version) not in self.checked:
            self.checked.add((gateway, incarnation, version))
            agreed = self.digests.setdefault(version, digest)
            if expected_digest(version, entries) != digest or agreed != digest:
                self.spoilt.append(f"{at:.3f}: gateway {gateway}, version {version}")
