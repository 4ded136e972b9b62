"""``petrelhall schema``: the JSON schema of the operators' file."""

from __future__ import annotations

import sys

import click

from petrelhall.operator.file import schema as text


@click.command()
@click.option(
    "--check",
    "held",
    type=click.Path(exists=True, dir_okay=False),
    help="compare with this file instead of printing; exit code 1 where it differs",
)
def schema(held: str | None) -> None:
    """Print the JSON schema of the operators' file.

    \b
    Example: petrelhall schema > deploy/operator.schema.json
    """
    if held is None:
        sys.stdout.buffer.write(text())
        return
    with open(held, "rb") as file:
        if file.read() != text():
            click.echo(f"petrelhall: {held} is not the schema of this version", err=True)
            sys.exit(1)
