"""The configuration reloaded while the worker runs: on SIGHUP, or because it is cut off from its kernel.

A reload has three phases. The file is read and compared, and all participants prepare, in steps between
which everything else has its turn. Then the change is committed in one turn of the core: what was read under
the old configuration is decided by the old one, and no request meets half of a change. Last, what the old
configuration alone held is released.
"""

from __future__ import annotations

import time
from collections.abc import Generator, Sequence
from functools import partial
from typing import TYPE_CHECKING

from ochrehoist.app.reload_change import ConfigChange, Participant, prepare_in_steps
from ochrehoist.app.reload_status import ReloadStatus
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import ConfigurationSwitched
from ochrehoist.core.metrics import ReloadCounter
from ochrehoist.errors import InvalidInputError
from ochrehoist.net.kernel_link import KernelLink
from ochrehoist.net.loop import Loop, Signal

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

OUTCOME_LOG_DELAY_S = 3.0  # after a change, at which the log says what has come of it
STEPS_PER_TURN_S = 0.001  # for which steps are taken in a turn of the loop; the last may take longer
PAUSE_FACTOR = 1.0  # the least pause between two turns, by the time that the steps of the first took
RELEASE_INTERVAL_S = 0.005  # between two releases of what was in force before
FROZEN_CHECK_INTERVAL_S = 0.01  # while the core is frozen for a state transfer


