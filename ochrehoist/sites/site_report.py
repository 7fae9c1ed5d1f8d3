"""The reports that workers exchange about sites, and their encoding. No I/O.

Membership distributes them as status of the workers. The structs are encoded as arrays: the order of fields
is part of the format, their names are not.
"""

from typing import NamedTuple

import msgspec

TOPIC = "sites"
# Values of `SiteReport.stage` that are not stages of a recovery ramp.
STAGE_FULL_SERVICE = -1
STAGE_UNPACED = -2  # recovering while no worker is at full service


class PlaybookVersion(NamedTuple):
    """The time at which a playbook was made (Unix s), and its digest; workers use the greatest version."""

    made: int
    digest: str


NO_PLAYBOOK = PlaybookVersion(0, "")


class SiteObservation(msgspec.Struct, array_like=True, frozen=True):
    """One worker's view of another site.

    `state` is a SiteState, or a state that only a newer release knows. `wait_ms` is how long a returning site
    is asked not to advance its ramp. `usual_rate` is the usual number of first attempts per second at one of
    the site's workers, as last reported. `evidence` is the log-likelihood ratio for a loss of the site, by
    the reporting worker's own arrivals.
    """

    site: str
    state: str
    wait_ms: int = 0
    usual_rate: float = 0.0
    evidence: float = 0.0


class CommandEntry(msgspec.Struct, array_like=True, frozen=True):
    """An operator's command; for each site the highest number wins.

    `kind` is a CommandKind, or a kind that only a newer release knows.
    """

    site: str
    kind: str
    number: int
    issued_by: str
    remaining_ms: int


class SiteReport(msgspec.Struct, array_like=True):
    """One worker's own state.

    Work and capacity are in core seconds per second, rates in first attempts per second; a usual rate of 0 is
    unknown. `weight` is the requested load in percent of the usual one. `step_lease_ms` is the remaining time
    of the step lease, if this worker holds it for its site.
    """

    admission_threshold: float = 1.0
    offered_work: float = 0.0
    capacity: float = 0.0
    arrival_rate: float = 0.0
    usual_rate: float = 0.0
    stage: int = STAGE_FULL_SERVICE
    weight: int = 100
    step_lease_ms: int = 0
    observations: list[SiteObservation] = []
    commands: list[CommandEntry] = []
    class_costs: dict[str, float] = {}
    tenant_rates: dict[str, float] = {}
    playbook: PlaybookVersion = NO_PLAYBOOK

    @property
    def is_full_service(self) -> bool:
        """Whether the worker has completed its recovery ramp."""
        return self.stage == STAGE_FULL_SERVICE


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(SiteReport).decode


def encode(report: SiteReport) -> bytes:
    """Returns a report in the encoding of the members' status."""
    return _encode(report)


def decode(data: bytes) -> SiteReport | None:
    """Returns a peer's report; None if the data is invalid or of an incompatible format."""
    try:
        return _decode(data)
    except msgspec.DecodeError:
        return None
