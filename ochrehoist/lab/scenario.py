"""What a run consists of: workers, services, load and faults, from TOML and checked.

The field names of the tables are keys of the scenario files. An error names the key.
"""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import Field, ValidationError, model_validator

from ochrehoist.config.fleet_description import (
    DescriptionTable,
    FleetDescriptionError,
    Positive,
    Share,
    error_lines,
)
from ochrehoist.errors import OchrehoistError
from ochrehoist.lab.balancer import BalancerSettings
from ochrehoist.lab.fault_schedule import Fault, FaultKind


class ScenarioError(OchrehoistError):
    """The scenario cannot be run; one line for each fault, each with its key."""


class RequestClass(DescriptionTable):
    """One class of the calls."""

    name: str
    share: Share
    work_ms: Positive
    aim_ms: Positive = 1800
    deadline_ms: Positive = 4500
    worth: Positive = 1.0
    keyed: bool = False  # its calls have idempotency keys
    window_s: Positive = 20.0  # in which a call with the same key must not run again


class Load(DescriptionTable):
    """The calls of all callers."""

    rate: Positive = 60.0  # calls a second
    tries: Annotated[int, Field(ge=1, le=20)] = 3
    wait_ms: Annotated[float, Field(ge=0)] = 100.0  # before a retry, at least
    hot_share: Share = 0.0  # of the calls, that are about one subject
    subjects: Annotated[int, Field(ge=1)] = 1000
    endless: bool = False  # retries at once, up to the call's due time, whatever the answer


class Services(DescriptionTable):
    """Servers below: one of each worker's own, or shared ones."""

    shared: Annotated[int, Field(ge=0, le=20)] = 3
    cores: Annotated[int, Field(ge=1)] = 4
    speed: Positive = 1.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 1.0
    cold_s: Annotated[float, Field(ge=0)] = 0.0


class Budget(DescriptionTable):
    """A budget that the workers share."""

    name: str
    use: Literal["repeats", "tenant", "server"]
    amount: Annotated[int, Field(ge=1)]
    of: str = ""
    lease_ms: Positive = 1000
    floor: Share = 0.1
    floor_lease_s: Positive = 4.0
    longest_ms: Positive = 1000


def _default_classes() -> list[RequestClass]:
    return [
        RequestClass(name="read", share=0.8, work_ms=20),
        RequestClass(name="filing", share=0.2, work_ms=30, worth=3, keyed=True),
    ]


class Scenario(DescriptionTable):
    """A whole scenario."""

    name: str
    about: str = ""
    seconds: Positive = 12.0
    settle: Annotated[float, Field(ge=0)] = 5.0  # s until all is up and the load counts
    workers: Annotated[int, Field(ge=1, le=40)] = 5
    voters: Annotated[int, Field(ge=0, le=40)] = 0  # 0: all
    form: Literal["appliance", "platform"] = "appliance"
    sites: dict[str, list[str]] = Field(default_factory=dict)  # workers by site
    balancer: BalancerSettings = BalancerSettings()
    tables: dict[str, dict[str, Any]] = Field(default_factory=dict)  # further ones of every worker's file
    peers: bool = True
    probe_ms: Annotated[int, Field(ge=20)] = 100
    state: bool = False
    cores: Annotated[int, Field(ge=1)] = 4  # that each worker counts on
    services: Services = Services()
    load: Load = Load()
    classes: list[RequestClass] = Field(default_factory=_default_classes)
    tenants: dict[str, float] = Field(default_factory=lambda: {"acme": 1000.0})  # quota by name
    budgets: list[Budget] = Field(default_factory=list)
    faults: list[Fault] = Field(default_factory=list)

    @model_validator(mode="after")
    def _consistent(self) -> Self:
        """Raises ValueError with the first thing that does not fit together."""
        for message in self._inconsistencies():
            raise ValueError(message)
        return self

    def _inconsistencies(self) -> Iterator[str]:
        placed = [worker for workers in self.sites.values() for worker in workers]
        if self.sites and sorted(placed) != sorted(self.worker_names):
            yield "sites: each worker lies in one"
        if "sites" in self.tables and not self.sites:
            yield "tables.sites: the scenario has no sites"
        if self.is_platform and (self.peers or self.state or self.budgets):
            yield "form: the platform has no peers, state or budgets"
        yield from self._fault_inconsistencies()
        if self.voters > self.workers:
            yield "voters: more than workers"

    def _fault_inconsistencies(self) -> Iterator[str]:
        names = {*self.worker_names, *self.sites, *self.service_names}
        for position, fault in enumerate(self.faults):
            for key, targets in (("who", fault.who), ("to", fault.to)):
                for name in targets:
                    if name not in names:
                        yield f"faults[{position}].{key}: no worker or service {name!r}"
            if fault.ends_at > self.seconds:
                yield f"faults[{position}].lasts: ends after the play"
        for fault in self.faults:
            if (fault.fault_kind is FaultKind.OPERATOR_CALL) != bool(fault.path):
                yield "faults: `path` goes with `call`"

    @property
    def worker_names(self) -> list[str]:
        """All workers."""
        return [f"w{number}" for number in range(self.workers)]

    @property
    def service_names(self) -> list[str]:
        """All services below: one for each worker where none are shared."""
        return [f"s{number}" for number in range(self.services.shared or self.workers)]

    @property
    def has_own_services(self) -> bool:
        """Whether each worker has a service of its own."""
        return self.services.shared == 0

    @property
    def is_platform(self) -> bool:
        """Whether workers run in the platform's form, between a router and a kernel."""
        return self.form == "platform"

    @property
    def witness_count(self) -> int:
        """How many witnesses each worker has."""
        count: int = self.tables.get("recovery", {}).get("witnesses", 0)
        return count

    @property
    def voter_names(self) -> list[str]:
        """The workers that grant leases."""
        return self.worker_names[: self.voters or self.workers]

    def site_of(self, worker: str) -> str:
        """The site of a worker; empty where it has none."""
        return next((name for name, workers in self.sites.items() if worker in workers), "")

    def expand(self, names: list[str]) -> list[str]:
        """Workers and services, with sites replaced by their workers."""
        return [member for name in names for member in self.sites.get(name, [name])]


def parse(data: dict[str, Any]) -> Scenario:
    """Raises ScenarioError, with a line for each fault."""
    try:
        return Scenario.model_validate(data)
    except ValidationError as error:
        raise ScenarioError("\n".join(error_lines(error))) from None


def load(path: Path) -> Scenario:
    """Raises ScenarioError, which names the file, and OSError."""
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except (tomllib.TOMLDecodeError, ScenarioError, FleetDescriptionError) as error:
        raise ScenarioError("\n".join(f"{path}: {line}" for line in str(error).splitlines())) from None
