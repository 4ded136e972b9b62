"""Files that are found whole: those two processes of one gateway share, and those that must outlast a crash."""

from __future__ import annotations

import os


def write_atomically(path: str, data: bytes) -> None:
    """Write a file beside its place, then rename it there: a reader finds the old or the new, never half (OSError)."""
    part = f"{path}.{os.getpid()}"
    with open(part, "wb") as file:
        file.write(data)
    os.replace(part, path)


def write_durably(path: str, data: bytes) -> None:
    """Write a file whole, and have it on the disk before this returns (OSError)."""
    part = f"{path}.{os.getpid()}"
    with open(part, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
