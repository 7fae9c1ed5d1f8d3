"""The one task that owns the decision module: it alone hands events in and carries actions out.

Everybody else posts messages to its inbox. It knows no wire and no scheduler: it sleeps on a Waker.
"""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from ochrehoist.admission.actions import (
    Action,
    AttachDuplicate,
    CancelRun,
    FailRequest,
    LogMessage,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SendBackpressure,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.events import (
    DrainStarted,
    Event,
    InstanceStarted,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import AdmissionSettings, BackpressureSignal, Tenant
from ochrehoist.core import arrivals, handover, retuning, succession
from ochrehoist.core.answers import Answers
from ochrehoist.core.deadlines import REARM, Deadlines
from ochrehoist.core.figures import Figures
from ochrehoist.core.filings import Filings
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.keys import KeyTable
from ochrehoist.core.messages import (
    CallerDisconnected,
    ConfigurationSwitched,
    DuplicateResolved,
    ExecutorReady,
    GaugesMeasured,
    IntentRecorded,
    KernelLinkChanged,
    Message,
    RequestArrived,
    RunCompleted,
    SettingsChanged,
    ShutdownRequested,
    StandbyChanged,
    StateRestored,
    StateTransferred,
    TenantsChanged,
)
from ochrehoist.core.protocols import ConcurrencyLimiter, FleetAdmission, LifecycleListener, Waker
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.core.stage_timing import StageTimer, untimed
from ochrehoist.core.tenants import Tenants, first

MS = 1_000_000
SECOND = 1000 * MS
LOOK = 100 * MS  # between two looks at the limits, where there are any
LAST_CALL = 150 * MS  # before the process is stopped, whatever is still open is failed
STAND = 0.01  # s between looks at what falls due while another process decides


class Owner:
    """The core. `measure` asks for gauges; they come back as a Gauges message, late or never.

    `clock` is Unix time that runs steadily; `wall` is the Unix clock as it stands, which may be set.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        seed: int,
        waker: Waker,
        clock: Callable[[], int],
        wall: Callable[[], int],
        log: Any,
        result_bytes: int,
        measure: Callable[[], None],
        limiter: ConcurrencyLimiter | None = None,
        timed: StageTimer = untimed,
    ) -> None:
        self.settings, self.seed, self.waker, self.log = settings, seed, waker, log
        self.clock, self.wall = clock, wall
        self.measure = measure
        self.inbox: deque[Message] = deque()
        self.controller: AdmissionController | None = None
        self.listeners: list[LifecycleListener] = []
        self.figures = Figures(c.name for c in settings.classes)
        self.answers = Answers(self.figures, log, timed)
        self.live = self.answers.live  # owed an answer, or still running
        self.deadlines = Deadlines()
        self.result_bytes = result_bytes
        self.keys = KeyTable(
            slack=max(c.deadline_ns for c in settings.classes) + SECOND, max_bytes=result_bytes
        )
        self.filings = Filings(self)
        self.limiter = limiter
        self._timed = timed
        self.gate: FleetAdmission | None = None
        self.tenants = first(settings.tenants)
        # Where a fleet is known: its tenants by position, whose quotas here follow what this worker holds.
        self.live_tenants: Callable[[Tenants, int], tuple[Tenant, ...]] | None = None
        self.gauges: dict[str, float] = {}
        self.now = 0
        self.module_good = True  # the module's own verdict
        self.linked = True  # what runs the requests is within reach
        self.standby = False  # the operators want it empty
        self.healthy = True  # what checks and reports say: all of this, and no notice to leave
        self.part = 1.0  # of its usual load that this worker asks for; 0: none
        self.weight = 100  # per cent of its usual share that this worker asks for
        self.leave_at: int | None = None
        self.stop_at: int | None = None
        self.index(settings)
        self.swept = self.looked = 0
        # Replacing the process: what asks the one before this for its state, once this one is up; whether
        # this core stands still while the next one takes its state; and what it then is reduced to.
        self.predecessor: Callable[[], None] | None = None
        self.booted: ExecutorReady | None = None
        self.born = 0  # when the executor came up
        self.frozen = False
        self.forwarder: Forwarder | None = None
        self.inherited_standby = False

    def index(self, settings: AdmissionSettings) -> None:
        """Positions of classes in the module's settings: only its events speak of positions.

        Behind the classes of the settings there may be some that are gone and still have requests or keys.
        """
        self.kinds = {c.name: at for at, c in enumerate(settings.classes)}
        self.served_classes = {c.name for c in self.settings.classes}

    @property
    def told_tenants(self) -> tuple[Tenant, ...]:
        """Tenants by position, as the module is told of them."""
        if self.live_tenants is None:
            return self.tenants.places
        return self.live_tenants(self.tenants, self.settings.fleet_size)

    @property
    def ready(self) -> bool:
        """Whether this process is to serve: its module is up and well, and nobody has sent it away.

        One that took over on standby is ready to take the place of the old one, or it would never be let go.
        """
        if self.controller is None or self.leave_at is not None or self.forwarder is not None:
            return False
        return self.module_good and self.linked and (not self.standby or self.inherited_standby)

    @property
    def decides(self) -> bool:
        """Whether requests are decided on here and now, not at another process or once the module is up."""
        return self.controller is not None and not self.frozen and self.leave_at is None

    @property
    def owed(self) -> int:
        """Requests that are open here or at a process that this one decides for."""
        return self.answers.owed

    @property
    def started_cold(self) -> bool:
        return self.booted is not None and bool(self.booted.cold_start)

    @property
    def current(self) -> int:
        """Requests that this process took and has not answered."""
        if self.forwarder is not None:
            return sum(not r.is_remote and not r.answered for r in self.forwarder.pending.values())
        return self.owed - sum(r.is_remote and not r.answered for r in self.live.values())

    @property
    def state(self) -> str:
        """In a word, for operators."""
        if self.forwarder is not None:
            return "replaced"
        if self.leave_at is not None:
            return "leaving"
        if self.controller is None:
            return "starting"
        if not self.linked:
            return "cut off"
        return "standby" if self.standby else "up" if self.healthy else "down"

    def post(self, message: Message) -> None:
        self.inbox.append(message)
        self.waker.set()

    def run(self) -> None:
        step = self._timed("deciding", self.step)
        while True:
            step()
            self.waker.wait(self._timeout())

    def step(self) -> None:
        """Takes all that waits in the inbox and all that has fallen due."""
        while self.inbox and not self.frozen:
            self._tick()
            message = self.inbox.popleft()
            try:
                if self.forwarder is not None:
                    self.forwarder.take(message)
                    continue
                self.TAKES[type(message)](self, message)
            except Exception:  # a fault of ours must not end the process: the backstop answers what is open
                self.log.exception("fault in the core", message=type(message).__name__)
        self._tick()
        if self.forwarder is not None:
            self.forwarder.tick()
        elif not self.frozen:
            self._fall_due()

    def _tick(self) -> None:
        self.now = max(self.now, self.clock())

    def _timeout(self) -> float | None:
        if self.frozen or self.forwarder is not None:
            return 0.0 if self.inbox and not self.frozen else STAND
        if self.inbox:
            return 0.0
        due = self.deadlines.next()
        return None if due is None else max(0, due - self.clock()) / SECOND

    # ---- messages
    def _booted(self, m: ExecutorReady) -> None:
        if self.controller is not None or self.booted is not None:
            return
        self.booted, self.born = m, self.now - m.age_ns
        if self.predecessor is not None:  # it may have keys: nothing is decided before they are here
            self.predecessor()
        else:
            self.boot(self.settings)

    def boot(self, settings: AdmissionSettings) -> None:
        """A fresh module for these settings."""
        m = self.booted
        self.deadlines.forget_alarms()
        self.index(settings)
        settings = replace(settings, tenants=self.told_tenants)
        if m.cold_start is not None:
            settings = replace(settings, cold_start=m.cold_start)
        self.controller = AdmissionController(settings, self.seed)
        self.tell(InstanceStarted(), at=self.born)
        if self.leave_at is not None:
            self.tell(DrainStarted(self.stop_at - self.leave_at), at=self.leave_at)
        self.filings.teach()

    # ---- replacing the process: the old one's side
    def freeze(self) -> handover.State:
        """Stands still, so that what is handed over is what the other process goes on from."""
        self.frozen = True
        return succession.state_of(self)

    def thaw(self) -> None:
        """The other process did not say yes: all goes on from where it stood."""
        self.frozen = False
        self.waker.set()

    def hand_over(self, send: handover.Send, codec: handover.DetailCodec) -> Forwarder:
        """From now on the other process decides."""
        self.forwarder = Forwarder(dict(self.live), send, codec, self.answers, self.clock, self.wall)
        self.controller = None
        self.answers.clear()
        self.keys = KeyTable(0, 0)  # its memory is the other's to use
        self.thaw()
        return self.forwarder

    # ---- the new one's side
    def _taken_over(self, m: StateTransferred) -> None:
        """Goes on from the state of the process before this one, or from nothing."""
        self.predecessor = None
        if self.controller is not None:
            return
        state: handover.State | None = m.state
        if state is None:
            return self.boot(self.settings)
        self.standby = self.inherited_standby = state.standby
        succession.take_up(self, state)
        self._judge()

    def owe(self, r: InboundRequest) -> None:
        self.answers.take(r)
        if not r.answered:
            r.due_ns = max(self.now, r.arrived_ns + r.request_class.deadline_ns)
            if self.stop_at is not None:
                r.due_ns = min(r.due_ns, self.stop_at - LAST_CALL)
            self.deadlines.answer_by(r.due_ns, r.id)

    def event(self, r: InboundRequest) -> RequestReceived:
        if self.limiter is not None:
            r.cost_multiple = self.limiter.estimate_cost(r, self.now)
        original = self.keys.original(r.idempotency_key, r.arrived_ns) if r.idempotency_key else None
        if original is not None:
            self.filings.wake(r.idempotency_key)
        return RequestReceived(
            id=r.id,
            class_index=self.kinds[r.request_class.name],
            tenant_index=self.tenants.position(r.tenant),
            routing_key=r.routing_key,
            work_ns=r.work_ns,
            memory_kb=r.memory_kb,
            rank=r.rank,
            is_retry=r.is_retry,
            is_write=r.is_write,
            caller=r.caller,
            unread_ns=max(0, self.now - r.arrived_ns),
            duplicate_of=original,
            cost_multiple=r.cost_multiple,
        )

    # ---- messages
    def _arrived(self, m: RequestArrived) -> None:
        r = m.request
        if self.controller is None:  # nothing ran: the module is not up
            return self.turn_away(r)
        if r.id in self.live:  # an id that comes twice while the first is in hand
            return self.turn_away(r, FailureReason.INTERNAL)
        # Told by the Unix clock, which may have been set since the start: only its distance from now counts.
        # A time to come would put off the due time, and the window.
        r.arrived_ns = self.now - max(0, self.wall() - r.arrived_ns)
        for observer in self.answers.observers:
            observer.request_arrived(r)
        if arrivals.turned_away(self, r):
            return
        for guard in (self.gate, self.limiter):
            if (
                guard is None
                or r.idempotency_key is not None
                and self.keys.original(r.idempotency_key, r.arrived_ns) is not None
            ):
                continue
            refusal = guard.check_arrival(r, self.now)
            if refusal is not None:
                return self.turn_away(r, backoff=refusal.retry_after_ns, no_retry=refusal.no_retry)
        self.owe(r)
        self.tell(self.event(r))

    def _gone(self, m: CallerDisconnected) -> None:
        r = self.live.get(m.id)
        if r is None:
            return
        self.answers.gone(r)
        self.tell(RequestAbandoned(r.id, m.gave_up))

    def _ended(self, m: RunCompleted) -> None:
        r = self.live.pop(m.id, None)
        if r is None:  # the module let it go before, or never knew that it was over
            self.tell(RequestCompleted(m.id, m.result.outcome, m.duration_ns))
            return
        took = m.duration_ns
        if self.limiter is not None and r.started_ns:  # what was held back never counted as running
            took = self.limiter.run_ended(r, self.now, m.duration_ns, m.result.outcome)
        if self.gate is not None and r.started_ns:
            self.gate.run_ended(r, self.now, m.duration_ns, m.result.outcome)
        if r.idempotency_key is not None:
            self.filings.ended(r, m.result)
        self._finish(r, m.result, took)

    def _joined(self, m: DuplicateResolved) -> None:
        r = self.live.pop(m.id, None)
        if r is not None:
            self._finish(r, m.result, self.now - r.attached_ns)

    def turn_away(
        self,
        r: InboundRequest,
        reason: FailureReason | None = None,
        backoff: int = SECOND,
        no_retry: bool = False,
    ) -> None:
        """Answers what the module never hears of: refused, or failed for a reason."""
        self.answers.turn_away(r, reason, backoff, no_retry)

    def _finish(self, r: InboundRequest, result: RunResult, took: int) -> None:
        self.answers.finish(r, result)
        self.tell(RequestCompleted(r.id, result.outcome, took))

    def _measured(self, m: GaugesMeasured) -> None:
        self.gauges = m.values
        self._ring()

    def _leaving(self, m: ShutdownRequested) -> None:
        if self.leave_at is not None:
            return
        self.leave_at, self.stop_at = self.now - m.age_ns, self.now + m.remaining_ns
        for r in self.live.values():
            if not r.answered:
                self.deadlines.answer_by(self.stop_at - LAST_CALL, r.id)
        if self.controller is not None:
            self.tell(DrainStarted(m.remaining_ns))
        for listener in self.listeners:
            listener.shutdown_started(m.remaining_ns)
        self._judge()

    def _stood_by(self, m: StandbyChanged) -> None:
        self.inherited_standby = False
        if m.enabled != self.standby:
            self.standby = m.enabled
            self.log.info("standby" if m.enabled else "active", in_hand=self.owed)
            self._judge()

    def _linked(self, m: KernelLinkChanged) -> None:
        self.linked = m.connected
        self._judge()

    TAKES = {
        ExecutorReady: _booted,
        RequestArrived: _arrived,
        CallerDisconnected: _gone,
        RunCompleted: _ended,
        DuplicateResolved: _joined,
        GaugesMeasured: _measured,
        ShutdownRequested: _leaving,
        StandbyChanged: _stood_by,
        KernelLinkChanged: _linked,
        SettingsChanged: retuning.retuned,
        TenantsChanged: retuning.tenants_retuned,
        ConfigurationSwitched: retuning.switched,
        StateTransferred: _taken_over,
        IntentRecorded: lambda self, m: self.filings.recorded(m),
        StateRestored: lambda self, m: self.filings.restored(m),
    }

    # ---- time
    def _fall_due(self) -> None:
        for request_id in self.deadlines.past_due(self.now):
            r = self.live.get(request_id)
            if r is not None and not r.answered:  # the module should have: a fault, or a beat that came late
                self.log.warning("answered by the backstop", id=r.id, started=r.started)
                self.answers.fail(r, FailureReason.DEADLINE_PASSED)
                self.tell(RequestAbandoned(r.id, False))
                self._not_running(r)
        if self.deadlines.collect(self.now):
            self.measure()
        if self.deadlines.waited(self.now):
            self._ring()
        if self.now - self.swept >= SECOND:
            self.swept = self.now
            self.filings.sweep()
        if self.limiter is not None and self.now - self.looked >= LOOK and self.controller is not None:
            self.looked = self.now
            held = Counter(
                r.request_class.name for r in self.live.values() if not r.started and not r.answered
            )
            limits = self.limiter.evaluate(self.now, held)
            if limits is not None and self.kinds.keys() == self.served_classes:  # positions as it knows them
                self.tell(limits)

    def _ring(self) -> None:
        for token in self.deadlines.rung():
            if not self.tell(TimerFired(token, dict(self.gauges))):
                self.deadlines.set_alarm(self.now + REARM, token)

    # ---- the module
    def tell(self, event: Event, at: int | None = None) -> bool:
        """Hands the module an event, and carries out what it says; False after a fault of its own."""
        try:
            actions = self.controller.handle(self.now if at is None else at, event)
        except Exception:
            self.log.exception("fault in the decision module", event_type=type(event).__name__)
            r = self.live.get(getattr(event, "id", None))
            if r is not None and not r.answered and not r.started:
                self.answers.fail(r, FailureReason.INTERNAL)
                self._not_running(r)
            return False
        for action in actions:
            try:
                self.ACTS[type(action)](self, action)
            except Exception:
                self.log.exception("fault in an action", action=type(action).__name__)
        return True

    def _not_running(self, r: InboundRequest) -> None:
        """After a fault the module may count as running what was never started: its slot is given back."""
        if not r.started:
            self.post(RunCompleted(r.id, RunResult(Outcome.NOT_STARTED), 0))

    def _start(self, a: StartRun) -> None:
        r = self.live.get(a.id)
        if r is None:  # over already, as after a fault: the module must not count it as running for ever
            return self.post(RunCompleted(a.id, RunResult(Outcome.NOT_STARTED), 0))
        if r.started:
            return
        if r.idempotency_key is not None:
            if not self.keys.may_run(
                r.idempotency_key, r.arrived_ns
            ):  # the module's rule; kept here a second time
                self.log.error("a second run of one filing was held back", id=r.id)
                r.started = True
                return self.post(RunCompleted(r.id, RunResult(Outcome.FAILED), 0))
            self.keys.started(
                r.idempotency_key, r.id, r.arrived_ns + r.request_class.idempotency_window_ns, r.fingerprint
            )
        r.started = True
        if r.idempotency_key is not None:
            return self.filings.begin(r)
        self.execute(r)

    def execute(self, r: InboundRequest) -> None:
        """Hands it to what runs it."""
        r.started_ns = self.now
        if self.limiter is not None:
            self.limiter.run_started(r, self.now)
        if self.gate is not None:
            self.gate.run_started(r, self.now)
        if not self.answers.execute(r):
            self.post(RunCompleted(r.id, RunResult(Outcome.FAILED), 0))

    def _refuse(self, a: RejectRequest) -> None:
        if (r := self.live.get(a.id)) is not None:
            backoff = (
                a.retry_after_ns
                if self.limiter is None
                else self.limiter.request_rejected(r, a.retry_after_ns, self.now)
            )
            self.answers.refuse(r, backoff, a.no_retry)

    def _give_up(self, a: FailRequest) -> None:
        if (r := self.live.get(a.id)) is not None:
            self.answers.fail(r, FailureReason.DEADLINE_PASSED)

    def _keep(self, a: RetainKey) -> None:
        r = self.live.get(a.id)
        if r is not None and r.idempotency_key is not None:
            self.keys.keep(r.idempotency_key, r.id, self.now + a.ttl_ns, r.fingerprint)

    def _forget(self, a: ReleaseKey) -> None:
        self.keys.forget(a.id)

    def _join(self, a: AttachDuplicate) -> None:
        if (r := self.live.get(a.id)) is not None:
            self.filings.join(r)

    def _set_health(self, a: SetHealth) -> None:
        self.module_good = a.healthy
        self._judge()

    def _judge(self) -> None:
        good = self.module_good and self.linked and not self.standby and self.leave_at is None
        if good != self.healthy:
            self.healthy = good
            for listener in self.listeners:
                listener.health_changed(good)

    def _keep_alive(self, a: SetIdleTimeout) -> None:
        for listener in self.listeners:
            listener.idle_timeout_changed(a.idle_timeout_ns or self.settings.idle_timeout_ns)

    def _set_alarm(self, a: SetTimer) -> None:
        self.deadlines.set_alarm(self.now + a.delay_ns, a.timer_id)

    def _advise(self, a: SendBackpressure) -> None:
        if self.settings.backpressure is BackpressureSignal.WEIGHT:
            self.weight = max(1, min(100, round(a.value * 100)))

    def _unsupported(self, a: Action) -> None:
        self.log.error("an action that this worker has no means for", action=type(a).__name__)

    ACTS = {
        StartRun: _start,
        RejectRequest: _refuse,
        FailRequest: _give_up,
        RetainKey: _keep,
        ReleaseKey: _forget,
        AttachDuplicate: _join,
        SetHealth: _set_health,
        SetIdleTimeout: _keep_alive,
        SetTimer: _set_alarm,
        LogMessage: lambda self, a: self.log.info("module", text=a.text),
        CancelRun: _unsupported,
        StartDownstreamCall: _unsupported,
        SkipDownstreamCall: _unsupported,
        SendBackpressure: _advise,
    }
