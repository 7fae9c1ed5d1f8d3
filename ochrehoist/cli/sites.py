"""`ochrehoist sites`: the loss and return of sites as one worker sees them, and operators' commands."""

from pathlib import Path
from typing import Any

import click

from ochrehoist.cli.common import CallWorker, ExitCode, add_show_command, fail, print_worker_answer

SHOWN_STAGES = 6  # the last ones of a recovery ramp
COMMAND_HELP = {
    "evacuate": "Empty SITE: its workers ask for less by steps, then for nothing. Ends after six hours.",
    "return": "Let an evacuated SITE take its load again, by measured steps.",
    "hold": "Keep SITE at its step. It keeps turning away what it can't take; nothing is lost by waiting.",
    "skip": "One step on without evidence. Risks a step that is too much; it is then taken back.",
    "end": "All of SITE's load now. Risks the stampede that the steps are there for.",
}


def format_sites(view: dict[str, Any]) -> list[str]:
    """What a person on call reads first."""
    lines = [f"site {view['site']}: asks for {view['asks_for']:.0%} of its load, lets in {view['level']:.0%}"]
    if view["returning"] is not None:
        lines += _return_lines(view["returning"])
    if view["leaving"] is not None:
        leaving = view["leaving"]
        lines.append(f"  leaving: {leaving['why']}, at {leaving['part']:.0%} for {leaving['for_s']} s")
    for name, site in view["sites"].items():
        lines += _site_lines(name, site)
    lines += [_own_worker_line(name, worker) for name, worker in view["own_workers"].items()]
    lines += [
        f"order: {order['word']} {site}, number {order['number']} by {order['by']}, "
        f"ends in {order['left_s']} s"
        for site, order in view["orders"].items()
    ]
    if view["turned_away"]:
        counts = ", ".join(f"{count} {what}" for what, count in view["turned_away"].items())
        lines.append(f"turned away: {counts}")
    if view["playbook"] is not None:
        lines += _playbook_lines(view["playbook"])
    return lines


def _return_lines(returning: dict[str, Any]) -> list[str]:
    """How far the recovery ramp has come, and its last stages."""
    where = f"at step {returning['step'] + 1} of {returning['of']}"
    if returning["together"]:
        where = "with all others, by the gate alone"
    did = returning["did"]
    lines = [
        f"  coming back for {returning['for_s']} s, {where}: did {did['in_time']} in time and "
        f"{did['late_or_failed']} not, of {returning['promised']:g} promised; "
        f"waits for {returning['waits_for']}"
    ]
    lines += [
        f"    {stage['ago_s']:7.1f} s ago {stage['part']:4.0%}: {stage['why']}"
        for stage in returning["history"][-SHOWN_STAGES:]
    ]
    return lines


def _site_lines(name: str, site: dict[str, Any]) -> list[str]:
    """A site and its workers."""
    reason = f": {site['why']}" if site["why"] else ""
    lines = [f"site {name}: {site['state']} for {site['for_s']} s{reason}"]
    for worker_name, worker in site["workers"].items():
        ramp = ""
        if "step" in worker:
            ramp = f", {worker['step']}, weight {worker['weight']}, level {worker['level']}"
        lines.append(f"  {worker_name}: {worker['state']}{ramp}")
    return lines


def _own_worker_line(name: str, worker: dict[str, Any]) -> str:
    """Another worker of the own site."""
    ramp = f", {worker['step']}, weight {worker['weight']}" if "step" in worker else ""
    return f"beside us {name}: {worker['state']}{ramp}"


def _playbook_lines(playbook: dict[str, Any]) -> list[str]:
    """The playbook in use, and where it differs from others' and from the fleet."""
    lines = [f"playbook {playbook['digest']} of {playbook['made']}, from {playbook['from']}"]
    if playbook["older_at"]:
        lines.append(f"  AN OLDER ONE, OR NONE, AT {', '.join(playbook['older_at'])}")
    lines += [f"  differs from the fleet: {text}" for text in playbook["unknown_workers"]]
    return lines


def commands(call_worker: CallWorker) -> click.Group:
    """The group; `asked` calls the running worker."""

    @click.group()
    def sites() -> None:
        """The loss of a site and its return, as the running worker sees them."""

    add_show_command(
        sites,
        call_worker,
        "sites",
        "Sites, steps, what is let in, orders and the playbook in use.",
        format_sites,
    )

    @sites.command(epilog="Example: ochrehoist sites check playbook.toml")
    @click.argument("file", type=click.Path(path_type=Path))
    def check(file: Path) -> None:
        """Read a playbook and say what is wrong, each fault by its key."""
        from ochrehoist.sites.playbook import PlaybookError
        from ochrehoist.sites.playbook_codec import parse

        try:
            playbook = parse(file.read_text(encoding="utf-8"))
        except (OSError, ValueError, PlaybookError) as error:
            fail("\n".join(f"{file}: {line}" for line in str(error).splitlines()), ExitCode.INVALID_INPUT)
        click.echo(
            f"{file}: good; {playbook.fleet}, made {playbook.made_at}, digest {playbook.digest}, "
            f"for the loss of {', '.join(loss.site for loss in playbook.losses)}"
        )

    def add_operator_command(word: str) -> None:
        @sites.command(word, help=COMMAND_HELP[word])
        @click.argument("site")
        @click.pass_context
        def call(ctx: click.Context, site: str) -> None:
            print_worker_answer(call_worker, ctx.obj, "POST", f"/sites/{word}/{site}")

    for word in COMMAND_HELP:
        add_operator_command(word)
    return sites
