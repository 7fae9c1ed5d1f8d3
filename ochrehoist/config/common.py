"""Reads the keys that the platform's file and an appliance's file have in common."""

from collections.abc import Generator, Sequence
from hashlib import sha256

from ochrehoist.admission.settings import Tenant
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.schema import Config
from ochrehoist.config.settings import settings_in_steps
from ochrehoist.config.tenants import TenantReader

TENANTS_PATH = ("settings", "Tenants")
VERSION_CHARS = 12


def tenant_reader(current: Config | None) -> TenantReader:
    """Returns a tenant reader that reuses the unchanged tenants of `current`."""
    if current is None:
        return TenantReader()
    tenants: Sequence[Tenant] = current.settings.tenants
    if current.source is not None and TENANTS_PATH in current.source.arrays:
        tenants = current.source.arrays[TENANTS_PATH].elements
    return TenantReader(tuple(tenants), current.tenant_positions)


def read_common_in_steps(
    top: ObjectReader, seed: int, tenants: TenantReader
) -> Generator[None, None, Config]:
    """Returns a Config with only the values that both kinds of file define. Raises InvalidInputError."""
    limits = top.section("limits", {})
    settings_table = top.section("settings")
    loaded = yield from settings_in_steps(settings_table.data, tenants)
    family = settings_table.section("FamilyInfo")
    gauges = family.items("OwnStats", [])
    if not all(isinstance(gauge, str) for gauge in gauges):
        raise family.invalid_value("OwnStats", gauges)
    return Config(
        name=top.text("name"),
        settings=loaded.settings,
        gauges=tuple(gauges),
        seed=seed,
        shutdown_timeout_ms=top.integer("stop_ms", 3000, minimum=1),
        memory_mb=limits.number("memory_mb", 192, minimum=1),
        max_sockets=limits.integer("sockets", 1024, minimum=64),
        tenant_positions=loaded.tenant_positions,
    )


def version_hash(*digests: bytes) -> str:
    """Returns a short hash that identifies a version of the configuration to operators."""
    return sha256(b"".join(digests)).hexdigest()[:VERSION_CHARS]
