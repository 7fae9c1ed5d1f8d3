"""`ochrehoist plan`: what a fleet can carry. Its libraries are those of the extra `plan`."""

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ochrehoist.cli.common import NO, WRONG, end, stops

EXTRA = "the planner's libraries are missing: install them by `pip install 'ochrehoist[plan]'`"
FLEET = click.argument("fleet", type=click.Path(path_type=Path))
META = "ochrehoist.plan"
MOST_LATE_MS = 50.0  # p99 by which a measurement's calls may begin late


@stops
def _stops(error: BaseException) -> None:
    """What can't be used or answered is told in a line for each fault, with what to do."""
    if isinstance(error, KeyboardInterrupt):
        end("stopped before anything was known", NO)
    if isinstance(error, ImportError):
        end(f"{EXTRA} ({error})", WRONG)
    from ochrehoist.capture.records import InvalidCaptureError
    from ochrehoist.config.fleet_description import FleetDescriptionError
    from ochrehoist.plan.questions import UnanswerableQuestionError

    if isinstance(error, UnanswerableQuestionError):
        end(f"no number can be given: {error}", NO)
    if isinstance(error, (FleetDescriptionError, InvalidCaptureError, OSError, ValueError)):
        end(str(error), WRONG)


def _kept(ctx: click.Context, option: click.Parameter, value: Any) -> None:
    ctx.meta.setdefault(META, {})[option.name] = value


def _wanted(name: str) -> Any:
    return click.get_current_context().meta.get(META, {}).get(name)


def _shown(call: Callable[..., Any]) -> Callable[..., Any]:
    """The forms that an answer may take."""
    for option in (
        click.option(
            "--pictures",
            is_flag=True,
            expose_value=False,
            callback=_kept,
            help="With --html: each picture as PNG beside it.",
        ),
        click.option(
            "--html",
            type=click.Path(path_type=Path),
            metavar="FILE",
            expose_value=False,
            callback=_kept,
            help="Write a page with tables and pictures; it needs no network.",
        ),
        click.option("--json", "as_json", is_flag=True, expose_value=False, callback=_kept, help="As JSON."),
    ):
        call = option(call)
    return call


DEMAND = click.option(
    "--demand",
    type=float,
    callback=_kept,
    expose_value=False,
    help="Load as a share of the capacity, not as described.",
)


def _common(call: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        DEMAND,
        click.option("--jobs", default=-1, show_default=True, help="Processes; -1: one for each core."),
        click.option(
            "--seconds",
            default=30.0,
            show_default=True,
            type=click.FloatRange(12, 3600),
            help="Of fleet time in each run; the first five are not counted.",
        ),
        click.option(
            "--seeds",
            default=4,
            show_default=True,
            type=click.IntRange(1, 1000),
            help="Runs, each with another draw; two or more give an interval.",
        ),
    ):
        call = option(call)
    return _shown(call)


def _load(path: Path) -> Any:
    from ochrehoist.config.fleet_description import load

    fleet, demand = load(path), _wanted("demand")
    return fleet if demand is None else fleet.at(demand)


class Progress:
    """A bar on standard error, where somebody looks."""

    def __init__(self) -> None:
        from rich.console import Console
        from rich.progress import Progress as Bar

        self.bar = Bar(console=Console(stderr=True), transient=True, disable=_wanted("as_json"))
        self.task = self.bar.add_task("runs", total=None)

    def __enter__(self) -> Callable[[int, int], None]:
        self.bar.start()
        return lambda done, total: self.bar.update(self.task, completed=done, total=total or None)

    def __exit__(self, *_: Any) -> None:
        self.bar.stop()


