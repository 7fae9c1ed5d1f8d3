"""Tenants by name, and the position at which the controller knows each.

A table is never changed: the next one is built beside it, in steps that take well under a millisecond each,
and takes its place in one assignment. Whoever needs a tenant asks the table in force.
"""

from collections.abc import Collection, Generator
from dataclasses import dataclass, field

from ochrehoist.admission.settings import Tenant

NAMES_PER_STEP = 400  # names looked at in a step
TENANTS_COMPARED_PER_STEP = 8192  # unchanged tenants compared in a step: by identity, in C
MIN_RETIRED_POSITIONS = 1024  # positions of removed tenants that are kept in any case,
POSITIONS_PER_RETIRED = 10  # and more of them up to one in so many

Tenants = tuple[Tenant, ...]


@dataclass(slots=True, frozen=True, eq=False)
class TenantTable:
    """Tenants in force, and those that were.

    Attributes:
        listed: Those in force, in the order of the settings.
        by_position: What the controller is told: a tenant that stays keeps its position, a new one comes
            behind, and one that is removed keeps its own, to which it comes back.
        positions: Positions of those in force, by name.
        retired: Positions of those that were removed, by name.
    """

    listed: Tenants = ()
    by_position: Tenants = ()
    positions: dict[str, int] = field(default_factory=dict)
    retired: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.positions)

    def __contains__(self, name: object) -> bool:
        """Whether it is in force."""
        return name in self.positions

    def __getitem__(self, name: str) -> int:
        """The position of one that is in force."""
        return self.positions[name]

    def get(self, name: str | None) -> Tenant | None:
        """One that is in force, by its name."""
        position = None if name is None else self.positions.get(name)
        return None if position is None else self.by_position[position]

    def position(self, name: str | None) -> int | None:
        """The position of one that is in force or was."""
        if name is None:
            return None
        position = self.positions.get(name)
        return self.retired.get(name) if position is None else position

    def is_known(self, name: str) -> bool:
        """Whether it is in force or was."""
        return name in self.positions or name in self.retired

    @property
    def needs_compaction(self) -> bool:
        """Whether removed tenants take too many positions: a fresh controller is due."""
        return len(self.retired) > max(MIN_RETIRED_POSITIONS, len(self.by_position) // POSITIONS_PER_RETIRED)


def initial_table(listed: Tenants) -> TenantTable:
    """The table at the start of a process, at once."""
    return TenantTable(listed, listed, {t.name: n for n, t in enumerate(listed)})


def _common_prefix(old: Tenants, new: Tenants) -> Generator[None, None, int]:
    """How many tenants are the same at the beginning of both."""
    at = 0
    limit = min(len(old), len(new))
    while at < limit:
        size = min(TENANTS_COMPARED_PER_STEP, limit - at)
        while old[at : at + size] != new[at : at + size]:
            if size == 1:
                return at
            size = max(1, size // 8)
        at += size
        yield
    return limit


def _common_suffix(old: Tenants, new: Tenants, limit: int) -> Generator[None, None, int]:
    """How many tenants are the same at the end of both, of `limit`."""
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


def updated_table(before: TenantTable, listed: Tenants) -> Generator[None, None, TenantTable]:
    """The table for other settings; `before` itself where nothing differs."""
    old = before.listed
    if listed is old:
        return before
    prefix = yield from _common_prefix(old, listed)
    if prefix == len(old) == len(listed):
        return before
    suffix = yield from _common_suffix(old, listed, min(len(old), len(listed)) - prefix)
    if len(old) == len(listed) and (yield from _same_names(old, listed, prefix, len(old) - suffix)):
        by_position = (
            listed if before.by_position is old else (yield from _replaced(before, listed, prefix, suffix))
        )
        return TenantTable(listed, by_position, before.positions, before.retired)
    return (yield from _repositioned(before, listed, prefix, suffix))


def _repositioned(
    before: TenantTable, listed: Tenants, prefix: int, suffix: int
) -> Generator[None, None, TenantTable]:
    """The table where tenants were added or removed between the common prefix and suffix."""
    old = before.listed
    positions = before.positions.copy()
    retired = before.retired.copy()
    yield
    by_position = list(before.by_position)
    yield
    for n in range(prefix, len(old) - suffix):
        name = old[n].name
        position = positions.pop(name, None)
        if position is not None:
            retired[name] = position
        if n % NAMES_PER_STEP == 0:
            yield
    for n in range(prefix, len(listed) - suffix):
        tenant = listed[n]
        position = retired.pop(tenant.name, None)
        if position is None:
            position = len(by_position)
            by_position.append(tenant)
        else:
            by_position[position] = tenant
        positions[tenant.name] = position
        if n % NAMES_PER_STEP == 0:
            yield
    yield
    if prefix == len(old) and before.by_position is old:  # all that is new stands behind in both
        return TenantTable(listed, listed, positions, retired)
    return TenantTable(listed, tuple(by_position), positions, retired)


def _same_names(old: Tenants, new: Tenants, start: int, stop: int) -> Generator[None, None, bool]:
    """Whether both have the same names in the range."""
    for n in range(start, stop):
        if old[n].name != new[n].name:
            return False
        if n % NAMES_PER_STEP == 0:
            yield
    return True


def _replaced(
    before: TenantTable, listed: Tenants, prefix: int, suffix: int
) -> Generator[None, None, Tenants]:
    """The tenants by position, where only what is told of tenants differs."""
    by_position = list(before.by_position)
    yield
    for n in range(prefix, len(listed) - suffix):
        by_position[before.positions[listed[n].name]] = listed[n]
        if n % NAMES_PER_STEP == 0:
            yield
    return tuple(by_position)


def compacted_table(table: TenantTable, used: Collection[str | None]) -> Generator[None, None, TenantTable]:
    """The same tenants for a fresh controller, without those that were removed and are not `used`."""
    positions: dict[str, int] = {}
    for n, tenant in enumerate(table.listed):
        positions[tenant.name] = n
        if n % NAMES_PER_STEP == 0:
            yield
    by_position = list(table.listed)
    retired = {}
    yield
    for n, (name, position) in enumerate(table.retired.items()):
        if name in used:
            retired[name] = len(by_position)
            by_position.append(table.by_position[position])
        if n % NAMES_PER_STEP == 0:
            yield
    return TenantTable(table.listed, tuple(by_position), positions, retired)
