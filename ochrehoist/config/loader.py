"""All configuration: read, checked and given defaults here and nowhere else. Messages name the faulty key."""

import os
import re
import secrets
import socket
from collections.abc import Generator, Mapping, Sequence
from dataclasses import fields, replace
from hashlib import sha256
from operator import is_
from pathlib import Path
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config import json_reader
from ochrehoist.config.schema import (
    CONTROLLERS,
    ON_LOSS,
    Address,
    AjpConfig,
    AjpRoute,
    AjpServer,
    CaptureConfig,
    Config,
    OverloadConfig,
    StateConfig,
)
from ochrehoist.config.settings import Reader, Tenants, at_once, settings_in_steps, spliced_in_steps
from ochrehoist.config.source import Kept, Reading, Source, Text, joined, text_in_steps
from ochrehoist.config.values import address, header, only, required
from ochrehoist.errors import InvalidInputError

Steps = Generator[None, None, Any]

APPLIANCE_FILE = "deploy/ajp.toml"  # where nothing else is named
MAX_LINK = 90  # bytes of a path; a socket's may have 107, and a few are added to it
MIN_PACKET, MAX_PACKET = 8192, 65536  # of AJP/1.3


STEP = 500  # rules looked at in one step
FEW = 50  # servers, made in one step
TENANTS, RULES = ("settings", "Tenants"), ("ajp", "rules")


def _seed(r: Reader) -> int:
    text = r.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidInputError(f"setting seed: not hexadecimal: {text!r}") from None


# ---- the second front and the appliance


class _Rules:
    """Makes the elements of `ajp.rules`; one that is as before comes back as the same object."""

    def __init__(self, before: tuple[AjpRoute, ...]) -> None:
        self.before, self.methods = before, {}
        self.known: dict[str, int] = {}  # places; such a dict is nothing to the collector

    def know_in_steps(self) -> Steps:
        for at, rule in enumerate(self.before):
            some = self.methods.setdefault(rule.methods, rule.methods)  # few sets for many rules
            self.known[self._key(rule.uri, some, rule.request_class)] = at
            if not (at + 1) % STEP:
                yield

    def take(self, data: Any, into: list[Any]) -> None:
        """Adds the rule, its class not yet looked up, or the data where they can't be used."""
        try:
            into.append(self._checked(data, "", None))
        except InvalidInputError:
            into.append(data)

    def _checked(self, data: Any, path: str, kinds: Mapping[str, str] | None) -> AjpRoute:
        """Raises InvalidInputError, which names the key after `path`. `kinds`: names of classes; None: any
        will do.
        """
        rule = only(Reader(data, path), "uri", "methods", "class")
        kind, methods = rule.text("class"), rule.items("methods", [])
        if kinds is not None and kind not in kinds:
            raise InvalidInputError(f"setting {rule.path}class: unknown class {kind!r}")
        if not all(isinstance(m, str) and m for m in methods):
            raise InvalidInputError(f"setting {rule.path}methods: unusable value {methods!r}")
        uri = rule.text("uri")
        if not uri.startswith("/"):
            raise InvalidInputError(f"setting {rule.path}uri: does not start with /: {uri!r}")
        some = frozenset(m.upper() for m in methods)
        some = self.methods.setdefault(some, some)
        at = self.known.get(self._key(uri, some, kind))
        return AjpRoute(uri, some, kind) if at is None else self.before[at]

    @staticmethod
    def _key(uri: str, methods: frozenset[str], kind: str) -> str:
        return f"{id(methods)} {len(uri)} {uri}{kind}"

    def all_in_steps(
        self, r: Reader, settings: AdmissionSettings
    ) -> Generator[None, None, tuple[AjpRoute, ...]]:
        """All of them. Raises InvalidInputError."""
        kinds, out = {c.name: c.name for c in settings.classes}, []
        for item in r.items("rules"):
            for rule in self.before[item.start : item.stop] if type(item) is range else (item,):
                if type(rule) is not AjpRoute:
                    rule = self._checked(rule, f"{r.path}rules[{len(out)}].", kinds)
                elif rule.request_class not in kinds:
                    raise InvalidInputError(
                        f"setting {r.path}rules[{len(out)}].class: unknown class {rule.request_class!r}"
                    )
                out.append(rule)
                if not len(out) % STEP:
                    yield
        same = len(out) == len(self.before) and all(map(is_, out, self.before))
        return self.before if same else (yield from spliced_in_steps([out], ()))


