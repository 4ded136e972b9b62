"""``petrelhall SUBCOMMAND``."""

from __future__ import annotations

import click

from petrelhall.cli.capacity import capacity
from petrelhall.cli.check import check
from petrelhall.cli.config import config
from petrelhall.cli.demo import demo
from petrelhall.cli.drill import drill
from petrelhall.cli.members import members
from petrelhall.cli.policy import policy
from petrelhall.cli.quota import quota
from petrelhall.cli.scale import scale
from petrelhall.cli.schema import schema
from petrelhall.cli.shift import shift
from petrelhall.cli.soak import soak
from petrelhall.cli.standin import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(package_name="petrelhall")
def main() -> None:
    """Tools round the petrelhall gateway.

    \b
    Exit codes: 0 done, 1 it found what it looks for (a failed check), 2 unusable input.
    The gateway itself is `python -m petrelhall`.
    """


for command in (capacity, check, config, demo, drill, members, policy, quota, scale, schema, shift, soak, standin):
    main.add_command(command)
