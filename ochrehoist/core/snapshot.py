"""A core's state as another core can adopt it: in the process that follows, or after new settings."""

from dataclasses import dataclass, field, replace

from ochrehoist.admission import learned_state
from ochrehoist.admission.settings import AdmissionSettings, RequestClass
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.request import InboundRequest

LearnedState = learned_state.Snapshot


def _empty_idempotency_table() -> IdempotencyTable:
    return IdempotencyTable(read_delay_ns=0, max_bytes=0)


@dataclass
class CoreSnapshot:
    """What one core hands to another.

    Attributes:
        learned_state: None where there was no controller.
        standby: Whether the operators want the worker empty.
        requests: Those that are open.
        idempotency: The idempotent runs and records.
        classes: By name, those that requests or keys of this snapshot belong to.
    """

    learned_state: LearnedState | None = None
    standby: bool = False
    requests: list[InboundRequest] = field(default_factory=list)
    idempotency: IdempotencyTable = field(default_factory=_empty_idempotency_table)
    classes: dict[str, RequestClass] = field(default_factory=dict)

    def settings_with_removed_classes(self, settings: AdmissionSettings) -> AdmissionSettings:
        """The settings, and behind their classes those that were removed but are in use here."""
        known = {c.name for c in settings.classes}
        removed = [c for name, c in self.classes.items() if name not in known]
        return replace(settings, classes=settings.classes + tuple(removed))
