"""Tenants by name, and the position at which the decision module knows each.

A table is never changed: the next one is built beside it, in steps that take well under a millisecond each,
and takes its place in one assignment. Whoever needs a tenant asks the table in force.
"""

from collections.abc import Collection, Generator
from dataclasses import dataclass, field

from ochrehoist.admission.settings import Tenant

STEP = 400  # names looked at in a step
ALIKE = 8192  # that are compared in a step where nothing has changed: by identity, in C
SPARE = 1024  # places of tenants that are gone, which are kept in any case,
PART = 10  # and more of them up to one in so many


@dataclass(slots=True, frozen=True, eq=False)
class Tenants:
    """`places` is what the module is told: who stays keeps its position, who is new comes behind, and who is
    gone keeps its own, to which it comes back."""

    listed: tuple[Tenant, ...] = ()  # in the order of the settings
    places: tuple[Tenant, ...] = ()
    at: dict[str, int] = field(default_factory=dict)  # positions of those in force
    gone: dict[str, int] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self.at)

    def __contains__(self, name: object) -> bool:
        """Whether it is in force."""
        return name in self.at

    def __getitem__(self, name: str) -> int:
        """The position of one that is in force."""
        return self.at[name]

    def of(self, name: str | None) -> Tenant | None:
        """One that is in force, by its name."""
        position = self.at.get(name)
        return None if position is None else self.places[position]

    def position(self, name: str | None) -> int | None:
        """Of one that is in force or was."""
        position = self.at.get(name)
        return self.gone.get(name) if position is None else position

    def known(self, name: str) -> bool:
        return name in self.at or name in self.gone

    @property
    def crowded(self) -> bool:
        """Whether those that are gone take too many places: a fresh module is due."""
        return len(self.gone) > max(SPARE, len(self.places) // PART)


def first(listed: tuple[Tenant, ...]) -> Tenants:
    """At the start of a process, at once."""
    return Tenants(listed, listed, {t.name: n for n, t in enumerate(listed)})


def _alike(old: tuple, new: tuple) -> Generator[None, None, int]:
    """How many are the same at the beginning of both."""
    at, most = 0, min(len(old), len(new))
    while at < most:
        size = min(ALIKE, most - at)
        while old[at : at + size] != new[at : at + size]:
            if size == 1:
                return at
            size = max(1, size // 8)
        at += size
        yield
    return most


def _alike_behind(old: tuple, new: tuple, most: int) -> Generator[None, None, int]:
    """How many are the same at the end of both, of `most`."""
    count = 0
    while count < most:
        size = min(ALIKE, most - count)
        while (
            old[len(old) - count - size : len(old) - count] != new[len(new) - count - size : len(new) - count]
        ):
            if size == 1:
                return count
            size = max(1, size // 8)
        count += size
        yield
    return count


def changed(before: Tenants, listed: tuple[Tenant, ...]) -> Generator[None, None, Tenants]:
    """The table for other settings; `before` itself where nothing differs."""
    old = before.listed
    if listed is old:
        return before
    start = yield from _alike(old, listed)
    if start == len(old) == len(listed):
        return before
    end = yield from _alike_behind(old, listed, min(len(old), len(listed)) - start)
    if len(old) == len(listed) and (yield from _same_names(old, listed, start, len(old) - end)):
        places = listed if before.places is old else (yield from _replaced(before, listed, start, end))
        return Tenants(listed, places, before.at, before.gone)
    at, gone = before.at.copy(), before.gone.copy()
    yield
    places = list(before.places)
    yield
    for n in range(start, len(old) - end):
        name = old[n].name
        position = at.pop(name, None)
        if position is not None:
            gone[name] = position
        if n % STEP == 0:
            yield
    for n in range(start, len(listed) - end):
        tenant = listed[n]
        position = gone.pop(tenant.name, None)
        if position is None:
            position = len(places)
            places.append(tenant)
        else:
            places[position] = tenant
        at[tenant.name] = position
        if n % STEP == 0:
            yield
    yield
    if start == len(old) and before.places is old:  # all that is new stands behind in both
        return Tenants(listed, listed, at, gone)
    return Tenants(listed, tuple(places), at, gone)


def _same_names(old: tuple, new: tuple, start: int, stop: int) -> Generator[None, None, bool]:
    for n in range(start, stop):
        if old[n].name != new[n].name:
            return False
        if n % STEP == 0:
            yield
    return True


def _replaced(before: Tenants, listed: tuple, start: int, end: int) -> Generator[None, None, tuple]:
    """The places, where only what is told of tenants differs."""
    places = list(before.places)
    yield
    for n in range(start, len(listed) - end):
        places[before.at[listed[n].name]] = listed[n]
        if n % STEP == 0:
            yield
    return tuple(places)


def compact(table: Tenants, used: Collection[str]) -> Generator[None, None, Tenants]:
    """The same tenants for a fresh module, without those that are gone and not `used`."""
    at: dict[str, int] = {}
    for n, tenant in enumerate(table.listed):
        at[tenant.name] = n
        if n % STEP == 0:
            yield
    places, gone = list(table.listed), {}
    yield
    for n, (name, position) in enumerate(table.gone.items()):
        if name in used:
            gone[name] = len(places)
            places.append(table.places[position])
        if n % STEP == 0:
            yield
    return Tenants(table.listed, tuple(places), at, gone)
