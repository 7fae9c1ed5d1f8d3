"""The members of a scale run: names, addresses, zones, and the configuration of each."""

import os
import socket
from random import Random
from typing import Any

from ochrehoist.lab.scale.spec import FaultKind, ScaleSpec
from ochrehoist.lab.scenario import Scenario, parse
from ochrehoist.lab.toml import toml_file
from ochrehoist.lab.worker_configuration import admission_settings

VOTER_COUNT = 7
SEED_MEMBER_COUNT = 2  # by which the members find each other
SERVER_COUNT = 3
BUDGET_AMOUNT = 60
ZONE_COUNT = 8
WORKERS_PER_NET = 250  # of one third byte of the loopback addresses
QUOTA_PER_S = 1000.0  # of each tenant; a reload changes that of the first
FAULT_DIVISORS = {FaultKind.RACK: 20, FaultKind.RESTART: 10}  # of the hollow workers
GROUP_SECRET = "the secret of a scale run"
REAL_PREFIX = "real"


class Topology:
    """The members by name, hollow ones first. All choices come from the seed of the run."""

    def __init__(self, spec: ScaleSpec) -> None:
        self._spec = spec
        self._random = Random(f"{spec.seed}/scale")
        self.hollow_names = [f"w{position:04d}" for position in range(spec.hollow_count)]
        self.real_names = [f"{REAL_PREFIX}{position:03d}" for position in range(spec.real)]
        names = self.hollow_names + self.real_names
        self.addresses = self._assign_addresses(names)
        self.zones = self._assign_zones(names)
        self.voters = names[:VOTER_COUNT]
        self.scenario: Scenario = parse(
            {
                "name": "scale",
                "workers": 1,
                "tenants": {f"tenant{number}": QUOTA_PER_S for number in range(spec.tenants)},
            }
        )

    def _assign_addresses(self, names: list[str]) -> dict[str, str]:
        """A loopback address for each, as each machine has one; with a port that is free there."""
        net = f"127.{self._random.randint(2, 250) ^ os.getpid() % 128 or 1}"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind((f"{net}.1.1", 0))
            port = sock.getsockname()[1]
        return {
            name: f"{net}.{position // WORKERS_PER_NET + 1}.{position % WORKERS_PER_NET + 1}:{port}"
            for position, name in enumerate(names)
        }

    def _assign_zones(self, names: list[str]) -> dict[str, str]:
        """Zones in turn, and regions in turn of zones."""
        zones = [position % ZONE_COUNT for position in range(len(names))]
        return {
            name: f"region{zone % self._spec.regions}/zone{zone}"
            for name, zone in zip(names, zones, strict=True)
        }

    def fault_targets(self, kind: FaultKind) -> list[str]:
        """The hollow workers that a fault strikes; those of a restart are drawn anew each time."""
        names = self.hollow_names
        if kind is FaultKind.REGION:
            return [name for name in names if self.zones[name].startswith("region0/")]
        if kind is FaultKind.ZONE:
            return [name for name in names if self.zones[name] == self.zones[names[0]]]
        count = max(1, len(names) // FAULT_DIVISORS[kind])
        return names[-count:] if kind is FaultKind.RACK else self._random.sample(names, count)

    # Configuration.

    def peers_table(self, name: str) -> dict[str, Any]:
        """The `[peers]` table of one member: the voters by address; the others are found by the first two."""
        voters = self.voters
        budget = {"name": "again", "use": "repeats", "amount": BUDGET_AMOUNT, "floor_lease_s": 4.0}
        return {
            "listen": self.addresses[name],
            "group": "scale",
            "secrets": [GROUP_SECRET],
            "voters": voters,
            "site": self.zones[name],
            "probe_ms": self._spec.probe_ms,
            "members": {voter: self.addresses[voter] for voter in voters if voter != name},
            "start": [self.addresses[voter] for voter in voters[:SEED_MEMBER_COUNT] if voter != name],
            "budgets": [budget],
        }

    def common_tables(self, first_quota_per_s: float = QUOTA_PER_S) -> dict[str, Any]:
        """The tables that all workers share. The first tenant's quota tells versions apart."""
        classes = [request_class.name for request_class in self.scenario.classes]
        rules = [
            {"uri": f"/{classes[route % len(classes)]}/r{route}/*", "class": classes[route % len(classes)]}
            for route in range(self._spec.routes)
        ]
        servers = [
            {"name": f"s{number}", "address": f"127.0.0.1:{9 + number}"} for number in range(SERVER_COUNT)
        ]
        values = admission_settings(self.scenario)
        values["Tenants"][0]["QuotaPerS"] = first_quota_per_s
        return {
            "stop_ms": 3000,
            "limits": {"memory_mb": 192, "sockets": 512},
            "ajp": {
                "listen": "127.0.0.1:0",
                "default_tenant": "tenant0",
                "rules": rules,
                "servers": servers,
            },
            "settings": values,
        }

    def template(self, first_quota_per_s: float = QUOTA_PER_S) -> str:
        """The common tables as the text of a configuration file."""
        return toml_file(self.common_tables(first_quota_per_s))

    def real_worker_tables(self, name: str) -> dict[str, Any]:
        """The whole configuration of a real worker."""
        own = {"name": name, "admin": "127.0.0.1:0", "peers": self.peers_table(name)}
        return own | self.common_tables()
