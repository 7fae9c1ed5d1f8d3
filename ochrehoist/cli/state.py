"""`ochrehoist state`: the folder in which a worker keeps what survives it."""

import json
import sys
import time
from pathlib import Path

import click

from ochrehoist.cli.common import ExitCode, fail, handles_errors
from ochrehoist.config import loader as configuration
from ochrehoist.errors import InvalidInputError

FOLDER = click.option(
    "--folder",
    metavar="DIR",
    type=click.Path(path_type=Path),
    help="The folder; else [state] folder of the configuration.",
)


@handles_errors
def _handles_store_errors(error: BaseException) -> None:
    """Ends a command with a line that says what could not be done, and what to do."""
    from ochrehoist.store.errors import (
        InvalidExportError,
        StoreFailedError,
        StoreLockedError,
        StoreMissingError,
    )

    if isinstance(error, StoreLockedError):
        fail(f"in use by {error}; stop that worker first", ExitCode.FAILED)
    if isinstance(error, (StoreMissingError, InvalidExportError)):
        fail(str(error), ExitCode.FAILED)
    if isinstance(error, (StoreFailedError, OSError)):
        fail(f"{error}; nothing was changed", ExitCode.FAILED)


def _folder(ctx: click.Context, folder: Path | None) -> tuple[Path, int]:
    """The folder, and the longest window of the settings where there are any."""
    if folder is not None:
        return folder, 0
    config = configuration.load(ctx.obj)
    if config.state is None:
        text = "setting state.folder: missing; or name one by --folder"
        raise InvalidInputError(text)
    return Path(config.state.folder), max(c.idempotency_window_ns for c in config.settings.classes)


@click.group()
def state() -> None:
    """Look at, check, move and compact what survives a restart."""


@state.command(epilog="Example: ochrehoist state show --json | jq .filings")
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_context
@_handles_store_errors
def show(ctx: click.Context, folder: Path | None, as_json: bool) -> None:
    """What is kept; also beside a running worker."""
    from ochrehoist.store.maintenance import describe_store
    from ochrehoist.store.timestamps import current_timestamp

    values = describe_store(_folder(ctx, folder)[0], current_timestamp())
    if as_json:
        click.echo(json.dumps(values))
        return
    for name, value in values.items():
        click.echo(f"{name:15} {', '.join(value) if isinstance(value, list) else value}")


@state.command()
@FOLDER
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
@click.pass_context
@_handles_store_errors
def check(ctx: click.Context, folder: Path | None, as_json: bool) -> None:
    """Read all of it and say what is wrong; also beside a running worker. Ends with 3 where something is."""
    from ochrehoist.store.maintenance import verify_store

    found = verify_store(_folder(ctx, folder)[0])
    click.echo(json.dumps({"found": found}) if as_json else "\n".join(found) or "sound")
    ctx.exit(ExitCode.DAMAGED if found else 0)


@state.command(epilog="Example: ochrehoist --config site.toml state init")
@FOLDER
@click.pass_context
@_handles_store_errors
def init(ctx: click.Context, folder: Path | None) -> None:
    """Make an empty store, for a worker whose configuration says that one must exist."""
    from ochrehoist.store.maintenance import initialize_store
    from ochrehoist.store.timestamps import current_timestamp

    where, longest = _folder(ctx, folder)
    initialize_store(where, longest, current_timestamp())
    click.echo(f"{where}: an empty store")


@state.command("export", epilog="Example: ochrehoist state export /media/stick/filings.jsonl")
@FOLDER
@click.argument("file")
@click.pass_context
@_handles_store_errors
def export_(ctx: click.Context, folder: Path | None, file: str) -> None:
    """Write the store of a stopped worker to FILE (- for standard output), as JSON Lines."""
    from ochrehoist.store.export import export_lines
    from ochrehoist.store.files import write_atomically
    from ochrehoist.store.maintenance import snapshot_store
    from ochrehoist.store.timestamps import current_timestamp

    snapshot = snapshot_store(_folder(ctx, folder)[0], current_timestamp())
    data = b"".join(export_lines(snapshot))
    if file == "-":
        sys.stdout.buffer.write(data)
    else:
        write_atomically(Path(file), data)
    click.echo(
        f"{len(snapshot.requests)} filings; do not start the worker here again once they are imported "
        "elsewhere: each would let them run",
        err=True,
    )


@state.command("import", epilog="Example: ochrehoist --config site.toml state import filings.jsonl")
@FOLDER
@click.argument("file")
@click.pass_context
@_handles_store_errors
def import_(ctx: click.Context, folder: Path | None, file: str) -> None:
    """Take an export from FILE (- for standard input) into the folder of a stopped worker."""
    from ochrehoist.store.export import read_export
    from ochrehoist.store.maintenance import import_snapshot
    from ochrehoist.store.timestamps import current_timestamp

    data = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    where, longest = _folder(ctx, folder)
    counts = import_snapshot(where, read_export(data.splitlines()), longest, current_timestamp())
    click.echo(f"{counts.before} filings before, {counts.after} now")


@state.command()
@FOLDER
@click.pass_context
@_handles_store_errors
def compact(ctx: click.Context, folder: Path | None) -> None:
    """Write the store of a stopped worker anew, without what is over."""
    from ochrehoist.store.maintenance import compact_store, describe_store
    from ochrehoist.store.timestamps import current_timestamp

    where, longest = _folder(ctx, folder)
    began = time.monotonic()
    size = describe_store(where, current_timestamp())["bytes"]
    counts = compact_store(where, longest, current_timestamp())
    click.echo(
        f"{counts.before} filings before, {counts.after} now; {size} bytes before, "
        f"{describe_store(where, current_timestamp())['bytes']} now, in {time.monotonic() - began:.1f} s"
    )
