"""`ochrehoist lab list`, `play` and `sweep`: scenarios with real workers."""

from __future__ import annotations

import json
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import click

from ochrehoist.cli.lab.common import (
    SCENARIOS,
    exit_by_violations,
    handles_lab_errors,
    load_scenario,
    print_violations,
    progress_bar,
    silence_asyncio,
)

ALL_SCENARIOS = ("all",)


@click.command("list")
@handles_lab_errors
def list_scenarios() -> None:
    """The scenarios that come with the program."""
    for name in _listed_names():
        scenario = load_scenario(name)
        click.echo(
            f"{name:28} {scenario.workers} workers, {len(scenario.faults)} faults, "
            f"{scenario.seconds:g} s: {scenario.about}"
        )


@click.command("play")
@click.argument("name", metavar="FILE")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="Write all figures to this file.")
@click.option(
    "--html", "html_path", type=click.Path(dir_okay=False), help="Write a page with pictures to this file."
)
@handles_lab_errors
def play(name: str, seed: int, json_path: str | None, html_path: str | None) -> None:
    """Play FILE (a path, or the name of a scenario of the list). Ends with 1 where a rule was broken."""
    from ochrehoist.lab.scenario_runner import ScenarioRun

    silence_asyncio()
    scenario = load_scenario(name)
    with progress_bar(scenario.name, 1.0) as report_progress:
        record = ScenarioRun(scenario, seed).run(report_progress)
    click.echo(_summary_line(record))
    print_violations(record)
    if json_path:
        Path(json_path).write_text(json.dumps(record, indent=1))
    if html_path:
        origin = f"ochrehoist lab play {name} --seed {seed}"
        Path(html_path).write_text(_page(f"Play of {scenario.name}", origin, record))
    exit_by_violations(len(record["broken"]))


@click.command("sweep")
@click.argument("names", metavar="FILES...", nargs=-1, required=True)
@click.option("--seeds", "seed_count", default=20, show_default=True)
@click.option("--jobs", default=2, show_default=True, help="Plays side by side.")
@handles_lab_errors
def sweep(names: tuple[str, ...], seed_count: int, jobs: int) -> None:
    """Play each of FILES (or `all`) with many seeds. Ends with 1 where a rule was broken."""
    chosen = _listed_names() if names == ALL_SCENARIOS else list(names)
    for name in chosen:
        load_scenario(name)  # all are good before the first begins
    done = 0
    violated = 0
    with (
        progress_bar("plays", len(chosen) * seed_count) as report_progress,
        ProcessPoolExecutor(jobs) as pool,
    ):
        seeds = range(1, seed_count + 1)
        runs = [pool.submit(_run_scenario, name, seed) for seed in seeds for name in chosen]
        for run in runs:
            record = run.result()
            done += 1
            violated += bool(record["broken"])
            report_progress(done)
            click.echo(_summary_line(record))
            print_violations(record)
    click.echo(f"{done} plays, {violated} with a broken rule")
    exit_by_violations(violated)


def _listed_names() -> list[str]:
    return [path.stem for path in sorted(SCENARIOS.glob("*.toml"))]


def _run_scenario(name: str, seed: int) -> Mapping[str, Any]:
    """In a process of its own."""
    from ochrehoist.lab.scenario_runner import ScenarioRun

    silence_asyncio()
    return ScenarioRun(load_scenario(name), seed).run()


def _summary_line(record: Mapping[str, Any]) -> str:
    goodput = ", ".join(f"{span} {classes['all']:.3f}" for span, classes in record["goodput"].items())
    budgets = "".join(
        f", {name} {budget['most']}/{budget['amount']}" for name, budget in record["budgets"].items()
    )
    verdict = "rules kept" if not record["broken"] else f"{len(record['broken'])} BROKEN"
    return (
        f"{record['scenario']} seed {record['seed']}: {verdict}; goodput {goodput}{budgets}, "
        f"{record['tries_per_call']:.2f} tries a call"
    )


def _page(title: str, origin: str, record: Mapping[str, Any]) -> str:
    """A run with its pictures as one HTML page."""
    from ochrehoist.plan.report import page

    goodput = record["goodput"]
    goodput_rows = [[span, *classes.values()] for span, classes in goodput.items()]
    budget_rows = [[name, budget["amount"], budget["most"]] for name, budget in record["budgets"].items()]
    tables = [
        ("Worth gained", ["span", *next(iter(goodput.values()))], goodput_rows),
        ("Budgets", ["budget", "amount", "most used"], budget_rows),
        ("What was done", ["s", "event"], record["events"]),
    ]
    return page("play", title, origin, record, tables, record["broken"])
