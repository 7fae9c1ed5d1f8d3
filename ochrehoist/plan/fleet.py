"""The description of a fleet: sites, machines, workers, routers, clients and load, from TOML and checked.

Schemas are pydantic's, networks and address sets netaddr's. An error names the key.
"""

import tomllib
from enum import StrEnum
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any, Literal, Self

import netaddr
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from ochrehoist.admission import settings as admission_settings
from ochrehoist.admission.settings import AdmissionSettings, ObjectiveWeights, RequestClass
from ochrehoist.config.settings import IDEMPOTENCY_WORDS
from ochrehoist.errors import OchrehoistError

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
MS = 1_000_000


class FleetDescriptionError(OchrehoistError):
    """The description can't be used; one line for each fault, each with its key."""


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, ignored_types=(cached_property,))


class Choice(StrEnum):
    """How a router picks a worker."""

    ROUND = "round"  # one after the other
    LEAST = "least"  # the one that it has fewest requests open at
    TWO = "two"  # the better of two, by the same
    SUBJECT = "subject"  # by the request's subject, always the same
    WEIGHTED = "weighted"  # by chance, in proportion to cores and speed


class Class(Part):
    name: str
    share: Share
    work_ms: Positive  # mean, on one core of speed 1
    cv: Annotated[float, Field(ge=0, le=10)] = 0.9  # of the work, which is lognormal
    aim_ms: Positive
    deadline_ms: Positive
    worth: Annotated[float, Field(ge=0)] = 1.0
    late_worth: Share = 0.0
    repeat: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    window_ms: Annotated[float, Field(ge=0)] = 0.0
    heavy_share: Share = 0.0  # of its requests that cost many times as much
    heavy_times: Annotated[float, Field(ge=1)] = 1.0

    @property
    def mean_ms(self) -> float:
        return self.work_ms * (1 + self.heavy_share * (self.heavy_times - 1))

    @model_validator(mode="after")
    def _aim_before_deadline(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms is past deadline_ms")
        if self.repeat == "deduplicated" and not self.window_ms:
            raise ValueError("window_ms: missing where requests may come again")
        return self


class Tenant(Part):
    name: str
    share: Share
    quota_per_s: Annotated[float, Field(ge=0)] | None = None  # of all workers; else all that it sends


class Kind(Part):
    """One kind of machine."""

    name: str
    cores: Annotated[int, Field(ge=1, le=1024)]
    speed: tuple[Positive, Positive] | Positive  # of a core, against the one that work is told for
    memory_mb: Positive
    connections: Annotated[int, Field(ge=1)] = 300
    full_table_tax: Share = 0.3  # of its capacity, while the connection table is full
    handshake_ms: Annotated[float, Field(ge=0)] = 0.0  # work of a new connection
    crowd: Annotated[float, Field(gt=1)] = 8.0  # running requests a core that it survives
    slow_from: Annotated[float, Field(ge=1)] = 1.3  # of them, past which all get less done together
    slow_to: Annotated[float, Field(gt=0, le=1)] = 0.7  # of its capacity, at the crowd
    cold_from: Annotated[float, Field(gt=0, le=1)] = 1.0  # of its speed, just started
    cold_s: Annotated[float, Field(ge=0)] = 0.0

    @property
    def speeds(self) -> tuple[float, float]:
        return self.speed if isinstance(self.speed, tuple) else (self.speed, self.speed)

    @field_validator("speed")
    @classmethod
    def _ordered(cls, value: Any) -> Any:
        if isinstance(value, tuple) and value[0] > value[1]:
            raise ValueError("the range runs backwards")
        return value


class Site(Part):
    """A data centre: what lies in it is told by networks and by addresses of its own."""

    name: str
    networks: list[str] = []
    addresses: list[str] = []
    cross_ms: Annotated[float, Field(ge=0)] = 2.0  # one way, to another site

    @field_validator("networks", "addresses")
    @classmethod
    def _readable(cls, value: list[str]) -> list[str]:
        for text in value:
            addresses_of(text)
        return value

    @cached_property
    def space(self) -> netaddr.IPSet:
        parts = (part for text in (*self.networks, *self.addresses) for part in addresses_of(text))
        return netaddr.IPSet(list(parts))


class Workers(Part):
    kind: str
    addresses: list[str]


class Routers(Part):
    addresses: list[str]
    choice: Choice = Choice.ROUND
    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 0.0  # before a further try
    keep_to: Annotated[int, Field(ge=0)] = 0  # of the workers, for good; 0: all
    weight: Positive = 1.0  # of the load that comes to each, against other routers


class Clients(Part):
    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 300.0
    heed: Share = 0.6  # of the routers that stay away as they are told


class Membership(Part):
    lag_s: Annotated[float, Field(ge=0)] = 1.5  # until routers know of a change


class Load(Part):
    rate: Positive  # first tries a second, all routers together
    subjects: Annotated[int, Field(ge=1, le=10_000_000)] = 10_000
    zipf: Annotated[float, Field(ge=0, le=3)] = 0.9
    hot: Annotated[int, Field(ge=0, le=1000)] = 0  # subjects that draw, besides,
    hot_share: Share = 0.0  # so much of all
    swing: Share = 0.0  # of the rate, up and down
    swing_s: Positive = 60.0
    hint_cv: Annotated[float, Field(ge=0, le=5)] = 0.2  # error of the stated work


class Intake(Part):
    share: Share = 0.05  # of the mean work, to read a request
    held_kb: tuple[Positive, Positive] = (14.0, 57.0)
    run_factor: Annotated[float, Field(ge=1)] = 16.0
    key_kb: Annotated[float, Field(ge=0)] = 80.0
    idle_s: Positive = 30.0  # after which routers close a connection


class Placed(Part):
    """A worker or router by address, and the site that it lies in."""

    address: str
    site: str
    kind: str = ""
    group: int = 0  # of the description's routers


class Fleet(Part):
    name: str = "fleet"
    load: Load
    classes: Annotated[list[Class], Field(min_length=1)]
    tenants: list[Tenant] = []
    kinds: Annotated[list[Kind], Field(min_length=1)]
    sites: Annotated[list[Site], Field(min_length=1)]
    workers: Annotated[list[Workers], Field(min_length=1)]
    routers: Annotated[list[Routers], Field(min_length=1)]
    clients: Clients = Clients()
    membership: Membership = Membership()
    intake: Intake = Intake()
    over_share_worth: Share = 0.1

    @model_validator(mode="after")
    def _whole(self) -> Self:
        for key in ("classes", "tenants", "kinds", "sites"):
            names = [part.name for part in getattr(self, key)]
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"{key}: {name!r} comes twice")
        for key in ("classes", "tenants"):
            total = sum(part.share for part in getattr(self, key))
            if getattr(self, key) and abs(total - 1) > 0.01:
                raise ValueError(f"{key}: the shares make {total:.3f}, not 1")
        for a, site in enumerate(self.sites):
            for other in self.sites[a + 1 :]:
                both = site.space & other.space
                if both:
                    raise ValueError(f"sites: {site.name} and {other.name} both hold {both.iter_cidrs()[0]}")
        kinds = {kind.name for kind in self.kinds}
        for at, group in enumerate(self.workers):
            if group.kind not in kinds:
                raise ValueError(f"workers[{at}].kind: no kind {group.kind!r}; there are {sorted(kinds)}")
        seen: set[str] = set()
        for part in (*self.placed_workers, *self.placed_routers):
            if part.address in seen:
                raise ValueError(f"{part.address} stands for two")
            seen.add(part.address)
        return self

    def _place(self, key: str, at: int, addresses: list[str]) -> list[tuple[str, str]]:
        out = []
        for text in addresses:
            try:
                listed = [str(ip) for part in addresses_of(text) for ip in part]
            except ValueError as error:
                raise ValueError(f"{key}[{at}].addresses: {error}") from None
            for address in listed:
                site = next((s.name for s in self.sites if netaddr.IPAddress(address) in s.space), None)
                if site is None:
                    raise ValueError(f"{key}[{at}].addresses: {address} lies in no site")
                out.append((address, site))
        if not out:
            raise ValueError(f"{key}[{at}].addresses: none")
        return out

    @cached_property
    def placed_workers(self) -> list[Placed]:
        return [
            Placed(address=a, site=s, kind=g.kind)
            for at, g in enumerate(self.workers)
            for a, s in self._place("workers", at, g.addresses)
        ]

    @cached_property
    def placed_routers(self) -> list[Placed]:
        return [
            Placed(address=a, site=s, group=at)
            for at, g in enumerate(self.routers)
            for a, s in self._place("routers", at, g.addresses)
        ]

    def kind(self, name: str) -> Kind:
        return next(kind for kind in self.kinds if kind.name == name)

    @property
    def mean_work_s(self) -> float:
        """Seconds on a core of speed 1 for one request, over all classes."""
        return sum(c.share * c.mean_ms for c in self.classes) / 1000

    @property
    def capacity(self) -> float:
        """Seconds of such work that all cores can do in a second, at the middle of their speeds."""
        return sum(k.cores * sum(k.speeds) / 2 for k in (self.kind(w.kind) for w in self.placed_workers))

    @property
    def demand(self) -> float:
        """Of the capacity, by first tries and their reading."""
        return self.load.rate * self.mean_work_s * (1 + self.intake.share) / self.capacity

    def with_load(self, rate: float) -> "Fleet":
        return self.model_copy(update={"load": self.load.model_copy(update={"rate": rate})})

    def at(self, demand: float) -> "Fleet":
        """The same with a load of so much of its capacity."""
        return self.with_load(self.load.rate * demand / self.demand)

    def settings(self, kind: Kind, cold: bool) -> AdmissionSettings:
        """What a worker of this kind is told."""
        return AdmissionSettings(
            classes=tuple(
                RequestClass(
                    name=c.name,
                    latency_objective_ns=int(c.aim_ms * MS),
                    deadline_ns=int(c.deadline_ms * MS),
                    priority_weight=c.worth,
                    late_weight=c.late_worth,
                    idempotency=IDEMPOTENCY_WORDS[c.repeat],
                    idempotency_window_ns=int(c.window_ms * MS),
                )
                for c in self.classes
            ),
            tenants=tuple(admission_settings.Tenant(t.name, self.quota(t), t.share) for t in self.tenants),
            cores=kind.cores,
            memory_kb=kind.memory_mb * 1000,
            collapse_multiple=kind.crowd,
            collapse_after_ns=1500 * MS,
            run_memory_factor=self.intake.run_factor,
            drain_grace_ns=2500 * MS,
            answer_grace_ns=80 * MS,
            objective=ObjectiveWeights(0.45, 0.15, 0.3, 0.1),
            fleet_size=len(self.placed_workers),
            caller_count=len(self.placed_routers),
            key_kb=self.intake.key_kb,
            cold_start=cold,
            warmup_ns=int(kind.cold_s * 1000 * MS),
            warmup_speed=kind.cold_from,
            reports_disconnects=True,
            marks_retries=True,
            weighs_work=True,
            over_quota_weight=self.over_share_worth,
            relays_retry_after=True,
            max_retry_after_ns=1000 * MS,
            readiness=True,
            idle_timeout_ns=int(self.intake.idle_s * 1000 * MS),
            clock_step_ns=4 * MS,
        )

    def told(self, kind: Kind) -> dict[str, Any]:
        """The same as the platform's settings object, for a real worker."""
        ns = 1_000_000_000
        names = {repeat: name for name, repeat in IDEMPOTENCY_WORDS.items()}
        s = self.settings(kind, cold=False)
        return {
            "Classes": [
                {
                    "Name": c.name,
                    "Slo": c.latency_objective_ns,
                    "Deadline": c.deadline_ns,
                    "Gain": c.priority_weight,
                    "LateValue": c.late_weight,
                    "Repeat": names[c.idempotency],
                }
                | ({"Window": c.idempotency_window_ns} if c.idempotency_window_ns else {})
                for c in s.classes
            ],
            "Tenants": [{"Name": t.name, "QuotaPerS": t.quota_per_s, "Fraction": t.share} for t in s.tenants],
            "FamilyInfo": {
                "Cores": s.cores,
                "HeapKb": s.memory_kb,
                "RunFactor": s.run_memory_factor,
                "KeyKb": s.key_kb,
                "Callers": s.caller_count,
                "Idle": s.idle_timeout_ns,
                "TellsGone": True,
                "Readiness": True,
                "OwnStats": ["cpu_busy", "runnable"],
            },
            "FleetSize": s.fleet_size,
            "Step": s.clock_step_ns,
            "WorthBy": "work",
            "OverShareWorth": s.over_quota_weight,
            "ClientHabits": {"MarksRetry": True},
            "ResultMix": {
                "Whole": s.objective.overall,
                "WorstWindow": s.objective.worst_window,
                "WorstClass": s.objective.worst_class,
                "WorstTenant": s.objective.worst_tenant,
            },
            "PolicyLimits": {"RetryAfter": True, "MaxRetryAfter": s.max_retry_after_ns},
            "Rules": {
                "Cold": max(1, s.warmup_ns),
                "ColdFrom": s.warmup_speed,
                "DrainGrace": s.drain_grace_ns,
                "Fall": int(1.5 * ns),
                "GraceToAnswer": s.answer_grace_ns,
                "TipMultiple": s.collapse_multiple,
            },
        }

    def quota(self, tenant: Tenant) -> float:
        return tenant.quota_per_s if tenant.quota_per_s is not None else tenant.share * self.load.rate


