"""What the core keeps beside the admission controller: idempotency records, deadlines, metrics, captures."""

import json
from collections.abc import Iterator
from typing import Any

from benchmarks.scaling.admission_driver import MS, S, admission_settings
from benchmarks.scaling.admission_probes import ALL_TENANTS
from benchmarks.scaling.probe import Limit, Measures, Probe, core_share, request_delay
from benchmarks.scaling.timing import cpu_us, median_cpu_us, short_call_cpu_us, with_memory_growth
from ochrehoist.admission.events import Outcome
from ochrehoist.capture.encoding import encode_block
from ochrehoist.capture.records import CaptureHeader
from ochrehoist.core.deadlines import Deadlines
from ochrehoist.core.handover_snapshot import snapshot_lines
from ochrehoist.core.idempotency_table import IdempotencyTable
from ochrehoist.core.metrics import Metrics
from ochrehoist.core.request import NO_SERIAL, RequestReference, new_reference
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.recovery.intent_log import IntentLog
from ochrehoist.recovery.messages import RecordIntent

WINDOW_S = 900
READ_DELAY_NS = 2 * S
MAX_RESULT_BYTES = 1 << 40
FINGERPRINT = (None, bytes(32))
RESULT_BODY = b"done" * 75
KEY_TENANTS = 1000
TIMED_DEADLINES = 1000
WITNESSED_WORKERS = 5
INTENTS_A_MESSAGE = 100
INTENT_LIFETIME_MS = 900_000
FILING_COUNT_AT_GOAL = 15_390  # within their window


def metrics_by_classes(size: int, seed: int) -> Measures:  # noqa: ARG001 - every probe gets a seed
    """The text of the metrics with so many classes."""
    metrics = Metrics(f"class-{number}" for number in range(size))
    return {"metrics_bytes": len(metrics.text(0)), "metrics_us": median_cpu_us(lambda: metrics.text(0))}


def idempotency_by_filings(size: int, seed: int) -> Measures:  # noqa: ARG001
    """Filings within their window: expiry runs each second, on the loop."""
    table, table_bytes = with_memory_growth(lambda: _idempotency_table(size))
    expire_us = median_cpu_us(lambda: _expire(table, 10 * S))
    assert len(table.runs) == size
    return {
        "bytes": table_bytes,
        "expire_us": expire_us,
        "expire_all_us": cpu_us(lambda: _expire(table, (WINDOW_S + 100) * S)),
    }


def _expire(table: IdempotencyTable, now_ns: int) -> None:
    """Drops all records and runs that have expired, as the core does."""
    for key in table.expired_records(now_ns):
        table.drop_record(key)
    for key in table.expired_runs(now_ns):
        table.drop_run(key)


def handover_by_filings(size: int, seed: int) -> Measures:  # noqa: ARG001
    """The lines of a handover with so many filings within their window."""
    snapshot = CoreSnapshot(idempotency=_idempotency_table(size))

    def encoded_bytes() -> int:
        lines: Iterator[Any] = snapshot_lines(snapshot, 0, _PlainDetail())
        return sum(len(json.dumps(line, separators=(",", ":"))) + 1 for line in lines)

    return {"handover_bytes": encoded_bytes(), "handover_us": median_cpu_us(encoded_bytes)}


def deadlines_by_requests(size: int, seed: int) -> Measures:  # noqa: ARG001
    """The heap of deadlines with so many requests open."""
    deadlines = Deadlines()

    def fill() -> None:
        for number in range(size):
            deadlines.set_answer_deadline(number * MS, RequestReference(f"request-{number}", number))

    _, heap_bytes = with_memory_growth(fill)
    numbers = iter(range(size, 10**9))

    def add_and_take_one() -> None:
        deadlines.set_answer_deadline(next(numbers) * MS, RequestReference("request", NO_SERIAL))
        due_ns = deadlines.next_due_ns()
        assert due_ns is not None
        next(iter(deadlines.pop_overdue_requests(due_ns)), None)

    return {"bytes": heap_bytes, "request_us": short_call_cpu_us(add_and_take_one, TIMED_DEADLINES)}


