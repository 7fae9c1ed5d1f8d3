"""The recorder of a worker: hears of each request from the core, and writes off the loop."""

import errno
import os
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import xxhash

from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.capture.pace import Batches, Sample, file_ends, surplus
from ochrehoist.capture.records import (
    NEVER,
    SUFFIX,
    Head,
    Lost,
    Outcome,
    Record,
    Seen,
    block,
    head_block,
    start,
    told,
)
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.loop import Loop
from ochrehoist.net.offloop import OffLoop

FLUSH = 1.0  # s after which what waits is written, full or not
END = 1.0  # s at the most for the last writes
PIECE, BREATH = 500, 0.0005  # tenants of a head encoded in one go; s for the loop's thread between two


class Opened:
    """One file; used by the writing thread alone."""

    def __init__(self, folder: Path, name: str, head: Head, tenants: tuple[Tenant, ...]) -> None:
        self.path = folder / f"{time.time_ns() // 1_000_000:014d}-{name}-{os.getpid()}{SUFFIX}"
        self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        self.opened, self.size = time.monotonic(), 0
        pieces = []
        for n in range(0, len(tenants), PIECE):
            pieces.append(told([(t.name, t.quota_per_s) for t in tenants[n : n + PIECE]]))
            time.sleep(BREATH)
        self.write(start() + head_block(head, len(tenants), pieces))

    def write(self, data: bytes) -> None:
        written = os.write(self.fd, data)
        self.size += written
        if written < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def close(self) -> None:
        os.close(self.fd)