def addresses_of(text: str) -> list[netaddr.IPNetwork | netaddr.IPRange]:
    """An address, a network in CIDR, or a range FIRST-LAST, of IPv4 or IPv6."""
    try:
        if "-" in text:
            first, last = (part.strip() for part in text.split("-"))
            return [netaddr.IPRange(first, last)]
        return [netaddr.IPNetwork(text)]
    except (netaddr.AddrFormatError, ValueError) as error:
        raise ValueError(f"{text!r} is no address, network or range: {error}") from None


def told_faults(error: ValidationError) -> list[str]:
    """A line for each fault, which begins with its key."""
    lines = []
    for fault in error.errors():
        key = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in fault["loc"]).lstrip(".")
        text = fault["msg"].removeprefix("Value error, ")
        found = "" if fault["type"] in ("missing", "value_error") else f" (found {fault['input']!r})"
        lines.append(f"{key}: {text}{found}" if key else text)
    return lines


def parse(data: dict[str, Any]) -> Fleet:
    """Raises FleetDescriptionError, with a line for each fault."""
    try:
        return Fleet.model_validate(data)
    except ValidationError as error:
        raise FleetDescriptionError("\n".join(told_faults(error))) from None


def load(path: Path) -> Fleet:
    """Raises FleetDescriptionError, which names the file, and OSError."""
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except tomllib.TOMLDecodeError as error:
        raise FleetDescriptionError(f"{path}: {error}") from None
    except FleetDescriptionError as error:
        raise FleetDescriptionError(
            "\n".join(f"{path}: {line}" for line in str(error).splitlines())
        ) from None
