"""What workers report to each other of sites, in the status that peers pass on. A codec, without I/O.

The structs are written as arrays: the order of their fields is the layout.
"""

from typing import NamedTuple

import msgspec

TOPIC = "sites"
STAGE_FULL_SERVICE = -1  # instead of a stage of the recovery ramp
STAGE_UNPACED = -2  # recovering while nobody is at full service


class PlaybookVersion(NamedTuple):
    """When a playbook was made (Unix s), and its digest; the greater of two is in use."""

    made: int
    digest: str


NO_PLAYBOOK = PlaybookVersion(0, "")


class SiteObservation(msgspec.Struct, array_like=True, frozen=True):
    """What one worker makes of another site."""

    site: str
    state: str  # a SiteState, or one of a newer version
    wait_ms: int = 0  # that a returning site is asked to stay at its stage
    usual_rate: float = 0.0  # first tries a second that one of its workers had, as last reported
    evidence: float = 0.0  # by what came to this worker alone, that the load of a silent site comes here


class CommandEntry(msgspec.Struct, array_like=True, frozen=True):
    """An operator's command. The higher number counts, and each has an end."""

    site: str
    kind: str  # a CommandKind, or one of a newer version
    number: int
    issued_by: str
    left_ms: int


class SiteReport(msgspec.Struct, array_like=True):
    """One worker's own state; work is in seconds of one core."""

    admission_threshold: float = 1.0
    offered_work: float = 0.0  # a second
    capacity: float = 0.0  # work that it can do in a second
    arrival_rate: float = 0.0  # first tries a second
    usual_rate: float = 0.0  # first tries a second; 0: not known
    stage: int = STAGE_FULL_SERVICE
    weight: int = 100  # the load that it asks for, as a percentage
    step_lease_ms: int = 0  # that its site may still take stages
    observations: list[SiteObservation] = []
    commands: list[CommandEntry] = []
    class_costs: dict[str, float] = {}
    tenant_rates: dict[str, float] = {}
    playbook: PlaybookVersion = NO_PLAYBOOK

    @property
    def is_full_service(self) -> bool:
        """Whether the worker is on no recovery ramp."""
        return self.stage == STAGE_FULL_SERVICE


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(SiteReport).decode


def encode(report: SiteReport) -> bytes:
    """As it is written to the peers' status."""
    return _encode(report)


def decode(data: bytes) -> SiteReport | None:
    """None where it is none of ours, or one of another version."""
    try:
        return _decode(data)
    except msgspec.DecodeError:
        return None
