"""What the groups of commands share: exit codes, and errors that end in a line each."""

from collections.abc import Callable
from functools import wraps
from typing import Any

import click

NO, WRONG, DAMAGED = 1, 2, 3


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