def _servers(r: Reader) -> Generator[None, None, tuple[AjpServer, ...]]:
    out = []
    for at, data in enumerate(r.items("servers")):
        server = only(
            Reader(data, f"{r.path}servers[{at}]."),
            "name",
            "address",
            "secret",
            "connect_ms",
            "reply_ms",
            "max_idle",
        )
        out.append(
            AjpServer(
                name=server.text("name", None) or server.text("address"),
                address=required(server, "address", loopback=True),
                secret=server.text("secret", None),
                connect_timeout_ms=server.whole("connect_ms", 500, least=1),
                reply_timeout_ms=server.whole("reply_ms", 30_000, least=1),
                max_idle_connections=server.whole("max_idle", 8),
            )
        )
        if not len(out) % FEW:
            yield
    if not out:
        raise InvalidInputError(f"setting {r.path}servers: none named")
    if len({s.name for s in out}) < len(out):
        raise InvalidInputError(f"setting {r.path}servers: two of one name or address")
    return tuple(out)


def _ajp(
    r: Reader, settings: AdmissionSettings, places: Mapping[str, int], rules: _Rules
) -> Generator[None, None, AjpConfig]:
    only(
        r,
        "listen",
        "secret",
        "packet_size",
        "max_body",
        "max_response",
        "max_connections",
        "idle_s",
        "body_s",
        "retry_ms",
        "memory_kb",
        "health_uri",
        "headers",
        "default_tenant",
        "rules",
        "servers",
    )
    packet = r.whole("packet_size", MIN_PACKET, least=MIN_PACKET)
    if packet > MAX_PACKET:
        raise InvalidInputError(f"setting {r.path}packet_size: over {MAX_PACKET}: {packet}")
    headers = only(r.part("headers", {}), "tenant", "key", "retry")
    tenant = r.text("default_tenant", None)
    if tenant is not None and tenant not in places:
        raise InvalidInputError(f"setting {r.path}default_tenant: unknown tenant {tenant!r}")
    return AjpConfig(
        listen=required(r, "listen", loopback=True),
        secret=r.text("secret", None),
        packet_size=packet,
        max_body=r.whole("max_body", 1 << 20),
        max_response=r.whole("max_response", 1 << 20, least=1),
        max_connections=r.whole("max_connections", 256, least=1),
        idle_timeout_s=r.number("idle_s", 60, least=0.1),
        body_timeout_s=r.number("body_s", 10, least=0.05),
        server_backoff_ms=r.whole("retry_ms", 2000),
        memory_kb=r.number("memory_kb", 24.0),
        health_uri=r.text("health_uri", "/healthz").encode(),
        tenant_header=header(headers, "tenant", "X-Tenant"),
        default_tenant=tenant,
        key_header=header(headers, "key", "Idempotency-Key"),
        retry_header=header(headers, "retry", "X-Retry"),
        routes=(yield from rules.all_in_steps(r, settings)),
        servers=(yield from _servers(r)),
    )


