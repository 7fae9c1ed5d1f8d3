"""Writes and reads a core's snapshot as lines of the handover protocol: one JSON object per line.

Field names are part of the protocol between releases and must not change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.errors import (
    DamagedLineError,
    InvalidStateError,
    LearnedStateTypeError,
    UnknownLineError,
    UnsupportedVersionError,
)
from ochrehoist.core.handover_lines import (
    Line,
    RemoteRequestOwner,
    SendLine,
    fingerprint_from_json,
    fingerprint_to_json,
    key_from_json,
    optional_result_to_json,
    reference_from_json,
    reference_to_json,
    request_from_json,
    request_to_json,
    result_from_json,
)
from ochrehoist.core.idempotency_table import IdempotencyRecord, IdempotencyTable, IdempotentRun
from ochrehoist.core.persisted_names import class_from_json, class_to_json
from ochrehoist.core.request import (
    NO_SERIAL,
    IdempotencyKey,
    InboundRequest,
    RequestReference,
)
from ochrehoist.core.snapshot import CoreSnapshot

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec

SNAPSHOT_FORMAT_VERSION = 1


def snapshot_lines(snapshot: CoreSnapshot, clock_offset_ns: int, codec: DetailCodec) -> Iterator[Line]:
    """Yields the lines of the snapshot.

    `clock_offset_ns` is the core's clock minus the clock that all processes of the machine share.
    """
    yield {
        "m": "state",
        "version": SNAPSHOT_FORMAT_VERSION,
        "learned": snapshot.learned_state,
        "standby": snapshot.standby,
    }
    for key, run in snapshot.idempotency.runs.items():
        yield _run_line(key, run, clock_offset_ns, codec)
    for key, record in snapshot.idempotency.records.items():
        yield _record_line(key, record, clock_offset_ns)
    for request in snapshot.requests:
        yield {"m": "request"} | request_to_json(request, request.arrived_ns - clock_offset_ns)
    for request_class in snapshot.classes.values():
        yield {"m": "class"} | class_to_json(request_class)
    yield {"m": "end"}


def _run_line(key: IdempotencyKey, run: IdempotentRun, clock_offset_ns: int, codec: DetailCodec) -> Line:
    return {
        "m": "run",
        "token": key,
        **reference_to_json(run.request),
        "window_end": run.window_end_ns - clock_offset_ns,
        "fingerprint": fingerprint_to_json(run.fingerprint),
        "dropped": run.result_evicted,
        "stored": run.result_stored,
        "begun": run.started,
        "asleep": run.restored,
        "result": optional_result_to_json(run.result, codec),
    }


def _record_line(key: IdempotencyKey, record: IdempotencyRecord, clock_offset_ns: int) -> Line:
    line = {
        "m": "entry",
        "token": key,
        "holder": record.holder.id,
        "until": record.expires_ns - clock_offset_ns,
        "fingerprint": fingerprint_to_json(record.fingerprint),
    }
    if record.holder.serial != NO_SERIAL:
        line["serial"] = record.holder.serial
    return line


class SnapshotReader:
    """Validating reader of snapshot lines; `done` is set once the snapshot is complete."""

    def __init__(
        self,
        clock_offset_ns: int,
        classes: dict[str, RequestClass],
        max_result_bytes: int,
        result_overhead_bytes: int,
        send: SendLine,
        codec: DetailCodec,
    ) -> None:
        self._clock_offset_ns = clock_offset_ns
        self._classes = classes
        self._send = send
        self._codec = codec
        self._result_overhead_bytes = result_overhead_bytes
        self._readers: dict[str, Callable[[Line], None]] = {
            "state": self._read_state,
            "run": self._read_run,
            "entry": self._read_record,
            "request": self._read_request,
            "class": self._read_class,
            "end": self._read_end,
        }
        self.done = False
        self.snapshot = CoreSnapshot(idempotency=IdempotencyTable(0, max_result_bytes))

    def read(self, line: Line) -> None:
        """Reads one line; raises InvalidStateError if it is damaged or of an unsupported format."""
        try:
            self._reader(line["m"])(line)
        except InvalidStateError:
            raise
        except Exception as error:
            raise DamagedLineError(error) from error

    def _reader(self, kind: str) -> Callable[[Line], None]:
        reader = self._readers.get(kind)
        if reader is None:
            raise UnknownLineError(kind)
        return reader

    def _read_state(self, line: Line) -> None:
        if line["version"] != SNAPSHOT_FORMAT_VERSION:
            raise UnsupportedVersionError(line["version"])
        self.snapshot.learned_state = line["learned"]
        self.snapshot.standby = bool(line["standby"])

    def _read_run(self, line: Line) -> None:
        key = key_from_json(line["token"])
        run = IdempotentRun(
            reference_from_json(line),
            int(line["window_end"]) + self._clock_offset_ns,
            fingerprint_from_json(line["fingerprint"]),
            result_evicted=bool(line["dropped"]),
            result_stored=bool(line.get("stored")),
            started=bool(line.get("begun")),
            restored=bool(line.get("asleep")),
        )
        table = self.snapshot.idempotency
        table.add_run(key, run)
        if line["result"] is not None:
            result = result_from_json(line["result"], self._codec)
            size_bytes = len(result.body) + result.detail_bytes + self._result_overhead_bytes
            table.run_ended(key, run.request, result, size_bytes)

    def _read_record(self, line: Line) -> None:
        key = key_from_json(line["token"])
        holder = RequestReference(line["holder"], int(line.get("serial", NO_SERIAL)))
        run = self.snapshot.idempotency.runs.get(key)
        if holder.serial == NO_SERIAL and run is not None and run.request.id == holder.id:
            holder = run.request
        self.snapshot.idempotency.retain(
            key,
            holder,
            int(line["until"]) + self._clock_offset_ns,
            fingerprint_from_json(line["fingerprint"]),
        )

    def _read_request(self, line: Line) -> None:
        remote = RemoteRequestOwner(reference_from_json(line), self._send, self._codec)
        request = request_from_json(line, remote, self._classes)
        request.arrived_ns += self._clock_offset_ns
        self.snapshot.requests.append(request)
        self._name_filing(request)

    def _name_filing(self, request: InboundRequest) -> None:
        """Completes the names of a request's run and record if an earlier release wrote only its id."""
        key = request.idempotency_key
        if key is None:
            return
        written = RequestReference(request.id, NO_SERIAL)
        table = self.snapshot.idempotency
        run = table.run_in_progress(key, written)
        if run is not None:
            run.request = request.reference
        record = table.records.get(key)
        if record is not None and record.holder == written:
            table.retain(key, request.reference, record.expires_ns, record.fingerprint)

    def _read_class(self, line: Line) -> None:
        data = {name: value for name, value in line.items() if name != "m"}
        self.snapshot.classes[line["name"]] = class_from_json(data)

    def _read_end(self, _line: Line) -> None:
        learned_state = self.snapshot.learned_state
        if learned_state is not None and not isinstance(learned_state, dict):
            raise LearnedStateTypeError(learned_state)
        self.done = True
