"""A gateway's own validation of documents, with the verdict on each document cached."""

from __future__ import annotations

from collections.abc import Callable

from petrelhall.accord.documents import Documents

MAX_VERDICTS = 64  # the cache is emptied when it is full


class Checks:
    """Runs the shell's check on documents held here and caches the verdicts."""

    def __init__(self, check: Callable[[bytes], str], documents: Documents) -> None:
        self.check, self.documents = check, documents
        self.verdicts: dict[bytes, str] = {}  # by digest: why it cannot be served; empty if it can

    def reason(self, digest: bytes) -> str:
        """Return why a document cannot be served here, or an empty string; the document must be held."""
        verdict = self.verdicts.get(digest)
        if verdict is None:
            if len(self.verdicts) >= MAX_VERDICTS:
                self.verdicts.clear()
            verdict = self.verdicts[digest] = self.check(self.documents.held[digest])
        return verdict

    def invalidate(self) -> None:
        """Discard all verdicts, since the settings that documents are checked against have changed."""
        self.verdicts.clear()
