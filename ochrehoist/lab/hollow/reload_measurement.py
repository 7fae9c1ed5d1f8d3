"""Reloads of many hollow workers, one after the other, and how long each took."""

import time
from collections.abc import Callable
from pathlib import Path

from ochrehoist.lab.hollow.protocol import ReloadTimes, ReloadWorkers, WorkerDescription
from ochrehoist.lab.hollow.worker import HollowWorker
from ochrehoist.net.loop import Loop

IN_FORCE_CHECK_S = 0.005  # between two looks whether a change is in force


class ReloadMeasurement:
    """Has each of the workers that run reload a new file; the next one begins when one is done.

    `running` is the table of the process, in which workers come and go meanwhile; `write_file` writes the
    configuration of a worker and returns its path.
    """

    def __init__(
        self,
        loop: Loop,
        command: ReloadWorkers,
        running: dict[str, HollowWorker],
        descriptions: list[WorkerDescription],
        write_file: Callable[[WorkerDescription], Path],
        report: Callable[[ReloadTimes], None],
    ) -> None:
        self._loop = loop
        self._expected_quota_per_s = command.expected_quota_per_s
        self._ends_at = time.monotonic() + command.time_limit_s
        self._running = running
        self._waiting = [description for description in descriptions if description.name in running]
        self._write_file = write_file
        self._report = report
        self._times = ReloadTimes([], [], [], 0)

    def reload_next(self) -> None:
        """Begins with the next worker, or reports where none is left or the time is over."""
        while self._waiting and self._waiting[-1].name not in self._running:  # ended meanwhile
            self._waiting.pop()
        if not self._waiting or time.monotonic() > self._ends_at:
            self._times.missed_count = len(self._waiting)
            self._report(self._times)
            return
        description = self._waiting.pop()
        worker = self._running[description.name]
        path = self._write_file(description)
        started_at = time.monotonic()
        started_cpu_s = time.thread_time()
        worker.reloader.request_reload()
        request_hold_s = time.monotonic() - started_at
        self._check(worker, path, started_at, started_cpu_s, request_hold_s)

    def _check(
        self, worker: HollowWorker, path: Path, started_at: float, started_cpu_s: float, request_hold_s: float
    ) -> None:
        """Checks again and again until the change is in force, the worker has ended or time is over."""
        in_force = worker.actor.settings.tenants[0].quota_per_s == self._expected_quota_per_s
        if not in_force and not worker.ended and time.monotonic() <= self._ends_at:
            self._loop.call_later(
                IN_FORCE_CHECK_S,
                lambda: self._check(worker, path, started_at, started_cpu_s, request_hold_s),
            )
            return
        if in_force:
            self._times.in_force_s.append(time.monotonic() - started_at)
            self._times.hold_s.append(max(request_hold_s, worker.reloader.status.longest_block_s))
            self._times.cpu_s.append(time.thread_time() - started_cpu_s)
        path.unlink(missing_ok=True)
        self._loop.call_later(0.0, self.reload_next)
