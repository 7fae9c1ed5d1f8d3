"""Applies changed settings to the core between two events; only the parts that differ are replaced."""

from ochrehoist.admission.events import TenantsReplaced
from ochrehoist.core import state_transfer
from ochrehoist.core.context import CoreContext
from ochrehoist.core.messages import ConfigurationSwitched, SettingsChanged, TenantsChanged
from ochrehoist.core.tenants import updated_table
from ochrehoist.steps import run_to_completion


def change_settings(core: CoreContext, message: SettingsChanged) -> None:
    """Creates a new controller and replays all open requests and runs; the cost grows with their number."""
    tenants = message.tenants
    if tenants is None:
        tenants = run_to_completion(updated_table(core.tenants, message.settings.tenants))
    core.settings = message.settings
    core.tenants = tenants
    core.metrics.add_classes(c.name for c in message.settings.classes)
    if core.controller is None:
        core.index_classes(message.settings)
        return
    state_transfer.adopt_snapshot(core, state_transfer.take_snapshot(core))
    core.log.info(
        "settings_changed",
        classes=sorted(core.served_classes),
        removed_classes=sorted(core.class_indices.keys() - core.served_classes),
    )


def change_tenants(core: CoreContext, message: TenantsChanged) -> None:
    """Replaces the tenants of the current controller.

    Tenants keep their positions, so open requests need not be replayed.
    """
    core.settings = message.settings
    core.tenants = message.tenants
    if core.controller is not None:
        core.dispatch(TenantsReplaced(core.controller_tenants))


def switch_configuration(core: CoreContext, message: ConfigurationSwitched) -> None:
    """Applies a whole configuration between two messages.

    Requests read before it were decided on under the old configuration; none sees a partial change.
    """
    try:
        message.apply_parts()
        if isinstance(message.core_change, SettingsChanged):
            change_settings(core, message.core_change)
        elif message.core_change is not None:
            change_tenants(core, message.core_change)
    finally:
        message.on_done()
