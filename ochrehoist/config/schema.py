"""The types of a configuration that was read and checked."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.source import ConfigSource
from ochrehoist.config.values import Address

if TYPE_CHECKING:  # loaded by the readers of these tables, which the platform's worker has none of
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
    """All of a worker's configuration. A part that is None is switched off."""

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
    admin_address: Address | None = None  # for operators
    agent_check_address: Address | None = None
    state: StateConfig | None = None
    capture: CaptureConfig | None = None
    overload: OverloadConfig | None = None
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None
    inherited_fd: int | None = None  # a socket that listens at `listen`, passed by the platform
    handover_path: str | None = None  # of the socket by which a successor process finds this one
    platform_keys: frozenset[str] = frozenset()  # of the platform's file; a later version must have them all
    version: str = field(default="", compare=False)  # short hash of the content read
    tenant_positions: Mapping[str, int] = field(default_factory=dict, compare=False, repr=False)  # by name
    source: ConfigSource | None = field(default=None, compare=False, repr=False)  # None: of a short text
