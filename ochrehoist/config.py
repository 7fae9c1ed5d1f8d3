"""All configuration: read, checked and given defaults here and nowhere else. Messages name the faulty key."""

import ipaddress
import json
import os
import secrets
import socket
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from hashlib import sha256
from pathlib import Path
from typing import Any

from ochrehoist.interface import Settings
from ochrehoist.settings import BadInput, Reader, settings_from

Address = tuple[str, int]
APPLIANCE_FILE = "deploy/ajp.toml"  # where nothing else is named
MAX_LINK = 90  # bytes of a path; a socket's may have 107, and a few are added to it
ON_LOSS = ("hold", "serve")  # refuse filings until no window of before can be open, or take the risk
# By which the running limit is found; `module`: by the decision module alone.
CONTROLLERS = ("module", "seek", "steps", "gradient", "vegas", "aimd", "fixed")
USES = ("repeats", "tenant", "server")  # what a budget of the fleet is for
MIN_PACKET, MAX_PACKET = 8192, 65536  # of AJP/1.3


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
    places: Any  # site by address, of the fleet's description (sites.places.Places); None: as members say
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
    settings: Settings
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


# ---- values


def _address(r: Reader, key: str, loopback: bool = False) -> Address | None:
    if key not in r.data:
        return None
    text = r.text(key)
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) < 65536:
        raise BadInput(f"setting {r.path}{key}: not host:port: {text!r}")
    try:
        if loopback and not ipaddress.IPv4Address(host).is_loopback:
            raise BadInput(f"setting {r.path}{key}: not a loopback address: {text!r}")
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise BadInput(f"setting {r.path}{key}: not an IPv4 address: {text!r}") from None


def _required(r: Reader, key: str, loopback: bool = False) -> Address:
    r.text(key)
    return _address(r, key, loopback)


def _header(r: Reader, key: str, default: str) -> bytes:
    name = r.text(key, default)
    if not name.isascii() or not name.isprintable() or set(name) & set(" :"):
        raise BadInput(f"setting {r.path}{key}: not a header name: {name!r}")
    return name.lower().encode()


def _only(r: Reader, *known: str) -> Reader:
    """A misspelt key would be a default taken unseen."""
    for key in r.data:
        if key not in known:
            raise BadInput(f"setting {r.path}{key}: unknown")
    return r


def _settings(raw: Reader) -> tuple[Settings, tuple[str, ...]]:
    settings = settings_from(raw.data)
    gauges = raw.part("FamilyInfo").items("OwnStats", [])
    if not all(isinstance(g, str) for g in gauges):
        raise BadInput(f"setting settings.FamilyInfo.OwnStats: unusable value {gauges!r}")
    return settings, tuple(gauges)


def _seed(r: Reader) -> int:
    text = r.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise BadInput(f"setting seed: not hexadecimal: {text!r}") from None


# ---- the second front and the appliance


def _rules(r: Reader, settings: Settings) -> tuple[AjpRule, ...]:
    kinds, out = {c.name for c in settings.classes}, []
    for at, data in enumerate(r.items("rules")):
        rule = _only(Reader(data, f"{r.path}rules[{at}]."), "uri", "methods", "class")
        kind, methods = rule.text("class"), rule.items("methods", [])
        if kind not in kinds:
            raise BadInput(f"setting {rule.path}class: unknown class {kind!r}")
        if not all(isinstance(m, str) and m for m in methods):
            raise BadInput(f"setting {rule.path}methods: unusable value {methods!r}")
        uri = rule.text("uri")
        if not uri.startswith("/"):
            raise BadInput(f"setting {rule.path}uri: does not start with /: {uri!r}")
        out.append(AjpRule(uri, frozenset(m.upper() for m in methods), kind))
    return tuple(out)


