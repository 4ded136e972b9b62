"""Reads the operators' file, all or nothing, and says in one line what is wrong with one that cannot be used."""

from __future__ import annotations

import difflib
import re
from typing import Any, get_type_hints

import msgspec

from petrelhall.operator.settings import File, Links

AT = re.compile(r" - at `\$(?P<path>[^`]*)`$")
UNKNOWN = re.compile(r"unknown field `(?P<key>[^`]*)`")
MOST_BYTES = 1024 * 1024
SHOWN = 60  # characters of a value that a message quotes


class OperatorError(ValueError):
    """A file that cannot be used; the text names the field by its path, the value and the reason."""


def read(path: str) -> File:
    """Read and check a file. OperatorError where it is unreadable, is no JSON, or holds what makes no sense."""
    try:
        with open(path, "rb") as file:
            content = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise OperatorError(f"{path}: cannot read: {error.strerror}") from error
    if len(content) > MOST_BYTES:
        raise OperatorError(f"{path}: larger than {MOST_BYTES} bytes")
    try:
        return parse(content)
    except OperatorError as error:
        raise OperatorError(f"{path}: {error}") from error


def parse(content: bytes) -> File:
    """Turn a file's bytes into settings."""
    try:
        file: File = msgspec.json.decode(content, type=File)
    except msgspec.ValidationError as error:
        raise OperatorError(explain(str(error), msgspec.json.decode(content))) from None
    except msgspec.DecodeError as error:
        raise OperatorError(f"not JSON: {error}") from None
    for reason in contradictions(file.links):
        raise OperatorError(reason)
    return file


def contradictions(links: Links) -> list[str]:
    """Give what is right by itself and cannot hold together."""
    found = []
    if links.cold.at_once > links.per_box:
        found.append(f"links.cold.at_once: {links.cold.at_once} is above links.per_box, {links.per_box}")
    if links.ahead >= links.per_box:
        found.append(f"links.ahead: {links.ahead} spares leave no room below links.per_box, {links.per_box}")
    if links.total and links.total < links.per_box:
        found.append(f"links.total: {links.total} is below links.per_box, {links.per_box}")
    if links.stale.idle_ms and links.stale.proven_ms > links.stale.idle_ms:
        found.append(f"links.stale.proven_ms: {links.stale.proven_ms:g} is above links.stale.idle_ms, "
                     f"{links.stale.idle_ms:g}")
    return found


def explain(message: str, value: Any) -> str:
    """Word msgspec's complaint for whoever wrote the file: path, value, reason, nearest known key."""
    place = AT.search(message)
    path = place["path"] if place else ""
    reason = AT.sub("", message)
    unknown = UNKNOWN.search(reason)
    steps = [step for step in path.split(".") if step]
    if unknown is not None:
        known = known_keys(steps)
        near = difflib.get_close_matches(unknown["key"], known, 1, 0.5)
        hint = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(sorted(known))}"
        return f"{'.'.join([*steps, unknown['key']])}: unknown; {hint}"
    for step in steps:
        value = value.get(step) if isinstance(value, dict) else None
    shown = msgspec.json.encode(value).decode()
    shown = shown if len(shown) <= SHOWN else shown[:SHOWN] + "..."
    return f"{'.'.join(steps) or 'the file'}: {shown} cannot be used: {reason[:1].lower()}{reason[1:]}"


def known_keys(steps: list[str]) -> list[str]:
    """Give the keys that the structure at a path has."""
    here: Any = File
    for step in steps:
        here = get_type_hints(here).get(step, here)
    return list(here.__struct_fields__)


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """Name the fields in which two settings differ, with both values: what a reload changes."""
    found = []
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        where = f"{path}.{name}" if path else name
        if isinstance(before, msgspec.Struct):
            found += differences(before, after, where)
        elif before != after:
            found.append(f"{where} {before} -> {after}")
    return found


def schema() -> bytes:
    """Give the file's JSON schema."""
    whole = msgspec.json.schema(File)
    return msgspec.json.format(msgspec.json.encode(whole, order="sorted"), indent=2) + b"\n"