class Capture:
    """An Observer of the core. A disk that fails or is slow costs records, which are counted, and no more."""

    def __init__(self, loop: Loop, owner: CoreActor, whole: Config, log: Any) -> None:
        config, self.name = whole.capture, whole.name
        self.loop, self.owner, self.config, self.log = loop, owner, config, log
        self.folder = Path(config.folder)
        self.many = whole.settings.tenants, whole.ajp.routes if whole.ajp else ()
        try:
            self.folder.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            raise InvalidInputError(f"setting capture.folder: {self.folder}: {error.strerror}") from None
        self.sample, self.batches = Sample(config.sample_fraction), Batches()
        # By request: itself, when it was read, and how many others ran and were held then.
        self.open: dict[str, tuple[InboundRequest, int, int, int]] = {}
        self.waiting: list[Record] = []
        self.salt = secrets.randbits(64)  # of the file that records are made for
        self.started = 0
        self.file: Opened | None = None
        self.written = self.bytes = 0
        self.trouble = ""
        self.thread = OffLoop(loop, "capture")
        self._new_file(owner.settings)
        loop.call_later(FLUSH, self._flush_again)

    # ---- what the core tells
    def request_arrived(self, r: InboundRequest) -> None:
        subject = r.idempotency_key[2] if r.idempotency_key else r.routing_key
        if subject is not None and not self.sample.takes(subject.encode()):
            return
        module = self.owner.controller
        counts = (module.concurrency.running, len(module.queue.jobs)) if module is not None else (0, 0)
        self.open[r.id] = r, self.owner.now_ns, *counts

    def request_answered(self, r: InboundRequest, figure: str | None, backoff: int) -> None:
        known = self.open.get(r.id)
        if known is None or known[0] is not r:  # not sampled, or one that has the id of another
            return
        _, read_at, running, held = self.open.pop(r.id)
        now, begun = self.owner.now_ns, r.started_ns
        subject = r.idempotency_key[2] if r.idempotency_key else r.routing_key
        outcome = (
            Outcome.GONE
            if figure is None
            else Outcome.SERVED
            if figure == RequestCounter.ANSWERED
            else Outcome.REFUSED
            if figure == RequestCounter.REJECTED
            else Outcome.FAILED
        )
        front, address = r.responder.origin()
        self.waiting.append(
            Seen(
                max(0, r.arrived_ns - self.started),
                r.request_class.name,
                r.tenant,
                front,
                0 if subject is None else xxhash.xxh3_64_intdigest(subject.encode(), self.salt),
                r.work_ns or 0,
                r.caller,
                address,
                r.is_retry,
                outcome,
                max(0, read_at - r.arrived_ns),
                begun - read_at if begun else NEVER,
                now - begun if begun else NEVER,
                running,
                held,
                backoff,
            )
        )
        if self.batches.full(len(self.waiting)):
            self._flush()

    # ---- to the disk
    def configure(self, new: Config) -> None:
        """Begins a new file, which tells the new classes; but not where only tenants or routes have changed:
        there may be thousands, and as many changes in a day. The next file tells them."""
        many = new.settings.tenants, new.ajp.routes if new.ajp else ()
        if many == self.many or replace(new.settings, tenants=()) != self.told_of:
            self._new_file(new.settings)
        self.many = many

    def _new_file(self, s: AdmissionSettings) -> None:
        self._flush()  # what waits is of the old salt
        self.told_of = replace(s, tenants=())
        self.salt, self.started = secrets.randbits(64), self.owner.clock()
        head = Head(
            self.name,
            self.started,
            self.config.sample_fraction,
            s.cores,
            s.memory_kb,
            tuple(
                (c.name, c.latency_objective_ns, c.deadline_ns, c.priority_weight, c.late_weight)
                for c in s.classes
            ),
            (),
        )
        self._submit(lambda: self._open(head, s.tenants))

    def _flush_again(self) -> None:
        if self.trouble:
            self._new_file(self.owner.settings)
        self._flush()
        self.loop.call_later(FLUSH, self._flush_again)

    def _flush(self) -> None:
        records, self.waiting = self.waiting, []
        if not self.batches.may_go():
            return self.batches.drop(len(records))
        lost = self.batches.told()
        if lost:
            records.append(Lost(self.owner.now_ns - self.started, lost))
        if records:
            self._submit(lambda: self._write(records), len(records))

    def _submit(self, call: Callable[[], bool], count: int = 0) -> None:
        self.batches.under_way += 1

        def done(ends: bool | None, error: Exception | None) -> None:
            self.batches.under_way -= 1
            if error is not None:
                self.batches.drop(count)
                if str(error) != self.trouble:
                    self.log.error("load can't be recorded; all else goes on", why=str(error))
                self.trouble = str(error)
                return
            self.trouble, self.written = "", self.written + count
            if ends:
                self._new_file(self.owner.settings)

        self.thread.submit(call, done)

    def _open(self, head: Head, tenants: tuple[Tenant, ...]) -> bool:
        if self.file is not None:
            self.file.close()
            self.file = None
        self.file = Opened(self.folder, self.name, head, tenants)
        files = [(p.name, p.stat().st_size) for p in self.folder.glob(f"*{SUFFIX}")]
        for name in surplus(files, int(self.config.max_mb * 1e6)):
            (self.folder / name).unlink()
        return False

    def _write(self, records: list[Record]) -> bool:
        if self.file is None:
            raise OSError("no file could be opened")
        try:
            self.file.write(block(records))
        except OSError:  # half a block may be there: nothing can follow it
            self.file.close()
            self.file = None
            raise
        self.bytes = self.file.size
        return file_ends(
            self.file.opened,
            time.monotonic(),
            self.file.size,
            self.config.max_file_age_s,
            int(self.config.max_file_mb * 1e6),
        )

    def close(self) -> None:
        """At the end of the process, when the loop no longer runs."""
        self._flush()
        self.thread.submit(lambda: self.file and self.file.close(), lambda *_: None)
        if not self.thread.close(END):
            self.log.error("the disk does not answer: the last of the load is not on record")

    def view(self) -> dict[str, Any]:
        """For operators."""
        return {
            "folder": str(self.folder),
            "sample": self.config.sample_fraction,
            "written": self.written,
            "lost": self.batches.lost_in_all,
            "file_bytes": self.bytes,
            "trouble": self.trouble,
        }
