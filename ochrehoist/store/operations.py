"""Operations on the store, and what a group of them amounts to. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from ochrehoist.store.records import IntentRecord, NamedRecord, ResultRecord


@dataclass(slots=True)
class PutIntent:
    """Records that a request is about to run, in place of all that is stored under its key.

    `request_id` names the attempt that waits for this; it is empty where the run was started by the
    process before this one.
    """

    request_id: str
    key: bytes
    record: IntentRecord


@dataclass(slots=True)
class PutResult:
    """Records the result of a request."""

    key: bytes
    record: ResultRecord

    @property
    def size_bytes(self) -> int:
        """The memory that it takes while it waits."""
        return len(self.record.body) + len(self.record.detail)


@dataclass(slots=True)
class DeleteIntent:
    """Removes a request that never ran, or whose window is over."""

    key: bytes


@dataclass(slots=True)
class PutNamed:
    """Records something that is no request's, under a name of `database.NamedKey`."""

    name: str
    record: NamedRecord


Operation = PutIntent | PutResult | DeleteIntent | PutNamed


@dataclass(slots=True)
class KeyChange:
    """What a group of operations amounts to for one key."""

    replaces: bool = False  # what is stored under the key is deleted first
    intent: IntentRecord | None = None
    result: ResultRecord | None = None


@dataclass(slots=True)
class NetChanges:
    """What a group of operations amounts to: one change for each key, one record for each name."""

    by_key: dict[bytes, KeyChange]
    named: dict[str, NamedRecord]


def coalesce(operations: Iterable[Operation]) -> NetChanges:
    """The changes that leave the store as it would be after all operations in their order."""
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
