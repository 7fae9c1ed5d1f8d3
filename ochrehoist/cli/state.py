"""`ochrehoist state`: the folder in which a worker keeps what survives it."""

import json
import sys
import time
from pathlib import Path

import click

from ochrehoist.cli.common import DAMAGED, NO, end, stops
from ochrehoist.config import loader as configuration
from ochrehoist.errors import InvalidInputError

FOLDER = click.option(
    "--folder",
    metavar="DIR",
    type=click.Path(path_type=Path),
    help="The folder; else [state] folder of the configuration.",
)


@stops
def _stops(error: Exception) -> None:
    """What can't be done is told in one line, with what to do."""
    from ochrehoist.store.disk import Failed, Held
    from ochrehoist.store.tool import StoreMissingError
    from ochrehoist.store.transfer import Unusable

    if isinstance(error, Held):
        _no(f"in use by {error}; stop that worker first")
    if isinstance(error, (StoreMissingError, Unusable)):
        _no(str(error))
    if isinstance(error, (Failed, OSError)):
        _no(f"{error}; nothing was changed")


def _no(text: str) -> None:
    end(text, NO)


def _folder(ctx: click.Context, folder: Path | None) -> tuple[Path, int]:
    """The folder, and the longest window of the settings where there are any."""
    if folder is not None:
        return folder, 0
    config = configuration.load(ctx.obj)
    if config.state is None:
        raise InvalidInputError("setting state.folder: missing; or name one by --folder")
    return Path(config.state.folder), max(c.idempotency_window_ns for c in config.settings.classes)


@click.group()
def state() -> None:
    """Look at, check, move and compact what survives a restart."""


@state.command(epilog="Example: ochrehoist state show --json | jq .filings")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_context
@_stops
def show(ctx: click.Context, folder: Path | None, as_json: bool) -> None:
    """What is kept; also beside a running worker."""
    from ochrehoist.store.clock import stamp_now
    from ochrehoist.store.tool import show as shown

    values = shown(_folder(ctx, folder)[0], stamp_now())
    if as_json:
        return click.echo(json.dumps(values))
    for name, value in values.items():
        click.echo(f"{name:15} {', '.join(value) if isinstance(value, list) else value}")


@state.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_context
@_stops
def check(ctx: click.Context, folder: Path | None, as_json: bool) -> None:
    """Read all of it and say what is wrong; also beside a running worker. Ends with 3 where something is."""
    from ochrehoist.store.tool import check as checked

    found = checked(_folder(ctx, folder)[0])
    click.echo(json.dumps({"found": found}) if as_json else "\n".join(found) or "sound")
    ctx.exit(DAMAGED if found else 0)


@state.command(epilog="Example: ochrehoist --config site.toml state init")
@FOLDER
@click.pass_context
@_stops
def init(ctx: click.Context, folder: Path | None) -> None:
    """Make an empty store, for a worker whose configuration says that one must exist."""
    from ochrehoist.store.clock import stamp_now
    from ochrehoist.store.tool import begin

    where, longest = _folder(ctx, folder)
    begin(where, longest, stamp_now())
    click.echo(f"{where}: an empty store")


@state.command("export", epilog="Example: ochrehoist state export /media/stick/filings.jsonl")
@FOLDER
@click.argument("file")
@click.pass_context
@_stops
def export_(ctx: click.Context, folder: Path | None, file: str) -> None:
    """Write the store of a stopped worker to FILE (- for standard output), as JSON Lines."""
    from ochrehoist.store.clock import stamp_now
    from ochrehoist.store.disk import write_whole
    from ochrehoist.store.tool import exported
    from ochrehoist.store.transfer import export_lines

    moved = exported(_folder(ctx, folder)[0], stamp_now())
    data = b"".join(export_lines(moved))
    if file == "-":
        sys.stdout.buffer.write(data)
    else:
        write_whole(Path(file), data)
    click.echo(
        f"{len(moved.filings)} filings; do not start the worker here again once they are imported "
        "elsewhere: each would let them run",
        err=True,
    )


@state.command("import", epilog="Example: ochrehoist --config site.toml state import filings.jsonl")
@FOLDER
@click.argument("file")
@click.pass_context
@_stops
def import_(ctx: click.Context, folder: Path | None, file: str) -> None:
    """Take an export from FILE (- for standard input) into the folder of a stopped worker."""
    from ochrehoist.store.clock import stamp_now
    from ochrehoist.store.tool import take_in
    from ochrehoist.store.transfer import read_lines

    data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    where, longest = _folder(ctx, folder)
    before, after = take_in(where, read_lines(data.splitlines()), longest, stamp_now())
    click.echo(f"{before} filings before, {after} now")


@state.command()
@FOLDER
@click.pass_context
@_stops
def compact(ctx: click.Context, folder: Path | None) -> None:
    """Write the store of a stopped worker anew, without what is over."""
    from ochrehoist.store.clock import stamp_now
    from ochrehoist.store.tool import show as shown
    from ochrehoist.store.tool import take_in

    where, longest = _folder(ctx, folder)
    began, size = time.monotonic(), shown(where, stamp_now())["bytes"]
    before, after = take_in(where, None, longest, stamp_now())
    click.echo(
        f"{before} filings before, {after} now; {size} bytes before, "
        f"{shown(where, stamp_now())['bytes']} now, in {time.monotonic() - began:.1f} s"
    )
