"""The playbook: the planned reaction to the loss of each site. No I/O.

It is a TOML file written by `ochrehoist plan lose SITE --write FILE`, which operators can read and edit. Its
keys are the field names below, or the `name` given with a field.
"""

from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError
from ochrehoist.sites.rates import hash_fraction
from ochrehoist.sites.site_report import PlaybookVersion

FORMAT_VERSION = 1
DIGEST_BYTES = 6


class PlaybookError(OchrehoistError):
    """A playbook that cannot be used; `faults` has one line per fault, with the key at fault."""

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ClassAdmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The shares of one class that are admitted while a site is lost.

    `share` applies to requests within their tenant's quota, `beyond_quota_share` to those beyond it.
    `work_share` is the class's share of the fleet's total work.
    """

    class_name: str = msgspec.field(name="class")
    share: float
    beyond_quota_share: float = msgspec.field(name="beyond")
    work_share: float = msgspec.field(name="work")


class SiteLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The planned reaction to the loss of one site, and the ramp of its return.

    `carried_share` is the share of the fleet's total work that the other sites can serve, limited by the
    resource named by `bottleneck` (cores, memory or connections). Rejected callers get a Retry-After of
    `retry_after_ms` plus up to `retry_spread_ms`. `stages` are fractions of a worker's usual load on the
    site's return; after `max_return_s` it requests its full load in any case.
    """

    site: str
    carried_share: float = msgspec.field(name="carry")
    bottleneck: str = msgspec.field(name="binds")
    retry_after_ms: float = msgspec.field(name="stay_away_ms")
    retry_spread_ms: float = msgspec.field(name="spread_ms")
    stages: list[float] = msgspec.field(name="steps")
    max_return_s: float = msgspec.field(name="longest_s")
    class_admissions: list[ClassAdmission] = msgspec.field(name="let_in")

    def admits(self, class_name: str, beyond_quota: bool, identity: tuple[object, ...]) -> bool:
        """Whether a request is admitted while the site is lost; classes that are not listed always are.

        It uses the same hash as the shedding order, so all workers admit the same requests.
        """
        admission = next((entry for entry in self.class_admissions if entry.class_name == class_name), None)
        if admission is None:
            return True
        share = admission.beyond_quota_share if beyond_quota else admission.share
        return hash_fraction(*identity) < share


class Playbook(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The plans for all covered site losses of one fleet.

    `made_at` is in Unix seconds; `workers_by_site` holds worker addresses. `beyond_quota_share` is the share
    of the fleet's total work that tenants send beyond their quotas. `unknowns` lists what the planner could
    not determine, for readers of the file.
    """

    format_version: int = msgspec.field(name="version")
    made_at: int = msgspec.field(name="made")
    fleet: str
    workers_by_site: dict[str, list[str]] = msgspec.field(name="workers")
    beyond_quota_share: float = msgspec.field(name="beyond")
    losses: list[SiteLoss] = msgspec.field(name="loss")
    unknowns: list[str] = msgspec.field(name="unknown", default_factory=list)

    def loss_of(self, site: str) -> SiteLoss | None:
        """Returns the plan for the loss of a site, if there is one."""
        return next((loss for loss in self.losses if loss.site == site), None)

    @property
    def digest(self) -> str:
        """A hash of the playbook's content, in hexadecimal."""
        return blake2b(msgspec.msgpack.encode(self), digest_size=DIGEST_BYTES).hexdigest()

    @property
    def version(self) -> PlaybookVersion:
        """The version by which workers compare playbooks: the greater one is used."""
        return PlaybookVersion(self.made_at, self.digest)
