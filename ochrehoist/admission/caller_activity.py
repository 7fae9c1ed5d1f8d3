"""Active callers, and estimates of their client-side timeouts.

A caller gives up after a timeout that is not part of the request and is often the same for all its requests;
a run that ends later is wasted work. The estimate counts every cancellation as a timeout, also one that had
another reason.
"""

from collections import deque
from typing import NamedTuple

from ochrehoist.admission.job import Job
from ochrehoist.units import NS_PER_S

CALLER_RETENTION_NS = 10.0 * NS_PER_S  # a caller counts as active for this time after its last request
CANCELLATIONS_KEPT = 12  # only the newest cancellations of each caller are kept
MIN_CANCELLATIONS = CANCELLATIONS_KEPT // 4  # a timeout is estimated from more cancellations than this
# A cancellation before this share of the latency objective is no evidence of a timeout.
EARLY_CANCELLATION_SHARE = 0.1


class TimeoutEstimate(NamedTuple):
    """Estimated timeout of a caller, and the time until which the estimate is used."""

    timeout_ns: int
    valid_until_ns: float


class CallerTracker:
    """Callers that sent requests in the last seconds, with their cancellations and estimated timeouts."""

    def __init__(self) -> None:
        self.last_seen_ns: dict[int, int] = {}  # by caller, least recently seen first
        self.cancellation_ages_ns: dict[int, deque[int]] = {}
        self.timeouts: dict[int, TimeoutEstimate] = {}

    def observe_request(self, caller: int, now_ns: int) -> None:
        """Records that a caller has sent a request."""
        self.last_seen_ns.pop(caller, None)
        self.last_seen_ns[caller] = now_ns

    def observe_cancellation(self, caller: int, arrived_at_ns: int, now_ns: int) -> None:
        """Records a cancelled request; the caller's timeout is the upper quartile of their recent ages."""
        ages = self.cancellation_ages_ns.setdefault(caller, deque(maxlen=CANCELLATIONS_KEPT))
        ages.append(now_ns - arrived_at_ns)
        if len(ages) > MIN_CANCELLATIONS:
            upper_quartile_ns = sorted(ages)[len(ages) * 3 // 4]
            self.timeouts[caller] = TimeoutEstimate(upper_quartile_ns, now_ns + CALLER_RETENTION_NS)

    def timeout_ns(self, job: Job, now_ns: int) -> int:
        """Returns the estimated timeout of a request's caller; the deadline of its class without one."""
        estimate = self.timeouts.get(job.request.caller)
        if estimate is None or now_ns >= estimate.valid_until_ns:
            return job.request_class.deadline_ns
        return estimate.timeout_ns

    def expire(self, now_ns: int) -> None:
        """Removes callers that have sent nothing within the retention time."""
        while self.last_seen_ns and now_ns - next(iter(self.last_seen_ns.values())) > CALLER_RETENTION_NS:
            caller = next(iter(self.last_seen_ns))
            for by_caller in (self.last_seen_ns, self.cancellation_ages_ns, self.timeouts):
                by_caller.pop(caller, None)

    def restore(
        self,
        last_seen_ns: dict[int, int],
        cancellation_ages_ns: dict[int, list[int]],
        timeouts: dict[int, TimeoutEstimate],
    ) -> None:
        """Sets what another controller has learned."""
        self.last_seen_ns = last_seen_ns
        self.timeouts = timeouts
        self.cancellation_ages_ns = {
            caller: deque(ages, maxlen=CANCELLATIONS_KEPT) for caller, ages in cancellation_ages_ns.items()
        }