def _toml(path: str, key: str, rules: _Rules, tenants: Tenants, before: Source | None) -> Steps:
    """The file's data, its source, what its lines are, and the digest of its text."""
    yield from rules.know_in_steps()
    try:
        text = yield from text_in_steps(path)
        if text.size <= json_reader.WHOLE:
            import tomli  # for those who have such a file

            read = Reading(tomli.loads(text.whole()))
        else:
            from ochrehoist.config import toml_reader  # for those who have a large one

            read = yield from toml_reader.read_in_steps(
                text, {TENANTS: tenants.take, RULES: rules.take}, before
            )
    except RecursionError:
        raise InvalidInputError(f"setting {key}: {path}: nested too deeply") from None
    except (OSError, ValueError) as error:
        raise InvalidInputError(f"setting {key}: {path}: {error}") from None
    top = only(
        Reader(read.data, ""),
        "name",
        "stop_ms",
        "limits",
        "admin",
        "ajp",
        "console",
        "state",
        "capture",
        "overload",
        "peers",
        "sites",
        "recovery",
        "settings",
    )
    only(top.part("limits", {}), "memory_mb", "sockets")
    return top, read, text.digest


def _state(top: Reader) -> StateConfig | None:
    if "state" not in top.data:
        return None
    r = only(
        top.part("state"),
        "folder",
        "must_exist",
        "max_mb",
        "commit_ms",
        "stall_ms",
        "on_loss",
        "max_result_kb",
        "learned_every_s",
        "learned_half_life_s",
    )
    return StateConfig(
        folder=r.text("folder"),
        must_exist=r.flag("must_exist", False),
        max_mb=r.number("max_mb", 256, least=1),
        group_commit_delay_ms=r.number("commit_ms", 0),
        max_disk_wait_ms=r.number("stall_ms", 250, least=1),
        on_loss=r.choice("on_loss", {word: word for word in ON_LOSS}, "hold"),
        max_result_kb=r.number("max_result_kb", 1024),
        snapshot_interval_s=r.number("learned_every_s", 5, least=0.1),
        snapshot_half_life_s=r.number("learned_half_life_s", 3600, least=1),
    )


def _capture(top: Reader) -> CaptureConfig | None:
    if "capture" not in top.data:
        return None
    r = only(top.part("capture"), "folder", "sample", "max_mb", "file_mb", "file_s")
    sample = r.number("sample", 1.0)
    if not 0 < sample <= 1:
        raise InvalidInputError(f"setting {r.path}sample: not above 0 and at most 1: {sample!r}")
    return CaptureConfig(
        folder=r.text("folder"),
        sample_fraction=sample,
        max_mb=r.number("max_mb", 256, least=1),
        max_file_mb=r.number("file_mb", 16, least=0.01),
        max_file_age_s=r.number("file_s", 3600, least=1),
    )


def _overload(top: Reader, settings: AdmissionSettings) -> OverloadConfig | None:
    if "overload" not in top.data:
        return None
    r = only(
        top.part("overload"),
        "admission",
        "door",
        "pools",
        "controller",
        "least_running",
        "most_running",
        "lane",
        "retries",
    )
    admission = "door" if "door" in r.data else "admission"  # as it was called before
    if {"door", "admission"} <= r.data.keys():
        raise InvalidInputError(f"setting {r.path}door: the older name of admission, which is there too")
    survives = int(settings.cores * settings.collapse_multiple)
    least, most = (r.whole(key, 0) or None for key in ("least_running", "most_running"))
    if most is not None and most > survives:
        raise InvalidInputError(
            f"setting {r.path}most_running: over the {survives} that the cores survive: {most}"
        )
    if (least or 1) > (most or survives):
        raise InvalidInputError(f"setting {r.path}least_running: over the most that may run: {least}")
    return OverloadConfig(
        admission=r.flag(admission, True),
        bulkheads=r.flag("pools", True),
        min_running=least,
        max_running=most,
        controller=r.choice("controller", {name: name for name in CONTROLLERS}, CONTROLLERS[0]),
        low_priority_lane=r.flag("lane", False),
        retry_budget=r.flag("retries", False),
    )


