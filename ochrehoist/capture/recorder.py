"""Recorder of a worker's load: observes requests in the core, and writes records on a separate thread."""

import secrets
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import xxhash

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.capture.batching import BatchWindow, SubjectSampler
from ochrehoist.capture.records import (
    UNKNOWN_DURATION_NS,
    CaptureHeader,
    DroppedRecords,
    Record,
    RequestOutcome,
    RequestRecord,
)
from ochrehoist.capture.writer import CaptureWriter
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest, RequestReference
from ochrehoist.errors import InvalidInputError
from ochrehoist.loop_protocols import StartBlockingCalls, TimerLoop
from ochrehoist.periodic_calls import call_periodically

FLUSH_INTERVAL_S = 1.0  # pending records are written at this interval, also if they do not fill a batch
FINAL_FLUSH_TIMEOUT_S = 1.0  # for pending writes, from the call of close()
FOLDER_MODE = 0o700
SALT_BITS = 64
# The counter is None if the caller disconnected; all other counters are failures.
OUTCOMES_BY_COUNTER = {
    RequestCounter.ANSWERED: RequestOutcome.SERVED,
    RequestCounter.REJECTED: RequestOutcome.REJECTED,
    None: RequestOutcome.CALLER_DISCONNECTED,
}


class OpenRequest(msgspec.Struct, gc=False):
    """A sampled request that is not answered yet, and the load when it arrived."""

    request: InboundRequest
    subject: bytes | None  # idempotency key or routing key of the request
    read_at_ns: int  # by the core's clock
    running_requests: int
    queued_requests: int


