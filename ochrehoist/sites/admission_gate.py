"""The gate in front of the decision module: what is rejected while there is more than the cores can do.

It sees requests that never ran, and admits those whose rank is under a threshold; while a site is lost, the
playbook may hold back more. No I/O; core times in ns, all others in seconds.
"""

from collections import Counter
from enum import StrEnum

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import Rejection
from ochrehoist.core.tenants import TenantTable, initial_table
from ochrehoist.sites.admission_threshold import AdmissionThreshold
from ochrehoist.sites.load_pacing import LoadPacing
from ochrehoist.sites.peer_workers import PeerWorkers
from ochrehoist.sites.playbook import SiteLoss
from ochrehoist.sites.playbook_exchange import PlaybookExchange
from ochrehoist.sites.rates import DecayingRate, hash_fraction
from ochrehoist.sites.shedding_order import (
    COLD_COST_LEARNING_RATE,
    COST_LEARNING_RATE,
    RequestIdentity,
    SheddingOrder,
)
from ochrehoist.sites.site_health import SiteHealthTracker
from ochrehoist.units import NS_PER_S

MAX_THRESHOLD_LEAD = 0.3  # by which a worker may admit more of the order than the others
ARRIVAL_RATE_SPAN_S = 1.0
RETRY_AFTER_S = 0.4  # told where others may admit it: at least,
RETRY_SPREAD_S = 0.6  # and up to so much more
FLEET_RETRY_AFTER_S = 1.0  # the same where nobody would admit it
FLEET_RETRY_SPREAD_S = 2.0


class RejectionCause(StrEnum):
    """Why the gate rejected a request, by the names of status and metrics."""

    PLAYBOOK = "playbook"
    ORDER = "order"


