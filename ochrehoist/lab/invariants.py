"""The invariants of a run of a scenario, checked from outside: by answers, service runs and statuses.

No I/O; times in s. Each function returns a line for each violation.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ochrehoist.lab.fault_schedule import FaultKind
from ochrehoist.lab.outcomes import REJECTED, Attempt, Call, FaultSpan, ServiceRun, SlotHolding

# While one of these is done to a worker, its callers may get no answer in time.
DISTURBING_FAULTS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.PAUSE,
        FaultKind.CUT,
        FaultKind.HOLD,
        FaultKind.DELAY,
        FaultKind.TRICKLE,
        FaultKind.CROWD,
    }
)

RunKey = tuple[str, int, str]  # worker, process, idempotency key


@dataclass(frozen=True)
class Evidence:
    """What a run is judged by.

    Attributes:
        calls: of all callers.
        runs: of all services.
        faults: that callers may have noticed.
        process_starts: when each process of a worker began, by worker.
        slack_s: by how much this machine itself was late.
        store_kept: what ran is on record for the next process of a worker.
        runs_known: the next process knows what ran, by its store or by witnesses.
    """

    calls: Sequence[Call]
    runs: Sequence[ServiceRun]
    faults: Sequence[FaultSpan]
    process_starts: Mapping[str, Sequence[float]]
    slack_s: float
    store_kept: bool = False
    runs_known: bool = False
    runs_by_key: dict[RunKey, list[ServiceRun]] = field(init=False)

    def __post_init__(self) -> None:
        by_key: dict[RunKey, list[ServiceRun]] = defaultdict(list)
        for run in self.runs:
            if run.idempotency_key:
                process = self._process_at(run.worker, run.started_s)
                by_key[run.worker, process, run.idempotency_key].append(run)
        object.__setattr__(self, "runs_by_key", dict(by_key))

    @property
    def processes_are_one(self) -> bool:
        """Whether all processes of a worker count as one, as each knows what ran in those before."""
        return self.store_kept or self.runs_known

    def _process_at(self, worker: str, time_s: float) -> int:
        if self.processes_are_one:
            return 0
        return bisect_right(self.process_starts.get(worker, ()), time_s) - 1

    def runs_of(self, call: Call, attempt: Attempt) -> list[ServiceRun]:
        """The runs of a filing that the process which got the attempt knows, or knew."""
        if not call.idempotency_key:
            return []
        process = 0 if self.processes_are_one else attempt.process_number
        runs = self.runs_by_key.get((attempt.worker, process, call.idempotency_key), [])
        if self.store_kept:
            return runs
        # A rejection of a filing that is held back is no lie: it is not known to have run.
        starts = self.process_starts.get(attempt.worker, [0.0])
        since_s = starts[min(attempt.process_number, len(starts) - 1)]
        return [run for run in runs if run.started_s >= since_s]


def violations(evidence: Evidence) -> list[str]:
    """All invariants that callers and services show."""
    return unanswered_attempts(evidence) + repeated_filings(evidence) + false_rejections(evidence)


def unanswered_attempts(evidence: Evidence) -> list[str]:
    """Attempts without an answer by their due time, while nothing was done to their worker."""
    disturbances = [fault for fault in evidence.faults if fault.kind in DISTURBING_FAULTS]
    found = []
    for call in evidence.calls:
        for attempt in call.attempts:
            # Each attempt is a request of its own, which has its time from when it came.
            latest_s = attempt.started_s + call.due_s - call.started_s + evidence.slack_s
            if _answered_by(attempt, latest_s) or _is_excused(attempt, latest_s, disturbances):
                continue
            duration = "none" if attempt.ended_s is None else f"{attempt.ended_s - attempt.started_s:.2f} s"
            found.append(
                f"call {call.number} at {call.started_s:.2f} s: no answer of {attempt.worker} by its due "
                f"time ({duration}, status {attempt.status})"
            )
    return found


def _answered_by(attempt: Attempt, latest_s: float) -> bool:
    return attempt.status > 0 and attempt.ended_s is not None and attempt.ended_s <= latest_s


def _is_excused(attempt: Attempt, latest_s: float, disturbances: Iterable[FaultSpan]) -> bool:
    return any(
        fault.target == attempt.worker and fault.since_s <= latest_s and fault.until_s >= attempt.started_s
        for fault in disturbances
    )


def repeated_filings(evidence: Evidence) -> list[str]:
    """Filings that one worker ran more than once."""
    found = []
    for (worker, _, key), runs in evidence.runs_by_key.items():
        if len(runs) > 1:
            places = ", ".join(f"{run.started_s:.2f} s at {run.service}" for run in runs)
            found.append(f"filing {key} ran {len(runs)} times at {worker}: {places}")
    return found


def false_rejections(evidence: Evidence) -> list[str]:
    """Filings that were rejected, which says that they never ran, after they had run there."""
    return [
        f"filing {call.idempotency_key} was refused by {attempt.worker} at {attempt.ended_s:.2f} s after it "
        "ran there"
        for call in evidence.calls
        for attempt in call.attempts
        if attempt.status == REJECTED
        and any(run.started_s < attempt.started_s for run in evidence.runs_of(call, attempt))
    ]


def doubly_held_slots(holdings: Iterable[SlotHolding]) -> list[str]:
    """Lease slots that two processes held at once."""
    by_slot: dict[tuple[str, str], list[SlotHolding]] = defaultdict(list)
    for holding in holdings:
        if holding.since_s < holding.until_s:
            by_slot[holding.budget, holding.slot].append(holding)
    found = []
    for (budget, slot), of_slot in by_slot.items():
        of_slot.sort(key=lambda holding: holding.since_s)
        last = of_slot[0]
        for holding in of_slot[1:]:
            if holding.holder != last.holder and holding.since_s < last.until_s:
                found.append(
                    f"right {slot} of {budget} was held by {last.worker} until {last.until_s:.3f} s and by "
                    f"{holding.worker} from {holding.since_s:.3f} s"
                )
            last = holding if holding.until_s > last.until_s else last
    return found