def _operators(top: Reader, settings: AdmissionSettings, places: Mapping[str, int], rules: _Rules) -> Steps:
    """What operators of other installations switch on, each by its table."""
    console = only(top.part("console", {}), "agent_check")
    ajp = (yield from _ajp(top.part("ajp"), settings, places, rules)) if "ajp" in top.data else None
    state, fleet = _state(top), {}
    if {"peers", "sites", "recovery"} & top.data.keys():
        from ochrehoist.config.fleet import fleet_tables  # only for those who want a fleet

        fleet = yield from fleet_tables(top, settings, places, ajp, state)
    return {
        "ajp": ajp,
        "agent_check_address": address(console, "agent_check", True),
        "state": state,
        "capture": _capture(top),
        "overload": _overload(top, settings),
    } | fleet


def _common(top: Reader, seed: int, tenants: Tenants) -> Steps:
    limits, raw = top.part("limits", {}), top.part("settings")
    settings, places = yield from settings_in_steps(raw.data, tenants)
    gauges = raw.part("FamilyInfo").items("OwnStats", [])
    if not all(isinstance(g, str) for g in gauges):
        raise InvalidInputError(f"setting settings.FamilyInfo.OwnStats: unusable value {gauges!r}")
    return {
        "name": top.text("name"),
        "settings": settings,
        "gauges": tuple(gauges),
        "seed": seed,
        "shutdown_timeout_ms": top.whole("stop_ms", 3000, least=1),
        "memory_mb": limits.number("memory_mb", 192, least=1),
        "max_sockets": limits.whole("sockets", 1024, least=64),
        "tenant_positions": places,
    }


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
        raise InvalidInputError(f"setting EDGE_PASSED_SOCKET: not a descriptor: {text!r}")
    try:
        sock = socket.socket(fileno=int(text))
    except OSError as error:
        raise InvalidInputError(f"setting EDGE_PASSED_SOCKET: {text}: {error}") from None
    try:
        listens = (
            sock.family == socket.AF_INET
            and sock.type == socket.SOCK_STREAM
            and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        )
        at = sock.getsockname() if listens else None
    finally:
        sock.detach()
    if not listens or (address[1] and at != address):
        raise InvalidInputError(
            f"setting EDGE_PASSED_SOCKET: {text}: does not listen at {address[0]}:{address[1]}"
        )
    return int(text)


def _json(text: Text, tenants: Tenants, before: Source | None) -> Steps:
    if before is not None and before.digest == text.digest:
        return joined(before.rest, {TENANTS: [range(len(before.kept[TENANTS].elements))]})
    whole = text.whole()
    if text.size > json_reader.WHOLE:
        yield
    text.parts.clear()
    return (yield from json_reader.read_in_steps(whole, {TENANTS: tenants.take}))


def _json_source(data: dict[str, Any], text: Text, settings: AdmissionSettings) -> Source | None:
    if text.size <= json_reader.WHOLE or "Tenants" not in data["settings"]:
        return None
    return Source(text.digest, joined(data, {TENANTS: []}), b"", {TENANTS: Kept(settings.tenants)})


def _version(*digests: bytes) -> str:
    return sha256(b"".join(digests)).hexdigest()[:12]


def _placed(error: InvalidInputError, lines: Mapping[tuple[str, ...], Sequence[int]]) -> InvalidInputError:
    """With the lines of the elements that the error names."""
    named = re.match(r"setting (?:(ajp\.rules)|Tenants)\[(\d+)\]", str(error))
    at = lines.get(RULES if named and named[1] else TENANTS)
    if not named or at is None:
        return error
    other = f", and in line {at[error.first]}" if error.first is not None else ""
    return InvalidInputError(f"{error} (in the table of line {at[int(named[2])]}{other})")


