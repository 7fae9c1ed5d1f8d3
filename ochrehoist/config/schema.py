"""The type of a validated configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.source import ConfigSource
from ochrehoist.config.values import Address

if TYPE_CHECKING:  # the readers of these tables import the module; platform workers do without it
    from ochrehoist.config.tables import (
        AjpConfig,
        CaptureConfig,
        OverloadConfig,
        PeersConfig,
        RecoveryConfig,
        SitesConfig,
        StateConfig,
    )


@dataclass(slots=True, frozen=True, kw_only=True)
class Config:
    """The complete configuration of a worker. An optional part that is None is disabled."""

    name: str
    settings: AdmissionSettings
    gauges: tuple[str, ...]
    seed: int
    shutdown_timeout_ms: int
    memory_mb: float
    max_sockets: int
    listen: Address | None = None  # front for the platform's requests
    kernel_address: Address | None = None
    membership_address: Address | None = None
    ajp: AjpConfig | None = None
    admin_address: Address | None = None  # operators' HTTP interface
    agent_check_address: Address | None = None
    state: StateConfig | None = None
    capture: CaptureConfig | None = None
    overload: OverloadConfig | None = None
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None
    inherited_fd: int | None = None  # listening socket for `listen`, passed by the platform
    handover_path: str | None = None  # Unix socket through which a successor process takes over
    platform_keys: frozenset[str] = frozenset()  # a reloaded platform file must still have all these keys
    version: str = field(default="", compare=False)  # short hash of the file content
    tenant_positions: Mapping[str, int] = field(default_factory=dict, compare=False, repr=False)
    source: ConfigSource | None = field(default=None, compare=False, repr=False)  # None if parsed as a whole
