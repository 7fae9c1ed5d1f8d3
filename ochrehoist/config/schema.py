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
    connect_ms: int
    reply_ms: int
    max_idle: int


@dataclass(slots=True, frozen=True)
class AjpRule:
    uri: str
    methods: frozenset[str]
    kind: str


@dataclass(slots=True, frozen=True, kw_only=True)
class AjpConfig:
    listen: Address
    secret: str | None
    packet_size: int
    max_body: int
    max_response: int
    max_connections: int
    idle_s: float
    body_s: float
    retry_ms: int
    memory_kb: float
    health_uri: bytes
    tenant_header: bytes
    default_tenant: str | None
    key_header: bytes
    retry_header: bytes
    rules: tuple[AjpRule, ...]
    servers: tuple[AjpServer, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class StateConfig:
    """What survives the process, and where."""

    folder: str
    must_exist: bool  # a folder without a store is one that is not mounted, not a first start
    max_mb: float
    commit_ms: float  # that the first filing of a group waits for more
    stall_ms: float  # that a filing waits for the disk
    on_loss: str
    max_result_kb: float
    learned_every_s: float
    learned_half_life_s: float


@dataclass(slots=True, frozen=True, kw_only=True)
class CaptureConfig:
    """What is recorded of the load, and where."""

    folder: str
    sample: float  # share of subjects
    max_mb: float  # of all files; the oldest go
    file_mb: float  # a new file after so much
    file_s: float  # or so long


@dataclass(slots=True, frozen=True, kw_only=True)
class OverloadConfig:
    """What a worker does with what it measures of itself; each part can be switched off by itself."""

    admission: bool = True  # turns away early what it is too far behind to decide on
    pools: bool = True  # limits what runs, by what completes, and keeps floors for classes
    controller: str = "module"  # how the limit is found; one of CONTROLLERS
    least: int | None = None  # running at once; by default a quarter of the cores
    most: int | None = None  # by default what the cores are said to survive
    lane: bool = False  # keeps what costs many times the usual to a narrow lane
    retries: bool = False  # keeps callers to a budget of repeats while requests are turned away


@dataclass(slots=True, frozen=True, kw_only=True)
class BudgetConfig:
    """What all workers of a fleet together may use. `of`: a tenant or a server; None: all servers alike."""

    name: str
    use: str  # one of USES
    of: str | None
    amount: int  # in a second; of "server": at once
    lease_s: float
    floor: float  # share of its own rights that a worker which is cut off keeps, for
    floor_lease_s: float
    longest_s: float  # of one run, where what runs at once is counted
    parts: int


@dataclass(slots=True, frozen=True, kw_only=True)
class PeersConfig:
    """The other workers, and what is shared with them."""

    listen: Address
    address: Address  # by which others reach it
    group: str
    site: str
    secrets: tuple[str, ...]  # the first signs; any of them is believed
    probe_ms: int
    members: Mapping[str, Address]
    start: tuple[Address, ...]
    voters: tuple[str, ...]
    most_out: float
    most_per_s: float
    budgets: tuple[BudgetConfig, ...]


@dataclass(slots=True, frozen=True, kw_only=True)
class SitesConfig:
    """The sites that the fleet's workers lie in."""

    site: str  # this worker's
    site_map: Any  # a config.site_map.SiteMap, by the fleet's description; None: as members say
    playbook: Any  # sites.playbook.Playbook, or None
    pace: bool  # whether a worker that comes back takes its load by steps


@dataclass(slots=True, frozen=True, kw_only=True)
class RecoveryConfig:
    """What others know of the filings begun here, and how a start is measured."""

    witnesses: tuple[str, ...]
    wait_ms: float  # that a filing waits for them


@dataclass(slots=True, frozen=True, kw_only=True)
class Config:
    name: str
    settings: AdmissionSettings
    gauges: tuple[str, ...]
    seed: int
    stop_ms: int
    memory_mb: float
    sockets: int
    listen: Address | None = None  # the platform's front
    kernel: Address | None = None
    members: Address | None = None
    ajp: AjpConfig | None = None
    admin: Address | None = None  # where operators call
    agent: Address | None = None
    state: StateConfig | None = None
    capture: CaptureConfig | None = None
    overload: OverloadConfig | None = None
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None
    passed: int | None = None  # a descriptor that listens at `listen`, kept by the platform
    link: str | None = None  # where the process that replaces this one finds it
    keys: frozenset[str] = frozenset()  # of the platform's file: one that is read again must have them all
    version: str = field(default="", compare=False)  # short hash of the content read
    tenants_at: Mapping[str, int] = field(default_factory=dict, compare=False, repr=False)  # places by name
    source: Source | None = field(default=None, compare=False, repr=False)  # None: of a short text
