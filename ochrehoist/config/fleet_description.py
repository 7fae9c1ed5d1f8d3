"""Loads and validates the TOML description of a fleet: sites, machines, workers, routers, clients and load.

The schemas use pydantic; networks and address sets use netaddr. Errors name the key.
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
SHARE_SUM_TOLERANCE = 0.01  # allowed rounding error of a sum of shares


class FleetDescriptionError(OchrehoistError):
    """An invalid fleet description; the text has one line for each error, which begins with its key."""


class DescriptionTable(BaseModel):
    """A table of the description; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, ignored_types=(cached_property,))


class WorkerSelection(StrEnum):
    """A router's policy for choosing a worker."""

    ROUND_ROBIN = "round"
    LEAST_OPEN = "least"  # fewest open requests of this router
    POWER_OF_TWO = "two"  # fewer open requests among two random workers
    SUBJECT_HASH = "subject"  # rendezvous hash of the request subject
    WEIGHTED = "weighted"  # random, in proportion to cores and speed


class RequestClass(DescriptionTable):
    """Load, time limits and priority weight of one request class."""

    name: str
    share: Share
    work_ms: Positive  # mean CPU time on a core of speed 1
    cv: Annotated[float, Field(ge=0, le=10)] = 0.9  # coefficient of variation of the lognormal work
    aim_ms: Positive
    deadline_ms: Positive
    worth: Annotated[float, Field(ge=0)] = 1.0
    late_worth: Share = 0.0
    repeat: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    window_ms: Annotated[float, Field(ge=0)] = 0.0
    heavy_share: Share = 0.0  # fraction of requests whose work is heavy_times the usual work
    heavy_times: Annotated[float, Field(ge=1)] = 1.0

    @property
    def mean_work_ms(self) -> float:
        """Mean work of one request in ms, heavy requests included."""
        return self.work_ms * (1 + self.heavy_share * (self.heavy_times - 1))

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            message = "aim_ms is past deadline_ms"
            raise ValueError(message)
        if self.repeat == "deduplicated" and not self.window_ms:
            message = "window_ms: missing, but required for deduplicated requests"
            raise ValueError(message)
        return self


class Tenant(DescriptionTable):
    """Load and quota of one tenant of the fleet."""

    name: str
    share: Share
    quota_per_s: Annotated[float, Field(ge=0)] | None = None  # fleet-wide; None: its whole load


class MachineKind(DescriptionTable):
    """Capacity and overload behaviour of one kind of machine."""

    name: str
    cores: Annotated[int, Field(ge=1, le=1024)]
    speed: tuple[Positive, Positive] | Positive  # speed of a core; 1 is the core that work_ms refers to
    memory_mb: Positive
    connections: Annotated[int, Field(ge=1)] = 300
    full_table_tax: Share = 0.3  # fraction of the capacity lost while the connection table is full
    handshake_ms: Annotated[float, Field(ge=0)] = 0.0  # CPU time for a new connection
    crowd: Annotated[float, Field(gt=1)] = 8.0  # requests per core at which it collapses
    slow_from: Annotated[float, Field(ge=1)] = 1.3  # requests per core at which throughput falls
    slow_to: Annotated[float, Field(gt=0, le=1)] = 0.7  # fraction of the capacity that remains at `crowd`
    cold_from: Annotated[float, Field(gt=0, le=1)] = 1.0  # fraction of the speed directly after a start
    cold_s: Annotated[float, Field(ge=0)] = 0.0

    @property
    def speed_range(self) -> tuple[float, float]:
        """Speeds of the slowest and the fastest core."""
        return self.speed if isinstance(self.speed, tuple) else (self.speed, self.speed)

    @field_validator("speed")
    @classmethod
    def _require_ascending_range(cls, value: Any) -> Any:
        if isinstance(value, tuple) and value[0] > value[1]:
            message = "the lower bound of the range is above the upper bound"
            raise ValueError(message)
        return value


class Site(DescriptionTable):
    """A data centre, defined by its networks and single addresses."""

    name: str
    networks: list[str] = []
    addresses: list[str] = []
    cross_ms: Annotated[float, Field(ge=0)] = 2.0  # one-way latency to another site

    @field_validator("networks", "addresses")
    @classmethod
    def _require_valid_networks(cls, value: list[str]) -> list[str]:
        for text in value:
            parse_networks(text)
        return value

    @cached_property
    def address_set(self) -> netaddr.IPSet:
        """Set of all addresses in the site."""
        parts = (part for text in (*self.networks, *self.addresses) for part in parse_networks(text))
        return netaddr.IPSet(list(parts))


