"""Reads the tables with which operators enable optional parts of a worker, one table for each part."""

from collections.abc import Container, Generator
from dataclasses import dataclass

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.ajp_tables import read_ajp_in_steps
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.routes import RouteReader
from ochrehoist.config.tables import (
    AjpConfig,
    CaptureConfig,
    LimitController,
    LossPolicy,
    OverloadConfig,
    PeersConfig,
    RecoveryConfig,
    SitesConfig,
    StateConfig,
)
from ochrehoist.config.values import Address, optional_address

FLEET_TABLES = frozenset({"peers", "sites", "recovery"})

_STATE_KEYS = (
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
_OVERLOAD_KEYS = (
    "admission",
    "door",
    "pools",
    "controller",
    "least_running",
    "most_running",
    "lane",
    "retries",
)


@dataclass(slots=True, frozen=True, kw_only=True)
class OperatorTables:
    """Values of the operator tables, None for absent tables. The fields have the names of Config's."""

    ajp: AjpConfig | None
    agent_check_address: Address | None
    state: StateConfig | None
    capture: CaptureConfig | None
    overload: OverloadConfig | None
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None


def read_operator_tables_in_steps(
    top: ObjectReader, settings: AdmissionSettings, tenants: Container[str], routes: RouteReader
) -> Generator[None, None, OperatorTables]:
    """Reads all tables except `settings`; `tenants` contains the tenant names. Raises InvalidInputError."""
    console = top.section("console", {}).allow_only("agent_check")
    ajp: AjpConfig | None = None
    if "ajp" in top.data:
        ajp = yield from read_ajp_in_steps(top.section("ajp"), settings, tenants, routes)
    state = _read_state(top)
    peers: PeersConfig | None = None
    sites: SitesConfig | None = None
    recovery: RecoveryConfig | None = None
    if top.data.keys() & FLEET_TABLES:
        from ochrehoist.config import fleet  # imported on demand: only members of a fleet need it

        peers = yield from fleet.read_peers_in_steps(top, tenants, ajp)
        sites = fleet.read_sites(top, settings, peers)
        recovery = fleet.read_recovery(top, peers, state)
    return OperatorTables(
        ajp=ajp,
        agent_check_address=optional_address(console, "agent_check", loopback=True),
        state=state,
        capture=_read_capture(top),
        overload=_read_overload(top, settings),
        peers=peers,
        sites=sites,
        recovery=recovery,
    )


def _read_state(top: ObjectReader) -> StateConfig | None:
    if "state" not in top.data:
        return None
    table = top.section("state").allow_only(*_STATE_KEYS)
    return StateConfig(
        folder=table.text("folder"),
        must_exist=table.flag("must_exist", False),
        max_mb=table.number("max_mb", 256, minimum=1),
        group_commit_delay_ms=table.number("commit_ms", 0),
        max_disk_wait_ms=table.number("stall_ms", 250, minimum=1),
        on_loss=table.member("on_loss", LossPolicy, LossPolicy.HOLD),
        max_result_kb=table.number("max_result_kb", 1024),
        snapshot_interval_s=table.number("learned_every_s", 5, minimum=0.1),
        snapshot_half_life_s=table.number("learned_half_life_s", 3600, minimum=1),
    )


def _read_capture(top: ObjectReader) -> CaptureConfig | None:
    if "capture" not in top.data:
        return None
    table = top.section("capture").allow_only("folder", "sample", "max_mb", "file_mb", "file_s")
    sample_fraction = table.number("sample", 1.0)
    if not 0 < sample_fraction <= 1:
        raise table.error("sample", f"must be above 0 and at most 1: {sample_fraction!r}")
    return CaptureConfig(
        folder=table.text("folder"),
        sample_fraction=sample_fraction,
        max_mb=table.number("max_mb", 256, minimum=1),
        max_file_mb=table.number("file_mb", 16, minimum=0.01),
        max_file_age_s=table.number("file_s", 3600, minimum=1),
    )


def _read_overload(top: ObjectReader, settings: AdmissionSettings) -> OverloadConfig | None:
    if "overload" not in top.data:
        return None
    table = top.section("overload").allow_only(*_OVERLOAD_KEYS)
    if {"door", "admission"} <= table.data.keys():
        raise table.error("door", "conflicts with admission, of which door is the deprecated name")
    admission_key = "door" if "door" in table.data else "admission"
    min_running, max_running = _running_bounds(table, settings)
    return OverloadConfig(
        admission=table.flag(admission_key, True),
        bulkheads=table.flag("pools", True),
        min_running=min_running,
        max_running=max_running,
        controller=table.member("controller", LimitController, LimitController.MODULE),
        low_priority_lane=table.flag("lane", False),
        retry_budget=table.flag("retries", False),
    )


def _running_bounds(table: ObjectReader, settings: AdmissionSettings) -> tuple[int | None, int | None]:
    """Returns the minimum and maximum of concurrent runs, None for defaults."""
    survivable = int(settings.cores * settings.collapse_multiple)
    minimum = table.integer("least_running", 0) or None
    maximum = table.integer("most_running", 0) or None
    if maximum is not None and maximum > survivable:
        raise table.error(
            "most_running", f"above the {survivable} concurrent runs that the cores can sustain: {maximum}"
        )
    if (minimum or 1) > (maximum or survivable):
        raise table.error("least_running", f"above the maximum of concurrent runs: {minimum}")
    return minimum, maximum
