"""A core's state as it leaves for another module or process, and how a fresh module takes it up."""

from collections.abc import Callable
from typing import Any, Protocol

from ochrehoist.admission import learned_state
from ochrehoist.admission.events import RequestReceived, RunAdopted
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core import handover
from ochrehoist.core.answers import Answers
from ochrehoist.core.filings import Filings
from ochrehoist.core.keys import KeyTable
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.tenants import Tenants

SECOND = 1_000_000_000


class Core(Protocol):
    """What passing on needs of the core."""

    settings: AdmissionSettings
    keys: KeyTable
    live: dict[str, InboundRequest]
    answers: Answers
    filings: Filings
    controller: Any
    kinds: dict[str, int]
    tenants: Tenants
    standby: bool
    now: int
    log: Any
    tell: Callable[..., Any]
    boot: Callable[[AdmissionSettings], None]
    owe: Callable[[InboundRequest], None]
    event: Callable[[InboundRequest], RequestReceived]


def state_of(core: Core) -> handover.State:
    """All that another module needs to go on from here."""
    if core.controller is None:
        return handover.State(keys=core.keys, standby=core.standby)
    used = {r.request_class.name for r in core.live.values()}
    used |= {token[1] for known in (core.keys.runs, core.keys.entries) for token in known}
    classes = {c.name: c for c in core.controller.settings.classes if c.name in used}
    return handover.State(
        learned_state.snapshot(core.controller), core.standby, list(core.live.values()), core.keys, classes
    )


def take_up(core: Core, state: handover.State) -> None:
    """A fresh module that knows what was begun, what is held, and what was learned."""
    state.keys.slack = max(c.deadline_ns for c in (*core.settings.classes, *state.classes.values())) + SECOND
    core.keys = state.keys
    core.answers.clear()
    core.boot(handover.settings_with(core.settings, state))
    begun = {r.id: r for r in state.requests if r.started}
    windows = {c.name: c.idempotency_window_ns for c in core.settings.classes}
    for token, run in core.keys.runs.items():
        known = state.classes.get(token[1])
        if known is not None:  # a longer window holds for what ran before it, too
            run.window_end += max(0, windows.get(known.name, 0) - known.idempotency_window_ns)
        run.waiters = ()  # each is told of anew below
        if run.id not in begun and not run.asleep and token[1] in core.kinds:
            core.filings.adopt(token, run)
    for r in begun.values():
        core.owe(r)
        core.tell(RunAdopted(core.event(r), r.answered, False))
    _teach(core, state.learned)
    held = [r for r in state.requests if not r.started and not r.answered]
    for r in sorted(held, key=lambda r: r.arrived_ns):
        core.owe(r)
        event = core.event(r)
        event.remaining_ns = max(1, r.due_ns - core.now)  # by its own class, whatever has become of that
        core.tell(event)
    _teach(core, state.learned)  # what was held is no news of how long requests wait to be read


def _teach(core: Core, learned: dict | None) -> None:
    try:
        if learned is not None:
            learned_state.restore(core.controller, learned, core.now, core.tenants)
    except Exception:  # it learns anew
        core.log.exception("what was learned can't be taken up")
