"""Configuration reload in a running worker: on SIGHUP, or while the kernel is unreachable.

A reload has three phases:

1. Prepare: the file is read and compared, and all participants prepare, in short steps between which the
   event loop handles other events.
2. Commit: the change takes effect in one turn of the core. Requests read under the old configuration are
   decided under it, and no request sees a partial change.
3. Release: objects that only the old configuration used are released.
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

OUTCOME_LOG_DELAY_S = 3.0  # from the commit of a change until its effect on requests is logged
# Limit on the time that steps may use in one turn of the loop. It is checked after each step, so the last
# step of a turn may exceed it.
MAX_STEP_TIME_PER_TURN_S = 0.001
MIN_PAUSE_TO_STEP_TIME = 1.0  # the pause after a turn, relative to the time that its steps took
RELEASE_INTERVAL_S = 0.005  # between the releases of two superseded objects
FROZEN_CHECK_INTERVAL_S = 0.01  # polling interval while the core is frozen for a state transfer


class ConfigReloader:
    """Reloader of the configuration, which passes changed settings to the participants.

    Runs, idempotency keys, notices and open connections are kept. An invalid file changes nothing.
    `participants` is read at each reload, so entries may be added until the first one. `kernel` is None for
    a worker without a kernel link.
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
        self._requested = False  # the file may have changed since the running reload, if any, read it
        self.reload_running = False  # whether a reload task is running
        self.status = ReloadStatus(config.version, core.metrics)

    def request_reload(self) -> None:
        """Starts a reload, on SIGHUP.

        Requests that arrive during a reload are merged: a single further reload follows.
        """
        if self._core.forwarder is not None:
            return  # the file is meant for the process that has taken over
        self._requested = True
        self._start_task()

    def reload_while_cut_off(self) -> None:
        """Reloads the configuration if it has changed, in case it has a new kernel address.

        Does nothing while a reload is running. Since no operator requested this reload, it is not counted in
        the metrics of loaded and invalid configurations.
        """
        if not self.reload_running:
            self.reload_running = True
            self._loop.spawn(self._run_reload_if_changed)

    def status_section(self) -> dict[str, object]:
        """Returns the section `configuration` of /status."""
        return self.status.status_section(reload_running=self.reload_running)

    def metrics_text(self) -> str:
        """Returns the metrics of reloads in the text exposition format."""
        return self.status.metrics_text()

    def _start_task(self) -> None:
        if not self.reload_running and self._core.forwarder is None:
            self.reload_running = True
            self._loop.spawn(self._reload_while_requested)

    def _reload_while_requested(self) -> None:
        """Reloads until no request is left; run as a task of the loop."""
        try:
            while self._requested and self._core.forwarder is None:
                self._requested = False
                self._reload_and_report()
        finally:
            self.reload_running = False
            if self._requested:  # an exception ended this task
                self._start_task()

    def _reload_and_report(self) -> None:
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
            took_ms=round(1000 * self.status.reload_duration_s, 1),
            held_ms=round(1000 * self.status.longest_block_s, 2),
        )

    def _run_reload_if_changed(self) -> None:
        """Reloads a changed file once; run as a task of the loop."""
        try:
            self._reload_if_changed()
        finally:
            self.reload_running = False
            if self._requested:
                self._start_task()

    def _reload_if_changed(self) -> None:
        try:
            change = self._reload(only_if_changed=True)
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
            self._log.warning("config_unchanged_while_cut_off", **self._kernel_log_fields())

    def _reload(self, *, only_if_changed: bool = False) -> ConfigChange | None:
        """Runs all three phases and returns the change. Raises InvalidInputError.

        Returns None if another process has taken over, or if `only_if_changed` is set and the configuration
        has not changed.
        """
        started_at_s = time.monotonic()
        self.status.begin()
        change = self._run_steps(self.prepare_in_steps(only_if_changed=only_if_changed))
        if change is None:
            return None
        superseded: list[object] = [self._config, self._core.tenants]
        self.commit(change)
        # A core that is frozen for a state transfer handles no messages, and is thawed if the other process
        # refuses: until then it is undecided which process the change is for.
        while self._config is not change.config:
            if self._core.forwarder is not None:
                return None
            self._switched.wait(FROZEN_CHECK_INTERVAL_S)
        self.status.reload_duration_s = time.monotonic() - started_at_s
        self._release(superseded)
        return change

    def prepare_in_steps(self, *, only_if_changed: bool) -> Generator[None, None, ConfigChange | None]:
        """Runs the prepare phase, in which nothing changes yet. Raises InvalidInputError."""
        return prepare_in_steps(
            self._core, self._config, self._path, self._participants, only_if_changed=only_if_changed
        )

    def _run_steps(self, steps: Generator[None, None, ConfigChange | None]) -> ConfigChange | None:
        """Runs the steps, several in each turn of the loop, and returns the result of the last."""
        while True:
            started_at_s = time.monotonic()
            try:
                while True:
                    next(steps)
                    if time.monotonic() - started_at_s >= MAX_STEP_TIME_PER_TURN_S:
                        break
            except StopIteration as end:
                change: ConfigChange | None = end.value
                return change
            finally:
                duration_s = time.monotonic() - started_at_s
                self.status.record_block(duration_s)
            self._loop.sleep(MIN_PAUSE_TO_STEP_TIME * duration_s)

    def commit(self, change: ConfigChange) -> None:
        """Runs the commit phase: posts the change to the core, which applies it between two events."""
        switch_started_at_s = 0.0

        def commit_participants() -> None:
            nonlocal switch_started_at_s
            switch_started_at_s = time.monotonic()
            for commit in change.commits:
                try:
                    commit()
                except Exception:  # one failing participant must not keep the others on the old settings
                    self._log.exception("config_commit_failed")

        def finish() -> None:
            self._config = change.config
            self.status.switch(change.version, switch_started_at_s)
            self._loop.call_later(OUTCOME_LOG_DELAY_S, partial(self._log_outcome, self.status.ended_at_s))
            self._switched.set()

        self._core.post(ConfigurationSwitched(commit_participants, change.core_change, finish))

    def _release(self, superseded: list[object]) -> None:
        """Drops the references one by one, each in a turn of its own.

        Freeing thousands of tenants takes long, and would block the event loop.
        """

        def release_one() -> None:
            superseded.pop()

        for number in range(len(superseded)):
            self._loop.call_later((number + 1) * RELEASE_INTERVAL_S, release_one)

    def _log_outcome(self, ended_at_s: float) -> None:
        """Logs request counts since the reload that ended at `ended_at_s`, unless another one ended since."""
        if ended_at_s != self.status.ended_at_s:
            return
        counts = self.status.counts_since_switch()
        self._log.info("config_outcome", state=self._core.state, **counts, **self._kernel_log_fields())

    def _kernel_log_fields(self) -> dict[str, object]:
        return {} if self._kernel is None else {"kernel": self._kernel.status_section()}
