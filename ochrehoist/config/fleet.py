"""Reads the fleet tables [peers], [sites] and [recovery]; imported only if the file has one of them."""

from collections.abc import Container, Generator
from pathlib import Path
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.object_reader import REQUIRED, ObjectReader
from ochrehoist.config.tables import (
    AjpConfig,
    BudgetConfig,
    BudgetKind,
    PeersConfig,
    RecoveryConfig,
    SiteMap,
    SitesConfig,
    StateConfig,
)
from ochrehoist.config.values import Address, optional_address, parse_address, required_address
from ochrehoist.errors import InvalidInputError

if TYPE_CHECKING:
    from ochrehoist.sites.playbook import Playbook

ELEMENTS_PER_STEP = 50
MIN_SECRET_CHARS = 16
DEFAULT_WITNESS_TIMEOUT_MS = 250

_PEERS_KEYS = (
    "listen",
    "address",
    "group",
    "site",
    "secrets",
    "probe_ms",
    "members",
    "start",
    "voters",
    "most_out",
    "most_per_s",
    "budgets",
)
_BUDGET_KEYS = (
    "name",
    "use",
    "of",
    "amount",
    "lease_ms",
    "floor",
    "floor_lease_s",
    "longest_ms",
    "parts",
)


def read_peers_in_steps(
    top: ObjectReader, tenants: Container[str], ajp: AjpConfig | None
) -> Generator[None, None, PeersConfig | None]:
    """Reads the table [peers]; `tenants` contains the tenant names. Raises InvalidInputError."""
    if "peers" not in top.data:
        return None
    table = top.section("peers").allow_only(*_PEERS_KEYS)
    listen = required_address(table, "listen", loopback=True)
    members_table = table.section("members", {})
    secrets = _read_secrets(table)
    lease_grantors = table.texts("voters", [])
    max_ejected_fraction = table.number("most_out", 0.5)
    if max_ejected_fraction >= 1:
        raise table.error("most_out", f"must be below 1: {max_ejected_fraction!r}")
    seed_addresses = table.texts("start", [])
    # Each grantor must have exactly one address; otherwise it could vote more than once.
    unknown = set(lease_grantors) - {top.text("name"), *members_table.data}
    if unknown:
        raise table.error("voters", f"not in {table.path}members: {sorted(unknown)}")
    budgets = yield from _read_budgets_in_steps(table, tenants, ajp, lease_grantors)
    members = yield from _read_members_in_steps(members_table)
    return PeersConfig(
        listen=listen,
        advertised_address=optional_address(table, "address", loopback=True) or listen,
        group=table.text("group"),
        site=table.text("site", "") or "",
        secrets=secrets,
        protocol_period_ms=table.integer("probe_ms", 100, minimum=20),
        members=members,
        seed_addresses=tuple(parse_address(table, "start", text, loopback=True) for text in seed_addresses),
        lease_grantors=tuple(sorted(lease_grantors)),
        max_ejected_fraction=max_ejected_fraction,
        max_requests_per_s=table.number("most_per_s", 3000, minimum=1),
        budgets=budgets,
    )


def read_sites(
    top: ObjectReader, settings: AdmissionSettings, peers: PeersConfig | None
) -> SitesConfig | None:
    """Reads the table [sites] and the files that it names. Raises InvalidInputError."""
    if "sites" not in top.data:
        return None
    table = top.section("sites").allow_only("site", "fleet", "playbook", "pace")
    if peers is None:
        raise InvalidInputError.in_setting(
            "sites", "needs [peers]: workers learn the state of sites from their peers"
        )
    recovery_ramp = table.flag("pace", True)
    if recovery_ramp and not peers.lease_grantors:
        raise InvalidInputError.in_setting(
            "peers.voters",
            "missing: they grant each stage of a recovering site; or set sites.pace = false",
        )
    site_map = _load_site_map(table)
    site = _resolve_site(table, site_map, peers)
    playbook = _load_playbook(table, settings)
    return SitesConfig(site=site, site_map=site_map, playbook=playbook, recovery_ramp=recovery_ramp)


def read_recovery(
    top: ObjectReader, peers: PeersConfig | None, state: StateConfig | None
) -> RecoveryConfig | None:
    """Reads the table [recovery]. Raises InvalidInputError."""
    if "recovery" not in top.data:
        return None
    table = top.section("recovery").allow_only("witnesses", "wait_ms")
    witnesses = table.texts("witnesses", [])
    if witnesses and (peers is None or state is None):
        raise table.error("witnesses", "need [peers], for messages to the witnesses, and [state]")
    unknown = sorted(set(witnesses) - set(peers.members)) if peers is not None else []
    if unknown:
        raise table.error("witnesses", f"not in peers.members: {unknown}")
    if top.text("name") in witnesses:
        raise table.error("witnesses", "a worker cannot be its own witness")
    default_timeout = state.max_disk_wait_ms if state is not None else DEFAULT_WITNESS_TIMEOUT_MS
    timeout = table.number("wait_ms", default_timeout, minimum=1)
    return RecoveryConfig(witnesses=witnesses, witness_timeout_ms=timeout)


