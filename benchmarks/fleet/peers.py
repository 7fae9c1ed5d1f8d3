"""What a fleet of workers costs and brings.

On virtual time: `network-load` of one worker by the size of the fleet, `failure-detection`, `budget-use`,
`counter-error`. `ejection REVISION`: real workers with one server of three 20 times slower, and with one
gone, beside an earlier revision in alternation.
"""

import argparse
from enum import StrEnum
from statistics import fmean, median

from benchmarks.fleet import outlier_ejection
from benchmarks.fleet.outlier_ejection import EjectionFigures
from benchmarks.fleet.virtual_fleets import (
    NetworkLoad,
    budget_use,
    counter_errors,
    failure_detection,
    network_load,
)
from benchmarks.shared.revisions import Tree, before_and_now
from benchmarks.shared.samples import MEDIAN, P99, percentile

FLEET_SIZES = (5, 20, 200)


class Measurement(StrEnum):
    """What is measured."""

    NETWORK_LOAD = "network-load"
    FAILURE_DETECTION = "failure-detection"
    BUDGET_USE = "budget-use"
    COUNTER_ERROR = "counter-error"
    EJECTION = "ejection"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the benchmark's arguments."""
    measurements = parser.add_subparsers(dest="measurement", required=True, metavar="MEASUREMENT")
    for measurement in Measurement:
        measurement_parser = measurements.add_parser(measurement)
        if measurement is not Measurement.NETWORK_LOAD:
            measurement_parser.add_argument("--seeds", type=int, default=3)
        if measurement is Measurement.EJECTION:
            measurement_parser.add_argument("revision", help="the earlier one")


def run(arguments: argparse.Namespace) -> int:
    """Measure what was asked for and print it."""
    match Measurement(arguments.measurement):
        case Measurement.NETWORK_LOAD:
            for members in FLEET_SIZES:
                print_network_load(members, network_load(members))
        case Measurement.FAILURE_DETECTION:
            _print_failure_detection(arguments.seeds)
        case Measurement.BUDGET_USE:
            _print_budget_use(arguments.seeds)
        case Measurement.COUNTER_ERROR:
            _print_counter_errors(arguments.seeds)
        case Measurement.EJECTION:
            with before_and_now(arguments.revision) as trees:
                for measured in outlier_ejection.ejection_figures(trees, arguments.seeds):
                    print_ejection(*measured)
    return 0


def print_network_load(members: int, load: NetworkLoad) -> None:
    """Print the line of one size."""
    print(
        f"{members} members: {median(load.datagrams_per_s):.0f} datagrams/s "
        f"({max(load.datagrams_per_s):.0f} at the most), {median(load.bytes_per_s) / 1000:.1f} kB/s "
        f"({max(load.bytes_per_s) / 1000:.1f}), {load.cpu_ms_per_s:.1f} ms of a core each second"
    )


def print_ejection(fault: str, seed: int, tree: Tree, figures: EjectionFigures) -> None:
    """Print the line of one scenario."""
    print(
        f"{fault} seed {seed} {tree.name}: goodput quiet {figures.quiet_goodput:.3f}, "
        f"fault {figures.fault_goodput:.3f}, after {figures.after_goodput:.3f}; "
        f"runs a call {figures.runs_a_call:.3f}, {outlier_ejection.SERVER} {figures.runs_at_server}, "
        f"ejected by {len(figures.first_ejected_s)} at {figures.first_ejected_s}, "
        f"{figures.ejections} times; broken {figures.broken_invariants}",
        flush=True,
    )


def _print_failure_detection(fleets: int) -> None:
    figures = failure_detection(fleets)
    print(
        f"{len(figures.detected_s)} deaths noticed: p50 {percentile(figures.detected_s, MEDIAN):.2f} s, "
        f"p99 {percentile(figures.detected_s, P99):.2f} s; {figures.false_detections} false in "
        f"{figures.worker_hours:.1f} worker hours"
    )


def _print_budget_use(fleets: int) -> None:
    use = budget_use(fleets)
    for name, values in (
        ("used by all", use.by_all),
        ("used by one", use.by_one),
        ("in a partition", use.in_partition),
        ("recovered after s", use.recovered_s),
    ):
        print(f"{name}: {fmean(values):.3f} ({min(values):.3f} to {max(values):.3f})")


def _print_counter_errors(fleets: int) -> None:
    figures = counter_errors(fleets)
    print(
        f"{len(figures.errors)} readings: true error p50 {median(figures.errors):.0f}, at the most "
        f"{max(figures.errors)}; stated bound p50 {median(figures.bounds):.0f}, at the most "
        f"{max(figures.bounds)}; {figures.outside} outside"
    )
