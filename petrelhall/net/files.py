"""Files under ``$TMPDIR`` that two processes of one gateway share during an upgrade."""

from __future__ import annotations

import os


def write_whole(path: str, data: bytes) -> None:
    """Write a file beside its place, then rename it there: a reader finds the old or the new, never half (OSError)."""
    part = f"{path}.{os.getpid()}"
    with open(part, "wb") as file:
        file.write(data)
    os.replace(part, path)
