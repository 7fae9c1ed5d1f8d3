"""The playbook: what holds when a site is lost, worked out before the day. No I/O.

It is plain TOML, made by `ochrehoist plan lose SITE --write FILE`, that a person reads and may change. The
names of its keys are those of the fields, or given with them.
"""

from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError
from ochrehoist.sites.rates import hash_fraction
from ochrehoist.sites.site_report import PlaybookVersion

FORMAT_VERSION = 1
DIGEST_BYTES = 6


class PlaybookError(OchrehoistError):
    """It cannot be used; `faults` has a line for each, with its key."""

    def __init__(self, *faults: str) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ClassAdmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What part of one class is admitted while the site is gone."""

    class_name: str = msgspec.field(name="class")
    share: float  # within tenants' quotas
    beyond_quota_share: float = msgspec.field(name="beyond")
    work_share: float = msgspec.field(name="work")  # of all work


class SiteLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds while one site is lost, and on its return."""

    site: str
    carried_share: float = msgspec.field(name="carry")  # of all work, that the others can take
    bottleneck: str = msgspec.field(name="binds")  # cores, memory, connections
    retry_after_ms: float = msgspec.field(name="stay_away_ms")  # that rejected callers are told, at least
    retry_spread_ms: float = msgspec.field(name="spread_ms")  # and up to so much more
    stages: list[float] = msgspec.field(name="steps")  # fractions of its usual load, on the return
    max_return_s: float = msgspec.field(name="longest_s")  # for which a return may take stages
    class_admissions: list[ClassAdmission] = msgspec.field(name="let_in")

    def admits(self, class_name: str, beyond_quota: bool, identity: tuple[object, ...]) -> bool:
        """By the same hash as the shedding order, so that all workers admit the same."""
        admission = next((x for x in self.class_admissions if x.class_name == class_name), None)
        if admission is None:
            return True
        share = admission.beyond_quota_share if beyond_quota else admission.share
        return hash_fraction(*identity) < share


class Playbook(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All losses of a site that are planned for."""

    format_version: int = msgspec.field(name="version")
    made_at: int = msgspec.field(name="made")  # Unix s
    fleet: str
    workers_by_site: dict[str, list[str]] = msgspec.field(name="workers")  # addresses
    beyond_quota_share: float = msgspec.field(name="beyond")  # of all work, that tenants send beyond quotas
    losses: list[SiteLoss] = msgspec.field(name="loss")
    unknowns: list[str] = msgspec.field(name="unknown", default_factory=list)  # said to whoever reads it

    def loss_of(self, site: str) -> SiteLoss | None:
        """What is planned for the loss of a site, if anything."""
        return next((loss for loss in self.losses if loss.site == site), None)

    @property
    def digest(self) -> str:
        """Of its content."""
        return blake2b(msgspec.msgpack.encode(self), digest_size=DIGEST_BYTES).hexdigest()

    @property
    def version(self) -> PlaybookVersion:
        """The greater of two counts."""
        return PlaybookVersion(self.made_at, self.digest)
