"""This worker's membership in its fleet, as the core, the AJP servers' executor and operators use it.

Loaded only if the configuration has the table [peers].
"""

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
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.units import NS_PER_MS

if TYPE_CHECKING:
    from ochrehoist.net.ajp_server import CallOutcome

PEER_TICK_INTERVAL_S = 0.05
BOOT_ID_BITS = 62


class PeersNotConfiguredError(OchrehoistError):
    """The configuration has no table [peers]."""

    def __init__(self) -> None:
        super().__init__("setting peers: missing")


class FleetTenant:
    """A tenant whose quota is this worker's current part of the tenant's budget in the whole fleet.

    It has the attributes of `Tenant` that the admission controller reads.
    """

    def __init__(self, tenant: Tenant, peers: "Peers", budget: str, fleet_size: int) -> None:
        self.name = tenant.name
        self.share = tenant.share
        self._peers = peers
        self._budget = budget
        self._fleet_size = fleet_size

    @property
    def quota_per_s(self) -> float:
        """Quota per second if each of `fleet_size` workers held this worker's part.

        The admission controller expects the quota of the whole fleet, and divides it by `fleet_size`.
        """
        return float(self._peers.held_amount(self._budget) * self._fleet_size)


@dataclass(frozen=True)
class BudgetNames:
    """Names of the budgets, by kind and subject.

    Attributes:
        by_tenant: Request budgets by tenant.
        by_retry_server: Retry budgets by server; the key None is the budget of all other servers.
        by_server: Budgets of concurrent runs by server.
    """

    by_tenant: Mapping[str | None, str]
    by_retry_server: Mapping[str | None, str]
    by_server: Mapping[str | None, str]

    @classmethod
    def from_config(cls, config: PeersConfig) -> "BudgetNames":
        """Returns the names of the configured budgets."""

        def of_kind(kind: BudgetKind) -> dict[str | None, str]:
            return {budget.subject: budget.name for budget in config.budgets if budget.kind is kind}

        return cls(of_kind(BudgetKind.TENANT), of_kind(BudgetKind.RETRIES), of_kind(BudgetKind.SERVER))


@dataclass(frozen=True)
class FleetTenants:
    """The tenants of a table by position; those with a budget are instances of `FleetTenant`."""

    table: TenantTable
    tenants: tuple[Tenant, ...]


_HEALTH_STATUSES = {status.value: status for status in HealthStatus}  # calling the enum class takes 0.5 us


@dataclass(slots=True)  # created for each call; not frozen, since that doubles the time to create one
class ServerCall:
    """An open call to a server, with its use of the server's budget if there is one."""

    server: str
    budget: str | None
    budget_ticket: int | None


def _encode_texts(texts: tuple[str, ...]) -> tuple[bytes, ...]:
    return tuple(text.encode() for text in texts)


