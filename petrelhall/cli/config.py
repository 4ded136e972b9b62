"""``petrelhall config``: the distributed configuration, shown and changed; files of control processes checked."""

from __future__ import annotations

import json
import socket
import struct
import sys
import time
import uuid
from collections.abc import Iterator
from typing import Any

import click
import msgspec
from rich.table import Table

from petrelhall.cli.ask import address
from petrelhall.cli.tell import OUT, as_json
from petrelhall.configuration.versions import Entry
from petrelhall.distribution.messages import (
    Message,
    MessageError,
    Outcome,
    Status,
    StatusRequest,
    Submit,
    decode,
    encode,
)
from petrelhall.replica.settings import ControlFileError, read
from petrelhall.replica.settings import schema as control_schema

WAIT_S = 3.0
AGAIN_S = 0.1
HEADER = struct.Struct(">I")
IN_FORCE, REFUSED, NOT_KNOWN = 0, 1, 3  # exit codes
ENDS = {"in force": IN_FORCE, "refused": REFUSED}
WHERE = click.argument("addresses", nargs=-1, required=True)
MACHINE = click.option("--json", "machine", is_flag=True, help="print JSON")


class Unanswered(Exception):
    """A control process that gave no answer that could be used; the text says why."""


@click.group()
def config() -> None:
    """The configuration that control replicas decide and distributors bring to the gateways.

    \b
    Example: petrelhall config status 127.0.0.1:9301 127.0.0.1:9302 127.0.0.1:9303
    ADDRESSES are those of control replicas and distributors. A control process itself is
    `python -m petrelhall.replica FILE`.
    """


@config.command()
@WHERE
@MACHINE
def status(addresses: tuple[str, ...], machine: bool) -> None:
    """Show versions and their ages, and which gateways hold no lease on the version in force.

    \b
    Example: petrelhall config status 127.0.0.1:9301 127.0.0.1:9302 127.0.0.1:9401
    Exit code 1 where a process gave no answer, none coordinates, versions differ or a gateway is missing.
    """
    views, failed = look_at_all(addresses)
    leaders = [view for view in views.values() if view.get("leads")]
    versions = {view["active"]["version"] for view in views.values()}
    missing = [one for view in leaders for one in view["missing"]]
    wrong = bool(failed or missing) or len(leaders) != 1 or len(versions) > 1
    if machine:
        as_json({"views": views, "unanswered": failed, "missing": missing, "agree": not wrong})
    else:
        show(views, failed, leaders, missing)
    sys.exit(1 if wrong else 0)


@config.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@WHERE
@click.option("--remove", "removed", multiple=True, help="entry to take out; may be given several times")
@click.option("--change", help="identifies the change: repeated with the same, it is made once")
@click.option("--base", type=click.IntRange(0), help="version it is made for; else whichever is active")
@click.option(
    "--wait", default=10.0, show_default=True, type=click.FloatRange(0.1, 3600.0), help="seconds to wait for the end"
)
@MACHINE
def put(
    file: str,
    addresses: tuple[str, ...],
    removed: tuple[str, ...],
    change: str | None,
    base: int | None,
    wait: float,
    machine: bool,
) -> None:
    """Put the entries of FILE (a JSON object, one value for each entry) in force on all gateways or on none.

    \b
    Example: petrelhall config put new.json 127.0.0.1:9301 127.0.0.1:9302 127.0.0.1:9303
    ADDRESSES are those of control replicas. Exit code 0 in force, 1 refused (with the reason), 2 unusable FILE,
    3 not known yet: ask again with the same --change.
    """
    submit = Submit(change or uuid.uuid4().hex, entries_of(file), removed, base)
    outcome, code = follow(submit, addresses, wait)
    if machine:
        as_json({"change": submit.change, **outcome})
    else:
        OUT.print(f"change {submit.change}: {outcome['state']}", markup=False)
        if outcome["reason"]:
            OUT.print(f"  {outcome['reason']}", markup=False)
    sys.exit(code)


