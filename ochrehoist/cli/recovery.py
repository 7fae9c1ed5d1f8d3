"""`ochrehoist recovery`: how far a start has come, as the running worker tells it."""

from typing import Any

import click

from ochrehoist.cli.common import CallWorker, ExitCode, add_show_command

STAGES = ("settings", "store", "lost", "peers", "services", "warming")


def lines(v: dict[str, Any]) -> list[str]:
    """What a person on call reads first."""
    so_far = v["so_far"]
    out = [f"{v['stage']} for {v['for_s']} s" + (f": {v['why']}" if v["why"] else "")]
    out += [f"  {s['stage']:10} {s['for_s']:8.2f} s  {s['why']}" for s in v["stages"]]
    if v["stage"] == "full":
        out.append(f"full after {so_far['full_after_s']} s, longest in {so_far['longest']}")
    w = v["witnesses"]
    if w["names"]:
        told = "have told what ran" if w["testified"] else "have not told what ran yet"
        lacks = f"{w['not_on_record']} filings not on record here"
        out.append(f"witnesses {', '.join(w['names'])} {told}; {lacks}")
    out += [f"remembers {n} filings of {name}" for name, n in v["remembers"].items()]
    return out


def commands(call_worker: CallWorker) -> click.Group:
    """The group; `asked` calls the running worker."""

    @click.group()
    def recovery() -> None:
        """How far this start has come, and what it waits for."""

    about = "The stages of this start, full service as it is measured, and witnesses."
    add_show_command(recovery, call_worker, "recovery", about, lines)

    @recovery.command()
    @click.argument("stage", type=click.Choice(STAGES))
    @click.pass_context
    def skip(ctx: click.Context, stage: str) -> None:
        """Go on without STAGE. `lost` takes filings that may have run for new: it risks second runs."""
        yes, text = call_worker(ctx.obj, "POST", f"/recovery/skip/{stage}")
        click.echo(text, nl=False)
        ctx.exit(0 if yes else ExitCode.FAILED)

    return recovery
