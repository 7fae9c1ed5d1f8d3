"""Compares a reloaded configuration with the active one and merges what can change at run time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields, replace
from typing import TYPE_CHECKING, Any

from ochrehoist.config.schema import Config
from ochrehoist.errors import InvalidInputError

if TYPE_CHECKING:
    from ochrehoist.config.tables import AjpConfig, PeersConfig

RELOADABLE_FIELDS = frozenset(
    {"kernel_address", "membership_address", "settings", "gauges", "overload", "peers", "sites"}
)
STARTUP_FIELDS = frozenset({"seed", "handover_path", "inherited_fd"})
# Open connections depend on the values of these fields.
FIXED_AJP_FIELDS = frozenset({"listen", "packet_size", "max_response", "max_connections"})
# Majorities of the old and the new list overlap only if the lists differ by at most this many grantors.
MAX_GRANTORS_CHANGED = 1

# Keys in the configuration file, by field, where the two differ: reports of required restarts name the keys.
CONFIG_KEYS = {
    "kernel_address": "kernel",
    "membership_address": "members",
    "admin_address": "admin",
    "agent_check_address": "agent",
    "shutdown_timeout_ms": "stop_ms",
    "max_sockets": "sockets",
}
STATE_KEYS = {
    "group_commit_delay_ms": "commit_ms",
    "max_disk_wait_ms": "stall_ms",
    "snapshot_interval_s": "learned_every_s",
    "snapshot_half_life_s": "learned_half_life_s",
}
AJP_KEYS = {
    "idle_timeout_s": "idle_s",
    "body_timeout_s": "body_s",
    "server_backoff_ms": "retry_ms",
    "routes": "rules",
}
LISTEN_AND_GROUP = "peers.listen, peers.group"


@dataclass(slots=True, frozen=True)
class MergedConfig:
    """The configuration to apply, and the sorted keys whose changes need a restart."""

    config: Config
    restart_keys: list[str]


def merged(current: Config, loaded: Config) -> MergedConfig:
    """Returns the active configuration with every change of `loaded` that can be applied at run time.

    Raises InvalidInputError if a change is forbidden, or if the platform's file lacks a key that it had.
    """
    _require_platform_keys(current, loaded)
    _require_same_group(current.peers, loaded.peers)
    _require_same_site(current, loaded)
    differing = _differing_fields(current, loaded) - STARTUP_FIELDS - {"platform_keys", "ajp"}
    # A part that is off in either configuration needs a restart: no running instance can apply the change.
    changeable = {
        name
        for name in differing & RELOADABLE_FIELDS
        if _both_enabled(getattr(current, name), getattr(loaded, name))
    }
    ajp = _merged_ajp(current.ajp, loaded.ajp)
    config = replace(
        current,
        platform_keys=loaded.platform_keys,
        version=loaded.version,
        tenant_positions=loaded.tenant_positions,
        source=loaded.source,
        ajp=ajp.config,
        **{name: getattr(loaded, name) for name in changeable},
    )
    restart_keys = ajp.restart_keys | _restart_keys(current, loaded, differing - changeable)
    return MergedConfig(config, sorted(restart_keys))


@dataclass(slots=True, frozen=True)
class _MergedAjp:
    config: AjpConfig | None
    restart_keys: set[str]


def _merged_ajp(current: AjpConfig | None, loaded: AjpConfig | None) -> _MergedAjp:
    if current is None or loaded is None:
        return _MergedAjp(current, {"ajp"} if current is not loaded else set())
    fixed = _fixed_ajp_fields(current, loaded)
    changeable = _differing_fields(current, loaded) - fixed
    config = replace(current, **{name: getattr(loaded, name) for name in changeable})
    return _MergedAjp(config, {f"ajp.{key}" for key in _file_keys(fixed, AJP_KEYS)})


def _restart_keys(current: Config, loaded: Config, fixed: set[str]) -> set[str]:
    """Returns the keys whose changes need a restart; keys of [state] are listed individually."""
    if "state" not in fixed or current.state is None or loaded.state is None:
        return _file_keys(fixed, CONFIG_KEYS)
    state = _differing_fields(current.state, loaded.state)
    return _file_keys(fixed - {"state"}, CONFIG_KEYS) | {
        f"state.{key}" for key in _file_keys(state, STATE_KEYS)
    }


def _both_enabled(first: object, second: object) -> bool:
    return first is not None and second is not None


def _differing_fields(first: Any, second: Any) -> set[str]:
    """Returns the names of the comparable fields in which two objects of the same type differ."""
    return {
        field.name
        for field in fields(first)
        if field.compare and getattr(first, field.name) != getattr(second, field.name)
    }


def _file_keys(field_names: Iterable[str], keys: Mapping[str, str]) -> set[str]:
    return {keys.get(name, name) for name in field_names}


def _require_platform_keys(current: Config, loaded: Config) -> None:
    for key in sorted(current.platform_keys - loaded.platform_keys):
        raise InvalidInputError.in_setting(key, "missing")


def _require_same_group(current: PeersConfig | None, loaded: PeersConfig | None) -> None:
    if current is None or loaded is None:
        return
    if len(set(current.lease_grantors) ^ set(loaded.lease_grantors)) > MAX_GRANTORS_CHANGED:
        raise InvalidInputError.in_setting(
            "peers.voters",
            "change one name at a time, and wait for the longest lease to expire between changes",
        )
    if (current.listen, current.group) != (loaded.listen, loaded.group):
        raise InvalidInputError.in_setting(LISTEN_AND_GROUP, "need a restart")


def _require_same_site(current: Config, loaded: Config) -> None:
    if current.sites is not None and loaded.sites is not None and current.sites.site != loaded.sites.site:
        raise InvalidInputError.in_setting("sites.site", "needs a restart")


def _fixed_ajp_fields(current: AjpConfig, loaded: AjpConfig) -> set[str]:
    """Returns the fields that differ and cannot change while connections are open."""
    fixed = _differing_fields(current, loaded) & FIXED_AJP_FIELDS
    # The file descriptors for idle connections are reserved at start-up, so their number cannot grow.
    if _idle_connections(loaded) > _idle_connections(current):
        fixed.add("servers")
    return fixed


def _idle_connections(ajp: AjpConfig) -> int:
    return sum(server.max_idle_connections for server in ajp.servers)
