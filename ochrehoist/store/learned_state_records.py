"""Records of the admission controller's learned state, to save it and to restore it after a restart."""

from typing import Any

from ochrehoist.admission import learned_state
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.store.expiry import LearnedState, expire_learned_state
from ochrehoist.store.records import LearnedStateRecord
from ochrehoist.store.timestamps import current_timestamp
from ochrehoist.units import NS_PER_S


def learned_state_record(controller: AdmissionController) -> LearnedStateRecord:
    """Returns a snapshot of a controller's learned state."""
    return LearnedStateRecord(
        current_timestamp(), learned_state.snapshot(controller), learned_state.LAYOUT_VERSION
    )


def restorable_state(
    record: LearnedStateRecord | None, half_life_s: float, cold: bool, log: Any
) -> LearnedState | None:
    """Returns the part of a snapshot that is still valid; None if it is of another layout or corrupt."""
    if record is None or record.layout != learned_state.LAYOUT_VERSION:
        return None
    half_life_ns = int(half_life_s * NS_PER_S)
    try:
        return expire_learned_state(
            record.values, record.recorded_at, current_timestamp(), half_life_ns, cold
        )
    except (KeyError, TypeError, ValueError) as error:
        log.warning("learned_state_unreadable", error=repr(error))
        return None