def _servers(r: Reader) -> tuple[AjpServer, ...]:
    out = []
    for at, data in enumerate(r.items("servers")):
        server = _only(Reader(data, f"{r.path}servers[{at}]."), "name", "address", "secret", "connect_ms",
                       "reply_ms", "max_idle")
        out.append(AjpServer(
            name=server.text("name", None) or server.text("address"),
            address=_required(server, "address", loopback=True),
            secret=server.text("secret", None), connect_ms=server.whole("connect_ms", 500, least=1),
            reply_ms=server.whole("reply_ms", 30_000, least=1), max_idle=server.whole("max_idle", 8)))
    if not out:
        raise BadInput(f"setting {r.path}servers: none named")
    if len({s.name for s in out}) < len(out):
        raise BadInput(f"setting {r.path}servers: two of one name or address")
    return tuple(out)


def _ajp(r: Reader, settings: Settings) -> AjpConfig:
    _only(r, "listen", "secret", "packet_size", "max_body", "max_response", "max_connections", "idle_s",
          "body_s", "retry_ms", "memory_kb", "health_uri", "headers", "default_tenant", "rules", "servers")
    packet = r.whole("packet_size", MIN_PACKET, least=MIN_PACKET)
    if packet > MAX_PACKET:
        raise BadInput(f"setting {r.path}packet_size: over {MAX_PACKET}: {packet}")
    headers = _only(r.part("headers", {}), "tenant", "key", "retry")
    tenant = r.text("default_tenant", None)
    if tenant is not None and tenant not in {t.name for t in settings.tenants}:
        raise BadInput(f"setting {r.path}default_tenant: unknown tenant {tenant!r}")
    return AjpConfig(
        listen=_required(r, "listen", loopback=True), secret=r.text("secret", None), packet_size=packet,
        max_body=r.whole("max_body", 1 << 20), max_response=r.whole("max_response", 1 << 20, least=1),
        max_connections=r.whole("max_connections", 256, least=1), idle_s=r.number("idle_s", 60, least=0.1),
        body_s=r.number("body_s", 10, least=0.05), retry_ms=r.whole("retry_ms", 2000),
        memory_kb=r.number("memory_kb", 24.0), health_uri=r.text("health_uri", "/healthz").encode(),
        tenant_header=_header(headers, "tenant", "X-Tenant"), default_tenant=tenant,
        key_header=_header(headers, "key", "Idempotency-Key"),
        retry_header=_header(headers, "retry", "X-Retry"), rules=_rules(r, settings), servers=_servers(r))


def _toml(path: str, key: str) -> Reader:
    try:
        data = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BadInput(f"setting {key}: {path}: {error}") from None
    top = _only(Reader(data, ""), "name", "stop_ms", "limits", "admin", "ajp", "console", "state",
                "capture", "overload", "peers", "sites", "recovery",
                "settings")
    _only(top.part("limits", {}), "memory_mb", "sockets")
    return top


def _state(top: Reader) -> StateConfig | None:
    if "state" not in top.data:
        return None
    r = _only(top.part("state"), "folder", "must_exist", "max_mb", "commit_ms", "stall_ms", "on_loss",
              "max_result_kb", "learned_every_s", "learned_half_life_s")
    return StateConfig(
        folder=r.text("folder"), must_exist=r.flag("must_exist", False),
        max_mb=r.number("max_mb", 256, least=1), commit_ms=r.number("commit_ms", 0),
        stall_ms=r.number("stall_ms", 250, least=1),
        on_loss=r.choice("on_loss", {word: word for word in ON_LOSS}, "hold"),
        max_result_kb=r.number("max_result_kb", 1024),
        learned_every_s=r.number("learned_every_s", 5, least=0.1),
        learned_half_life_s=r.number("learned_half_life_s", 3600, least=1))


def _capture(top: Reader) -> CaptureConfig | None:
    if "capture" not in top.data:
        return None
    r = _only(top.part("capture"), "folder", "sample", "max_mb", "file_mb", "file_s")
    sample = r.number("sample", 1.0)
    if not 0 < sample <= 1:
        raise BadInput(f"setting {r.path}sample: not above 0 and at most 1: {sample!r}")
    return CaptureConfig(
        folder=r.text("folder"), sample=sample, max_mb=r.number("max_mb", 256, least=1),
        file_mb=r.number("file_mb", 16, least=0.01), file_s=r.number("file_s", 3600, least=1))


