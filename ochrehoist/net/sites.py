"""Connects a worker's SiteCoordinator with its core, its peers and the event loop.

Loaded only if the configuration has the table [sites].
"""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from ochrehoist.config.schema import Config
from ochrehoist.config.tables import SitesConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import StandbyChanged
from ochrehoist.core.metrics import format_samples
from ochrehoist.core.protocols import Logger
from ochrehoist.core.tenants import TenantTable
from ochrehoist.net.loop import Loop
from ochrehoist.net.operator_server import Response, json_response
from ochrehoist.net.peers import Peers
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.sites.admission_threshold import TICK_INTERVAL_S
from ochrehoist.sites.coordinator import SiteCoordinator, UnknownSiteError
from ochrehoist.sites.operator_commands import CommandKind
from ochrehoist.sites.peer_workers import observe_peers
from ochrehoist.sites.site_report import TOPIC
from ochrehoist.sites.status_view import status_view
from ochrehoist.sites.step_lease import BudgetStepLease

COMMAND_PATHS = {f"/sites/{kind}/": kind for kind in CommandKind}


class SiteCommandRoutes(dict[str, Any]):
    """Routes of the operator server, extended by `POST /sites/COMMAND/SITE` for any SITE."""

    def __init__(
        self, routes: Mapping[str, Any], issue_command: Callable[[str, CommandKind], Response]
    ) -> None:
        super().__init__(routes)
        self._issue_command = issue_command

    def get(self, path: str, default: Any = None) -> Any:
        """Returns the handlers of a path, by method."""
        prefix, slash, site = path.rpartition("/")
        kind = COMMAND_PATHS.get(prefix + slash)
        if kind is not None:
            return {"POST": lambda: self._issue_command(site, kind)}
        return super().get(path, default)


class SiteService:
    """Task that runs the worker's SiteCoordinator and sets the fraction of load that the core asks for.

    `cold_start` states that this process replaces no other: it has no requests yet, and may ramp up its load.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        name: str,
        config: SitesConfig,
        peers: Peers,
        cold_start: bool,
        log: Logger,
    ) -> None:
        self._core = core
        self._peers = peers
        self._log = log
        self._config = config
        self._coordinator = SiteCoordinator(
            name,
            config.site,
            core.settings,
            config.playbook,
            time.monotonic(),
            cold_start and config.recovery_ramp,
            core.tenants,
            BudgetStepLease(peers.group),
        )
        self._was_evacuated = False
        peers.group.add_extension(TOPIC, self._coordinator)
        core.register_fleet_admission(self._coordinator.gate)
        core.register_observer(self._coordinator.gate)
        core.set_load_fraction(self._coordinator.load_fraction)
        call_periodically(loop, TICK_INTERVAL_S, self._tick)

    def configure(self, config: Config, tenants: TenantTable) -> None:
        """Applies a reloaded configuration; one without the table [sites] changes nothing."""
        if config.sites is not None:
            self._config = config.sites
            self._coordinator.configure(config.settings, config.sites.playbook, tenants)

    def _tick(self) -> None:
        now = time.monotonic()
        coordinator = self._coordinator
        site_map = self._config.site_map
        coordinator.tick(now, observe_peers(self._peers.group, site_map.site_of if site_map else None))
        self._core.set_load_fraction(coordinator.load_fraction)
        self._update_standby()
        for event in coordinator.take_events():
            self._log.warning(str(event.name), **event.fields)

    def _update_standby(self) -> None:
        """Puts the worker on standby while its site is evacuated."""
        is_evacuated = self._coordinator.pacing.is_evacuated
        if is_evacuated != self._was_evacuated:
            self._was_evacuated = is_evacuated
            self._core.post(StandbyChanged(is_evacuated))

    # ---- interface for operators

    def issue_command(self, site: str, kind: CommandKind) -> Response:
        """Issues a command for a site; the response has status 404 if the site is unknown."""
        try:
            return json_response({"said": self._coordinator.issue_command(site, kind, time.monotonic())})
        except UnknownSiteError as error:
            return json_response({"error": str(error)}, HTTPStatus.NOT_FOUND)

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`."""
        return status_view(self._coordinator, time.monotonic())

    def metrics_text(self) -> str:
        """Returns the metrics as text."""
        coordinator = self._coordinator
        now = time.monotonic()
        gate = coordinator.gate
        states = Counter(str(health.state) for health in coordinator.health.sites.values())
        return format_samples(
            {
                "app_sites": [(f'{{state="{state}"}}', count) for state, count in sorted(states.items())],
                "app_gate_level": [("", round(gate.threshold.value, 4))],
                "app_gate_offered_seconds": [("", round(gate.threshold.offered_work(now), 4))],
                "app_gate_able_seconds": [("", round(gate.threshold.capacity, 4))],
                "app_gate_turned_away_total": [
                    (f'{{group="{class_name}",reason="{cause}"}}', count)
                    for (class_name, cause), count in sorted(gate.rejected.items())
                ],
                "app_part_asked_for": [("", coordinator.load_fraction)],
            }
        )
