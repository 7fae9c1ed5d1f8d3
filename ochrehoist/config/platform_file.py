"""Reads the platform's JSON file, and the file of an optional second front of its worker."""

from collections.abc import Generator, Mapping
from dataclasses import replace
from typing import Any

from ochrehoist.config import json_reader
from ochrehoist.config.common import TENANTS_PATH, read_common_in_steps, tenant_reader, version_hash
from ochrehoist.config.environment import (
    AJP_FILE,
    CONFIG_FILE,
    OVERRIDES,
    Environment,
    apply_overrides,
    handover_path,
    inherited_socket,
)
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.schema import Config
from ochrehoist.config.source import CachedArray, ConfigSource, FileText, read_text_in_steps, with_arrays
from ochrehoist.config.tenants import TenantReader
from ochrehoist.config.values import optional_address, required_address
from ochrehoist.errors import InvalidInputError


def read_platform_in_steps(
    path: str, environment: Environment, current: Config | None
) -> Generator[None, None, Config]:
    """Reads the configuration of a platform worker.

    EDGE_NAME, EDGE_LISTEN and EDGE_ADMIN override the file. The AJP front is enabled only if OCHREHOIST_AJP
    names its file. `current` is the active configuration. Raises InvalidInputError.
    """
    tenants = tenant_reader(current)
    try:
        text = yield from read_text_in_steps(path)
        data = yield from _parse_in_steps(text, tenants, current.source if current is not None else None)
    except (OSError, ValueError) as error:
        raise InvalidInputError.in_setting(CONFIG_FILE, str(error)) from None
    top = ObjectReader(dict(data) if isinstance(data, dict) else data, "")
    apply_overrides(top, environment, *OVERRIDES)
    common = yield from read_common_in_steps(top, _read_seed(top), tenants)
    listen = required_address(top, "listen")
    config = replace(
        common,
        listen=listen,
        inherited_fd=inherited_socket(environment, listen),
        handover_path=handover_path(common.name, environment),
        platform_keys=_platform_keys(data),
        kernel_address=required_address(top, "kernel"),
        membership_address=optional_address(top, "members"),
        admin_address=optional_address(top, "admin"),
        version=version_hash(text.digest),
        source=_reload_source(data, text, common),
    )
    second_front = environment.get(AJP_FILE)
    if not second_front:
        return config
    from ochrehoist.config import appliance_file  # imported on demand: few workers have one

    return (yield from appliance_file.read_second_front_in_steps(second_front, config, text.digest, current))


def _parse_in_steps(
    text: FileText, tenants: TenantReader, current: ConfigSource | None
) -> Generator[None, None, Any]:
    if current is not None and current.digest == text.digest:
        unchanged = range(len(current.arrays[TENANTS_PATH].elements))
        return with_arrays(current.remainder, {TENANTS_PATH: [unchanged]})
    joined = text.joined()
    if text.size_bytes > json_reader.MAX_SINGLE_STEP_CHARS:
        yield
    text.parts.clear()
    return (yield from json_reader.read_in_steps(joined, {TENANTS_PATH: tenants.append_element}))


def _reload_source(data: dict[str, Any], text: FileText, common: Config) -> ConfigSource | None:
    if text.size_bytes <= json_reader.MAX_SINGLE_STEP_CHARS or "Tenants" not in data["settings"]:
        return None
    remainder = with_arrays(data, {TENANTS_PATH: []})
    return ConfigSource(text.digest, remainder, b"", {TENANTS_PATH: CachedArray(common.settings.tenants)})


def _read_seed(top: ObjectReader) -> int:
    text = top.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise top.error("seed", f"not hexadecimal: {text!r}") from None


def _platform_keys(data: Mapping[str, Any]) -> frozenset[str]:
    """Returns the keys of the file and of its settings; deeper keys are validated where they are read."""
    return frozenset(data) | {f"settings.{key}" for key in data["settings"]}
