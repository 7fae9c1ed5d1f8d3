"""Options that commands of `plan` share, and errors that all of them end with.

The options of output and load are not passed to the commands: they are stored in the context, where `output`
and `load_fleet` look them up.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from ochrehoist.cli.common import ExitCode, fail, handles_errors

if TYPE_CHECKING:
    from ochrehoist.config.fleet_description import Fleet

Command = TypeVar("Command", bound=Callable[..., Any])

MISSING_LIBRARIES = "the planner's libraries are missing: install them by `pip install 'ochrehoist[plan]'`"
STORED_OPTIONS = "ochrehoist.plan"  # the key of the context's meta


@handles_errors
def handles_planner_errors(error: BaseException) -> None:
    """Ends a command with a line for each fault that can be named, and what to do."""
    if isinstance(error, KeyboardInterrupt):
        fail("stopped before anything was known", ExitCode.FAILED)
    if isinstance(error, ImportError):
        fail(f"{MISSING_LIBRARIES} ({error})", ExitCode.INVALID_INPUT)
    from ochrehoist.capture.records import InvalidCaptureError
    from ochrehoist.config.fleet_description import FleetDescriptionError
    from ochrehoist.plan.errors import UnanswerableQuestionError

    if isinstance(error, UnanswerableQuestionError):
        fail(f"no number can be given: {error}", ExitCode.FAILED)
    if isinstance(error, (FleetDescriptionError, InvalidCaptureError, OSError, ValueError)):
        fail(str(error), ExitCode.INVALID_INPUT)


class UsageProblemError(ValueError):
    """The arguments of a command do not go together; the text names them."""

    @classmethod
    def unknown_kind(cls, kind: str, kinds: list[str]) -> UsageProblemError:
        """The fleet has no machines of the kind."""
        return cls(f"--kind {kind}: no such kind; there are {kinds}")

    @classmethod
    def outage_out_of_range(cls) -> UsageProblemError:
        """The moments of the loss and the return."""
        return cls("--at and --back: after second 6, in this order, five before the end of --seconds")

    @classmethod
    def not_comparable(cls) -> UsageProblemError:
        """A fleet and a capture, or --on without captures."""
        return cls("compare two fleets, or two captures; --on goes with captures")


def _store_option(context: click.Context, option: click.Parameter, value: Any) -> None:
    context.meta.setdefault(STORED_OPTIONS, {})[option.name] = value


def stored_option(name: str) -> Any:
    """The value of an option of output or load; None where the command does not have it."""
    return click.get_current_context().meta.get(STORED_OPTIONS, {}).get(name)


def load_fleet(path: Path) -> Fleet:
    """The described fleet, at the load that --demand asks for.

    Raises:
        FleetDescriptionError: The description cannot be used.
        OSError: It cannot be read.
    """
    from ochrehoist.config.fleet_description import load

    fleet = load(path)
    demand = stored_option("demand")
    return fleet if demand is None else fleet.with_demand(demand)


fleet_argument = click.argument("fleet_path", metavar="FLEET", type=click.Path(path_type=Path))

demand_option = click.option(
    "--demand",
    type=float,
    callback=_store_option,
    expose_value=False,
    help="Load as a share of the capacity, not as described.",
)


def output_options(command: Command) -> Command:
    """The forms that an answer may take."""
    command = click.option(
        "--pictures",
        is_flag=True,
        expose_value=False,
        callback=_store_option,
        help="With --html: each picture as PNG beside it.",
    )(command)
    command = click.option(
        "--html",
        type=click.Path(path_type=Path),
        metavar="FILE",
        expose_value=False,
        callback=_store_option,
        help="Write a page with tables and pictures; it needs no network.",
    )(command)
    return click.option(
        "--json", "as_json", is_flag=True, expose_value=False, callback=_store_option, help="As JSON."
    )(command)


def run_options(command: Command) -> Command:
    """What is run: load, seeds, seconds and processes; and the forms of the answer."""
    command = demand_option(command)
    command = click.option("--jobs", default=-1, show_default=True, help="Processes; -1: one for each core.")(
        command
    )
    command = click.option(
        "--seconds",
        "duration_s",
        default=30.0,
        show_default=True,
        type=click.FloatRange(12, 3600),
        help="Of fleet time in each run; the first five are not counted.",
    )(command)
    command = click.option(
        "--seeds",
        "seed_count",
        default=4,
        show_default=True,
        type=click.IntRange(1, 1000),
        help="Runs, each with another draw; two or more give an interval.",
    )(command)
    return output_options(command)


def seed_numbers(count: int) -> range:
    """The seeds of so many runs."""
    return range(1, count + 1)
