"""The commands of the program; ExitCode says how they end."""

import json
import time
from pathlib import Path
from typing import Any

import click

from ochrehoist.cli import peers, recovery, sites
from ochrehoist.cli.common import ExitCode, print_worker_answer
from ochrehoist.cli.lab import lab
from ochrehoist.cli.plan import plan
from ochrehoist.cli.state import state
from ochrehoist.config import loader as configuration
from ochrehoist.config.json_reader import MAX_SINGLE_STEP_CHARS
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.operator_server import call_operator_api

MIN_STATUS_INTERVAL_S = 0.1


class ConfiguredGroup(click.Group):
    """Commands that end with one line, which names the key, where the configuration cannot be used."""

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command that was asked for."""
        try:
            return super().invoke(ctx)
        except InvalidInputError as error:
            click.echo(f"ochrehoist: {error}", err=True)
            ctx.exit(ExitCode.INVALID_INPUT)


@click.group(
    cls=ConfiguredGroup,
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Examples: `ochrehoist --config site.toml run`, `ochrehoist status --every 2`, "
    '`ochrehoist state show`. Shell completion: `eval "$(_OCHREHOIST_COMPLETE=bash_source '
    'ochrehoist)"` (or zsh_source, fish_source).',
)
@click.option(
    "--config",
    "path",
    metavar="FILE",
    type=click.Path(),
    help="Configuration: .toml (appliance) or .json (platform).",
)
@click.pass_context
def main(ctx: click.Context, path: str | None) -> None:
    """An admission-controlling worker. Without a command it serves, as with `run`."""
    ctx.obj = path
    if ctx.invoked_subcommand is None:
        ctx.exit(_serve(path))


def _serve(path: str | None) -> int:
    from ochrehoist.app.worker import serve  # only here: the other commands need none of it

    return serve(path)


@main.command()
@click.pass_context
def run(ctx: click.Context) -> None:
    """Serve in the foreground. Ctrl-C or SIGTERM drains, SIGHUP reads the configuration again."""
    ctx.exit(_serve(ctx.obj))


@main.command(epilog="Example: ochrehoist check deploy/ajp.toml")
@click.argument("file")
def check(file: str) -> None:
    """Read a configuration and say what is wrong, by the name of its key."""
    config = configuration.load(file)
    fronts = [name for name, on in (("Thrift", config.listen), ("AJP", config.ajp)) if on]
    routes = f", {len(config.ajp.routes)} routes" if config.ajp else ""
    click.echo(
        f"{file}: good; {config.name}, {len(config.settings.classes)} classes, "
        f"fronts: {', '.join(fronts)}; version {config.version}, "
        f"{len(config.settings.tenants)} tenants{routes}"
    )
    if config.source is None and Path(file).stat().st_size > MAX_SINGLE_STEP_CHARS:
        click.echo(
            "note: a change of this file is read as a whole, which takes a running worker seconds: "
            "write each tenant and route as a table, [[settings.Tenants]] and [[ajp.rules]], and use "
            "no three quotes"
        )


def _call_worker(path: str | None, method: str, target: str) -> tuple[bool, str]:
    """Calls the worker of a configuration: whether it agreed, and its answer."""
    config = configuration.load(path)
    if config.admin_address is None:
        text = "setting admin: missing"
        raise InvalidInputError(text)
    try:
        return call_operator_api(config.admin_address, method, target)
    except OSError as error:
        click.echo(f"ochrehoist: no answer from the worker: {error}", err=True)
        raise click.exceptions.Exit(ExitCode.FAILED) from None


@main.command(epilog="Example: ochrehoist status --every 2")
@click.option("--every", metavar="SECONDS", type=float, help="Go on asking, a line each time.")
@click.pass_context
def status(ctx: click.Context, every: float | None) -> None:
    """Ask the running worker how it is, and whether it is ready to serve."""
    if every is None:
        print_worker_answer(_call_worker, ctx.obj, "GET", "/status")
    while True:
        _, text = _call_worker(ctx.obj, "GET", "/status")
        click.echo(_status_line(json.loads(text)))
        try:
            time.sleep(max(MIN_STATUS_INTERVAL_S, every))
        except KeyboardInterrupt:
            return


def _status_line(status: dict[str, Any]) -> str:
    """The time of day and the plain values of a status."""
    plain = (f"{key}={value}" for key, value in status.items() if not isinstance(value, dict))
    return " ".join([time.strftime("%H:%M:%S"), *plain])


def _add_worker_command(name: str, method: str, target: str, help_text: str) -> None:
    """A command that prints what the running worker answers."""

    @main.command(name, help=help_text)
    @click.pass_context
    def call(ctx: click.Context) -> None:
        print_worker_answer(_call_worker, ctx.obj, method, target)


_add_worker_command("metrics", "GET", "/status/metrics", "Ask the running worker for its figures.")
_add_worker_command(
    "standby", "POST", "/standby", "Empty it: checks turn bad, what still comes is answered as ever."
)
_add_worker_command("active", "POST", "/active", "Let it take clients again.")
main.add_command(state)
main.add_command(plan)
main.add_command(peers.commands(_call_worker))
main.add_command(sites.commands(_call_worker))
main.add_command(recovery.commands(_call_worker))
main.add_command(lab)
