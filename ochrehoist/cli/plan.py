"""`ochrehoist plan`: what a fleet can carry. Its libraries are those of the extra `plan`."""

import json
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any

import click

NO, WRONG = 1, 2
EXTRA = "the planner's libraries are missing: install them by `pip install 'ochrehoist[plan]'`"
FLEET = click.argument("fleet", type=click.Path(path_type=Path))


def _stops(call: Callable[..., Any]) -> Callable[..., Any]:
    """What can't be used or answered is told in a line for each fault, with what to do."""
    @wraps(call)
    def guarded(*args: Any, **more: Any) -> Any:
        try:
            from ochrehoist.capture.records import Unusable
            from ochrehoist.plan.fleet import BadFleet
            from ochrehoist.plan.questions import Unanswerable
        except ImportError as error:
            _end(f"{EXTRA} ({error})", WRONG)
        try:
            return call(*args, **more)
        except (BadFleet, Unusable, OSError, ValueError) as error:
            _end(str(error), WRONG)
        except Unanswerable as error:
            _end(f"no number can be given: {error}", NO)
        except KeyboardInterrupt:
            _end("stopped before anything was known", NO)

    return guarded


def _end(text: str, code: int) -> None:
    for line in text.splitlines():
        click.echo(f"ochrehoist: {line}", err=True)
    raise click.exceptions.Exit(code)


def _common(call: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
            click.option("--json", "as_json", is_flag=True, help="As JSON."),
            click.option("--jobs", default=-1, show_default=True, help="Processes; -1: one for each core."),
            click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(12, 3600),
                         help="Of fleet time in each run; the first five are not counted."),
            click.option("--seeds", default=4, show_default=True, type=click.IntRange(1, 1000),
                         help="Runs, each with another draw; two or more give an interval.")):
        call = option(call)
    return call


def _load(path: Path) -> Any:
    from ochrehoist.plan.fleet import load

    return load(path)


class Progress:
    """A bar on standard error, where somebody looks."""

    def __init__(self, as_json: bool) -> None:
        from rich.console import Console
        from rich.progress import Progress as Bar

        self.bar = Bar(console=Console(stderr=True), transient=True, disable=as_json)
        self.task = self.bar.add_task("runs", total=None)

    def __enter__(self) -> Callable[[int, int], None]:
        self.bar.start()
        return lambda done, total: self.bar.update(self.task, completed=done, total=total or None)

    def __exit__(self, *_: Any) -> None:
        self.bar.stop()


def _show(values: dict[str, Any], as_json: bool, tables: Callable[[dict[str, Any]], list[tuple]]) -> None:
    if as_json:
        click.echo(json.dumps(values, indent=1))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console(width=None if click.get_text_stream("stdout").isatty() else 110)
    for title, heads, rows in tables(values):
        table = Table(*heads, title=title, title_justify="left")
        for row in rows:
            table.add_row(*[_text(cell) for cell in row])
        console.print(table)


def _text(cell: Any) -> str:
    if isinstance(cell, dict):
        return f"{cell['mean']:.3f}" + ("" if cell["half"] is None else f" ±{cell['half']:.3f}")
    return f"{cell:.3f}" if isinstance(cell, float) else "-" if cell is None else str(cell)


@click.group()
def plan() -> None:
    """Work out what breaks first, how many machines a goal needs, and what a lost site does."""


@plan.command(epilog="Example: ochrehoist plan check deploy/fleet.toml")
@FLEET
@_stops
def check(fleet: Path) -> None:
    """Read the description of a fleet and say what is wrong, by the name of its key."""
    f = _load(fleet)
    sites = {s.name: sum(w.site == s.name for w in f.placed_workers) for s in f.sites}
    placed = ", ".join(f"{name} {count}" for name, count in sites.items())
    click.echo(f"{fleet}: good; {len(f.placed_workers)} workers ({placed}), {len(f.placed_routers)} routers; "
               f"{f.load.rate:g} calls a second are {f.demand:.0%} of the capacity")


@plan.command(epilog="Example: ochrehoist plan forecast deploy/fleet.toml --demand 1.05")
@FLEET
@click.option("--demand", type=float, help="Load as a share of the capacity, not as described.")
@click.option("--capture", multiple=True, type=click.Path(path_type=Path), metavar="FILE",
              help="Play what was recorded (files or folders) instead of the described load.")
@_common
@_stops
def forecast(fleet: Path, demand: float | None, capture: tuple[Path, ...], seeds: int, seconds: float,
             jobs: int, as_json: bool) -> None:
    """Goodput by class, tenant and worker, with ranges over the seeds."""
    from ochrehoist.capture.reader import read
    from ochrehoist.plan.demand import Streams, captured
    from ochrehoist.plan.questions import forecast as asked

    f, wishes = _load(fleet), None
    if demand is not None:
        f = f.at(demand)
    if capture:
        recorded = read(capture)
        for line in recorded.warnings():
            click.echo(f"ochrehoist: {line}", err=True)
        listed, span = captured(f, recorded, Streams(1))
        f, wishes, seconds = f.with_load(len(listed) / max(1.0, span)), tuple(listed), max(12.0, span)
    with Progress(as_json) as progress:
        values = asked(f, range(1, seeds + 1), seconds, jobs, progress, wishes)

    def tables(v: dict[str, Any]) -> list[tuple]:
        of_workers = ("address", "kind", "site", "speed", "busy", "tries", "served", "refused")
        of_classes = ("goodput", "refused", "p50_ms", "p99_ms")
        return [(f"{f.name}: {v['rate']:.0f} calls/s, {v['demand']:.0%} of the capacity; {v['seeds']} runs",
                 ("", "goodput", "refused", "p50 ms", "p99 ms"),
                 [("all", v["goodput"], v["shares"]["refused"], "", "")]
                 + [(n, *(c[key] for key in of_classes)) for n, c in v["classes"].items()]
                 + [(n, t, "", "", "") for n, t in v["tenants"].items()]),
                ("workers, first run", of_workers,
                 [tuple(w[key] for key in of_workers) for w in v["workers"]])]

    _show(values, as_json, tables)


