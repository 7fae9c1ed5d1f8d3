"""Configurations with many tenants, and how a change of them is prepared and switched."""

from pathlib import Path

from hypothesis import strategies as st

from ochrehoist.admission.settings import Tenant
from ochrehoist.lab.toml import toml_file
from tests.support.site_settings import site_settings

NAMES = st.lists(st.integers(0, 12), unique=True, max_size=12)


def tenants(numbers, quota=1.0):
    """Tenants by their numbers."""
    return tuple(Tenant(f"t{n}", quota, 0.1) for n in numbers)


def appliance(folder, numbers, routes, quota=1.0, peers=None, **changes):
    """A configuration with so many tenants and routes."""
    site = site_settings(
        Tenants=[{"Name": f"t{n}", "QuotaPerS": quota, "Fraction": 0.1} for n in numbers], **changes
    )
    rules = [{"uri": f"/r{n}/*", "class": "read"} for n in range(routes)]
    path = Path(folder, "ajp.toml")
    path.write_text(
        toml_file(
            {
                "name": "n1",
                "settings": site,
                "overload": {},
                "ajp": {"listen": "127.0.0.1:0", "rules": rules, "servers": [{"address": "127.0.0.1:9"}]},
            }
            | ({"peers": peers} if peers else {})
        )
    )
    return str(path)


def commit_change(worker, change):
    """Commits a change that was prepared."""
    worker.parts.reloader.commit(change)
    worker.parts.core.step()


def close_worker(worker):
    """Closes what a worker opened that was never run."""
    for front in worker.parts.fronts:
        front.acceptor.sock.close()
    worker.parts.self_monitor.close()
