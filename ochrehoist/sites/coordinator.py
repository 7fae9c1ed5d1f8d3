"""The coordinator of one worker's multi-site state. No I/O; times are in seconds and passed in by the caller.

It owns the components of this package and updates them in a fixed order at each tick. Peers' reports come in
as `PeerWorker` objects; this worker's own report goes out by `status_report`.
"""

from collections import deque
from collections.abc import Sequence

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.core.tenants import TenantTable
from ochrehoist.errors import OchrehoistError
from ochrehoist.peers.wire import Incarnation
from ochrehoist.sites.admission_gate import AdmissionGate
from ochrehoist.sites.load_pacing import LoadPacing
from ochrehoist.sites.operator_commands import CommandKind, OperatorCommands
from ochrehoist.sites.peer_workers import PeerWorker, PeerWorkers
from ochrehoist.sites.playbook import Playbook
from ochrehoist.sites.playbook_exchange import PlaybookExchange
from ochrehoist.sites.shedding_order import FleetAggregates
from ochrehoist.sites.site_events import SiteEvent, SiteEventName
from ochrehoist.sites.site_health import LoadSample, SiteHealthTracker, SiteMembership
from ochrehoist.sites.site_report import (
    STAGE_FULL_SERVICE,
    STAGE_UNPACED,
    SiteObservation,
    SiteReport,
    encode,
)
from ochrehoist.sites.step_lease import StepArbiter, StepLease, UnavailableStepLease
from ochrehoist.sites.usual_load import UsualLoad

MAX_PENDING_EVENTS = 200


class UnknownSiteError(OchrehoistError):
    """An operator's command for a site that this worker does not know."""

    def __init__(self, site: str, known_sites: list[str]) -> None:
        super().__init__(f"unknown site {site!r}; known sites: {known_sites}")
        self.site = site
        self.known_sites = known_sites


