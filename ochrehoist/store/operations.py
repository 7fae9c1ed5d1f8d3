"""Write operations on the store, and the net changes of a group of them. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochrehoist.core.request import RequestReference
from ochrehoist.store.records import IntentRecord, NamedRecord, ResultRecord


@dataclass(slots=True)
class PutIntent:
    """An operation that records an intent, and replaces all records stored under its key.

    `request` is the attempt that waits for the commit; None if the run was started by a replaced process.
    """

    request: RequestReference | None
    key: bytes
    record: IntentRecord


@dataclass(slots=True)
class PutResult:
    """An operation that records the result of a request."""

    key: bytes
    record: ResultRecord

    @property
    def size_bytes(self) -> int:
        """The size of the result while it is queued."""
        return len(self.record.body) + len(self.record.detail)


@dataclass(slots=True)
class DeleteIntent:
    """An operation that removes the records of a request that never ran, or whose window is over."""

    key: bytes


@dataclass(slots=True)
class PutNamed:
    """An operation that records data that belongs to no request, under one of the names in `database`."""

    name: str
    record: NamedRecord


Operation = PutIntent | PutResult | DeleteIntent | PutNamed


@dataclass(slots=True)
class KeyChange:
    """The net change of a group of operations for one key.

    If `replaces` is set, the records stored under the key are deleted first.
    """

    replaces: bool = False
    intent: IntentRecord | None = None
    result: ResultRecord | None = None


@dataclass(slots=True)
class NetChanges:
    """The net changes of a group of operations: one change per key, one record per name."""

    by_key: dict[bytes, KeyChange]
    named: dict[str, NamedRecord]


def coalesce(operations: Iterable[Operation]) -> NetChanges:
    """Returns the net changes that have the same effect as all operations in their order."""
    by_key: dict[bytes, KeyChange] = {}
    named: dict[str, NamedRecord] = {}
    for operation in operations:
        if isinstance(operation, PutNamed):
            named[operation.name] = operation.record
        elif isinstance(operation, PutResult):
            change = by_key.get(operation.key)
            if change is None:
                change = by_key[operation.key] = KeyChange()
            change.result = operation.record
        elif isinstance(operation, PutIntent):
            by_key[operation.key] = KeyChange(True, operation.record)
        else:
            by_key[operation.key] = KeyChange(True)
    return NetChanges(by_key, named)
