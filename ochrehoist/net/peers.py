"""This worker in its fleet: what the core, the executor and operators ask of it. Only where [peers] is on."""

import os
import secrets
import time
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from ochrehoist.admission.settings import Tenant
from ochrehoist.config.schema import Config
from ochrehoist.config.tables import BudgetKind, PeersConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import Logger
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.tenants import TenantTable
from ochrehoist.errors import OchrehoistError
from ochrehoist.net.loop import Loop
from ochrehoist.net.peer_log import PeerEventLog
from ochrehoist.net.peer_metrics import peer_metrics
from ochrehoist.net.peer_settings import Address, fleet_settings
from ochrehoist.net.peer_transport import DatagramSocket, PeerTransport, open_datagram_socket
from ochrehoist.peers.group import Group
from ochrehoist.peers.outbound import OutgoingMessage
from ochrehoist.peers.status_view import status_view
from ochrehoist.peers.wire import HealthStatus, Incarnation, Message
from ochrehoist.units import NS_PER_MS

if TYPE_CHECKING:
    from ochrehoist.net.ajp_server import CallOutcome

TICK_S = 0.05
MAX_BOOT_ID_BITS = 62


class PeersNotConfiguredError(OchrehoistError):
    """The configuration has no table of peers."""

    def __init__(self) -> None:
        super().__init__("setting peers: missing")


class FleetTenant:
    """A tenant whose quota here is this worker's part of its budget over the whole fleet, as it is now."""

    def __init__(self, tenant: Tenant, peers: "Peers", budget: str, fleet_size: int) -> None:
        self.name = tenant.name
        self.share = tenant.share
        self._peers = peers
        self._budget = budget
        self._fleet_size = fleet_size

    @property
    def quota_per_s(self) -> float:
        """The quota of a fleet of `fleet_size` equal workers, as the admission controller expects it."""
        return float(self._peers.held_amount(self._budget) * self._fleet_size)


@dataclass(frozen=True)
class BudgetNames:
    """The names of the budgets by what they are for."""

    by_tenant: Mapping[str | None, str]
    by_retried_server: Mapping[str | None, str]  # None: any server
    by_server: Mapping[str | None, str]

    @classmethod
    def of(cls, config: PeersConfig) -> "BudgetNames":
        """The names of the configured budgets."""

        def of_kind(kind: BudgetKind) -> dict[str | None, str]:
            return {budget.subject: budget.name for budget in config.budgets if budget.kind is kind}

        return cls(of_kind(BudgetKind.TENANT), of_kind(BudgetKind.RETRIES), of_kind(BudgetKind.SERVER))


@dataclass(frozen=True)
class LiveTenants:
    """The tenants of a table, by position, those with a budget as `FleetTenant`."""

    table: TenantTable
    tenants: tuple[Tenant, ...]


_HEALTH_STATUSES = {status.value: status for status in HealthStatus}  # a call of the enum takes 0.5 us


@dataclass(slots=True)  # made for each call: a frozen one takes twice the time
class ServerCall:
    """A call to a server that is under way, and the use of the server's budget that it took, if any."""

    server: str
    budget: str | None
    budget_ticket: int | None


