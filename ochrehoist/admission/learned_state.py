"""What a controller has learned, as a snapshot of plain JSON values that another controller can restore.

Snapshots are handed from process to process and kept on disk, so the names in them are fixed: they stand in
tables here, and differ from those in the code. Classes and tenants are known by their names.
"""

import math
from collections.abc import Mapping
from typing import Any

from ochrehoist.admission.caller_activity import TimeoutEstimate
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.tenant_activity import MIN_COUNT, TICK_DECAY, RequestCounts
from ochrehoist.errors import OchrehoistError

LAYOUT_VERSION = 1  # of the values of a snapshot
MIN_STORED_STARTS_PER_S = 1e-6  # lower rates of tenants are left out
CLASS_MEAN_KEYS = "took", "stated", "tells"  # means that are kept for each class

Snapshot = dict[str, Any]


class InvalidLearnedStateError(OchrehoistError):
    """A value of a snapshot that is no finite number."""

    def __init__(self, value: object) -> None:
        super().__init__(f"learned state: {value!r} is not a finite number")
        self.value = value


def _class_means(controller: AdmissionController) -> dict[str, list[DecayingMean]]:
    """The means of classes by their stored names."""
    run_times = controller.run_times
    means = run_times.mean_run_ns, run_times.mean_stated_work_ns, run_times.stated_work_gain_ns
    return dict(zip(CLASS_MEAN_KEYS, means, strict=True))


def _means(controller: AdmissionController) -> dict[str, DecayingMean]:
    """The other means by their stored names."""
    return {
        "latency": controller.downstream.latency_ns,
        "bad_calls": controller.downstream.failure_share,
        "retries": controller.arrivals.retry_share,
        "turned": controller.shedder.rejection_share,
        "unread": controller.arrivals.unread_ns,
    }


def snapshot(controller: AdmissionController) -> Snapshot:
    """All that was learned; of tenants only those active lately, as all others have decayed alike."""
    callers = controller.callers
    now_ns = controller.now_ns
    return {
        **_class_mean_values(controller),
        **_activity_values(controller),
        "means": {name: [mean.value, mean.weight] for name, mean in _means(controller).items()},
        "curve": _curve_values(controller),
        "floor": controller.policy.floor,
        "sent": controller.arrivals.rate_per_s,
        "heard": [[caller, now_ns - at_ns] for caller, at_ns in callers.last_seen_ns.items()],
        "left": [[caller, list(ages_ns)] for caller, ages_ns in callers.cancellation_ages_ns.items()],
        "patience": [
            [caller, estimate.timeout_ns, estimate.valid_until_ns - now_ns]
            for caller, estimate in callers.timeouts.items()
        ],
    }


def _class_mean_values(controller: AdmissionController) -> Snapshot:
    classes = controller.settings.classes
    return {
        key: {of.name: [mean.value, mean.weight] for of, mean in zip(classes, means, strict=True)}
        for key, means in _class_means(controller).items()
    }


def _activity_values(controller: AdmissionController) -> Snapshot:
    activity = controller.activity
    settings = controller.settings
    active = {
        settings.tenants[at].name: counts.decayed(activity.tick - counts.tick)
        for at, counts in activity.by_tenant.items()
    }
    by_class = list(zip(settings.classes, activity.by_class, strict=True))
    return {
        "ran": {name: starts for name, (_, _, starts) in active.items() if starts > MIN_STORED_STARTS_PER_S},
        "beats": activity.tick,
        "tenants": [
            [name, requested, served]
            for name, (requested, served, _) in active.items()
            if requested > MIN_COUNT or served > MIN_COUNT
        ],
        "asked": [[of.name, counts.requested] for of, counts in by_class],
        "served": [[of.name, counts.served] for of, counts in by_class],
    }


def _curve_values(controller: AdmissionController) -> list[Any]:
    curve = controller.curve
    cores = controller.settings.cores
    return [cores, curve.max_concurrency, curve.peak_rate_per_s, curve.observed_s, curve.completions]


