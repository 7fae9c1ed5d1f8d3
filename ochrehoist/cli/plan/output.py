"""What commands of `plan` print and write: progress, notes, tables, JSON, a page."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import click

from ochrehoist.cli.plan.options import stored_option

if TYPE_CHECKING:
    from ochrehoist.plan.report import Table

OUTPUT_WIDTH = 110  # of tables that no terminal shows


@contextmanager
def progress_bar() -> Iterator[Callable[[int, int], None]]:
    """A bar on standard error, where somebody looks; its call takes the runs that are done, of all."""
    from rich.console import Console
    from rich.progress import Progress

    bar = Progress(console=Console(stderr=True), transient=True, disable=stored_option("as_json"))
    task = bar.add_task("runs", total=None)
    with bar:
        yield lambda done, total: bar.update(task, completed=done, total=total or None)


def show_answer(
    question: str,
    title: str,
    answer: Mapping[str, Any],
    tables: Sequence[Table],
    notes: Sequence[str] = (),
) -> None:
    """The answer as tables or as JSON, and as a page where one is wanted; notes go to standard error too.

    `question` names the kind of answer, as ochrehoist.plan.pictures has it.
    """
    for line in notes:
        click.echo(f"ochrehoist: {line}", err=True)
    if stored_option("html"):
        _write_page(question, title, answer, tables, notes)
    if stored_option("as_json"):
        click.echo(json.dumps(answer, indent=1))
    else:
        _print_tables(tables)


def unfinished_notes(done: int, wanted: int, unit: str = "runs") -> list[str]:
    """A note where the user stopped the command before all was done."""
    return [] if done == wanted else [f"stopped after {done} of {wanted} {unit}"]


def _write_page(
    question: str, title: str, answer: Mapping[str, Any], tables: Sequence[Table], notes: Sequence[str]
) -> None:
    from ochrehoist.plan import report

    command = click.get_current_context().command_path
    origin = f"by `{command}`; forecasts are no measurements"
    text = report.page(question, title, origin, answer, tables, notes)
    for path in report.save(stored_option("html"), text, question, answer, stored_option("pictures")):
        click.echo(f"ochrehoist: {path} written", err=True)


def _print_tables(tables: Sequence[Table]) -> None:
    from rich import table as rich_table
    from rich.console import Console

    from ochrehoist.plan.report import format_cell

    console = Console(width=None if sys.stdout.isatty() else OUTPUT_WIDTH)
    for title, heads, rows in tables:
        table = rich_table.Table(*heads, title=title, title_justify="left")
        for row in rows:
            table.add_row(*[format_cell(cell) for cell in row])
        console.print(table)