class AdmissionGate:
    """The core's FleetAdmission and RequestObserver."""

    def __init__(
        self,
        settings: AdmissionSettings,
        tenants: TenantTable | None,
        peers: PeerWorkers,
        health: SiteHealthTracker,
        playbooks: PlaybookExchange,
        pacing: LoadPacing,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._health = health
        self._playbooks = playbooks
        self._pacing = pacing
        self.order = SheddingOrder(settings.classes, _table(settings, tenants), settings.over_quota_weight)
        self.threshold = AdmissionThreshold(settings.cores, _least_objective_s(settings))
        self.arrival_rate = DecayingRate(ARRIVAL_RATE_SPAN_S)
        self.admitted = 0
        self.rejected: Counter[tuple[str, RejectionCause]] = Counter()  # by class and cause
        self._arrivals = 0  # first tries since they were last taken
        self._waiting_work: dict[str, float] = {}  # by the id of an admitted request
        self._running_work: dict[str, float] = {}

    def configure(self, settings: AdmissionSettings, tenants: TenantTable | None) -> None:
        """New settings while it runs; what was learned is kept."""
        self._settings = settings
        self.order.configure(settings.classes, _table(settings, tenants), settings.over_quota_weight)
        self.threshold.configure(settings.cores, _least_objective_s(settings))

    # What the core asks and says.

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """One that never ran: whether it is rejected before the decision module sees it."""
        now_s = now_ns / NS_PER_S
        identity = _identity_of(request)
        class_name = request.request_class.name
        self._record_arrival(request, identity, now_s)
        loss = self._active_loss()
        limit = self.rank_limit
        held_back = loss is not None and not loss.admits(
            class_name, self.order.is_beyond_quota(identity, request.tenant, now_s), identity
        )
        rank = 0.0
        if held_back or limit < 1:
            rank = self.order.rank(identity, class_name, request.tenant, now_s)
        if not held_back and (limit >= 1 or rank < limit):
            self.admitted += 1
            self._waiting_work[request.id] = self.order.cost(class_name) or 0.0
            return None
        self.rejected[class_name, RejectionCause.PLAYBOOK if held_back else RejectionCause.ORDER] += 1
        return self._rejection(identity, rank, loss)

    def _record_arrival(self, request: InboundRequest, identity: RequestIdentity, now_s: float) -> None:
        class_name = request.request_class.name
        if not self.order.record_arrival(identity, class_name, request.tenant, request.is_retry, now_s):
            return
        self.arrival_rate.add(now_s, 1.0)
        self._arrivals += 1
        cost = self.order.cost(class_name)
        if cost is not None:
            self.threshold.record_arrival(cost, now_s)

    @property
    def rank_limit(self) -> float:
        """Up to which rank requests are admitted.

        That is this worker's threshold, and no more than a little above that of the others, or whoever tries
        the next worker would win by it.
        """
        baseline = self._peers.baseline
        if not baseline.count or self._pacing.recovery is not None:
            return self.threshold.value
        return min(self.threshold.value, baseline.threshold + MAX_THRESHOLD_LEAD)

    def _active_loss(self) -> SiteLoss | None:
        """What the playbook says of the site that is lost, where there is one of both."""
        if self._playbooks.current is None:
            return None
        return self._playbooks.loss_of(self._health.lost_sites())

    def _rejection(self, identity: RequestIdentity, rank: float, loss: SiteLoss | None) -> Rejection:
        nobody_admits = all(rank >= report.admission_threshold for report in self._peers.fresh_reports())
        if loss is not None:
            least_s = loss.retry_after_ms / 1000
            spread_s = loss.retry_spread_ms / 1000
        elif nobody_admits:
            least_s = FLEET_RETRY_AFTER_S
            spread_s = FLEET_RETRY_SPREAD_S
        else:
            least_s = RETRY_AFTER_S
            spread_s = RETRY_SPREAD_S
        # By the hash again: a caller is told about the same wherever it asks, and no two the same.
        retry_after_ns = int(NS_PER_S * (least_s + spread_s * hash_fraction("away", *identity)))
        max_ns = self._settings.max_retry_after_ns
        return Rejection(min(retry_after_ns, max_ns) if max_ns else retry_after_ns, no_retry=nobody_admits)

    def run_started(self, request: InboundRequest, now_ns: int) -> None:  # noqa: ARG002
        """Its run has started."""
        self._running_work[request.id] = self._waiting_work.pop(request.id, 0.0)

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> None:
        """A run is over; its time, less what it shared its cores, tells what its class costs."""
        now_s = now_ns / NS_PER_S
        concurrency = max(1, len(self._running_work))
        self._running_work.pop(request.id, None)
        recovery = self._pacing.recovery
        succeeded = outcome is Outcome.OK
        if succeeded and duration_ns > 0:
            core_share = min(1.0, self._settings.cores / concurrency)
            learning_rate = COST_LEARNING_RATE if recovery is None else COLD_COST_LEARNING_RATE
            self.order.record_run(
                request.request_class.name, duration_ns / NS_PER_S * core_share, learning_rate
            )
            self.threshold.record_completion(self.order.cost(request.request_class.name) or 0.0, now_s)
        if recovery is not None:
            in_time = now_ns <= request.arrived_ns + request.request_class.latency_objective_ns
            recovery.record_completion(succeeded and in_time)

    def request_arrived(self, request: InboundRequest) -> None:
        """Counted where it is decided on, by `check_arrival`."""

    def request_answered(
        self,
        request: InboundRequest,
        counter: RequestCounter | None,  # noqa: ARG002
        retry_after_ns: int,  # noqa: ARG002
    ) -> None:
        """Nothing is owed for it any more."""
        self._waiting_work.pop(request.id, None)

    # Time.

    def update_threshold(self, now: float) -> None:
        """Ten times a second."""
        waiting = sum(self._waiting_work.values())
        running = sum(self._running_work.values())
        self.threshold.update(now, len(self._running_work), waiting, running)

    def take_arrivals(self) -> int:
        """First tries since this was last called."""
        arrivals = self._arrivals
        self._arrivals = 0
        return arrivals


def _least_objective_s(settings: AdmissionSettings) -> float:
    return min(c.latency_objective_ns for c in settings.classes) / NS_PER_S


def _table(settings: AdmissionSettings, tenants: TenantTable | None) -> TenantTable:
    return tenants if tenants is not None else initial_table(settings.tenants)


def _identity_of(request: InboundRequest) -> RequestIdentity:
    if request.idempotency_key is not None:
        return RequestIdentity(request.tenant or "", request.request_class.name, request.idempotency_key[2])
    subject = request.subject_hash or request.routing_key or request.id
    return RequestIdentity(request.tenant or "", request.request_class.name, subject)
