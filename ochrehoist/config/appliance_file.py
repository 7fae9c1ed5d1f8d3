"""Reads the TOML file of an appliance, or of the second front of a platform's worker."""

import re
import secrets
from collections.abc import Generator, Sequence
from dataclasses import dataclass, replace

from ochrehoist.config import json_reader
from ochrehoist.config.common import (
    TENANTS_PATH,
    read_common_in_steps,
    tenant_reader,
    version_hash,
)
from ochrehoist.config.environment import AJP_FILE, Environment, apply_overrides, handover_path
from ochrehoist.config.json_reader import ArrayPath, ElementHandler
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.operator_tables import OperatorTables, read_operator_tables_in_steps
from ochrehoist.config.routes import RouteReader
from ochrehoist.config.schema import Config
from ochrehoist.config.source import ConfigSource, FileText, ParsedFile, read_text_in_steps
from ochrehoist.config.tables import AjpRoute
from ochrehoist.config.tenants import TenantReader
from ochrehoist.config.values import optional_address
from ochrehoist.errors import InvalidInputError

ROUTES_PATH = ("ajp", "rules")
SEED_BITS = 64

_TABLES = (
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
_LARGE_ARRAY_ELEMENT = re.compile(r"(?:(ajp\.rules)|Tenants)\[(\d+)\]")


@dataclass(slots=True, frozen=True)
class ElementReaders:
    """Readers of the large arrays; they reuse unchanged elements of the active configuration."""

    tenants: TenantReader
    routes: RouteReader

    @classmethod
    def reusing(cls, current: Config | None) -> "ElementReaders":
        """Returns readers that reuse the unchanged elements of `current`."""
        return cls(tenant_reader(current), route_reader(current))


def route_reader(current: Config | None) -> RouteReader:
    """Returns a route reader that reuses the unchanged routes of `current`."""
    if current is None:
        return RouteReader()
    routes: Sequence[AjpRoute] = current.ajp.routes if current.ajp is not None else ()
    if current.source is not None and ROUTES_PATH in current.source.arrays:
        routes = current.source.arrays[ROUTES_PATH].elements
    return RouteReader(tuple(routes))


@dataclass(slots=True, frozen=True)
class ApplianceFile:
    """A parsed file whose values are not yet validated."""

    top: ObjectReader
    parsed: ParsedFile
    digest: bytes

    def with_line_numbers(self, error: InvalidInputError) -> InvalidInputError:
        """Returns the error with the line numbers of the elements that it names, where they are known."""
        key_match = _LARGE_ARRAY_ELEMENT.match(error.key)
        if key_match is None:
            return error
        lines = self.parsed.lines.get(ROUTES_PATH if key_match[1] else TENANTS_PATH)
        if lines is None:
            return error
        location = f"in the table of line {lines[int(key_match[2])]}"
        if error.conflicting_index is not None:
            location += f", and in line {lines[error.conflicting_index]}"
        return InvalidInputError(f"{error} ({location})", key=error.key)


def read_appliance_in_steps(
    path: str, environment: Environment, current: Config | None
) -> Generator[None, None, Config]:
    """Reads the configuration of a standalone appliance: an AJP front and AJP backend servers.

    Raises InvalidInputError.
    """
    readers = ElementReaders.reusing(current)
    file = yield from read_file_in_steps(path, readers, current.source if current is not None else None)
    file.top.section("ajp")  # required: a standalone appliance has no other front
    apply_overrides(file.top, environment, "EDGE_ADMIN")
    try:
        common = yield from read_common_in_steps(file.top, secrets.randbits(SEED_BITS), readers.tenants)
        tables = yield from read_operator_tables_in_steps(
            file.top, common.settings, common.tenant_positions, readers.routes
        )
    except InvalidInputError as error:
        raise file.with_line_numbers(error) from None
    return replace(
        with_tables(common, tables),
        admin_address=optional_address(file.top, "admin", loopback=True),
        handover_path=handover_path(common.name, environment),
        version=version_hash(file.digest),
        source=_reload_source(file, common, tables),
    )


def read_second_front_in_steps(
    path: str, config: Config, digest: bytes, current: Config | None
) -> Generator[None, None, Config]:
    """Returns `config` with the tables of the appliance file at `path` added.

    Args:
        path: the TOML file of the second front.
        config: the configuration of the platform's file.
        digest: the digest of the platform's file.
        current: the active configuration, whose unchanged routes are reused.

    Raises InvalidInputError.
    """
    routes = route_reader(current)
    file = yield from read_file_in_steps(path, ElementReaders(TenantReader(), routes), None)
    try:
        tables = yield from read_operator_tables_in_steps(
            file.top, config.settings, config.tenant_positions, routes
        )
    except InvalidInputError as error:
        raise file.with_line_numbers(error) from None
    return replace(with_tables(config, tables), version=version_hash(digest, file.digest))


def read_file_in_steps(
    path: str, readers: ElementReaders, current: ConfigSource | None
) -> Generator[None, None, ApplianceFile]:
    """Parses the file and rejects unknown top-level tables.

    `current` is the source of the active configuration. Raises InvalidInputError.
    """
    yield from readers.routes.index_current_in_steps()
    try:
        text = yield from read_text_in_steps(path)
        parsed = yield from _parse_in_steps(text, readers, current)
    except RecursionError:
        raise InvalidInputError.in_setting(AJP_FILE, f"{path}: nested too deeply") from None
    except (OSError, ValueError) as error:
        raise InvalidInputError.in_setting(AJP_FILE, f"{path}: {error}") from None
    top = ObjectReader(parsed.data, "").allow_only(*_TABLES)
    top.section("limits", {}).allow_only("memory_mb", "sockets")
    return ApplianceFile(top, parsed, text.digest)


def with_tables(config: Config, tables: OperatorTables) -> Config:
    """Returns `config` with the parts that the operator tables enable."""
    return replace(
        config,
        ajp=tables.ajp,
        agent_check_address=tables.agent_check_address,
        state=tables.state,
        capture=tables.capture,
        overload=tables.overload,
        peers=tables.peers,
        sites=tables.sites,
        recovery=tables.recovery,
    )


def _parse_in_steps(
    text: FileText, readers: ElementReaders, current: ConfigSource | None
) -> Generator[None, None, ParsedFile]:
    if text.size_bytes <= json_reader.MAX_SINGLE_STEP_CHARS:
        import tomli  # imported on demand: platform workers have no TOML file

        return ParsedFile(tomli.loads(text.joined()))
    from ochrehoist.config import toml_reader  # imported on demand: only large files need it

    element_handlers: dict[ArrayPath, ElementHandler] = {
        TENANTS_PATH: readers.tenants.append_element,
        ROUTES_PATH: readers.routes.append_element,
    }
    return (yield from toml_reader.read_in_steps(text, element_handlers, current))


def _reload_source(file: ApplianceFile, common: Config, tables: OperatorTables) -> ConfigSource | None:
    routes = tables.ajp.routes if tables.ajp is not None else ()
    return file.parsed.source(file.digest, {TENANTS_PATH: common.settings.tenants, ROUTES_PATH: routes})
