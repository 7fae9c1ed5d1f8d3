"""A change of configuration, prepared in steps and committed in one turn of the core.

What takes settings is a participant: it prepares what it needs while the configuration in force still holds,
and gives a commit, which must be short and is called when all are prepared.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypeVar

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config import comparison, loader
from ochrehoist.config.schema import Config
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import SettingsChanged, TenantsChanged
from ochrehoist.core.tenants import NAMES_PER_STEP, TenantTable, compacted_table, updated_table
from ochrehoist.errors import OchrehoistError

if TYPE_CHECKING:
    from ochrehoist.config.tables import BudgetConfig

Commit = Callable[[], None]
Participant = Callable[[Config, TenantTable], Generator[None, None, Commit]]
CoreChange = SettingsChanged | TenantsChanged
T = TypeVar("T")


class MissingPartError(OchrehoistError):
    """A part was used that the configuration has no table for: a fault of the program."""

    def __init__(self) -> None:
        super().__init__("a part is missing that the configuration must have")


def required(value: T | None) -> T:
    """A part, or the setting of one, that this worker has: no reload takes it away (config/comparison.py)."""
    if value is None:
        raise MissingPartError
    return value


def commit_only(configure: Callable[[Config, TenantTable], None]) -> Participant:
    """A participant that has nothing to prepare: all of `configure` is its commit."""

    def prepare(config: Config, tenants: TenantTable) -> Generator[None, None, Commit]:
        yield from ()
        return lambda: configure(config, tenants)

    return prepare


@dataclass(slots=True, frozen=True)
class ConfigChange:
    """A change that is ready to come into force."""

    config: Config
    version: str
    restart_keys: list[str]  # keys that differ and need a restart
    core_change: CoreChange | None  # None where the core is not concerned
    commits: list[Commit]


def prepare_in_steps(
    core: CoreActor, current: Config, path: str | None, participants: Sequence[Participant], *, only_new: bool
) -> Generator[None, None, ConfigChange | None]:
    """Reads the file, compares it with `current`, and prepares all participants. Nothing changes yet.

    Gives None where `only_new` is set and nothing differs. Raises InvalidInputError.
    """
    loaded = yield from loader.load_in_steps(path, active_config=current)
    merged = comparison.merged(current, loaded)
    if only_new and merged.config == current:
        return None
    yield
    tenants = yield from updated_table(core.tenants, merged.config.settings.tenants)
    yield
    # A crowded table is compacted, which moves tenants to other positions: the decisions start afresh.
    starts_afresh = tenants.needs_compaction or _without_tenants(merged.config) != _without_tenants(current)
    if tenants.needs_compaction:
        tenants = yield from _compacted_in_steps(core, tenants)
    core_change: CoreChange | None = None
    if starts_afresh:
        core_change = SettingsChanged(merged.config.settings, tenants)
    elif tenants is not core.tenants or _budgets(merged.config) != _budgets(current):
        core_change = TenantsChanged(merged.config.settings, tenants)
    commits: list[Commit] = []
    for prepare in participants:
        commit = yield from prepare(merged.config, tenants)
        commits.append(commit)
    return ConfigChange(merged.config, loaded.version, merged.restart_keys, core_change, commits)


def _without_tenants(config: Config) -> AdmissionSettings:
    return replace(config.settings, tenants=())


def _budgets(config: Config) -> tuple[BudgetConfig, ...] | None:
    """What the quotas of tenants depend on beside the settings."""
    return None if config.peers is None else config.peers.budgets


def _compacted_in_steps(core: CoreActor, tenants: TenantTable) -> Generator[None, None, TenantTable]:
    """Without tenants that are gone, unless a request of theirs is open or an idempotency key known."""
    used = {request.tenant for request in core.open_requests.values()}
    for known in (core.idempotency.runs, core.idempotency.records):
        for number, key in enumerate(list(known)):
            used.add(key[0])
            if number % NAMES_PER_STEP == 0:
                yield
    # Of those that this change takes away, a request may be read before it is in force.
    used |= tenants.retired.keys() - core.tenants.retired.keys()
    return (yield from compacted_table(tenants, used))
