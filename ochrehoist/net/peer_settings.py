"""Derives the settings of the peers' protocol from the worker's configuration."""

from ochrehoist.config.schema import Config
from ochrehoist.config.tables import BudgetConfig, BudgetKind, PeersConfig
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.fleet_settings import FleetSettings

Address = tuple[str, int]


def format_address(address: Address) -> str:
    """Returns the address as host:port."""
    return f"{address[0]}:{address[1]}"


def parse_address(text: str) -> Address:
    """Parses host:port, as `format_address` writes it; raises ValueError if the port is no number."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def _budget(config: BudgetConfig, grantors: tuple[str, ...]) -> Budget:
    return Budget(
        name=config.name,
        amount=config.amount,
        grantors=grantors,
        concurrent=config.kind is BudgetKind.SERVER,
        lease_s=config.lease_s,
        floor_fraction=config.floor_fraction,
        floor_lease_s=config.floor_lease_s,
        max_run_s=config.max_run_s,
        configured_slots=config.slot_count,
    )


def fleet_settings(config: Config, peers: PeersConfig) -> FleetSettings:
    """Returns the settings of the peers' protocol.

    `peers` is the table [peers] of `config`, or of the earlier configuration if `config` has none.
    """
    budgets = tuple(_budget(budget, peers.lease_grantors) for budget in peers.budgets)
    site = peers.site
    if config.sites:
        from ochrehoist.sites.step_lease import step_lease_budget

        site = config.sites.site
        if peers.lease_grantors:
            budgets += (step_lease_budget(peers.lease_grantors),)
    return FleetSettings(
        group=peers.group,
        address=format_address(peers.advertised_address),
        site=site,
        addresses={name: format_address(address) for name, address in peers.members.items()},
        seed_addresses=tuple(format_address(address) for address in peers.seed_addresses),
        protocol_period_s=peers.protocol_period_ms / 1000,
        budgets=budgets,
        services=tuple(server.name for server in config.ajp.servers) if config.ajp else (),
        max_ejected_fraction=peers.max_ejected_fraction,
        max_rate_per_s=peers.max_requests_per_s,
    )