def _show(
    question: str,
    title: str,
    values: dict[str, Any],
    tables: Callable[[dict[str, Any]], list[tuple]],
    notes: list[str] = (),
) -> None:
    """The answer as a table or as JSON, and as a page where one is wanted; notes go to standard error too."""
    from ochrehoist.plan.report import told

    for line in notes:
        click.echo(f"ochrehoist: {line}", err=True)
    if html := _wanted("html"):
        from ochrehoist.plan import report

        made = "by `" + click.get_current_context().command_path + "`; forecasts are no measurements"
        text = report.page(question, title, made, values, tables(values), notes)
        for path in report.save(html, text, question, values, _wanted("pictures")):
            click.echo(f"ochrehoist: {path} written", err=True)
    if _wanted("as_json"):
        click.echo(json.dumps(values, indent=1))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console(width=None if click.get_text_stream("stdout").isatty() else 110)
    for name, heads, rows in tables(values):
        table = Table(*heads, title=name, title_justify="left")
        for row in rows:
            table.add_row(*[told(cell) for cell in row])
        console.print(table)


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
    click.echo(
        f"{fleet}: good; {len(f.placed_workers)} workers ({placed}), {len(f.placed_routers)} routers; "
        f"{f.load.rate:g} calls a second are {f.demand:.0%} of the capacity"
    )


@plan.command(epilog="Example: ochrehoist plan forecast deploy/fleet.toml --demand 1.05")
@FLEET
@click.option(
    "--capture",
    multiple=True,
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="Play what was recorded (files or folders) instead of the described load.",
)
@_common
@_stops
def forecast(fleet: Path, capture: tuple[Path, ...], seeds: int, seconds: float, jobs: int) -> None:
    """Goodput by class, tenant and worker, with ranges over the seeds."""
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan.questions import forecast as asked
    from ochrehoist.plan.questions import forecast_of_capture

    f, numbers, notes = _load(fleet), range(1, seeds + 1), []
    with Progress() as progress:
        if capture:
            recorded = read_capture(capture)
            notes = recorded.warnings()
            values = forecast_of_capture(f, recorded, numbers, jobs, progress)
        else:
            values = asked(f, numbers, seconds, jobs, progress)

    def tables(v: dict[str, Any]) -> list[tuple]:
        of_workers = ("address", "kind", "site", "speed", "busy", "tries", "served", "refused")
        of_classes = ("goodput", "refused", "p50_ms", "p99_ms")
        return [
            (
                f"{f.name}: {v['rate']:.0f} calls/s, {v['demand']:.0%} of the capacity; {v['seeds']} runs",
                ("", "goodput", "refused", "p50 ms", "p99 ms"),
                [("all", v["goodput"], v["shares"]["refused"], "", "")]
                + [(n, *(c[key] for key in of_classes)) for n, c in v["classes"].items()]
                + [(n, t, "", "", "") for n, t in v["tenants"].items()],
            ),
            ("workers, first run", of_workers, [tuple(w[key] for key in of_workers) for w in v["workers"]]),
        ]

    _show("forecast", f"What {f.name} would serve", values, tables, notes + _unfinished(values, seeds))


@plan.command(epilog="Example: ochrehoist plan fit /var/lib/ochrehoist-load")
@click.argument("capture", nargs=-1, required=True, type=click.Path(path_type=Path))
@_shown
@_stops
def fit(capture: tuple[Path, ...]) -> None:
    """What recorded load tells of speeds, the crowd, reading, popularity and repeats, with intervals."""
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan.fit import fitted

    recorded = read_capture(capture)
    heads = ("what", "value", "low", "high", "count", "note")
    found = [e.line() for e in fitted(recorded)]
    _show(
        "fit",
        "What the recorded load tells",
        {"estimates": found},
        lambda v: [
            (
                f"{len(recorded.requests)} requests in {recorded.duration_s:.0f} s, {recorded.files} files",
                heads,
                [tuple(e[key] for key in heads) for e in v["estimates"]],
            )
        ],
        recorded.warnings(),
    )


