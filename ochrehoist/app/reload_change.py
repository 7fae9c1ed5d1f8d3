"""Configuration changes, which are prepared in steps and committed in one turn of the core.

Each component that uses settings registers a participant. The participant prepares while the old
configuration is still in force, and returns a commit function. Commit functions are called once all
participants are prepared, and must be short.
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
    """Raised if a component is used that the configuration has no table for, which is a programming error."""

    def __init__(self) -> None:
        super().__init__(
            "internal error: a component is used that this worker's configuration has no table for"
        )


def required(value: T | None) -> T:
    """Returns `value`, a component or setting that this worker must have, or raises MissingPartError if None.

    A reload cannot remove it: such a change needs a restart (see `config/comparison.py`).
    """
    if value is None:
        raise MissingPartError
    return value


def commit_only(configure: Callable[[Config, TenantTable], None]) -> Participant:
    """Returns a participant that has nothing to prepare and calls `configure` as its commit."""

    def prepare(config: Config, tenants: TenantTable) -> Generator[None, None, Commit]:
        yield from ()
        return lambda: configure(config, tenants)

    return prepare


@dataclass(slots=True, frozen=True)
class ConfigChange:
    """A prepared change of the configuration."""

    config: Config
    version: str
    restart_keys: list[str]  # changed settings that take effect only after a restart
    core_change: CoreChange | None  # None if nothing changes for the core
    commits: list[Commit]


def prepare_in_steps(
    core: CoreActor,
    current: Config,
    path: str | None,
    participants: Sequence[Participant],
    *,
    only_if_changed: bool,
) -> Generator[None, None, ConfigChange | None]:
    """Reads the file, compares it with `current`, and prepares all participants; nothing changes yet.

    Returns the prepared change, or None if `only_if_changed` is set and the configuration has not changed.
    Raises InvalidInputError.
    """
    loaded = yield from loader.load_in_steps(path, active_config=current)
    merged = comparison.merged(current, loaded)
    if only_if_changed and merged.config == current:
        return None
    yield
    tenants = yield from updated_table(core.tenants, merged.config.settings.tenants)
    yield
    # Compaction moves tenants to other positions, which the controller's state refers to.
    needs_new_controller = tenants.needs_compaction or _without_tenants(merged.config) != _without_tenants(
        current
    )
    if tenants.needs_compaction:
        tenants = yield from _compacted_in_steps(core, tenants)
    core_change: CoreChange | None = None
    if needs_new_controller:
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
    """Returns the budgets, which the tenants' quotas depend on in addition to the settings."""
    return None if config.peers is None else config.peers.budgets


def _compacted_in_steps(core: CoreActor, tenants: TenantTable) -> Generator[None, None, TenantTable]:
    """Returns the table without removed tenants that have neither an open request nor an idempotency key."""
    referenced_tenants = {request.tenant for request in core.open_requests.values()}
    for entries in (core.idempotency.runs, core.idempotency.records):
        for number, key in enumerate(list(entries)):
            referenced_tenants.add(key[0])
            if number % NAMES_PER_STEP == 0:
                yield
    # Until the change takes effect, further requests of the tenants that it removes may be read.
    referenced_tenants |= tenants.retired.keys() - core.tenants.retired.keys()
    return (yield from compacted_table(tenants, referenced_tenants))
