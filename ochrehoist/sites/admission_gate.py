"""The load-shedding gate in front of the decision module.

It checks each request that has not run yet, and admits those whose rank in the shedding order is below the
admission threshold. While a site is lost, the playbook may reject further requests. No I/O; times from the
core are in ns, all others in seconds.
"""

from collections import Counter
from enum import StrEnum

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest, RequestReference
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

MAX_THRESHOLD_LEAD = 0.3  # a worker's threshold may exceed the mean of its peers by at most this
ARRIVAL_RATE_SPAN_S = 1.0
# The Retry-After time is the minimum plus a hash-dependent part of the spread. The shorter pair applies if
# another worker may admit the request, the longer one if no worker would.
MIN_RETRY_AFTER_S = 0.4
RETRY_AFTER_SPREAD_S = 0.6
MIN_FLEET_RETRY_AFTER_S = 1.0
FLEET_RETRY_AFTER_SPREAD_S = 2.0


class RejectionCause(StrEnum):
    """The reason for which the gate rejected a request; the values are used in status and metrics."""

    PLAYBOOK = "playbook"
    ORDER = "order"


class AdmissionGate:
    """The load-shedding gate; it implements the core's `FleetAdmission` and `RequestObserver` protocols.

    `admitted` and `rejected` count decisions; `arrival_rate` is the rate of first attempts per second.
    """

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
        self.shedding_order = SheddingOrder(
            settings.classes, _tenant_table(settings, tenants), settings.over_quota_weight
        )
        self.threshold = AdmissionThreshold(settings.cores, _min_objective_s(settings))
        self.arrival_rate = DecayingRate(ARRIVAL_RATE_SPAN_S)
        self.admitted = 0
        self.rejected: Counter[tuple[str, RejectionCause]] = Counter()  # by class and cause
        self._arrivals = 0  # first attempts since the last call of `take_arrivals`
        # Estimated work in core seconds.
        self._waiting_work: dict[RequestReference, float] = {}
        self._running_work: dict[RequestReference, float] = {}

    def configure(self, settings: AdmissionSettings, tenants: TenantTable | None) -> None:
        """Applies changed settings; learned costs and rates are kept."""
        self._settings = settings
        self.shedding_order.configure(
            settings.classes, _tenant_table(settings, tenants), settings.over_quota_weight
        )
        self.threshold.configure(settings.cores, _min_objective_s(settings))

    # Calls of the core.

    def check_arrival(self, request: InboundRequest, now_ns: int) -> Rejection | None:
        """Returns the rejection of a request that has not run yet; None if the request is admitted."""
        now_s = now_ns / NS_PER_S
        identity = _identity_of(request)
        class_name = request.request_class.name
        self._record_arrival(request, identity, now_s)
        loss = self._active_loss()
        max_rank = self.rank_limit
        excluded = loss is not None and not loss.admits(
            class_name, self.shedding_order.is_beyond_quota(identity, request.tenant, now_s), identity
        )
        rank = 0.0
        if excluded or max_rank < 1:
            rank = self.shedding_order.rank(identity, class_name, request.tenant, now_s)
        if not excluded and (max_rank >= 1 or rank < max_rank):
            self.admitted += 1
            self._waiting_work[request.reference] = self.shedding_order.cost(class_name) or 0.0
            return None
        self.rejected[class_name, RejectionCause.PLAYBOOK if excluded else RejectionCause.ORDER] += 1
        return self._rejection(identity, rank, loss)

    def _record_arrival(self, request: InboundRequest, identity: RequestIdentity, now_s: float) -> None:
        class_name = request.request_class.name
        if not self.shedding_order.record_arrival(
            identity, class_name, request.tenant, request.is_retry, now_s
        ):
            return
        self.arrival_rate.add(now_s, 1.0)
        self._arrivals += 1
        cost = self.shedding_order.cost(class_name)
        if cost is not None:
            self.threshold.record_arrival(cost, now_s)

    @property
    def rank_limit(self) -> float:
        """The rank below which requests are admitted.

        It is this worker's threshold, limited to slightly more than the mean of its peers: otherwise a
        caller could get a rejected request admitted by retrying at another worker. The limit does not apply
        during a recovery, or while no peer is at full service.
        """
        baseline = self._peers.baseline
        if not baseline.count or self._pacing.recovery is not None:
            return self.threshold.value
        return min(self.threshold.value, baseline.threshold + MAX_THRESHOLD_LEAD)

    def _active_loss(self) -> SiteLoss | None:
        """Returns the playbook's entry for the lost site, if a site is lost and the playbook covers it."""
        if self._playbooks.current is None:
            return None
        return self._playbooks.loss_of(self._health.lost_sites())

    def _rejection(self, identity: RequestIdentity, rank: float, loss: SiteLoss | None) -> Rejection:
        no_worker_admits = all(rank >= report.admission_threshold for report in self._peers.fresh_reports())
        if loss is not None:
            min_s = loss.retry_after_ms / 1000
            spread_s = loss.retry_spread_ms / 1000
        elif no_worker_admits:
            min_s = MIN_FLEET_RETRY_AFTER_S
            spread_s = FLEET_RETRY_AFTER_SPREAD_S
        else:
            min_s = MIN_RETRY_AFTER_S
            spread_s = RETRY_AFTER_SPREAD_S
        # The hash gives a request about the same time at every worker, and spreads different requests.
        retry_after_ns = int(NS_PER_S * (min_s + spread_s * hash_fraction("away", *identity)))
        max_ns = self._settings.max_retry_after_ns
        return Rejection(min(retry_after_ns, max_ns) if max_ns else retry_after_ns, no_retry=no_worker_admits)

    def run_started(self, request: InboundRequest, now_ns: int) -> None:  # noqa: ARG002
        """Moves the request's work from waiting to running."""
        self._running_work[request.reference] = self._waiting_work.pop(request.reference, 0.0)

    def run_ended(self, request: InboundRequest, now_ns: int, duration_ns: int, outcome: Outcome) -> None:
        """Learns the class's cost from the run time, corrected for cores shared with concurrent runs."""
        now_s = now_ns / NS_PER_S
        concurrency = max(1, len(self._running_work))
        self._running_work.pop(request.reference, None)
        recovery = self._pacing.recovery
        succeeded = outcome is Outcome.OK
        if succeeded and duration_ns > 0:
            core_share = min(1.0, self._settings.cores / concurrency)
            learning_rate = COST_LEARNING_RATE if recovery is None else COLD_COST_LEARNING_RATE
            self.shedding_order.record_run(
                request.request_class.name, duration_ns / NS_PER_S * core_share, learning_rate
            )
            self.threshold.record_completion(
                self.shedding_order.cost(request.request_class.name) or 0.0, now_s
            )
        if recovery is not None:
            in_time = now_ns <= request.arrived_ns + request.request_class.latency_objective_ns
            recovery.record_completion(succeeded and in_time)

    def request_arrived(self, request: InboundRequest) -> None:
        """Does nothing: `check_arrival` counts arrivals."""

    def request_answered(
        self,
        request: InboundRequest,
        counter: RequestCounter | None,  # noqa: ARG002
        retry_after_ns: int,  # noqa: ARG002
    ) -> None:
        """Removes the request's waiting work."""
        self._waiting_work.pop(request.reference, None)

    # Calls of the coordinator.

    def update_threshold(self, now: float) -> None:
        """Updates the admission threshold; called at each tick."""
        waiting_work = sum(self._waiting_work.values())
        running_work = sum(self._running_work.values())
        self.threshold.update(now, len(self._running_work), waiting_work, running_work)

    def take_arrivals(self) -> int:
        """Returns the number of first attempts since the previous call."""
        arrivals = self._arrivals
        self._arrivals = 0
        return arrivals


def _min_objective_s(settings: AdmissionSettings) -> float:
    return min(c.latency_objective_ns for c in settings.classes) / NS_PER_S


def _tenant_table(settings: AdmissionSettings, tenants: TenantTable | None) -> TenantTable:
    return tenants if tenants is not None else initial_table(settings.tenants)


def _identity_of(request: InboundRequest) -> RequestIdentity:
    if request.idempotency_key is not None:
        return RequestIdentity(request.tenant or "", request.request_class.name, request.idempotency_key[2])
    subject = request.subject_hash or request.routing_key or request.id
    return RequestIdentity(request.tenant or "", request.request_class.name, subject)
