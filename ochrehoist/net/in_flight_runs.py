"""Tracks the runs sent to the kernel, and which of them a lost link may have dropped. No I/O, no clock.

Commands written in the last 50 ms before a link breaks may be lost. Earlier commands were carried out; the
outcome of the later ones is unknown until the kernel reports their end or they are proved lost. A read of
unknown outcome is sent again without proof: at worst it runs twice. A filing is sent again only once the
gauges prove that the kernel runs no other runs than those that are known to run. The proof requires that all
known runs have reached the cores, and that no notice is missing: a run that was sent before a gap in the
notices is never proved lost.

All times are seconds of the caller's clock.
"""

import math
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from ochrehoist.admission.settings import Idempotency
from ochrehoist.core.request import InboundRequest

LOSS_WINDOW_S = 0.06  # commands written in the last 50 ms before a break may be lost; 10 ms allow for clocks
# A run reaches the cores within this time after the kernel has read its command: three of its 4 ms steps.
CORE_DELAY_S = 0.012
MAX_GIVEN_UP_RUNS = 1000  # beyond it the oldest are forgotten


@dataclass(slots=True)
class KernelRun:
    """A request that was started and is not known to have ended.

    Attributes:
        request: The request to run.
        sent_at_s: When its command was written to a link; None if it was not written yet.
        outcome_unknown: Whether its command may have been lost with a link.
        confirmed: Whether the kernel is known to have carried out its command.
        end_may_be_missed: Whether its end may have been reported by a notice that is lost for good.
    """

    request: InboundRequest
    sent_at_s: float | None = None
    outcome_unknown: bool = False
    confirmed: bool = False
    end_may_be_missed: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Returns whether the request may run twice."""
        return self.request.request_class.idempotency is Idempotency.IDEMPOTENT

    def mark_sent(self, now_s: float) -> None:
        """Records that its command is written to the current link."""
        self.sent_at_s = now_s
        self.outcome_unknown = self.end_may_be_missed = False


class _ReadMark(NamedTuple):
    """Statement that all commands written until `written_until_s` had been read by `read_by_s`."""

    written_until_s: float
    read_by_s: float


class InFlightRuns:
    """The runs of one kernel, by request id: the kernel's commands and notices name a run by nothing else."""

    def __init__(self) -> None:
        self._runs: dict[str, KernelRun] = {}
        # Ids of runs that have failed here, but may go on at the kernel; oldest first.
        self._given_up: dict[str, None] = {}
        self._acknowledged_until_s = -math.inf  # the kernel has read all commands written to this link before
        self._read_marks: deque[_ReadMark] = deque()  # oldest first
        self._at_cores_until_s = -math.inf  # the runs of all commands written before have reached the cores

    def __len__(self) -> int:
        return len(self._runs)

    def start(self, request: InboundRequest) -> KernelRun:
        """Adds a run whose command is not sent yet."""
        run = self._runs[request.id] = KernelRun(request)
        return run

    def end(self, request_id: str) -> KernelRun | None:
        """Removes and returns a run that has ended; None if the id is unknown, or that of a given-up run."""
        if request_id in self._given_up:
            del self._given_up[request_id]
            return None
        return self._runs.pop(request_id, None)

    def give_up(self, run: KernelRun) -> None:
        """Removes a run whose outcome stays unknown; the kernel may still report its end."""
        del self._runs[run.request.id]
        self._given_up[run.request.id] = None
        if len(self._given_up) > MAX_GIVEN_UP_RUNS:
            del self._given_up[next(iter(self._given_up))]

    def is_given_up(self, request_id: str) -> bool:
        """Returns whether a given-up run of this id may go on at the kernel."""
        return request_id in self._given_up

    def is_open(self, run: KernelRun) -> bool:
        """Returns whether this run has not ended, as opposed to a later run of the same id."""
        return self._runs.get(run.request.id) is run

    def unsent(self) -> list[KernelRun]:
        """Returns the runs whose command was not sent yet."""
        return [run for run in self._runs.values() if run.sent_at_s is None]

    def outcome_unknown(self) -> list[KernelRun]:
        """Returns the runs whose command may have been lost with a link."""
        return [run for run in self._runs.values() if run.outcome_unknown]

    def unknown_reads(self) -> list[KernelRun]:
        """Returns the runs of unknown outcome that may run twice."""
        return [run for run in self.outcome_unknown() if run.is_idempotent]

    def has_provable_filings(self) -> bool:
        """Returns whether there is a filing of unknown outcome that may still be proved lost."""
        return any(not run.is_idempotent and not run.end_may_be_missed for run in self.outcome_unknown())

    def link_opened(self, now_s: float) -> None:
        """Records that the kernel reads a new link, and no longer any earlier one."""
        self._read_marks.append(_ReadMark(now_s, now_s))

    def acknowledge(self, queried_at_s: float, now_s: float) -> None:
        """Records an answer to the query of `queried_at_s`: the kernel has read all earlier commands."""
        self._acknowledged_until_s = max(self._acknowledged_until_s, queried_at_s)
        self._read_marks.append(_ReadMark(queried_at_s, now_s))

    def link_lost(self) -> list[KernelRun]:
        """Marks each sent run as confirmed or as of unknown outcome.

        Returns:
            The filings whose outcome has become unknown.
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
        """Marks all sent runs as of unknown outcome: any of them may have ended in a notice lost for good.

        Returns:
            The filings whose outcome has become unknown.
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

    def lost_filings(self, queried_at_s: float, runnable: float | None) -> list[KernelRun]:
        """Returns the filings that are proved to have never run; none where there is no proof.

        `runnable` is the gauge of runs that need a core, queried on this link at `queried_at_s`. Every run
        counts in it until it ends, and the kernel reports ended runs before the gauges. If the gauge equals
        the number of runs that are known to have reached the cores, no filing of unknown outcome runs: its
        command was lost. A run whose command was read just before the gauges were taken may not have reached
        the cores. It is not counted: if it were, a running filing could take its place in the gauge, be
        considered lost, and be sent again. When a command was read is known only from earlier answers.
        """
        while self._read_marks and self._read_marks[0].read_by_s <= queried_at_s - CORE_DELAY_S:
            mark = self._read_marks.popleft()
            self._at_cores_until_s = max(self._at_cores_until_s, mark.written_until_s)
        unknown_filings = [run for run in self.outcome_unknown() if not run.is_idempotent]
        if not unknown_filings or runnable is None or self._at_cores_until_s == -math.inf:
            return []
        if runnable != sum(self._is_at_cores(run) for run in self._runs.values()):
            return []
        return [run for run in unknown_filings if not run.end_may_be_missed]

    def _is_at_cores(self, run: KernelRun) -> bool:
        if run.sent_at_s is None or run.outcome_unknown:
            return False
        return run.sent_at_s < self._at_cores_until_s
