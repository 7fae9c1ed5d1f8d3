"""What a play is: workers, services, load and faults, from TOML and checked. An error names the key."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal, Self

from pydantic import Field, ValidationError, model_validator

from ochrehoist.config.fleet_description import (
    DescriptionTable,
    FleetDescriptionError,
    Positive,
    Share,
    fault_lines,
)
from ochrehoist.errors import OchrehoistError
from ochrehoist.lab.balancer import BalancerSettings

Links = Literal["peers", "fronts", "servers", "checks", "all"]
KINDS = (
    "cut",
    "one way",
    "hold",
    "weather",
    "delay",
    "pause",
    "kill",
    "leave",
    "replace",
    "crowd",
    "trickle",
    "twin",
    "reload",
    "slow",
    "dead",
    "cuts",
    "replay",
    "flood",
    "garble",
    "clock",
    "disk",
    "call",
    "rate",
    "cool",
)


class ScenarioError(OchrehoistError):
    """The scenario can't be played; one line for each fault, each with its key."""


class Class(DescriptionTable):
    name: str
    share: Share
    work_ms: Positive
    aim_ms: Positive = 1800
    deadline_ms: Positive = 4500
    worth: Positive = 1.0
    keyed: bool = False
    window_s: Positive = 20.0  # in which a repeat of a keyed one must not run


class Load(DescriptionTable):
    rate: Positive = 60.0  # calls a second
    tries: Annotated[int, Field(ge=1, le=20)] = 3
    wait_ms: Annotated[float, Field(ge=0)] = 100.0  # before a further try, at least
    hot_share: Share = 0.0  # of the calls, that are about one subject
    subjects: Annotated[int, Field(ge=1)] = 1000
    endless: bool = False  # tries again at once, up to the call's due time, whatever it is told


class Services(DescriptionTable):
    """Servers below: one of each worker's own, or shared ones."""

    shared: Annotated[int, Field(ge=0, le=20)] = 3
    cores: Annotated[int, Field(ge=1)] = 4
    speed: Positive = 1.0
    cold_from: Annotated[float, Field(gt=0, le=1)] = 1.0
    cold_s: Annotated[float, Field(ge=0)] = 0.0


class Budget(DescriptionTable):
    name: str
    use: Literal["repeats", "tenant", "server"]
    amount: Annotated[int, Field(ge=1)]
    of: str = ""
    lease_ms: Positive = 1000
    floor: Share = 0.1
    floor_lease_s: Positive = 4.0
    longest_ms: Positive = 1000


class Fault(DescriptionTable):
    """`who`: workers (w0, w1 ...), services (s0 ...) or sites by name; of `cut`, those on one side. `to`: the
    other; else all."""

    at: Annotated[float, Field(ge=0)]
    kind: str
    who: Annotated[list[str], Field(min_length=1)]
    to: list[str] = []
    links: Links = "peers"
    lasts: Annotated[float, Field(ge=0)] = 0.0
    amount: float = 0.0  # of slow, rate: times; of delay, weather, clock and kill (the clock of the
    # next process): s or share; of reload: the new budget; of cool: the speed that services fall to
    path: str = ""  # of call: what operators post to each worker's address
    between: Annotated[float, Field(ge=0)] = 0.0  # s from one of `who` to the next
    repeat: Share = 0.0  # of weather
    store: Literal["kept", "removed", "older"] = "kept"  # of kill: what the next process finds

    @model_validator(mode="after")
    def _known(self) -> Self:
        if self.kind not in KINDS:
            raise ValueError(f"kind: no {self.kind!r}; there are {', '.join(KINDS)}")
        return self


class Scenario(DescriptionTable):
    name: str
    about: str = ""
    seconds: Positive = 12.0
    settle: Annotated[float, Field(ge=0)] = 5.0  # s until all is up and the load counts
    workers: Annotated[int, Field(ge=1, le=40)] = 5
    voters: Annotated[int, Field(ge=0, le=40)] = 0  # 0: all
    form: Literal["appliance", "platform"] = "appliance"
    sites: dict[str, list[str]] = {}  # workers by site
    balancer: BalancerSettings = BalancerSettings()
    tables: dict[str, dict[str, Any]] = {}  # further tables of every worker's file
    peers: bool = True
    probe_ms: Annotated[int, Field(ge=20)] = 100
    state: bool = False
    cores: Annotated[int, Field(ge=1)] = 4  # that each worker counts on
    services: Services = Services()
    load: Load = Load()
    classes: list[Class] = [
        Class(name="read", share=0.8, work_ms=20),
        Class(name="filing", share=0.2, work_ms=30, worth=3, keyed=True),
    ]
    tenants: dict[str, float] = {"acme": 1000.0}  # quota by name
    budgets: list[Budget] = []
    faults: list[Fault] = []

    @model_validator(mode="after")
    def _whole(self) -> Self:
        names = {f"w{n}" for n in range(self.workers)}
        placed = [w for workers in self.sites.values() for w in workers]
        if self.sites and sorted(placed) != sorted(names):
            raise ValueError("sites: each worker lies in one")
        names |= self.sites.keys()
        if "sites" in self.tables and not self.sites:
            raise ValueError("tables.sites: the scenario has no sites")
        if self.form == "platform" and (self.peers or self.state or self.budgets):
            raise ValueError("form: the platform has no peers, state or budgets")
        services = {f"s{n}" for n in range(self.services.shared or self.workers)}
        for at, f in enumerate(self.faults):
            for key in ("who", "to"):
                for name in getattr(f, key):
                    if name not in names | services:
                        raise ValueError(f"faults[{at}].{key}: no worker or service {name!r}")
            if f.at + f.lasts > self.seconds:
                raise ValueError(f"faults[{at}].lasts: ends after the play")
        for f in self.faults:
            if (f.kind == "call") != bool(f.path):
                raise ValueError("faults: `path` goes with `call`")
        if self.voters > self.workers:
            raise ValueError("voters: more than workers")
        return self

    def site_of(self, worker: str) -> str:
        return next((name for name, workers in self.sites.items() if worker in workers), "")

    def named(self, names: list[str]) -> list[str]:
        """Workers and services, with sites taken apart."""
        return [n for name in names for n in self.sites.get(name, [name])]


def parse(data: dict) -> Scenario:
    """Raises ScenarioError, with a line for each fault."""
    try:
        return Scenario.model_validate(data)
    except ValidationError as error:
        raise ScenarioError("\n".join(fault_lines(error))) from None


def load(path: Path) -> Scenario:
    """Raises ScenarioError, which names the file, and OSError."""
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except (tomllib.TOMLDecodeError, ScenarioError, FleetDescriptionError) as error:
        raise ScenarioError("\n".join(f"{path}: {line}" for line in str(error).splitlines())) from None
