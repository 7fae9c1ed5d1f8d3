"""The state that the parts of the core share, and the interface through which they call each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import Event, RequestId, RequestReceived
from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.core.deadlines import Deadlines
from ochrehoist.core.fault_confinement import FaultConfinement
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.idempotent_runs import IdempotentRuns
from ochrehoist.core.messages import ExecutorReady, Message
from ochrehoist.core.metrics import Metrics
from ochrehoist.core.request import InboundRequest, RequestReference, find_request
from ochrehoist.core.response_tracker import ResponseTracker
from ochrehoist.core.results import FailureReason
from ochrehoist.core.tenants import TenantTable, initial_table
from ochrehoist.units import NS_PER_MS, NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import (
        ConcurrencyLimiter,
        FleetAdmission,
        IdempotencyJournal,
        LifecycleListener,
        Logger,
        RequestObserver,
        Waker,
    )

# Requests that are still open are failed this long before the process is stopped.
SHUTDOWN_ANSWER_MARGIN_NS = 150 * NS_PER_MS

# Returns the tenants by position, given a tenant table and the number of workers in the fleet.
TenantQuotas = Callable[[TenantTable, int], tuple[Tenant, ...]]


class CoreContext(ABC):
    """Shared state of the core, and the calls between its parts.

    Attributes:
        settings: The settings in force.
        clock: Returns Unix time (ns) that increases steadily, also when the system clock is set.
        wall_clock: Returns the system's Unix clock (ns), which may be set while the worker runs.
        request_gauges: Requests a measurement of the gauges. The answer is a GaugesMeasured message, which
            may be late or never arrive.
        now_ns: The time, by `clock`, of the message that is being handled.
        controller: The admission controller; None until the executor is ready, and again once another
            process decides.
        controller_healthy: Whether the controller reports itself as healthy.
        kernel_connected: Whether the kernel, which runs the requests, is reachable.
        standby: Whether the operators have ordered the worker to be empty.
        inherited_standby: Whether `standby` was taken over from the predecessor process.
        healthy: Health as published in checks and reports. Derived from `controller_healthy`,
            `kernel_connected`, `standby`, `drain_started_ns` and `ended`.
        load_fraction: Fraction of its usual load that this worker requests from routers; 0 for none.
        backpressure_weight_pct: Percentage of its usual share that the controller requests.
        drain_started_ns: When the shutdown order arrived; None before.
        stop_ns: When the process will be stopped; None before the shutdown order.
        executor_ready: The message that reported the executor as ready; None before.
        instance_started_ns: When the executor became ready.
        request_predecessor_state: Requests the state of the predecessor process; None without a predecessor.
        frozen: Whether message handling is stopped while the successor process takes over the state.
        timer_faults_in_row: Number of the latest timers in a row on which the controller failed.
        ended: Whether the core has ended, so that this process decides on no request any more.
        faults: Confines and counts exceptions in the work of the core.
        forwarder: Forwards messages to the process that decides; None while this process decides.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        seed: int,
        waker: Waker,
        clock: Callable[[], int],
        wall_clock: Callable[[], int],
        log: Logger,
        max_result_bytes: int,
        request_gauges: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.waker = waker
        self.log = log
        self.clock = clock
        self.wall_clock = wall_clock
        self.request_gauges = request_gauges
        self.inbox: deque[Message] = deque()
        self.now_ns = 0
        self.controller: AdmissionController | None = None
        self.metrics = Metrics(c.name for c in settings.classes)
        self.faults = FaultConfinement(log)
        self.ended = False
        self.timer_faults_in_row = 0
        self.responses = ResponseTracker(self.metrics, log)
        self.open_requests = self.responses.open_requests
        self.deadlines = Deadlines()
        self.max_result_bytes = max_result_bytes
        self.idempotency = IdempotencyTable(
            read_delay_ns=max(c.deadline_ns for c in settings.classes) + NS_PER_S, max_bytes=max_result_bytes
        )
        self.tenants = initial_table(settings.tenants)
        self.idempotent_runs = IdempotentRuns(self)
        self.gauges: dict[str, float] = {}
        self.limiter: ConcurrencyLimiter | None = None
        self.fleet_admission: FleetAdmission | None = None
        self.listeners: list[LifecycleListener] = []
        self._tenant_quotas: TenantQuotas | None = None
        self.controller_healthy = True
        self.kernel_connected = True
        self.standby = False
        self.healthy = True
        self.load_fraction = 1.0
        self.backpressure_weight_pct = 100
        self.drain_started_ns: int | None = None
        self.stop_ns: int | None = None
        self.request_predecessor_state: Callable[[], None] | None = None
        self.executor_ready: ExecutorReady | None = None
        self.instance_started_ns = 0
        self.frozen = False
        self.forwarder: Forwarder | None = None
        self.inherited_standby = False
        self.index_classes(settings)

    # Calls between the parts of the core.

    @abstractmethod
    def dispatch(self, event: Event, at_ns: int | None = None) -> bool:
        """Passes an event to the controller and carries out the actions that it returns.

        `at_ns` is the time of the event; the default is now. Returns False if the controller raised.
        """

    @abstractmethod
    def start_controller(self, settings: AdmissionSettings) -> None:
        """Creates a new controller for these settings."""

    @abstractmethod
    def execute(self, request: InboundRequest) -> None:
        """Starts the request on its executor."""

    @abstractmethod
    def received_event(self, request: InboundRequest) -> RequestReceived:
        """Returns the event that announces the request to the controller."""

    def open_request(self, request_id: RequestId) -> InboundRequest | None:
        """Returns the open request that an event or an action of the controller names."""
        assert isinstance(request_id, RequestReference)
        return find_request(self.open_requests, request_id)

    def post(self, message: Message) -> None:
        """Adds a message to the inbox and wakes the core; may be called by any task."""
        self.inbox.append(message)
        self.waker.set()

    def index_classes(self, settings: AdmissionSettings) -> None:
        """Updates the positions of classes in the controller's settings.

        Only the controller's events use positions. The classes in force come first; they may be followed by
        removed classes that still have requests or keys.
        """
        self.class_indices = {c.name: index for index, c in enumerate(settings.classes)}
        self.served_classes = {c.name for c in self.settings.classes}

    def track(self, request: InboundRequest) -> None:
        """Adds an accepted request and sets its answer deadline."""
        self.responses.track(request)
        if not request.answered:
            due_ns = max(self.now_ns, request.arrived_ns + request.request_class.deadline_ns)
            if self.stop_ns is not None:
                due_ns = min(due_ns, self.stop_ns - SHUTDOWN_ANSWER_MARGIN_NS)
            request.due_ns = due_ns
            self.deadlines.set_answer_deadline(due_ns, request.reference)

    def reject(self, request: InboundRequest, retry_after_ns: int = NS_PER_S, no_retry: bool = False) -> None:
        """Rejects a request that was not passed to the controller."""
        self.responses.reject_untracked(request, retry_after_ns, no_retry)

    def fail(self, request: InboundRequest, reason: FailureReason) -> None:
        """Fails a request that was not passed to the controller."""
        self.responses.fail_untracked(request, reason)

    def update_health(self) -> None:
        """Recomputes the worker's health and notifies the listeners if it has changed."""
        healthy = (
            not self.ended
            and self.controller_healthy
            and self.kernel_connected
            and not self.standby
            and self.drain_started_ns is None
        )
        if healthy != self.healthy:
            self.healthy = healthy
            for listener in self.listeners:
                self.faults.call("health_listener", listener.health_changed, healthy)

    def end(self) -> None:
        """Ends the core, and reports the worker as unhealthy; called when the process cannot go on."""
        self.ended = True
        self.update_health()
        self.waker.set()

    # Optional parts.

    def register_limiter(self, limiter: ConcurrencyLimiter) -> None:
        """Sets the limiter that bounds the controller's concurrency."""
        self.limiter = limiter

    def register_fleet_admission(self, fleet_admission: FleetAdmission) -> None:
        """Sets the admission check that takes the state of the whole fleet into account."""
        self.fleet_admission = fleet_admission

    def register_journal(self, journal: IdempotencyJournal) -> None:
        """Sets the journal in which idempotent runs are recorded."""
        self.idempotent_runs.register_journal(journal)

    def register_listener(self, listener: LifecycleListener) -> None:
        """Adds a listener; listeners are notified in the order in which they were added."""
        self.listeners.append(listener)

    def register_observer(self, observer: RequestObserver) -> None:
        """Adds an observer of requests; observers are notified in the order in which they were added."""
        self.responses.observers.append(observer)

    def register_tenant_quotas(self, quotas: TenantQuotas) -> None:
        """Sets the function that computes this worker's tenant quotas."""
        self._tenant_quotas = quotas

    def register_predecessor(self, request_state: Callable[[], None]) -> None:
        """Makes the core wait for the state of the predecessor process before it creates a controller.

        `request_state` is called once the executor is ready; a StateTransferred message must follow.
        """
        self.request_predecessor_state = request_state

    def set_load_fraction(self, fraction: float) -> None:
        """Sets the fraction of its usual load that this worker requests from routers."""
        self.load_fraction = fraction

    # State that other parts of the worker read.

    @property
    def controller_tenants(self) -> tuple[Tenant, ...]:
        """The tenants by position, with this worker's quotas."""
        if self._tenant_quotas is None:
            return self.tenants.by_position
        return self._tenant_quotas(self.tenants, self.settings.fleet_size)

    @property
    def ready(self) -> bool:
        """Whether this process can serve: its controller is up and healthy, and it is not shutting down.

        A process that took over while on standby counts as ready too; otherwise the old process would never
        be released.
        """
        if self.ended or self.drain_started_ns is not None or self.forwarder is not None:
            return False
        if self.controller is None:
            return False
        return (
            self.controller_healthy and self.kernel_connected and (not self.standby or self.inherited_standby)
        )

    @property
    def decides(self) -> bool:
        """Whether this core decides on requests now.

        False before the controller is up, while frozen, during shutdown, while another process decides, and
        after the end of the core.
        """
        if self.ended or self.frozen or self.drain_started_ns is not None:
            return False
        return self.controller is not None

    @property
    def unanswered(self) -> int:
        """Number of unanswered requests, including those of other processes that this one decides for."""
        return self.responses.unanswered

    @property
    def started_cold(self) -> bool:
        """Whether the executor reported a cold start."""
        return self.executor_ready is not None and bool(self.executor_ready.cold_start)

    @property
    def own_unanswered(self) -> int:
        """Number of requests that this process read and has not answered."""
        if self.forwarder is not None:
            return sum(not r.is_remote and not r.answered for r in self.forwarder.pending.values())
        return self.unanswered - sum(r.is_remote and not r.answered for r in self.open_requests.values())

    @property
    def state(self) -> str:
        """The value of `state` in /status."""
        if self.ended:
            return "down"
        if self.forwarder is not None:
            return "replaced"
        if self.drain_started_ns is not None:
            return "leaving"
        if self.controller is None:
            return "starting"
        if not self.kernel_connected:
            return "cut off"
        if self.standby:
            return "standby"
        return "up" if self.healthy else "down"
