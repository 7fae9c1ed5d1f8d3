"""Index of the retained idempotency keys, and of ended requests that a duplicate may refer to."""

import itertools
from heapq import heappop, heappush
from typing import NamedTuple

from ochrehoist.admission.events import RequestId
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import AdmissionSettings, Idempotency


class _Expiry(NamedTuple):
    at_ns: int
    number: int  # orders expiries of the same time, since ids need not be comparable
    job_id: RequestId
    is_key: bool  # True: the key in `retained` expires; False: the request in `ended`


class IdempotencyIndex:
    """Requests whose keys are retained, and ended requests of which a duplicate may arrive."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.retained: dict[RequestId, Job] = {}
        self.ended: dict[RequestId, Job] = {}
        self._clock_step_ns = settings.clock_step_ns
        self._expiries: list[_Expiry] = []
        self._expiry_numbers = itertools.count()

    def retain(self, job: Job, now_ns: int) -> int:
        """Retains the key of a request until its idempotency window ends; returns the time left in ns."""
        step_ns = self._clock_step_ns
        window_ends_ns = job.arrived_at_ns + job.request_class.idempotency_window_ns + step_ns
        ttl_ns = max(step_ns, window_ends_ns - now_ns)
        job.key_retained = True
        self.retained[job.request.id] = job
        self._schedule_expiry(now_ns + ttl_ns, job, True)
        return ttl_ns

    def release(self, job: Job) -> None:
        """Removes the key of a request that never ran."""
        self.retained.pop(job.request.id, None)
        job.key_retained = False

    def record_ended(self, job: Job, now_ns: int) -> None:
        """Keeps a request that has ended if a duplicate of it may still arrive."""
        ran_with_key = job.started and job.request_class.idempotency is Idempotency.KEYED
        if not ran_with_key and not job.key_retained:
            return
        self.ended[job.request.id] = job
        retention_ns = 2 * job.request_class.idempotency_window_ns + job.request_class.deadline_ns
        self._schedule_expiry(now_ns + retention_ns, job, False)

    def _schedule_expiry(self, at_ns: int, job: Job, is_key: bool) -> None:
        heappush(self._expiries, _Expiry(at_ns, next(self._expiry_numbers), job.request.id, is_key))

    def expire(self, now_ns: int) -> None:
        """Removes keys and ended requests whose retention time is over."""
        while self._expiries and self._expiries[0].at_ns <= now_ns:
            expiry = heappop(self._expiries)
            (self.retained if expiry.is_key else self.ended).pop(expiry.job_id, None)