def _appliance(path: str, environment: Mapping[str, str], before: Config | None) -> Steps:
    """An appliance of its own: AJP in front, AJP servers behind."""
    tenants, rules = _known(before)
    top, read, digest = yield from _toml(path, "OCHREHOIST_AJP", rules, tenants, before and before.source)
    top.part("ajp")  # its only front
    if environment.get("EDGE_ADMIN"):
        top.data["admin"] = environment["EDGE_ADMIN"]
    try:
        common = yield from _common(top, secrets.randbits(64), tenants)
        tables = yield from _operators(top, common["settings"], common["tenant_positions"], rules)
    except InvalidInputError as error:
        raise _placed(error, read.lines) from None
    source = read.source(digest, {TENANTS: common["settings"].tenants, RULES: tables["ajp"].routes})
    return Config(
        **common,
        admin_address=address(top, "admin", True),
        handover_path=_link(common["name"], environment),
        version=_version(digest),
        source=source,
        **tables,
    )


def _known(before: Config | None) -> tuple[Tenants, _Rules]:
    """What makes tenants and rules; those of the Config in force are known."""
    if before is None:
        return Tenants(), _Rules(())
    kept = before.source.kept if before.source is not None else {}
    tenants = kept[TENANTS].elements if TENANTS in kept else before.settings.tenants
    rules = kept[RULES].elements if RULES in kept else before.ajp.routes if before.ajp else ()
    return Tenants(tenants, before.tenant_positions), _Rules(rules)


def _platform(path: str, environment: Mapping[str, str], before: Config | None) -> Steps:
    """The platform's file; EDGE_NAME, EDGE_LISTEN and EDGE_ADMIN go before it.

    AJP is on only where a file is named.
    """
    tenants, rules = _known(before)
    try:
        text = yield from text_in_steps(path)
        data = yield from _json(text, tenants, before and before.source)
    except (OSError, ValueError) as error:
        raise InvalidInputError(f"setting EDGE_CONFIG: {error}") from None
    top = Reader(dict(data) if isinstance(data, dict) else data, "")
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen"), ("EDGE_ADMIN", "admin")):
        if environment.get(variable):
            top.data[key] = environment[variable]
    common = yield from _common(top, _seed(top), tenants)
    listen, second = required(top, "listen"), environment.get("OCHREHOIST_AJP")
    out = Config(
        **common,
        listen=listen,
        inherited_fd=_passed(environment, listen),
        handover_path=_link(common["name"], environment),
        platform_keys=_keys(data),
        kernel_address=required(top, "kernel"),
        membership_address=address(top, "members"),
        admin_address=address(top, "admin"),
        version=_version(text.digest),
        source=_json_source(data, text, common["settings"]),
    )
    if not second:
        return out
    appliance, read, digest = yield from _toml(second, "OCHREHOIST_AJP", rules, Tenants(), None)
    try:
        tables = yield from _operators(appliance, out.settings, out.tenant_positions, rules)
    except InvalidInputError as error:
        raise _placed(error, read.lines) from None
    return replace(out, version=_version(text.digest, digest), **tables)


def load_in_steps(
    path: str | None = None, environment: Mapping[str, str] = os.environ, before: Config | None = None
) -> Generator[None, None, Config]:
    """The file named, else the platform's where EDGE_CONFIG names one, else the appliance's.

    A generator that returns the Config: each step is short, so that others get a turn. `before` is the Config
    in force: its tenants and rules that did not change come back as the same objects, and where all are the
    same, as the same tuple. Raises InvalidInputError, which names key and place.
    """
    if path and path.endswith(".json"):
        return (yield from _platform(path, environment, before))
    if not path and environment.get("EDGE_CONFIG"):
        return (yield from _platform(environment["EDGE_CONFIG"], environment, before))
    path = path or environment.get("OCHREHOIST_AJP") or APPLIANCE_FILE
    return (yield from _appliance(path, environment, before))


def load(path: str | None = None, environment: Mapping[str, str] = os.environ) -> Config:
    """As load_in_steps(), without a pause."""
    return at_once(load_in_steps(path, environment))


