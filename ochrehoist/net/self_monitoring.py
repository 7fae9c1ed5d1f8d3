"""Self-monitoring: samples this process ten times a second, for overload control and for operators.

Loaded only if the configuration has the table [overload].
"""

import os
import time
from collections.abc import Sequence
from fcntl import ioctl
from functools import partial
from struct import unpack
from termios import FIONREAD
from typing import Any

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter, format_samples
from ochrehoist.core.protocols import Logger
from ochrehoist.net.ajp_front import AjpFront
from ochrehoist.net.loop import Loop
from ochrehoist.net.thrift_front import ThriftFront
from ochrehoist.overload.overload_control import OverloadControl
from ochrehoist.overload.overload_detector import SAMPLE_INTERVAL_S, LoadSample
from ochrehoist.periodic_calls import call_periodically

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_READ_BYTES = 64  # enough for the first two fields of the file
LOG_INTERVAL_S = 5.0  # between two log lines while the worker stays overloaded
MAX_SAMPLED_CONNECTIONS = 64  # unread bytes are counted on this many connections in each sample
MIN_INTERVAL_S = 1e-3


class SelfMonitor:
    """Sampler of the event loop, processor time, memory and unread bytes of one worker.

    Passes samples to the detector of `control`, ends the intervals of early rejection, and logs when overload
    begins and ends.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        control: OverloadControl,
        fronts: Sequence[ThriftFront | AjpFront],
        log: Logger,
    ) -> None:
        self.control = control
        self._loop = loop
        self._core = core
        self._fronts = fronts
        self._log = log
        self._cpu_s = time.process_time()
        self._busy_s = 0.0  # total duration of the loop's iterations since the last sample
        self._loop_delay_s = 0.0  # longest delay of the loop since the last sample
        self._sampled_at_s = time.monotonic()
        self._logged_at_s = self._sampled_at_s
        self._logged_overloaded = False
        self._statm_fd = os.open("/proc/self/statm", os.O_RDONLY)
        self._first_connection = 0  # position of the first connection in the last sample
        self._runs_started = 0
        core.instrument_step(partial(control.timings.timed, "deciding"))
        core.responses.instrument_send(partial(control.timings.timed, "answering"))
        for front in fronts:
            front.instrument_reading(partial(control.timings.timed, "reading"))
        loop.observe_iterations(self._record_iteration)
        call_periodically(loop, SAMPLE_INTERVAL_S, self._sample)

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`."""
        control = self.control
        values = {
            "loop": control.detector.status_section(),
            "running": control.limiter.status_section(),
            "time_s": {stage: round(spent_s, 3) for stage, spent_s in control.timings.spent_s.items()},
            "memory_bytes": self._memory_by_use(),
        }
        if control.early_rejection is not None:
            values["admission"] = control.early_rejection.status_section()
            values["door"] = values["admission"]  # former key, kept for tools that read it
        return values

    def metrics_text(self) -> str:
        """Returns the metrics as text, in addition to those whose names the platform defines."""
        detector = self.control.detector
        affordable = detector.affordable_per_s
        values: dict[str, list[tuple[str, float]]] = {
            "app_loop_delay_seconds": [
                (f'{{quantile="{fraction}"}}', detector.delays.quantile(fraction)) for fraction in (0.5, 0.99)
            ],
            "app_behind": [("", int(detector.overloaded))],
            "app_affordable_per_second": [("", affordable)] if affordable != float("inf") else [],
            "app_running_limit": [("", self.control.limiter.algorithm.limit)],
        }
        if self.control.early_rejection is not None:
            values["app_shed_total"] = [
                (f'{{group="{class_name}",reason="{reason}"}}', count)
                for (class_name, reason), count in sorted(
                    self.control.early_rejection.counts.rejected.items()
                )
            ]
        values["app_repeats_denied_total"] = [("", self.control.limiter.retry_budget.denied)]
        return format_samples(values)

    def close(self) -> None:
        """Closes the descriptor of /proc/self/statm."""
        os.close(self._statm_fd)

    # ---- sampling
    def _record_iteration(self, duration_s: float, timer_delay_s: float) -> None:
        """Records an iteration of the loop.

        The delay is the duration of the iteration, for which its last task had to wait, or the lateness of a
        timer if that is longer.
        """
        self._busy_s += duration_s
        delay_s = max(duration_s, timer_delay_s)
        if delay_s > self._loop_delay_s:
            self._loop_delay_s = delay_s
        self.control.detector.delays.add(self._sampled_at_s, delay_s)

    def _sample(self) -> None:
        now_s = time.monotonic()
        self.control.detector.observe(self._take_sample(now_s))
        self._log_state(now_s)

    def _take_sample(self, now_s: float) -> LoadSample:
        """Returns the load since the last sample and resets the counts."""
        cpu_s = time.process_time()
        interval_s = max(MIN_INTERVAL_S, now_s - self._sampled_at_s)
        admitted = rejected = 0
        if self.control.early_rejection is not None:
            counts = self.control.early_rejection.end_interval(SAMPLE_INTERVAL_S)
            admitted = counts.admitted
            rejected = counts.rejected_total
        runs_started = self._core.metrics.total(RequestCounter.RUNS_STARTED)
        sample = LoadSample(
            at_s=now_s,
            cpu_s=cpu_s - self._cpu_s,
            busy_s=self._busy_s,
            # A late sample is itself a delay of the loop.
            loop_delay_s=max(self._loop_delay_s, interval_s - SAMPLE_INTERVAL_S),
            admitted=admitted,
            rejected=rejected,
            rss_bytes=self._resident_bytes(),
            unread_bytes=self._unread_bytes(),
            runs_started=runs_started - self._runs_started,
        )
        self._sampled_at_s = now_s
        self._cpu_s = cpu_s
        self._runs_started = runs_started
        self._busy_s = 0.0
        self._loop_delay_s = 0.0
        return sample

    def _resident_bytes(self) -> int:
        resident_pages = os.pread(self._statm_fd, STATM_READ_BYTES, 0).split()[1]
        return int(resident_pages) * PAGE_BYTES

    def _unread_bytes(self) -> int:
        """Estimates the bytes in all sockets' receive buffers, from some connections in rotation."""
        connections = [
            connection
            for front in self._fronts
            for connection in front.connections
            if not connection.stream.closed
        ]
        if not connections:
            return 0
        self._first_connection = (self._first_connection + MAX_SAMPLED_CONNECTIONS) % len(connections)
        start = self._first_connection
        sampled = (connections[start:] + connections[:start])[:MAX_SAMPLED_CONNECTIONS]
        sampled_bytes = 0
        for connection in sampled:
            try:
                sampled_bytes += unpack("i", ioctl(connection.stream.fd, FIONREAD, b"\0\0\0\0"))[0]
            except OSError:  # the socket is closed
                continue
        return sampled_bytes * len(connections) // len(sampled)

    def _log_state(self, now_s: float) -> None:
        """Logs each change of the state at once, and a reminder every LOG_INTERVAL_S while overloaded."""
        overloaded = self.control.detector.overloaded
        reminder_due = overloaded and now_s - self._logged_at_s > LOG_INTERVAL_S
        if overloaded == self._logged_overloaded and not reminder_due:
            return
        self._logged_at_s = now_s
        self._logged_overloaded = overloaded
        rejection = self.control.early_rejection
        self._log.warning(
            "overload_detected" if overloaded else "overload_ended",
            rejected=rejection.counts.rejected_total if rejection is not None else 0,
            **self.control.detector.status_section(),
        )

    def _memory_by_use(self) -> dict[str, int]:
        """Returns bytes by use, as far as they are known, and counts of requests and keys."""
        connections = [connection for front in self._fronts for connection in front.connections]
        core = self._core
        return {
            "results": core.idempotency.bytes,
            "unsent": sum(len(connection.stream.unsent) for connection in connections),
            "half_read": sum(len(connection.stream.buffer) for connection in connections),
            "bodies": sum(getattr(connection, "body_bytes", 0) for connection in connections),
            "live_requests": len(core.open_requests),
            "keys": len(core.idempotency.runs),
            "resident": self.control.detector.rss_bytes,
        }
