"""What the groups of commands share: exit codes, errors that end in a line each, and views of a worker."""

import json
from collections.abc import Callable
from functools import wraps
from typing import Any

import click

NO, WRONG, DAMAGED = 1, 2, 3
Asked = Callable[[str | None, str, str], tuple[bool, str]]  # calls the running worker


def end(text: str, code: int) -> None:
    """Says each line of the text on standard error, and ends the command."""
    for line in text.splitlines():
        click.echo(f"ochrehoist: {line}", err=True)
    raise click.exceptions.Exit(code)


def stops(told: Callable[[BaseException], None]) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Commands whose errors `told` ends by what to do; what it knows nothing of goes on up."""

    def around(call: Callable[..., Any]) -> Callable[..., Any]:
        @wraps(call)
        def guarded(*args: Any, **more: Any) -> Any:
            try:
                return call(*args, **more)
            except (click.exceptions.Exit, click.ClickException, click.Abort):
                raise
            except (Exception, KeyboardInterrupt) as error:
                told(error)
                raise

        return guarded

    return around


def shows(
    group: click.Group, asked: Asked, table: str, about: str, lines: Callable[[dict[str, Any]], list[str]]
) -> None:
    """Adds `show`: the part of the running worker's status that a table of its file switches on."""

    @group.command(help=about, epilog=f"Example: ochrehoist --config site.toml {group.name} show --json")
    @click.option("--json", "plain", is_flag=True, help="All of it, as JSON.")
    @click.pass_context
    def show(ctx: click.Context, plain: bool) -> None:
        _, text = asked(ctx.obj, "GET", "/status")
        view = json.loads(text).get(table)
        if view is None:
            end(f"this worker has no [{table}] in its file", NO)
        click.echo(json.dumps(view, indent=1) if plain else "\n".join(lines(view)))
