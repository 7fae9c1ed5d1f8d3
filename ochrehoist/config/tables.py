"""The types of the tables that only some workers have: their second front, the store, peers and sites."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from ochrehoist.config.values import Address

if TYPE_CHECKING:  # loaded only by workers that have a playbook
    from ochrehoist.sites.playbook import Playbook


class LossPolicy(StrEnum):
    """What a worker does about idempotent requests after its store lost records."""

    HOLD = "hold"  # rejects them until no earlier idempotency window can be open
    SERVE = "serve"  # takes the risk of running one twice


class LimitController(StrEnum):
    """How the concurrency limit is found."""

    MODULE = "module"  # by the decision module alone
    SEEK = "seek"
    STEPS = "steps"
    GRADIENT = "gradient"
    VEGAS = "vegas"
    AIMD = "aimd"
    FIXED = "fixed"


class BudgetKind(StrEnum):
    """What a budget of the fleet limits."""

    RETRIES = "repeats"
    TENANT = "tenant"
    SERVER = "server"  # runs at once there


class SiteMap(Protocol):
    """Which site an address lies in, by the fleet's description."""

    @property
    def site_names(self) -> Sequence[str]:
        """The names of all sites."""

    def site_of(self, host: str) -> str | None:
        """The site of an IPv4 address, None where the description does not know it."""


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpServer:
    """A server behind, and how long it is waited for."""

    name: str
    address: Address
    secret: str | None
    connect_timeout_ms: int
    reply_timeout_ms: int
    max_idle_connections: int


@dataclass(slots=True, frozen=True)
class AjpRoute:
    """The request class of all requests whose path and method match; no methods: any."""

    uri: str
    methods: frozenset[str]
    request_class: str


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpConfig:
    """The AJP front, and the servers behind it."""

    listen: Address
    secret: str | None
    packet_size: int  # bytes
    max_body: int  # bytes
    max_response: int  # bytes
    max_connections: int
    idle_timeout_s: float
    body_timeout_s: float
    server_backoff_ms: int  # for which a server that is out of reach is tried last
    memory_kb: float  # of one request beside its packet and body
    health_uri: bytes
    tenant_header: bytes
    default_tenant: str | None
    key_header: bytes
    retry_header: bytes
    routes: tuple[AjpRoute, ...]
    servers: tuple[AjpServer, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class StateConfig:
    """What survives the process, and where."""

    folder: str
    must_exist: bool  # a folder without a store is one that is not mounted, not a first start
    max_mb: float
    group_commit_delay_ms: float  # for which a commit waits for further requests
    max_disk_wait_ms: float  # for which an idempotent request waits for the disk
    on_loss: LossPolicy
    max_result_kb: float
    snapshot_interval_s: float  # between two snapshots of the learned state
    snapshot_half_life_s: float  # by which the weight of a restored snapshot halves


@dataclass(slots=True, frozen=True, kw_only=True)
class CaptureConfig:
    """What is recorded of the load, and where."""

    folder: str
    sample_fraction: float  # of the subjects
    max_mb: float  # of all files; the oldest are deleted
    max_file_mb: float
    max_file_age_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class OverloadConfig:
    """What a worker does with what it measures of itself; each part can be switched off by itself."""

    admission: bool = True  # sheds load early while it is too far behind to decide on it
    bulkheads: bool = True  # limits concurrency by completions, and keeps floors for classes
    controller: LimitController = LimitController.MODULE
    min_running: int | None = None  # concurrent runs; by default a quarter of the cores
    max_running: int | None = None  # by default what the cores are said to survive
    low_priority_lane: bool = False  # keeps requests of many times the usual cost to a narrow lane
    retry_budget: bool = False  # keeps callers to a budget of retries while load is shed


@dataclass(slots=True, frozen=True, kw_only=True)
class BudgetConfig:
    """What all workers of a fleet together may use."""

    name: str
    kind: BudgetKind
    subject: str | None  # the tenant or server; None: all servers alike
    amount: int  # in a second; of a server: at once
    lease_s: float
    floor_fraction: float  # of its own leases that a worker which is cut off keeps for floor_lease_s
    floor_lease_s: float
    max_run_s: float  # of one run, where concurrent runs are counted; else 0
    slot_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersConfig:
    """The other workers, and what is shared with them."""

    listen: Address
    advertised_address: Address  # by which others reach this worker
    group: str
    site: str
    secrets: tuple[str, ...]  # the first signs; each of them is accepted
    protocol_period_ms: int
    members: Mapping[str, Address]
    seed_addresses: tuple[Address, ...]
    lease_grantors: tuple[str, ...]
    max_ejected_fraction: float  # of the services
    max_requests_per_s: float  # that one worker can do
    budgets: tuple[BudgetConfig, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class SitesConfig:
    """The sites that the fleet's workers lie in."""

    site: str  # this worker's
    site_map: SiteMap | None  # None: members say themselves where they are
    playbook: "Playbook | None"
    recovery_ramp: bool  # whether a worker that comes back takes its load by stages


@dataclass(slots=True, frozen=True, kw_only=True)
class RecoveryConfig:
    """What others know of the idempotent requests begun here, and how a start is measured."""

    witnesses: tuple[str, ...]
    witness_timeout_ms: float  # for which such a request waits for them