class Peers:
    """This worker as a member of its fleet.

    It is a RequestObserver and LifecycleListener of the core, and selects servers for the AJP executor.

    Raises:
        PeersNotConfiguredError: The configuration has no table [peers].
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
        incarnation = Incarnation(config.name, number, secrets.randbits(BOOT_ID_BITS))
        settings = fleet_settings(config, self.config)
        self.group = Group(settings, incarnation, time.monotonic(), secrets.randbits(BOOT_ID_BITS))
        self.transport = PeerTransport(
            loop,
            self.config.group,
            _encode_texts(self.config.secrets),
            self._start_ticking,
            self._on_message,
            log,
            open_socket,
        )
        self._event_log = PeerEventLog(log)
        self._budgets = BudgetNames.from_config(self.config)
        self._fleet_tenants: FleetTenants | None = None
        self._calls: dict[int, ServerCall] = {}  # by ticket
        self._last_ticket = 0
        core.register_observer(self)
        core.register_tenant_quotas(self.fleet_tenants)

    def prepare(self, config: Config, tenants: TenantTable) -> Generator[None, None, Callable[[], None]]:
        """Prepares a reload in steps; nothing changes before the returned function is called."""
        budgets = BudgetNames.from_config(config.peers or self.config)
        fleet_size = config.settings.fleet_size
        fleet_tenants = FleetTenants(tenants, self._apply_budgets(tenants, budgets.by_tenant, fleet_size))
        yield
        return lambda: self._configure(config, fleet_tenants)

    def _configure(self, config: Config, fleet_tenants: FleetTenants) -> None:
        self._fleet_tenants = fleet_tenants
        if config.peers is None:
            return
        self.config = config.peers
        self.transport.secrets = _encode_texts(config.peers.secrets)
        self._budgets = BudgetNames.from_config(config.peers)
        self.group.reconfigure(fleet_settings(config, config.peers), time.monotonic())

    # ---- timer and messages
    def start(self) -> None:
        """Joins the fleet as soon as the address can be bound."""
        self.transport.open(self.config.listen)

    def stop(self, reason: str) -> None:
        """Returns all leases, announces the departure and frees the address for another process."""
        if self.transport.is_open:
            self._send(self.group.leave(reason))
        self.transport.close()

    def _start_ticking(self) -> None:
        call_periodically(self.loop, PEER_TICK_INTERVAL_S, self._tick)
        self._tick()

    def _tick(self) -> bool:
        """Does the group's periodic work; returns False once the transport is closed."""
        if not self.transport.is_open:
            return False
        started_s = time.thread_time()
        now = time.monotonic()
        self._send(self.group.tick(now))
        self._event_log.update(self.group, time.monotonic())
        self._tick_cpu_s += time.thread_time() - started_s
        return True

    def _on_message(self, message: Message, source: str) -> None:
        self._send(self.group.receive(message, source, time.monotonic()))

    def send_to_extension(self, name: str, topic: str, data: bytes) -> None:
        """Sends a message to a member's extension at once; drops it if the member is unknown."""
        self._send(self.group.send_to_extension(name, topic, data))

    def _send(self, messages: list[OutgoingMessage]) -> None:
        self.transport.send(self.group.incarnation, messages)

    # ---- RequestObserver of the core
    def request_arrived(self, request: InboundRequest) -> None:
        """Records the demand for the tenant's budget, which the admission controller enforces."""
        budget = self._budgets.by_tenant.get(request.tenant)
        if budget is not None:
            now = time.monotonic()
            wanted = self.group.shares[budget].meter.demand(now).wanted
            self.group.leases.record_demand(budget, wanted <= self.held_amount(budget), now)

    def request_answered(self, request: InboundRequest, counter: str | None, _retry_after_ns: int) -> None:
        """Adds the answer to the fleet's counters of its class and tenant."""
        if counter is None:
            return
        counter_name = counter.removesuffix("_total")
        self.group.counters.add(f"class/{request.request_class.name}/{counter_name}")
        if request.tenant is not None:
            self.group.counters.add(f"tenant/{request.tenant}/{counter_name}")

    # ---- LifecycleListener of the core
    def health_changed(self, good: bool) -> None:
        """Does nothing: members determine each other's state from their messages."""

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Does nothing: datagrams have no connection."""

    def shutdown_started(self, _remaining_ns: int) -> None:
        """Announces to the other members that this worker leaves."""
        self.group.announce_leaving()

    # ---- budgets of tenants
    def held_amount(self, budget: str) -> int:
        """Returns the amount of a budget that this worker holds now."""
        return self.group.leases.held_amount(budget, time.monotonic())

    def fleet_tenants(self, tenants: TenantTable, fleet_size: int) -> tuple[Tenant, ...]:
        """Returns the tenants by position for the admission controller, with budgets as `FleetTenant`."""
        prepared = self._fleet_tenants
        if prepared is not None and prepared.table is tenants:
            return prepared.tenants
        return self._apply_budgets(tenants, self._budgets.by_tenant, fleet_size)

    def _apply_budgets(
        self, tenants: TenantTable, budgets: Mapping[str | None, str], fleet_size: int
    ) -> tuple[Tenant, ...]:
        if not budgets:
            return tenants.by_position
        by_position = list(tenants.by_position)
        for name, budget in budgets.items():
            position = tenants.positions.get(cast(str, name))
            if position is not None:
                tenant = FleetTenant(by_position[position], self, budget, fleet_size)
                by_position[position] = cast(Tenant, tenant)  # duck-typed, see FleetTenant
        return tuple(by_position)

    # ---- server selection for the AJP executor
    def rank_servers(self, busy: Mapping[str, int]) -> list[str]:
        """Returns the servers to try, best first; `busy` has this worker's open calls by server."""
        return self.group.outliers.rank_services(busy, time.monotonic())

    def begin_call(self, server: str, request_class: str) -> int | None:
        """Returns a ticket for a call; None if the server's budget has no free slot now."""
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
        """Records the outcome of the call with this ticket and releases its slot of the budget."""
        call = self._calls.pop(ticket)
        if call.budget is not None and call.budget_ticket is not None:
            self.group.leases.release(call.budget, call.budget_ticket)
        self.group.outliers.call_completed(call.server, ticket, _HEALTH_STATUSES[outcome], time.monotonic())

    def max_call_s(self, server: str) -> float | None:
        """Returns the longest allowed run at this server (s); None without a budget of concurrent runs."""
        budget = self._budgets.by_server.get(server)
        return self.group.shares[budget].holder.budget.max_run_s if budget is not None else None

    def may_retry(self, server: str) -> bool:
        """Returns whether this server may be sent a retry now, and takes it from the fleet's retry budget."""
        budget = self._budgets.by_retry_server.get(server) or self._budgets.by_retry_server.get(None)
        return budget is not None and self.group.leases.acquire(budget, time.monotonic()) is not None

    # ---- interface for operators
    @property
    def cpu_s(self) -> float:
        """Processor time spent on the peers' protocol (s)."""
        return self._tick_cpu_s + self.transport.receive_cpu_s

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`: this worker's view of the fleet."""
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
        """Returns the metrics as text."""
        return peer_metrics(self.group, self.transport, time.monotonic())
