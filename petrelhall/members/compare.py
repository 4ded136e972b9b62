"""Holds the views of several gateways beside each other: who says what of whom, and who disagrees with whom. Pure."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Disagreement:
    """Two gateways that hold a member for different things."""

    number: int
    one: int
    one_says: str
    other: int
    other_says: str

    def __str__(self) -> str:
        """Word it."""
        return f"member {self.number}: {self.one} says {self.one_says}, {self.other} says {self.other_says}"


def says(row: dict[str, Any]) -> str:
    """Give what a view holds a member for, with its life."""
    trust = "" if row.get("trusted", True) else ", not trusted"
    return f"{row['state']} (life {row['life']}{trust})"


def disagreements(views: list[dict[str, Any]]) -> list[Disagreement]:
    """Give each pair of views that differ on a member; views from two addresses of one gateway count once."""
    by_self = {view["self"]: view for view in views}
    rows = {number: {row["number"]: says(row) for row in view["members"]} for number, view in by_self.items()}
    found = []
    for one, other in itertools.combinations(sorted(rows), 2):
        for number in sorted(set(rows[one]) | set(rows[other])):
            first, second = rows[one].get(number, "no such member"), rows[other].get(number, "no such member")
            if first != second:
                found.append(Disagreement(number, one, first, other, second))
    return found


def clusters(views: list[dict[str, Any]]) -> list[list[int]]:
    """Give the gateways in groups that see the same, the largest group first."""
    groups: dict[str, list[int]] = {}
    for view in views:
        groups.setdefault(view["digest"], []).append(view["self"])
    return sorted((sorted(set(group)) for group in groups.values()), key=lambda group: (-len(group), group))
