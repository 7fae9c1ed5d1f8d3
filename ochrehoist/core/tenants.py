"""Tenants by name, and the position of each in the controller's tuple of tenants.

Tables are immutable: a new one is built in steps of well under a millisecond each and replaces the current
one in a single assignment. Users always look tenants up in the current table.
"""

from collections.abc import Collection, Generator
from dataclasses import dataclass, field

from ochrehoist.admission.settings import Tenant

NAMES_PER_STEP = 400
TENANTS_COMPARED_PER_STEP = 8192  # unchanged tenants compare by identity, in C, so that more fit into a step
# Before a compaction is due, removed tenants may take this many positions, or one in POSITIONS_PER_RETIRED if
# that is more.
MIN_RETIRED_POSITIONS = 1024
POSITIONS_PER_RETIRED = 10

Tenants = tuple[Tenant, ...]


@dataclass(slots=True, frozen=True, eq=False)
class TenantTable:
    """Immutable table of the current and the removed tenants.

    Attributes:
        listed: The current tenants, in the order of the settings.
        by_position: The tenants as passed to the controller. Current and removed tenants keep their
            positions, so that a removed tenant that is added again has its old position; other new tenants
            are appended.
        positions: Positions of the current tenants, by name.
        retired: Positions of the removed tenants, by name.
    """

    listed: Tenants = ()
    by_position: Tenants = ()
    positions: dict[str, int] = field(default_factory=dict)
    retired: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.positions)

    def __contains__(self, name: object) -> bool:
        """Returns whether this is the name of a current tenant."""
        return name in self.positions

    def __getitem__(self, name: str) -> int:
        """Returns the position of a current tenant; raises KeyError if there is none of this name."""
        return self.positions[name]

    def get(self, name: str | None) -> Tenant | None:
        """Returns the current tenant of this name, if any."""
        position = None if name is None else self.positions.get(name)
        return None if position is None else self.by_position[position]

    def position(self, name: str | None) -> int | None:
        """Returns the position of a current or removed tenant; None if it is unknown."""
        if name is None:
            return None
        position = self.positions.get(name)
        return self.retired.get(name) if position is None else position

    def is_known(self, name: str) -> bool:
        """Returns whether this is the name of a current or removed tenant."""
        return name in self.positions or name in self.retired

    @property
    def needs_compaction(self) -> bool:
        """Whether removed tenants take so many positions that a new, compact controller is needed."""
        return len(self.retired) > max(MIN_RETIRED_POSITIONS, len(self.by_position) // POSITIONS_PER_RETIRED)


def initial_table(listed: Tenants) -> TenantTable:
    """Returns the table for the start of a process, built in a single step."""
    return TenantTable(listed, listed, {t.name: position for position, t in enumerate(listed)})


def _common_prefix(old: Tenants, new: Tenants) -> Generator[None, None, int]:
    """Returns the length of the common prefix."""
    count = 0
    limit = min(len(old), len(new))
    while count < limit:
        size = min(TENANTS_COMPARED_PER_STEP, limit - count)
        while old[count : count + size] != new[count : count + size]:
            if size == 1:
                return count
            size = max(1, size // 8)
        count += size
        yield
    return limit


def _common_suffix(old: Tenants, new: Tenants, limit: int) -> Generator[None, None, int]:
    """Returns the length of the common suffix, at most `limit`."""
    count = 0
    while count < limit:
        size = min(TENANTS_COMPARED_PER_STEP, limit - count)
        while (
            old[len(old) - count - size : len(old) - count] != new[len(new) - count - size : len(new) - count]
        ):
            if size == 1:
                return count
            size = max(1, size // 8)
        count += size
        yield
    return count


def updated_table(previous: TenantTable, listed: Tenants) -> Generator[None, None, TenantTable]:
    """Returns the table for a new list of tenants; `previous` itself if nothing differs."""
    old = previous.listed
    if listed is old:
        return previous
    prefix = yield from _common_prefix(old, listed)
    if prefix == len(old) == len(listed):
        return previous
    suffix = yield from _common_suffix(old, listed, min(len(old), len(listed)) - prefix)
    if len(old) == len(listed) and (yield from _same_names(old, listed, prefix, len(old) - suffix)):
        by_position = (
            listed
            if previous.by_position is old
            else (yield from _with_replaced_tenants(previous, listed, prefix, suffix))
        )
        return TenantTable(listed, by_position, previous.positions, previous.retired)
    return (yield from _with_changed_names(previous, listed, prefix, suffix))


def _with_changed_names(
    previous: TenantTable, listed: Tenants, prefix: int, suffix: int
) -> Generator[None, None, TenantTable]:
    """Returns the table after tenants were added or removed between the common prefix and suffix."""
    old = previous.listed
    positions = previous.positions.copy()
    retired = previous.retired.copy()
    yield
    by_position = list(previous.by_position)
    yield
    for index in range(prefix, len(old) - suffix):
        name = old[index].name
        position = positions.pop(name, None)
        if position is not None:
            retired[name] = position
        if index % NAMES_PER_STEP == 0:
            yield
    for index in range(prefix, len(listed) - suffix):
        tenant = listed[index]
        position = retired.pop(tenant.name, None)
        if position is None:
            position = len(by_position)
            by_position.append(tenant)
        else:
            by_position[position] = tenant
        positions[tenant.name] = position
        if index % NAMES_PER_STEP == 0:
            yield
    yield
    if prefix == len(old) and previous.by_position is old:  # tenants were only appended, so both are equal
        return TenantTable(listed, listed, positions, retired)
    return TenantTable(listed, tuple(by_position), positions, retired)


def _same_names(old: Tenants, new: Tenants, start: int, stop: int) -> Generator[None, None, bool]:
    """Returns whether both have the same names in the range."""
    for index in range(start, stop):
        if old[index].name != new[index].name:
            return False
        if index % NAMES_PER_STEP == 0:
            yield
    return True


def _with_replaced_tenants(
    previous: TenantTable, listed: Tenants, prefix: int, suffix: int
) -> Generator[None, None, Tenants]:
    """Returns the tenants by position after a change that left all names the same."""
    by_position = list(previous.by_position)
    yield
    for index in range(prefix, len(listed) - suffix):
        by_position[previous.positions[listed[index].name]] = listed[index]
        if index % NAMES_PER_STEP == 0:
            yield
    return tuple(by_position)


def compacted_table(table: TenantTable, used: Collection[str | None]) -> Generator[None, None, TenantTable]:
    """Returns a table with new positions for a new controller; removed tenants not in `used` are left out."""
    positions: dict[str, int] = {}
    for index, tenant in enumerate(table.listed):
        positions[tenant.name] = index
        if index % NAMES_PER_STEP == 0:
            yield
    by_position = list(table.listed)
    retired = {}
    yield
    for index, (name, position) in enumerate(table.retired.items()):
        if name in used:
            retired[name] = len(by_position)
            by_position.append(table.by_position[position])
        if index % NAMES_PER_STEP == 0:
            yield
    return TenantTable(table.listed, tuple(by_position), positions, retired)