class Workers(DescriptionTable):
    """A group of workers on machines of the same kind."""

    kind: str
    addresses: list[str]


class Routers(DescriptionTable):
    """A group of routers with the same behaviour."""

    addresses: list[str]
    choice: WorkerSelection = WorkerSelection.ROUND_ROBIN
    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 0.0  # delay before a retry
    keep_to: Annotated[int, Field(ge=0)] = 0  # size of each router's fixed subset of workers; 0: all
    weight: Positive = 1.0  # relative load of each router


class Clients(DescriptionTable):
    """Behaviour of callers whose requests are rejected."""

    retries: Annotated[int, Field(ge=0, le=20)] = 1
    wait_ms: Annotated[float, Field(ge=0)] = 300.0
    heed: Share = 0.6  # fraction of routers that obey Retry-After


class Membership(DescriptionTable):
    """Propagation of worker changes to the routers."""

    lag_s: Annotated[float, Field(ge=0)] = 1.5  # delay until routers know of a change


class Load(DescriptionTable):
    """Offered load of all routers together."""

    rate: Positive  # first attempts per second, all routers together
    subjects: Annotated[int, Field(ge=1, le=10_000_000)] = 10_000
    zipf: Annotated[float, Field(ge=0, le=3)] = 0.9
    hot: Annotated[int, Field(ge=0, le=1000)] = 0  # number of hot subjects
    hot_share: Share = 0.0  # additional fraction of the load that the hot subjects receive
    swing: Share = 0.0  # amplitude of the load oscillation, as a fraction of the rate
    swing_s: Positive = 60.0  # period of the oscillation
    hint_cv: Annotated[float, Field(ge=0, le=5)] = 0.2  # coefficient of variation of work hints


class Intake(DescriptionTable):
    """Costs of reading a request and holding it in memory."""

    share: Share = 0.05  # work of reading a request, as a fraction of the mean work
    held_kb: tuple[Positive, Positive] = (14.0, 57.0)
    run_factor: Annotated[float, Field(ge=1)] = 16.0
    key_kb: Annotated[float, Field(ge=0)] = 80.0
    idle_s: Positive = 30.0  # idle time after which routers close a connection


class PlacedNode(DescriptionTable):
    """Address and site of one worker or router."""

    address: str
    site: str
    kind: str = ""
    group: int = 0  # index of the router group


