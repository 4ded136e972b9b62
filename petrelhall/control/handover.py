"""What two processes of one gateway tell each other during an upgrade: marks, and a letter with a snapshot.

Pure: the bytes are made and read here; the caller writes and reads the files. A mark is the writer's pid and the time
(Unix ms) at which it started; only a process that started later than the reader is its successor, so a mark left
over from an earlier upgrade moves nobody. A letter names the process that it is for, and is nothing to any other.
"""

from __future__ import annotations

from typing import Any

import ujson


def mark(pid: int, started_ms: float) -> bytes:
    """Give the content of the mark that a ready process leaves."""
    return ujson.dumps({"pid": pid, "started_ms": started_ms}).encode()


def marked(data: bytes) -> int | None:
    """Give the pid of the process that left a mark; none of a spoilt one."""
    value = decoded(data)
    pid = value.get("pid") if isinstance(value, dict) else None
    return pid if isinstance(pid, int) and not isinstance(pid, bool) and pid > 0 else None


def letter(pid: int, snapshot: dict[str, Any]) -> bytes:
    """Give the content of what a process leaves for the one that joins it."""
    return ujson.dumps({"for": pid, "snapshot": snapshot}).encode()


def handed(data: bytes, pid: int) -> Any:
    """Give the snapshot of a letter to a process; None where there is none, it is spoilt or another's."""
    value = decoded(data)
    return value.get("snapshot") if isinstance(value, dict) and value.get("for") == pid else None


def decoded(data: bytes) -> Any:
    """Read JSON; None where it is none."""
    try:
        return ujson.loads(data)
    except ValueError:
        return None


def succeeded(data: bytes, pid: int, started_ms: float) -> bool:
    """Tell whether a mark is that of another process which started after this one; a spoilt mark is none."""
    value = decoded(data)
    if not isinstance(value, dict):
        return False
    other, since = value.get("pid"), value.get("started_ms")
    if not isinstance(other, int) or not isinstance(since, int | float) or isinstance(since, bool):
        return False
    return other != pid and since > started_ms
