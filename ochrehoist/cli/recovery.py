"""`ochrehoist recovery`: how far a start has come, as the running worker tells it."""

from typing import Any

import click

from ochrehoist.cli.common import CallWorker, add_show_command, print_worker_answer

STAGES = ("settings", "store", "lost", "peers", "services", "warming")


def format_recovery(view: dict[str, Any]) -> list[str]:
    """What a person on call reads first."""
    reason = f": {view['why']}" if view["why"] else ""
    lines = [f"{view['stage']} for {view['for_s']} s{reason}"]
    lines += [f"  {stage['stage']:10} {stage['for_s']:8.2f} s  {stage['why']}" for stage in view["stages"]]
    if view["stage"] == "full":
        so_far = view["so_far"]
        lines.append(f"full after {so_far['full_after_s']} s, longest in {so_far['longest']}")
    if view["witnesses"]["names"]:
        lines.append(_witness_line(view["witnesses"]))
    lines += [f"remembers {count} filings of {name}" for name, count in view["remembers"].items()]
    return lines


def _witness_line(witnesses: dict[str, Any]) -> str:
    """The witness replicas, and whether they have reported."""
    reported = "have told what ran" if witnesses["testified"] else "have not told what ran yet"
    missing = f"{witnesses['not_on_record']} filings not on record here"
    return f"witnesses {', '.join(witnesses['names'])} {reported}; {missing}"


def commands(call_worker: CallWorker) -> click.Group:
    """The group; `asked` calls the running worker."""

    @click.group()
    def recovery() -> None:
        """How far this start has come, and what it waits for."""

    help_text = "The stages of this start, full service as it is measured, and witnesses."
    add_show_command(recovery, call_worker, "recovery", help_text, format_recovery)

    @recovery.command()
    @click.argument("stage", type=click.Choice(STAGES))
    @click.pass_context
    def skip(ctx: click.Context, stage: str) -> None:
        """Go on without STAGE. `lost` takes filings that may have run for new: it risks second runs."""
        print_worker_answer(call_worker, ctx.obj, "POST", f"/recovery/skip/{stage}")

    return recovery
