"""Atomic and durable replacement of files: shared between processes of one gateway, or kept across a crash."""

from __future__ import annotations

import os
import tempfile


def shared_path(gateway: str, name: str) -> str:
    """Return the path of a file under ``$TMPDIR`` that the processes of one gateway share."""
    return os.path.join(tempfile.gettempdir(), f"petrelhall-{gateway}-{name}")


def write_atomically(path: str, data: bytes) -> None:
    """Write a temporary file, then rename it: readers see the old or the new content, never a part (OSError)."""
    temporary_path = f"{path}.{os.getpid()}"
    with open(temporary_path, "wb") as file:
        file.write(data)
    os.replace(temporary_path, path)


def write_durably(path: str, data: bytes) -> None:
    """Replace a file atomically and flush file and directory to disk before returning (OSError)."""
    temporary_path = f"{path}.{os.getpid()}"
    with open(temporary_path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    directory_fd = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(directory_fd)
    finally:
        os.close(directory_fd)
