"""Outlier detection: ejects unhealthy downstream services, by own and remote observations. No I/O; seconds.

Fresh own observations take precedence over remote ones. At most a configured fraction of the services is
ejected, and none if all are unhealthy. Every ejection ends: an ejected service receives single trial calls,
and after enough successes its load is increased in a slow start. Stalls of this worker itself do not count
against any service.
"""

import math
from collections import deque
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from ochrehoist.peers.remote_health import (
    REMOTE_MAX_AGE_S,
    RemoteConsensus,
    RemoteReports,
    consensus,
    is_recovered,
)
from ochrehoist.peers.service_health import (
    UNHEALTHY,
    CallResult,
    LatencyBaselines,
    OpenCall,
    ServiceSamples,
    is_conclusive,
    is_slow,
)
from ochrehoist.peers.wire import HealthObservation, HealthStatus

OWN_OBSERVATION_MAX_AGE_MS = 700  # younger own healthy observations take precedence over remote ones
BASE_EJECTION_S = 1.0  # time until the first trial; doubled after each failed trial
MAX_EJECTION_S = 8.0
TRIAL_RETRY_S = 0.1  # time between two random draws that decide whether this worker sends the trial
TRIAL_TIMEOUT_S = 1.0  # a slow trial that takes longer has failed
TRIALS_TO_RECOVER = 3  # consecutive successes
SLOW_START_FRACTIONS = (0.1, 0.3, 0.6, 1.0)  # fraction of the usual load in each stage
SLOW_START_STAGE_S = 0.5
STALL_S = 0.12  # a longer gap between two ticks counts as a stall or CPU starvation of this worker
OWN_REASON_SUFFIX = "usual"  # end of the reason text of ejections by own observations
MAX_STATE_CHANGES = 100  # recorded for `/status`


class EjectionState(StrEnum):
    """The ejection state of a service; the values are written to `/status`."""

    IN = "in"
    EJECTED = "out"
    TRIAL = "trial"  # ejected, with a trial call in progress
    SLOW_START = "back"


@dataclass(slots=True, frozen=True)
class StateChange:
    """A change of a service's ejection state."""

    at: float
    service: str
    state: EjectionState
    reason: str


@dataclass(slots=True, frozen=True)
class EjectionCandidate:
    """An unhealthy service; candidates of higher severity are ejected first."""

    severity: float
    service: str
    reason: str
    is_own_observation: bool


@dataclass(slots=True)
class ServiceState:
    """This worker's samples and ejection state of one service."""

    samples: ServiceSamples = field(default_factory=ServiceSamples)
    ejection: EjectionState = EjectionState.IN
    since: float = 0.0
    reason: str = ""
    ejection_s: float = BASE_EJECTION_S
    trial_ticket: Hashable | None = None
    successful_trials: int = 0  # consecutive
    trial_count: int = 0
    slow_start_stage: int = 0
    ejected_on_remote_reports: bool = False

    @property
    def is_ejected(self) -> bool:
        """Whether the service receives only trial calls."""
        return self.ejection is EjectionState.EJECTED or self.ejection is EjectionState.TRIAL

    @property
    def slow_start_fraction(self) -> float:
        """The fraction of its usual load that the service receives in the current slow-start stage."""
        return SLOW_START_FRACTIONS[min(self.slow_start_stage, len(SLOW_START_FRACTIONS) - 1)]


def _no_reports() -> RemoteReports:
    return {}


def _single_worker() -> int:
    return 1


