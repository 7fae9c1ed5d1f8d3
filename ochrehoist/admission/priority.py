"""Priority of requests: the gain of the objective per unit of expected work."""

from ochrehoist.admission.job import Job
from ochrehoist.admission.run_time import RunTimeModel
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.admission.tenant_activity import ActivityTracker

MIN_OFFERED_WEIGHT = 1e-9


class PriorityModel:
    """Priority model based on the class, the tenant and the expected work of a request."""

    def __init__(
        self, settings: AdmissionSettings, activity: ActivityTracker, run_times: RunTimeModel
    ) -> None:
        """`refresh` has to be called before the first `value`."""
        self._settings = settings
        self._worst_tenant_weight = settings.objective.worst_tenant
        self._activity = activity
        self._run_times = run_times
        self._class_gains: list[float] = []

    def refresh(self) -> None:
        """Recomputes how much one more answer of each class adds to the objective at this tick."""
        classes = self._settings.classes
        by_class = self._activity.by_class
        objective = self._settings.objective
        shortfall = sum(counts.shortfall for counts in by_class)
        offered = sum(
            request_class.priority_weight * counts.expected_demand
            for request_class, counts in zip(classes, by_class, strict=True)
        )
        offered = max(MIN_OFFERED_WEIGHT, offered)
        self._class_gains = [
            (objective.overall + objective.worst_window) * request_class.priority_weight / offered
            + objective.worst_class * (counts.shortfall / shortfall / counts.expected_demand)
            for request_class, counts in zip(classes, by_class, strict=True)
        ]

    def value(self, job: Job) -> float:
        """Returns the gain of the objective per unit of the request's expected work."""
        request = job.request
        settings = self._settings
        activity = self._activity
        gain = self._class_gains[request.class_index]
        quota_factor = 1.0
        tenant = request.tenant_index
        if tenant is not None:
            counts = activity.tenant_counts(tenant)
            within_quota = activity.share_within_quota(tenant, counts.starts_per_s)
            shortfall_gain = counts.shortfall / activity.total_shortfall / counts.expected_demand
            gain = gain + self._worst_tenant_weight * shortfall_gain
            if within_quota != 1:
                quota_factor = within_quota**2 + (1 - within_quota**2) * settings.over_quota_weight
        work = 1.0
        if not settings.weighs_work:
            work = request.work_ns or self._run_times.mean_run_ns[request.class_index].value
        return gain * quota_factor / work
