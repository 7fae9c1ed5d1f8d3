"""The queue of requests that wait to be started, in groups of equal priority."""

from collections.abc import Callable

from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.job import Job
from ochrehoist.admission.priority import PriorityModel
from ochrehoist.units import NS_PER_S

SHORT_QUEUE = 8  # requests; a queue up to this length is evaluated as a whole at every event
EVALUATION_INTERVAL_NS = NS_PER_S // 200  # between two evaluations of a longer queue as a whole

# What requests of equal priority share: class, tenant, whether expensive, stated work.
GroupKey = tuple[int, int | None, bool, bool | int | None]


class RequestQueue:
    """Queued requests by id, and in groups of equal priority in order of their arrival."""

    def __init__(self, weighs_work: bool, concurrency: ConcurrencyTracker, priority: PriorityModel) -> None:
        """The queue is empty. `weighs_work`: the weight of a request counts per unit of its work."""
        self.jobs: dict[str, Job] = {}
        self.groups: dict[GroupKey, dict[str, Job]] = {}
        self.newest: Job | None = None  # what was queued in this event
        self._evaluated_at_ns = 0
        self._weighs_work = weighs_work
        self._concurrency = concurrency
        self._priority = priority

    def begin_event(self) -> None:
        """Nothing has come in this event yet."""
        self.newest = None

    def add(self, job: Job) -> None:
        """Queues a request."""
        self.jobs[job.request.id] = job
        self.groups.setdefault(self._group_key(job), {})[job.request.id] = job
        self.newest = job

    def remove(self, job: Job) -> None:
        """Takes a request out, if it is queued."""
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
        """Whether each queued request is to be looked at now; notes that it is.

        A long queue is evaluated as a whole only now and then, which bounds the cost of an event; its other
        requests are rejected that much later.
        """
        age_ns = now_ns - self._evaluated_at_ns
        due = len(self.jobs) <= SHORT_QUEUE or age_ns >= EVALUATION_INTERVAL_NS
        if due:
            self._evaluated_at_ns = now_ns
        return due

    def by_priority(self) -> list[list[Job]]:
        """The groups, highest priority first."""
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
