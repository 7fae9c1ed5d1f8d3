"""What the groups of commands share: exit codes, errors that end in a line each, and views of a worker."""

import json
from collections.abc import Callable
from enum import IntEnum
from functools import wraps
from typing import Any, NoReturn, ParamSpec, TypeVar

import click

P = ParamSpec("P")
R = TypeVar("R")

# Calls the running worker of a configuration, by method and target: whether it agreed, and its answer.
CallWorker = Callable[[str | None, str, str], tuple[bool, str]]


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1  # the answer is no, or there is none
    INVALID_INPUT = 2  # called or configured wrongly
    DAMAGED = 3


def fail(text: str, code: ExitCode) -> NoReturn:
    """Says each line of the text on standard error, and ends the command."""
    for line in text.splitlines():
        click.echo(f"ochrehoist: {line}", err=True)
    raise click.exceptions.Exit(code)


def handles_errors(handler: Callable[[BaseException], None]) -> Callable[[Callable[P, R]], Callable[P, R]]:
    """Decorates commands whose errors the handler ends by `fail`; what it does not know is raised again."""

    def decorate(command: Callable[P, R]) -> Callable[P, R]:
        @wraps(command)
        def guarded(*args: P.args, **kwargs: P.kwargs) -> R:
            try:
                return command(*args, **kwargs)
            except (click.exceptions.Exit, click.ClickException, click.Abort):
                raise
            except (Exception, KeyboardInterrupt) as error:
                handler(error)
                raise

        return guarded

    return decorate


def print_worker_answer(
    call_worker: CallWorker, config_path: str | None, method: str, target: str
) -> NoReturn:
    """Prints what the running worker answers, and ends the command by whether it agreed."""
    agreed, text = call_worker(config_path, method, target)
    click.echo(text, nl=False)
    raise click.exceptions.Exit(ExitCode.OK if agreed else ExitCode.FAILED)


def add_show_command(
    group: click.Group,
    call_worker: CallWorker,
    table: str,
    help_text: str,
    format_lines: Callable[[dict[str, Any]], list[str]],
) -> None:
    """Adds `show`: the part of the running worker's status that a table of its file switches on."""

    @group.command(help=help_text, epilog=f"Example: ochrehoist --config site.toml {group.name} show --json")
    @click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
    @click.pass_context
    def show(context: click.Context, as_json: bool) -> None:
        _, text = call_worker(context.obj, "GET", "/status")
        view = json.loads(text).get(table)
        if view is None:
            fail(f"this worker has no [{table}] in its file", ExitCode.FAILED)
        click.echo(json.dumps(view, indent=1) if as_json else "\n".join(format_lines(view)))