@plan.command(epilog="Example: ochrehoist plan breaks deploy/fleet.toml --to 1.6")
@FLEET
@click.option("--to", default=1.5, show_default=True, help="The last step, as a share of the capacity.")
@click.option("--steps", default=6, show_default=True, type=click.IntRange(2, 50))
@_common
@_stops
def breaks(fleet: Path, to: float, steps: int, seeds: int, seconds: float, jobs: int, as_json: bool) -> None:
    """Raise the load step by step; which limit binds first, where, and what is next once it is lifted."""
    from ochrehoist.plan.questions import breaks as asked

    f = _load(fleet)
    first = min(0.5, to / 2)
    factors = [(first + (to - first) * n / (steps - 1)) / f.demand for n in range(steps)]
    with Progress(as_json) as progress:
        values = asked(f, factors, range(1, seeds + 1), seconds, jobs, progress)

    def tables(v: dict[str, Any]) -> list[tuple]:
        return [("load, step by step", ("of capacity", "calls/s", "goodput", "refused", "busiest"),
                 [(f.demand * s["factor"], s["rate"], s["goodput"], s["refused"], s["busiest"])
                  for s in v["steps"]]),
                ("what binds", ("", "limit", "worker", "kind", "at calls/s"),
                 [(name, w["limit"], w["worker"], w["kind"], w["factor"] * f.load.rate)
                  for name, w in (("first", v["first"]), ("next", v["next"]))])]

    _show(values, as_json, tables)


@plan.command(epilog="Example: ochrehoist plan size deploy/fleet.toml --kind small-node --goal 0.95")
@FLEET
@click.option("--kind", required=True, help="The kind of machine to count.")
@click.option("--goal", default=0.95, show_default=True, help="Share of the worth that is to be served.")
@_common
@_stops
def size(fleet: Path, kind: str, goal: float, seeds: int, seconds: float, jobs: int, as_json: bool) -> None:
    """The smallest number of machines for a goal, and with a margin for one that is lost."""
    from ochrehoist.plan.questions import size as asked

    f = _load(fleet)
    if kind not in {k.name for k in f.kinds}:
        raise ValueError(f"--kind {kind}: no such kind; there are {sorted(k.name for k in f.kinds)}")
    with Progress(as_json) as progress:
        values = asked(f, kind, goal, range(1, seeds + 1), seconds, jobs, progress)
    _show(values, as_json, lambda v: [
        (f"{kind} for a goodput of {goal} at {f.load.rate:g} calls/s, beside {v['others']} others",
         ("needed", "with one lost", "goodput"), [(v["needed"], v["with_one_lost"], v["goodput"])]),
        ("tried", ("machines", "goodput, lower end"), list(v["tried"].items()))])


@plan.command(epilog="Example: ochrehoist plan lose deploy/fleet.toml antwerp --back 25")
@FLEET
@click.argument("site")
@click.option("--at", default=12.0, show_default=True, help="Second at which it is lost.")
@click.option("--back", type=float, help="Second at which it returns, cold; without it, never.")
@_common
@_stops
def lose(fleet: Path, site: str, at: float, back: float | None, seeds: int, seconds: float,
         jobs: int, as_json: bool) -> None:
    """What the loss of a data centre does, and whether the rest recovers."""
    from ochrehoist.plan.questions import lose as asked

    f = _load(fleet)
    if not 6 < at < seconds - 5 or (back is not None and not at < back < seconds - 5):
        raise ValueError("--at and --back: after second 6, in this order, five before the end of --seconds")
    with Progress(as_json) as progress:
        values = asked(f, site, at, back, range(1, seeds + 1), seconds, jobs, progress)
    _show(values, as_json, lambda v: [
        (f"{site} lost at {at:g} s: {v['workers']} of {v['of']} workers",
         ("before", "while it is gone", "worst second", "recovered after s", "runs that tip over"),
         [(v["before"], v["during"], v["worst_second"], v["recovered_s"],
           f"{v['tips_over']} of {v['seeds']}")])])


@plan.command(epilog="Example: ochrehoist plan compare today.toml tomorrow.toml --seeds 6")
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@_common
@_stops
def compare(a: Path, b: Path, seeds: int, seconds: float, jobs: int, as_json: bool) -> None:
    """Two fleets side by side on the same seeds, and the interval of their difference."""
    from ochrehoist.plan.questions import compare as asked

    first, second = _load(a), _load(b)
    with Progress(as_json) as progress:
        values = asked(first, second, range(1, seeds + 1), seconds, jobs, progress)
    _show(values, as_json, lambda v: [
        ("goodput", (str(a), str(b), "difference", "clear"),
         [(v["a"], v["b"], v["difference"], "yes" if v["clear"] else "no: within the swing of the draws")])])
