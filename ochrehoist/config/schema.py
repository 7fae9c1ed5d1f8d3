"""What a configuration consists of, once it is read and checked."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.source import Source

Address = tuple[str, int]
ON_LOSS = ("hold", "serve")  # refuse filings until no window of before can be open, or take the risk
# By which the running limit is found; `module`: by the decision module alone.
CONTROLLERS = ("module", "seek", "steps", "gradient", "vegas", "aimd", "fixed")
USES = ("repeats", "tenant", "server")  # what a budget of the fleet is for


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpServer:
    name: str
    address: Address
    secret: str | None
    connect_timeout_ms: int
    reply_timeout_ms: int
    max_idle_connections: int


@dataclass(slots=True, frozen=True)
class AjpRoute:
    uri: str
    methods: frozenset[str]
    request_class: str


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpConfig:
    listen: Address
    secret: str | None
    packet_size: int
    max_body: int
    max_response: int
    max_connections: int
    idle_timeout_s: float
    body_timeout_s: float
    server_backoff_ms: int
    memory_kb: float
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
    group_commit_delay_ms: float  # that the first filing of a group waits for more
    max_disk_wait_ms: float  # that a filing waits for the disk
    on_loss: str
    max_result_kb: float
    snapshot_interval_s: float
    snapshot_half_life_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class CaptureConfig:
    """What is recorded of the load, and where."""

    folder: str
    sample_fraction: float  # share of subjects
    max_mb: float  # of all files; the oldest go
    max_file_mb: float  # a new file after so much
    max_file_age_s: float  # or so long


@dataclass(slots=True, frozen=True, kw_only=True)
class OverloadConfig:
    """What a worker does with what it measures of itself; each part can be switched off by itself."""

    admission: bool = True  # turns away early what it is too far behind to decide on
    bulkheads: bool = True  # limits what runs, by what completes, and keeps floors for classes
    controller: str = "module"  # how the limit is found; one of CONTROLLERS
    min_running: int | None = None  # running at once; by default a quarter of the cores
    max_running: int | None = None  # by default what the cores are said to survive
    low_priority_lane: bool = False  # keeps what costs many times the usual to a narrow lane
    retry_budget: bool = False  # keeps callers to a budget of repeats while requests are turned away


@dataclass(slots=True, frozen=True, kw_only=True)
class BudgetConfig:
    """What all workers of a fleet together may use. `of`: a tenant or a server; None: all servers alike."""

    name: str
    kind: str  # one of USES
    subject: str | None
    amount: int  # in a second; of "server": at once
    lease_s: float
    floor_fraction: float  # share of its own rights that a worker which is cut off keeps, for
    floor_lease_s: float
    max_run_s: float  # of one run, where what runs at once is counted
    slot_count: int


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersConfig:
    """The other workers, and what is shared with them."""

    listen: Address
    advertised_address: Address  # by which others reach it
    group: str
    site: str
    secrets: tuple[str, ...]  # the first signs; any of them is believed
    protocol_period_ms: int
    members: Mapping[str, Address]
    seed_addresses: tuple[Address, ...]
    lease_grantors: tuple[str, ...]
    max_ejected_fraction: float
    max_requests_per_s: float
    budgets: tuple[BudgetConfig, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class SitesConfig:
    """The sites that the fleet's workers lie in."""

    site: str  # this worker's
    site_map: Any  # site by address, of the fleet's description (sites.places.Places); None: as members say
    playbook: Any  # sites.playbook.Playbook, or None
    recovery_ramp: bool  # whether a worker that comes back takes its load by steps


@dataclass(slots=True, frozen=True, kw_only=True)
class RecoveryConfig:
    """What others know of the filings begun here, and how a start is measured."""

    witnesses: tuple[str, ...]
    witness_timeout_ms: float  # that a filing waits for them


@dataclass(slots=True, frozen=True, kw_only=True)
class Config:
    name: str
    settings: AdmissionSettings
    gauges: tuple[str, ...]
    seed: int
    shutdown_timeout_ms: int
    memory_mb: float
    max_sockets: int
    listen: Address | None = None  # the platform's front
    kernel_address: Address | None = None
    membership_address: Address | None = None
    ajp: AjpConfig | None = None
    admin_address: Address | None = None  # where operators call
    agent_check_address: Address | None = None
    state: StateConfig | None = None
    capture: CaptureConfig | None = None
    overload: OverloadConfig | None = None
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None
    inherited_fd: int | None = None  # a descriptor that listens at `listen`, kept by the platform
    handover_path: str | None = None  # where the process that replaces this one finds it
    platform_keys: frozenset[str] = (
        frozenset()
    )  # of the platform's file: one that is read again must have them all
    version: str = field(default="", compare=False)  # short hash of the content read
    tenant_positions: Mapping[str, int] = field(
        default_factory=dict, compare=False, repr=False
    )  # places by name
    source: Source | None = field(default=None, compare=False, repr=False)  # None: of a short text