def _overload(top: Reader, settings: Settings) -> OverloadConfig | None:
    if "overload" not in top.data:
        return None
    r = _only(top.part("overload"), "admission", "door", "pools", "controller", "least_running",
              "most_running", "lane", "retries")
    admission = "door" if "door" in r.data else "admission"  # as it was called before
    if {"door", "admission"} <= r.data.keys():
        raise BadInput(f"setting {r.path}door: the older name of admission, which is there too")
    survives = int(settings.cores * settings.tip_multiple)
    least, most = (r.whole(key, 0) or None for key in ("least_running", "most_running"))
    if most is not None and most > survives:
        raise BadInput(f"setting {r.path}most_running: over the {survives} that the cores survive: {most}")
    if (least or 1) > (most or survives):
        raise BadInput(f"setting {r.path}least_running: over the most that may run: {least}")
    return OverloadConfig(
        admission=r.flag(admission, True), pools=r.flag("pools", True), least=least, most=most,
        controller=r.choice("controller", {name: name for name in CONTROLLERS}, CONTROLLERS[0]),
        lane=r.flag("lane", False), retries=r.flag("retries", False))


def _operators(top: Reader, settings: Settings) -> dict[str, Any]:
    """What operators of other installations switch on, each by its table."""
    console = _only(top.part("console", {}), "agent_check")
    ajp = _ajp(top.part("ajp"), settings) if "ajp" in top.data else None
    state, fleet = _state(top), {}
    if {"peers", "sites", "recovery"} & top.data.keys():
        from ochrehoist.config_fleet import fleet_tables  # only for those who want a fleet

        fleet = fleet_tables(top, settings, ajp, state)
    return {"ajp": ajp, "agent": _address(console, "agent_check", True), "state": state,
            "capture": _capture(top), "overload": _overload(top, settings)} | fleet


def _common(top: Reader, seed: int) -> dict[str, Any]:
    limits = top.part("limits", {})
    settings, gauges = _settings(top.part("settings"))
    return {"name": top.text("name"), "settings": settings, "gauges": gauges, "seed": seed,
            "stop_ms": top.whole("stop_ms", 3000, least=1),
            "memory_mb": limits.number("memory_mb", 192, least=1),
            "sockets": limits.whole("sockets", 1024, least=64)}


def _keys(data: Mapping[str, Any]) -> frozenset[str]:
    """The keys of a file and of its settings. Deeper ones are judged one by one, where they are read."""
    return frozenset(data) | {f"settings.{key}" for key in data["settings"]}


def _link(name: str, environment: Mapping[str, str]) -> str | None:
    """A path in $TMPDIR, short enough for a socket whatever the worker is called."""
    folder = environment.get("TMPDIR")
    if not folder or not Path(folder).is_dir():
        return None
    path = str(Path(folder, f"ochrehoist-{sha256(name.encode()).hexdigest()[:12]}"))
    return path if len(path) < MAX_LINK else None


def _passed(environment: Mapping[str, str], address: Address) -> int | None:
    """The descriptor named, checked: a TCP socket that listens at the address."""
    text = environment.get("EDGE_PASSED_SOCKET")
    if not text:
        return None
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise BadInput(f"setting EDGE_PASSED_SOCKET: not a descriptor: {text!r}")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as error:
        raise BadInput(f"setting EDGE_PASSED_SOCKET: {text}: {error}") from None
    try:
        listens = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM \
            and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        at = sock.getsockname() if listens else None
    finally:
        sock.detach()
    if not listens or (address[1] and at != address):
        raise BadInput(f"setting EDGE_PASSED_SOCKET: {text}: does not listen at {address[0]}:{address[1]}")
    return int(text)


