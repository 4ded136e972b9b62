"""``petrelhall policy``: the policy that all gateways share, shown and changed everywhere or nowhere."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import click
from rich.live import Live
from rich.table import Table

from petrelhall.cli.ask import Unanswered, address, call, look_at_all
from petrelhall.cli.tell import OUT, as_json

POLL_S = 0.2
IN_FORCE, NOWHERE, NOT_KNOWN = 0, 1, 3  # exit codes
ENDS = {"in force": IN_FORCE, "nowhere": NOWHERE}
WHERE = click.argument("addresses", nargs=-1, required=True)
MACHINE = click.option("--json", "machine", is_flag=True, help="print JSON")
WAIT = click.option(
    "--wait",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0, 3600.0),
    help="seconds to wait for the end; 0: until it has been asked once",
)


@click.group()
def policy() -> None:
    """The policy that all gateways share.

    \b
    Example: petrelhall policy propose new.json 127.0.0.1:9101 127.0.0.1:9102 127.0.0.1:9103 --wait 10
    ADDRESSES are management listeners of gateways; the first that answers is asked, the others are looked at.
    """


@policy.command()
@WHERE
@MACHINE
def show(addresses: tuple[str, ...], machine: bool) -> None:
    """Show what each gateway serves, since when it may, and who is owed a version.

    \b
    Example: petrelhall policy show 127.0.0.1:9101 127.0.0.1:9102
    Exit code 1 where gateways are on different versions, one does not serve, or one gave no view.
    """
    views, failed = look_at_all(addresses, "policy")
    versions = {view["version"] for view in views.values()}
    wrong = bool(failed) or len(versions) > 1 or any(view["state"] != "serving" for view in views.values())
    if machine:
        as_json({"views": list(views.values()), "unanswered": failed, "agree": not wrong})
    else:
        OUT.print(table(views))
        for reason in failed.values():
            OUT.print(f"NO VIEW {reason}", markup=False)
    sys.exit(1 if wrong else 0)


@policy.command()
@WHERE
@MACHINE
def history(addresses: tuple[str, ...], machine: bool) -> None:
    """Show the versions decided so far, and the changes that were asked for at each gateway.

    \b
    Example: petrelhall policy history 127.0.0.1:9101
    """
    views, failed = look_at_all(addresses, "policy")
    if machine:
        as_json({where: {"history": view["history"], "changes": view["changes"]} for where, view in views.items()})
    else:
        rows = {row["version"]: row["digest"] for view in views.values() for row in view["history"]}
        shown = Table("version", "document", title="decided")
        for version, digest in sorted(rows.items(), reverse=True):
            shown.add_row(str(version), digest)
        OUT.print(shown)
        asked = Table("asked at", "for version", "document", "end", "took", "why", title="changes")
        for where, view in views.items():
            for row in view["changes"]:
                asked.add_row(
                    where, str(row["version"]), row["digest"][:8], row["state"], f"{row['took_ms']} ms", why(row)
                )
        OUT.print(asked)
    sys.exit(1 if failed else 0)


@policy.command()
@click.argument("file", type=click.Path(exists=True))
@WHERE
@click.option("--base", type=click.IntRange(0), help="version it is made for; else the one that is decided now")
@WAIT
@MACHINE
def propose(file: str, addresses: tuple[str, ...], base: int | None, wait: float, machine: bool) -> None:
    """Have FILE (the shared part of the operators' file, JSON) take hold on all gateways or on none.

    \b
    Example: petrelhall policy propose new.json 127.0.0.1:9101 127.0.0.1:9102 --wait 10
    Exit code 0 in force, 1 nowhere (reasons by gateway), 3 not known yet (`petrelhall policy status` asks again).
    """
    with open(file, "rb") as opened:
        body = opened.read()
    ask(addresses, "/control/policy?base={base}", body, base, wait, machine)


@policy.command()
@WHERE
@click.option("--base", type=click.IntRange(0), help="version to go back from; else the one that is decided now")
@WAIT
@MACHINE
def back(addresses: tuple[str, ...], base: int | None, wait: float, machine: bool) -> None:
    """Have the document before the last one take hold again, as a change like any other.

    \b
    Example: petrelhall policy back 127.0.0.1:9101 --wait 10
    """
    ask(addresses, "/control/policy/back?base={base}", b"", base, wait, machine)


@policy.command()
@click.argument("digest")
@WHERE
@WAIT
@MACHINE
def status(digest: str, addresses: tuple[str, ...], wait: float, machine: bool) -> None:
    """Say how a change ended that was asked for earlier, from what all these gateways know.

    \b
    Example: petrelhall policy status 9a3f... 127.0.0.1:9101 127.0.0.1:9102
    Exit code 0 in force, 1 nowhere, 3 not known yet.
    """
    follow(addresses, digest, None, wait, machine)


@policy.command()
@click.argument("digest")
@WHERE
@MACHINE
def abort(digest: str, addresses: tuple[str, ...], machine: bool) -> None:
    """Take a change back that has not been voted on; later it can only be followed by `back`.

    \b
    Example: petrelhall policy abort 9a3f... 127.0.0.1:9101
    """
    for where in addresses:
        answered(where, f"/control/policy/abort?digest={digest}")
    follow(addresses, digest, None, 0.0, machine)


@policy.command()
@WHERE
@MACHINE
def settle(addresses: tuple[str, ...], machine: bool) -> None:
    """Close the next version, so that a change whose end is not known has one; what is in force stays as it is.

    \b
    Example: petrelhall policy settle 127.0.0.1:9101
    """
    told = [answered(where, "/control/policy/settle") for where in addresses[:1]]
    if machine:
        as_json(told)


@policy.command()
@WHERE
@click.confirmation_option(prompt="Are all gateways that do not answer surely dead, and will they come back empty?")
def begin(addresses: tuple[str, ...]) -> None:
    """Begin anew with these gateways after a majority has been lost for good: your word that the others are dead.

    \b
    Example: petrelhall policy begin 127.0.0.1:9101 127.0.0.1:9102
    """
    for where in addresses:
        answered(where, "/control/policy/begin")


def ask(addresses: tuple[str, ...], path: str, body: bytes, base: int | None, wait: float, machine: bool) -> None:
    """Ask the first gateway that answers for a change, and follow it."""
    for where in addresses:
        address(where)
    reasons = []
    for where in addresses:
        try:
            if base is None:
                found = look_at_all((where,), "policy")[0].get(where)
                if found is None or found["version"] is None:
                    raise Unanswered(f"{where}: does not know what is in force")
                base = int(found["version"])
            status, content = call(where, "POST", path.format(base=base), body)
            told = json.loads(content)
        except (Unanswered, ValueError) as error:
            reasons.append(str(error))
            continue
        if status not in (200, 409) or "digest" not in told:
            raise click.UsageError(f"{where}: {told.get('error', f'answered {status}')}")
        return follow(addresses, told["digest"], int(told["version"]), wait, machine)
    raise click.UsageError("; ".join(reasons))


def follow(addresses: tuple[str, ...], digest: str, version: int | None, wait: float, machine: bool) -> None:
    """Look at all gateways until a change's end is known or the time is over; exit by it."""
    until = time.monotonic() + wait
    with Live(console=OUT, refresh_per_second=5, transient=True) as live:
        while True:
            views, _ = look_at_all(addresses, "policy")
            state, row = found_of(views, digest, version)
            if OUT.is_terminal and not machine:
                live.update(table(views, f"{digest[:8]}: {state}"))
            if state in ENDS or time.monotonic() >= until:
                break
            time.sleep(POLL_S)
    owed = sorted({number for view in views.values() if state == "in force" for number in view["owed"]})
    if machine:
        as_json(
            {
                "digest": digest,
                "version": row.get("version"),
                "state": state,
                "owed": owed,
                "reasons": row.get("reasons", {}),
            }
        )
    else:
        OUT.print(f"{digest}: {state}" + (f" as version {row['version']}" if state == "in force" else ""), markup=False)
        if why(row):
            OUT.print(why(row), markup=False)
        if owed:
            OUT.print(f"owed by {', '.join(map(str, owed))}: they serve nothing until they have it", markup=False)
        if state not in ENDS:
            OUT.print(f"ask again: petrelhall policy status {digest} {' '.join(addresses)}", markup=False)
    sys.exit(ENDS.get(state, NOT_KNOWN))


def found_of(views: dict[str, dict[str, Any]], digest: str, version: int | None) -> tuple[str, dict[str, Any]]:
    """Give a change's state and row from what gateways know: the end where any of them knows it."""
    rows = [
        row
        for view in views.values()
        for row in view["changes"]
        if row["digest"].startswith(digest) and version in (None, row["version"])
    ]
    for row in reversed(rows):
        if row["state"] in ENDS:
            return row["state"], row
    slots = {row["version"]: row for row in rows}
    for view in views.values():
        for entry in view["history"]:
            row = slots.get(entry["version"])
            if entry["digest"].startswith(digest) and (version in (None, entry["version"])):
                serving = view["state"] == "serving" and view["version"] >= entry["version"]
                return ("in force" if serving else "decided"), {**entry, "reasons": {}}
            if row is not None or entry["version"] == version:
                return "nowhere", row or {**entry, "reasons": {"-1": "another document was decided"}}
    return (rows[-1]["state"] if rows else "not known"), rows[-1] if rows else {}


def why(row: dict[str, Any]) -> str:
    """Word the reasons of a change's end."""
    return "; ".join(
        reason if number == "-1" else f"gateway {number}: {reason}" for number, reason in row.get("reasons", {}).items()
    )


def answered(where: str, path: str) -> dict[str, Any]:
    """Make a call that must be answered (click.ClickException)."""
    try:
        status, content = call(where, "POST", path)
        told: dict[str, Any] = json.loads(content) if status == 200 else {}
    except (Unanswered, ValueError) as error:
        raise click.ClickException(str(error)) from error
    if status != 200:
        raise click.ClickException(f"{where}: answered {status}")
    return told


def table(views: dict[str, dict[str, Any]], title: str = "policy") -> Table:
    """Give a row a gateway."""
    shown = Table(
        "gateway", "at", "version", "document", "state", "lease", "votes", "pending", "owed by", "why", title=title
    )
    for where, view in views.items():
        colour = {"serving": "green", "strictest": "yellow"}.get(view["state"], "red")
        pending = ", ".join(f"{row['digest'][:8]} {row['state']}" for row in view["pending"])
        shown.add_row(
            str(view["self"]),
            where,
            str(view["version"]),
            view["digest"][:8],
            f"[{colour}]{view['state']}[/]",
            f"{view['lease_ms']} ms",
            "yes" if view["votes"] else "",
            pending,
            ", ".join(map(str, view["owed"])),
            view["why"],
        )
    return shown
