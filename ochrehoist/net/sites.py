"""Binds one worker's part in the fleet's sites to its core, its peers and its clock. Only where [sites] is
on."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from ochrehoist.config.loader import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import StandbyChanged
from ochrehoist.core.metrics import format_samples
from ochrehoist.core.tenants import TenantTable
from ochrehoist.net.loop import Loop
from ochrehoist.net.operators import Answer, said
from ochrehoist.net.peers import Peers
from ochrehoist.sites.desk import Desk
from ochrehoist.sites.heard import heard
from ochrehoist.sites.level import LOOK_S
from ochrehoist.sites.orders import WORDS
from ochrehoist.sites.permit import PERMIT, PERMIT_S
from ochrehoist.sites.view import told
from ochrehoist.sites.words import TOPIC

RENEW_S = 0.25  # between two uses of the permit


class Calls(dict):
    """The operators' calls, and for each site that is known when it is asked: `POST /sites/ORDER/SITE`."""

    def __init__(self, calls: Mapping[str, Any], order: Callable[[str, str], Answer]) -> None:
        super().__init__(calls)
        self.order = order

    def get(self, path: str, default: Any = None) -> Any:
        parts = path.split("/")
        if len(parts) == 4 and parts[1] == "sites" and parts[2] in WORDS:
            return {"POST": lambda: self.order(parts[3], parts[2])}
        return super().get(path, default)


class Sites:
    def __init__(
        self, loop: Loop, owner: CoreActor, config: Config, peers: Peers, came_back: bool, log: Any
    ) -> None:
        """`came_back`: this process replaces none, so it starts with nothing in hand."""
        self.loop, self.owner, self.peers, self.log = loop, owner, peers, log
        self.config = config.sites
        c = config.sites
        self.desk = Desk(
            config.name,
            c.site,
            owner.settings,
            c.playbook,
            time.monotonic(),
            came_back and c.recovery_ramp,
            owner.tenants,
        )
        self.desk.ask_permit, self.desk.drop_permit = self._permit, self._let_go
        self.ticket: int | None = None
        self.asked_at, self.granted_until = 0.0, 0.0
        self.emptied = False
        peers.group.extensions[TOPIC] = self.desk
        owner.register_fleet_admission(self.desk)
        owner.register_observer(self.desk)
        owner.set_load_fraction(self.desk.part)
        loop.call_later(LOOK_S, self._look)

    def configure(self, config: Config, tenants: TenantTable) -> None:
        if config.sites is not None:
            self.config = config.sites
            self.desk.configure(config.settings, config.sites.playbook, time.monotonic(), tenants)

    # ---- time
    def _look(self) -> None:
        now = time.monotonic()
        places = self.config.site_map
        self.desk.look(now, heard(self.peers.group, places.site_of if places else None))
        if self.desk.ramp is None:
            self._let_go()
        self.owner.set_load_fraction(self.desk.part)
        if self.desk.empty != self.emptied:
            self.emptied = self.desk.empty
            self.owner.post(StandbyChanged(self.emptied))
        while self.desk.news:
            event, details = self.desk.news.popleft()
            self.log.warning(event, **details)
        self.loop.call_later(LOOK_S, self._look)

    def _permit(self, now: float) -> float:
        """s for which this worker's site may step: for as long as the right that was used is surely held."""
        if now - self.asked_at >= RENEW_S:
            self.asked_at = now
            self._let_go()
            self.ticket = self.peers.group.use(PERMIT, now)
            if self.ticket is not None:
                self.granted_until = now + PERMIT_S
        return max(0.0, self.granted_until - now)

    def _let_go(self) -> None:
        if self.ticket is not None:
            self.peers.group.done(PERMIT, self.ticket)
            self.ticket = None

    # ---- operators
    def order(self, site: str, word: str) -> Answer:
        try:
            return said({"said": self.desk.give(site, word, time.monotonic())})
        except KeyError:
            return said(
                {"error": f"no site {site!r} is known; there are {self.desk.known_sites()}"},
                HTTPStatus.NOT_FOUND,
            )

    def view(self) -> dict[str, Any]:
        return told(self.desk, time.monotonic())

    def figures(self) -> str:
        d, now = self.desk, time.monotonic()
        states = Counter(s.state for s in d.knowing.sites.values())
        return format_samples(
            {
                "app_sites": [(f'{{state="{s}"}}', n) for s, n in sorted(states.items())],
                "app_gate_level": [("", round(d.level.value, 4))],
                "app_gate_offered_seconds": [("", round(d.level.offered.read(now), 4))],
                "app_gate_able_seconds": [("", round(d.level.able, 4))],
                "app_gate_turned_away_total": [
                    (f'{{group="{c}",reason="{why}"}}', n)
                    for (c, why), n in sorted(d.counts.turned_away.items())
                ],
                "app_part_asked_for": [("", d.part)],
            }
        )
