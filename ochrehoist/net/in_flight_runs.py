"""The runs that were sent to the kernel, and which of them a broken link may have lost. No I/O, no clock.

Commands of the last 50 ms before a link breaks may be lost. What was sent before that runs; the outcome of
the rest is unknown until its end is reported or it is proved not to run. A read with unknown outcome is just
sent again: at worst it runs twice. A filing is sent again only once the kernel runs nothing but what it is
known to run. That proof needs the way of all runs to the cores to be over, and every notice: what was sent
before a gap in the notices is never proved lost.

All times are seconds of the caller's clock.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from ochrehoist.admission.settings import Idempotency
from ochrehoist.core.request import InboundRequest

LOSS_WINDOW_S = 0.06  # before a break in which commands may be lost: 50 ms, and some for the clocks
CORE_DELAY_S = 0.012  # after its command was read in which a run reaches the cores: three steps of a machine


@dataclass(slots=True)
class KernelRun:
    """A request that was started and is not known to have ended.

    Attributes:
        request: What runs.
        sent_at_s: When its command was written to a link; None: not yet.
        outcome_unknown: Its command may have been lost with a link.
        confirmed: Its command was carried out.
        end_may_be_missed: Its end may have been among notices that can't be had any more.
    """

    request: InboundRequest
    sent_at_s: float | None = None
    outcome_unknown: bool = False
    confirmed: bool = False
    end_may_be_missed: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run twice."""
        return self.request.request_class.idempotency is Idempotency.IDEMPOTENT

    def mark_sent(self, now_s: float) -> None:
        """Its command is written to the link now in use."""
        self.sent_at_s = now_s
        self.outcome_unknown = self.end_may_be_missed = False


class _ReadMark(NamedTuple):
    """All that was written until `written_until_s` had been read by `read_by_s`."""

    written_until_s: float
    read_by_s: float


class InFlightRuns:
    """The runs of one kernel, by request id."""

    def __init__(self) -> None:
        self._runs: dict[str, KernelRun] = {}
        self._acknowledged_until_s = -math.inf  # the kernel has read all that was written to this link before
        self._read_marks: deque[_ReadMark] = deque()  # oldest first
        self._at_cores_until_s = -math.inf  # all that was written before is at the cores by now

    def __len__(self) -> int:
        return len(self._runs)

    def start(self, request: InboundRequest) -> KernelRun:
        """Adds a run that is not sent yet."""
        run = self._runs[request.id] = KernelRun(request)
        return run

    def end(self, request_id: str) -> KernelRun | None:
        """Removes a run that has ended; None where there is none of this id."""
        return self._runs.pop(request_id, None)

    def is_open(self, run: KernelRun) -> bool:
        """Whether this very run has not ended."""
        return self._runs.get(run.request.id) is run

    def unsent(self) -> list[KernelRun]:
        """Those that were not sent yet."""
        return [run for run in self._runs.values() if run.sent_at_s is None]

    def outcome_unknown(self) -> list[KernelRun]:
        """Those that a link may have lost."""
        return [run for run in self._runs.values() if run.outcome_unknown]

    def unknown_reads(self) -> list[KernelRun]:
        """Those of them that may run twice."""
        return [run for run in self.outcome_unknown() if run.is_idempotent]

    def has_provable_filings(self) -> bool:
        """Whether a filing has an unknown outcome and may yet be proved lost."""
        return any(not run.is_idempotent and not run.end_may_be_missed for run in self.outcome_unknown())

    def link_opened(self, now_s: float) -> None:
        """The kernel has taken a new link, and reads no other one any more."""
        self._read_marks.append(_ReadMark(now_s, now_s))

    def acknowledge(self, asked_at_s: float, now_s: float) -> None:
        """Gauges that were asked for then have arrived: the kernel has read what was written before."""
        self._acknowledged_until_s = max(self._acknowledged_until_s, asked_at_s)
        self._read_marks.append(_ReadMark(asked_at_s, now_s))

    def link_lost(self) -> list[KernelRun]:
        """Tells apart what the kernel got and what it may not have got.

        Returns:
            The filings whose outcome is unknown from now on.
        """
        received_until_s = self._acknowledged_until_s - LOSS_WINDOW_S
        self._acknowledged_until_s = self._at_cores_until_s = -math.inf
        self._read_marks.clear()
        unconfirmed = []
        for run in self._runs.values():
            if run.sent_at_s is None or run.confirmed:
                continue
            run.confirmed = run.sent_at_s < received_until_s and not run.outcome_unknown
            if not run.confirmed:
                unconfirmed.append(run)
        return self._mark_unknown(unconfirmed)

    def notices_lost(self) -> list[KernelRun]:
        """Notices are missing for good: whatever was sent may have ended unnoticed.

        Returns:
            The filings whose outcome is unknown from now on.
        """
        sent = [run for run in self._runs.values() if run.sent_at_s is not None]
        for run in sent:
            run.end_may_be_missed = True
            run.confirmed = False
        return self._mark_unknown(sent)

    @staticmethod
    def _mark_unknown(runs: list[KernelRun]) -> list[KernelRun]:
        newly_unknown = [run for run in runs if not run.outcome_unknown]
        for run in newly_unknown:
            run.outcome_unknown = True
        return [run for run in newly_unknown if not run.is_idempotent]

    def lost_filings(self, asked_at_s: float, runnable: float | None) -> list[KernelRun]:
        """The filings that never ran, by gauges that were asked for on this link; none where it is unsure.

        Whatever runs wants a core, and what has ended was reported before the gauges. So where just as many
        want one as are sure to, no filing of unknown outcome is among them: its command was lost. What was
        read just before the gauges were taken may not have reached the cores: counted as sure it would hide a
        filing that runs, and that may end before it is sent again. Only an earlier answer tells what was read
        when.
        """
        while self._read_marks and self._read_marks[0].read_by_s <= asked_at_s - CORE_DELAY_S:
            mark = self._read_marks.popleft()
            self._at_cores_until_s = max(self._at_cores_until_s, mark.written_until_s)
        unknown = [run for run in self.outcome_unknown() if not run.is_idempotent]
        if not unknown or runnable is None or self._at_cores_until_s == -math.inf:
            return []
        if runnable != sum(self._is_at_cores(run) for run in self._runs.values()):
            return []
        return [run for run in unknown if not run.end_may_be_missed]

    def _is_at_cores(self, run: KernelRun) -> bool:
        if run.sent_at_s is None or run.outcome_unknown:
            return False
        return run.sent_at_s < self._at_cores_until_s
