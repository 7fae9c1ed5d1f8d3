"""What the parts of the core share: its state, and the calls that they make to each other."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import Event, RequestReceived
from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.core.deadlines import Deadlines
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.idempotent_runs import IdempotentRuns
from ochrehoist.core.messages import ExecutorReady, Message
from ochrehoist.core.metrics import Metrics
from ochrehoist.core.request import InboundRequest
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

# So long before the process is stopped, whatever is still open is failed.
SHUTDOWN_ANSWER_MARGIN_NS = 150 * NS_PER_MS

# Gives the tenants by position for a table and the number of workers of the fleet.
TenantQuotas = Callable[[TenantTable, int], tuple[Tenant, ...]]


class CoreContext(ABC):
    """State of the core.

    Attributes:
        settings: The settings in force.
        clock: Unix time (ns) that runs steadily.
        wall_clock: The Unix clock (ns) as it stands, which may be set.
        request_gauges: Asks for gauges; they come back as a GaugesMeasured message, late or never.
        now_ns: The time of what is being handled, by `clock`.
        controller: None until the executor is up, and once another process decides.
        controller_healthy: What the controller says of its health.
        kernel_connected: Whether what runs the requests is within reach.
        standby: Whether the operators want the worker empty.
        inherited_standby: Whether `standby` came from the process before this one.
        healthy: What checks and reports say: it depends on `controller_healthy`, `kernel_connected`,
            `standby` and the order to shut down.
        load_fraction: The part of its usual load that this worker asks for; 0: none.
        backpressure_weight_pct: The part of its usual share that the controller asks for.
        drain_started_ns: When the order to shut down came; None before.
        stop_ns: When the process will be stopped; None before the order.
        executor_ready: None until the executor is up.
        instance_started_ns: When the executor came up.
        request_predecessor_state: Asks the process before this one for its state; None where there is none.
        frozen: Whether this core stands still while the next process takes its state.
        forwarder: What this core is reduced to once another process decides; None before.
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
        """Gives the controller an event and carries out its actions; False after a fault of the controller.

        `at_ns` is the time of the event where that is not now.
        """

    @abstractmethod
    def start_controller(self, settings: AdmissionSettings) -> None:
        """Creates a fresh controller for these settings."""

    @abstractmethod
    def execute(self, request: InboundRequest) -> None:
        """Gives the request to its executor."""

    @abstractmethod
    def received_event(self, request: InboundRequest) -> RequestReceived:
        """The event that tells the controller of the request."""

    def post(self, message: Message) -> None:
        """Takes a message from any task, and wakes the core."""
        self.inbox.append(message)
        self.waker.set()

    def index_classes(self, settings: AdmissionSettings) -> None:
        """Learns the positions of classes in the controller's settings.

        Only its events speak of positions. Behind the classes of the settings
        there may be removed ones that still have requests or keys.
        """
        self.class_indices = {c.name: at for at, c in enumerate(settings.classes)}
        self.served_classes = {c.name for c in self.settings.classes}

    def track(self, request: InboundRequest) -> None:
        """Makes the request one of the core's, and sets when it must have been answered."""
        self.responses.track(request)
        if not request.answered:
            due_ns = max(self.now_ns, request.arrived_ns + request.request_class.deadline_ns)
            if self.stop_ns is not None:
                due_ns = min(due_ns, self.stop_ns - SHUTDOWN_ANSWER_MARGIN_NS)
            request.due_ns = due_ns
            self.deadlines.set_answer_deadline(due_ns, request.id)

    def reject(self, request: InboundRequest, retry_after_ns: int = NS_PER_S, no_retry: bool = False) -> None:
        """Rejects a request that the controller never sees."""
        self.responses.reject_untracked(request, retry_after_ns, no_retry)

    def fail(self, request: InboundRequest, reason: FailureReason) -> None:
        """Fails a request that the controller never sees."""
        self.responses.fail_untracked(request, reason)

    def update_health(self) -> None:
        """Notifies the listeners where the worker's health has changed."""
        healthy = (
            self.controller_healthy
            and self.kernel_connected
            and not self.standby
            and self.drain_started_ns is None
        )
        if healthy != self.healthy:
            self.healthy = healthy
            for listener in self.listeners:
                listener.health_changed(healthy)

    # Parts that can be switched on.

    def register_limiter(self, limiter: ConcurrencyLimiter) -> None:
        """Sets what measures this worker and limits its controller."""
        self.limiter = limiter

    def register_fleet_admission(self, fleet_admission: FleetAdmission) -> None:
        """Sets what decides with the whole fleet in view."""
        self.fleet_admission = fleet_admission

    def register_journal(self, journal: IdempotencyJournal) -> None:
        """Lets idempotent runs go on record from now on."""
        self.idempotent_runs.register_journal(journal)

    def register_listener(self, listener: LifecycleListener) -> None:
        """Adds a listener, which is notified after those added before."""
        self.listeners.append(listener)

    def register_observer(self, observer: RequestObserver) -> None:
        """Adds an observer of requests, which is notified after those added before."""
        self.responses.observers.append(observer)

    def register_tenant_quotas(self, quotas: TenantQuotas) -> None:
        """Lets the tenants' quotas of this worker follow what `quotas` gives."""
        self._tenant_quotas = quotas

    def register_predecessor(self, request_state: Callable[[], None]) -> None:
        """Waits for the state of the process before this one.

        `request_state` is called once the executor is up, and a StateTransferred must follow.
        """
        self.request_predecessor_state = request_state

    def set_load_fraction(self, fraction: float) -> None:
        """Sets the part of its usual load that this worker asks for."""
        self.load_fraction = fraction

    # What others ask of the core.

    @property
    def controller_tenants(self) -> tuple[Tenant, ...]:
        """Tenants by position, as the controller is told of them."""
        if self._tenant_quotas is None:
            return self.tenants.by_position
        return self._tenant_quotas(self.tenants, self.settings.fleet_size)

    @property
    def ready(self) -> bool:
        """Whether this process is to serve: its controller is up and healthy, and it is not shutting down.

        One that took over on standby is ready to replace the old process, or it would never be let go.
        """
        if self.controller is None or self.drain_started_ns is not None or self.forwarder is not None:
            return False
        return (
            self.controller_healthy and self.kernel_connected and (not self.standby or self.inherited_standby)
        )

    @property
    def decides(self) -> bool:
        """Whether requests are decided on here and now.

        They are not while another process decides, and before the controller is up.
        """
        return self.controller is not None and not self.frozen and self.drain_started_ns is None

    @property
    def unanswered(self) -> int:
        """Requests that are owed an answer here or at a process that this one decides for."""
        return self.responses.unanswered

    @property
    def started_cold(self) -> bool:
        """Whether the executor said that it starts cold."""
        return self.executor_ready is not None and bool(self.executor_ready.cold_start)

    @property
    def own_unanswered(self) -> int:
        """Requests that this process read and has not answered."""
        if self.forwarder is not None:
            return sum(not r.is_remote and not r.answered for r in self.forwarder.pending.values())
        return self.unanswered - sum(r.is_remote and not r.answered for r in self.open_requests.values())

    @property
    def state(self) -> str:
        """The value of `state` in /status."""
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
