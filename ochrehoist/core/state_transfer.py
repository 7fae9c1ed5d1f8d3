"""Takes snapshots of a core's state, and lets a new controller adopt them."""

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import RunAdopted
from ochrehoist.core.context import CoreContext
from ochrehoist.core.request import InboundRequest, RequestReference
from ochrehoist.core.snapshot import CoreSnapshot, LearnedState
from ochrehoist.units import NS_PER_S


def take_snapshot(core: CoreContext) -> CoreSnapshot:
    """Returns the state with which another controller can continue."""
    if core.controller is None:
        return CoreSnapshot(idempotency=core.idempotency, standby=core.standby)
    used_classes = {r.request_class.name for r in core.open_requests.values()}
    used_classes |= {key[1] for table in (core.idempotency.runs, core.idempotency.records) for key in table}
    return CoreSnapshot(
        learned_state=learned_state.snapshot(core.controller),
        standby=core.standby,
        requests=list(core.open_requests.values()),
        idempotency=core.idempotency,
        classes={c.name: c for c in core.controller.settings.classes if c.name in used_classes},
    )


def adopt_snapshot(core: CoreContext, state: CoreSnapshot) -> None:
    """Creates a new controller and passes it the runs, waiting requests and learned state of the snapshot."""
    classes = (*core.settings.classes, *state.classes.values())
    state.idempotency.read_delay_ns = max(c.deadline_ns for c in classes) + NS_PER_S
    core.idempotency = state.idempotency
    core.responses.clear()
    core.start_controller(state.settings_with_removed_classes(core.settings))
    started_requests = {r.reference: r for r in state.requests if r.started}
    _adopt_idempotent_runs(core, state, started_requests)
    for request in started_requests.values():
        core.faults.call("adoption", _adopt_started_request, core, request)
    _restore_learned_state(core, state.learned_state)
    _adopt_waiting_requests(core, [r for r in state.requests if not r.started and not r.answered])
    # Restored once more: the adoption of waiting requests would distort the learned delay between arrival and
    # reading.
    _restore_learned_state(core, state.learned_state)


def _adopt_started_request(core: CoreContext, request: InboundRequest) -> None:
    core.track(request)
    core.dispatch(RunAdopted(core.received_event(request), request.answered, False))


def _adopt_idempotent_runs(
    core: CoreContext, state: CoreSnapshot, started_requests: dict[RequestReference, InboundRequest]
) -> None:
    """Makes the controller adopt the idempotent runs that are not among the started requests."""
    windows = {c.name: c.idempotency_window_ns for c in core.settings.classes}
    for key, run in core.idempotency.runs.items():
        old_class = state.classes.get(key[1])
        if old_class is not None:  # a longer window also applies to earlier runs
            run.window_end_ns += max(0, windows.get(old_class.name, 0) - old_class.idempotency_window_ns)
        run.waiters = ()  # the controller attaches the duplicates again
        if run.request not in started_requests and not run.restored:
            core.faults.call("adoption", core.idempotent_runs.adopt, key, run)


def _adopt_waiting_requests(core: CoreContext, waiting: list[InboundRequest]) -> None:
    """Passes the requests that are neither started nor answered to the controller, oldest first."""
    for request in sorted(waiting, key=lambda r: r.arrived_ns):
        core.faults.call("adoption", _adopt_waiting_request, core, request)


def _adopt_waiting_request(core: CoreContext, request: InboundRequest) -> None:
    core.track(request)
    event = core.received_event(request)
    # The request keeps its original deadline, even if the class has changed.
    event.remaining_ns = max(1, request.due_ns - core.now_ns)
    core.dispatch(event)


def _restore_learned_state(core: CoreContext, learned: LearnedState | None) -> None:
    if learned is None or core.controller is None:
        return
    try:
        learned_state.restore(core.controller, learned, core.now_ns, core.tenants.positions)
    except Exception:  # the controller then starts without learned state
        core.log.exception("learned_state_not_restored", source="handover")
