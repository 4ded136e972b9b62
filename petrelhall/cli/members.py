"""``petrelhall members``: what gateways know of each other, side by side."""

from __future__ import annotations

import sys
from typing import Any

import click
from rich.table import Table

from petrelhall.cli.ask import look_at_all
from petrelhall.cli.tell import OUT, as_json
from petrelhall.members.compare import clusters, disagreements

COLOURS = {"here": "green", "doubt": "yellow", "failed": "red", "left": "blue", "unknown": "dim"}


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "machine", is_flag=True, help="print JSON")
def members(addresses: tuple[str, ...], machine: bool) -> None:
    """Show what the gateways whose management listeners are at ADDRESSES know of each other.

    \b
    Example: petrelhall members 127.0.0.1:9101 127.0.0.1:9102
    Exit code 1 where any two disagree on a member, or a gateway gave no view.
    """
    views, failed = look_at_all(addresses, "members")
    seen = sorted(views.values(), key=lambda view: int(view["self"]))
    differ = disagreements(seen)
    if machine:
        as_json(
            {
                "views": seen,
                "unanswered": failed,
                "groups": clusters(seen),
                "disagreements": [str(one) for one in differ],
            }
        )
    else:
        if seen:
            OUT.print(table(seen))
        for one in differ:
            OUT.print(f"DISAGREE {one}", markup=False)
        for reason in failed.values():
            OUT.print(f"NO VIEW {reason}", markup=False)
        if seen and not differ:
            OUT.print(f"{len(seen)} gateway{'s' if len(seen) > 1 else ''} agree")
    sys.exit(1 if differ or failed else 0)


def table(views: list[dict[str, Any]]) -> Table:
    """Give a row a member, a column a gateway that was asked; below it whom that one hears both ways."""
    shown = Table(title="who says what of whom", show_footer=True)
    shown.add_column("member", footer="side")
    for view in views:
        side = view["side"]
        footer = f"{side['heard']} of {side['of']}{'' if side['majority'] else ', no majority'}"
        shown.add_column(f"{view['self']}{' (its view is old)' if view['view'] == 'old' else ''}", footer=footer)
    for place, row in enumerate(views[0]["members"]):
        cells = []
        for view in views:
            own = view["members"][place]
            mark = "" if own["trusted"] else " !"
            links = "" if view["self"] in own["heard_by"] or view["self"] == own["number"] else " (not heard)"
            cells.append(f"[{COLOURS[own['state']]}]{own['state']}[/]{mark}{links}")
        shown.add_row(f"{row['number']} {row['name']}", *cells)
    return shown
