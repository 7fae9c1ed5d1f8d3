"""Snapshots of the learned state of a controller, as plain JSON values that another controller can restore.

Snapshots are passed between processes and stored on disk, so their keys are fixed and differ from the names
in the code. Classes and tenants are identified by name.
"""

import math
from collections.abc import Mapping
from typing import Any

from ochrehoist.admission.caller_activity import TimeoutEstimate
from ochrehoist.admission.controller import AdmissionController
from ochrehoist.admission.decaying_mean import DecayingMean
from ochrehoist.admission.tenant_activity import MIN_COUNT, TICK_DECAY, RequestCounts
from ochrehoist.errors import OchrehoistError

LAYOUT_VERSION = 1  # stored snapshots of another version are not restored
MIN_STORED_STARTS_PER_S = 1e-6  # lower start rates of tenants are omitted
CLASS_MEAN_KEYS = "took", "stated", "tells"  # snapshot keys of the means per class

Snapshot = dict[str, Any]


class InvalidLearnedStateError(OchrehoistError):
    """Error for a snapshot value that is not a finite number."""

    def __init__(self, value: object) -> None:
        super().__init__(f"learned state: {value!r} is not a finite number")
        self.value = value


def _class_means(controller: AdmissionController) -> dict[str, list[DecayingMean]]:
    """Returns the means per class by their snapshot keys."""
    run_times = controller.run_times
    means = run_times.mean_run_ns, run_times.mean_stated_work_ns, run_times.stated_work_gain_ns
    return dict(zip(CLASS_MEAN_KEYS, means, strict=True))


def _other_means(controller: AdmissionController) -> dict[str, DecayingMean]:
    """Returns the other means by their snapshot keys."""
    return {
        "latency": controller.downstream.latency_ns,
        "bad_calls": controller.downstream.failure_share,
        "retries": controller.arrivals.retry_share,
        "turned": controller.shedder.rejection_share,
        "unread": controller.arrivals.unread_ns,
    }


def snapshot(controller: AdmissionController) -> Snapshot:
    """Returns the learned state; inactive tenants are omitted, as their counts have all decayed alike."""
    callers = controller.callers
    now_ns = controller.now_ns
    return {
        **_class_mean_values(controller),
        **_activity_values(controller),
        "means": {name: [mean.value, mean.weight] for name, mean in _other_means(controller).items()},
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
        key: {
            request_class.name: [mean.value, mean.weight]
            for request_class, mean in zip(classes, means, strict=True)
        }
        for key, means in _class_means(controller).items()
    }


def _activity_values(controller: AdmissionController) -> Snapshot:
    activity = controller.activity
    settings = controller.settings
    active = {
        settings.tenants[index].name: counts.decayed(activity.tick - counts.tick)
        for index, counts in activity.by_tenant.items()
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
        "asked": [[request_class.name, counts.requested] for request_class, counts in by_class],
        "served": [[request_class.name, counts.served] for request_class, counts in by_class],
    }


def _curve_values(controller: AdmissionController) -> list[Any]:
    curve = controller.curve
    cores = controller.settings.cores
    return [cores, curve.max_concurrency, curve.peak_rate_per_s, curve.observed_s, curve.completions]


def restore(
    controller: AdmissionController, data: Snapshot, now_ns: int, tenants: Mapping[str, int] | None = None
) -> None:
    """Restores a snapshot into a new controller.

    Classes that the snapshot lacks keep their initial state, and tenants that it lacks count as idle.
    `tenants` maps the names of the controller's tenants to their indices; without it the mapping is computed.

    Raises InvalidLearnedStateError for a value that is not a finite number, and KeyError, TypeError or
    ValueError if one is missing or malformed. The controller may be partly restored then; it must not be used
    unless it is acceptable that it learns anew.
    """
    tenant_indices = tenants
    if tenant_indices is None:
        tenant_indices = {tenant.name: index for index, tenant in enumerate(controller.settings.tenants)}
    activity = _RestoredActivity(controller, data, tenant_indices)
    last_seen_ns = {int(caller): now_ns - int(age) for caller, age in data["heard"]}
    ages_ns = {int(caller): [int(age) for age in ages] for caller, ages in data["left"]}
    timeouts = {
        int(caller): TimeoutEstimate(int(timeout), now_ns + int(remaining))
        for caller, timeout, remaining in data["patience"]
    }
    _restore_curve(controller, data)
    controller.arrivals.restore_rate(_finite_number(data["sent"]))
    _restore_means(controller, data, now_ns)
    activity.apply(controller)
    controller.callers.restore(last_seen_ns, ages_ns, timeouts)