class SiteCoordinator:
    """The coordinator of one worker's admission, health tracking, load pacing, commands and playbook.

    Args:
        name: the name of this worker.
        site: the site that this worker belongs to.
        settings: the settings of the decision module.
        playbook: the playbook that the configuration names, if any.
        now: the time at which the worker starts to serve.
        cold_start: whether the worker starts without load, and takes it over in stages.
        tenants: the table of the settings' tenants; None: it is built from the settings.
        step_lease: the fleet's step lease; without one, a returning site stays at its first stage.
    """

    def __init__(
        self,
        name: str,
        site: str,
        settings: AdmissionSettings,
        playbook: Playbook | None,
        now: float,
        cold_start: bool,
        tenants: TenantTable | None = None,
        step_lease: StepLease | None = None,
    ) -> None:
        self.name = name
        self.site = site
        self._last_tick_at = now
        self._events: deque[SiteEvent] = deque(maxlen=MAX_PENDING_EVENTS)
        self.peers = PeerWorkers(site)
        self.health = SiteHealthTracker()
        self.commands = OperatorCommands()
        self.usual_load = UsualLoad()
        self.arbiter = StepArbiter(name, site, step_lease or UnavailableStepLease())
        class_names = [c.name for c in settings.classes]
        self.playbooks = PlaybookExchange(class_names, playbook, self._events.append)
        self.pacing = LoadPacing(now, site, self.playbooks, self.arbiter, cold_start)
        self.gate = AdmissionGate(settings, tenants, self.peers, self.health, self.playbooks, self.pacing)

    def configure(
        self, settings: AdmissionSettings, playbook: Playbook | None, tenants: TenantTable | None = None
    ) -> None:
        """Applies changed settings; a changed playbook file is used only if newer than the one in use."""
        self.gate.configure(settings, tenants)
        self.playbooks.configure([c.name for c in settings.classes], playbook)

    @property
    def load_fraction(self) -> float:
        """The fraction of its usual load that this worker requests, from 0 to 1."""
        return self.pacing.load_fraction

    def take_events(self) -> list[SiteEvent]:
        """Returns the events since the previous call, to be logged."""
        events = list(self._events)
        self._events.clear()
        return events

    # Periodic updates.

    def tick(self, now: float, peers: Sequence[PeerWorker]) -> None:
        """Updates all components; called every `admission_threshold.TICK_INTERVAL_S`."""
        span_s = now - self._last_tick_at
        self._last_tick_at = now
        self.peers.update(list(peers))
        self.gate.shedding_order.set_aggregates(self._fleet_aggregates(now))
        self.gate.shedding_order.refresh(now)
        self.gate.update_threshold(now)
        self._track_health(now, span_s)
        self._merge_commands(now)
        command = self.commands.active(self.site, now)
        self._events.extend(self.pacing.apply_command(command, self.peers, now))
        self._events.extend(self.pacing.advance(now, self.gate.threshold, self.peers))
        if self.pacing.recovery is None:
            self.arbiter.lease.release()

    def _fleet_aggregates(self, now: float) -> FleetAggregates:
        tenant_rates = self.gate.shedding_order.tenant_rates(now)
        costs = {class_name: [cost] for class_name, cost in self.gate.shedding_order.class_costs.items()}
        for report in self.peers.fresh_reports():
            for tenant, rate in report.tenant_rates.items():
                tenant_rates[tenant] = tenant_rates.get(tenant, 0) + rate
            for class_name, cost in report.class_costs.items():
                costs.setdefault(class_name, []).append(cost)
        means = {class_name: sum(values) / len(values) for class_name, values in costs.items()}
        return FleetAggregates(means, tenant_rates)

    def _track_health(self, now: float, span_s: float) -> None:
        workers_by_site = self.peers.by_other_site()
        arrivals = self.gate.take_arrivals()
        self.usual_load.update_sites(workers_by_site)
        if self._all_at_full_load():
            self.usual_load.learn(arrivals, span_s)
        elif not self.usual_load.is_known:
            self.usual_load.adopt_peer_rate(self.peers)
        load = LoadSample(arrivals, self.usual_load.expected_rate(self.peers), span_s)
        memberships = {
            site: self._membership(site, workers) for site, workers in workers_by_site.items() if site
        }
        own_workers = 1 + len(self.peers.in_site(self.site))
        for change in self.health.tick(now, memberships, own_workers, load):
            fields: dict[str, object] = {
                "site": change.site,
                "state": str(change.state),
                "reason": change.reason,
            }
            self._events.append(SiteEvent(SiteEventName.SITE_STATE_CHANGED, fields))

    def _all_at_full_load(self) -> bool:
        """Whether all workers of the fleet serve their full load: only then is the usual load learned."""
        pacing = self.pacing
        return pacing.recovery is None and pacing.evacuation is None and self.peers.all_at_full_load()

    def _membership(self, site: str, workers: Sequence[PeerWorker]) -> SiteMembership:
        reported = self.peers.observations_of(site)
        own_site_worker_names = {peer.name for peer in self.peers.in_site(self.site)}
        return SiteMembership(
            worker_count=len(workers),
            alive_count=sum(worker.is_alive for worker in workers),
            left_count=sum(worker.has_left for worker in workers),
            returning_count=sum(worker.is_recovering for worker in workers),
            third_site_states=[
                r.observation.state for r in reported if r.worker not in own_site_worker_names
            ],
            evidence=sum(r.observation.evidence for r in reported),
        )

    def _merge_commands(self, now: float) -> None:
        for peer in self.peers.workers:
            if peer.report is not None:
                self.commands.merge(peer.report.commands, peer.age_s, now)

    # Operators.

    def issue_command(self, site: str, kind: CommandKind, now: float) -> str:
        """Issues an operator's command, and returns the text for the operator. Raises UnknownSiteError."""
        if site not in self.peers.site_names():
            raise UnknownSiteError(site, self.peers.site_names())
        command = self.commands.issue(site, kind, self.name, now)
        fields: dict[str, object] = {"site": site, "command": str(kind), "number": command.number}
        self._events.append(SiteEvent(SiteEventName.OPERATOR_COMMAND_RECEIVED, fields))
        return f"order {command.number}: {kind} {site}, for {command.expires_at - now:.0f} s at the most"

    # Extension of the peers' protocol.

    def report(self, now: float) -> SiteReport:
        """Returns this worker's own state as reported to its peers."""
        gate = self.gate
        threshold = self.gate.threshold
        return SiteReport(
            admission_threshold=round(threshold.smoothed, 3),
            offered_work=round(threshold.offered_work(now), 4),
            capacity=round(threshold.capacity, 3),
            arrival_rate=round(gate.arrival_rate.read(now), 2),
            usual_rate=round(self.usual_load.reported_rate, 2),
            stage=self._reported_stage(),
            weight=round(100 * self.load_fraction),
            step_lease_ms=max(0, int(1000 * (self.arbiter.held_until - now))),
            observations=[self._observation(site, now) for site in self.health.sites],
            commands=self.commands.entries(now),
            class_costs={name: round(cost, 6) for name, cost in gate.shedding_order.class_costs.items()},
            tenant_rates={
                tenant: round(rate, 2)
                for tenant, rate in gate.shedding_order.reported_tenant_rates(now).items()
            },
            playbook=self.playbooks.version,
        )

    def _reported_stage(self) -> int:
        recovery = self.pacing.recovery
        if recovery is None:
            return STAGE_FULL_SERVICE
        return STAGE_UNPACED if recovery.is_unpaced else recovery.stage

    def _observation(self, site: str, now: float) -> SiteObservation:
        health = self.health.sites[site]
        return SiteObservation(
            site=site,
            state=str(health.state),
            wait_ms=int(1000 * self.health.requested_wait_s(site, now)),
            usual_rate=round(self.usual_load.rate_of(site), 2),
            evidence=round(health.evidence, 2),
        )

    def status_report(self, now: float) -> bytes:
        """Returns the encoded report, which membership distributes to all peers."""
        return encode(self.report(now))

    def messages_to_send(self, now: float) -> list[tuple[str, str, bytes]]:  # noqa: ARG002
        """Returns messages to send, each as the member's name, topic and data."""
        return self.playbooks.queries(self.peers)

    def message_received(
        self,
        sender: Incarnation,
        topic: str,
        data: bytes,
        now: float,  # noqa: ARG002
    ) -> list[tuple[str, bytes]]:
        """Handles one message, and returns the replies to its sender as topic and data."""
        return self.playbooks.handle(sender.name, topic, data)
