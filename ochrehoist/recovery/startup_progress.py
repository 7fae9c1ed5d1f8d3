"""The stages of one start, up to measured full service. No I/O; times in seconds."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ochrehoist.recovery.service_level import ServiceLevelMonitor

MAX_IDLE_S = 10.0  # a start without requests for this time counts as complete but not measured


class StartupStage(StrEnum):
    """Startup stages in order; the values are used in operator commands and in `/status`."""

    SETTINGS = "settings"
    STORE = "store"
    LOST = "lost"
    PEERS = "peers"
    SERVICES = "services"
    WARMING = "warming"
    FULL = "full"


@dataclass(slots=True)
class StageSpan:
    """A period that a start spent in one stage; a stage may be entered several times."""

    stage: StartupStage
    started_at: float
    ended_at: float | None = None
    reason: str = ""

    def duration_s(self, now: float) -> float:
        """Returns the duration up to the end of the stage, or up to `now` while it lasts."""
        return (self.ended_at if self.ended_at is not None else now) - self.started_at


@dataclass(slots=True, frozen=True)
class ReadinessFacts:
    """The current readiness of a process's components; None for a component that is not configured."""

    store_open: bool | None = None
    hold_s: float | None = None  # remaining time for which unknown idempotency keys are rejected
    has_peer_contact: bool | None = None
    services_answer: bool | None = None
    load_fraction: float = 1.0  # fraction of its usual load that the process requests


class StageDecision(NamedTuple):
    """The stage that a start has reached, and the reason why it has not advanced further."""

    stage: StartupStage
    reason: str


class StartupProgress:
    """Progress of one start, from the start of the process to full service.

    The current stage is the first one whose condition is not met. Stages have no timers, and a start can
    return to an earlier stage.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.spans = [StageSpan(StartupStage.SETTINGS, started_at)]
        self._skipped: set[StartupStage] = set()
        self._idle_since: float | None = None

    @property
    def current(self) -> StageSpan:
        """The current stage."""
        return self.spans[-1]

    @property
    def is_complete(self) -> bool:
        """Whether full service has been reached."""
        return self.current.stage is StartupStage.FULL

    def skip(self, stage: StartupStage) -> None:
        """Skips a stage, on an operator's command."""
        self._skipped.add(stage)

    def evaluate(
        self, now: float, facts: ReadinessFacts, service_level: ServiceLevelMonitor
    ) -> StartupStage | None:
        """Re-evaluates the stage; returns the stage that is entered now, or None if unchanged."""
        if self.is_complete:
            return None
        decision = self._decide(now, facts, service_level)
        if decision.stage in self._skipped and decision.stage is not StartupStage.FULL:
            without_components = ReadinessFacts(load_fraction=facts.load_fraction)
            decision = self._decide(now, without_components, service_level)
        if decision.stage is self.current.stage:
            self.current.reason = decision.reason
            return None
        self.current.ended_at = now
        self.spans.append(StageSpan(decision.stage, now, None, decision.reason))
        return decision.stage

    def _decide(self, now: float, facts: ReadinessFacts, service_level: ServiceLevelMonitor) -> StageDecision:
        if facts.store_open is False:
            return StageDecision(
                StartupStage.STORE, "the store is being opened, or its folder is not there yet"
            )
        if facts.hold_s:
            return StageDecision(
                StartupStage.LOST,
                "what ran before is not fully known: filings that are not are refused for "
                f"{facts.hold_s:.0f} s",
            )
        if facts.has_peer_contact is False:
            return StageDecision(StartupStage.PEERS, "no peer was heard yet")
        is_restored = service_level.is_restored(now)
        if facts.services_answer is False:
            return StageDecision(StartupStage.SERVICES, "no service below has answered yet")
        if facts.load_fraction < 1:
            return StageDecision(StartupStage.WARMING, f"asks for {facts.load_fraction:.0%} of its load")
        return self._decide_by_service_level(now, service_level, is_restored)

    def _decide_by_service_level(
        self, now: float, service_level: ServiceLevelMonitor, is_restored: bool | None
    ) -> StageDecision:
        if is_restored:
            return StageDecision(StartupStage.FULL, f"{service_level.good_ratio():.0%} in time, as before")
        if is_restored is None and service_level.is_idle():
            return self._decide_while_idle(now)
        if is_restored is None:
            return StageDecision(StartupStage.WARMING, "too few requests to say")
        missed = ", ".join(
            f"{window.total - window.good} of {window.total}" for window in service_level.latest_windows()
        )
        return StageDecision(StartupStage.WARMING, f"late, refused or failed: {missed}")

    def _decide_while_idle(self, now: float) -> StageDecision:
        if self._idle_since is None:
            self._idle_since = now
        if now - self._idle_since > MAX_IDLE_S:
            return StageDecision(StartupStage.FULL, f"nobody asked for {MAX_IDLE_S:g} s: not measured")
        return StageDecision(StartupStage.WARMING, "no requests yet")

    def summary(self, now: float) -> dict[str, object]:
        """Returns the entry of this start for the restart history and for `/status`."""
        durations: dict[StartupStage, float] = {}
        for span in self.spans:
            if span.stage is not StartupStage.FULL:
                durations[span.stage] = durations.get(span.stage, 0.0) + span.duration_s(now)
        longest = max(durations, key=lambda stage: durations[stage]) if durations else ""
        total_s = (self.current.started_at if self.is_complete else now) - self.started_at
        return {
            "full_after_s": round(total_s, 2),
            "longest": str(longest),
            "stages_s": {str(stage): round(duration, 2) for stage, duration in durations.items()},
            "why": self.current.reason if self.is_complete else "not yet at full service",
        }
