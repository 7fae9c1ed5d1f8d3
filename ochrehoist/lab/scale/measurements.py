"""Figures between two samples of a scale run. No I/O."""

import statistics
from collections.abc import Callable, Collection, Mapping, Sequence

from msgspec import UNSET, Struct, UnsetType

from ochrehoist.lab.hollow.protocol import ProcessSample, WorkerSample
from ochrehoist.lab.scale.results import KB_PER_MB, RealWorkerSample, RestFigures, Spread, spread
from ochrehoist.net.peers import PEER_TICK_INTERVAL_S

MAX_STALLED_FRACTION = 0.005  # of the ticks, beyond which figures are not trusted
MIN_SPAN_S = 1e-9

# Counters whose rates are told of each worker, by their key in the result file.
HOLLOW_COUNTERS: dict[str, Callable[[WorkerSample], float]] = {
    "bytes_out_per_s": lambda sample: sample.bytes_out,
    "bytes_in_per_s": lambda sample: sample.bytes_in,
    "sent_per_s": lambda sample: sample.sent,
    "received_per_s": lambda sample: sample.received,
    "peers_cpu_s": lambda sample: sample.peers_cpu_s,
}
REAL_COUNTERS: dict[str, Callable[[RealWorkerSample], float]] = {
    "bytes_out_per_s": lambda sample: sample.bytes_out,
    "bytes_in_per_s": lambda sample: sample.bytes_in,
    "sent_per_s": lambda sample: sample.sent,
    "received_per_s": lambda sample: sample.received,
    "peers_cpu_s": lambda sample: sample.peers_cpu_s,
    "cpu_s": lambda sample: sample.cpu_s,
}


class GroupSample(Struct, frozen=True):
    """The counters of all processes at one moment, `at_s` by the machine's clock."""

    at_s: float
    processes: list[ProcessSample]
    real: list[RealWorkerSample]

    def workers(self) -> list[WorkerSample]:
        """The hollow workers of all processes."""
        return [worker for process in self.processes for worker in process.workers]


def rest_figures(
    before: GroupSample, after: GroupSample, voters: Collection[str], base_mb: float
) -> RestFigures:
    """What each worker sent, received and cost, a second of its clock.

    `base_mb` is the memory of a process before its workers, which is not theirs.
    """
    rates = _hollow_rates(before, after)
    process_pairs = list(zip(before.processes, after.processes, strict=True))
    span_s = statistics.fmean(last.at_s - first.at_s for first, last in process_pairs)
    harness_cpu_s = sum(last.harness_cpu_s - first.harness_cpu_s for first, last in process_pairs)
    cpu_s = sum(last.cpu_s - first.cpu_s for first, last in process_pairs) - harness_cpu_s
    workers = after.workers()
    hollow_count = len(workers)
    resident_mb = sum(process.resident_kb for process in after.processes) / KB_PER_MB
    return RestFigures(
        hollow=_spread_of_rates(rates, rates),
        not_voters=_spread_of_rates(rates, rates.keys() - set(voters)),
        duration_s=round(span_s, 2),
        hollow_count=hollow_count,
        harness_cpu_s=round(harness_cpu_s, 3),
        cpu_share=cpu_s / span_s / hollow_count,
        resident_mb=resident_mb / hollow_count - base_mb * len(after.processes) / hollow_count,
        state_bytes=spread([worker.state_bytes for worker in workers]),
        status_bytes=spread([worker.status_bytes for worker in workers]),
        tick_ms=spread([1000 * cpu for worker in workers for cpu in worker.tick_cpu_s]),
        stall_count=sum(worker.stall_count for worker in workers)
        - sum(worker.stall_count for worker in before.workers()),
        death_count=sum(worker.death_count for worker in workers),
        rejected_count=sum(worker.rejected_count for worker in workers),
        real=_real_figures(before, after),
    )


def _hollow_rates(before: GroupSample, after: GroupSample) -> dict[str, dict[str, float]]:
    """The rate of each counter, by worker; a counter that went back counts as 0."""
    first = {
        worker.name: (worker, process.at_s) for process in before.processes for worker in process.workers
    }
    rates: dict[str, dict[str, float]] = {}
    for process in after.processes:
        for worker in process.workers:
            if worker.name not in first:
                continue
            earlier, earlier_at_s = first[worker.name]
            span_s = max(MIN_SPAN_S, process.at_s - earlier_at_s)
            rates[worker.name] = {
                key: max(0.0, count(worker) - count(earlier)) / span_s
                for key, count in HOLLOW_COUNTERS.items()
            }
    return rates


def _spread_of_rates(
    rates: Mapping[str, Mapping[str, float]], names: Collection[str]
) -> dict[str, Spread | None]:
    return {key: spread([rates[name][key] for name in names]) for key in HOLLOW_COUNTERS}


def _real_figures(before: GroupSample, after: GroupSample) -> dict[str, Spread | None] | UnsetType:
    """Of the real workers, by the machine's clock; unset where there are none."""
    if not after.real:
        return UNSET
    span_s = after.at_s - before.at_s
    pairs = list(zip(before.real, after.real, strict=True))
    figures = {
        key: spread([(count(last) - count(first)) / span_s for first, last in pairs])
        for key, count in REAL_COUNTERS.items()
    }
    figures["rss_mb"] = spread([sample.resident_kb / KB_PER_MB for sample in after.real])
    return figures


def is_trustworthy(stall_count: int, hollow_count: int, duration_s: float) -> bool:
    """Whether the machine kept workers waiting so seldom that their figures are to be trusted."""
    return stall_count <= MAX_STALLED_FRACTION * hollow_count * duration_s / PEER_TICK_INTERVAL_S


class Traffic(Struct, frozen=True):
    """What workers sent in a span, and how much of it beyond what they send at rest."""

    total: int
    beyond_rest: int


def traffic(
    before: Sequence[WorkerSample],
    after: Sequence[WorkerSample],
    count: Callable[[WorkerSample], int],
    rest: Spread | None,
    duration_s: float,
) -> Traffic:
    """By a counter, for the workers that are in both samples; one that was restarted counts from 0.

    `rest` is the rate at rest, and `duration_s` the span by the workers' clocks.
    """
    earlier = {worker.name: count(worker) for worker in before}
    later = {worker.name: count(worker) for worker in after}
    total = sum(
        later[name] - (earlier[name] if later[name] >= earlier[name] else 0)
        for name in later
        if name in earlier
    )
    mean_rate = rest.mean if rest is not None else 0.0
    return Traffic(total, round(total - mean_rate * duration_s * len(later)))