class ConfigReloader:
    """Reloads the configuration and hands what can change to the participants.

    Runs, idempotency keys, notices and open connections are kept. A file that cannot be used changes nothing.
    `participants` may grow until the first reload. `kernel`: None for a worker without a link to one.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        config: Config,
        path: str | None,
        participants: Sequence[Participant],
        kernel: KernelLink | None,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._core = core
        self._config = config
        self._path = path
        self._participants = participants
        self._kernel = kernel
        self._log = log
        self._switched = Signal(loop)
        self._requested = False  # a reload is due: the file may have changed since the one that is running
        self.reading = False  # a task is reloading
        self.status = ReloadStatus(config.version, core.metrics)

    def request_reload(self) -> None:
        """Takes a SIGHUP. However many come during a reload, one more follows it."""
        if self._core.forwarder is not None:
            return  # the file is for the process that decides now
        self._requested = True
        self._start_task()

    def reload_while_cut_off(self) -> None:
        """Looks for a configuration with another way to the kernel, unless a reload is running.

        It is not counted as loaded or invalid, since nobody requested it.
        """
        if not self.reading:
            self.reading = True
            self._loop.spawn(self._reload_once_if_new)

    def status_section(self) -> dict[str, object]:
        """The part `configuration` of /status."""
        return self.status.status_section(reading=self.reading)

    def metrics_text(self) -> str:
        """Metrics beside those with fixed names."""
        return self.status.metrics_text()

    def _start_task(self) -> None:
        if not self.reading and self._core.forwarder is None:
            self.reading = True
            self._loop.spawn(self._reload_while_requested)

    def _reload_while_requested(self) -> None:
        """A task."""
        try:
            while self._requested and self._core.forwarder is None:
                self._requested = False
                self._reload_as_requested()
        finally:
            self.reading = False
            if self._requested:  # this task ended by a fault
                self._start_task()

    def _reload_as_requested(self) -> None:
        metrics = self._core.metrics
        try:
            change = self._reload()
        except InvalidInputError as error:
            metrics.count_reload(ReloadCounter.INVALID)
            self.status.reject(str(error))
            self._log.error("config_invalid", reason=str(error), version=self.status.version)
            return
        except Exception:
            metrics.count_reload(ReloadCounter.INVALID)
            self.status.reject("internal fault, see the log")
            raise
        if change is None:
            return
        metrics.count_reload(ReloadCounter.LOADED)
        self._log.info(
            "config_reloaded",
            restart_keys=change.restart_keys,
            version=self.status.version,
            took_ms=round(1000 * self.status.reload_s, 1),
            held_ms=round(1000 * self.status.longest_hold_s, 2),
        )

    def _reload_once_if_new(self) -> None:
        """A task."""
        try:
            self._reload_if_new()
        finally:
            self.reading = False
            if self._requested:
                self._start_task()

    def _reload_if_new(self) -> None:
        try:
            change = self._reload(only_new=True)
        except InvalidInputError as error:
            self.status.reject(str(error))
            self._log.error("config_invalid_while_cut_off", reason=str(error))
            return
        if change is not None:
            self._log.warning(
                "config_reloaded_while_cut_off",
                restart_keys=change.restart_keys,
                version=self.status.version,
            )
        elif self._core.forwarder is None:
            self._log.warning("config_unchanged_while_cut_off", **self._kernel_view())

    def _reload(self, *, only_new: bool = False) -> ConfigChange | None:
        """All three phases. Raises InvalidInputError.

        Gives None where another process has come to decide, or where `only_new` is set and nothing differs.
        """
        began_at = time.monotonic()
        self.status.begin()
        change = self._take_steps(self.prepare_in_steps(only_new=only_new))
        if change is None:
            return None
        replaced: list[object] = [self._config, self._core.tenants]
        self.commit(change)
        # A frozen core takes no messages: its state is on the way to another process, which may still refuse.
        while self._config is not change.config:
            if self._core.forwarder is not None:
                return None
            self._switched.wait(FROZEN_CHECK_INTERVAL_S)
        self.status.reload_s = time.monotonic() - began_at
        self._release(replaced)
        return change

    def prepare_in_steps(self, *, only_new: bool) -> Generator[None, None, ConfigChange | None]:
        """The first phase: nothing changes yet. Raises InvalidInputError."""
        return prepare_in_steps(self._core, self._config, self._path, self._participants, only_new=only_new)

    def _take_steps(self, steps: Generator[None, None, ConfigChange | None]) -> ConfigChange | None:
        """Takes the steps, some in each turn of the loop."""
        while True:
            began_at = time.monotonic()
            try:
                while True:
                    next(steps)
                    if time.monotonic() - began_at >= STEPS_PER_TURN_S:
                        break
            except StopIteration as end:
                change: ConfigChange | None = end.value
                return change
            finally:
                took_s = time.monotonic() - began_at
                self.status.record_hold(took_s)
            self._loop.sleep(PAUSE_FACTOR * took_s)

    def commit(self, change: ConfigChange) -> None:
        """The second phase, by the core's own queue: in one turn, between two events."""
        switch_began_at = 0.0

        def commit_participants() -> None:
            nonlocal switch_began_at
            switch_began_at = time.monotonic()
            for commit in change.commits:
                try:
                    commit()
                except Exception:  # the other participants must not be left behind
                    self._log.exception("config_commit_failed")

        def finish() -> None:
            self._config = change.config
            self.status.switch(change.version, switch_began_at)
            self._loop.call_later(OUTCOME_LOG_DELAY_S, partial(self._log_outcome, self.status.ended_at))
            self._switched.set()

        self._core.post(ConfigurationSwitched(commit_participants, change.core_change, finish))

    def _release(self, replaced: list[object]) -> None:
        """Drops the references one by one, in turns of their own: freeing thousands of tenants takes long."""

        def release_one() -> None:
            replaced.pop()

        for number in range(len(replaced)):
            self._loop.call_later((number + 1) * RELEASE_INTERVAL_S, release_one)

    def _log_outcome(self, ended_at: float) -> None:
        """Says what came of the reload that ended at `ended_at`, unless another one ended since."""
        if ended_at != self.status.ended_at:
            return
        counts = self.status.counts_since_switch()
        self._log.info("config_outcome", state=self._core.state, **counts, **self._kernel_view())

    def _kernel_view(self) -> dict[str, object]:
        return {} if self._kernel is None else {"kernel": self._kernel.status_section()}
