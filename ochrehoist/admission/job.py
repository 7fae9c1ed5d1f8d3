"""The controller's record of a request."""

from enum import Enum

from ochrehoist.admission.events import RequestReceived
from ochrehoist.admission.settings import RequestClass


class JobState(Enum):
    """State of a request in the controller."""

    QUEUED = "queued"
    RUNNING = "running"
    AWAITING_CALL = "awaiting call"  # run that waits for capacity to make its downstream call
    CALLING = "calling"  # run with a downstream call in progress
    ATTACHED = "attached"  # duplicate that is answered with the result of another run
    FOLLOWING = "following"  # duplicate that waits for a queued request to start
    ENDED = "ended"


class Job:
    """A request with its deadlines and its state; times are in ns on the clock of the events.

    The components of a controller share this record. Each field has one writer: `state` of a run is set by
    ConcurrencyTracker, `memory_kb` by MemoryBudget, `key_retained` by IdempotencyIndex, `size` by
    RunTimeModel, the `call_...` fields by DownstreamCalls, `deadline_ns` by GracefulShutdown, and all others
    by the controller.
    """

    __slots__ = (
        "answered",
        "arrived_at_ns",
        "call_reserved_ns",
        "call_retry_at_ns",
        "call_started_at_ns",
        "calls_made",
        "deadline_ns",
        "expensive",
        "followers",
        "key_retained",
        "leader",
        "memory_kb",
        "objective_at_ns",
        "request",
        "request_class",
        "size",
        "started",
        "state",
        "tenant",
    )

    def __init__(self, request: RequestReceived, request_class: RequestClass, now_ns: int) -> None:
        """`now_ns` is the time at which the request was read; the job begins as queued."""
        self.request = request
        self.request_class = request_class
        self.state = JobState.QUEUED
        self.memory_kb = request.memory_kb
        self.started = False  # a run was started, by this instance or the previous one
        self.answered = False
        self.key_retained = False
        self.expensive = request.cost_multiple > 1
        self.size = request.cost_multiple  # multiple of the usual cost of its class
        self.calls_made = 0
        self.call_retry_at_ns = 0
        self.call_started_at_ns = 0
        self.call_reserved_ns = 0
        self.leader: Job | None = None  # the queued request that this duplicate follows
        self.followers: list[Job] = []
        arrived_at_ns = now_ns - request.unread_ns
        self.arrived_at_ns = arrived_at_ns
        remaining_ns = request.remaining_ns
        self.deadline_ns = (
            now_ns + remaining_ns if remaining_ns else arrived_at_ns + request_class.deadline_ns
        )
        self.objective_at_ns = arrived_at_ns + request_class.latency_objective_ns
        self.tenant: int | None = None  # the tenant whose activity counts the request

    def has_no_run(self) -> bool:
        """Returns whether the request has no run of its own, so that dropping it cancels nothing."""
        return self.state in _STATES_WITHOUT_RUN

    def waiting_followers(self) -> list["Job"]:
        """Returns the duplicates that still wait for this request to start."""
        return [follower for follower in self.followers if follower.state is JobState.FOLLOWING]

    def promote_follower(self) -> "Job | None":
        """Makes the first waiting duplicate the leader of the others; returns it, or None without one."""
        waiting = self.waiting_followers()
        if not waiting:
            return None
        leader, *followers = waiting
        leader.followers = followers
        for follower in followers:
            follower.leader = leader
        return leader


_STATES_WITHOUT_RUN = (JobState.QUEUED, JobState.ATTACHED, JobState.FOLLOWING)