def witness_by_filings(size: int, seed: int) -> Measures:  # noqa: ARG001
    """The intents that a witness keeps for others: it looks through all of them each second, on the loop."""
    log = IntentLog(0.0)

    def record_intents() -> None:
        for number in range(0, size, INTENTS_A_MESSAGE):
            intents = [
                ((number + offset).to_bytes(16, "big"), INTENT_LIFETIME_MS)
                for offset in range(INTENTS_A_MESSAGE)
            ]
            log.record(f"worker-{number % WITNESSED_WORKERS}", RecordIntent(number, intents), 0.0)

    _, log_bytes = with_memory_growth(record_intents)
    return {"bytes": log_bytes, "expire_us": median_cpu_us(lambda: log.remove_expired(1.0))}


def capture_header_by_tenants(size: int, seed: int) -> Measures:  # noqa: ARG001
    """The header of each file of [capture]."""
    settings = admission_settings(size)

    def header() -> CaptureHeader:
        return CaptureHeader(
            "worker",
            0,
            1.0,
            settings.cores,
            settings.memory_kb,
            tuple(
                (
                    request_class.name,
                    request_class.latency_objective_ns,
                    request_class.deadline_ns,
                    request_class.priority_weight,
                    request_class.late_weight,
                )
                for request_class in settings.classes
            ),
            tuple((tenant.name, tenant.quota_per_s) for tenant in settings.tenants),
        )

    return {
        "bytes": len(encode_block([header()])),
        "on_loop_us": median_cpu_us(header),
        "off_loop_us": median_cpu_us(lambda: encode_block([header()])),
    }


class _PlainDetail:
    """The details of results as they are."""

    def to_json(self, detail: Any) -> Any:
        return detail

    def from_json(self, data: Any) -> Any:
        return data


def _idempotency_table(size: int) -> IdempotencyTable:
    """A table with so many filings that ran within their window."""
    table = IdempotencyTable(READ_DELAY_NS, MAX_RESULT_BYTES)
    for number in range(size):
        key = f"tenant-{number % KEY_TENANTS:06}", "class-1", f"key {number:032}"
        request = new_reference(f"r{number}")
        table.retain(key, request, WINDOW_S * S, FINGERPRINT)
        table.run_started(key, request, WINDOW_S * S, FINGERPRINT)
        table.run_ended(key, request, RunResult(Outcome.OK, RESULT_BODY), WINDOW_S)
    return table


def core_probes() -> list[Probe]:
    """The probes of this module."""
    return [
        Probe(
            "idempotency table",
            "filings within their window",
            (1000, 5000, 20000, 60000),
            idempotency_by_filings,
            FILING_COUNT_AT_GOAL,
            (request_delay("expire_us"), core_share("expire_us", 1)),
        ),
        Probe(
            "handover of idempotency records",
            "filings within their window",
            (1000, 5000, 20000, 40000),
            handover_by_filings,
            FILING_COUNT_AT_GOAL,
            (Limit("handover_us", 500_000, "how long a core may pause for a handover"),),
        ),
        Probe(
            "deadlines",
            "requests within their deadline",
            (100, 1000, 10000, 100000),
            deadlines_by_requests,
            5130,
        ),
        Probe(
            "metrics by classes",
            "classes",
            (2, 34, 340, 1000),
            metrics_by_classes,
            340,
            (request_delay("metrics_us"), Limit("metrics_bytes", 60_000, "4 KB a second, read each 15 s")),
        ),
        Probe(
            "witness",
            "intents kept",
            (1000, 10000, 50000, 200000),
            witness_by_filings,
            76950,
            (request_delay("expire_us"),),
        ),
        Probe(
            "capture header",
            "tenants",
            (3, 1000, 5000, 20000, ALL_TENANTS),
            capture_header_by_tenants,
            ALL_TENANTS,
            (request_delay("on_loop_us"),),
        ),
    ]
