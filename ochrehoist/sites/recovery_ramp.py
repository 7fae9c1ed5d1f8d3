"""How a worker that comes back takes its load again, stage by stage. No I/O; seconds.

A worker comes back cold, and all callers see it at once. It asks for a small part of its usual load, and
for more only once measured completions show that it can do more: never by the clock alone. A stage that goes
wrong is taken back. Where a whole site comes back it takes a stage only while it holds the fleet's one step
lease, so two sites never do at once.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ochrehoist.sites.peer_workers import PeerBaseline
from ochrehoist.sites.step_lease import StepPermission

DEFAULT_STAGES = (0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1.0)  # of its usual load
DEFAULT_MAX_DURATION_S = 300.0
MIN_JUDGED_S = 1.5  # at a stage, before what is measured tells that it is too much
MIN_STAGE_S = 0.4  # at a stage: balancers take a new weight in about so long
MIN_COMPLETIONS = 5  # at a stage
MIN_EXPECTED_RATIO = 0.2  # of the requests that the stage would have brought
MAX_BAD_RATIO = 0.25  # of the completions that are late or failed
MIN_THRESHOLD_RATIO = 0.75  # of the others' threshold, under which the stage is too much
NEXT_THRESHOLD_RATIO = 0.85  # of the others' threshold, that it must keep at the next stage
BACKOFF_S = 0.5  # after a stage that was taken back; doubled each time
MAX_BACKOFF_S = 3.0
DISCOVERY_S = 1.5  # that a worker which has just started waits for the reports of all others
STEADY_S = 1.0  # at the last stage, well, until it counts as back
MAX_HISTORY = 50


class RampCause(Enum):
    """Why a worker is on its way back, as operators read it."""

    STARTED = "started"
    RETURNED_BY_OPERATORS = "returned by operators"
    EVACUATION_ENDED = "its evacuation has ended"


class RampPlan(NamedTuple):
    """`stages`: fractions of the usual load, rising to 1."""

    stages: tuple[float, ...] = DEFAULT_STAGES
    max_duration_s: float = DEFAULT_MAX_DURATION_S


@dataclass(slots=True)
class StageMeasurement:
    """What was measured at a stage."""

    started_at: float
    good: int = 0
    bad: int = 0

    @property
    def completions(self) -> int:
        """All that ended."""
        return self.good + self.bad

    @property
    def is_bad(self) -> bool:
        """Whether too many were late or failed."""
        return self.bad > MAX_BAD_RATIO * self.completions


@dataclass(slots=True, frozen=True)
class RampEvent:
    """The load that is asked for has changed."""

    at: float
    load_fraction: float
    reason: str


@dataclass(slots=True, frozen=True)
class RampInputs:
    """What a ramp is evaluated by."""

    threshold: float  # the worker's own, on a mean
    threshold_at: Callable[[float], float]  # what it would be with so many first tries a second
    baseline: PeerBaseline
    permission: StepPermission


class RecoveryRamp:
    """The way back of one worker; `waits_for` says in words what the next stage waits for."""

    def __init__(self, now: float, cause: RampCause, plan: RampPlan | None = None) -> None:
        self.started_at = now
        self.cause = cause
        self.plan = plan if plan is not None else RampPlan()
        self.stage = 0
        self.measured = StageMeasurement(now)
        self.rollbacks = 0
        self.is_held = False  # by operators
        self.is_unpaced = False  # nobody is at full service: it takes what its gate admits
        self.is_complete = False
        self.waits_for = "its first completions"
        self.history = [RampEvent(now, self.plan.stages[0], cause.value)]
        self._not_before = now
        self._steady_since: float | None = None

    @property
    def load_fraction(self) -> float:
        """Of the usual load, that this worker asks for."""
        return 1.0 if self.is_complete or self.is_unpaced else self.plan.stages[self.stage]

    @property
    def _is_last_stage(self) -> bool:
        return self.stage == len(self.plan.stages) - 1

    def record_completion(self, in_time: bool) -> None:
        """A run ended, well and in time or not."""
        if in_time:
            self.measured.good += 1
        else:
            self.measured.bad += 1

    def expected_requests(self, baseline: PeerBaseline, now: float) -> float:
        """Requests that its part of a full worker's load would have brought at this stage by now."""
        return self.load_fraction * baseline.rate * (now - self.measured.started_at)

    def evaluate(self, now: float, inputs: RampInputs) -> None:
        """Ten times a second: takes a stage, takes one back, or says what it waits for."""
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
        """Nobody is at full service: fractions of a load mean nothing then; the gate alone guards."""
        if self.is_unpaced:
            self._evaluate_full_load(now, inputs)
        elif now - self.started_at < DISCOVERY_S:
            self.waits_for = "to hear from the others"
        else:
            self.is_unpaced = True
            self._enter(now, self.stage, "nobody is at full service: all take what they can")

    def _evaluate_unpaced(self, now: float, inputs: RampInputs) -> None:
        """Others are at full service again: it is too, or goes on by stages."""
        if inputs.threshold >= MIN_THRESHOLD_RATIO * inputs.baseline.capped_threshold:
            self._evaluate_full_load(now, inputs)
        else:
            self.is_unpaced = False
            self._enter(now, self.stage, "others are at full service, this one not yet")

    def _is_overloaded(self, now: float, inputs: RampInputs) -> bool:
        # What is measured just after a change may still be of the stage before.
        if self.stage == 0 or now - self.measured.started_at < MIN_JUDGED_S:
            return False
        is_late = self.measured.completions >= 2 * MIN_COMPLETIONS and self.measured.is_bad
        return is_late or inputs.threshold < MIN_THRESHOLD_RATIO * inputs.baseline.capped_threshold

    def _roll_back(self, now: float, inputs: RampInputs) -> None:
        self.rollbacks += 1
        self._not_before = now + min(MAX_BACKOFF_S, BACKOFF_S * 2 ** (self.rollbacks - 1))
        reason = (
            f"taken back: {self.measured.bad} of {self.measured.completions} late or failed, "
            f"level {inputs.threshold:.2f} against {inputs.baseline.threshold:.2f} of the others"
        )
        self._enter(now, self.stage - 1, reason)

    def _evaluate_next_stage(self, now: float, inputs: RampInputs) -> None:
        obstacle = self._obstacle(now, inputs)
        if obstacle is not None:
            self.waits_for = obstacle
            return
        baseline = inputs.baseline
        next_fraction = self.plan.stages[self.stage + 1]
        next_threshold = inputs.threshold_at(next_fraction * baseline.rate)
        if next_threshold >= NEXT_THRESHOLD_RATIO * baseline.capped_threshold:
            reason = f"{self.measured.good} in time at {self.load_fraction:.0%}"
            self._enter(now, self.stage + 1, reason)
        else:
            self.waits_for = (
                f"warmth: {next_threshold:.2f} let in at {next_fraction:.0%}, "
                f"the others {baseline.threshold:.2f}"
            )

    def _obstacle(self, now: float, inputs: RampInputs) -> str | None:
        """What keeps it from the next stage, in words; None: nothing but its own warmth may."""
        return self._outer_obstacle(now, inputs.permission) or self._measured_obstacle(now, inputs.baseline)

    def _outer_obstacle(self, now: float, permission: StepPermission) -> str | None:
        if self.is_held:
            return "operators hold it"
        if permission.requested_wait_s > 0:
            wait_s = permission.requested_wait_s
            return f"its site was lost again and again: asked to wait {wait_s:.1f} s more"
        if not permission.granted:
            return "another site steps, or no majority of voters lets this one"
        if now < self._not_before:
            return f"a step was taken back: {self._not_before - now:.1f} s more"
        if now - self.measured.started_at < MIN_STAGE_S:
            return "balancers have not taken the last step yet"
        return None

    def _measured_obstacle(self, now: float, baseline: PeerBaseline) -> str | None:
        expected = self.expected_requests(baseline, now)
        required = max(MIN_COMPLETIONS, int(MIN_EXPECTED_RATIO * expected))
        if self.measured.completions < required:
            return f"completions: {self.measured.completions} of {required}"
        if self.measured.is_bad:
            return f"{self.measured.bad} of {self.measured.completions} were late or failed"
        return None

    def _evaluate_full_load(self, now: float, inputs: RampInputs) -> None:
        """At the whole load: back once that has gone well for a while."""
        target = inputs.baseline.capped_threshold if inputs.baseline.count else 1.0
        is_well = (
            inputs.threshold >= NEXT_THRESHOLD_RATIO * target
            and self.measured.completions >= MIN_COMPLETIONS
            and not self.measured.is_bad
        )
        if not is_well:
            self._steady_since = None
            self.waits_for = "its last step to go well"
        elif self._steady_since is None:
            self._steady_since = now
        elif now - self._steady_since >= STEADY_S:
            self._complete(now, "back")

    def _enter(self, now: float, stage: int, reason: str) -> None:
        self.stage = stage
        self.measured = StageMeasurement(now)
        self._steady_since = None
        self.history.append(RampEvent(now, self.load_fraction, reason))
        del self.history[1:-MAX_HISTORY]

    def _complete(self, now: float, reason: str) -> None:
        self.is_complete = True
        self.waits_for = ""
        self.history.append(RampEvent(now, 1.0, reason))

    def set_held(self, is_held: bool) -> None:
        """Operators: no further stage while this is set."""
        self.is_held = is_held

    def skip_stage(self, now: float, issued_by: str) -> None:
        """Operators: one stage on without evidence."""
        if not self.is_complete and not self._is_last_stage:
            self._enter(now, self.stage + 1, f"skipped by {issued_by}")

    def end(self, now: float, issued_by: str) -> None:
        """Operators: all of its load now."""
        if not self.is_complete:
            self._complete(now, f"ended by {issued_by}")
