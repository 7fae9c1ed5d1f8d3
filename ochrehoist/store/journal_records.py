"""Conversion between the core's runs and results of keyed requests and their stored records."""

import json
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass

from ochrehoist.core.idempotency_table import WINDOW_MARGIN_NS, IdempotentRun
from ochrehoist.core.persisted_names import OUTCOME_NAMES, OUTCOMES_BY_NAME
from ochrehoist.core.protocols import DetailCodec
from ochrehoist.core.request import IdempotencyKey, new_reference
from ochrehoist.core.results import RunResult
from ochrehoist.store.records import IntentRecord, ResultRecord
from ochrehoist.store.store_repair import LiveIntent
from ochrehoist.store.timestamps import Timestamp

RunsByKey = dict[IdempotencyKey, IdempotentRun]


@dataclass(slots=True)
class IntentRecorder:
    """A factory of intent records as of one moment, given as `clock_ns` of the core's clock and as `now`.

    `windows_ns` holds the idempotency windows by class name.
    """

    worker_name: str
    windows_ns: Mapping[str, int]
    clock_ns: int
    now: Timestamp

    def record(self, key: IdempotencyKey, run: IdempotentRun) -> IntentRecord:
        """Returns the intent record of a run."""
        remaining_ns = max(0, run.window_end_ns - self.clock_ns)
        window_ns = max(remaining_ns, self.windows_ns.get(key[1], 0))
        target, body = run.fingerprint or (None, None)
        return IntentRecord(
            key, run.request.id, window_ns, remaining_ns, self.now, target, body, self.worker_name
        )


def restored_runs(intents: list[LiveIntent], clock_ns: int) -> RunsByKey:
    """Returns the runs of stored intents, as of `clock_ns` on the core's clock.

    `intents` is emptied meanwhile, so that intents and runs are not all in memory at once.
    """
    runs: RunsByKey = {}
    # Equal names share one string object, to save memory with many intents.
    tenants: dict[str | None, str | None] = {}
    class_names: dict[str, str] = {}
    while intents:
        intent = intents.pop()
        record = intent.record
        tenant, class_name, caller_key = record.idempotency_key
        key = (
            tenants.setdefault(tenant, tenant),
            class_names.setdefault(class_name, class_name),
            caller_key,
        )
        fingerprint = None if record.body is None else (record.target, record.body)
        runs[key] = IdempotentRun(
            request=new_reference(record.request_id),
            window_end_ns=clock_ns + intent.remaining_ns,
            fingerprint=fingerprint,
            result_evicted=True,
            result_stored=intent.has_result,
            started=False,
            restored=True,
        )
    return runs


def is_same_run(stored: IdempotentRun, known: IdempotentRun) -> bool:
    """Returns whether a restored run is one that the core knows, and not an earlier run of its key.

    The store has no more than the id of the request, which a later attempt of the filing may have too; its
    window then ends later.
    """
    if stored.request.id != known.request.id:
        return False
    return stored.window_end_ns >= known.window_end_ns - WINDOW_MARGIN_NS


def result_record(result: RunResult, codec: DetailCodec) -> ResultRecord:
    """Returns the record of a result."""
    detail = json.dumps(codec.to_json(result.detail)).encode()
    return ResultRecord(
        OUTCOME_NAMES[result.outcome], result.success, result.body, detail, result.detail_bytes
    )


def stored_result(record: ResultRecord | None, codec: DetailCodec) -> RunResult | None:
    """Returns the result in a record; None if there is no record or it cannot be decoded."""
    if record is None:
        return None
    with suppress(KeyError, TypeError, ValueError):
        return RunResult(
            OUTCOMES_BY_NAME[record.outcome],
            record.body,
            codec.from_json(json.loads(record.detail)),
            record.detail_bytes,
            record.success,
        )
    return None
