"""One core's state, as another core can take it up: in the process that follows, or after new settings.

All of it is plain JSON, one object a line. Times are in ns of the clock that all processes here share.
What the results of executors carry for their own front (`detail`) is put into JSON by a codec of that side.
"""

import base64
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from ochrehoist.admission.settings import AdmissionSettings, RequestClass
from ochrehoist.core.keys import KeyTable, Run
from ochrehoist.core.persisted_names import (
    FAILURE_REASON_NAMES,
    OUTCOME_NAMES,
    OUTCOMES_BY_NAME,
    class_from_json,
    class_to_json,
)
from ochrehoist.core.request import Fingerprint, IdempotencyKey, InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.errors import OchrehoistError

VERSION = 1
Line = dict[str, Any]
Send = Callable[[Line], bool | None]  # False where the other process is gone


class Unusable(OchrehoistError):
    """The state can't be taken up; the text says what is wrong."""


class DetailCodec(Protocol):
    """Puts the `detail` of a result into JSON and back."""

    def to_json(self, detail: Any) -> Any: ...

    def from_json(self, data: Any) -> Any: ...


# ---- values
def _bytes(data: bytes | None) -> str | None:
    return None if data is None else base64.b64encode(data).decode()


def _from_text(text: str | None) -> bytes | None:
    return None if text is None else base64.b64decode(text, validate=True)


def _fingerprint(value: Fingerprint | None) -> list | None:
    return None if value is None else [_bytes(value[0]), _bytes(value[1])]


def _from_fingerprint(data: list | None) -> Fingerprint | None:
    return None if data is None else (_from_text(data[0]), _from_text(data[1]))


def _token(data: list | None) -> IdempotencyKey | None:
    if data is None:
        return None
    tenant, kind, text = data
    return tenant, kind, text


def result_line(result: RunResult, codec: DetailCodec) -> Line:
    return {
        "outcome": OUTCOME_NAMES[result.outcome],
        "body": _bytes(result.body),
        "success": result.success,
        "detail": codec.to_json(result.detail),
        "detail_bytes": result.detail_bytes,
    }


def result_from(data: Line, codec: DetailCodec) -> RunResult:
    return RunResult(
        OUTCOMES_BY_NAME[data["outcome"]],
        _from_text(data["body"]),
        codec.from_json(data["detail"]),
        int(data["detail_bytes"]),
        bool(data["success"]),
    )


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


def request_line(r: InboundRequest, arrived: int) -> Line:
    """All but what stays with the process that read it: its payload, the way back, and what runs it."""
    return {written: getattr(r, field) for written, field in PLAIN_REQUEST_FIELDS.items()} | {
        "cls": class_to_json(r.request_class),
        "arrived": arrived,
        "token": r.idempotency_key,
        "fingerprint": _fingerprint(r.fingerprint),
    }


def request_from(data: Line, far: "Remote", classes: dict[str, RequestClass]) -> InboundRequest:
    known = classes.get(data["cls"]["name"])
    return InboundRequest(
        request_class=known or class_from_json(data["cls"]),
        arrived_ns=int(data["arrived"]),
        payload=None,
        responder=far,
        executor=far,
        idempotency_key=_token(data["token"]),
        fingerprint=_from_fingerprint(data["fingerprint"]),
        is_remote=True,
        **{field: data[written] for written, field in PLAIN_REQUEST_FIELDS.items()},
    )


class Remote:
    """Responder and Executor of a request that another process read: that one answers it, and runs it."""

    def __init__(self, request_id: str, send: Send, codec: DetailCodec) -> None:
        self.id, self.send, self.codec = request_id, send, codec

    def served(self, result: RunResult) -> bool:
        self.send({"m": "served", "id": self.id, "result": result_line(result, self.codec)})
        return True

    def rejected(self, backoff: int, no_retry: bool) -> None:
        self.send({"m": "refused", "id": self.id, "backoff": backoff, "no_retry": no_retry})

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        self.send(
            {
                "m": "failed",
                "id": self.id,
                "reason": FAILURE_REASON_NAMES[reason],
                "result": None if result is None else result_line(result, self.codec),
            }
        )

    def origin(self) -> tuple[str, str]:
        return "", ""

    def start(self, request: InboundRequest) -> None:
        if self.send({"m": "start", "id": self.id}) is False:
            raise ConnectionError("the process that read it is gone")


