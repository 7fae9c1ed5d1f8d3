"""What was given to the kernel, and what of it may have been lost with a link. No I/O, no clock of its own.

Commands of the last 50 ms before a link breaks may be lost. What was given before that runs; the rest is in
doubt until it is told to be over or shown not to run. A read in doubt is simply given again: at worst it runs
twice. A filing in doubt is given again only once the kernel runs nothing but what it is known to run. That
proof needs the way of all runs to the cores to be over, and every notice: what was given before a gap in the
notices is never proved lost.
"""

import math
from collections import deque
from dataclasses import dataclass

from ochrehoist.admission.settings import Idempotency
from ochrehoist.core.request import InboundRequest

LOSS = 0.06  # s before a break in which commands may be lost: 50 ms, and some for the clocks
REACHED = 0.012  # s after its command was read in which a run reaches the cores: three steps of a machine


@dataclass(slots=True)
class Run:
    """A request that was started and is not known to be over. Times are those of the caller's clock, in s."""

    request: InboundRequest
    given: float | None = None  # when its command was written to a link; None: not yet
    doubtful: bool = False  # its command may have been lost with a link
    known: bool = False  # its command was carried out
    untold: bool = False  # its end may have been among notices that can't be had any more

    @property
    def safe(self) -> bool:
        return self.request.request_class.idempotency is Idempotency.IDEMPOTENT

    def give(self, now: float) -> None:
        self.given, self.doubtful, self.untold = now, False, False


class Runs:
    """The runs of one kernel by the request's id."""

    def __init__(self) -> None:
        self.open: dict[str, Run] = {}
        self.heeded = -math.inf  # the kernel has read all that was written to this link before
        # What was written until when had been read by which moment, oldest first; and is at the cores by now.
        self.reading: deque[tuple[float, float]] = deque()
        self.settled = -math.inf

    def start(self, request: InboundRequest) -> Run:
        run = self.open[request.id] = Run(request)
        return run

    def over(self, request_id: str) -> Run | None:
        return self.open.pop(request_id, None)

    def is_open(self, run: Run) -> bool:
        return self.open.get(run.request.id) is run

    def not_given(self) -> list[Run]:
        return [run for run in self.open.values() if run.given is None]

    def doubtful(self) -> list[Run]:
        return [run for run in self.open.values() if run.doubtful]

    def linked(self, now: float) -> None:
        """The kernel has taken a new link, and reads no other any more."""
        self.reading.append((now, now))

    def heed(self, asked: float, now: float) -> None:
        """Gauges that were asked for then are here: the kernel has read what was written before."""
        self.heeded = max(self.heeded, asked)
        self.reading.append((asked, now))

    def link_lost(self) -> list[Run]:
        """Tells what the kernel got from what it may not have got. Gives the filings now in doubt."""
        before, self.heeded, self.settled = self.heeded - LOSS, -math.inf, -math.inf
        self.reading.clear()
        given = [run for run in self.open.values() if run.given is not None and not run.known]
        for run in given:
            run.known = run.given < before and not run.doubtful
        return self._doubt([run for run in given if not run.known])

    def gap(self) -> list[Run]:
        """Notices are missing for good: whatever was given may be over, untold. Gives the filings that this
        puts in doubt."""
        given = [run for run in self.open.values() if run.given is not None]
        for run in given:
            run.untold, run.known = True, False
        return self._doubt(given)

    def _doubt(self, runs: list[Run]) -> list[Run]:
        fresh = [run for run in runs if not run.doubtful]
        for run in fresh:
            run.doubtful = True
        return [run for run in fresh if not run.safe]

    def filings_in_doubt(self) -> bool:
        return any(not run.safe and not run.untold for run in self.doubtful())

    def reads_in_doubt(self) -> list[Run]:
        return [run for run in self.doubtful() if run.safe]

    def lost(self, asked: float, runnable: float | None) -> list[Run]:
        """The filings that never ran, by gauges asked for on this link at `asked`: none where it is unsure.

        Whatever runs wants a core, and what is over was told before the gauges. So where just as many want
        one as are sure to, no filing in doubt is among them: its command was lost. What was read just before
        the gauges were taken may not have reached the cores: counted as sure it would hide a filing that
        runs, and that may end before it is given again. Only an earlier answer tells what was read when.
        """
        while self.reading and self.reading[0][1] <= asked - REACHED:
            self.settled = max(self.settled, self.reading.popleft()[0])
        doubtful = [run for run in self.doubtful() if not run.safe]
        if not doubtful or runnable is None or self.settled == -math.inf:
            return []
        sure = sum(
            run.given is not None and run.given < self.settled and not run.doubtful
            for run in self.open.values()
        )
        return [run for run in doubtful if not run.untold] if runnable == sure else []
