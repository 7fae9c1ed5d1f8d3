"""Export of a store as JSON Lines, and merging of two stores, to move requests to another machine. No I/O.

The first line names the format version. Keyed requests with their results and the learned state follow. The
last line marks a complete export.
"""

import base64
from collections.abc import Iterable, Iterator
from typing import Any, Literal

import msgspec

from ochrehoist.core.request import IdempotencyKey
from ochrehoist.store.errors import InvalidExportError
from ochrehoist.store.records import (
    DataLossRecord,
    IntentRecord,
    LearnedStateRecord,
    ResultRecord,
    encode_key,
)
from ochrehoist.store.timestamps import Timestamp, remaining_window_ns

EXPORT_VERSION = 1


class ExportedRequest(msgspec.Struct):
    """A keyed request, with its result if it has one."""

    intent: IntentRecord
    result: ResultRecord | None = None


class StoreSnapshot(msgspec.Struct):
    """The complete contents of a store at one point in time."""

    taken_at: Timestamp
    requests: list[ExportedRequest]
    learned: LearnedStateRecord | None = None
    loss: DataLossRecord | None = None


class _WireIntent(msgspec.Struct):
    """An intent with the field names of the export format; bytes are base64."""

    token: IdempotencyKey
    id: str
    window: int
    left: int
    at: Timestamp
    target: bytes | None = None
    body: bytes | None = None
    holder: str = ""

    @classmethod
    def from_record(cls, record: IntentRecord) -> "_WireIntent":
        return cls(
            record.idempotency_key,
            record.request_id,
            record.window_ns,
            record.remaining_ns,
            record.recorded_at,
            record.target,
            record.body,
            record.worker_name,
        )

    def to_record(self) -> IntentRecord:
        return IntentRecord(
            self.token, self.id, self.window, self.left, self.at, self.target, self.body, self.holder
        )


class _WireResult(msgspec.Struct):
    """A result with the field names of the export format; bytes are base64."""

    outcome: str
    success: bool
    body: bytes
    detail: bytes = b"null"
    detail_bytes: int = 0

    @classmethod
    def from_record(cls, record: ResultRecord) -> "_WireResult":
        return cls(record.outcome, record.success, record.body, record.detail, record.detail_bytes)

    def to_record(self) -> ResultRecord:
        return ResultRecord(self.outcome, self.success, self.body, self.detail, self.detail_bytes)


class _HeaderLine(msgspec.Struct, tag="store", tag_field="kind"):
    version: int
    at: Timestamp
    filings: int
    loss: DataLossRecord | None = None


class _RequestLine(msgspec.Struct, tag="filing", tag_field="kind"):
    begun: dict[str, Any]
    finished: dict[str, Any] | None = None


class _LearnedStateLine(msgspec.Struct, tag="learned", tag_field="kind"):
    at: Timestamp
    values: dict[str, Any]
    layout: int


class _FinalLine(msgspec.Struct, tag="end", tag_field="kind"):
    filings: int
    whole: Literal[True] = True


_Line = _HeaderLine | _RequestLine | _LearnedStateLine | _FinalLine
_decoder = msgspec.json.Decoder(_Line)


def _base64_text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _wire_values(wire: _WireIntent | _WireResult) -> dict[str, Any]:
    values = {name: getattr(wire, name) for name in wire.__struct_fields__}
    return {
        name: _base64_text(value) if isinstance(value, bytes) else value for name, value in values.items()
    }


def _request_line(request: ExportedRequest) -> _RequestLine:
    intent = _wire_values(_WireIntent.from_record(request.intent))
    if request.result is None:
        return _RequestLine(intent)
    return _RequestLine(intent, _wire_values(_WireResult.from_record(request.result)))


