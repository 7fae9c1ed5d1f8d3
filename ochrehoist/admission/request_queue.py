"""Queue of requests that wait to start, in groups of equal priority."""

from collections.abc import Callable

from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.events import RequestId
from ochrehoist.admission.job import Job
from ochrehoist.admission.priority import PriorityModel
from ochrehoist.units import NS_PER_S

SHORT_QUEUE = 8  # queues up to this length are fully evaluated at every event
EVALUATION_INTERVAL_NS = NS_PER_S // 200  # minimum time between full evaluations of a longer queue

# Class, tenant, whether expensive, and stated work, which determine the priority.
GroupKey = tuple[int, int | None, bool, bool | int | None]


class RequestQueue:
    """Queued requests by id, and by groups of equal priority in arrival order."""

    def __init__(self, weighs_work: bool, concurrency: ConcurrencyTracker, priority: PriorityModel) -> None:
        """With `weighs_work` the weight of a request counts per unit of its work."""
        self.jobs: dict[RequestId, Job] = {}
        self.groups: dict[GroupKey, dict[RequestId, Job]] = {}
        self.newest: Job | None = None  # the last request queued during the current event
        self._evaluated_at_ns = 0
        self._weighs_work = weighs_work
        self._concurrency = concurrency
        self._priority = priority

    def begin_event(self) -> None:
        """Resets what refers to the current event."""
        self.newest = None

    def add(self, job: Job) -> None:
        """Queues a request."""
        self.jobs[job.request.id] = job
        self.groups.setdefault(self._group_key(job), {})[job.request.id] = job
        self.newest = job

    def remove(self, job: Job) -> None:
        """Removes a request if it is queued."""
        if self.jobs.pop(job.request.id, None) is None:
            return
        key = self._group_key(job)
        group = self.groups[key]
        del group[job.request.id]
        if not group:
            del self.groups[key]

    def _group_key(self, job: Job) -> GroupKey:
        request = job.request
        stated_work = self._weighs_work or request.work_ns
        return request.class_index, request.tenant_index, job.expensive, stated_work

    def begin_full_evaluation(self, now_ns: int) -> bool:
        """Returns whether a full evaluation of the queue is due, and records its time if so.

        A long queue is fully evaluated only at intervals, which bounds the cost of an event. Requests in it
        that would miss their objective are rejected later by up to that interval.
        """
        age_ns = now_ns - self._evaluated_at_ns
        due = len(self.jobs) <= SHORT_QUEUE or age_ns >= EVALUATION_INTERVAL_NS
        if due:
            self._evaluated_at_ns = now_ns
        return due

    def by_priority(self) -> list[list[Job]]:
        """Returns the groups in order of priority, highest first."""
        groups = [list(group.values()) for group in self.groups.values()]
        if len(groups) > 1:
            groups.sort(key=self._group_order())
        return groups

    def _group_order(self) -> Callable[[list[Job]], tuple[int, float]]:
        bulkhead = self._concurrency.bulkhead
        value = self._priority.value

        def order(group: list[Job]) -> tuple[int, float]:
            return bulkhead(group[0]), -value(group[0])

        return order
