"""The line protocol by which a process hands its core over to its successor: one JSON object per line.

Times are in ns of the clock that all processes of the machine share. The `detail` of a result belongs to the
executor and is converted to and from JSON by a codec. Field names are part of the protocol between releases
and must not change.
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
from ochrehoist.core.request import (
    NO_SERIAL,
    Fingerprint,
    IdempotencyKey,
    InboundRequest,
    RequestReference,
)
from ochrehoist.core.results import FailureReason, RunResult

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec

Line = dict[str, Any]
SendLine = Callable[[Line], bool | None]  # returns False once the other process has disconnected

# Fields of a request that are written without conversion: attribute names by written name.
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


# Conversion of values.


def _bytes_to_json(data: bytes | None) -> str | None:
    return None if data is None else base64.b64encode(data).decode()


def _bytes_from_json(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text, validate=True)


def _body_from_json(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


def fingerprint_to_json(value: Fingerprint | None) -> list[str | None] | None:
    """Returns the JSON value of a fingerprint."""
    return None if value is None else [_bytes_to_json(value[0]), _bytes_to_json(value[1])]


def fingerprint_from_json(data: list[str] | None) -> Fingerprint | None:
    """Returns the fingerprint for a JSON value."""
    return None if data is None else (_bytes_from_json(data[0]), _body_from_json(data[1]))


def _optional_key_from_json(data: list[Any] | None) -> IdempotencyKey | None:
    return None if data is None else key_from_json(data)


def key_from_json(data: list[Any]) -> IdempotencyKey:
    """Returns the idempotency key for a JSON value."""
    tenant, class_name, caller_key = data
    return tenant, class_name, caller_key


def result_to_json(result: RunResult, codec: DetailCodec) -> Line:
    """Returns the JSON value of a result."""
    return {
        "outcome": OUTCOME_NAMES[result.outcome],
        "body": _bytes_to_json(result.body),
        "success": result.success,
        "detail": codec.to_json(result.detail),
        "detail_bytes": result.detail_bytes,
    }


def result_from_json(data: Line, codec: DetailCodec) -> RunResult:
    """Returns the result for a JSON value; raises KeyError, TypeError or ValueError if it is invalid."""
    return RunResult(
        OUTCOMES_BY_NAME[data["outcome"]],
        _body_from_json(data["body"]),
        codec.from_json(data["detail"]),
        int(data["detail_bytes"]),
        bool(data["success"]),
    )


def optional_result_to_json(result: RunResult | None, codec: DetailCodec) -> Line | None:
    """Returns the JSON value of a result, or None without one."""
    return None if result is None else result_to_json(result, codec)


def _optional_result_from_json(data: Line | None, codec: DetailCodec) -> RunResult | None:
    return None if data is None else result_from_json(data, codec)


def reference_to_json(reference: RequestReference) -> Line:
    """Returns the fields by which a line names a request; earlier releases read only its id."""
    if reference.serial == NO_SERIAL:
        return {"id": reference.id}
    return {"id": reference.id, "serial": reference.serial}


def reference_from_json(line: Line) -> RequestReference:
    """Returns the request that a line names; lines of earlier releases have no serial number.

    Raises KeyError, TypeError or ValueError if the fields are invalid.
    """
    return RequestReference(line["id"], int(line.get("serial", NO_SERIAL)))


def request_to_json(request: InboundRequest, arrived_ns: int) -> Line:
    """Returns the fields of a request's line.

    The payload, responder and executor stay in the process that read the request.
    """
    line = {name: getattr(request, field) for name, field in PLAIN_REQUEST_FIELDS.items()} | {
        "cls": class_to_json(request.request_class),
        "arrived": arrived_ns,
        "token": request.idempotency_key,
        "fingerprint": fingerprint_to_json(request.fingerprint),
        **reference_to_json(request.reference),
    }
    if request.unconfirmed_key is not None:
        line["unconfirmed_token"] = request.unconfirmed_key
    if request.other_keys:
        line["other_tokens"] = request.other_keys
    return line


def request_from_json(
    data: Line, remote: RemoteRequestOwner, classes: dict[str, RequestClass]
) -> InboundRequest:
    """Returns the request of a line; `remote` answers and runs it.

    `classes` are this process's classes by name; a class that is not among them is read from the line.
    Raises KeyError, TypeError or ValueError if the line is invalid.
    """
    local_class = classes.get(data["cls"]["name"])
    return InboundRequest(
        request_class=local_class or class_from_json(data["cls"]),
        arrived_ns=int(data["arrived"]),
        payload=None,
        responder=remote,
        executor=remote,
        idempotency_key=_optional_key_from_json(data["token"]),
        unconfirmed_key=_optional_key_from_json(data.get("unconfirmed_token")),
        other_keys=tuple(key_from_json(key) for key in data.get("other_tokens", ())),
        fingerprint=fingerprint_from_json(data["fingerprint"]),
        is_remote=True,
        serial=reference_from_json(data).serial,
        **{field: data[name] for name, field in PLAIN_REQUEST_FIELDS.items()},
    )


# Decisions, sent by the process that decides to the process that read the requests.


@dataclass(slots=True, frozen=True)
class StartDecided:
    """Decision to run a request."""

    request: RequestReference


@dataclass(slots=True, frozen=True)
class ResultDecided:
    """Decision to answer a request with a result."""

    request: RequestReference
    result: RunResult


@dataclass(slots=True, frozen=True)
class RejectionDecided:
    """Decision to reject a request."""

    request: RequestReference
    retry_after_ns: int
    no_retry: bool


@dataclass(slots=True, frozen=True)
class FailureDecided:
    """Decision to fail a request; `result` is that of its run, if it has ended."""

    request: RequestReference
    reason: FailureReason
    result: RunResult | None


AnswerDecision = ResultDecided | RejectionDecided | FailureDecided
Decision = StartDecided | AnswerDecision


def decision_to_json(decision: Decision, codec: DetailCodec) -> Line:
    """Returns the line for a decision."""
    match decision:
        case StartDecided(request):
            return {"m": "start", **reference_to_json(request)}
        case ResultDecided(request, result):
            return {"m": "served", **reference_to_json(request), "result": result_to_json(result, codec)}
        case RejectionDecided(request, retry_after_ns, no_retry):
            return {
                "m": "refused",
                **reference_to_json(request),
                "backoff": retry_after_ns,
                "no_retry": no_retry,
            }
        case FailureDecided(request, reason, failed_result):
            return {
                "m": "failed",
                **reference_to_json(request),
                "reason": FAILURE_REASON_NAMES[reason],
                "result": optional_result_to_json(failed_result, codec),
            }


def decision_from_json(line: Line, codec: DetailCodec) -> Decision | None:
    """Returns the decision of a line; None if the line is of an unknown kind.

    Raises KeyError, TypeError or ValueError if a line of a known kind is damaged.
    """
    kind = line["m"]
    if kind == "start":
        return StartDecided(reference_from_json(line))
    if kind == "served":
        return ResultDecided(reference_from_json(line), result_from_json(line["result"], codec))
    if kind == "refused":
        return RejectionDecided(reference_from_json(line), line["backoff"], line["no_retry"])
    if kind == "failed":
        reason = FAILURE_REASONS_BY_NAME[line["reason"]]
        result = _optional_result_from_json(line["result"], codec)
        return FailureDecided(reference_from_json(line), reason, result)
    return None


class RemoteRequestOwner:
    """Responder and Executor of a request that another process read: delegates both to that process."""

    def __init__(self, request: RequestReference, send: SendLine, codec: DetailCodec) -> None:
        self._request = request
        self._send = send
        self._codec = codec

    def sends_through(self, send: SendLine) -> bool:
        """Returns whether decisions go to the process behind `send`."""
        return self._send == send

    def _send_decision(self, decision: Decision) -> bool | None:
        return self._send(decision_to_json(decision, self._codec))

    def served(self, result: RunResult) -> bool:
        """Instructs the other process to answer with the result."""
        self._send_decision(ResultDecided(self._request, result))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """Instructs the other process to reject the request."""
        self._send_decision(RejectionDecided(self._request, retry_after_ns, no_retry))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """Instructs the other process to fail the request."""
        self._send_decision(FailureDecided(self._request, reason, result))

    def origin(self) -> tuple[str, str]:
        """Returns empty texts: the origin is known only to the other process."""
        return "", ""

    def start(self, request: InboundRequest) -> None:
        """Instructs the other process to run the request.

        Raises RequestOwnerDisconnectedError if that process has disconnected.
        """
        if self._send_decision(StartDecided(self._request)) is False:
            raise RequestOwnerDisconnectedError(request.id)


# Messages, sent by the process that read the requests to the core of the process that decides.

ForwardedMessage = RequestArrived | CallerDisconnected | RunCompleted | StandbyChanged


def message_to_json(message: ForwardedMessage, codec: DetailCodec) -> Line:
    """Returns the line for a message that the other process must handle.

    The arrival time of a request is Unix time.
    """
    match message:
        case RequestArrived(request):
            return {"m": "arrived"} | request_to_json(request, request.arrived_ns)
        case CallerDisconnected(reference, gave_up):
            return {"m": "gone", **reference_to_json(reference), "gave_up": gave_up}
        case RunCompleted(reference, result, duration_ns):
            return {
                "m": "ended",
                **reference_to_json(reference),
                "result": result_to_json(result, codec),
                "took": duration_ns,
            }
        case StandbyChanged(enabled):
            return {"m": "standby", "on": enabled}


def message_from_json(
    line: Line, send: SendLine, codec: DetailCodec, classes: Iterable[RequestClass]
) -> ForwardedMessage | None:
    """Returns the message of a line; None if the line is of an unknown kind.

    `send` sends lines to the process that read the request; `classes` are this process's classes. Raises
    KeyError, TypeError or ValueError if a line of a known kind is damaged.
    """
    kind = line["m"]
    if kind == "arrived":
        remote = RemoteRequestOwner(reference_from_json(line), send, codec)
        return RequestArrived(request_from_json(line, remote, {c.name: c for c in classes}))
    if kind == "gone":
        return CallerDisconnected(reference_from_json(line), bool(line["gave_up"]))
    if kind == "ended":
        result = result_from_json(line["result"], codec)
        return RunCompleted(reference_from_json(line), result, int(line["took"]))
    if kind == "standby":
        return StandbyChanged(bool(line["on"]))
    return None
