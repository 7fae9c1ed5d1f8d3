"""Tasks without which a process cannot serve; it reports itself as down and ends if one of them fails."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrehoist.core.actor import CoreActor
from ochrehoist.net.loop import Loop

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

# For the last reports of health and the failures of open requests to be sent.
EXIT_DELAY_S = 0.3
# The process is killed after this time, if closing its parts takes longer. Its supervisor starts it again.
EXIT_TIMEOUT_S = 0.9


def _kill_after(timeout_s: float) -> None:
    """Makes the system kill this process after a time, whatever it does then."""
    signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGALRM})
    signal.setitimer(signal.ITIMER_REAL, timeout_s)


class EssentialTasks:
    """Runs the core and other essential tasks, and ends the process with an error if one of them fails.

    Attributes:
        failed: Whether a task has failed.
    """

    def __init__(self, loop: Loop, core: CoreActor, end_process: Callable[[], None], log: Logger) -> None:
        """Creates the supervision; `end_process` closes all connections and stops the loop."""
        self.failed = False
        self._loop = loop
        self._core = core
        self._end_process = end_process
        self._log = log

    def spawn_core(self) -> None:
        """Starts the core's task, which must never end."""
        self._loop.spawn(self._run_core)

    def spawn(self, run: Callable[[], None]) -> None:
        """Starts an essential task, which may return once it has nothing left to do, but must not raise."""
        self._loop.spawn(self._run, run)

    def _run_core(self) -> None:
        self._run(self._core.run)
        self._task_failed("the core")
        self._core.run_after_end()

    def _run(self, run: Callable[[], None]) -> None:
        try:
            run()
        except Exception:
            name = getattr(run, "__qualname__", repr(run))
            self._log.exception("task_fault", task=name)
            self._task_failed(name)

    def _task_failed(self, name: str) -> None:
        if self.failed:
            return
        self.failed = True
        self._log.error("essential_task_ended", task=name, unanswered=self._core.unanswered)
        _kill_after(EXIT_TIMEOUT_S)
        self._core.end()
        self._loop.call_later(EXIT_DELAY_S, self._end_process)
