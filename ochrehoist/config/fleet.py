"""The tables of a fleet: [peers], [sites] and [recovery], read and checked. Loaded only where one is."""

from collections.abc import Container, Generator
from pathlib import Path
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.schema import (
    USES,
    Address,
    AjpConfig,
    BudgetConfig,
    PeersConfig,
    RecoveryConfig,
    SitesConfig,
    StateConfig,
)
from ochrehoist.config.settings import REQUIRED, Reader
from ochrehoist.config.values import address, only, required
from ochrehoist.errors import InvalidInputError

STEP = 50  # budgets or members made in one step


def fleet_tables(
    top: Reader,
    settings: AdmissionSettings,
    tenants: Container[str],
    ajp: AjpConfig | None,
    state: StateConfig | None,
) -> Generator[None, None, dict[str, Any]]:
    """In steps. `tenants`: their names. Raises InvalidInputError, which names the key."""
    peers = yield from peers_of(top, tenants, ajp)
    return {
        "peers": peers,
        "sites": sites_of(top, settings, peers),
        "recovery": recovery_of(top, peers, state),
    }


def _texts(r: Reader, key: str, default: Any) -> tuple[str, ...]:
    values = r.items(key, default)
    if not all(isinstance(v, str) and v for v in values):
        raise InvalidInputError(f"setting {r.path}{key}: unusable value {values!r}")
    if len(set(values)) < len(values):
        raise InvalidInputError(f"setting {r.path}{key}: a value comes twice")
    return tuple(values)


def _budget(r: Reader, tenants: Container[str], servers: set[str], voters: tuple[str, ...]) -> BudgetConfig:
    only(r, "name", "use", "of", "amount", "lease_ms", "floor", "floor_lease_s", "longest_ms", "parts")
    use, of = r.choice("use", {word: word for word in USES}), r.text("of", None)
    known = tenants if use == "tenant" else servers
    if (of is None and use != "repeats") or (of is not None and of not in known):
        raise InvalidInputError(
            f"setting {r.path}of: no such {'tenant' if use == 'tenant' else 'server'}: {of!r}"
        )
    longest = r.number("longest_ms", 0.0)
    if use == "server" and not longest:
        raise InvalidInputError(f"setting {r.path}longest_ms: missing: how long one run may take")
    if not voters:
        raise InvalidInputError("setting peers.voters: missing: budgets need them")
    floor = r.number("floor", 0.1)
    if floor > 1:
        raise InvalidInputError(f"setting {r.path}floor: above 1: {floor!r}")
    return BudgetConfig(
        name=r.text("name"),
        kind=use,
        subject=of,
        amount=r.whole("amount", least=1),
        lease_s=r.number("lease_ms", 2000, least=200) / 1000,
        floor_fraction=floor,
        floor_lease_s=r.number("floor_lease_s", 30, least=0.2),
        max_run_s=longest / 1000 if use == "server" else 0.0,
        slot_count=r.whole("parts", 0),
    )


