"""The fraction of its usual load that a worker requests, from recovery, evacuation or load shifting.

No I/O; times are in seconds.
"""

from ochrehoist.sites.admission_threshold import AdmissionThreshold
from ochrehoist.sites.evacuation_ramp import EvacuationRamp
from ochrehoist.sites.load_shift import LoadShift
from ochrehoist.sites.operator_commands import CommandKind, OperatorCommand
from ochrehoist.sites.peer_workers import PeerWorkers
from ochrehoist.sites.playbook_exchange import PlaybookExchange
from ochrehoist.sites.recovery_ramp import RampCause, RampInputs, RecoveryRamp
from ochrehoist.sites.site_events import SiteEvent, SiteEventName
from ochrehoist.sites.step_lease import StepArbiter


class LoadPacing:
    """The load fraction of a worker, as set by its recovery, evacuation or load shift.

    At most one of `recovery` and `evacuation` is set; the load shift applies while neither is.
    """

    def __init__(
        self, now: float, site: str, playbooks: PlaybookExchange, arbiter: StepArbiter, cold_start: bool
    ) -> None:
        self._site = site
        self._playbooks = playbooks
        self._arbiter = arbiter
        self.recovery = self._new_ramp(now, RampCause.STARTED) if cold_start else None
        self.evacuation: EvacuationRamp | None = None
        self._shift = LoadShift(now)
        self._last_applied: tuple[int, str] | None = None  # number and issuer of the latest command

    def _new_ramp(self, now: float, cause: RampCause) -> RecoveryRamp:
        return RecoveryRamp(now, cause, self._playbooks.ramp_plan(self._site))

    @property
    def load_fraction(self) -> float:
        """The fraction of its usual load that the worker requests, from 0 to 1."""
        if self.evacuation is not None:
            return self.evacuation.load_fraction
        return self.recovery.load_fraction if self.recovery is not None else self._shift.load_fraction

    @property
    def is_evacuated(self) -> bool:
        """Whether an operator's command has reduced the requested load to none."""
        return self.evacuation is not None and self.evacuation.is_empty

    def apply_command(
        self, command: OperatorCommand | None, peers: PeerWorkers, now: float
    ) -> list[SiteEvent]:
        """Applies the active command for this worker's site, if any; returns the events to log."""
        kind = command.kind if command is not None else None
        if self.recovery is not None:
            self.recovery.set_held(kind is CommandKind.HOLD)
        events = []
        if command is not None and kind is CommandKind.EVACUATE:
            events += self._start_evacuation(command, peers, now)
        elif kind is not CommandKind.HOLD:
            events += self._end_evacuation(kind, now)
        if command is not None:
            self._apply_once(command, now)
        return events

    def _start_evacuation(self, command: OperatorCommand, peers: PeerWorkers, now: float) -> list[SiteEvent]:
        """Starts an evacuation, unless one is running or no other site serves load."""
        if self.evacuation is not None or not peers.another_site_serves():
            return []
        self.evacuation = EvacuationRamp(now, f"evacuated by {command.issued_by}")
        self.recovery = None
        return [SiteEvent(SiteEventName.EVACUATION_STARTED, {"issued_by": command.issued_by})]

    def _end_evacuation(self, kind: CommandKind | None, now: float) -> list[SiteEvent]:
        if self.evacuation is None:
            return []
        self.evacuation = None
        cause = RampCause.EVACUATION_ENDED if kind is None else RampCause.RETURNED_BY_OPERATORS
        self.recovery = self._new_ramp(now, cause)
        return [SiteEvent(SiteEventName.EVACUATION_ENDED, {"reason": cause.value})]

    def _apply_once(self, command: OperatorCommand, now: float) -> None:
        if self._last_applied == (command.number, command.issued_by):
            return
        self._last_applied = command.number, command.issued_by
        if self.recovery is None:
            return
        if command.kind is CommandKind.SKIP:
            self.recovery.skip_stage(now, command.issued_by)
        elif command.kind is CommandKind.END:
            self.recovery.end(now, command.issued_by)

    def advance(self, now: float, threshold: AdmissionThreshold, peers: PeerWorkers) -> list[SiteEvent]:
        """Advances the ramp or the load shift; returns the events to log. Called at each tick."""
        if self.evacuation is not None:
            return self._advance_evacuation(self.evacuation, now, peers)
        if self.recovery is not None:
            return self._advance_recovery(self.recovery, now, threshold, peers)
        self._shift.evaluate(now, threshold.smoothed, peers.baseline)
        return []

    @staticmethod
    def _advance_evacuation(ramp: EvacuationRamp, now: float, peers: PeerWorkers) -> list[SiteEvent]:
        if not ramp.evaluate(now, peers.baseline):
            return []
        fields = {"load_fraction": ramp.load_fraction, "reason": ramp.reason}
        return [SiteEvent(SiteEventName.EVACUATION_STAGE_ENTERED, fields)]

    def _advance_recovery(
        self, ramp: RecoveryRamp, now: float, threshold: AdmissionThreshold, peers: PeerWorkers
    ) -> list[SiteEvent]:
        by_operators = ramp.cause is RampCause.RETURNED_BY_OPERATORS
        permission = self._arbiter.evaluate(now, peers, by_operators)
        previous_event = ramp.history[-1]
        events = []
        ramp.evaluate(
            now,
            RampInputs(
                threshold.smoothed, lambda rate: threshold.predict(rate, now), peers.baseline, permission
            ),
        )
        latest_event = ramp.history[-1]
        if latest_event is not previous_event:
            fields = {"load_fraction": ramp.load_fraction, "reason": latest_event.reason}
            events.append(SiteEvent(SiteEventName.RECOVERY_STAGE_ENTERED, fields))
        if ramp.is_complete:
            after_s = round(now - ramp.started_at, 2)
            events.append(SiteEvent(SiteEventName.RECOVERY_RAMP_COMPLETE, {"after_s": after_s}))
            self.recovery = None
            self._shift = LoadShift(now)
        return events