def restore(
    controller: AdmissionController, data: Snapshot, now_ns: int, tenants: Mapping[str, int] | None = None
) -> None:
    """Sets in a fresh controller what another one has learned.

    Classes that it does not know by name stay as they are, and unknown tenants are taken to be idle.
    `tenants`: the positions of the controller's tenants by name, where the caller has them.

    Raises InvalidLearnedStateError where a value is no number, and KeyError, TypeError or ValueError where
    one is missing or has another form; the controller must not be used then unless it may learn anew.
    """
    positions = tenants
    if positions is None:
        positions = {tenant.name: at for at, tenant in enumerate(controller.settings.tenants)}
    activity = _RestoredActivity(controller, data, positions)
    last_seen_ns = {int(caller): now_ns - int(age) for caller, age in data["heard"]}
    ages_ns = {int(caller): [int(age) for age in ages] for caller, ages in data["left"]}
    timeouts = {
        int(caller): TimeoutEstimate(int(timeout), now_ns + int(left))
        for caller, timeout, left in data["patience"]
    }
    _restore_curve(controller, data)
    controller.arrivals.restore_rate(_number(data["sent"]))
    _restore_means(controller, data, now_ns)
    activity.apply(controller)
    controller.callers.restore(last_seen_ns, ages_ns, timeouts)


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InvalidLearnedStateError(value)
    return value


def _numbers(values: list[Any]) -> list[float]:
    """As `_number`, of many at once."""
    if set(map(type, values)) <= {int, float} and all(map(math.isfinite, values)):
        return list(values)
    return [_number(value) for value in values]


def _restore_curve(controller: AdmissionController, data: Snapshot) -> None:
    """Takes the curve over where it is of the same cores and the same maximum."""
    curve = controller.curve
    cores, max_concurrency, peak, observed_s, completions = data["curve"]
    same = (cores, max_concurrency) == (controller.settings.cores, curve.max_concurrency)
    if same and len(observed_s) == len(curve.observed_s) == len(completions):
        curve.restore(_number(peak), _numbers(observed_s), _numbers(completions))
        controller.policy.set_floor(int(data["floor"]))


def _restore_means(controller: AdmissionController, data: Snapshot, now_ns: int) -> None:
    """Older snapshots lack some of them."""
    for key, means in _class_means(controller).items():
        for of, mean in zip(controller.settings.classes, means, strict=True):
            if of.name in data.get(key, ()):
                value, weight = data[key][of.name]
                mean.restore(now_ns, _number(value), _number(weight))
    for key, mean in _means(controller).items():
        if key in data["means"]:
            value, weight = data["means"][key]
            mean.restore(now_ns, _number(value), _number(weight))


class _RestoredActivity:
    """The counts of a snapshot, by the positions of the controller that restores it."""

    def __init__(self, controller: AdmissionController, data: Snapshot, positions: Mapping[str, int]) -> None:
        self._requested = {name: _number(value) for name, value in data["asked"]}
        self._served = {name: _number(value) for name, value in data["served"]}
        self._starts_per_s = {
            positions[name]: _number(rate) for name, rate in data["ran"].items() if name in positions
        }
        if "beats" in data:
            self._tick = int(data["beats"])
            self._tenants = {
                positions[name]: RequestCounts(_number(requested), _number(served))
                for name, requested, served in data["tenants"]
                if name in positions
            }
        else:
            self._read_legacy_counts(controller, positions)

    def _read_legacy_counts(self, controller: AdmissionController, positions: Mapping[str, int]) -> None:
        """From an older release, which stored the counts of all tenants: most were idle, and alike."""
        counts: dict[int, RequestCounts] = {
            positions[name]: RequestCounts(requested, self._served[name])
            for name, requested in self._requested.items()
            if name in positions
        }
        idle = max(MIN_COUNT, min((value for pair in counts.values() for value in pair), default=1.0))
        self._tick = round(math.log(idle) / math.log(TICK_DECAY))
        self._tenants = {at: pair for at, pair in counts.items() if max(pair) > idle}
        self._starts_per_s = {
            at: rate
            for at, rate in self._starts_per_s.items()
            if at in self._tenants or rate > controller.activity.initial_starts_per_s(at)
        }

    def apply(self, controller: AdmissionController) -> None:
        """Sets the counts, and what follows from them."""
        classes = [
            RequestCounts(
                self._requested.get(of.name, counts.requested), self._served.get(of.name, counts.served)
            )
            for of, counts in zip(controller.settings.classes, controller.activity.by_class, strict=True)
        ]
        controller.activity.restore(max(1, self._tick), classes, self._tenants, self._starts_per_s)
        controller.priority.refresh()
