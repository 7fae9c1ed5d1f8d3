"""The lines by which a process hands its core over to the process that replaces it: one JSON object each.

Times are in ns of the clock that all processes of the machine share. What the results of executors carry for
their own front (`detail`) is put into JSON by a codec of that side. Two releases talk to each other by these
lines: their field names stay as they are.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.errors import RequestOwnerDisconnectedError
from ochrehoist.core.messages import CallerDisconnected, RequestArrived, RunCompleted, StandbyChanged
from ochrehoist.core.persisted_names import (
    FAILURE_REASON_NAMES,
    FAILURE_REASONS_BY_NAME,
    OUTCOME_NAMES,
    OUTCOMES_BY_NAME,
    class_from_json,
    class_to_json,
)
from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec

Line = dict[str, Any]
SendLine = Callable[[Line], bool | None]  # False where the other process is gone

# The fields of a request that are written as they are, by their written name.
PLAIN_REQUEST_FIELDS = {
    "id": "id",
    "tenant": "tenant",
    "key": "routing_key",
    "work": "work_ns",
    "memory_kb": "memory_kb",
    "rank": "rank",
    "retry": "is_retry",
    "write": "is_write",
    "caller": "caller",
    "started": "started",
    "answered": "answered",
}


# Values.


def _bytes_to_json(data: bytes | None) -> str | None:
    return None if data is None else base64.b64encode(data).decode()


def _bytes_from_json(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text, validate=True)


def _body_from_json(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def fingerprint_to_json(value: Fingerprint | None) -> list[str | None] | None:
    """The fingerprint as a part of a line."""
    return None if value is None else [_bytes_to_json(value[0]), _bytes_to_json(value[1])]


def fingerprint_from_json(data: list[str] | None) -> Fingerprint | None:
    """The fingerprint of a part of a line."""
    return None if data is None else (_bytes_from_json(data[0]), _body_from_json(data[1]))


def _optional_key_from_json(data: list[Any] | None) -> IdempotencyKey | None:
    return None if data is None else key_from_json(data)


def key_from_json(data: list[Any]) -> IdempotencyKey:
    """The idempotency key of a part of a line."""
    tenant, class_name, text = data
    return tenant, class_name, text


def result_to_json(result: RunResult, codec: DetailCodec) -> Line:
    """The result as a part of a line."""
    return {
        "outcome": OUTCOME_NAMES[result.outcome],
        "body": _bytes_to_json(result.body),
        "success": result.success,
        "detail": codec.to_json(result.detail),
        "detail_bytes": result.detail_bytes,
    }


def result_from_json(data: Line, codec: DetailCodec) -> RunResult:
    """The result of a part of a line; raises KeyError, TypeError or ValueError where it is none."""
    return RunResult(
        OUTCOMES_BY_NAME[data["outcome"]],
        _body_from_json(data["body"]),
        codec.from_json(data["detail"]),
        int(data["detail_bytes"]),
        bool(data["success"]),
    )


def optional_result_to_json(result: RunResult | None, codec: DetailCodec) -> Line | None:
    """The result as a part of a line, or null."""
    return None if result is None else result_to_json(result, codec)


def _optional_result_from_json(data: Line | None, codec: DetailCodec) -> RunResult | None:
    return None if data is None else result_from_json(data, codec)


def request_to_json(request: InboundRequest, arrived_ns: int) -> Line:
    """All but what stays with the process that read it: its payload, responder and executor."""
    return {written: getattr(request, field) for written, field in PLAIN_REQUEST_FIELDS.items()} | {
        "cls": class_to_json(request.request_class),
        "arrived": arrived_ns,
        "token": request.idempotency_key,
        "fingerprint": fingerprint_to_json(request.fingerprint),
    }


def request_from_json(
    data: Line, remote: RemoteRequestOwner, classes: dict[str, RequestClass]
) -> InboundRequest:
    """The request of a line, which `remote` answers and runs.

    Raises KeyError, TypeError or ValueError where the line has none. `classes`: those known here by name; a
    class that is not among them is as the line says.
    """
    known = classes.get(data["cls"]["name"])
    return InboundRequest(
        request_class=known or class_from_json(data["cls"]),
        arrived_ns=int(data["arrived"]),
        payload=None,
        responder=remote,
        executor=remote,
        idempotency_key=_optional_key_from_json(data["token"]),
        fingerprint=fingerprint_from_json(data["fingerprint"]),
        is_remote=True,
        **{field: data[written] for written, field in PLAIN_REQUEST_FIELDS.items()},
    )


# From the process that decides to the one that read the requests.


@dataclass(slots=True, frozen=True)
class StartDecided:
    """Run the request."""

    id: str


@dataclass(slots=True, frozen=True)
class ResultDecided:
    """Answer the request with this result."""

    id: str
    result: RunResult


@dataclass(slots=True, frozen=True)
class RejectionDecided:
    """Reject the request."""

    id: str
    retry_after_ns: int
    no_retry: bool


@dataclass(slots=True, frozen=True)
class FailureDecided:
    """Fail the request."""

    id: str
    reason: FailureReason
    result: RunResult | None


Decision = StartDecided | ResultDecided | RejectionDecided | FailureDecided


def decision_to_json(decision: Decision, codec: DetailCodec) -> Line:
    """The line of a decision."""
    match decision:
        case StartDecided(request_id):
            return {"m": "start", "id": request_id}
        case ResultDecided(request_id, result):
            return {"m": "served", "id": request_id, "result": result_to_json(result, codec)}
        case RejectionDecided(request_id, retry_after_ns, no_retry):
            return {"m": "refused", "id": request_id, "backoff": retry_after_ns, "no_retry": no_retry}
        case FailureDecided(request_id, reason, failed_result):
            return {
                "m": "failed",
                "id": request_id,
                "reason": FAILURE_REASON_NAMES[reason],
                "result": optional_result_to_json(failed_result, codec),
            }


def decision_from_json(line: Line, codec: DetailCodec) -> Decision | None:
    """The decision of a line; None where it is of an unknown kind.

    Raises KeyError, TypeError or ValueError where a known one is damaged.
    """
    kind = line["m"]
    if kind == "start":
        return StartDecided(line["id"])
    if kind == "served":
        return ResultDecided(line["id"], result_from_json(line["result"], codec))
    if kind == "refused":
        return RejectionDecided(line["id"], line["backoff"], line["no_retry"])
    if kind == "failed":
        reason = FAILURE_REASONS_BY_NAME[line["reason"]]
        return FailureDecided(line["id"], reason, _optional_result_from_json(line["result"], codec))
    return None


class RemoteRequestOwner:
    """Responder and Executor of a request that another process read: that one answers it, and runs it."""

    def __init__(self, request_id: str, send: SendLine, codec: DetailCodec) -> None:
        self.id = request_id
        self._send = send
        self._codec = codec

    def sends_through(self, send: SendLine) -> bool:
        """Whether `send` is how the other process is reached."""
        return self._send == send

    def _send_decision(self, decision: Decision) -> bool | None:
        return self._send(decision_to_json(decision, self._codec))

    def served(self, result: RunResult) -> bool:
        """Lets the other process answer with the result."""
        self._send_decision(ResultDecided(self.id, result))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """Lets the other process reject the request."""
        self._send_decision(RejectionDecided(self.id, retry_after_ns, no_retry))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """Lets the other process fail the request."""
        self._send_decision(FailureDecided(self.id, reason, result))

    def origin(self) -> tuple[str, str]:
        """Not known here."""
        return "", ""

    def start(self, request: InboundRequest) -> None:
        """Lets the other process run the request.

        Raises RequestOwnerDisconnectedError where that process is gone.
        """
        if self._send_decision(StartDecided(self.id)) is False:
            raise RequestOwnerDisconnectedError(request.id)


# From the process that read the requests to the one that decides: messages to the core.

ForwardedMessage = RequestArrived | CallerDisconnected | RunCompleted | StandbyChanged


def message_to_json(message: ForwardedMessage, codec: DetailCodec) -> Line:
    """The line of a message that the other process is to handle.

    A request's arrival is by the Unix clock.
    """
    match message:
        case RequestArrived(request):
            return {"m": "arrived"} | request_to_json(request, request.arrived_ns)
        case CallerDisconnected(request_id, gave_up):
            return {"m": "gone", "id": request_id, "gave_up": gave_up}
        case RunCompleted(request_id, result, duration_ns):
            return {
                "m": "ended",
                "id": request_id,
                "result": result_to_json(result, codec),
                "took": duration_ns,
            }
        case StandbyChanged(enabled):
            return {"m": "standby", "on": enabled}


def message_from_json(
    line: Line, send: SendLine, codec: DetailCodec, classes: Iterable[RequestClass]
) -> ForwardedMessage | None:
    """The message of a line; None where it is of an unknown kind.

    Raises KeyError, TypeError or ValueError where a known one is damaged. `send` reaches the process that
    read the request; `classes`: those known here.
    """
    kind = line["m"]
    if kind == "arrived":
        remote = RemoteRequestOwner(line["id"], send, codec)
        return RequestArrived(request_from_json(line, remote, {c.name: c for c in classes}))
    if kind == "gone":
        return CallerDisconnected(line["id"], bool(line["gave_up"]))
    if kind == "ended":
        return RunCompleted(line["id"], result_from_json(line["result"], codec), int(line["took"]))
    if kind == "standby":
        return StandbyChanged(bool(line["on"]))
    return None