def _finite_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InvalidLearnedStateError(value)
    return value


def _finite_numbers(values: list[Any]) -> list[float]:
    """Does the same as `_finite_number` for a list, faster."""
    if set(map(type, values)) <= {int, float} and all(map(math.isfinite, values)):
        return list(values)
    return [_finite_number(value) for value in values]


def _restore_curve(controller: AdmissionController, data: Snapshot) -> None:
    """Restores the curve if it belongs to the same number of cores and the same maximum concurrency."""
    curve = controller.curve
    cores, max_concurrency, peak, observed_s, completions = data["curve"]
    same_capacity = (cores, max_concurrency) == (controller.settings.cores, curve.max_concurrency)
    if same_capacity and len(observed_s) == len(curve.observed_s) == len(completions):
        curve.restore(_finite_number(peak), _finite_numbers(observed_s), _finite_numbers(completions))
        controller.policy.set_floor(int(data["floor"]))


def _restore_means(controller: AdmissionController, data: Snapshot, now_ns: int) -> None:
    """Restores the means; older snapshots lack some of them."""
    for key, means in _class_means(controller).items():
        for request_class, mean in zip(controller.settings.classes, means, strict=True):
            if request_class.name in data.get(key, ()):
                value, weight = data[key][request_class.name]
                mean.restore(now_ns, _finite_number(value), _finite_number(weight))
    for key, mean in _other_means(controller).items():
        if key in data["means"]:
            value, weight = data["means"][key]
            mean.restore(now_ns, _finite_number(value), _finite_number(weight))


class _RestoredActivity:
    """Activity counts of a snapshot, by the tenant indices of the controller that restores it."""

    def __init__(
        self, controller: AdmissionController, data: Snapshot, tenant_indices: Mapping[str, int]
    ) -> None:
        self._requested = {name: _finite_number(value) for name, value in data["asked"]}
        self._served = {name: _finite_number(value) for name, value in data["served"]}
        self._starts_per_s = {
            tenant_indices[name]: _finite_number(rate)
            for name, rate in data["ran"].items()
            if name in tenant_indices
        }
        if "beats" in data:
            self._tick = int(data["beats"])
            self._tenants = {
                tenant_indices[name]: RequestCounts(_finite_number(requested), _finite_number(served))
                for name, requested, served in data["tenants"]
                if name in tenant_indices
            }
        else:
            self._read_legacy_counts(controller, tenant_indices)

    def _read_legacy_counts(self, controller: AdmissionController, tenant_indices: Mapping[str, int]) -> None:
        """Reads a snapshot of an older release, which stored the counts of all tenants.

        Most of those tenants are idle and have the same count, which determines the tick; they are skipped.
        """
        counts: dict[int, RequestCounts] = {
            tenant_indices[name]: RequestCounts(requested, self._served[name])
            for name, requested in self._requested.items()
            if name in tenant_indices
        }
        idle_count = max(MIN_COUNT, min((count for pair in counts.values() for count in pair), default=1.0))
        self._tick = round(math.log(idle_count) / math.log(TICK_DECAY))
        self._tenants = {index: pair for index, pair in counts.items() if max(pair) > idle_count}
        self._starts_per_s = {
            index: rate
            for index, rate in self._starts_per_s.items()
            if index in self._tenants or rate > controller.activity.initial_starts_per_s(index)
        }

    def apply(self, controller: AdmissionController) -> None:
        """Sets the counts in the controller, and refreshes its priorities."""
        classes = [
            RequestCounts(
                self._requested.get(request_class.name, counts.requested),
                self._served.get(request_class.name, counts.served),
            )
            for request_class, counts in zip(
                controller.settings.classes, controller.activity.by_class, strict=True
            )
        ]
        controller.activity.restore(max(1, self._tick), classes, self._tenants, self._starts_per_s)
        controller.priority.refresh()
