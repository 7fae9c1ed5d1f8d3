"""Reads the elements of `Tenants`; the objects of unchanged tenants are reused."""

import gc
from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ochrehoist.admission.settings import Tenant
from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.errors import InvalidInputError
from ochrehoist.steps import concatenated_in_steps

TENANTS_PER_STEP = 1000
NEW_TENANTS_PER_FREEZE = 4000


@dataclass(slots=True, frozen=True)
class TenantTable:
    """All tenants, with their positions by name."""

    tenants: tuple[Tenant, ...]
    positions: Mapping[str, int]


class TenantReader:
    """Reader of tenants that returns the existing object for each unchanged tenant."""

    _created_since_freeze = 0  # total of all readers in this process

    def __init__(self, current: tuple[Tenant, ...] = (), positions: Mapping[str, int] | None = None) -> None:
        self._current = current
        self._positions: Mapping[str, int] = positions or {}

    def append_element(self, data: Any, elements: list[Any]) -> None:
        """Appends a tenant: as a range of positions if unchanged, or as the data itself if invalid.

        read_in_steps() reports invalid data, since the index of the element is known only then.
        """
        position = self._unchanged_position(data)
        if position is None:
            try:
                elements.append(self._create_tenant(data, ""))
            except InvalidInputError:
                elements.append(data)
            return
        last = elements[-1] if elements else None
        if isinstance(last, range) and last.stop == position:
            elements[-1] = range(last.start, position + 1)
        else:
            elements.append(range(position, position + 1))

    def read_in_steps(self, items: Sequence[Any]) -> Generator[None, None, TenantTable]:
        """Returns all tenants of `items`: parsed data, tenants, and ranges of active tenants.

        If nothing changed, the result contains the active tuple itself. Raises InvalidInputError for invalid
        data and for duplicate names.
        """
        builder = _TenantListBuilder(self._current, self._positions)
        for number, item in enumerate(items, start=1):
            if isinstance(item, range):
                builder.add_unchanged(item)
            else:
                builder.add(item if isinstance(item, Tenant) else self._resolve_tenant(item, builder.count))
            if number % TENANTS_PER_STEP == 0:
                yield
        tenants = self._current
        if not builder.unchanged:
            tenants = yield from concatenated_in_steps(builder.parts, self._current)
        if builder.positions_unchanged:
            return TenantTable(tenants, self._positions)
        return TenantTable(tenants, (yield from _positions_in_steps(tenants)))

    def _resolve_tenant(self, data: Any, index: int) -> Tenant:
        position = self._unchanged_position(data)
        return (
            self._create_tenant(data, f"Tenants[{index}].") if position is None else self._current[position]
        )

    def _unchanged_position(self, data: Any) -> int | None:
        """Returns the position of the active tenant with the same values, or None if there is none."""
        if type(data) is not dict or type(name := data.get("Name")) is not str:
            return None
        position = self._positions.get(name)
        if position is None:
            return None
        quota, share = data.get("QuotaPerS"), data.get("Fraction", 0.0)
        if type(quota) is bool or type(share) is bool:  # true equals 1 but is not a valid number
            return None
        tenant = self._current[position]
        return position if tenant.quota_per_s == quota and tenant.share == share else None

    def _create_tenant(self, data: Any, path: str) -> Tenant:
        """Validates and creates a tenant. Raises InvalidInputError; `path` is the prefix of its key."""
        reader = ObjectReader(data, path)
        tenant = Tenant(reader.text("Name"), reader.number("QuotaPerS"), reader.number("Fraction", 0.0))
        self._count_created()
        return tenant

    @staticmethod
    def _count_created() -> None:
        """Excludes tenants from garbage collection after each NEW_TENANTS_PER_FREEZE created tenants.

        Repeated traversal of tens of thousands of tenants would block the event loop. Objects are not frozen
        more often, because garbage in reference cycles at the time of a freeze is never released.
        """
        TenantReader._created_since_freeze += 1
        if TenantReader._created_since_freeze == NEW_TENANTS_PER_FREEZE:
            TenantReader._created_since_freeze = 0
            gc.freeze()


class _TenantListBuilder:
    """Builder of the new list of tenants, which detects what equals the active list."""

    def __init__(self, current: tuple[Tenant, ...], positions: Mapping[str, int]) -> None:
        self._current = current
        self._same_elements = True
        self._same_names = len(positions) == len(current)
        self.count = 0
        self.parts: list[range | list[Tenant]] = []

    def add_unchanged(self, positions: range) -> None:
        """Adds active tenants by their positions."""
        self._same_names &= positions.start == self.count
        self.count += len(positions)
        self.parts.append(positions)

    def add(self, tenant: Tenant) -> None:
        """Adds one tenant, which may be an active one."""
        replaced = self._current[self.count] if self.count < len(self._current) else None
        self._same_elements &= tenant is replaced
        self._same_names &= replaced is not None and tenant.name == replaced.name
        self.count += 1
        last = self.parts[-1] if self.parts else None
        if isinstance(last, list):
            last.append(tenant)
        else:
            self.parts.append([tenant])

    @property
    def positions_unchanged(self) -> bool:
        """Whether each name has the same position as in the active list."""
        return self._same_names and self.count == len(self._current)

    @property
    def unchanged(self) -> bool:
        """Whether the list consists of the active tenants in the same order."""
        return self._same_elements and self.positions_unchanged


def _positions_in_steps(tenants: Sequence[Tenant]) -> Generator[None, None, Mapping[str, int]]:
    positions: dict[str, int] = {}
    for position, tenant in enumerate(tenants):
        first = positions.setdefault(tenant.name, position)
        if first != position:
            raise InvalidInputError.in_setting(
                f"Tenants[{position}].Name",
                f"{tenant.name!r} is the name of Tenants[{first}] too",
                conflicting_index=first,
            )
        if (position + 1) % TENANTS_PER_STEP == 0:
            yield
    return positions