# ---- the whole state
@dataclass
class State:
    """What one core hands to another."""

    learned: Line | None = None
    standby: bool = False
    requests: list[InboundRequest] = field(default_factory=list)
    keys: KeyTable | None = None
    classes: dict[str, RequestClass] = field(default_factory=dict)  # of what it holds, by name


def lines(state: State, offset: int, codec: DetailCodec) -> Iterator[Line]:
    """The state as lines; `offset` is what the core's clock has over the one that all processes share."""
    yield {"m": "state", "version": VERSION, "learned": state.learned, "standby": state.standby}
    for token, run in state.keys.runs.items():
        yield {
            "m": "run",
            "token": token,
            "id": run.id,
            "window_end": run.window_end - offset,
            "fingerprint": _fingerprint(run.fingerprint),
            "dropped": run.dropped,
            "stored": run.stored,
            "begun": run.begun,
            "asleep": run.asleep,
            "result": None if run.result is None else result_line(run.result, codec),
        }
    for token, (holder, until, known) in state.keys.entries.items():
        yield {
            "m": "entry",
            "token": token,
            "holder": holder,
            "until": until - offset,
            "fingerprint": _fingerprint(known),
        }
    for r in state.requests:
        yield {"m": "request"} | request_line(r, r.arrived_ns - offset)
    for cls in state.classes.values():
        yield {"m": "class"} | class_to_json(cls)
    yield {"m": "end"}


class Receiver:
    """Builds a State of lines, and checks each; it is whole once `done`."""

    def __init__(
        self,
        offset: int,
        classes: dict[str, RequestClass],
        max_bytes: int,
        overhead: int,
        send: Send,
        codec: DetailCodec,
    ) -> None:
        self.offset, self.classes, self.send, self.codec = offset, classes, send, codec
        self.overhead, self.done = overhead, False
        self.state = State(keys=KeyTable(0, max_bytes))

    def line(self, data: Line) -> None:
        try:
            self._line(data)
        except Unusable:
            raise
        except Exception as error:
            raise Unusable(f"a line of the state: {error!r}") from error

    def _line(self, data: Line) -> None:
        kind, state = data["m"], self.state
        if kind == "state":
            if data["version"] != VERSION:
                raise Unusable(f"another version of the state: {data['version']}")
            state.learned, state.standby = data["learned"], bool(data["standby"])
        elif kind == "run":
            token = _token(data["token"])
            run = Run(
                data["id"],
                int(data["window_end"]) + self.offset,
                _from_fingerprint(data["fingerprint"]),
                dropped=bool(data["dropped"]),
                stored=bool(data.get("stored")),
                begun=bool(data.get("begun")),
                asleep=bool(data.get("asleep")),
            )
            state.keys.runs[token] = run
            if data["result"] is not None:
                result = result_from(data["result"], self.codec)
                size = len(result.body) + result.detail_bytes + self.overhead
                state.keys.ended(token, run.id, result, size)
        elif kind == "entry":
            state.keys.keep(
                _token(data["token"]),
                data["holder"],
                int(data["until"]) + self.offset,
                _from_fingerprint(data["fingerprint"]),
            )
        elif kind == "request":
            far = Remote(data["id"], self.send, self.codec)
            r = request_from(data, far, self.classes)
            r.arrived_ns += self.offset
            state.requests.append(r)
        elif kind == "class":
            state.classes[data["name"]] = class_from_json({k: v for k, v in data.items() if k != "m"})
        elif kind == "end":
            if state.learned is not None and not isinstance(state.learned, dict):
                raise Unusable("no learned means")
            self.done = True
        else:
            raise Unusable(f"an unknown line {kind!r}")


def settings_with(settings: AdmissionSettings, state: State) -> AdmissionSettings:
    """The settings, and behind their classes those that are gone but have requests or keys in the state."""
    known = {c.name for c in settings.classes}
    gone = [c for name, c in state.classes.items() if name not in known]
    return replace(settings, classes=settings.classes + tuple(gone))