class LoadRecorder:
    """Recorder of sampled requests; implements `core.protocols.RequestObserver`.

    If the disk fails or is slow, records are dropped and counted, but requests are not affected. The
    constructor raises InvalidInputError if the folder cannot be created.
    """

    def __init__(
        self,
        loop: TimerLoop,
        start_blocking_calls: StartBlockingCalls,
        core: CoreActor,
        config: Config,
        log: Any,
    ) -> None:
        assert config.capture is not None
        self._loop = loop
        self._core = core
        self._config = config.capture
        self._name = config.name
        self._log = log
        self._tenants_and_routes = _tenants_and_routes(config)
        self._writer = CaptureWriter(self._config, self._name)
        self._make_folder()
        self._sampler = SubjectSampler(self._config.sample_fraction)
        self._batches = BatchWindow()
        self._open_requests: dict[RequestReference, OpenRequest] = {}
        self._pending_records: list[Record] = []
        self._salt = 0  # of the subject hashes in the current file
        self._started_unix_ns = 0  # time that arrivals in the current file are relative to
        # As in the header of the current file, but without tenants.
        self._header_settings: AdmissionSettings | None = None
        self._written_count = 0
        self._last_error = ""  # text of the last error; empty after a successful write
        self._thread = start_blocking_calls("capture")
        self._start_file(core.settings)
        call_periodically(loop, FLUSH_INTERVAL_S, self._flush_periodically)

    def _make_folder(self) -> None:
        folder = self._writer.folder
        try:
            folder.mkdir(mode=FOLDER_MODE, exist_ok=True)
        except OSError as error:
            raise InvalidInputError.in_setting("capture.folder", f"{folder}: {error.strerror}") from None

    def request_arrived(self, request: InboundRequest) -> None:
        """Stores the load at the arrival of a sampled request."""
        subject = _subject(request)
        if subject is not None and not self._sampler.includes(subject):
            return
        controller = self._core.controller
        running = queued = 0
        if controller is not None:
            running = controller.concurrency.running
            queued = len(controller.queue.jobs)
        self._open_requests[request.reference] = OpenRequest(
            request, subject, self._core.now_ns, running, queued
        )

    def request_answered(
        self, request: InboundRequest, counter: RequestCounter | None, retry_after_ns: int
    ) -> None:
        """Records a sampled request."""
        open_request = self._open_requests.pop(request.reference, None)
        if open_request is None:  # not sampled, or answered before the core accepted it
            return
        self._pending_records.append(self._record(open_request, counter, retry_after_ns))
        if self._batches.is_full(len(self._pending_records)):
            self._flush()

    def _record(
        self, open_request: OpenRequest, counter: RequestCounter | None, retry_after_ns: int
    ) -> RequestRecord:
        request, now_ns = open_request.request, self._core.now_ns
        started_ns = request.started_ns
        subject = open_request.subject
        front, address = request.responder.origin()
        return RequestRecord(  # positional arguments, which are cheaper on this hot path
            max(0, request.arrived_ns - self._started_unix_ns),
            request.request_class.name,
            request.tenant,
            front,
            0 if subject is None else xxhash.xxh3_64_intdigest(subject, self._salt),
            request.work_ns or 0,
            request.caller,
            address,
            request.is_retry,
            OUTCOMES_BY_COUNTER.get(counter, RequestOutcome.FAILED),
            max(0, open_request.read_at_ns - request.arrived_ns),  # read_delay_ns
            started_ns - open_request.read_at_ns if started_ns else UNKNOWN_DURATION_NS,  # queue_ns
            now_ns - started_ns if started_ns else UNKNOWN_DURATION_NS,  # run_ns
            open_request.running_requests,
            open_request.queued_requests,
            retry_after_ns,
        )

    def configure(self, config: Config) -> None:
        """Applies a new configuration: starts a file with the new settings in its header.

        No file is started if only tenants or routes have changed: there may be thousands of them, and as many
        changes in a day. They are in the header of the next file.
        """
        tenants_and_routes = _tenants_and_routes(config)
        settings_unchanged = replace(config.settings, tenants=()) == self._header_settings
        if tenants_and_routes == self._tenants_and_routes or not settings_unchanged:
            self._start_file(config.settings)
        self._tenants_and_routes = tenants_and_routes

    def _start_file(self, settings: AdmissionSettings) -> None:
        self._flush()  # the pending records use the salt of the current file
        self._header_settings = replace(settings, tenants=())
        self._salt = secrets.randbits(SALT_BITS)
        self._started_unix_ns = self._core.clock()
        header = CaptureHeader(
            worker=self._name,
            started_unix_ns=self._started_unix_ns,
            sample_fraction=self._config.sample_fraction,
            cores=settings.cores,
            memory_kb=settings.memory_kb,
            classes=tuple(
                (c.name, c.latency_objective_ns, c.deadline_ns, c.priority_weight, c.late_weight)
                for c in settings.classes
            ),
            tenants=(),
        )
        self._submit(lambda: self._writer.start_file(header, settings.tenants))

    def _flush_periodically(self) -> None:
        if self._last_error:
            self._start_file(self._core.settings)
        self._flush()

    def _flush(self) -> None:
        records = self._pending_records
        self._pending_records = []
        if not self._batches.has_capacity():
            self._batches.drop(len(records))
            return
        dropped = self._batches.take_dropped()
        if dropped:
            records.append(DroppedRecords(self._core.now_ns - self._started_unix_ns, dropped))
        if records:
            self._submit(lambda: self._writer.write(records), len(records))

    def _submit(self, write: Callable[[], bool], record_count: int = 0) -> None:
        """Runs `write` on the recorder's thread; it returns whether the file is complete."""
        self._batches.in_flight += 1

        def on_written(complete: bool | None, error: Exception | None) -> None:
            self._batches.in_flight -= 1
            if error is not None:
                self._write_failed(error, record_count)
                return
            self._last_error = ""
            self._written_count += record_count
            if complete:
                self._start_file(self._core.settings)

        self._thread.submit(write, on_written)

    def _write_failed(self, error: Exception, record_count: int) -> None:
        self._batches.drop(record_count)
        if str(error) != self._last_error:
            self._log.error("capture_unavailable", reason=str(error))
        self._last_error = str(error)

    def close(self) -> None:
        """Writes the pending records; called at the end of the process, after the loop has ended."""
        self._flush()
        self._thread.submit(self._writer.close, lambda *_: None)
        if not self._thread.close(FINAL_FLUSH_TIMEOUT_S):
            self._log.error("capture_records_lost_at_exit")

    def status_section(self) -> dict[str, Any]:
        """Returns the section `capture` of /status."""
        return {
            "folder": str(self._writer.folder),
            "sample": self._config.sample_fraction,
            "written": self._written_count,
            "lost": self._batches.total_dropped,
            "file_bytes": self._writer.file_size_bytes,
            "trouble": self._last_error,
        }


def _tenants_and_routes(config: Config) -> tuple[Any, Any]:
    return config.settings.tenants, config.ajp.routes if config.ajp else ()


def _subject(request: InboundRequest) -> bytes | None:
    """Returns the subject of a request: its idempotency key or else its routing key, if it has one."""
    subject = request.idempotency_key[2] if request.idempotency_key else request.routing_key
    return None if subject is None else subject.encode()
