"""Upgrades: a new process of a gateway says it is ready, and the old one, on reading that, begins to leave.

Pure: the mark's bytes are made and read here; the caller writes and reads the file. A mark is the writer's pid and
the time (Unix ms) at which it started; only a process that started later than the reader is its successor, so a
mark left over from an earlier upgrade moves nobody.
"""

from __future__ import annotations

import ujson


def mark(pid: int, started_ms: float) -> bytes:
    """Give the content of the mark that a ready process leaves."""
    return ujson.dumps({"pid": pid, "started_ms": started_ms}).encode()


def succeeded(data: bytes, pid: int, started_ms: float) -> bool:
    """Tell whether a mark is that of another process which started after this one; a spoilt mark is none."""
    try:
        value = ujson.loads(data)
    except ValueError:
        return False
    if not isinstance(value, dict):
        return False
    other, since = value.get("pid"), value.get("started_ms")
    if not isinstance(other, int) or not isinstance(since, int | float) or isinstance(since, bool):
        return False
    return other != pid and since > started_ms