@plan.command(epilog="Example: ochrehoist plan breaks deploy/fleet.toml --to 1.6")
@FLEET
@click.option("--to", default=1.5, show_default=True, help="The last step, as a share of the capacity.")
@click.option("--steps", default=6, show_default=True, type=click.IntRange(2, 50))
@_common
@_stops
def breaks(fleet: Path, to: float, steps: int, seeds: int, seconds: float, jobs: int) -> None:
    """Raise the load step by step; which limit binds first, where, and what is next once it is lifted."""
    from ochrehoist.plan.questions import breaks as asked

    f = _load(fleet)
    first = min(0.5, to / 2)
    factors = [(first + (to - first) * n / (steps - 1)) / f.demand for n in range(steps)]
    with Progress() as progress:
        values = asked(f, factors, range(1, seeds + 1), seconds, jobs, progress)

    def tables(v: dict[str, Any]) -> list[tuple]:
        return [
            (
                "load, step by step",
                ("of capacity", "calls/s", "goodput", "refused", "busiest"),
                [
                    (f.demand * s["factor"], s["rate"], s["goodput"], s["refused"], s["busiest"])
                    for s in v["steps"]
                ],
            ),
            (
                "what binds",
                ("", "limit", "worker", "kind", "at calls/s"),
                [
                    (name, w["limit"], w["worker"], w["kind"], w["factor"] * f.load.rate)
                    for name, w in (("first", v["first"]), ("next", v["next"]))
                ],
            ),
        ]

    made = len(values["steps"])
    _show(
        "breaks",
        f"What breaks first in {f.name}",
        values,
        tables,
        [f"stopped after {made} of {steps} steps"] if made < steps else [],
    )


@plan.command(epilog="Example: ochrehoist plan size deploy/fleet.toml --kind small-node --goal 0.95")
@FLEET
@click.option("--kind", required=True, help="The kind of machine to count.")
@click.option("--goal", default=0.95, show_default=True, help="Share of the worth that is to be served.")
@_common
@_stops
def size(fleet: Path, kind: str, goal: float, seeds: int, seconds: float, jobs: int) -> None:
    """The smallest number of machines for a goal, and with a margin for one that is lost."""
    from ochrehoist.plan.questions import size as asked

    f = _load(fleet)
    if kind not in {k.name for k in f.kinds}:
        raise ValueError(f"--kind {kind}: no such kind; there are {sorted(k.name for k in f.kinds)}")
    with Progress() as progress:
        values = asked(f, kind, goal, range(1, seeds + 1), seconds, jobs, progress)
    _show(
        "size",
        f"How many {kind} {f.name} needs",
        values,
        lambda v: [
            (
                f"{kind} for a goodput of {goal} at {f.load.rate:g} calls/s, beside {v['others']} others",
                ("needed", "with one lost", "goodput"),
                [(v["needed"], v["with_one_lost"], v["goodput"])],
            ),
            (
                "tried",
                ("machines", "goodput, lower end", "without the strongest"),
                [(n, g, v["tried_one_lost"].get(n)) for n, g in v["tried"].items()]
                + [(n, None, g) for n, g in v["tried_one_lost"].items() if n not in v["tried"]],
            ),
        ],
    )


@plan.command(epilog="Example: ochrehoist plan lose deploy/fleet.toml antwerp --back 25")
@FLEET
@click.argument("site")
@click.option("--at", default=12.0, show_default=True, help="Second at which it is lost.")
@click.option("--back", type=float, help="Second at which it returns, cold; without it, never.")
@click.option(
    "--write",
    metavar="FILE",
    type=click.Path(path_type=Path),
    help="Write the playbook for every site that may be lost, with this forecast.",
)
@_common
@_stops
def lose(
    fleet: Path,
    site: str,
    at: float,
    back: float | None,
    write: Path | None,
    seeds: int,
    seconds: float,
    jobs: int,
) -> None:
    """What the loss of a data centre does, and whether the rest recovers."""
    from ochrehoist.plan.questions import lose as asked

    f = _load(fleet)
    if not 6 < at < seconds - 5 or (back is not None and not at < back < seconds - 5):
        raise ValueError("--at and --back: after second 6, in this order, five before the end of --seconds")
    with Progress() as progress:
        values = asked(f, site, at, back, range(1, seeds + 1), seconds, jobs, progress)
    if write is not None:
        _write_playbook(f, site, values, write)
    _show(
        "lose",
        f"What losing {site} does to {f.name}",
        values,
        lambda v: [
            (
                f"{site} lost at {at:g} s: {v['workers']} of {v['of']} workers",
                ("before", "while it is gone", "worst second", "recovered after s", "runs that tip over"),
                [
                    (
                        v["before"],
                        v["during"],
                        v["worst_second"],
                        v["recovered_s"],
                        f"{v['tips_over']} of {v['seeds']}",
                    )
                ],
            )
        ],
        _unfinished(values, seeds),
    )