@config.command()
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check the FILE of a control process as it would at its start.

    \b
    Example: petrelhall config check replica-0.json
    Exit code 2 where it cannot be used.
    """
    try:
        found = read(file)
    except ControlFileError as error:
        click.echo(f"petrelhall: {error}", err=True)
        sys.exit(2)
    OUT.print(f"{file}: can be used, {found.role} {found.number}", markup=False)


@config.command()
def schema() -> None:
    """Print the JSON schema of the file of a control process.

    \b
    Example: petrelhall config schema > control.schema.json
    """
    sys.stdout.buffer.write(control_schema())


def entries_of(path: str) -> tuple[Entry, ...]:
    """Read entries from a file (exit code 2 where it is none): text as it is, anything else as JSON."""
    try:
        with open(path, "rb") as file:
            values: dict[str, Any] = msgspec.json.decode(file.read(), type=dict[str, Any])
    except (OSError, msgspec.DecodeError) as error:
        click.echo(f"petrelhall: {path}: {error}", err=True)
        sys.exit(2)
    return tuple(
        Entry(key, value.encode() if isinstance(value, str) else msgspec.json.encode(value, order="sorted"))
        for key, value in values.items()
    )


def exchange(where: str, message: Message, wait_s: float) -> Iterator[Message]:
    """Send a message, and give the answers that come within a time (Unanswered)."""
    until = time.monotonic() + wait_s
    try:
        with socket.create_connection(address(where), timeout=wait_s) as sock:
            content = encode(message)
            sock.sendall(HEADER.pack(len(content)) + content)
            while (left := until - time.monotonic()) > 0.0:
                sock.settimeout(left)
                (size,) = HEADER.unpack(receive(sock, HEADER.size))
                yield decode(receive(sock, size))
    except (OSError, MessageError) as error:
        raise Unanswered(f"{where}: {error or type(error).__name__}") from error


def receive(sock: socket.socket, size: int) -> bytes:
    """Read so many bytes (OSError)."""
    found = b""
    while len(found) < size:
        data = sock.recv(size - len(found))
        if not data:
            raise ConnectionError("closed the connection")
        found += data
    return found


def look_at_all(addresses: tuple[str, ...]) -> tuple[dict[str, dict[str, Any]], dict[str, str]]:
    """Get the views of control processes; and of those that gave none, why."""
    views, failed = {}, {}
    for where in addresses:
        try:
            answer = next(exchange(where, StatusRequest(), WAIT_S))
        except Unanswered as error:
            failed[where] = str(error)
            continue
        if isinstance(answer, Status):
            views[where] = json.loads(answer.view)
        else:
            failed[where] = f"{where}: answered something else"
    return views, failed


def follow(submit: Submit, addresses: tuple[str, ...], wait_s: float) -> tuple[dict[str, Any], int]:
    """Ask one replica after the other until the end of a change is known or the time is up."""
    for where in addresses:
        address(where)
    until = time.monotonic() + wait_s
    latest: dict[str, Any] = {"state": "not known", "version": 0, "reason": "no replica coordinates"}
    while True:
        for where in addresses:
            try:
                for answer in exchange(where, submit, max(0.05, min(WAIT_S, until - time.monotonic()))):
                    if not isinstance(answer, Outcome) or answer.state == "elsewhere":
                        break
                    latest = {"state": answer.state, "version": answer.version, "reason": answer.reason}
                    if answer.state in ENDS:
                        return latest, ENDS[answer.state]
            except Unanswered:
                pass
            if time.monotonic() >= until:
                return latest, NOT_KNOWN
        time.sleep(AGAIN_S)


def show(
    views: dict[str, dict[str, Any]], failed: dict[str, str], leaders: list[dict[str, Any]], missing: list[Any]
) -> None:
    """Print the views for a person."""
    table = Table("address", "process", "version", "digest", "age", "staged", "term", "coordinator", "watches")
    for where, view in views.items():
        active = view["active"]
        table.add_row(
            where,
            f"{view['role']} {view[view['role']]}",
            str(active["version"]),
            active["digest"][:8],
            f"{active['age_ms'] / 1000.0:.1f} s",
            str(view["staged"] or "-"),
            str(view["term"]),
            "itself" if view.get("leads") else str(view["coordinator"]),
            str(view["watches"]),
        )
    OUT.print(table)
    for leader in leaders:
        held = ", ".join(f"{count} hold version {version}" for version, count in leader["versions"].items())
        OUT.print(f"gateways: {held or 'none heard of'}", markup=False)
    if not leaders:
        OUT.print("no replica coordinates: nothing changes, leases end")
    for one in missing:
        OUT.print(
            f"MISSING gateway {one['gateway']}: holds version {one['held']}, heard {one['heard_ms_ago']} ms ago",
            markup=False,
        )
    for reason in failed.values():
        OUT.print(f"NO ANSWER {reason}", markup=False)
