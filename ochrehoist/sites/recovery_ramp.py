"""The staged recovery ramp of a worker that returns to service. No I/O; times are in seconds.

A restarted worker has cold caches, but all callers notice it at once. It requests a small fraction of its
usual load first, and more only when measured completions show that it can serve more; elapsed time alone is
not sufficient. A stage that overloads the worker is rolled back. When a whole site returns, a worker enters a
stage only while its site holds the fleet-wide step lease, so two sites never advance at the same time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ochrehoist.sites.peer_workers import PeerBaseline
from ochrehoist.sites.step_lease import StepPermission

DEFAULT_STAGES = (0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1.0)  # fractions of the usual load
DEFAULT_MAX_DURATION_S = 300.0
ROLLBACK_DELAY_S = 1.5  # measurements soon after a stage change may still reflect the previous stage
MIN_STAGE_S = 0.4  # load balancers need about this time to apply a new weight
# The next stage needs at least MIN_COMPLETIONS, and this ratio of the requests expected at the stage.
MIN_COMPLETIONS = 5
MIN_EXPECTED_RATIO = 0.2
MAX_BAD_RATIO = 0.25  # a stage with a higher ratio of late or failed completions is bad
# Ratios to the peers' threshold: below the first a stage is rolled back; the threshold predicted for the next
# stage must reach the second.
MIN_THRESHOLD_RATIO = 0.75
NEXT_THRESHOLD_RATIO = 0.85
BACKOFF_S = 0.5  # delay after a rollback; doubled with each further one
MAX_BACKOFF_S = 3.0
PEER_DISCOVERY_S = 1.5  # a worker that has just started waits this long for its peers' reports
STEADY_S = 1.0  # the worker must be healthy at full load for this long before the ramp is complete
MAX_HISTORY = 50


class RampCause(Enum):
    """The reason for a recovery ramp; the values are shown to operators."""

    STARTED = "started"
    RETURNED_BY_OPERATORS = "returned by operators"
    EVACUATION_ENDED = "its evacuation has ended"


class RampPlan(NamedTuple):
    """The plan of a recovery: `stages` are increasing fractions of the usual load, the last one is 1.

    After `max_duration_s` the worker requests its full load in any case.
    """

    stages: tuple[float, ...] = DEFAULT_STAGES
    max_duration_s: float = DEFAULT_MAX_DURATION_S


@dataclass(slots=True)
class StageMeasurement:
    """Completions since a stage was entered: `good` ones in time, `bad` ones late or failed."""

    started_at: float
    good: int = 0
    bad: int = 0

    @property
    def completions(self) -> int:
        """The number of all completions."""
        return self.good + self.bad

    @property
    def is_bad(self) -> bool:
        """Whether too many completions were late or failed."""
        return self.bad > MAX_BAD_RATIO * self.completions


@dataclass(slots=True, frozen=True)
class RampEvent:
    """A change of the requested load, and its reason."""

    changed_at: float
    load_fraction: float
    reason: str


@dataclass(slots=True, frozen=True)
class RampInputs:
    """The inputs of an evaluation of a ramp.

    `threshold` is the worker's own smoothed admission threshold; `predict_threshold` returns the one to
    expect at a given rate of first attempts per second.
    """

    threshold: float
    predict_threshold: Callable[[float], float]
    baseline: PeerBaseline
    permission: StepPermission


class RecoveryRamp:
    """The recovery of one worker.

    `waits_for` describes for operators what the next stage is waiting for. `is_held` is set while operators
    hold the ramp. `is_unpaced` is set while no worker of the fleet is at full service: the worker then
    requests its full load, limited only by its admission gate.
    """

    def __init__(self, now: float, cause: RampCause, plan: RampPlan | None = None) -> None:
        self.started_at = now
        self.cause = cause
        self.plan = plan if plan is not None else RampPlan()
        self.stage = 0
        self.measurement = StageMeasurement(now)
        self.rollbacks = 0
        self.is_held = False
        self.is_unpaced = False
        self.is_complete = False
        self.waits_for = "its first completions"
        self.history = [RampEvent(now, self.plan.stages[0], cause.value)]
        self._retry_at = now
        self._steady_since: float | None = None

    @property
    def load_fraction(self) -> float:
        """The fraction of its usual load that this worker requests."""
        return 1.0 if self.is_complete or self.is_unpaced else self.plan.stages[self.stage]

    @property
    def _is_last_stage(self) -> bool:
        return self.stage == len(self.plan.stages) - 1

    def record_completion(self, in_time: bool) -> None:
        """Counts a completion; `in_time` is false for a late or a failed one."""
        if in_time:
            self.measurement.good += 1
        else:
            self.measurement.bad += 1

    def expected_requests(self, baseline: PeerBaseline, now: float) -> float:
        """Returns the number of requests expected at this stage so far, by the load of the peers."""
        return self.load_fraction * baseline.rate * (now - self.measurement.started_at)

    def evaluate(self, now: float, inputs: RampInputs) -> None:
        """Enters the next stage, rolls one back, or updates `waits_for`; called at each tick."""
        if self.is_complete:
            return
        baseline = inputs.baseline
        max_duration_s = self.plan.max_duration_s
        if now - self.started_at > max_duration_s:
            reason = f"not back after {max_duration_s:g} s: all of its load, and the gate guards"
            self._complete(now, reason)
        elif not baseline.count:
            self._evaluate_without_baseline(now, inputs)
        elif self.is_unpaced:
            self._evaluate_unpaced(now, inputs)
        elif self._is_overloaded(now, inputs):
            self._roll_back(now, inputs)
        elif self._is_last_stage:
            self._evaluate_full_load(now, inputs)
        else:
            self._evaluate_next_stage(now, inputs)

    def _evaluate_without_baseline(self, now: float, inputs: RampInputs) -> None:
        """Requests the full load if no peer is at full service: fractions have no reference load then."""
        if self.is_unpaced:
            self._evaluate_full_load(now, inputs)
        elif now - self.started_at < PEER_DISCOVERY_S:
            self.waits_for = "to hear from the others"
        else:
            self.is_unpaced = True
            self._enter(now, self.stage, "nobody is at full service: all take what they can")

    def _evaluate_unpaced(self, now: float, inputs: RampInputs) -> None:
        """Stays at full load if this worker keeps up with its peers, else returns to the staged ramp."""
        if inputs.threshold >= MIN_THRESHOLD_RATIO * inputs.baseline.capped_threshold:
            self._evaluate_full_load(now, inputs)
        else:
            self.is_unpaced = False
            self._enter(now, self.stage, "others are at full service, this one not yet")

    def _is_overloaded(self, now: float, inputs: RampInputs) -> bool:
        if self.stage == 0 or now - self.measurement.started_at < ROLLBACK_DELAY_S:
            return False
        has_bad_completions = self.measurement.completions >= 2 * MIN_COMPLETIONS and self.measurement.is_bad
        return (
            has_bad_completions or inputs.threshold < MIN_THRESHOLD_RATIO * inputs.baseline.capped_threshold
        )

    def _roll_back(self, now: float, inputs: RampInputs) -> None:
        self.rollbacks += 1
        self._retry_at = now + min(MAX_BACKOFF_S, BACKOFF_S * 2 ** (self.rollbacks - 1))
        reason = (
            f"taken back: {self.measurement.bad} of {self.measurement.completions} late or failed, "
            f"level {inputs.threshold:.2f} against {inputs.baseline.threshold:.2f} of the others"
        )
        self._enter(now, self.stage - 1, reason)

    def _evaluate_next_stage(self, now: float, inputs: RampInputs) -> None:
        blocker = self._blocker(now, inputs)
        if blocker is not None:
            self.waits_for = blocker
            return
        baseline = inputs.baseline
        next_fraction = self.plan.stages[self.stage + 1]
        next_threshold = inputs.predict_threshold(next_fraction * baseline.rate)
        if next_threshold >= NEXT_THRESHOLD_RATIO * baseline.capped_threshold:
            reason = f"{self.measurement.good} in time at {self.load_fraction:.0%}"
            self._enter(now, self.stage + 1, reason)
        else:
            self.waits_for = (
                f"warmth: {next_threshold:.2f} let in at {next_fraction:.0%}, "
                f"the others {baseline.threshold:.2f}"
            )

    def _blocker(self, now: float, inputs: RampInputs) -> str | None:
        """Describes what blocks the next stage; None if only the predicted threshold can still block it."""
        return self._external_blocker(now, inputs.permission) or self._measured_blocker(now, inputs.baseline)

    def _external_blocker(self, now: float, permission: StepPermission) -> str | None:
        if self.is_held:
            return "operators hold it"
        if permission.requested_wait_s > 0:
            wait_s = permission.requested_wait_s
            return f"its site was lost again and again: asked to wait {wait_s:.1f} s more"
        if not permission.granted:
            return "another site steps, or no majority of voters lets this one"
        if now < self._retry_at:
            return f"a step was taken back: {self._retry_at - now:.1f} s more"
        if now - self.measurement.started_at < MIN_STAGE_S:
            return "balancers have not taken the last step yet"
        return None

    def _measured_blocker(self, now: float, baseline: PeerBaseline) -> str | None:
        expected = self.expected_requests(baseline, now)
        required = max(MIN_COMPLETIONS, int(MIN_EXPECTED_RATIO * expected))
        if self.measurement.completions < required:
            return f"completions: {self.measurement.completions} of {required}"
        if self.measurement.is_bad:
            return f"{self.measurement.bad} of {self.measurement.completions} were late or failed"
        return None

    def _evaluate_full_load(self, now: float, inputs: RampInputs) -> None:
        """Completes the ramp once the worker has been healthy at full load for STEADY_S."""
        target = inputs.baseline.capped_threshold if inputs.baseline.count else 1.0
        is_healthy = (
            inputs.threshold >= NEXT_THRESHOLD_RATIO * target
            and self.measurement.completions >= MIN_COMPLETIONS
            and not self.measurement.is_bad
        )
        if not is_healthy:
            self._steady_since = None
            self.waits_for = "its last step to go well"
        elif self._steady_since is None:
            self._steady_since = now
        elif now - self._steady_since >= STEADY_S:
            self._complete(now, "back")

    def _enter(self, now: float, stage: int, reason: str) -> None:
        self.stage = stage
        self.measurement = StageMeasurement(now)
        self._steady_since = None
        self.history.append(RampEvent(now, self.load_fraction, reason))
        del self.history[1:-MAX_HISTORY]

    def _complete(self, now: float, reason: str) -> None:
        self.is_complete = True
        self.waits_for = ""
        self.history.append(RampEvent(now, 1.0, reason))

    def set_held(self, is_held: bool) -> None:
        """Holds or resumes the ramp, by an operator's command: no further stage is entered while held."""
        self.is_held = is_held

    def skip_stage(self, now: float, issued_by: str) -> None:
        """Enters the next stage without evidence, by an operator's command."""
        if not self.is_complete and not self._is_last_stage:
            self._enter(now, self.stage + 1, f"skipped by {issued_by}")

    def end(self, now: float, issued_by: str) -> None:
        """Requests the full load at once, by an operator's command."""
        if not self.is_complete:
            self._complete(now, f"ended by {issued_by}")
