"""Who sends requests, and how long each caller waits before it gives up.

Callers give up after a time of their own that no request tells, often the same for all they send; what ends
later is waste. The cost of the estimate: requests that are cancelled for other reasons count as timeouts.
"""

from collections import deque
from typing import NamedTuple

from ochrehoist.admission.job import Job
from ochrehoist.units import NS_PER_S

CALLER_RETENTION_NS = 10.0 * NS_PER_S  # a caller counts as sending to us for so long after its last request
CANCELLATIONS_KEPT = 12  # by caller, the newest
MIN_CANCELLATIONS = CANCELLATIONS_KEPT // 4  # more than these make an estimate
EARLY_CANCELLATION_SHARE = 0.1  # of the objective: what is cancelled sooner says nothing of the timeout


class TimeoutEstimate(NamedTuple):
    """How long a caller waits for an answer, in ns, and until when that is believed."""

    timeout_ns: int
    valid_until_ns: float


class CallerTracker:
    """The callers of the last seconds."""

    def __init__(self) -> None:
        """No caller is known."""
        self.last_seen_ns: dict[int, int] = {}  # by caller, the one silent for longest first
        self.cancellation_ages_ns: dict[int, deque[int]] = {}
        self.timeouts: dict[int, TimeoutEstimate] = {}

    def observe_request(self, caller: int, now_ns: int) -> None:
        """A caller has sent a request."""
        self.last_seen_ns.pop(caller, None)
        self.last_seen_ns[caller] = now_ns

    def observe_cancellation(self, caller: int, arrived_at_ns: int, now_ns: int) -> None:
        """A caller gave up; of what was cancelled lately the upper quartile of the ages is its timeout."""
        ages = self.cancellation_ages_ns.setdefault(caller, deque(maxlen=CANCELLATIONS_KEPT))
        ages.append(now_ns - arrived_at_ns)
        if len(ages) > MIN_CANCELLATIONS:
            upper_quartile_ns = sorted(ages)[len(ages) * 3 // 4]
            self.timeouts[caller] = TimeoutEstimate(upper_quartile_ns, now_ns + CALLER_RETENTION_NS)

    def timeout_ns(self, job: Job, now_ns: int) -> int:
        """How long the caller of a request waits; its class's deadline where nothing is known."""
        estimate = self.timeouts.get(job.request.caller)
        if estimate is None or now_ns >= estimate.valid_until_ns:
            return job.request_class.deadline_ns
        return estimate.timeout_ns

    def expire(self, now_ns: int) -> None:
        """Forgets callers that are silent."""
        while self.last_seen_ns and now_ns - next(iter(self.last_seen_ns.values())) > CALLER_RETENTION_NS:
            caller = next(iter(self.last_seen_ns))
            for known in (self.last_seen_ns, self.cancellation_ages_ns, self.timeouts):
                known.pop(caller, None)

    def restore(
        self,
        last_seen_ns: dict[int, int],
        cancellation_ages_ns: dict[int, list[int]],
        timeouts: dict[int, TimeoutEstimate],
    ) -> None:
        """Continues from what was learned elsewhere."""
        self.last_seen_ns = last_seen_ns
        self.timeouts = timeouts
        self.cancellation_ages_ns = {
            caller: deque(ages, maxlen=CANCELLATIONS_KEPT) for caller, ages in cancellation_ages_ns.items()
        }
