"""Descriptions of fleets that the planner's and the overload benchmarks start from."""

import copy
import tomllib
from pathlib import Path
from typing import Any

from ochrehoist.config.fleet_description import Fleet, parse

BASE_FILE = Path(__file__).parent / "base.toml"
LARGE_FILE = Path(__file__).parent / "large.toml"

Description = dict[str, Any]


def base_description() -> Description:
    """The description of the small fleet in base.toml."""
    return tomllib.loads(BASE_FILE.read_text())


def changed_fleet(changes: Description, demand: float) -> Fleet:
    """The small fleet with some tables replaced, at a load in parts of its capacity."""
    return parse(base_description() | copy.deepcopy(changes)).with_demand(demand)


def changed_router(**changes: Any) -> Description:
    """The table of routers with some keys of the first replaced."""
    return {"routers": [base_description()["routers"][0] | changes]}


def retry_storm() -> Description:
    """Routers and clients that retry hard, and heed a Retry-After rarely."""
    return changed_router(retries=3, choice="round") | {
        "clients": {"retries": 2, "wait_ms": 150.0, "heed": 0.3}
    }
