"""``petrelhall check``: whether an operators' file can be used."""

from __future__ import annotations

import sys

import click

from petrelhall.cli.tell import OUT, as_json
from petrelhall.operator.file import OperatorError, differences, read
from petrelhall.operator.settings import File


@click.command()
@click.argument("file", type=click.Path())
@click.option("--against", type=click.Path(), help="another file: tell what would change from it to FILE")
@click.option("--json", "machine", is_flag=True, help="print JSON")
def check(file: str, against: str | None, machine: bool) -> None:
    """Check an operators' FILE as a gateway would at its start.

    \b
    Example: petrelhall check deploy/operator.json
    Exit codes: 0 it can be used, 1 it cannot, 2 no such file.
    """

    def load(path: str) -> File:
        try:
            return read(path)
        except OperatorError as error:
            if machine:
                as_json({"file": path, "usable": False, "reason": str(error)})
            else:
                click.echo(f"petrelhall: {error}", err=True)
            sys.exit(2 if isinstance(error.__cause__, OSError) else 1)

    new = load(file)
    changes = differences(load(against) if against else File(), new)
    if machine:
        return as_json({"file": file, "usable": True, "changes": changes})
    OUT.print(f"{file}: can be used")
    for change in changes:
        OUT.print(f"  {change}", markup=False)
    if not changes:
        OUT.print("  all as in the other file" if against else "  all at its default")
