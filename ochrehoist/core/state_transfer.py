"""How a core's state leaves for another controller or process, and how a fresh controller adopts it."""

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import RunAdopted
from ochrehoist.core.context import CoreContext
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.snapshot import CoreSnapshot, LearnedState
from ochrehoist.units import NS_PER_S


def take_snapshot(core: CoreContext) -> CoreSnapshot:
    """All that another controller needs to go on from here."""
    if core.controller is None:
        return CoreSnapshot(idempotency=core.idempotency, standby=core.standby)
    used = {r.request_class.name for r in core.open_requests.values()}
    used |= {key[1] for known in (core.idempotency.runs, core.idempotency.records) for key in known}
    return CoreSnapshot(
        learned_state=learned_state.snapshot(core.controller),
        standby=core.standby,
        requests=list(core.open_requests.values()),
        idempotency=core.idempotency,
        classes={c.name: c for c in core.controller.settings.classes if c.name in used},
    )


def adopt_snapshot(core: CoreContext, state: CoreSnapshot) -> None:
    """Boots a fresh controller that knows what was begun, what waits, and what was learned."""
    classes = (*core.settings.classes, *state.classes.values())
    state.idempotency.read_delay_ns = max(c.deadline_ns for c in classes) + NS_PER_S
    core.idempotency = state.idempotency
    core.responses.clear()
    core.start_controller(state.settings_with_removed_classes(core.settings))
    begun = {r.id: r for r in state.requests if r.started}
    _adopt_idempotent_runs(core, state, begun)
    for request in begun.values():
        core.track(request)
        core.dispatch(RunAdopted(core.received_event(request), request.answered, False))
    _restore_learned_state(core, state.learned_state)
    _adopt_waiting_requests(core, [r for r in state.requests if not r.started and not r.answered])
    # What was waiting is no news of how long requests wait to be read.
    _restore_learned_state(core, state.learned_state)


def _adopt_idempotent_runs(core: CoreContext, state: CoreSnapshot, begun: dict[str, InboundRequest]) -> None:
    """Tells the controller of the runs that are not among the requests that were begun."""
    windows = {c.name: c.idempotency_window_ns for c in core.settings.classes}
    for key, run in core.idempotency.runs.items():
        known = state.classes.get(key[1])
        if known is not None:  # a longer window holds for what ran before it, too
            run.window_end_ns += max(0, windows.get(known.name, 0) - known.idempotency_window_ns)
        run.waiters = ()  # the controller attaches each of them again
        if run.id not in begun and not run.restored and key[1] in core.class_indices:
            core.idempotent_runs.adopt(key, run)


def _adopt_waiting_requests(core: CoreContext, waiting: list[InboundRequest]) -> None:
    """Tells the controller of requests that were neither started nor answered, oldest first."""
    for request in sorted(waiting, key=lambda r: r.arrived_ns):
        core.track(request)
        event = core.received_event(request)
        # By its own class, whatever has become of that.
        event.remaining_ns = max(1, request.due_ns - core.now_ns)
        core.dispatch(event)


def _restore_learned_state(core: CoreContext, learned: LearnedState | None) -> None:
    if learned is None or core.controller is None:
        return
    try:
        learned_state.restore(core.controller, learned, core.now_ns, core.tenants.positions)
    except Exception:  # it learns anew
        core.log.exception("learned_state_not_restored", source="handover")
