"""Measures this process for the watch, ten times a second, and carries out what admission and the limits say.

Only where [overload] is on: it is imported by nothing else.
"""

import os
import time
from fcntl import ioctl
from functools import partial
from struct import unpack
from termios import FIONREAD
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.schema import OverloadConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter, format_samples
from ochrehoist.core.tenants import TenantTable
from ochrehoist.net.loop import Loop
from ochrehoist.overload.admission import Admission
from ochrehoist.overload.limiter import Limiter
from ochrehoist.overload.watch import LOOK_S, Parts, Sample, Watch

PAGE = os.sysconf("SC_PAGE_SIZE")
SAID_S = 5.0  # between two lines of the log while it sheds
UNREAD_OF = 64  # connections whose unread bytes are asked for in a look


class SelfMeasure:
    """Binds the loop's meter, the watch, admission and the limiter of one worker together."""

    def __init__(
        self, loop: Loop, owner: CoreActor, config: OverloadConfig, memory_mb: float, fronts: list, log: Any
    ) -> None:
        self.loop, self.owner, self.log, self.fronts = loop, owner, log, fronts
        self.watch = Watch(int(memory_mb * 1e6))
        self.admission = (
            Admission(self.watch, owner.settings, owner.seed, owner.tenants) if config.admission else None
        )
        self.limiter = Limiter(config, owner.settings, owner.seed)
        owner.register_limiter(self.limiter)
        self.parts = Parts()
        owner.instrument_step(partial(self.parts.timed, "deciding"))
        owner.responses.instrument_send(partial(self.parts.timed, "answering"))
        for front in fronts:
            front.admission = self.admission
            front.reader.request = self.parts.timed("reading", front.reader.request)
        self.cpu, self.busy, self.late = time.process_time(), 0.0, 0.0
        self.looked = self.said = time.monotonic()
        self.behind = False
        self.statm = os.open("/proc/self/statm", os.O_RDONLY)
        self.turn = self.sends = 0
        loop.meter = self._round
        loop.call_later(LOOK_S, self._look)

    def configure(
        self, settings: AdmissionSettings, config: OverloadConfig | None, tenants: TenantTable
    ) -> None:
        """Settings read again. What was off at the start stays off, and the other way round."""
        if config is not None:
            self.limiter.config = config
        self.limiter.configure(settings)
        if self.admission is not None:
            self.admission.configure(settings, tenants)

    # ---- measuring
    def _round(self, took: float, late: float) -> None:
        """One round of the loop: so long did the last of what could run wait, or a timer."""
        self.busy += took
        worst = max(took, late)
        if worst > self.late:
            self.late = worst
        self.watch.delays.add(self.looked, worst)

    def _look(self) -> None:
        now, cpu = time.monotonic(), time.process_time()
        span, self.looked = max(1e-3, now - self.looked), now
        let_in = shed = 0
        if self.admission is not None:
            let_in, shed = self.admission.look(LOOK_S)
        # A look that comes late is itself what waited.
        late = max(self.late, span - LOOK_S)
        sends = self.owner.metrics.total(RequestCounter.RUNS_STARTED)
        self.watch.look(
            Sample(
                now,
                cpu - self.cpu,
                self.busy,
                late,
                let_in,
                shed,
                self._resident(),
                self._unread(),
                sends - self.sends,
            )
        )
        self.sends = sends
        self.cpu, self.busy, self.late = cpu, 0.0, 0.0
        self._say(now)
        self.loop.call_later(LOOK_S, self._look)

    def _resident(self) -> int:
        return int(os.pread(self.statm, 64, 0).split()[1]) * PAGE

    def _unread(self) -> int:
        """Bytes that wait in the system's buffers, of some connections in turn, taken for all."""
        all_of = [c for f in self.fronts for c in f.connections if not c.stream.closed]
        if not all_of:
            return 0
        self.turn = (self.turn + UNREAD_OF) % len(all_of)
        some = (all_of[self.turn :] + all_of[: self.turn])[:UNREAD_OF]
        total = 0
        for c in some:
            try:
                total += unpack("i", ioctl(c.stream.fd, FIONREAD, b"\0\0\0\0"))[0]
            except OSError:  # it ended a moment ago
                continue
        return total * len(all_of) // len(some)

    def _say(self, now: float) -> None:
        """When it falls behind and when it is over at once; in between a line now and then."""
        if self.watch.behind == self.behind and not (self.behind and now - self.said > SAID_S):
            return
        self.said = now
        event = "behind: shedding at admission" if self.watch.behind else "no longer behind"
        self.behind = self.watch.behind
        shed = sum(self.admission.counts.shed.values()) if self.admission is not None else 0
        self.log.warning(event, shed=shed, **self.watch.view())

    # ---- for operators
    def view(self) -> dict[str, Any]:
        out = {
            "loop": self.watch.view(),
            "running": self.limiter.view(),
            "time_s": {name: round(spent, 3) for name, spent in self.parts.spent.items()},
            "memory_bytes": self._memory(),
        }
        if self.admission is not None:
            out["admission"] = out["door"] = self.admission.view()  # its older name: tools may read it
        return out

    def _memory(self) -> dict[str, int]:
        """By owner, as far as each knows its own."""
        streams = [c.stream for f in self.fronts for c in f.connections]
        return {
            "results": self.owner.idempotency.bytes,
            "unsent": sum(len(s.unsent) for s in streams),
            "half_read": sum(len(s.buffer) for s in streams),
            "bodies": sum(getattr(c, "body_bytes", 0) for f in self.fronts for c in f.connections),
            "live_requests": len(self.owner.open_requests),
            "keys": len(self.owner.idempotency.runs),
            "resident": self.watch.rss,
        }

    def figures(self) -> str:
        """Lines beside the platform's fixed names."""
        w, values = self.watch, {}
        values["app_loop_delay_seconds"] = [
            (f'{{quantile="{q}"}}', w.delays.quantile(q)) for q in (0.5, 0.99)
        ]
        values["app_behind"] = [("", int(w.behind))]
        values["app_affordable_per_second"] = [("", w.rate)] if w.rate != float("inf") else []
        values["app_running_limit"] = [("", self.limiter.controller.limit)]
        if self.admission is not None:
            values["app_shed_total"] = [
                (f'{{group="{cls}",reason="{why}"}}', n)
                for (cls, why), n in sorted(self.admission.counts.shed.items())
            ]
        values["app_repeats_denied_total"] = [("", self.limiter.storms.denied)]
        return format_samples(values)

    def close(self) -> None:
        os.close(self.statm)
