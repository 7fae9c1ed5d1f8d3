"""Assembles the overload control of one worker, which the core, the fronts and self-monitoring share."""

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.tables import OverloadConfig
from ochrehoist.core.tenants import TenantTable
from ochrehoist.overload.early_rejection import EarlyRejection
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.overload.overload_detector import OverloadDetector
from ochrehoist.overload.stage_timings import StageTimings


class OverloadControl:
    """The overload detector with the `limiter` of the core and the `early_rejection` of the fronts."""

    def __init__(
        self, config: OverloadConfig, settings: AdmissionSettings, seed: int, memory_limit_bytes: int
    ) -> None:
        self.detector = OverloadDetector(memory_limit_bytes)
        self.limiter = AdaptiveLimiter(config, settings, seed)
        self.early_rejection: EarlyRejection | None = None
        if config.admission:
            self.early_rejection = EarlyRejection(self.detector, settings, seed)
        self.timings = StageTimings()

    def configure(
        self, settings: AdmissionSettings, config: OverloadConfig | None, tenants: TenantTable
    ) -> None:
        """Applies reloaded settings. Early rejection cannot be switched on or off by a reload."""
        self.limiter.configure(settings, config if config is not None else self.limiter.config)
        if self.early_rejection is not None:
            self.early_rejection.configure(settings, tenants)
