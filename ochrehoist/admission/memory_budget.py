"""The memory that requests and idempotency keys take."""

from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.idempotency import IdempotencyIndex
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import AdmissionSettings, Idempotency

USABLE_SHARE = 0.97  # sizes are known exactly; the rest is for what is read at the same moment


class MemoryBudget:
    """Tracks the memory of open requests, in kB, against what the instance has."""

    def __init__(
        self, settings: AdmissionSettings, concurrency: ConcurrencyTracker, index: IdempotencyIndex
    ) -> None:
        """All of it is free."""
        self.used_kb = 0.0
        self._settings = settings
        self._concurrency = concurrency
        self._index = index
        self._usable_kb = settings.memory_kb * USABLE_SHARE

    def add(self, job: Job) -> None:
        """Counts a request that was read."""
        self.used_kb += job.memory_kb

    def expand(self, job: Job) -> None:
        """A request starts, and takes more from now on."""
        growth_kb = self._growth_kb(job)
        job.memory_kb += growth_kb
        self.used_kb += growth_kb

    def release(self, job: Job) -> None:
        """Gives back all that the request took."""
        self.used_kb -= job.memory_kb
        job.memory_kb = 0.0

    def can_queue(self, job: Job) -> bool:
        """Whether a request can be kept, with its key and with memory for runs on all idle cores."""
        settings = self._settings
        concurrency = self._concurrency
        keys = len(self._index.retained) + (job.request_class.idempotency is Idempotency.KEYED)
        open_runs = concurrency.running + concurrency.calling + len(concurrency.awaiting_call)
        idle_cores = max(0, settings.cores - open_runs)
        growth_kb = idle_cores * job.memory_kb * (settings.run_memory_factor - 1)
        return self.used_kb + keys * settings.key_kb + growth_kb <= self._usable_kb

    def can_start(self, job: Job) -> bool:
        """Whether a queued request can run."""
        keys_kb = len(self._index.retained) * self._settings.key_kb
        return self.used_kb + self._growth_kb(job) + keys_kb <= self._usable_kb

    def can_attach(self) -> bool:
        """Whether a duplicate can be kept until the result is there."""
        return self.used_kb + len(self._index.retained) * self._settings.key_kb <= self._usable_kb

    def _growth_kb(self, job: Job) -> float:
        return job.memory_kb * (self._settings.run_memory_factor - 1)
