"""Tracks the start of a worker up to full service. Loaded only if the configuration has [recovery]."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ochrehoist.config.tables import RecoveryConfig, StateConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.metrics import RequestCounter, format_samples
from ochrehoist.core.protocols import Logger
from ochrehoist.core.request import InboundRequest
from ochrehoist.net.blocking_calls import BlockingCallThread
from ochrehoist.net.intent_replication import IntentReplicationService, ReplicatedJournal
from ochrehoist.net.loop import Loop
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.recovery.service_level import ServiceLevelMonitor, ServiceOutcome
from ochrehoist.recovery.startup_progress import ReadinessFacts, StartupProgress, StartupStage
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:  # at run time these are loaded only if the configuration has their tables
    from ochrehoist.net.ajp_server import AjpServers
    from ochrehoist.net.peers import Peers

TICK_INTERVAL_S = 0.1
MIN_UNKNOWN_HOLD_S = 0.1  # lowest hold time reported while the history is unknown
CLOSE_TIMEOUT_S = 0.5
RESTART_RECORD_FILE = "restarts.jsonl"


class RecoveryMonitor:
    """RequestObserver that tracks the stages of a start, reports them to operators and records them."""

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        name: str,
        config: RecoveryConfig,
        state: StateConfig | None,
        journal: ReplicatedJournal | None,
        peers: Peers | None,
        servers: AjpServers | None,
        log: Logger,
    ) -> None:
        self._core = core
        self._log = log
        self._worker_name = name
        self._journal = journal
        self._peers = peers
        self._servers = servers
        self._replication = IntentReplicationService(core, config, journal, peers, log)
        now = time.monotonic()
        self._progress = StartupProgress(now)
        self._service_level = ServiceLevelMonitor(now)
        core.register_observer(self)
        self._record_path: Path | None = None
        self._record_writer: BlockingCallThread | None = None
        if state:
            self._record_path = Path(state.folder) / RESTART_RECORD_FILE
            self._record_writer = BlockingCallThread(loop, "restarts")
        call_periodically(loop, TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        now = time.monotonic()
        self._replication.tick(now)
        entered = self._progress.evaluate(now, self._readiness(), self._service_level)
        if entered is not None:
            self._log.info("startup_stage_entered", stage=str(entered), reason=self._progress.current.reason)
            if self._progress.is_complete:
                self._record_start(now)

    def _readiness(self) -> ReadinessFacts:
        return ReadinessFacts(
            store_open=None if self._journal is None else self._journal.restored,
            hold_s=self._hold_s(),
            has_peer_contact=self._has_peer_contact(),
            services_answer=self._services_answer(),
            load_fraction=self._core.load_fraction,
        )

    def _hold_s(self) -> float | None:
        if self._journal is None:
            return None
        hold_s = max(0.0, (self._journal.hold_until_ns - self._core.clock()) / NS_PER_S)
        if self._journal.restored and not self._replication.history_known:
            return max(hold_s, MIN_UNKNOWN_HOLD_S)
        return hold_s

    def _has_peer_contact(self) -> bool | None:
        if self._peers is None or not (self._peers.config.members or self._peers.config.seed_addresses):
            return None
        return self._peers.group.members.established

    def _services_answer(self) -> bool | None:
        """Returns whether requests are answered; None if no connection to a server failed since the start."""
        if self._servers is None:
            return None
        if not self._servers.was_unreachable_since(self._progress.started_at):
            return None
        return self._service_level.good_ratio() not in (None, 0.0)

    def _record_start(self, now: float) -> None:
        """Logs the summary of the start and appends it to the record file, if there is a state folder."""
        summary = self._progress.summary(now)
        self._log.info("startup_complete", **summary)
        if self._record_writer is None:
            return
        line = json.dumps({"at": int(time.time()), "name": self._worker_name, **summary})
        self._record_writer.submit(lambda: self._append_record(line + "\n"), lambda *_: None)

    def _append_record(self, line: str) -> None:
        assert self._record_path is not None
        with self._record_path.open("a", encoding="utf-8") as file:
            file.write(line)

    # ---- RequestObserver of the core

    def request_arrived(self, request: InboundRequest) -> None:
        """Does nothing: requests are counted when they are answered."""

    def request_answered(
        self,
        request: InboundRequest,
        counter: RequestCounter | None,
        retry_after_ns: int,  # noqa: ARG002
    ) -> None:
        """Counts the outcome for the caller; a `counter` of None means that the caller disconnected."""
        if counter is None:
            return
        self._service_level.count(self._outcome(request, counter), time.monotonic())

    def _outcome(self, request: InboundRequest, counter: RequestCounter) -> ServiceOutcome:
        if counter is RequestCounter.ANSWERED:
            objective_end_ns = request.arrived_ns + request.request_class.latency_objective_ns
            return ServiceOutcome.LATE if self._core.now_ns > objective_end_ns else ServiceOutcome.GOOD
        return ServiceOutcome.REJECTED if counter is RequestCounter.REJECTED else ServiceOutcome.FAILED

    # ---- interface for operators

    def skip(self, stage_name: str) -> str:
        """Skips a stage and returns a confirmation; raises ValueError if there is no such stage."""
        stage = StartupStage(stage_name)
        self._progress.skip(stage)
        if stage is StartupStage.LOST and self._journal is not None:
            self._replication.assume_history_known()
        self._log.warning("startup_stage_skipped", stage=str(stage))
        return f"{stage} is skipped"

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`."""
        now = time.monotonic()
        current = self._progress.current
        return {
            "stage": str(current.stage),
            "why": current.reason,
            "for_s": round(now - current.started_at, 1),
            "stages": [
                {"stage": str(span.stage), "for_s": round(span.duration_s(now), 2), "why": span.reason}
                for span in self._progress.spans
            ],
            "so_far": self._progress.summary(now),
            "in_time": self._service_level.good_ratio(),
            "witnesses": self._replication.status_section(),
            "remembers": self._replication.intent_log.counts(),
        }

    def metrics_text(self) -> str:
        """Returns the metrics as text."""
        now = time.monotonic()
        current = self._progress.current.stage
        durations = dict.fromkeys(StartupStage, 0.0)
        for span in self._progress.spans:
            durations[span.stage] += span.duration_s(now)
        del durations[StartupStage.FULL]
        return format_samples(
            {
                "app_recovery_stage": [
                    (f'{{stage="{stage}"}}', int(stage is current)) for stage in StartupStage
                ],
                "app_recovery_seconds": [
                    (f'{{stage="{stage}"}}', round(duration, 3)) for stage, duration in durations.items()
                ],
                "app_witnessed_filings": [("", self._replication.intent_log.count)],
                "app_filings_not_on_record": [("", len(self._replication.missing_runs))],
            }
        )

    def close(self) -> None:
        """Waits up to CLOSE_TIMEOUT_S for a record that is not written yet."""
        if self._record_writer is not None:
            self._record_writer.close(CLOSE_TIMEOUT_S)
