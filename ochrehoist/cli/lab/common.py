"""What the commands of `lab` share: errors, scenarios, progress, and the lines of a run."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from ochrehoist.cli.common import ExitCode, fail, handles_errors

if TYPE_CHECKING:
    from ochrehoist.lab.scenario import Scenario

SCENARIOS = Path(__file__).parent.parent.parent / "lab" / "scenarios"
MISSING_LIBRARIES = "the laboratory's libraries are missing: install them by `pip install 'ochrehoist[plan]'`"


@handles_errors
def handles_lab_errors(error: BaseException) -> None:
    """Ends a command with a line for each fault that can be named."""
    if isinstance(error, ModuleNotFoundError):
        fail(MISSING_LIBRARIES, ExitCode.INVALID_INPUT)
    from ochrehoist.lab.errors import RunAbortedError
    from ochrehoist.lab.scenario import ScenarioError

    if isinstance(error, ScenarioError):
        fail(str(error), ExitCode.INVALID_INPUT)
    if isinstance(error, (RunAbortedError, OSError)):
        fail(str(error), ExitCode.FAILED)
    if isinstance(error, KeyboardInterrupt):
        fail("broken off; all processes of the play are ended", ExitCode.FAILED)


def load_scenario(name: str) -> Scenario:
    """The scenario of a file, or of the list that comes with the program.

    Raises:
        ScenarioError: It cannot be used.
        OSError: It cannot be read.
    """
    from ochrehoist.lab.scenario import load

    path = Path(name)
    listed_path = SCENARIOS / f"{name}.toml"
    return load(listed_path if not path.exists() and listed_path.exists() else path)


@contextmanager
def progress_bar(title: str, total: float) -> Iterator[Callable[[float], None]]:
    """A bar on standard error; its call takes how much is done."""
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(title, total=total)
        yield lambda done: progress.update(task, completed=done)


def silence_asyncio() -> None:
    """Connections that faults cut are no news."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def print_violations(record: Mapping[str, Any]) -> None:
    """The invariants that a run violated, a line each."""
    for line in record["broken"]:
        click.echo(f"  seed {record['seed']}: {line}")


def exit_by_violations(count: int) -> NoReturn:
    """Ends the command: with 1 where anything was violated."""
    raise click.exceptions.Exit(ExitCode.FAILED if count else ExitCode.OK)
