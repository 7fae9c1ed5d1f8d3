"""The description of a fleet: sites, machines, workers, routers, clients and load, from TOML and checked.

Schemas are pydantic's, networks and address sets netaddr's. An error names the key.
"""

import tomllib
from collections.abc import Iterator
from enum import StrEnum
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any, Literal, Self

import netaddr  # type: ignore[import-untyped]
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from ochrehoist.errors import OchrehoistError

Share = Annotated[float, Field(ge=0, le=1)]
Positive = Annotated[float, Field(gt=0)]
MAX_SHARE_ERROR = 0.01  # by which shares may miss their sum


class FleetDescriptionError(OchrehoistError):
    """The description cannot be used; one line for each fault, each with its key."""


class DescriptionTable(BaseModel):
    """A table of the description; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True, ignored_types=(cached_property,))


class Choice(StrEnum):
    """How a router picks a worker."""

    ROUND = "round"  # one after the other
    LEAST = "least"  # the one that it has fewest requests open at
    TWO = "two"  # the better of two, by the same
    SUBJECT = "subject"  # by the request's subject, always the same
    WEIGHTED = "weighted"  # by chance, in proportion to cores and speed


class Class(DescriptionTable):
    """One class of requests."""

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
        """The work of one request, over its heavy ones too."""
        return self.work_ms * (1 + self.heavy_share * (self.heavy_times - 1))

    @model_validator(mode="after")
    def _aim_before_deadline(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            message = "aim_ms is past deadline_ms"
            raise ValueError(message)
        if self.repeat == "deduplicated" and not self.window_ms:
            message = "window_ms: missing where requests may come again"
            raise ValueError(message)
        return self


class Tenant(DescriptionTable):
    """One tenant of the whole fleet."""

    name: str
    share: Share
    quota_per_s: Annotated[float, Field(ge=0)] | None = None  # of all workers; else all that it sends


class Kind(DescriptionTable):
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
        """The slowest and the fastest core."""
        return self.speed if isinstance(self.speed, tuple) else (self.speed, self.speed)

    @field_validator("speed")
    @classmethod
    def _ordered(cls, value: Any) -> Any:
        if isinstance(value, tuple) and value[0] > value[1]:
            message = "the range runs backwards"
            raise ValueError(message)
        return value


class Site(DescriptionTable):
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
        """All addresses that lie in it."""
        parts = (part for text in (*self.networks, *self.addresses) for part in addresses_of(text))
        return netaddr.IPSet(list(parts))


class Workers(DescriptionTable):
    """Workers of one kind."""

    kind: str
    addresses: list[str]


class Routers(DescriptionTable):
    """A group of routers that behave alike."""

    addresses: list[str]
    choice: Choice = Choice.ROUND
    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 0.0  # before a further try
    keep_to: Annotated[int, Field(ge=0)] = 0  # of the workers, for good; 0: all
    weight: Positive = 1.0  # of the load that comes to each, against other routers


class Clients(DescriptionTable):
    """What callers do where they are rejected."""

    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 300.0
    heed: Share = 0.6  # of the routers that stay away as they are told


class Membership(DescriptionTable):
    """How routers learn of workers."""

    lag_s: Annotated[float, Field(ge=0)] = 1.5  # until routers know of a change


class Load(DescriptionTable):
    """What comes to all routers together."""

    rate: Positive  # first tries a second, all routers together
    subjects: Annotated[int, Field(ge=1, le=10_000_000)] = 10_000
    zipf: Annotated[float, Field(ge=0, le=3)] = 0.9
    hot: Annotated[int, Field(ge=0, le=1000)] = 0  # subjects that draw, besides,
    hot_share: Share = 0.0  # so much of all
    swing: Share = 0.0  # of the rate, up and down
    swing_s: Positive = 60.0
    hint_cv: Annotated[float, Field(ge=0, le=5)] = 0.2  # error of the stated work


class Intake(DescriptionTable):
    """What reading and holding a request takes."""

    share: Share = 0.05  # of the mean work, to read a request
    held_kb: tuple[Positive, Positive] = (14.0, 57.0)
    run_factor: Annotated[float, Field(ge=1)] = 16.0
    key_kb: Annotated[float, Field(ge=0)] = 80.0
    idle_s: Positive = 30.0  # after which routers close a connection


class Placed(DescriptionTable):
    """A worker or router by address, and the site that it lies in."""

    address: str
    site: str
    kind: str = ""
    group: int = 0  # of the description's routers


class Fleet(DescriptionTable):
    """The whole description."""

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
    def _is_consistent(self) -> Self:
        self._check_names()
        self._check_shares()
        self._check_sites_apart()
        self._check_kinds()
        self._check_addresses_differ()
        return self

    def _check_names(self) -> None:
        for key in ("classes", "tenants", "kinds", "sites"):
            names = [part.name for part in getattr(self, key)]
            for name in names:
                if names.count(name) > 1:
                    message = f"{key}: {name!r} comes twice"
                    raise ValueError(message)

    def _check_shares(self) -> None:
        for key in ("classes", "tenants"):
            total = sum(part.share for part in getattr(self, key))
            if getattr(self, key) and abs(total - 1) > MAX_SHARE_ERROR:
                message = f"{key}: the shares make {total:.3f}, not 1"
                raise ValueError(message)

    def _check_sites_apart(self) -> None:
        for index, site in enumerate(self.sites):
            for other in self.sites[index + 1 :]:
                both = site.space & other.space
                if both:
                    message = f"sites: {site.name} and {other.name} both hold {both.iter_cidrs()[0]}"
                    raise ValueError(message)

    def _check_kinds(self) -> None:
        kinds = {kind.name for kind in self.kinds}
        for index, group in enumerate(self.workers):
            if group.kind not in kinds:
                message = f"workers[{index}].kind: no kind {group.kind!r}; there are {sorted(kinds)}"
                raise ValueError(message)

    def _check_addresses_differ(self) -> None:
        seen: set[str] = set()
        for placed in (*self.placed_workers, *self.placed_routers):
            if placed.address in seen:
                message = f"{placed.address} stands for two"
                raise ValueError(message)
            seen.add(placed.address)

    def _place(self, key: str, index: int, addresses: list[str]) -> list[tuple[str, str]]:
        """Addresses with their sites, of a group of workers or routers."""
        placed = []
        for address in self._listed(key, index, addresses):
            site = self.site_of(address)
            if site is None:
                message = f"{key}[{index}].addresses: {address} lies in no site"
                raise ValueError(message)
            placed.append((address, site))
        if not placed:
            message = f"{key}[{index}].addresses: none"
            raise ValueError(message)
        return placed

    @staticmethod
    def _listed(key: str, index: int, addresses: list[str]) -> Iterator[str]:
        for text in addresses:
            try:
                listed = [str(ip) for part in addresses_of(text) for ip in part]
            except ValueError as error:
                message = f"{key}[{index}].addresses: {error}"
                raise ValueError(message) from None
            yield from listed

    def site_of(self, address: str) -> str | None:
        """The site in which an address lies, by its networks, addresses and ranges."""
        ip = netaddr.IPAddress(address)
        return next((site.name for site in self.sites if ip in site.space), None)

    @cached_property
    def placed_workers(self) -> list[Placed]:
        """All workers."""
        return [
            Placed(address=address, site=site, kind=group.kind)
            for index, group in enumerate(self.workers)
            for address, site in self._place("workers", index, group.addresses)
        ]

    @cached_property
    def placed_routers(self) -> list[Placed]:
        """All routers."""
        return [
            Placed(address=address, site=site, group=index)
            for index, group in enumerate(self.routers)
            for address, site in self._place("routers", index, group.addresses)
        ]

    def kind(self, name: str) -> Kind:
        """The kind of this name, which is there."""
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
        """The same with so many first tries a second."""
        return self.model_copy(update={"load": self.load.model_copy(update={"rate": rate})})

    def at(self, demand: float) -> "Fleet":
        """The same with a load of so much of its capacity."""
        return self.with_load(self.load.rate * demand / self.demand)

    def quota(self, tenant: Tenant) -> float:
        """Requests a second that count in full for a tenant."""
        return tenant.quota_per_s if tenant.quota_per_s is not None else tenant.share * self.load.rate


def addresses_of(text: str) -> list[netaddr.IPNetwork | netaddr.IPRange]:
    """An address, a network in CIDR, or a range FIRST-LAST, of IPv4 or IPv6."""
    try:
        if "-" in text:
            first, last = (part.strip() for part in text.split("-"))
            return [netaddr.IPRange(first, last)]
        return [netaddr.IPNetwork(text)]
    except (netaddr.AddrFormatError, ValueError) as error:
        message = f"{text!r} is no address, network or range: {error}"
        raise ValueError(message) from None


def fault_lines(error: ValidationError) -> list[str]:
    """A line for each fault, which begins with its key."""
    lines = []
    for fault in error.errors():
        key = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in fault["loc"]).lstrip(".")
        text = fault["msg"].removeprefix("Value error, ")
        found = "" if fault["type"] in ("missing", "value_error") else f" (found {fault['input']!r})"
        lines.append(f"{key}: {text}{found}" if key else text)
    return lines


def parse(data: dict[str, Any]) -> Fleet:
    """The description from its TOML values. Raises FleetDescriptionError, with a line for each fault."""
    try:
        return Fleet.model_validate(data)
    except ValidationError as error:
        raise FleetDescriptionError("\n".join(fault_lines(error))) from None


def load(path: Path) -> Fleet:
    """The description from a file. Raises FleetDescriptionError, which names the file, and OSError."""
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except tomllib.TOMLDecodeError as error:
        message = f"{path}: {error}"
        raise FleetDescriptionError(message) from None
    except FleetDescriptionError as error:
        raise FleetDescriptionError(
            "\n".join(f"{path}: {line}" for line in str(error).splitlines())
        ) from None
