"""All configuration: read, checked and given defaults here and nowhere else. Messages name the faulty key."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ochrehoist.interface import Settings
from ochrehoist.settings import BadInput, Reader, settings_from

Address = tuple[str, int]


@dataclass(slots=True, frozen=True, kw_only=True)
class Config:
    name: str
    settings: Settings
    gauges: tuple[str, ...]
    seed: int
    stop_ms: int
    memory_mb: float
    sockets: int
    listen: Address | None = None  # the platform's front
    kernel: Address | None = None
    members: Address | None = None


def address(text: str, key: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise BadInput(f"setting {key}: not host:port: {text!r}")
    return host, int(port)


def _address(r: Reader, key: str) -> Address | None:
    return address(r.text(key), r.path + key) if key in r.data else None


def _seed(r: Reader) -> int:
    text = r.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise BadInput(f"setting seed: not hexadecimal: {text!r}") from None


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """The platform's configuration: the file EDGE_CONFIG names; EDGE_NAME and EDGE_LISTEN go before it."""
    path = environment.get("EDGE_CONFIG")
    if not path:
        raise BadInput("setting EDGE_CONFIG: missing")
    try:
        data = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise BadInput(f"setting EDGE_CONFIG: {error}") from None
    top = Reader(data, "")
    for variable, key in (("EDGE_NAME", "name"), ("EDGE_LISTEN", "listen")):
        if environment.get(variable):
            top.data[key] = environment[variable]
    limits, raw = top.part("limits", {}), top.part("settings")
    gauges = raw.part("FamilyInfo").items("OwnStats", [])
    if not all(isinstance(g, str) for g in gauges):
        raise BadInput(f"setting settings.FamilyInfo.OwnStats: unusable value {gauges!r}")
    return Config(
        name=top.text("name"), settings=settings_from(raw.data), gauges=tuple(gauges), seed=_seed(top),
        stop_ms=top.whole("stop_ms", 3000, least=1), memory_mb=limits.number("memory_mb", 192, least=1),
        sockets=limits.whole("sockets", 1024, least=32), listen=_address(top, "listen"),
        kernel=_address(top, "kernel"), members=_address(top, "members"))
