"""`ochrehoist lab`: plays of real workers with faults between them."""

import json
import logging
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from ochrehoist.cli.common import NO, WRONG, end, stops
from ochrehoist.cli.scale import scale

SCENARIOS = Path(__file__).parent.parent / "lab" / "scenarios"


def _told(error: BaseException) -> None:
    if isinstance(error, ModuleNotFoundError):
        end("the laboratory's libraries are missing: install them by `pip install 'ochrehoist[plan]'`", WRONG)
    from ochrehoist.lab.errors import RunAbortedError
    from ochrehoist.lab.scenario import ScenarioError

    if isinstance(error, ScenarioError):
        end(str(error), WRONG)
    if isinstance(error, RunAbortedError | OSError):
        end(str(error), NO)
    if isinstance(error, KeyboardInterrupt):
        end("broken off; all processes of the play are ended", NO)


def _scenario(name: str) -> Any:
    from ochrehoist.lab.scenario import load

    path = Path(name)
    if not path.exists() and (SCENARIOS / f"{name}.toml").exists():
        path = SCENARIOS / f"{name}.toml"
    return load(path)


@contextmanager
def _progress(what: str, total: float) -> Iterator[Any]:
    """Gives a call that is told how far it is."""
    from rich.console import Console
    from rich.progress import Progress

    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(what, total=total)
        yield lambda done: progress.update(task, completed=done)


def _line(v: dict[str, Any]) -> str:
    spans = ", ".join(f"{span} {g['all']:.3f}" for span, g in v["goodput"].items())
    budgets = "".join(f", {n} {b['most']}/{b['amount']}" for n, b in v["budgets"].items())
    verdict = "rules kept" if not v["broken"] else f"{len(v['broken'])} BROKEN"
    return (
        f"{v['scenario']} seed {v['seed']}: {verdict}; goodput {spans}{budgets}, "
        f"{v['tries_per_call']:.2f} tries a call"
    )


def _played(name: str, seed: int) -> dict[str, Any]:
    from ochrehoist.lab.scenario_runner import ScenarioRun

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    return ScenarioRun(_scenario(name), seed).run()


@click.group()
def lab() -> None:
    """Real workers on this machine, every link through a relay, with faults between them."""


lab.add_command(scale)


@lab.command("list")
@stops(_told)
def list_() -> None:
    """The scenarios that come with the program."""
    for path in sorted(SCENARIOS.glob("*.toml")):
        s = _scenario(path.stem)
        click.echo(f"{path.stem:28} {s.workers} workers, {len(s.faults)} faults, {s.seconds:g} s: {s.about}")


@lab.command()
@click.argument("file")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "out", type=click.Path(dir_okay=False), help="Write all figures to this file.")
@click.option("--html", type=click.Path(dir_okay=False), help="Write a page with pictures to this file.")
@click.pass_context
@stops(_told)
def play(ctx: click.Context, file: str, seed: int, out: str | None, html: str | None) -> None:
    """Play FILE (a path, or the name of a scenario of the list). Ends with 1 where a rule was broken."""
    from ochrehoist.lab.scenario_runner import ScenarioRun

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    s = _scenario(file)
    with _progress(s.name, 1.0) as tell:
        v = ScenarioRun(s, seed).run(tell)
    click.echo(_line(v))
    for line in v["broken"]:
        click.echo(f"  seed {seed}: {line}")
    if out:
        Path(out).write_text(json.dumps(v, indent=1))
    if html:
        from ochrehoist.plan.report import page

        rows = [[span, *g.values()] for span, g in v["goodput"].items()]
        heads = ["span", *next(iter(v["goodput"].values()))]
        Path(html).write_text(
            page(
                "play",
                f"Play of {s.name}",
                f"ochrehoist lab play {file} --seed {seed}",
                v,
                [
                    ("Worth gained", heads, rows),
                    (
                        "Budgets",
                        ["budget", "amount", "most used"],
                        [[n, b["amount"], b["most"]] for n, b in v["budgets"].items()],
                    ),
                    ("What was done", ["s", "event"], v["events"]),
                ],
                v["broken"],
            )
        )
    ctx.exit(NO if v["broken"] else 0)