def peers_of(
    top: Reader, tenants: Container[str], ajp: AjpConfig | None
) -> Generator[None, None, PeersConfig | None]:
    if "peers" not in top.data:
        return None
    r = only(
        top.part("peers"),
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
    listen, others = required(r, "listen", loopback=True), r.part("members", {})
    secret = _texts(r, "secrets", REQUIRED)
    if not secret or min(map(len, secret)) < 16:
        raise InvalidInputError(f"setting {r.path}secrets: one at least, each of 16 characters or more")
    voters, most_out = _texts(r, "voters", []), r.number("most_out", 0.5)
    if most_out >= 1:
        raise InvalidInputError(f"setting {r.path}most_out: not below 1: {most_out!r}")
    starts, known = _texts(r, "start", []), {top.text("name"), *others.data}
    if set(voters) - known:  # on one address for each rests that each has one vote
        raise InvalidInputError(
            f"setting {r.path}voters: not in {r.path}members: {sorted(set(voters) - known)}"
        )
    servers = {s.name for s in ajp.servers} if ajp else set()
    budgets: list[BudgetConfig] = []
    for at, data in enumerate(r.items("budgets", [])):
        budgets.append(_budget(Reader(data, f"{r.path}budgets[{at}]."), tenants, servers, voters))
        if not len(budgets) % STEP:
            yield
    if len({b.name for b in budgets}) < len(budgets):
        raise InvalidInputError(f"setting {r.path}budgets: two of one name")
    if len({(b.kind, b.subject) for b in budgets}) < len(budgets):
        raise InvalidInputError(f"setting {r.path}budgets: two of one of")
    members: dict[str, Address] = {}
    for name in others.data:
        members[name] = required(others, name, loopback=True)
        if not len(members) % STEP:
            yield
    return PeersConfig(
        listen=listen,
        advertised_address=address(r, "address", True) or listen,
        group=r.text("group"),
        site=r.text("site", "") or "",
        secrets=secret,
        protocol_period_ms=r.whole("probe_ms", 100, least=20),
        members=members,
        seed_addresses=tuple(
            required(Reader({"start": text}, r.path), "start", loopback=True) for text in starts
        ),
        lease_grantors=tuple(sorted(voters)),
        max_ejected_fraction=most_out,
        max_requests_per_s=r.number("most_per_s", 3000, least=1),
        budgets=tuple(budgets),
    )


def sites_of(top: Reader, settings: AdmissionSettings, peers: PeersConfig | None) -> SitesConfig | None:
    if "sites" not in top.data:
        return None
    # Their libraries are for those who want them.
    from ochrehoist.sites.playbook import PlaybookError, parse

    r = only(top.part("sites"), "site", "fleet", "playbook", "pace")
    if peers is None:
        raise InvalidInputError("setting sites: needs [peers]: sites are known by their workers")
    if r.flag("pace", True) and not peers.lease_grantors:
        raise InvalidInputError(
            "setting peers.voters: missing: a site that comes back steps by their permit; or set "
            "sites.pace = false"
        )
    places, file = None, r.text("fleet", None)
    if file is not None:
        from ochrehoist.sites.places import Places, SiteMapError

        try:
            places = Places.load(Path(file))
        except SiteMapError as error:
            raise InvalidInputError(f"setting {r.path}fleet: {error}") from None
    site = (
        r.text("site", None)
        or (places.site_of(peers.advertised_address[0]) if places else None)
        or peers.site
    )
    if not site:
        raise InvalidInputError(
            f"setting {r.path}site: missing, and no description of the fleet tells of "
            f"{peers.advertised_address[0]}; nor does peers.site"
        )
    if places is not None and site not in places.names:
        raise InvalidInputError(
            f"setting {r.path}site: no such site in {file}: {site!r}; there are {places.names}"
        )
    book, file = None, r.text("playbook", None)
    if file is not None:
        try:
            book = parse(Path(file).read_text(encoding="utf-8"), [c.name for c in settings.classes])
        except (OSError, ValueError, PlaybookError) as error:
            raise InvalidInputError(f"setting {r.path}playbook: {file}: {error}") from None
    return SitesConfig(site=site, site_map=places, playbook=book, recovery_ramp=r.flag("pace", True))


def recovery_of(top: Reader, peers: PeersConfig | None, state: StateConfig | None) -> RecoveryConfig | None:
    if "recovery" not in top.data:
        return None
    r = only(top.part("recovery"), "witnesses", "wait_ms")
    witnesses = _texts(r, "witnesses", [])
    if witnesses and (peers is None or state is None):
        raise InvalidInputError(
            f"setting {r.path}witnesses: need [peers], by which they are told, and [state]"
        )
    unknown = sorted(set(witnesses) - set(peers.members)) if peers is not None else []
    if unknown:
        raise InvalidInputError(f"setting {r.path}witnesses: not in peers.members: {unknown}")
    if top.text("name") in witnesses:
        raise InvalidInputError(f"setting {r.path}witnesses: this worker itself is none")
    wait = r.number("wait_ms", state.max_disk_wait_ms if state is not None else 250, least=1)
    return RecoveryConfig(witnesses=witnesses, witness_timeout_ms=wait)
