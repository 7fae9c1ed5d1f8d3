"""The configuration file of each worker of a run, in either form."""

import json
from dataclasses import dataclass, field
from typing import Any, Protocol

from ochrehoist.lab.scenario import RequestClass, Scenario
from ochrehoist.lab.toml import toml_file
from ochrehoist.units import NS_PER_MS, NS_PER_S

GROUP_SECRET = "the laboratory's own secret"
FREE_PORT = "127.0.0.1:0"
STOP_MS = 3000
LIMITS = {"memory_mb": 192, "sockets": 512}
SERVER_REPLY_MS = 8000
SERVER_CONNECT_MS = 500
RETRY_MS = 300


class Configuration(Protocol):
    """What a process of a worker is started with."""

    @property
    def suffix(self) -> str:
        """Of its file, which tells the form."""
        ...

    @property
    def parts(self) -> set[str]:
        """The parts that must listen before the worker counts as started, by their names in the log."""
        ...

    def text(self) -> str:
        """The file."""
        ...


def admission_settings(scenario: Scenario) -> dict[str, Any]:
    """The settings of the admission controller, as the file has them."""
    total_quota = sum(scenario.tenants.values())
    return {
        "Classes": [_class_settings(request_class) for request_class in scenario.classes],
        "FleetSize": 1,
        "ResultMix": {"Whole": 1.0},
        "Step": 4 * NS_PER_MS,
        "OverShareWorth": 0.1,
        "FamilyInfo": {
            "Cores": scenario.cores,
            "HeapKb": 90000.0,
            "RunFactor": 4.0,
            "KeyKb": 10.0,
            "Callers": 3,
            "TellsGone": True,
            "Idle": 30_000 * NS_PER_MS,
            "OwnStats": ["cpu_busy", "runnable"],
        },
        "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": 1000 * NS_PER_MS},
        "Tenants": [
            {"Name": name, "QuotaPerS": quota, "Fraction": quota / total_quota}
            for name, quota in scenario.tenants.items()
        ],
        "Rules": {
            "Cold": 1000 * NS_PER_MS,
            "ColdFrom": 0.9,
            "DrainGrace": 300 * NS_PER_MS,
            "Fall": 1500 * NS_PER_MS,
            "GraceToAnswer": 80 * NS_PER_MS,
            "TipMultiple": 8.0,
        },
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    repeat: dict[str, Any] = {"Repeat": "idempotent"}
    if request_class.keyed:
        repeat = {"Repeat": "deduplicated", "Window": int(request_class.window_s * NS_PER_S)}
    return {
        "Name": request_class.name,
        "Slo": int(request_class.aim_ms * NS_PER_MS),
        "Deadline": int(request_class.deadline_ms * NS_PER_MS),
        "Gain": request_class.worth,
        **repeat,
    }


def peers_table(scenario: Scenario, worker: str, members: dict[str, str]) -> dict[str, Any]:
    """The `[peers]` table of one worker; `members` are the addresses of the others, by name."""
    return {
        "listen": FREE_PORT,
        "group": "lab",
        "secrets": [GROUP_SECRET],
        "probe_ms": scenario.probe_ms,
        "voters": scenario.voter_names,
        "members": members,
        "budgets": _budget_tables(scenario),
        "site": scenario.site_of(worker),
    }


def _budget_tables(scenario: Scenario) -> list[dict[str, Any]]:
    tables = []
    for budget in scenario.budgets:
        table: dict[str, Any] = {
            "name": budget.name,
            "use": budget.use,
            "amount": budget.amount,
            "lease_ms": budget.lease_ms,
            "floor": budget.floor,
            "floor_lease_s": budget.floor_lease_s,
        }
        if budget.of:
            table["of"] = budget.of
        if budget.use == "server":
            table["longest_ms"] = budget.longest_ms
        tables.append(table)
    return tables


@dataclass
class ApplianceConfiguration:
    """The file of a worker before AJP servers, in TOML.

    Attributes:
        name: of the worker.
        scenario: that is run.
        store: folder of its state, if it has any.
        servers: addresses of the links to the services, by name.
        names_servers: versions from before the fleet have no names for servers.
        peers: the `[peers]` table, if there are peers.
        extra_tables: tables beside the usual ones.
    """

    name: str
    scenario: Scenario
    store: str
    servers: dict[str, str] = field(default_factory=dict)
    names_servers: bool = True
    peers: dict[str, Any] | None = None
    extra_tables: dict[str, Any] = field(default_factory=dict)

    @property
    def suffix(self) -> str:
        """Of its file."""
        return ".toml"

    @property
    def parts(self) -> set[str]:
        """See Configuration."""
        return {"AjpFront", "Operators"} | ({"Peers"} if self.peers is not None else set())

    def set_budget_amounts(self, amount: int) -> None:
        """Gives all budgets another amount, in the file that is written next."""
        if self.peers is not None:
            budgets = [budget | {"amount": amount} for budget in self.peers["budgets"]]
            self.peers = self.peers | {"budgets": budgets}

    def text(self) -> str:
        """The file."""
        tables: dict[str, Any] = {
            "name": self.name,
            "stop_ms": STOP_MS,
            "limits": LIMITS,
            "admin": FREE_PORT,
            "ajp": self._ajp_table(),
            "settings": admission_settings(self.scenario),
        }
        if self.scenario.state:
            tables["state"] = {"folder": self.store}
        if self.scenario.balancer.check_s:
            tables["console"] = {"agent_check": FREE_PORT}
        if self.peers is not None:
            tables["peers"] = self.peers
        return toml_file(tables | self.extra_tables)

    def _ajp_table(self) -> dict[str, Any]:
        return {
            "listen": FREE_PORT,
            "default_tenant": next(iter(self.scenario.tenants)),
            "retry_ms": RETRY_MS,
            "rules": [{"uri": f"/{each.name}/*", "class": each.name} for each in self.scenario.classes],
            "servers": [self._server_table(name, address) for name, address in self.servers.items()],
        }

    def _server_table(self, name: str, address: str) -> dict[str, Any]:
        table: dict[str, Any] = {"name": name} if self.names_servers else {}
        return table | {
            "address": address,
            "reply_ms": SERVER_REPLY_MS,
            "connect_ms": SERVER_CONNECT_MS,
        }


@dataclass
class PlatformConfiguration:
    """The file of a worker between a router and a kernel, in JSON. `kernel`: address of the link to it."""

    name: str
    scenario: Scenario
    kernel: str = ""

    @property
    def suffix(self) -> str:
        """Of its file."""
        return ".json"

    @property
    def parts(self) -> set[str]:
        """See Configuration."""
        return {"ThriftFront", "Operators"}

    def text(self) -> str:
        """The file."""
        return json.dumps(
            {
                "name": self.name,
                "listen": FREE_PORT,
                "admin": FREE_PORT,
                "kernel": self.kernel,
                "seed": f"{sum(self.name.encode()):x}",
                "stop_ms": STOP_MS,
                "limits": LIMITS,
                "settings": admission_settings(self.scenario),
            }
        )


@dataclass(frozen=True)
class FixedConfiguration:
    """A file whose tables are given, of a worker with peers before AJP servers."""

    tables: dict[str, Any]

    @property
    def suffix(self) -> str:
        """Of its file."""
        return ".toml"

    @property
    def parts(self) -> set[str]:
        """See Configuration."""
        return {"AjpFront", "Operators", "Peers"}

    def text(self) -> str:
        """The file."""
        return toml_file(self.tables)