class OutlierDetector:
    """Ejection state of all services, and their order for the next request.

    At most `max_ejected_fraction` of the services is ejected. `remote_reports` returns the observations of
    other workers, `fleet_size` the number of workers that may send trials to an ejected service.
    """

    def __init__(
        self,
        services: Iterable[str],
        max_ejected_fraction: float,
        seed: int,
        remote_reports: Callable[[], RemoteReports] = _no_reports,
        fleet_size: Callable[[], int] = _single_worker,
    ) -> None:
        self.services: dict[str, ServiceState] = {}
        self.changes: deque[StateChange] = deque(maxlen=MAX_STATE_CHANGES)
        self._baselines = LatencyBaselines()
        self._remote_reports = remote_reports
        self._fleet_size = fleet_size
        self._rng = Random(seed)
        self._last_tick_at: float | None = None  # None: no stall detection before the first tick
        self.configure(services, max_ejected_fraction)

    def configure(self, services: Iterable[str], max_ejected_fraction: float) -> None:
        """Applies new settings; keeps the state of services that remain."""
        self.services = {name: self.services.get(name) or ServiceState() for name in services}
        self._baselines.configure(self.services)
        self._max_ejected_fraction = max_ejected_fraction

    # ---- events
    def tick(self, now: float, interval_s: float) -> None:
        """Detects stalls of this worker; called every `interval_s`, and any excess counts as a stall."""
        self._discount_stall(now, interval_s)
        self._last_tick_at = now

    def _discount_stall(self, now: float, interval_s: float = 0.0) -> None:
        """Excludes a stall of this worker from the latency of open calls."""
        if self._last_tick_at is None or now - self._last_tick_at < STALL_S:
            return
        stalled_s = now - self._last_tick_at - interval_s
        self._last_tick_at = now
        for service in self.services.values():
            service.samples.discount_stall(stalled_s, now)

    def call_started(self, name: str, ticket: Hashable, request_class: str, now: float) -> None:
        """Records that a call was sent; the first call to an ejected service is its trial."""
        service = self.services.get(name)
        if service is None:
            return
        self._discount_stall(now)
        service.samples.open_calls[ticket] = OpenCall(now, request_class)
        if service.ejection is EjectionState.IN:
            return
        if service.is_ejected and service.trial_ticket is None:
            service.ejection = EjectionState.TRIAL
            service.trial_ticket = ticket
            service.trial_count += 1

    def call_completed(self, name: str, ticket: Hashable, status: HealthStatus, now: float) -> None:
        """Records the end of a call; `status` is OK, FAILING (unusable answer or none) or UNREACHABLE."""
        service = self.services.get(name)
        if service is None:
            return
        self._discount_stall(now)  # this may precede the first tick after a stall
        call = service.samples.open_calls.pop(ticket, None) or OpenCall(now, "")
        latency_s = now - call.started_at
        baseline_s = self._baselines.baseline_s(call.request_class)
        service.samples.results.append(CallResult(now, status, latency_s, baseline_s or latency_s))
        if status == HealthStatus.OK:
            self._baselines.record(name, call.request_class, latency_s, baseline_s)
        if service.trial_ticket == ticket:
            healthy = status == HealthStatus.OK and not is_slow(latency_s, baseline_s)
            failure = status if status != HealthStatus.OK else HealthStatus.SLOW
            self._complete_trial(service, name, healthy, failure, now)

    def _complete_trial(
        self, service: ServiceState, name: str, healthy: bool, failure: HealthStatus, now: float
    ) -> None:
        service.trial_ticket = None
        if not healthy:
            self._fail_trial(service, name, failure, now)
            return
        service.successful_trials += 1
        if service.successful_trials >= TRIALS_TO_RECOVER:
            self._begin_slow_start(service, name, "trials went well", now)

    def _fail_trial(self, service: ServiceState, name: str, failure: HealthStatus, now: float) -> None:
        service.trial_ticket = None
        service.successful_trials = 0
        service.ejection_s = min(MAX_EJECTION_S, 2 * service.ejection_s)
        self._change_state(service, name, EjectionState.EJECTED, f"trial: {failure}", now)

    # ---- observations
    def observe(self, name: str, now: float) -> HealthObservation | None:
        """Returns this worker's recent observation of a service; None with too few samples."""
        return self.services[name].samples.observe(name, now, self._baselines)

    def observations(self, now: float) -> list[HealthObservation]:
        """Returns this worker's recent observations of all services."""
        observed = (self.observe(name, now) for name in self.services)
        return [observation for observation in observed if observation is not None]

    def remote_consensus(self, name: str, own: HealthObservation | None = None) -> RemoteConsensus:
        """Returns the consensus of other workers; an unhealthy `own` observation counts as one of them."""
        return consensus(name, self._remote_reports(), own)

    # ---- evaluation
    def evaluate(self, now: float) -> None:
        """Re-evaluates all services; called several times per second."""
        self._baselines.refresh()
        candidates = []
        for name, service in self.services.items():
            self._advance_slow_start(service, name, now)
            own = self.observe(name, now)
            if service.is_ejected:
                self._check_trial_timeout(service, name, now)
                self._check_remote_recovery(service, name, now)
                continue
            candidate = self._candidate(name, own)
            if candidate is not None:
                candidates.append(candidate)
        self._eject(candidates, now)

    def _advance_slow_start(self, service: ServiceState, name: str, now: float) -> None:
        if service.ejection != EjectionState.SLOW_START:
            return
        if now - service.since <= SLOW_START_STAGE_S * (service.slow_start_stage + 1):
            return
        service.slow_start_stage += 1
        if service.slow_start_stage >= len(SLOW_START_FRACTIONS) - 1:
            self._change_state(service, name, EjectionState.IN, "well again", now)

    def _check_trial_timeout(self, service: ServiceState, name: str, now: float) -> None:
        call = service.samples.open_calls.get(service.trial_ticket)
        if service.trial_ticket is None or call is None:
            return
        latency_s = now - call.started_at
        baseline_s = self._baselines.baseline_s(call.request_class)
        if is_slow(latency_s, baseline_s) and latency_s > TRIAL_TIMEOUT_S:
            self._fail_trial(service, name, HealthStatus.SLOW, now)

    def _check_remote_recovery(self, service: ServiceState, name: str, now: float) -> None:
        """Starts the slow start of a remotely reported service that other workers' trials found healthy."""
        ejected_for_s = now - service.since
        if (
            service.ejected_on_remote_reports
            and ejected_for_s > service.ejection_s
            and is_recovered(name, self._remote_reports(), ejected_for_s)
        ):
            self._begin_slow_start(service, name, "well for others", now)

    def _candidate(self, name: str, own: HealthObservation | None) -> EjectionCandidate | None:
        """Returns the service as a candidate for ejection; None if healthy or too little is known."""
        if own is not None and own.status in UNHEALTHY:
            if is_conclusive(own):
                severity = math.inf if own.status == HealthStatus.UNREACHABLE else own.latency_ratio
                reason = (
                    f"{own.status}: {own.sample_count} results of its own, "
                    f"{own.latency_ratio:.1f} times the {OWN_REASON_SUFFIX}"
                )
                return EjectionCandidate(severity, name, reason, is_own_observation=True)
        elif own is not None and own.age_ms <= OWN_OBSERVATION_MAX_AGE_MS:
            return None
        remote = self.remote_consensus(name, own)
        if not remote.is_unhealthy:
            return None
        reason = f"{remote.status}: {', '.join(remote.observers)}"
        return EjectionCandidate(1.0, name, reason, is_own_observation=False)

    def _eject(self, candidates: list[EjectionCandidate], now: float) -> None:
        ejected_count = sum(service.is_ejected for service in self.services.values())
        free_ejections = int(self._max_ejected_fraction * len(self.services)) - ejected_count
        if not ejected_count and len(candidates) >= len(self.services):
            return  # all services are unhealthy, so ejection would leave no better one
        if free_ejections <= 0:
            candidates = [
                candidate for candidate in candidates if self.remote_consensus(candidate.service).is_unhealthy
            ]
            free_ejections += self._readmit_for_replacement(now) if candidates else 0
        worst_first = sorted(
            candidates,
            key=lambda candidate: (candidate.severity, candidate.service, candidate.reason),
            reverse=True,
        )
        for candidate in worst_first[: max(0, free_ejections)]:
            service = self.services[candidate.service]
            service.successful_trials = 0
            service.trial_ticket = None
            service.ejected_on_remote_reports = not candidate.is_own_observation
            self._change_state(service, candidate.service, EjectionState.EJECTED, candidate.reason, now)

    def _readmit_for_replacement(self, now: float) -> int:
        """Readmits a service ejected by this worker only; returns the number of ejections that this permits.

        Used when the limit is reached and several workers observe another service as unhealthy.
        """
        reports = self._remote_reports()
        for name, service in self.services.items():
            if (
                service.is_ejected
                and not service.ejected_on_remote_reports
                and is_recovered(name, reports, REMOTE_MAX_AGE_S)
            ):
                service.trial_ticket = None
                self._begin_slow_start(service, name, "well for others, and another is bad for several", now)
                return 1
        return 0

    def _begin_slow_start(self, service: ServiceState, name: str, reason: str, now: float) -> None:
        service.slow_start_stage = 0
        service.ejection_s = BASE_EJECTION_S
        service.samples.results.clear()
        self._change_state(service, name, EjectionState.SLOW_START, reason, now)

    def _change_state(
        self, service: ServiceState, name: str, state: EjectionState, reason: str, now: float
    ) -> None:
        service.ejection = state
        service.since = now
        service.reason = reason
        self.changes.append(StateChange(now, name, state, reason))

    # ---- selection
    def rank_services(self, busy: Mapping[str, int], now: float) -> list[str]:
        """Returns the services in the order to try them; called per request, so it does not re-evaluate them.

        `busy` has the number of open calls of each service. An ejected service comes first if this worker is
        to send its next trial, and otherwise last, for use only if all others fail.
        """
        if len(self.services) == 1:
            return list(self.services)
        usable: list[tuple[float, float, str]] = []
        ejected: list[tuple[float, float, str]] = []
        for name, service in self.services.items():
            if service.ejection is EjectionState.IN:
                usable.append((busy.get(name, 0) + 1, self._rng.random(), name))
            elif service.ejection is EjectionState.SLOW_START:
                load = (busy.get(name, 0) + 1) / service.slow_start_fraction
                usable.append((load, self._rng.random(), name))
            elif self._sends_trial(service, now):
                usable.append((0, self._rng.random(), name))
            else:
                ejected.append((busy.get(name, 0) + 1, self._rng.random(), name))
        return [name for _, _, name in sorted(usable) + sorted(ejected)]

    def _sends_trial(self, service: ServiceState, now: float) -> bool:
        """Returns whether this worker sends the next trial; on average one worker of the fleet per draw."""
        if service.trial_ticket is not None or now - service.since < service.ejection_s:
            return False
        if service.successful_trials > 0 or self._rng.random() < 1.0 / max(1, self._fleet_size()):
            return True
        service.since = now - service.ejection_s + TRIAL_RETRY_S
        return False
