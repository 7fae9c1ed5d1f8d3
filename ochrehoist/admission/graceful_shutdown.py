"""Graceful shutdown of the instance."""

from ochrehoist.admission.events import DrainStarted
from ochrehoist.admission.job import Job
from ochrehoist.admission.timing import TICK_INTERVAL_NS

SHUTDOWN_MARGIN_NS = 2 * TICK_INTERVAL_NS  # reserved before the end for sending the last answers


class GracefulShutdown:
    """State of the drain: when it began, and until when requests can be answered."""

    def __init__(self, grace_ns: int) -> None:
        """`grace_ns` is the time in which callers may still send because they have not seen the drain."""
        self._grace_ns = grace_ns
        self._began_at_ns: int | None = None
        self._ends_at_ns: int | None = None

    @property
    def draining(self) -> bool:
        """Whether the drain has begun."""
        return self._began_at_ns is not None

    def begin(self, event: DrainStarted, now_ns: int) -> None:
        """Begins the drain, and computes the time by which all requests must be answered."""
        self._began_at_ns = now_ns
        self._ends_at_ns = now_ns + max(0, event.remaining_ns - SHUTDOWN_MARGIN_NS)

    def limit_deadline(self, job: Job) -> None:
        """Moves the deadline of a request before the end of the instance."""
        job.deadline_ns = min(job.deadline_ns, self._ends_at_ns or job.deadline_ns)

    def arrived_after_grace(self, job: Job) -> bool:
        """Returns whether a request arrived after the drain grace."""
        return self._began_at_ns is not None and job.arrived_at_ns > self._began_at_ns + self._grace_ns