@plan.command(epilog="Example: ochrehoist plan restart deploy/fleet.toml --goal 0.95 --down 3")
@FLEET
@click.option("--goal", default=0.95, show_default=True, help="Of the worth served before, kept meanwhile.")
@click.option(
    "--down",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    help="s for which a worker that restarts is gone.",
)
@DEMAND
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64))
@_shown
@_stops
def restart(fleet: Path, goal: float, down: float, seeds: int, jobs: int) -> None:
    """How many workers may restart at once at this load, sites in turn."""
    from ochrehoist.plan.restart import restart as asked

    f = _load(fleet)
    with Progress() as progress:
        values = asked(f, goal, down, range(1, seeds + 1), jobs, progress)
    _show(
        "restart",
        f"How many of {f.name} may restart at once",
        values,
        lambda v: [
            (
                f"{v['most']} of {v['of']} at once keep {goal:.0%} of the worth at {f.load.rate:g} calls/s",
                ("at once", "by figures", "waves", "all restarted after s"),
                [(v["most"], v["by_figures"], v["waves"], v["whole_s"])],
            ),
            ("tried", ("at once", "kept, in the worst run"), list(v["tried"].items())),
        ],
        [],
    )


def _write_playbook(fleet: Any, site: str, values: dict[str, Any], file: Path) -> None:
    """By figures alone, with what the event model makes of this site's loss without it beside."""
    from ochrehoist.plan.playbook import made
    from ochrehoist.sites.playbook_codec import parse
    from ochrehoist.sites.playbook_text import render

    book, about = made(fleet, int(time.time()))
    during = values["during"]
    half = "" if during["half"] is None else f" ±{during['half']:.2f}"
    about[site] += (
        f"\nWithout a playbook the events give {during['mean']:.2f}{half} of the worth "
        f"meanwhile, {values['worst_second']:.2f} in the worst second."
    )
    text = render(book, about)
    parse(text, [c.name for c in fleet.classes])  # what is written can be read
    file.write_text(text)
    lost = ", ".join(x.site for x in book.losses)
    click.echo(f"{file}: playbook {book.digest} for the loss of {lost}", err=True)


@plan.command(epilog="Example: ochrehoist plan measure small.toml --demand 1.05 --seconds 25")
@FLEET
@DEMAND
@click.option("--seconds", default=25.0, show_default=True, type=click.FloatRange(12, 600))
@click.option("--seed", default=1, show_default=True)
@click.option("--lose", "lost", metavar="SITE", help="A site that is lost at the middle.")
@click.option(
    "--record",
    metavar="FOLDER",
    type=click.Path(path_type=Path),
    help="The workers record there what they saw, for fit, forecast and compare.",
)
@_shown
@_stops
def measure(fleet: Path, seconds: float, seed: int, lost: str | None, record: Path | None) -> None:
    """Start real workers on stand-in machines, play the load in real time, and set it beside the forecast."""
    from ochrehoist.plan.measure import Failed
    from ochrehoist.plan.questions import measured

    f = _load(fleet)
    try:
        with Progress() as progress:
            values = measured(f, seed, seconds, lost, progress, record)
    except Failed as error:
        end(str(error), NO)
    notes = (
        []
        if values["late_p99_ms"] <= MOST_LATE_MS
        else [
            f"this machine was too busy: calls began {values['late_p99_ms']:.0f} ms late (p99); measure again"
        ]
    )
    _show(
        "measure",
        f"Real workers beside the forecast, {f.demand:.0%} of the capacity",
        values,
        lambda v: [
            (
                f"{len(f.placed_workers)} workers, {f.demand:.0%} of the capacity",
                ("", "measured", "forecast"),
                [
                    ("goodput", v["measured"]["goodput"], v["forecast"]["goodput"]),
                    ("tries for each call", v["measured"]["tries_per_call"], v["forecast"]["tries_per_call"]),
                    *(
                        (name, c["goodput"], v["forecast"]["classes"][name]["goodput"])
                        for name, c in v["measured"]["classes"].items()
                    ),
                ],
            )
        ],
        notes,
    )


