"""Reads the table [ajp]: the AJP front and its backend servers."""

from collections.abc import Container, Generator

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.routes import RouteReader
from ochrehoist.config.tables import AjpConfig, AjpServer
from ochrehoist.config.values import read_header_name, required_address

MIN_PACKET_BYTES = 8192  # AJP/1.3 requires at least this packet size
MAX_PACKET_BYTES = 65536
DEFAULT_BODY_BYTES = 1 << 20
SERVERS_PER_STEP = 50

_KEYS = (
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
_SERVER_KEYS = ("name", "address", "secret", "connect_ms", "reply_ms", "max_idle")


def read_ajp_in_steps(
    table: ObjectReader, settings: AdmissionSettings, tenants: Container[str], routes: RouteReader
) -> Generator[None, None, AjpConfig]:
    """Reads the table [ajp]; `tenants` contains the tenant names. Raises InvalidInputError."""
    table.allow_only(*_KEYS)
    packet_size = table.integer("packet_size", MIN_PACKET_BYTES, minimum=MIN_PACKET_BYTES)
    if packet_size > MAX_PACKET_BYTES:
        raise table.error("packet_size", f"above the maximum of {MAX_PACKET_BYTES} bytes: {packet_size}")
    headers = table.section("headers", {}).allow_only("tenant", "key", "retry")
    default_tenant = table.text("default_tenant", None)
    if default_tenant is not None and default_tenant not in tenants:
        raise table.error("default_tenant", f"unknown tenant {default_tenant!r}")
    return AjpConfig(
        listen=required_address(table, "listen", loopback=True),
        secret=table.text("secret", None),
        packet_size=packet_size,
        max_body=table.integer("max_body", DEFAULT_BODY_BYTES),
        max_response=table.integer("max_response", DEFAULT_BODY_BYTES, minimum=1),
        max_connections=table.integer("max_connections", 256, minimum=1),
        idle_timeout_s=table.number("idle_s", 60, minimum=0.1),
        body_timeout_s=table.number("body_s", 10, minimum=0.05),
        server_backoff_ms=table.integer("retry_ms", 2000),
        memory_kb=table.number("memory_kb", 24.0),
        health_uri=table.text("health_uri", "/healthz").encode(),
        tenant_header=read_header_name(headers, "tenant", "X-Tenant"),
        default_tenant=default_tenant,
        key_header=read_header_name(headers, "key", "Idempotency-Key"),
        retry_header=read_header_name(headers, "retry", "X-Retry"),
        routes=(yield from routes.read_in_steps(table, {c.name for c in settings.classes})),
        servers=(yield from _read_servers_in_steps(table)),
    )


def _read_servers_in_steps(ajp: ObjectReader) -> Generator[None, None, tuple[AjpServer, ...]]:
    servers: list[AjpServer] = []
    for index, data in enumerate(ajp.items("servers")):
        servers.append(_read_server(ajp.element("servers", index, data)))
        if len(servers) % SERVERS_PER_STEP == 0:
            yield
    if not servers:
        raise ajp.error("servers", "no server is configured")
    if len({server.name for server in servers}) < len(servers):
        raise ajp.error("servers", "two servers have the same name or address")
    return tuple(servers)


def _read_server(table: ObjectReader) -> AjpServer:
    table.allow_only(*_SERVER_KEYS)
    return AjpServer(
        name=table.text("name", None) or table.text("address"),
        address=required_address(table, "address", loopback=True),
        secret=table.text("secret", None),
        connect_timeout_ms=table.integer("connect_ms", 500, minimum=1),
        reply_timeout_ms=table.integer("reply_ms", 30_000, minimum=1),
        max_idle_connections=table.integer("max_idle", 8),
    )
