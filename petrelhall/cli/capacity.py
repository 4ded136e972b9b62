"""``petrelhall capacity``: what each part of a deployment spends at a given size, from measured slopes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.markup import escape
from rich.table import Table

from petrelhall.capacity.figures import Role
from petrelhall.capacity.missing import missing
from petrelhall.capacity.page import PageError, held, how_far, rate_rows, renewed, section
from petrelhall.capacity.records import Record, read_record
from petrelhall.capacity.sizes import Size, SizeError, checked
from petrelhall.capacity.tables import MISSES, RecordError, Tables, tables
from petrelhall.capacity.words import HEADINGS, cells
from petrelhall.cli.tell import OUT

WITHOUT_SOURCES = 5  # columns
RECORD = Path(__file__).resolve().parents[2] / "docs" / "capacity" / "slopes.json"


def size_options(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command an option for each field of a size."""
    described = msgspec.json.schema(Size)["$defs"]["Size"]["properties"]
    for name, properties in reversed(described.items()):
        command = click.option(
            f"--{name.replace('_', '-')}",
            type=float if properties["type"] == "number" else int,
            default=properties["default"],
            show_default=True,
            help=properties["description"],
        )(command)
    return command


@click.command()
@size_options
@click.option("--record", type=click.Path(path_type=Path), default=RECORD, help="slopes; else those of the docs")
@click.option("--sources", is_flag=True, help="also print the slopes and what carries each figure")
@click.option("--json", "machine", is_flag=True, help="print JSON")
@click.option("--markdown", is_flag=True, help="print the generated section of docs/CAPACITY.md")
@click.option(
    "--check", "check_page", type=click.Path(path_type=Path), help="compare it with this page's; 1: it differs"
)
@click.option("--update", "update_page", type=click.Path(path_type=Path), help="write it into this page")
def capacity(
    record: Path,
    sources: bool,
    machine: bool,
    markdown: bool,
    check_page: Path | None,
    update_page: Path | None,
    **fields: Any,
) -> None:
    """Work out what each part of a deployment spends at a size, against its budget.

    \b
    Example: petrelhall capacity --gateways 500 --servers 4000 --requests-per-second 40000
    Exit code 1 where --check finds a page that differs; 2 for a size or a record that is unusable.
    """
    if sum((machine, markdown, check_page is not None, update_page is not None)) > 1:
        raise click.UsageError("--json, --markdown, --check and --update: one of them")
    try:
        slopes = read_record(record)
        worked_out = tables(slopes, checked(Size(**fields)))
    except SizeError as error:
        refuse(f"size: {error}")
    except (RecordError, msgspec.ValidationError, msgspec.DecodeError) as error:
        refuse(f"{record}: {error}")
    except OSError as error:
        refuse(f"{record}: {error.strerror}")
    if machine:
        sys.stdout.buffer.write(msgspec.json.format(msgspec.json.encode(worked_out), indent=2) + b"\n")
    elif markdown:
        click.echo(section(slopes, worked_out), nl=False)
    elif check_page is not None:
        check(check_page, slopes, worked_out)
    elif update_page is not None:
        page = read_page(update_page)
        update_page.write_text(renewed(page, section(slopes, worked_out)), encoding="utf-8")
    else:
        show(worked_out, sources)


def refuse(reason: str) -> None:
    """End with exit code 2 and one line."""
    click.echo(f"petrelhall: {reason}", err=True)
    sys.exit(2)


def read_page(path: Path) -> str:
    """Read a page that has a generated section; else end with exit code 2."""
    try:
        page = path.read_text(encoding="utf-8")
        held(page)
    except OSError as error:
        refuse(f"{path}: {error.strerror}")
    except (PageError, UnicodeDecodeError) as error:
        refuse(f"{path}: {error}")
    return page


def check(path: Path, record: Record, worked_out: Tables) -> None:
    """End with exit code 1 where a page's generated section is not what the record and this version give."""
    if held(read_page(path)) != section(record, worked_out):
        click.echo(f"petrelhall: {path}: its tables are not those of the record; renew them with --update", err=True)
        sys.exit(1)


def show(worked_out: Tables, sources: bool) -> None:
    """Print the tables for a person."""
    headings, rows = rate_rows(worked_out)
    OUT.print(a_table("rates", headings, rows))
    shown = len(HEADINGS) if sources else WITHOUT_SOURCES
    for role in Role:
        figures = worked_out.of(role)
        rows = [cells(figure, worked_out.ordinary)[:shown] for figure in figures]
        styles = ["red" if figure.verdict == MISSES else "" for figure in figures]
        OUT.print(a_table(role.value, HEADINGS[:shown], rows, styles))
    OUT.print("missing mechanisms, by how far what runs today misses:")
    for place, one in enumerate(missing(worked_out), 1):
        OUT.print(f"{place}. {one.name}: {how_far(one)}", markup=False)


def a_table(
    title: str, headings: tuple[str, ...], rows: list[tuple[str, ...]], styles: list[str] | None = None
) -> Table:
    """Make a table for the terminal."""
    made = Table(title=title)
    for heading in headings:
        made.add_column(heading)
    for place, row in enumerate(rows):
        made.add_row(*(escape(cell) for cell in row), style=styles[place] if styles else "")
    return made
