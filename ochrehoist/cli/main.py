"""The commands of the program. They end with 0 for yes, 1 for no, 2 where they were called or configured
wrongly, and 3 where something is damaged.
"""

import json
import time
from pathlib import Path

import click

from ochrehoist.cli import peers, recovery, sites
from ochrehoist.cli.lab import lab
from ochrehoist.cli.plan import plan
from ochrehoist.cli.state import state
from ochrehoist.config import loader as configuration
from ochrehoist.config.json_reader import MAX_SINGLE_STEP_CHARS
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.operator_server import call_operator_api

NO, WRONG = 1, 2


class Commands(click.Group):
    """A fault of the configuration is told in one line, and names the key."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except InvalidInputError as error:
            click.echo(f"ochrehoist: {error}", err=True)
            ctx.exit(WRONG)


@click.group(
    cls=Commands,
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


def _asked(path: str | None, method: str, target: str) -> tuple[bool, str]:
    config = configuration.load(path)
    if config.admin_address is None:
        raise InvalidInputError("setting admin: missing")
    try:
        return call_operator_api(config.admin_address, method, target)
    except OSError as error:
        click.echo(f"ochrehoist: no answer from the worker: {error}", err=True)
        raise click.exceptions.Exit(NO) from None


@main.command(epilog="Example: ochrehoist status --every 2")
@click.option("--every", metavar="SECONDS", type=float, help="Go on asking, a line each time.")
@click.pass_context
def status(ctx: click.Context, every: float | None) -> None:
    """Ask the running worker how it is, and whether it is ready to serve."""
    while True:
        yes, text = _asked(ctx.obj, "GET", "/status")
        if every is None:
            click.echo(text, nl=False)
            ctx.exit(0 if yes else NO)
        values = json.loads(text)
        flat = (f"{key}={value}" for key, value in values.items() if not isinstance(value, dict))
        click.echo(" ".join([time.strftime("%H:%M:%S"), *flat]))
        try:
            time.sleep(max(0.1, every))
        except KeyboardInterrupt:
            return


def _call(name: str, method: str, target: str, about: str) -> None:
    @main.command(name, help=about)
    @click.pass_context
    def call(ctx: click.Context) -> None:
        yes, text = _asked(ctx.obj, method, target)
        click.echo(text, nl=False)
        ctx.exit(0 if yes else NO)


_call("metrics", "GET", "/status/metrics", "Ask the running worker for its figures.")
_call("standby", "POST", "/standby", "Empty it: checks turn bad, what still comes is answered as ever.")
_call("active", "POST", "/active", "Let it take clients again.")
main.add_command(state)
main.add_command(plan)
main.add_command(peers.commands(_asked))
main.add_command(sites.commands(_asked))
main.add_command(recovery.commands(_asked))
main.add_command(lab)
