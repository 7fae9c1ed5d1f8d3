"""All overload control of one worker: what the core, its fronts and the self-monitoring share."""

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.tables import OverloadConfig
from ochrehoist.core.tenants import TenantTable
from ochrehoist.overload.early_rejection import EarlyRejection
from ochrehoist.overload.limiter import AdaptiveLimiter
from ochrehoist.overload.overload_detector import OverloadDetector
from ochrehoist.overload.stage_timings import StageTimings


class OverloadControl:
    """The detector and what goes by it. The core asks `limiter`, the fronts `early_rejection`."""

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
        """Takes reloaded settings. What was off at the start stays off, and the other way round."""
        self.limiter.configure(settings, config if config is not None else self.limiter.config)
        if self.early_rejection is not None:
            self.early_rejection.configure(settings, tenants)
