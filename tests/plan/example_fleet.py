"""The fleet of the deploy file, with changes."""

import copy
import tomllib

from hypothesis import strategies as st

from ochrehoist.config.fleet_description import parse
from tests.support.environment import ROOT

EXAMPLE = tomllib.loads((ROOT / "deploy/fleet.toml").read_text())


def quiet(*_):
    pass


def fleet(**changes):
    """Three workers of four cores behind two routers, with changes by key; a.b for parts."""
    data = copy.deepcopy(EXAMPLE)
    data["workers"] = [{"kind": "fast-node", "addresses": ["10.1.0.1-10.1.0.2", "10.2.0.1"]}]
    data["routers"] = [{"addresses": ["10.1.9.1", "10.2.9.1"], "choice": "least", "retries": 1}]
    data["kinds"] = [data["kinds"][1] | {"cores": 4, "speed": 1.0}]
    data["load"]["rate"] = 30.0
    for path, value in changes.items():
        part = data
        *way, last = path.split("__")
        for key in way:
            part = part[int(key) if key.isdigit() else key]
        part[int(last) if last.isdigit() else last] = value
    return parse(data)


WORK = st.lists(st.tuples(st.floats(0, 2), st.floats(0.01, 3)), min_size=1, max_size=30)
