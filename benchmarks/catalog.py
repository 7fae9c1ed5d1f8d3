"""The benchmarks by name: the module of each, what it measures, and its unit."""

import argparse
from dataclasses import dataclass
from typing import Protocol


class BenchmarkModule(Protocol):
    """What the command line asks of a benchmark's module."""

    __doc__: str | None

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the benchmark's arguments."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Measure, print, and give the exit code: 0 unless a check of the benchmark failed."""


@dataclass(frozen=True)
class Benchmark:
    """One subcommand of `python -m benchmarks`; docs/benchmarks.md says how to read it."""

    name: str
    module: str
    measures: str
    unit: str


BENCHMARKS = (
    Benchmark(
        "decision-equivalence",
        "benchmarks.decisions.equivalence",
        "whether the admission controller decides as an earlier revision did, over random histories",
        "histories that differ",
    ),
    Benchmark(
        "decision-histories",
        "benchmarks.decisions.histories",
        "one tree's decisions over random histories; decision-equivalence runs it",
        "digest of a history",
    ),
    Benchmark(
        "decision-cost",
        "benchmarks.decisions.cost",
        "a tick and a request of the admission controller by tenants, beside an earlier revision",
        "us of processor time, kB",
    ),
    Benchmark(
        "read-cost",
        "benchmarks.requests.read_cost",
        "one small read on each front, beside an earlier revision, with capture or in a fleet",
        "us of processor time",
    ),
    Benchmark(
        "flood",
        "benchmarks.requests.flood",
        "a rejection under a flood, and the health checks and filings beside it, against an earlier revision",
        "us of processor time, ms",
    ),
    Benchmark(
        "route-lookup",
        "benchmarks.requests.route_lookup",
        "the check of an AJP request by the size of the route table, beside an earlier revision",
        "us",
    ),
    Benchmark(
        "config-load",
        "benchmarks.configuration.loading",
        "reading a configuration and its changes at several sizes, beside an earlier revision",
        "s of processor time, ms, MB",
    ),
    Benchmark(
        "config-reload",
        "benchmarks.configuration.reload",
        "what clients wait while an appliance reloads its configuration, at several sizes",
        "ms, MB",
    ),
    Benchmark(
        "store-load",
        "benchmarks.store.load",
        "filings with the store and without, the store alone, and a start with many filings on record",
        "ms, filings/s, s, MB",
    ),
    Benchmark(
        "store-kills",
        "benchmarks.store.kills",
        "filings that ran twice or were lost over thousands of kills of a worker with a store",
        "filings",
    ),
    Benchmark(
        "store-engines",
        "benchmarks.store.engines",
        "LMDB, SQLite and an append-only log: commits, size, and what damage does",
        "ms, filings/s, KB",
    ),
    Benchmark(
        "warm-start",
        "benchmarks.store.warm_start",
        "goodput after a restart under overload, with the learned state and without",
        "share of requests in time",
    ),
    Benchmark(
        "peers",
        "benchmarks.fleet.peers",
        "membership, failure detection, budgets, counters and outlier ejection of a fleet",
        "datagrams/s, s, shares",
    ),
    Benchmark(
        "site-loss",
        "benchmarks.fleet.site_loss",
        "goodput through the loss and the return of a site, with [sites] and without",
        "share of requests in time, s",
    ),
    Benchmark(
        "recovery",
        "benchmarks.fleet.recovery",
        "what witnesses cost a filing, and restarts with stores kept, lost and older",
        "ms, broken invariants",
    ),
    Benchmark(
        "upgrade",
        "benchmarks.fleet.upgrade",
        "an earlier release replaced by this tree with requests open",
        "answers, runs",
    ),
    Benchmark(
        "limit-algorithms",
        "benchmarks.overload.limit_algorithms",
        "concurrency limit algorithms on modelled machines, against the best fixed limit",
        "share of the work done, runs, s",
    ),
    Benchmark(
        "overload-policies",
        "benchmarks.overload.policies",
        "concurrency limits, bulkheads, low-priority lane and retry budgets in fleets on virtual time",
        "goodput",
    ),
    Benchmark(
        "forecast-accuracy",
        "benchmarks.planner.accuracy",
        "the planner's forecasts beside real workers on loopback",
        "goodput",
    ),
    Benchmark(
        "planner-example",
        "benchmarks.planner.walkthrough",
        "nothing: makes the example of docs/planner.md anew",
        "pages",
    ),
    Benchmark(
        "scaling",
        "benchmarks.scaling.measure",
        "how the cost of each part grows with size, and the size at which it exceeds its limit",
        "us, bytes",
    ),
    Benchmark(
        "scaling-table",
        "benchmarks.scaling.table",
        "nothing: the tables of docs/CAPACITY.md, of two files of `scaling --json`",
        "table",
    ),
    Benchmark(
        "peer-tenants",
        "benchmarks.scaling.peer_tenants",
        "whether members of a fleet still hear each other, by the number of tenants they answer",
        "members, messages",
    ),
)
