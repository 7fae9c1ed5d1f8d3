"""The admission controller of any tree, by what all trees share: the order of its types and of their fields.

Names differ between revisions. A type is known by its position in the `Event` or `Action` union, a value by
its position in the dataclass, a member of an enum by its position in the enum.
"""

import dataclasses
import importlib
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any, get_args

# The types in the order of the unions, by the names of this tree.
EVENTS = (
    "InstanceStarted",
    "RequestReceived",
    "RunAdopted",
    "RequestCompleted",
    "DownstreamCallNeeded",
    "DownstreamCallEnded",
    "RequestAbandoned",
    "TimerFired",
    "DrainStarted",
    "ConcurrencyLimits",
    "TenantsReplaced",
)
ACTIONS = (
    "StartRun",
    "RejectRequest",
    "FailRequest",
    "CancelRun",
    "StartDownstreamCall",
    "SkipDownstreamCall",
    "RetainKey",
    "ReleaseKey",
    "AttachDuplicate",
    "SetHealth",
    "SendBackpressure",
    "SetIdleTimeout",
    "SetTimer",
    "LogMessage",
)
# A name in this tree, and the one at 000e6de where it differs.
EARLIER_NAMES = {
    "AdmissionSettings": "Settings",
    "ObjectiveWeights": "Goal",
    "Idempotency": "Repeat",
    "DownstreamScope": "Below",
    "BackpressureSignal": "Advice",
}


@dataclass(frozen=True)
class NamedAction:
    """An action of any tree, under the name that its type has in this one."""

    name: str
    values: tuple[Any, ...]


class DecisionApi:
    """The types and the controller of one tree, under the names of this one."""

    def __init__(self, tree: Path) -> None:
        """Import the modules of `tree` and leave `sys.modules` as it was: two trees fit in one process."""
        present = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_ours(name)}
        sys.path.insert(0, str(tree))
        try:
            self._load(first_layout=(tree / "ochrehoist" / "rules.py").exists())
        finally:
            sys.path.remove(str(tree))
            for name in [name for name in sys.modules if _is_ours(name)]:
                del sys.modules[name]
            sys.modules.update(present)

    def _load(self, first_layout: bool) -> None:
        if first_layout:  # that of 000e6de
            settings = events = actions = importlib.import_module("ochrehoist.interface")
            controller = importlib.import_module("ochrehoist.rules")
        else:
            settings, events, actions, controller = (
                importlib.import_module(f"ochrehoist.admission.{name}")
                for name in ("settings", "events", "actions", "controller")
            )
        self.controller: Any = controller.AdmissionController
        if first_layout:
            handover = importlib.import_module("ochrehoist.core.handover")
            self.snapshot, self.restore = handover.learned, handover.teach
        else:
            learned_state = importlib.import_module("ochrehoist.admission.learned_state")
            self.snapshot, self.restore = learned_state.snapshot, learned_state.restore
        self.outcomes: Any = tuple(events.Outcome)
        self.event_types = _named(EVENTS, get_args(events.Event))
        self.action_types = _named(ACTIONS, get_args(actions.Action))
        self.settings_types = {
            name: _attribute(settings, name)
            for name in (
                "AdmissionSettings",
                "ObjectiveWeights",
                "Idempotency",
                "DownstreamScope",
                "BackpressureSignal",
                "Preemption",
                "RequestClass",
                "Tenant",
            )
        }
        self._action_names = {action_type: name for name, action_type in self.action_types.items()}

    def event(self, name: str, *values: Any) -> Any:
        """Build an event of this tree from its values by position; nested ones are events or settings."""
        return self.event_types[name](*values)

    def settings_value(self, name: str, values: dict[int, Any]) -> Any:
        """Build a settings type from its values by the position of their fields."""
        settings_type = self.settings_types[name]
        fields = dataclasses.fields(settings_type)
        return settings_type(**{fields[position].name: value for position, value in values.items()})

    def member(self, name: str, position: int) -> Enum:
        """The member at this position of an enum of the settings."""
        member: Enum = tuple(self.settings_types[name])[position]
        return member

    def named_action(self, action: Any) -> "NamedAction":
        """The action under its name in this tree, with its values by position."""
        values = tuple(getattr(action, field.name) for field in dataclasses.fields(action))
        return NamedAction(self._action_names[type(action)], values)


def _is_ours(name: str) -> bool:
    return name == "ochrehoist" or name.startswith("ochrehoist.")


def _named(names: tuple[str, ...], types: tuple[Any, ...]) -> dict[str, Any]:
    if len(names) != len(types):
        message = f"{len(types)} types where {len(names)} are known: {types}"
        raise ValueError(message)
    return dict(zip(names, types, strict=True))


def _attribute(module: ModuleType, name: str) -> Any:
    return getattr(module, name, None) or getattr(module, EARLIER_NAMES[name])