class Fleet(DescriptionTable):
    """A complete fleet description."""

    name: str = "fleet"
    load: Load
    classes: Annotated[list[RequestClass], Field(min_length=1)]
    tenants: list[Tenant] = []
    kinds: Annotated[list[MachineKind], Field(min_length=1)]
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
        self._check_sites_disjoint()
        self._check_kinds()
        self._check_addresses_unique()
        return self

    def _check_names(self) -> None:
        for key in ("classes", "tenants", "kinds", "sites"):
            names = [part.name for part in getattr(self, key)]
            for name in names:
                if names.count(name) > 1:
                    message = f"{key}: {name!r} is defined more than once"
                    raise ValueError(message)

    def _check_shares(self) -> None:
        for key in ("classes", "tenants"):
            total = sum(part.share for part in getattr(self, key))
            if getattr(self, key) and abs(total - 1) > SHARE_SUM_TOLERANCE:
                message = f"{key}: the shares make {total:.3f}, not 1"
                raise ValueError(message)

    def _check_sites_disjoint(self) -> None:
        for index, site in enumerate(self.sites):
            for other in self.sites[index + 1 :]:
                overlap = site.address_set & other.address_set
                if overlap:
                    message = f"sites: {site.name} and {other.name} both hold {overlap.iter_cidrs()[0]}"
                    raise ValueError(message)

    def _check_kinds(self) -> None:
        kinds = {kind.name for kind in self.kinds}
        for index, group in enumerate(self.workers):
            if group.kind not in kinds:
                message = f"workers[{index}].kind: no kind {group.kind!r}; there are {sorted(kinds)}"
                raise ValueError(message)

    def _check_addresses_unique(self) -> None:
        seen: set[str] = set()
        for placed in (*self.placed_workers, *self.placed_routers):
            if placed.address in seen:
                message = f"{placed.address} stands for two"
                raise ValueError(message)
            seen.add(placed.address)

    def _locate(self, key: str, index: int, addresses: list[str]) -> list[tuple[str, str]]:
        """Returns the (address, site) pairs of a group of workers or routers."""
        placed = []
        for address in self._expand_addresses(key, index, addresses):
            site = self.site_of(address)
            if site is None:
                message = f"{key}[{index}].addresses: {address} lies in no site"
                raise ValueError(message)
            placed.append((address, site))
        if not placed:
            message = f"{key}[{index}].addresses: at least one address is required"
            raise ValueError(message)
        return placed

    @staticmethod
    def _expand_addresses(key: str, index: int, addresses: list[str]) -> Iterator[str]:
        for text in addresses:
            try:
                listed = [str(ip) for part in parse_networks(text) for ip in part]
            except ValueError as error:
                message = f"{key}[{index}].addresses: {error}"
                raise ValueError(message) from None
            yield from listed

    def site_of(self, address: str) -> str | None:
        """Returns the name of the site that contains `address`, or None if no site does."""
        ip = netaddr.IPAddress(address)
        return next((site.name for site in self.sites if ip in site.address_set), None)

    @cached_property
    def placed_workers(self) -> list[PlacedNode]:
        """Address, site and machine kind of each worker."""
        return [
            PlacedNode(address=address, site=site, kind=group.kind)
            for index, group in enumerate(self.workers)
            for address, site in self._locate("workers", index, group.addresses)
        ]

    @cached_property
    def placed_routers(self) -> list[PlacedNode]:
        """Address, site and group of each router."""
        return [
            PlacedNode(address=address, site=site, group=index)
            for index, group in enumerate(self.routers)
            for address, site in self._locate("routers", index, group.addresses)
        ]

    def kind(self, name: str) -> MachineKind:
        """Returns the machine kind of the given name, which must exist."""
        return next(kind for kind in self.kinds if kind.name == name)

    @property
    def mean_work_s(self) -> float:
        """Mean work of a request of any class, in seconds on a core of speed 1."""
        return sum(c.share * c.mean_work_ms for c in self.classes) / 1000

    @property
    def capacity(self) -> float:
        """Seconds of work that all cores complete per second, at the middle of their speed ranges."""
        return sum(k.cores * sum(k.speed_range) / 2 for k in (self.kind(w.kind) for w in self.placed_workers))

    @property
    def demand(self) -> float:
        """Fraction of the capacity that first attempts need, the work of reading them included."""
        return self.load.rate * self.mean_work_s * (1 + self.intake.share) / self.capacity

    def with_load(self, rate: float) -> "Fleet":
        """Returns a copy of the fleet with a load of `rate` first attempts per second."""
        return self.model_copy(update={"load": self.load.model_copy(update={"rate": rate})})

    def with_demand(self, demand: float) -> "Fleet":
        """Returns a copy of the fleet whose load needs the fraction `demand` of its capacity."""
        return self.with_load(self.load.rate * demand / self.demand)

    def quota(self, tenant: Tenant) -> float:
        """Returns the rate of a tenant's requests, per second, that have full priority weight."""
        return tenant.quota_per_s if tenant.quota_per_s is not None else tenant.share * self.load.rate


def parse_networks(text: str) -> list[netaddr.IPNetwork | netaddr.IPRange]:
    """Parses an IPv4 or IPv6 address, a network in CIDR notation, or a range FIRST-LAST.

    Raises ValueError.
    """
    try:
        if "-" in text:
            first, last = (part.strip() for part in text.split("-"))
            return [netaddr.IPRange(first, last)]
        return [netaddr.IPNetwork(text)]
    except (netaddr.AddrFormatError, ValueError) as error:
        message = f"{text!r} is not an address, network or range: {error}"
        raise ValueError(message) from None


def error_lines(error: ValidationError) -> list[str]:
    """Returns one line for each validation error, which begins with its key."""
    lines = []
    for fault in error.errors():
        key = "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in fault["loc"]).lstrip(".")
        text = fault["msg"].removeprefix("Value error, ")
        found = "" if fault["type"] in ("missing", "value_error") else f" (found {fault['input']!r})"
        lines.append(f"{key}: {text}{found}" if key else text)
    return lines


def parse(data: dict[str, Any]) -> Fleet:
    """Validates parsed TOML values. Raises FleetDescriptionError with one line for each error."""
    try:
        return Fleet.model_validate(data)
    except ValidationError as error:
        raise FleetDescriptionError("\n".join(error_lines(error))) from None


def load(path: Path) -> Fleet:
    """Loads a fleet description.

    Raises FleetDescriptionError, whose lines name the file, and OSError.
    """
    try:
        return parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except tomllib.TOMLDecodeError as error:
        message = f"{path}: {error}"
        raise FleetDescriptionError(message) from None
    except FleetDescriptionError as error:
        raise FleetDescriptionError(
            "\n".join(f"{path}: {line}" for line in str(error).splitlines())
        ) from None
