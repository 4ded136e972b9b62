"""Every sequence of troubles to a bounded depth, of a world that can be copied; equal states are played on once."""

from __future__ import annotations

import pickle
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

EXAMPLES = 3  # after which a search ends


class Turn(Protocol):
    """What a turn brings, by its name."""

    @property
    def name(self) -> str:
        """Give its name."""


class World(Protocol):
    """What is searched."""

    def take(self, turn: Any) -> None:
        """Let a turn pass."""

    def key(self) -> object:
        """Give what the future depends on."""


@dataclass
class Found:
    """What an exhaustive search saw."""

    states: int = 0
    paths: int = 0
    broken: list[str] = field(default_factory=list)


def search(first: World, turns: Sequence[Turn], depth: int, wrong: Callable[[Any], str]) -> Found:
    """Play every sequence of so many turns; ``wrong`` may use the world up, and tells what is wrong with it."""
    found, seen = Found(), {first.key()}
    edge: list[tuple[tuple[str, ...], bytes]] = [((), pickle.dumps(first))]
    for _ in range(depth):
        following = []
        for path, state in edge:
            for turn in turns:
                world = pickle.loads(state)
                world.take(turn)
                found.paths += 1
                key, after = world.key(), pickle.dumps(world)
                reason = wrong(world)
                if reason:
                    found.broken.append(f"{' / '.join((*path, turn.name))}: {reason}")
                    if len(found.broken) >= EXAMPLES:
                        return found
                if key not in seen:
                    seen.add(key)
                    following.append(((*path, turn.name), after))
        edge = following
    found.states = len(seen)
    return found
