"""Why a version's content was not taken. Whatever is raised, what was held before is unchanged."""

from __future__ import annotations

from petrelhall.configuration.versions import VersionName


class ConfigurationError(Exception):
    """Content that cannot be taken."""


class GapError(ConfigurationError):
    """A change whose base is not the version that is held."""

    def __init__(self, held: VersionName, base: VersionName) -> None:
        super().__init__(f"change is based on version {base.number}, held is {held.number}")
        self.held, self.base = held, base


class DigestMismatchError(ConfigurationError):
    """Content whose digest is not the one that it was announced with."""

    def __init__(self, target: VersionName, found: VersionName) -> None:
        super().__init__(
            f"content of version {target.number} has digest {found.digest.hex()[:16]}, "
            f"announced was {target.digest.hex()[:16]}"
        )
        self.target, self.found = target, found


class UnknownEntryError(ConfigurationError):
    """A change that removes an entry which is not there, or names an entry twice."""
