"""A gateway's own checks of documents: why one cannot be served here, found once for each."""

from __future__ import annotations

from collections.abc import Callable

from petrelhall.accord.documents import Documents

KEPT = 64  # verdicts that are remembered


class Checks:
    """Runs the shell's check on documents that are held, and remembers the verdicts."""

    def __init__(self, check: Callable[[bytes], str], documents: Documents) -> None:
        self.check, self.documents = check, documents
        self.verdicts: dict[bytes, str] = {}  # by digest: why it cannot be served, empty where it can

    def reason(self, digest: bytes) -> str:
        """Say why a document cannot be served here, empty where it can; it must be held."""
        found = self.verdicts.get(digest)
        if found is None:
            if len(self.verdicts) >= KEPT:
                self.verdicts.clear()
            found = self.verdicts[digest] = self.check(self.documents.held[digest])
        return found

    def invalidate(self) -> None:
        """Check all anew, since what they are checked against has changed."""
        self.verdicts.clear()