@plan.command(
    epilog="Examples: ochrehoist plan compare today.toml tomorrow.toml --seeds 6; "
    "ochrehoist plan compare load/monday load/tuesday --on deploy/fleet.toml"
)
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option(
    "--on",
    type=click.Path(path_type=Path),
    metavar="FLEET",
    help="Two captures: also what this fleet would make of each.",
)
@_common
@_stops
def compare(a: Path, b: Path, on: Path | None, seeds: int, seconds: float, jobs: int) -> None:
    """Two fleets, or two captures (files or folders), side by side, with the interval of their difference."""
    from ochrehoist.capture.records import FILE_SUFFIX
    from ochrehoist.plan.questions import compare as asked

    recorded = [p.is_dir() or p.suffix == FILE_SUFFIX for p in (a, b)]
    if all(recorded):
        return _compare_captures(a, b, on, seeds, jobs)
    if any(recorded) or on is not None:
        raise ValueError("compare two fleets, or two captures; --on goes with captures")
    first, second = _load(a), _load(b)
    with Progress() as progress:
        values = asked(first, second, range(1, seeds + 1), seconds, jobs, progress)
    _show(
        "compare",
        f"{a} and {b}",
        values,
        lambda v: [
            (
                "goodput",
                (str(a), str(b), "difference", "clear"),
                [
                    (
                        v["a"],
                        v["b"],
                        v["difference"],
                        "yes" if v["clear"] else "no: within the swing of the draws",
                    )
                ],
            )
        ],
        _unfinished(values, seeds),
    )


def _compare_captures(a: Path, b: Path, on: Path | None, seeds: int, jobs: int) -> None:
    from ochrehoist.capture.reader import read_capture
    from ochrehoist.plan.captures import side_by_side
    from ochrehoist.plan.questions import forecast_of_capture

    both = [read_capture([p]) for p in (a, b)]
    values: dict[str, Any] = {"figures": [c.line() for c in side_by_side(*both)], "on": []}
    if on is not None:
        fleet = _load(on)
        with Progress() as progress:
            values["on"] = [forecast_of_capture(fleet, c, range(1, seeds + 1), jobs, progress) for c in both]
    notes = [f"{p}: {line}" for p, c in zip((a, b), both, strict=True) for line in c.warnings()]
    heads = ("what", "a", "b", "change", "low", "high", "note")

    def tables(v: dict[str, Any]) -> list[tuple]:
        clear = [line for line in v["figures"] if line["clear"]]
        out = [
            (
                f"what changed and is not chance: {len(clear)} of {len(v['figures'])}",
                heads,
                [tuple(line[key] for key in heads) for line in clear],
            ),
            (
                "the rest",
                heads,
                [tuple(line[key] for key in heads) for line in v["figures"] if not line["clear"]],
            ),
        ]
        if v["on"]:
            out.append(
                (
                    f"on {on}",
                    ("", "goodput", "calls/s", "refused"),
                    [
                        (str(p), f["goodput"], f["rate"], f["shares"]["refused"])
                        for p, f in zip((a, b), v["on"], strict=True)
                    ],
                )
            )
        return out

    _show("captures", f"{a} and {b}", values, tables, notes)


def _unfinished(values: dict[str, Any], asked: int) -> list[str]:
    return [] if values["seeds"] == asked else [f"stopped after {values['seeds']} of {asked} runs"]
