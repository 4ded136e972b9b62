"""Reads the operators' file, all or nothing, and says in one line what is wrong with one that cannot be used."""

from __future__ import annotations

import difflib
import itertools
import re
import types
from typing import Any, get_args, get_type_hints

import msgspec

from petrelhall.operator.settings import File, Links, Shift

AT = re.compile(r" - at `\$(?P<path>[^`]*)`$")
UNKNOWN = re.compile(r"unknown field `(?P<key>[^`]*)`")
MOST_BYTES = 1024 * 1024
STEPS = re.compile(r"(?:[^.\[]|\[[^\]]*\])+")  # of a path, each with its place in a list or among names
STEP = re.compile(r"[^\[\]]+|\[[^\]]*\]")  # of a path: a key, or a place in a list
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
    shares = {
        name: part.share
        for name, part in (("members", file.members), ("quota", file.quota), ("accord", file.accord))
        if part.on
    }
    if sum(shares.values()) > 0.9:
        raise OperatorError(
            " and ".join(f"{name}.share, {share:g}" for name, share in shares.items())
            + ": together they leave the other parts less than a tenth of the messages"
        )
    for reason in (
        contradictions(file.links) + (unfit(file.shift) if file.shift is not None else []) + unlearnable(file)
    ):
        raise OperatorError(reason)
    return file


def unlearnable(file: File) -> list[str]:
    """Give what keeps a gateway from learning as its file says."""
    distribution = file.distribution
    found = []
    for place, text in enumerate(distribution.distributors):
        if not 0 < int(text.rpartition(":")[2]) < 65536:
            found.append(f"distribution.distributors[{place}]: {text!r} has no port")
        if distribution.distributors.index(text) != place:
            found.append(f"distribution.distributors[{place}]: {text!r} is there twice")
    if distribution.on and not distribution.distributors:
        found.append("distribution.distributors: none, and distribution.on is true")
    if distribution.on and file.accord.on:
        found.append("distribution.on: true beside accord.on; one of them brings the shared part")
    return found


def unfit(shift: Shift) -> list[str]:
    """Give what is wrong with pools and a move that are each well formed."""
    found = []
    names = [pool.name for pool in shift.pools]
    for number, pool in enumerate(shift.pools):
        where = f"shift.pools[{number}]"
        if names.index(pool.name) != number:
            found.append(f"{where}.name: {pool.name!r} is there twice")
        if (pool.kind, pool.zone, pool.cell, pool.id) == (None, None, None, None):
            found.append(f"{where}: states no condition, so it would hold every box")
        if pool.id is not None:
            try:
                re.compile(pool.id)
            except re.error as error:
                found.append(f"{where}.id: {pool.id!r} is no regular expression: {error}")
    if shift.default and shift.default not in names:
        found.append(f"shift.default: {shift.default!r} is none of the pools: {', '.join(names)}")
    move = shift.move
    if move is None:
        return found
    for field in ("source", "target"):
        if getattr(move, field) not in names:
            found.append(f"shift.move.{field}: {getattr(move, field)!r} is none of the pools: {', '.join(names)}")
    if move.source == move.target:
        found.append(f"shift.move.target: {move.target!r} is the source as well")
    if move.worse.accepted < move.worse.tolerated:
        found.append(
            f"shift.move.worse.accepted: {move.worse.accepted:g} is below shift.move.worse.tolerated, "
            f"{move.worse.tolerated:g}"
        )
    shares = [step.share for step in move.steps]
    if any(later <= earlier for earlier, later in itertools.pairwise(shares)):
        found.append(f"shift.move.steps: shares must rise, not {shares}")
    for number, window in enumerate(move.closed):
        if window.end_s <= window.start_s:
            found.append(f"shift.move.closed[{number}]: ends before it starts")
    return found


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
        found.append(
            f"links.stale.proven_ms: {links.stale.proven_ms:g} is above links.stale.idle_ms, "
            f"{links.stale.idle_ms:g}"
        )
    return found


def explain(message: str, value: Any, whole: Any = File) -> str:
    """Word msgspec's complaint for whoever wrote the file: path, value, reason, nearest known key."""
    place = AT.search(message)
    path = place["path"] if place else ""
    reason = AT.sub("", message)
    unknown = UNKNOWN.search(reason)
    steps = STEPS.findall(path)
    if unknown is not None:
        known = known_keys(steps, whole)
        near = difflib.get_close_matches(unknown["key"], known, 1, 0.5)
        hint = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(sorted(known))}"
        return f"{'.'.join([*steps, unknown['key']])}: unknown; {hint}"
    for part in (part for step in steps for part in STEP.findall(step)):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.startswith("["):
            value = None if part == "[...]" else value[int(part[1:-1])]
    shown = msgspec.json.encode(value).decode()
    shown = shown if len(shown) <= SHOWN else shown[:SHOWN] + "..."
    return f"{'.'.join(steps) or 'the file'}: {shown} cannot be used: {reason[:1].lower()}{reason[1:]}"


def known_keys(steps: list[str], whole: Any = File) -> list[str]:
    """Give the keys that the structure at a path has."""
    here: Any = whole
    for step in steps:
        here = get_type_hints(here).get(step.partition("[")[0], here)
        while not hasattr(here, "__struct_fields__"):  # optional, several of them, or by name
            here = next(part for part in get_args(here) if part not in (types.NoneType, ..., str))
    return list(here.__struct_fields__)


def differences(old: Any, new: Any, path: str = "") -> list[str]:
    """Name the fields in which two settings differ, with both values: what a reload changes."""
    found = []
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        where = f"{path}.{name}" if path else name
        if isinstance(before, msgspec.Struct) and isinstance(after, msgspec.Struct):
            found += differences(before, after, where)
        elif before != after:
            found.append(f"{where} {before} -> {after}")
    return found


def schema() -> bytes:
    """Give the file's JSON schema."""
    whole = msgspec.json.schema(File)
    return msgspec.json.format(msgspec.json.encode(whole, order="sorted"), indent=2) + b"\n"