def load_appliance(path: str, environment: Mapping[str, str]) -> Config:
    """An appliance of its own: AJP in front, AJP servers behind."""
    return at_once(_appliance(path, environment, None))


# ---- a configuration read again while the worker runs

LIVE = frozenset({"kernel_address", "membership_address", "settings", "gauges", "overload", "peers", "sites"})
FIXED_AJP = frozenset({"listen", "packet_size", "max_response", "max_connections"})  # in use by connections
# What the log and `ochrehoist check` call a field: by field name, where the two differ.
WRITTEN_KEYS = {
    "kernel_address": "kernel",
    "membership_address": "members",
    "admin_address": "admin",
    "agent_check_address": "agent",
    "shutdown_timeout_ms": "stop_ms",
    "max_sockets": "sockets",
}
WRITTEN_STATE_KEYS = {
    "group_commit_delay_ms": "commit_ms",
    "max_disk_wait_ms": "stall_ms",
    "snapshot_interval_s": "learned_every_s",
    "snapshot_half_life_s": "learned_half_life_s",
}
WRITTEN_AJP_KEYS = {
    "idle_timeout_s": "idle_s",
    "body_timeout_s": "body_s",
    "server_backoff_ms": "retry_ms",
    "routes": "rules",
}


def _written(names: set[str], table: Mapping[str, str]) -> set[str]:
    return {table.get(name, name) for name in names}


def _differing(old: Any, new: Any) -> set[str]:
    return {f.name for f in fields(old) if f.compare and getattr(old, f.name) != getattr(new, f.name)}


def taken_over(old: Config, new: Config) -> tuple[Config, list[str]]:
    """The old configuration with what can change in a running worker, and the keys that differ but can't."""
    for key in sorted(old.platform_keys - new.platform_keys):
        raise InvalidInputError(f"setting {key}: missing")
    old = replace(
        old,
        platform_keys=new.platform_keys,
        version=new.version,
        tenant_positions=new.tenant_positions,
        source=new.source,
    )
    if None not in (old.peers, new.peers):
        # Majorities of two lists that differ by more need not share a voter.
        if len(set(old.peers.lease_grantors) ^ set(new.peers.lease_grantors)) > 1:
            raise InvalidInputError(
                "setting peers.voters: change one name at a time, and wait for the longest lease"
            )
        if (old.peers.listen, old.peers.group) != (new.peers.listen, new.peers.group):
            raise InvalidInputError("setting peers.listen, peers.group: need a restart")
    if None not in (old.sites, new.sites) and old.sites.site != new.sites.site:
        raise InvalidInputError("setting sites.site: needs a restart")
    differing = _differing(old, new) - {
        "seed",
        "ajp",
        "handover_path",
        "inherited_fd",
    }  # used up at the start
    for key in LIVE & differing:  # a part that was not started has nothing to hand the address to
        if None not in (getattr(old, key), getattr(new, key)):
            differing.remove(key)
            old = replace(old, **{key: getattr(new, key)})
    if "state" in differing and None not in (old.state, new.state):
        differing.remove("state")
        state_keys = _written(_differing(old.state, new.state), WRITTEN_STATE_KEYS)
        differing |= {f"state.{key}" for key in state_keys}
    differing = _written(differing, WRITTEN_KEYS)
    if None in (old.ajp, new.ajp):
        return old, sorted(differing | ({"ajp"} if old.ajp is not new.ajp else set()))
    changed = _differing(old.ajp, new.ajp)
    fixed = changed & FIXED_AJP
    if sum(s.max_idle_connections for s in new.ajp.servers) > sum(
        s.max_idle_connections for s in old.ajp.servers
    ):
        fixed.add("servers")  # the descriptors for them were set aside at the start
    live = {key: getattr(new.ajp, key) for key in changed - fixed}
    return replace(old, ajp=replace(old.ajp, **live)), sorted(
        differing | {f"ajp.{key}" for key in _written(fixed, WRITTEN_AJP_KEYS)}
    )
