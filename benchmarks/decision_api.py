"""The decision module of any tree, by what all trees share: the order of its types and of their fields.

Names differ between revisions. A type is known by its position in the `Event` or `Action` union, a value by
its position in the dataclass, a member of an enum by its position in the enum.
"""

import dataclasses
import importlib
import sys
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
OLD_NAMES = {
    "AdmissionSettings": "Settings",
    "ObjectiveWeights": "Goal",
    "Idempotency": "Repeat",
    "DownstreamScope": "Below",
    "BackpressureSignal": "Advice",
}


class DecisionApi:
    """The types and the controller of one tree, under the names of this one."""

    def __init__(self, tree: Path) -> None:
        """Imports the module of `tree`, and leaves `sys.modules` as it was: two trees fit in one process."""
        shelved = {name: sys.modules.pop(name) for name in list(sys.modules) if _is_ours(name)}
        sys.path.insert(0, str(tree))
        try:
            self._load(old=(tree / "ochrehoist" / "rules.py").exists())
        finally:
            sys.path.remove(str(tree))
            for name in [name for name in sys.modules if _is_ours(name)]:
                del sys.modules[name]
            sys.modules.update(shelved)

    def _load(self, old: bool) -> None:
        if old:
            settings = events = actions = importlib.import_module("ochrehoist.interface")
            controller = importlib.import_module("ochrehoist.rules")
        else:
            settings, events, actions, controller = (
                importlib.import_module(f"ochrehoist.admission.{name}")
                for name in ("settings", "events", "actions", "controller")
            )
        self.controller: Any = controller.AdmissionController
        if old:
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
        self._action_names = {of: name for name, of in self.action_types.items()}

    def event(self, name: str, *values: Any) -> Any:
        """An event of this tree, of its values by position; nested ones are events or settings themselves."""
        return self.event_types[name](*values)

    def of_settings(self, name: str, values: dict[int, Any]) -> Any:
        """A type of the settings, of its values by the position of their fields."""
        of = self.settings_types[name]
        fields = dataclasses.fields(of)
        return of(**{fields[at].name: value for at, value in values.items()})

    def member(self, name: str, at: int) -> Enum:
        """The member at this position of an enum of the settings."""
        return tuple(self.settings_types[name])[at]

    def neutral(self, action: Any) -> tuple[Any, ...]:
        """The action as its name in this tree, and its values by position."""
        values = (getattr(action, field.name) for field in dataclasses.fields(action))
        return self._action_names[type(action)], *values


def _is_ours(name: str) -> bool:
    return name == "ochrehoist" or name.startswith("ochrehoist.")


def _named(names: tuple[str, ...], types: tuple[Any, ...]) -> dict[str, Any]:
    if len(names) != len(types):
        raise ValueError(f"{len(types)} types where {len(names)} are known: {types}")
    return dict(zip(names, types, strict=True))


def _attribute(module: ModuleType, name: str) -> Any:
    return getattr(module, name, None) or getattr(module, OLD_NAMES[name])
