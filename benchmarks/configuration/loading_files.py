"""Configuration files of several sizes, and changes of them, as TOML and as the platform's JSON."""

import json
from pathlib import Path
from typing import Any

from benchmarks.configuration.loading_kinds import FileKind, file_name
from benchmarks.shared.stand_ins import site_settings
from ochrehoist.lab.toml import toml_file

TOML, JSON = ".toml", ".json"
WARMUP_TENANTS = 3
LARGE_TENANTS, LARGE_ROUTES = 58_000, 3_800  # the ratio of routes to tenants at all sizes
FEWEST_ROUTES = 3
ROUTE_GROUPS = 340
CHANGED_TENANTS = 100


def write_files(folder: Path, tenants: int, suffix: str) -> None:
    """Write the files of all kinds, of one size, into `folder`."""
    for kind in FileKind:
        size = WARMUP_TENANTS if kind is FileKind.WARMUP else tenants
        text = _json_text(kind, size) if suffix == JSON else _toml_text(kind, size)
        (folder / file_name(kind, suffix)).write_text(text)


def route_count(tenants: int) -> int:
    """How many routes a configuration with so many tenants has."""
    return max(FEWEST_ROUTES, tenants * LARGE_ROUTES // LARGE_TENANTS)


def _json_text(kind: FileKind, tenants: int) -> str:
    platform = {"listen": "127.0.0.1:0", "kernel": "127.0.0.1:9", "seed": "1f"}
    return json.dumps(_common() | platform | {"settings": _settings(kind, tenants)})


def _toml_text(kind: FileKind, tenants: int) -> str:
    servers = [{"address": "127.0.0.1:9"}]
    front = {"listen": "127.0.0.1:0", "servers": servers, "rules": _routes(kind, tenants)}
    return toml_file(_common() | {"ajp": front, "settings": _settings(kind, tenants)})


def _common() -> dict[str, Any]:
    return {"name": "n1", "admin": "127.0.0.1:8010"}


def _settings(kind: FileKind, tenants: int) -> dict[str, Any]:
    changed: set[int] = set()
    if kind is FileKind.ONE_TENANT:
        changed = {tenants // 2}
    elif kind is FileKind.MANY_TENANTS:
        changed = set(range(0, tenants, max(1, tenants // CHANGED_TENANTS)))
    return site_settings(
        Tenants=[
            {
                "Name": f"tenant-{number:05d}",
                "QuotaPerS": 999.5 if number in changed else 10.5 + number % 90,
                "Fraction": round(1 / tenants, 9),
            }
            for number in range(tenants)
        ]
    )


def _routes(kind: FileKind, tenants: int) -> list[dict[str, Any]]:
    count = route_count(tenants)
    routes: list[dict[str, Any]] = [
        {
            "uri": f"/services/{number % ROUTE_GROUPS}/resource-{number}/*",
            "class": "read",
            "methods": ["GET", "HEAD"],
        }
        for number in range(count)
    ]
    if kind is FileKind.ONE_ROUTE:
        routes[count // 2]["methods"] = ["PUT"]
    return routes
