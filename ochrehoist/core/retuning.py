"""How the core takes new settings, between two events: only what differs."""

from typing import Protocol

from ochrehoist.admission.events import TenantsReplaced
from ochrehoist.admission.settings import AdmissionSettings, Tenant
from ochrehoist.config.settings import at_once
from ochrehoist.core import succession
from ochrehoist.core.figures import Figures
from ochrehoist.core.messages import ConfigurationSwitched, SettingsChanged, TenantsChanged
from ochrehoist.core.tenants import Tenants, changed


class Core(succession.Core, Protocol):
    """What new settings need of the core."""

    tenants: Tenants
    figures: Figures
    served_classes: set[str]
    told_tenants: tuple[Tenant, ...]

    def index(self, settings: AdmissionSettings) -> None: ...


def retuned(core: Core, m: SettingsChanged) -> None:
    """By a fresh module, that is told of all that is open: its cost grows with that."""
    tenants = m.tenants if m.tenants is not None else at_once(changed(core.tenants, m.settings.tenants))
    core.settings, core.tenants = m.settings, tenants
    core.figures.know(c.name for c in m.settings.classes)
    if core.controller is None:
        return core.index(m.settings)
    succession.take_up(core, succession.state_of(core))
    core.log.info(
        "settings changed",
        classes=sorted(core.served_classes),
        gone=sorted(core.kinds.keys() - core.served_classes),
    )


def tenants_retuned(core: Core, m: TenantsChanged) -> None:
    """In the module that there is: positions stay, so nothing that is open need be told again."""
    core.settings, core.tenants = m.settings, m.tenants
    if core.controller is not None:
        core.tell(TenantsReplaced(core.told_tenants))


def switched(core: Core, m: ConfigurationSwitched) -> None:
    """What was read before it was decided by what was in force before; no request meets half of a change."""
    try:
        m.apply_parts()
        if isinstance(m.core_change, SettingsChanged):
            retuned(core, m.core_change)
        elif m.core_change is not None:
            tenants_retuned(core, m.core_change)
    finally:
        m.on_done()
