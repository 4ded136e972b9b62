"""Counters of the requests, messages and responses of a gateway."""

from __future__ import annotations

from collections import Counter


class Counts:
    """Counters by group and name, such as ``answered.refused``."""

    def __init__(self) -> None:
        self.groups: dict[str, Counter[str]] = {}

    def add(self, group: str, name: str, amount: int = 1) -> None:
        """Increase a counter, creating it if needed."""
        counter = self.groups.get(group)
        if counter is None:
            counter = self.groups[group] = Counter()
        counter[name] += amount

    def get(self, group: str, name: str) -> int:
        """Return the value of a counter, 0 if it does not exist."""
        return self.groups.get(group, Counter())[name]

    def __str__(self) -> str:
        """Return all counters on one line, sorted by group and name."""
        return "counts " + " ".join(
            f"{group}.{name}={counter[name]}"
            for group, counter in sorted(self.groups.items())
            for name in sorted(counter)
        )