def load_appliance(path: str, environment: Mapping[str, str]) -> Config:
    """An appliance of its own: AJP in front, AJP servers behind."""
    top = _toml(path, "OCHREHOIST_AJP")
    top.part("ajp")  # its only front
    if environment.get("EDGE_ADMIN"):
        top.data["admin"] = environment["EDGE_ADMIN"]
    common = _common(top, secrets.randbits(64))
    return Config(**common, admin=_address(top, "admin", True), link=_link(common["name"], environment),
                  **_operators(top, common["settings"]))


def load_platform(path: str, environment: Mapping[str, str]) -> Config:
    """The platform's file; EDGE_NAME, EDGE_LISTEN and EDGE_ADMIN go before it.

    AJP is on only where a file is named.
    """
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BadInput(f"setting EDGE_CONFIG: {error}") from None
    top = Reader(data, "")
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_ADMIN", "admin")):
        if environment.get(variable):
            top.data[key] = environment[variable]
    common = _common(top, _seed(top))
    second = environment.get("OCHREHOIST_AJP")
    listen = _required(top, "listen")
    return Config(
        **common, listen=listen, passed=_passed(environment, listen), link=_link(common["name"], environment),
        keys=_keys(data), kernel=_required(top, "kernel"), members=_address(top, "members"),
        admin=_address(top, "admin"),
        **(_operators(_toml(second, "OCHREHOIST_AJP"), common["settings"]) if second else {}))


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> Config:
    """The file named, else the platform's where EDGE_CONFIG names one, else the appliance's."""
    if path and path.endswith(".json"):
        return load_platform(path, environment)
    if not path and environment.get("EDGE_CONFIG"):
        return load_platform(environment["EDGE_CONFIG"], environment)
    return load_appliance(path or environment.get("OCHREHOIST_AJP") or APPLIANCE_FILE, environment)


# ---- a configuration read again while the worker runs

LIVE = frozenset({"kernel", "members", "settings", "gauges", "overload", "peers", "sites"})
FIXED_AJP = frozenset({"listen", "packet_size", "max_response", "max_connections"})  # in use by connections


def _differing(old: Any, new: Any) -> set[str]:
    return {f.name for f in fields(old) if getattr(old, f.name) != getattr(new, f.name)}


def taken_over(old: Config, new: Config) -> tuple[Config, list[str]]:
    """The old configuration with what can change in a running worker, and the keys that differ but can't."""
    for key in sorted(old.keys - new.keys):
        raise BadInput(f"setting {key}: missing")
    old = replace(old, keys=new.keys)
    if None not in (old.peers, new.peers):
        # Majorities of two lists that differ by more need not share a voter.
        if len(set(old.peers.voters) ^ set(new.peers.voters)) > 1:
            raise BadInput("setting peers.voters: change one name at a time, and wait for the longest lease")
        if (old.peers.listen, old.peers.group) != (new.peers.listen, new.peers.group):
            raise BadInput("setting peers.listen, peers.group: need a restart")
    if None not in (old.sites, new.sites) and old.sites.site != new.sites.site:
        raise BadInput("setting sites.site: needs a restart")
    differing = _differing(old, new) - {"seed", "ajp", "link", "passed"}  # used up at the start
    for key in LIVE & differing:  # a part that was not started has nothing to hand the address to
        if None not in (getattr(old, key), getattr(new, key)):
            differing.remove(key)
            old = replace(old, **{key: getattr(new, key)})
    if "state" in differing and None not in (old.state, new.state):
        differing.remove("state")
        differing |= {f"state.{key}" for key in _differing(old.state, new.state)}
    if None in (old.ajp, new.ajp):
        return old, sorted(differing | ({"ajp"} if old.ajp is not new.ajp else set()))
    changed = _differing(old.ajp, new.ajp)
    fixed = changed & FIXED_AJP
    if sum(s.max_idle for s in new.ajp.servers) > sum(s.max_idle for s in old.ajp.servers):
        fixed.add("servers")  # the descriptors for them were set aside at the start
    live = {key: getattr(new.ajp, key) for key in changed - fixed}
    return replace(old, ajp=replace(old.ajp, **live)), sorted(differing | {f"ajp.{key}" for key in fixed})