def _read_secrets(table: ObjectReader) -> tuple[str, ...]:
    secrets = table.texts("secrets", REQUIRED)
    if not secrets or min(map(len, secrets)) < MIN_SECRET_CHARS:
        raise table.error(
            "secrets", f"at least one is required, each of at least {MIN_SECRET_CHARS} characters"
        )
    return secrets


def _read_members_in_steps(table: ObjectReader) -> Generator[None, None, dict[str, Address]]:
    members: dict[str, Address] = {}
    for name in table.data:
        members[name] = required_address(table, name, loopback=True)
        if len(members) % ELEMENTS_PER_STEP == 0:
            yield
    return members


def _read_budgets_in_steps(
    peers: ObjectReader, tenants: Container[str], ajp: AjpConfig | None, lease_grantors: tuple[str, ...]
) -> Generator[None, None, tuple[BudgetConfig, ...]]:
    servers = {server.name for server in ajp.servers} if ajp is not None else set()
    budgets: list[BudgetConfig] = []
    for index, data in enumerate(peers.items("budgets", [])):
        table = peers.element("budgets", index, data).allow_only(*_BUDGET_KEYS)
        budgets.append(_read_budget(table, tenants, servers, lease_grantors))
        if len(budgets) % ELEMENTS_PER_STEP == 0:
            yield
    if len({budget.name for budget in budgets}) < len(budgets):
        raise peers.error("budgets", "two budgets have the same name")
    if len({(budget.kind, budget.subject) for budget in budgets}) < len(budgets):
        raise peers.error("budgets", "two budgets have the same keys use and of")
    return tuple(budgets)


def _read_budget(
    table: ObjectReader, tenants: Container[str], servers: set[str], lease_grantors: tuple[str, ...]
) -> BudgetConfig:
    kind = table.member("use", BudgetKind)
    subject = _read_budget_subject(table, kind, tenants, servers)
    max_run_ms = table.number("longest_ms", 0.0)
    if kind is BudgetKind.SERVER and not max_run_ms:
        raise table.error("longest_ms", "missing: the maximum duration of one run")
    if not lease_grantors:
        raise InvalidInputError.in_setting("peers.voters", "missing: budgets need lease grantors")
    floor_fraction = table.number("floor", 0.1)
    if floor_fraction > 1:
        raise table.error("floor", f"must not be above 1: {floor_fraction!r}")
    return BudgetConfig(
        name=table.text("name"),
        kind=kind,
        subject=subject,
        amount=table.integer("amount", minimum=1),
        lease_s=table.number("lease_ms", 2000, minimum=200) / 1000,
        floor_fraction=floor_fraction,
        floor_lease_s=table.number("floor_lease_s", 30, minimum=0.2),
        max_run_s=max_run_ms / 1000 if kind is BudgetKind.SERVER else 0.0,
        slot_count=table.integer("parts", 0),
    )


def _read_budget_subject(
    table: ObjectReader, kind: BudgetKind, tenants: Container[str], servers: set[str]
) -> str | None:
    subject = table.text("of", None)
    if subject is None and kind is BudgetKind.RETRIES:
        return None
    names = tenants if kind is BudgetKind.TENANT else servers
    if subject is None or subject not in names:
        resource = "tenant" if kind is BudgetKind.TENANT else "server"
        raise table.error("of", f"unknown {resource}: {subject!r}")
    return subject


def _load_site_map(table: ObjectReader) -> SiteMap | None:
    file = table.text("fleet", None)
    if file is None:
        return None
    # Imported on demand: only workers with a fleet description need its libraries.
    from ochrehoist.config.site_map import FleetSiteMap, SiteMapError

    try:
        return FleetSiteMap.load(Path(file))
    except SiteMapError as error:
        raise table.error("fleet", str(error)) from None


def _resolve_site(table: ObjectReader, site_map: SiteMap | None, peers: PeersConfig) -> str:
    """Returns the site of this worker: `site`, else the one of its address, else `peers.site`."""
    host = peers.advertised_address[0]
    mapped = site_map.site_of(host) if site_map is not None else None
    site = table.text("site", None) or mapped or peers.site
    if not site:
        raise table.error(
            "site", f"missing; neither a fleet description nor peers.site gives the site of {host}"
        )
    if site_map is not None and site not in site_map.site_names:
        file = table.text("fleet")
        raise table.error("site", f"unknown site {site!r}: {file} has the sites {site_map.site_names}")
    return site


def _load_playbook(table: ObjectReader, settings: AdmissionSettings) -> "Playbook | None":
    file = table.text("playbook", None)
    if file is None:
        return None
    from ochrehoist.sites.playbook import PlaybookError  # imported on demand: few workers have one
    from ochrehoist.sites.playbook_codec import parse

    try:
        return parse(Path(file).read_text(encoding="utf-8"), [c.name for c in settings.classes])
    except (OSError, ValueError, PlaybookError) as error:
        raise table.error("playbook", f"{file}: {error}") from None
