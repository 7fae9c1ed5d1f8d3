"""The benchmarks by name: the module of each, what it measures, its unit and how long it takes."""

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
    """One subcommand of `python -m benchmarks`."""

    name: str
    module: str
    measures: str
    unit: str
    duration: str


BENCHMARKS = (
    Benchmark(
        "decision-equivalence",
        "benchmarks.decisions.equivalence",
        "whether the admission controller decides as an earlier revision did, over random histories",
        "histories that differ",
        "0.2 s a history",
    ),
    Benchmark(
        "decision-histories",
        "benchmarks.decisions.histories",
        "one tree's decisions over random histories; decision-equivalence runs it",
        "digest of a history",
        "0.1 s a history",
    ),
    Benchmark(
        "decision-cost",
        "benchmarks.decisions.cost",
        "a tick and a request of the admission controller by tenants, beside an earlier revision",
        "us of processor time, kB",
        "5 minutes",
    ),
    Benchmark(
        "read-cost",
        "benchmarks.requests.read_cost",
        "one small read on each front, beside an earlier revision, with capture or in a fleet",
        "us of processor time",
        "2 minutes",
    ),
    Benchmark(
        "flood",
        "benchmarks.requests.flood",
        "a rejection under a flood, and the health checks and filings beside it, against an earlier revision",
        "us of processor time, ms",
        "1 minute",
    ),
    Benchmark(
        "route-lookup",
        "benchmarks.requests.route_lookup",
        "the check of an AJP request by the size of the route table, beside an earlier revision",
        "us",
        "2 minutes",
    ),
    Benchmark(
        "config-load",
        "benchmarks.configuration.loading",
        "reading a configuration and its changes at several sizes, beside an earlier revision",
        "s of processor time, ms, MB",
        "10 minutes",
    ),
    Benchmark(
        "config-reload",
        "benchmarks.configuration.reload",
        "what clients wait while an appliance reloads its configuration, at several sizes",
        "ms, MB",
        "5 minutes a tree",
    ),
    Benchmark(
        "store-load",
        "benchmarks.store.load",
        "filings with the store and without, the store alone, and a start with many filings on record",
        "ms, filings/s, s, MB",
        "1 minute",
    ),
    Benchmark(
        "store-kills",
        "benchmarks.store.kills",
        "filings that ran twice or were lost over thousands of kills of a worker with a store",
        "filings",
        "10 minutes for 2,000 kills",
    ),
    Benchmark(
        "store-engines",
        "benchmarks.store.engines",
        "LMDB, SQLite and an append-only log: commits, size, and what damage does",
        "ms, filings/s, KB",
        "5 minutes; needs the extra `lab`",
    ),
    Benchmark(
        "warm-start",
        "benchmarks.store.warm_start",
        "goodput after a restart under overload, with the learned state and without",
        "share of requests in time",
        "1 minute a round",
    ),
    Benchmark(
        "peers",
        "benchmarks.fleet.peers",
        "membership, failure detection, budgets, counters and outlier ejection of a fleet",
        "datagrams/s, s, shares",
        "1 to 10 minutes",
    ),
    Benchmark(
        "site-loss",
        "benchmarks.fleet.site_loss",
        "goodput through the loss and the return of a site, with [sites] and without",
        "share of requests in time, s",
        "5 minutes",
    ),
    Benchmark(
        "witnesses",
        "benchmarks.fleet.witnesses",
        "what witnesses cost a filing, and restarts with stores kept, lost and older",
        "ms, broken invariants",
        "2 minutes; 2,000 restarts 30 minutes",
    ),
    Benchmark(
        "upgrade",
        "benchmarks.fleet.upgrade",
        "an earlier release replaced by this tree with requests open",
        "answers, runs",
        "10 s",
    ),
    Benchmark(
        "limit-algorithms",
        "benchmarks.overload.limit_algorithms",
        "concurrency limit algorithms on modelled machines, against the best fixed limit",
        "share of the work done, runs, s",
        "10 minutes",
    ),
    Benchmark(
        "overload-policies",
        "benchmarks.overload.policies",
        "concurrency limits, bulkheads, low-priority lane and retry budgets in fleets on virtual time",
        "goodput",
        "10 minutes",
    ),
    Benchmark(
        "forecast-accuracy",
        "benchmarks.planner.accuracy",
        "the planner's forecasts beside real workers on loopback",
        "goodput",
        "5 minutes a seed",
    ),
    Benchmark(
        "planner-example",
        "benchmarks.planner.walkthrough",
        "nothing: makes the example of docs/planner.md anew",
        "pages",
        "10 minutes",
    ),
    Benchmark(
        "scaling",
        "benchmarks.scaling.measure",
        "how the cost of each part grows with size, and the size at which it exceeds its limit",
        "us, bytes",
        "20 minutes",
    ),
    Benchmark(
        "scaling-table",
        "benchmarks.scaling.table",
        "nothing: the tables of docs/CAPACITY.md, of two files of `scaling --json`",
        "table",
        "1 s",
    ),
    Benchmark(
        "peer-tenants",
        "benchmarks.scaling.peer_tenants",
        "whether members of a fleet still hear each other, by the number of tenants they answer",
        "members, messages",
        "30 s a size",
    ),
)