@lab.command()
@click.argument("files", nargs=-1, required=True)
@click.option("--seeds", default=20, show_default=True)
@click.option("--jobs", default=2, show_default=True, help="Plays side by side.")
@click.pass_context
@stops(_told)
def sweep(ctx: click.Context, files: tuple[str, ...], seeds: int, jobs: int) -> None:
    """Play each of FILES (or `all`) with many seeds. Ends with 1 where a rule was broken."""
    names = [p.stem for p in sorted(SCENARIOS.glob("*.toml"))] if files == ("all",) else list(files)
    for name in names:
        _scenario(name)
    broken = done = 0
    with _progress("plays", len(names) * seeds) as tell, ProcessPoolExecutor(jobs) as pool:
        plays = [pool.submit(_played, name, seed) for seed in range(1, seeds + 1) for name in names]
        for future in plays:
            v = future.result()
            done, broken = done + 1, broken + bool(v["broken"])
            tell(done)
            click.echo(_line(v))
            for line in v["broken"]:
                click.echo(f"  seed {v['seed']}: {line}")
    click.echo(f"{done} plays, {broken} with a broken rule")
    ctx.exit(NO if broken else 0)


@lab.command()
@click.option("--count", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--jobs", default=4, show_default=True)
@click.pass_context
@stops(_told)
def seeds(ctx: click.Context, count: int, first: int, jobs: int) -> None:
    """Seeded schedules of faults for the fleet's pure parts, on virtual time."""
    from ochrehoist.lab.virtual.budget_sweep import check_seed

    bad = uses = 0
    with _progress("schedules", count) as tell, ProcessPoolExecutor(jobs) as pool:
        for n, result in enumerate(pool.map(check_seed, range(first, first + count), chunksize=8), 1):
            tell(n)
            uses += result.use_count
            if result.violation is not None:
                bad += 1
                click.echo(f"seed {result.seed}: {result.violation}")
    click.echo(f"{count} schedules, {uses} uses of budgets, {bad} broken")
    ctx.exit(NO if bad else 0)


@lab.command("sites")
@click.option("--count", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True)
@click.option("--jobs", default=4, show_default=True)
@click.pass_context
@stops(_told)
def sites_(ctx: click.Context, count: int, first: int, jobs: int) -> None:
    """Seeded losses, cuts, pauses and evacuations of sites, on virtual time: missed, invented, at once."""
    from ochrehoist.lab.virtual.site_fault_sweep import check_seed

    bad = losses = 0
    known: list[float] = []
    with _progress("schedules", count) as tell, ProcessPoolExecutor(jobs) as pool:
        for n, result in enumerate(pool.map(check_seed, range(first, first + count), chunksize=4), 1):
            tell(n)
            losses += result.loss_count
            known += result.detection_times_s
            bad += bool(result.violations)
            for line in result.violations:
                click.echo(f"seed {result.seed}: {line}")
    known.sort()
    click.echo(f"{count} schedules, {losses} losses, {bad} schedules broken")
    if known:
        p50, p99 = known[len(known) // 2], known[int(len(known) * 0.99)]
        click.echo(f"losses known after: p50 {p50:.2f} s, p99 {p99:.2f} s")
    ctx.exit(NO if bad else 0)


@lab.command()
@click.argument("site")
@click.option("--fleet", type=click.Path(path_type=Path), help="The fleet's description, as for `plan`.")
@click.option("--scenario", type=click.Path(), help="Or a scenario of the laboratory.")
@click.option(
    "--workers",
    default=6,
    show_default=True,
    type=click.IntRange(2, 12),
    help="Real workers that stand for the fleet's, sites in proportion.",
)
@click.option("--lasts", default=8.0, show_default=True, help="s that the site is gone.")
@click.option("--seed", default=1, show_default=True)
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to this file.")
@click.pass_context
@stops(_told)
def drill(
    ctx: click.Context,
    site: str,
    fleet: Path | None,
    scenario: str | None,
    workers: int,
    lasts: float,
    seed: int,
    html: Path | None,
) -> None:
    """Play the loss of SITE with real workers, beside what figures alone foretell."""
    from ochrehoist.config.fleet_description import load
    from ochrehoist.lab import drill as drills
    from ochrehoist.lab.scenario_runner import ScenarioRun

    if (fleet is None) == (scenario is None):
        end("name --fleet or --scenario, and not both", WRONG)
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    s = (
        drills.site_loss_scenario(load(fleet), site, workers, lasts)
        if fleet is not None
        else _scenario(scenario)
    )
    expected = drills.forecast(s, site)
    with _progress(s.name, 1.0) as tell:
        run = ScenarioRun(s, seed)
        v = run.run(tell)
    rows = drills.compare(s, site, expected, run.calls, v)
    for name, forecast, measured, note in rows:
        click.echo(f"{name:34} {forecast:>12} {measured:>12}  {note}")
    for line in v["broken"]:
        click.echo(f"  seed {seed}: {line}")
    if html is not None:
        from ochrehoist.plan.report import page

        html.write_text(
            page(
                "play",
                f"Drill: the loss of {site}",
                f"ochrehoist lab drill {site}",
                v,
                [
                    ("Foretold and measured", ["", "foretold", "measured", "where they differ"], rows),
                    ("What workers knew", ["s", "worker", "site", "state", "why"], v["known"]),
                    ("What was done", ["s", "event"], v["events"]),
                ],
                v["broken"],
            )
        )
    ctx.exit(NO if v["broken"] else 0)


@lab.command()
@click.option("--fleet", required=True, type=click.Path(path_type=Path), help="As for `plan`.")
@click.option("--workers", default=6, show_default=True, type=click.IntRange(2, 12))
@click.option("--at-once", default=1, show_default=True, type=click.IntRange(1, 11))
@click.option("--down", default=1.0, show_default=True, help="s between an end and the next start.")
@click.option("--seed", default=1, show_default=True)
@click.pass_context
@stops(_told)
def rolling(ctx: click.Context, fleet: Path, workers: int, at_once: int, down: float, seed: int) -> None:
    """Restart all of a small fleet of real workers, so many at once, and say what callers got."""
    from ochrehoist.config.fleet_description import load
    from ochrehoist.lab import drill as drills
    from ochrehoist.lab.scenario_runner import ScenarioRun

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    s = drills.rolling_restart_scenario(load(fleet), workers, at_once, down)
    with _progress(s.name, 1.0) as tell:
        v = ScenarioRun(s, seed).run(tell)
    g = v["goodput"]
    during = [gained for second, gained in v["seconds"] if second >= drills.LOSS_AT_S and second < s.seconds]
    click.echo(
        f"{at_once} of {s.workers} at once: before {g['quiet']['all']:.3f}, meanwhile "
        f"{sum(during) / len(during):.3f}, worst second {min(during):.2f}, "
        f"{v['tries_per_call']:.2f} tries a call, {len(v['broken'])} rules broken"
    )
    for line in v["broken"]:
        click.echo(f"  seed {seed}: {line}")
    ctx.exit(NO if v["broken"] else 0)


@lab.command()
@click.option("--voters", default=2, show_default=True)
@click.option("--asks", default=1, show_default=True, help="Claims of each of the two claimants.")
@click.option("--gifts", default=1, show_default=True)
@click.option("--kills", default=1, show_default=True)
@click.option("--repeats", default=0, show_default=True)
@click.option("--ticks", default=3, show_default=True)
@click.option("--most", default=500_000, show_default=True, help="States, past which it is broken off.")
@click.pass_context
@stops(_told)
def orders(ctx: click.Context, most: int, **bounds: int) -> None:
    """Every order of events for one right and two claimants, within the bounds."""
    from ochrehoist.lab.lease_exploration import Bounds, SlotDoubledError, explore

    try:
        click.echo(f"{explore(Bounds(**bounds), most)} states, no right doubled")
    except SlotDoubledError as error:
        click.echo(f"a right is held twice: {error}")
        ctx.exit(NO)
    except OverflowError as error:
        click.echo(f"broken off: {error}, none of them with a right doubled")
        ctx.exit(NO)
