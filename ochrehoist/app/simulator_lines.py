"""Line format of the simulator protocol: parsing of events and formatting of actions."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

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
from ochrehoist.admission.events import (
    DownstreamCallEnded,
    DownstreamCallNeeded,
    DrainStarted,
    Event,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    TimerFired,
)
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.errors import InvalidInputError

ABSENT_VALUE = "-"
NO_ID_VALUE = "0"  # no tenant, or not a duplicate of another request
NUMBER_DECIMALS = 9
END_OF_LINE = "(end of line)"

# Flags in the field Bitmap of a request.
HAS_WORK_FLAG = 1
IS_RETRY_FLAG = 2
IS_WRITE_FLAG = 4

OUTCOMES_BY_NAME = {
    "Ok": Outcome.OK,
    "Failed": Outcome.FAILED,
    "QueueFull": Outcome.QUEUE_FULL,
    "TimedOut": Outcome.TIMED_OUT,
    "ConnectError": Outcome.UNREACHABLE,
    "ResetByPeer": Outcome.CONNECTION_RESET,
    "Canceled": Outcome.CANCELLED,
    "Ignored": Outcome.NOT_STARTED,
}

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class InstanceIndex:
    """Positions of an instance's classes and tenants by their names in the protocol."""

    classes: Mapping[str, int]
    tenants: Mapping[str | None, int]

    @classmethod
    def from_settings(cls, settings: AdmissionSettings) -> "InstanceIndex":
        """Returns the index for the settings of an instance."""
        return cls(
            {c.name: index for index, c in enumerate(settings.classes)},
            {t.name: index for index, t in enumerate(settings.tenants)},
        )


class LineFields:
    """Reader of the fields of one line, in order.

    The reading methods raise InvalidInputError, which names the field.
    """

    def __init__(self, message: str, text: str) -> None:
        self.message = message
        self._values = text.split(" ") if text else []
        self._next_index = 0

    def error(self, field: str, problem: str) -> InvalidInputError:
        """Returns the error for a problem with a field."""
        return InvalidInputError.in_message(self.message, problem, field=field)

    def optional_text(self, field: str) -> str | None:
        """Returns the next field as text, or None if it is marked as absent."""
        if self._next_index >= len(self._values):
            raise self.error(field, "missing")
        value = self._values[self._next_index]
        self._next_index += 1
        if value == ABSENT_VALUE:
            return None
        if not value:
            raise self.error(field, "missing")
        return value

    def text(self, field: str) -> str:
        """Returns the next field as text."""
        value = self.optional_text(field)
        if value is None:
            raise self.error(field, "missing")
        return value

    def optional_integer(self, field: str) -> int | None:
        """Returns the next field as a non-negative integer, or None if it is marked as absent."""
        value = self.optional_text(field)
        return None if value is None else self._integer(field, value)

    def integer(self, field: str) -> int:
        """Returns the next field as a non-negative integer."""
        return self._integer(field, self.text(field))

    def optional_number(self, field: str) -> float | None:
        """Returns the next field as a finite non-negative number, or None if it is marked as absent."""
        value = self.optional_text(field)
        return None if value is None else self._number(field, value)

    def number(self, field: str) -> float:
        """Returns the next field as a finite non-negative number."""
        return self._number(field, self.text(field))

    def outcome(self, field: str) -> Outcome:
        """Returns the next field as the outcome of a run or of a downstream call."""
        value = self.text(field)
        if value not in OUTCOMES_BY_NAME:
            raise self.error(field, f"unknown outcome {value!r}")
        return OUTCOMES_BY_NAME[value]

    def finish(self, value: T) -> T:
        """Returns `value`, after checking that no field is left."""
        if self._next_index != len(self._values):
            raise self.error(END_OF_LINE, "unexpected further fields")
        return value

    def _integer(self, field: str, value: str) -> int:
        if not (value.isascii() and value.isdigit()):
            raise self.error(field, f"not a non-negative integer: {value!r}")
        return int(value)

    def _number(self, field: str, value: str) -> float:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number < 0:
            raise self.error(field, f"not a finite non-negative number: {value!r}")
        return number


