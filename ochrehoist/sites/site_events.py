"""Log events of the sites package: their names and fields."""

from dataclasses import dataclass, field
from enum import StrEnum


class SiteEventName(StrEnum):
    """Names of log events; docs/on-call.md explains each."""

    SITE_STATE_CHANGED = "site_state_changed"
    OPERATOR_COMMAND_RECEIVED = "operator_command_received"
    EVACUATION_STARTED = "evacuation_started"
    EVACUATION_STAGE_ENTERED = "evacuation_stage_entered"
    EVACUATION_ENDED = "evacuation_ended"
    RECOVERY_STAGE_ENTERED = "recovery_stage_entered"
    RECOVERY_RAMP_COMPLETE = "recovery_ramp_complete"
    PLAYBOOK_ADOPTED = "playbook_adopted"
    PLAYBOOK_FILE_OUTDATED = "playbook_file_outdated"


@dataclass(slots=True, frozen=True)
class SiteEvent:
    """A log event with its fields."""

    name: SiteEventName
    fields: dict[str, object] = field(default_factory=dict)