def _encoded(texts: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(text.encode() for text in texts)


class Peers:
    """This worker in its fleet. It observes the core's requests and advises the AJP servers' executor.

    Raises PeersNotConfiguredError where the configuration has no table of peers.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        config: Config,
        log: Logger,
        open_socket: Callable[[Address], DatagramSocket] = open_datagram_socket,
    ) -> None:
        if config.peers is None:
            raise PeersNotConfiguredError
        self.config = config.peers
        self.loop = loop
        self.core = core
        self._tick_cpu_s = 0.0
        number = time.time_ns() // NS_PER_MS
        incarnation = Incarnation(config.name, number, secrets.randbits(MAX_BOOT_ID_BITS))
        settings = fleet_settings(config, self.config)
        self.group = Group(settings, incarnation, time.monotonic(), secrets.randbits(MAX_BOOT_ID_BITS))
        self.transport = PeerTransport(
            loop,
            self.config.group,
            _encoded(self.config.secrets),
            self._tick,
            self._on_message,
            log,
            open_socket,
        )
        self._event_log = PeerEventLog(log)
        self._budgets = BudgetNames.of(self.config)
        self._live_tenants: LiveTenants | None = None
        self._calls: dict[int, ServerCall] = {}  # by ticket
        self._last_ticket = 0
        core.register_observer(self)
        core.register_tenant_quotas(self.live_tenants)

    def prepare(self, config: Config, tenants: TenantTable) -> Generator[None, None, Callable[[], None]]:
        """What a configuration read again comes to; nothing changes before the call that it gives."""
        budgets = BudgetNames.of(config.peers or self.config)
        fleet_size = config.settings.fleet_size
        live_tenants = LiveTenants(tenants, self._with_budgets(tenants, budgets.by_tenant, fleet_size))
        yield
        return lambda: self._configure(config, live_tenants)

    def _configure(self, config: Config, live_tenants: LiveTenants) -> None:
        self._live_tenants = live_tenants
        if config.peers is None:
            return
        self.config = config.peers
        self.transport.secrets = _encoded(config.peers.secrets)
        self._budgets = BudgetNames.of(config.peers)
        self.group.reconfigure(fleet_settings(config, config.peers), time.monotonic())

    # ---- time and messages
    def start(self) -> None:
        """Takes part in the fleet once the address is free."""
        self.transport.open(self.config.listen)

    def stop(self, reason: str) -> None:
        """Gives all leases back and says goodbye; another process may take the address from then on."""
        if self.transport.is_open:
            self._send(self.group.leave(reason))
        self.transport.close()

    def _tick(self) -> None:
        if not self.transport.is_open:
            return
        began = time.thread_time()
        now = time.monotonic()
        self._send(self.group.tick(now))
        self._event_log.update(self.group, time.monotonic())
        self._tick_cpu_s += time.thread_time() - began
        self.loop.call_later(TICK_S, self._tick)

    def _on_message(self, message: Message, source: str) -> None:
        self._send(self.group.receive(message, source, time.monotonic()))

    def send_to_extension(self, name: str, topic: str, data: bytes) -> None:
        """Sends at once to one member's extension; as if lost where the member is not known."""
        self._send(self.group.send_to_extension(name, topic, data))

    def _send(self, messages: list[OutgoingMessage]) -> None:
        self.transport.send(self.group.incarnation, messages)

    # ---- the core's observer
    def request_arrived(self, request: InboundRequest) -> None:
        """Counts the demand for a tenant's budget, which the admission controller enforces."""
        budget = self._budgets.by_tenant.get(request.tenant)
        if budget is not None:
            now = time.monotonic()
            wanted = self.group.shares[budget].meter.demand(now).wanted
            self.group.leases.record_demand(budget, wanted <= self.held_amount(budget), now)

    def request_answered(self, request: InboundRequest, figure: str | None, _backoff: int) -> None:
        """Counts the answer over the fleet."""
        if figure is None:
            return
        word = figure.removesuffix("_total")
        self.group.counters.add(f"class/{request.request_class.name}/{word}")
        if request.tenant is not None:
            self.group.counters.add(f"tenant/{request.tenant}/{word}")

    # ---- the listener of the core
    def health_changed(self, good: bool) -> None:
        """Nothing: members are judged by their messages to each other."""

    def idle_timeout_changed(self, hold_for: int) -> None:
        """Nothing: datagrams keep no connection."""

    def shutdown_started(self, _remaining: int) -> None:
        """Lets the others know."""
        self.group.announce_leaving()

    # ---- budgets of tenants
    def held_amount(self, budget: str) -> int:
        """The amount of a budget that this worker holds now."""
        return self.group.leases.held_amount(budget, time.monotonic())

    def live_tenants(self, tenants: TenantTable, fleet_size: int) -> tuple[Tenant, ...]:
        """Tenants by position, for the admission controller: those with a budget have their part of it."""
        prepared = self._live_tenants
        if prepared is not None and prepared.table is tenants:
            return prepared.tenants
        return self._with_budgets(tenants, self._budgets.by_tenant, fleet_size)

    def _with_budgets(
        self, tenants: TenantTable, budgets: Mapping[str | None, str], fleet_size: int
    ) -> tuple[Tenant, ...]:
        if not budgets:
            return tenants.by_position
        by_position = list(tenants.by_position)
        for name, budget in budgets.items():
            position = tenants.positions.get(cast(str, name))
            if position is not None:
                tenant = FleetTenant(by_position[position], self, budget, fleet_size)
                by_position[position] = cast(Tenant, tenant)  # it has the same attributes
        return tuple(by_position)

    # ---- what the AJP servers' executor asks
    def rank_servers(self, busy: Mapping[str, int]) -> list[str]:
        """The servers to try, the best first; `busy` counts this worker's open calls at each."""
        return self.group.outliers.rank_services(busy, time.monotonic())

    def begin_call(self, server: str, request_class: str) -> int | None:
        """A ticket for a call, or None where the budget of that server gives none now."""
        now = time.monotonic()
        budget = self._budgets.by_server.get(server)
        budget_ticket = None
        if budget is not None:
            budget_ticket = self.group.leases.acquire(budget, now)
            if budget_ticket is None:
                return None
        self._last_ticket += 1
        self._calls[self._last_ticket] = ServerCall(server, budget, budget_ticket)
        self.group.outliers.call_started(server, self._last_ticket, request_class, now)
        return self._last_ticket

    def end_call(self, ticket: int, outcome: "CallOutcome") -> None:
        """The call of this ticket has ended."""
        call = self._calls.pop(ticket)
        if call.budget is not None and call.budget_ticket is not None:
            self.group.leases.release(call.budget, call.budget_ticket)
        self.group.outliers.call_completed(call.server, ticket, _HEALTH_STATUSES[outcome], time.monotonic())

    def max_call_s(self, server: str) -> float | None:
        """How long a run at this server may take (s), where a budget of concurrent runs rests on it."""
        budget = self._budgets.by_server.get(server)
        return self.group.shares[budget].holder.budget.max_run_s if budget is not None else None

    def may_retry(self, server: str) -> bool:
        """Whether a retry may go to this server now; it uses the fleet's retry budget."""
        budget = self._budgets.by_retried_server.get(server) or self._budgets.by_retried_server.get(None)
        return budget is not None and self.group.leases.acquire(budget, time.monotonic()) is not None

    # ---- for operators
    @property
    def cpu_s(self) -> float:
        """Processor time spent on peers."""
        return self._tick_cpu_s + self.transport.receive_cpu_s

    def status_section(self) -> dict[str, Any]:
        """This worker's view of the fleet, for `/status`."""
        rejected = {reason.value: count for reason, count in self.transport.rejected_counts.items()}
        return status_view(self.group, time.monotonic()) | {
            "rejected": rejected,
            "datagrams": self.transport.sent_count,
            "bytes_out": self.transport.sent_bytes,
            "bytes_in": self.transport.received_bytes,
            "cpu_s": round(self.cpu_s, 3),
            "pid": os.getpid(),
        }

    def metrics_text(self) -> str:
        """The metrics, as text."""
        return peer_metrics(self.group, self.transport, time.monotonic())
