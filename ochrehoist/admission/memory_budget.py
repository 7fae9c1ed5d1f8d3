"""Memory budget for open requests and idempotency keys."""

from ochrehoist.admission.concurrency import ConcurrencyTracker
from ochrehoist.admission.idempotency import IdempotencyIndex
from ochrehoist.admission.job import Job
from ochrehoist.admission.settings import AdmissionSettings, Idempotency

USABLE_SHARE = 0.97  # sizes are exact; the rest is for requests being read at the same time


class MemoryBudget:
    """Memory use of open requests and keys, in kB, against the memory of the instance."""

    def __init__(
        self, settings: AdmissionSettings, concurrency: ConcurrencyTracker, index: IdempotencyIndex
    ) -> None:
        self.used_kb = 0.0
        self._settings = settings
        self._concurrency = concurrency
        self._index = index
        self._usable_kb = settings.memory_kb * USABLE_SHARE

    def add(self, job: Job) -> None:
        """Adds the memory of a request that was read."""
        self.used_kb += job.memory_kb

    def expand(self, job: Job) -> None:
        """Adds the memory that a request needs in addition while it runs."""
        growth_kb = self._growth_kb(job)
        job.memory_kb += growth_kb
        self.used_kb += growth_kb

    def release(self, job: Job) -> None:
        """Releases all memory of a request."""
        self.used_kb -= job.memory_kb
        job.memory_kb = 0.0

    def can_queue(self, job: Job) -> bool:
        """Returns whether a request and its key fit, with memory left to start runs on all idle cores."""
        settings = self._settings
        concurrency = self._concurrency
        keys = len(self._index.retained) + (job.request_class.idempotency is Idempotency.KEYED)
        open_runs = concurrency.running + concurrency.calling + len(concurrency.awaiting_call)
        idle_cores = max(0, settings.cores - open_runs)
        growth_kb = idle_cores * job.memory_kb * (settings.run_memory_factor - 1)
        return self.used_kb + keys * settings.key_kb + growth_kb <= self._usable_kb

    def can_start(self, job: Job) -> bool:
        """Returns whether the memory suffices to run a queued request."""
        keys_kb = len(self._index.retained) * self._settings.key_kb
        return self.used_kb + self._growth_kb(job) + keys_kb <= self._usable_kb

    def can_attach(self) -> bool:
        """Returns whether a duplicate, already counted, can be kept until the result is available."""
        return self.used_kb + len(self._index.retained) * self._settings.key_kb <= self._usable_kb

    def _growth_kb(self, job: Job) -> float:
        return job.memory_kb * (self._settings.run_memory_factor - 1)
