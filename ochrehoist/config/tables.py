"""Types of the optional tables, among them the AJP front, the store, peers and sites."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

from ochrehoist.config.values import Address

if TYPE_CHECKING:  # imported at run time only by workers that have a playbook
    from ochrehoist.sites.playbook import Playbook


class LossPolicy(StrEnum):
    """A worker's treatment of idempotent requests after its store lost records."""

    HOLD = "hold"  # rejects them until no earlier idempotency window can be open
    SERVE = "serve"  # accepts them, at the risk of running one twice


class LimitController(StrEnum):
    """The algorithm that determines the concurrency limit."""

    MODULE = "module"  # the decision module alone sets the limit
    SEEK = "seek"
    STEPS = "steps"
    GRADIENT = "gradient"
    VEGAS = "vegas"
    AIMD = "aimd"
    FIXED = "fixed"


class BudgetKind(StrEnum):
    """The resource that a fleet-wide budget limits."""

    RETRIES = "repeats"
    TENANT = "tenant"
    SERVER = "server"  # concurrent runs on one server


class SiteMap(Protocol):
    """Map from addresses to the sites of a fleet description."""

    @property
    def site_names(self) -> Sequence[str]:
        """The names of all sites."""

    def site_of(self, host: str) -> str | None:
        """Returns the site of an IPv4 address, or None if it is in no site."""


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpServer:
    """A backend server and its time-outs."""

    name: str
    address: Address
    secret: str | None
    connect_timeout_ms: int
    reply_timeout_ms: int
    max_idle_connections: int


@dataclass(slots=True, frozen=True)
class AjpRoute:
    """A rule that assigns a request class by path and method; no methods match any method."""

    uri: str
    methods: frozenset[str]
    request_class: str


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpConfig:
    """The AJP front and its backend servers."""

    listen: Address
    secret: str | None
    packet_size: int  # bytes
    max_body: int  # bytes
    max_response: int  # bytes
    max_connections: int
    idle_timeout_s: float
    body_timeout_s: float
    server_backoff_ms: int  # an unreachable server is tried last during this time
    memory_kb: float  # memory of one request in addition to its packet and body
    health_uri: bytes
    tenant_header: bytes
    default_tenant: str | None
    key_header: bytes
    retry_header: bytes
    routes: tuple[AjpRoute, ...]
    servers: tuple[AjpServer, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class StateConfig:
    """The store of state that survives the process."""

    folder: str
    must_exist: bool  # a missing store means an unmounted folder, not a first start
    max_mb: float
    group_commit_delay_ms: float  # time that a commit waits for further requests
    max_disk_wait_ms: float  # maximum time that an idempotent request waits for the disk
    on_loss: LossPolicy
    max_result_kb: float
    snapshot_interval_s: float  # interval between snapshots of the learned state
    snapshot_half_life_s: float  # age at which the weight of a restored snapshot is halved


@dataclass(slots=True, frozen=True, kw_only=True)
class CaptureConfig:
    """The recording of load for later analysis."""

    folder: str
    sample_fraction: float  # fraction of subjects whose requests are recorded
    max_mb: float  # total size of all files; the oldest are deleted beyond it
    max_file_mb: float
    max_file_age_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class OverloadConfig:
    """Overload protection based on the worker's own measurements; each part can be disabled separately."""

    admission: bool = True  # sheds load early while the backlog of decisions is too long
    bulkheads: bool = True  # limits concurrency by completions; guarantees each class a minimum
    controller: LimitController = LimitController.MODULE
    min_running: int | None = None  # concurrent runs; None: a quarter of the number of cores
    max_running: int | None = None  # concurrent runs; None: collapse multiple times cores
    low_priority_lane: bool = False  # confines unusually expensive requests to a few slots
    retry_budget: bool = False  # limits the retries of callers during load shedding


@dataclass(slots=True, frozen=True, kw_only=True)
class BudgetConfig:
    """A limit that all workers of a fleet share."""

    name: str
    kind: BudgetKind
    subject: str | None  # name of the tenant or server; None: retries to all servers
    amount: int  # per second; concurrent runs for a server
    lease_s: float
    floor_fraction: float  # part of its leases that an isolated worker keeps for floor_lease_s
    floor_lease_s: float
    max_run_s: float  # maximum duration of one run, for budgets of servers; else 0
    slot_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersConfig:
    """Communication with the other workers of the fleet, and the budgets shared with them."""

    listen: Address
    advertised_address: Address  # address at which peers reach this worker
    group: str
    site: str
    secrets: tuple[str, ...]  # messages are signed with the first; all are accepted for verification
    protocol_period_ms: int
    members: Mapping[str, Address]
    seed_addresses: tuple[Address, ...]
    lease_grantors: tuple[str, ...]
    max_ejected_fraction: float  # fraction of the services that may be ejected
    max_requests_per_s: float  # capacity of one worker
    budgets: tuple[BudgetConfig, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class SitesConfig:
    """The sites of the fleet, and their recovery."""

    site: str  # name of this worker's site
    site_map: SiteMap | None  # None: members announce their own sites
    playbook: "Playbook | None"
    recovery_ramp: bool  # load returns in stages after an outage


@dataclass(slots=True, frozen=True, kw_only=True)
class RecoveryConfig:
    """Replication of started idempotent requests to witness workers, and measurement of the start-up."""

    witnesses: tuple[str, ...]
    witness_timeout_ms: float  # maximum time that an idempotent request waits for the witnesses