def parse_request(fields: LineFields, index: InstanceIndex) -> RequestReceived:
    """Parses a line INCOMING. Raises InvalidInputError."""
    request_id = fields.text("Job")
    class_name = fields.text("Type")
    if class_name not in index.classes:
        raise fields.error("Type", f"unknown class {class_name!r}")
    tenant = fields.optional_text("Realm")
    if tenant not in (None, NO_ID_VALUE) and tenant not in index.tenants:
        raise fields.error("Realm", f"unknown tenant {tenant!r}")
    routing_key = fields.optional_text("RouteKey")
    remaining_ns = fields.optional_integer("Remaining")
    work_ns = fields.optional_integer("Work")
    memory_kb = fields.number("SizeKb")
    rank = fields.optional_number("Place") or 0.0
    flags = fields.optional_integer("Bitmap") or 0
    caller = fields.optional_integer("SrcPeer") or 0
    unread_ns = fields.optional_integer("UnreadFor") or 0
    original = fields.optional_text("Original")
    return fields.finish(
        RequestReceived(
            id=request_id,
            class_index=index.classes[class_name],
            tenant_index=index.tenants.get(tenant),
            routing_key=routing_key,
            remaining_ns=remaining_ns or None,
            work_ns=work_ns if flags & HAS_WORK_FLAG and work_ns else None,
            memory_kb=memory_kb,
            rank=rank,
            is_retry=bool(flags & IS_RETRY_FLAG),
            is_write=bool(flags & IS_WRITE_FLAG),
            caller=caller,
            unread_ns=unread_ns,
            duplicate_of=None if original == NO_ID_VALUE else original,
        )
    )


def _parse_completed(fields: LineFields) -> RequestCompleted:
    return fields.finish(
        RequestCompleted(fields.text("Job"), fields.outcome("Verdict"), fields.optional_integer("Took") or 0)
    )


def _parse_call_ended(fields: LineFields) -> DownstreamCallEnded:
    return fields.finish(
        DownstreamCallEnded(
            fields.text("Job"), fields.outcome("Verdict"), fields.optional_integer("Took") or 0
        )
    )


def _parse_call_needed(fields: LineFields) -> DownstreamCallNeeded:
    return fields.finish(DownstreamCallNeeded(fields.text("Job")))


def _parse_abandoned(fields: LineFields) -> RequestAbandoned:
    return fields.finish(RequestAbandoned(fields.text("Job")))


def _parse_drain(fields: LineFields) -> DrainStarted:
    return fields.finish(DrainStarted(fields.integer("Remaining")))


def _parse_timer(fields: LineFields) -> TimerFired:
    timer_id = fields.integer("Ref")
    pairs = fields.optional_text("Gauge")
    gauges: dict[str, float] = {}
    for pair in pairs.split(",") if pairs else ():
        name, colon, value = pair.partition(":")
        try:
            gauges[name] = float(value)
        except ValueError:
            colon = ""
        if not colon or not name:
            raise fields.error("Gauge", f"not of the form name:number: {pair!r}")
    return fields.finish(TimerFired(timer_id, gauges))


# Parsers of all events except INCOMING, which needs the index of its instance.
EVENT_PARSERS: dict[str, Callable[[LineFields], Event]] = {
    "COMPLETED": _parse_completed,
    "READY_TO_CALL": _parse_call_needed,
    "DOWNSTREAM": _parse_call_ended,
    "EXPIRED": _parse_abandoned,
    "RETIRE_SOON": _parse_drain,
    "BELL": _parse_timer,
}


def single_line(text: str) -> str:
    """Returns `text` with each run of white space replaced by one space."""
    return " ".join(text.split())


def _format_number(value: float) -> str:
    return f"{value:.{NUMBER_DECIMALS}f}".rstrip("0").rstrip(".")


_FORMATTERS: dict[type, Callable[[Any], str]] = {
    StartRun: lambda action: f"PROCESS {action.id}",
    RejectRequest: lambda action: f"PUSH_BACK {action.id} {action.retry_after_ns} {int(action.no_retry)}",
    FailRequest: lambda action: f"LOSE {action.id}",
    CancelRun: lambda action: f"ABORT_WORK {action.id}",
    StartDownstreamCall: lambda action: f"ASK_BELOW {action.id} {action.stop_at_ns}",
    SkipDownstreamCall: lambda action: f"OMIT {action.id}",
    RetainKey: lambda action: f"RETAIN {action.id} {action.ttl_ns}",
    ReleaseKey: lambda action: f"EVICT {action.id}",
    AttachDuplicate: lambda action: f"ATTACH {action.id}",
    SetHealth: lambda action: f"MARK_HEALTH {int(action.cached)} {int(action.healthy)}",
    SendBackpressure: lambda action: f"HINT_OUT {_format_number(action.value)}",
    SetIdleTimeout: lambda action: f"KEEPALIVE {action.idle_timeout_ns}",
    SetTimer: lambda action: f"WAKE_AT {action.delay_ns} {action.timer_id}",
    LogMessage: lambda action: f"PRINT {single_line(action.text)}",
}


def format_action(action: Action) -> str:
    """Returns the output line for an action."""
    return _FORMATTERS[type(action)](action)
