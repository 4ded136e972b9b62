"""Calls to management listeners, for the sub-commands that look at running gateways."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
from typing import Any

import click

WAIT_S = 3.0
CALLS_AT_ONCE = 64


class Unanswered(Exception):
    """A gateway that gave no answer that could be used; the text says why."""


def address(text: str) -> tuple[str, int]:
    """Read HOST:PORT, or a port on loopback (click.UsageError)."""
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise click.UsageError(f"{text}: must be HOST:PORT, or a port on loopback")
    return host or "127.0.0.1", int(port)


def call(where: str, method: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
    """Make one call (Unanswered)."""
    host, port = address(where)
    line = http.client.HTTPConnection(host, port, timeout=WAIT_S)
    try:
        line.request(method, path, body)
        answer = line.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise Unanswered(f"{where}: {error or type(error).__name__}") from error
    finally:
        line.close()


def look(where: str, view: str) -> dict[str, Any]:
    """Get one view of a gateway (Unanswered)."""
    status, content = call(where, "GET", f"/control/{view}")
    if status == 404:
        raise Unanswered(f"{where}: {view} is off there")
    try:
        value = json.loads(content) if status == 200 else None
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise Unanswered(f"{where}: answered {status} and no view")
    return value


def look_at_all(addresses: tuple[str, ...], view: str) -> tuple[dict[str, dict[str, Any]], dict[str, str]]:
    """Get the views of many at once; and of those that gave none, why."""
    for where in addresses:
        address(where)
    found, failed = {}, {}
    with concurrent.futures.ThreadPoolExecutor(min(CALLS_AT_ONCE, len(addresses))) as pool:
        tasks = {where: pool.submit(look, where, view) for where in addresses}
        for where, task in tasks.items():
            try:
                found[where] = task.result()
            except Unanswered as error:
                failed[where] = str(error)
    return found, failed