def export_lines(snapshot: StoreSnapshot) -> Iterator[bytes]:
    """Yields the lines of an export, each with its line feed."""
    request_count = len(snapshot.requests)
    lines: list[_Line] = [_HeaderLine(EXPORT_VERSION, snapshot.taken_at, request_count, snapshot.loss)]
    lines += [_request_line(request) for request in snapshot.requests]
    if snapshot.learned is not None:
        learned = snapshot.learned
        lines.append(_LearnedStateLine(learned.recorded_at, learned.values, learned.layout))
    lines.append(_FinalLine(request_count))
    for line in lines:
        yield msgspec.json.encode(line) + b"\n"


def read_export(lines: Iterable[bytes]) -> StoreSnapshot:
    """Returns the snapshot in an export. Raises InvalidExportError, also if the export is truncated."""
    snapshot: StoreSnapshot | None = None
    line_number = 0
    for line_number, text in enumerate(lines, 1):
        try:
            line = _decoder.decode(text)
            if isinstance(line, _HeaderLine) != (line_number == 1):
                raise InvalidExportError(line_number, "the header must be the first line and occur only once")
            if isinstance(line, _HeaderLine):
                snapshot = _snapshot_of_header(line)
            elif isinstance(line, _FinalLine):
                assert snapshot is not None
                return _verified(snapshot, line, line_number)
            else:
                assert snapshot is not None
                _add_line(snapshot, line)
        except (msgspec.MsgspecError, ValueError) as error:
            raise InvalidExportError(line_number, str(error)) from None
    raise InvalidExportError(line_number + 1, "missing final line: the export is truncated")


def _snapshot_of_header(header: _HeaderLine) -> StoreSnapshot:
    if header.version != EXPORT_VERSION:
        raise InvalidExportError(1, f"unsupported version {header.version}, expected {EXPORT_VERSION}")
    return StoreSnapshot(header.at, [], None, header.loss)


def _add_line(snapshot: StoreSnapshot, line: _RequestLine | _LearnedStateLine) -> None:
    if isinstance(line, _LearnedStateLine):
        snapshot.learned = LearnedStateRecord(line.at, line.values, line.layout)
        return
    result = msgspec.convert(line.finished, _WireResult).to_record() if line.finished else None
    intent = msgspec.convert(line.begun, _WireIntent).to_record()
    snapshot.requests.append(ExportedRequest(intent, result))


def _verified(snapshot: StoreSnapshot, final: _FinalLine, line_number: int) -> StoreSnapshot:
    """Returns the snapshot if it has as many requests as the final line says."""
    read_count = len(snapshot.requests)
    if final.filings != read_count:
        raise InvalidExportError(line_number, f"expected {final.filings} filings, read {read_count}")
    return snapshot


def merge_snapshots(local: StoreSnapshot, imported: StoreSnapshot, now: Timestamp) -> StoreSnapshot:
    """Returns the union of two snapshots, without requests whose window is over.

    Of two runs of one request, a run with a result is preferred, then the one whose window ends later. A data
    loss in either snapshot is kept; of two losses, the one with the longer hold. The learned state is the
    local one, or the imported one if there is no local one.
    """

    def remaining_ns(intent: IntentRecord) -> int:
        return remaining_window_ns(intent.recorded_at, intent.remaining_ns, intent.window_ns, now)

    def preference(request: ExportedRequest) -> tuple[bool, int]:
        return request.result is not None, remaining_ns(request.intent)

    kept: dict[bytes, ExportedRequest] = {}
    for request in (*local.requests, *imported.requests):
        if remaining_ns(request.intent) <= 0:
            continue
        key = encode_key(request.intent.idempotency_key)
        duplicate = kept.get(key)
        if duplicate is None or preference(request) > preference(duplicate):
            kept[key] = request
    losses = [loss for loss in (local.loss, imported.loss) if loss is not None]
    longest_loss = max(
        losses,
        key=lambda loss: remaining_window_ns(loss.detected_at, loss.hold_ns, loss.hold_ns, now),
        default=None,
    )
    return StoreSnapshot(now, list(kept.values()), local.learned or imported.learned, longest_loss)
