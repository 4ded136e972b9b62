"""Counters of what a gateway takes in, sends and answers."""

from __future__ import annotations

from collections import Counter


class Counts:
    """Counters by group and name, such as ``answered.refused``."""

    def __init__(self) -> None:
        self.groups: dict[str, Counter[str]] = {}

    def add(self, group: str, name: str, amount: int = 1) -> None:
        """Count something."""
        counter = self.groups.get(group)
        if counter is None:
            counter = self.groups[group] = Counter()
        counter[name] += amount

    def get(self, group: str, name: str) -> int:
        """Give one count."""
        return self.groups.get(group, Counter())[name]

    def __str__(self) -> str:
        """Give all counts on one line."""
        return "counts " + " ".join(
            f"{group}.{name}={counter[name]}"
            for group, counter in sorted(self.groups.items())
            for name in sorted(counter)
        )
