"""A core's state in a form that another controller can adopt, after a handover or a change of settings."""

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
    """State that one core hands to another.

    Attributes:
        learned_state: Learned state of the controller; None if there was no controller.
        standby: Whether the operators have ordered the worker to be empty.
        requests: The open requests.
        idempotency: The idempotent runs and records.
        classes: The classes, by name, to which requests or keys of this snapshot belong.
    """

    learned_state: LearnedState | None = None
    standby: bool = False
    requests: list[InboundRequest] = field(default_factory=list)
    idempotency: IdempotencyTable = field(default_factory=_empty_idempotency_table)
    classes: dict[str, RequestClass] = field(default_factory=dict)

    def settings_with_removed_classes(self, settings: AdmissionSettings) -> AdmissionSettings:
        """Returns the settings, extended by removed classes that requests or keys here still use."""
        class_names = {c.name for c in settings.classes}
        removed = [c for name, c in self.classes.items() if name not in class_names]
        return replace(settings, classes=settings.classes + tuple(removed))
