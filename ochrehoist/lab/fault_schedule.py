"""The fault schedule of a scenario: its `[[faults]]` tables, and the kinds of faults that they name."""

from enum import StrEnum
from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from ochrehoist.config.fleet_description import DescriptionTable, Share

LinkGroup = Literal["peers", "fronts", "servers", "checks", "all"]
StoreChange = Literal["kept", "removed", "older"]


class FaultKind(StrEnum):
    """What can be done to processes, links and services; the values are words of scenario files."""

    CUT = "cut"
    ONE_WAY_CUT = "one way"
    HOLD = "hold"
    LOSSY_LINKS = "weather"
    DELAY = "delay"
    PAUSE = "pause"
    KILL = "kill"
    LEAVE = "leave"
    REPLACE = "replace"
    CROWD = "crowd"
    TRICKLE = "trickle"
    DUPLICATE_MEMBER = "twin"
    RELOAD = "reload"
    SLOW_SERVICE = "slow"
    DEAD_SERVICE = "dead"
    CUTTING_SERVICE = "cuts"
    REPLAY = "replay"
    FLOOD = "flood"
    GARBLE = "garble"
    CLOCK = "clock"
    DISK_FULL = "disk"
    OPERATOR_CALL = "call"
    LOAD_RATE = "rate"
    COLD_SERVICE = "cool"


LINK_FAULTS = frozenset(
    {
        FaultKind.CUT,
        FaultKind.ONE_WAY_CUT,
        FaultKind.HOLD,
        FaultKind.DELAY,
        FaultKind.LOSSY_LINKS,
        FaultKind.TRICKLE,
    }
)
SERVICE_FAULTS = frozenset(
    {FaultKind.SLOW_SERVICE, FaultKind.DEAD_SERVICE, FaultKind.CUTTING_SERVICE, FaultKind.COLD_SERVICE}
)


class Fault(DescriptionTable):
    """One entry of the schedule; the field names are keys of the file.

    `who`: workers (w0, w1 ...), services (s0 ...) or sites by name; of a cut, those on one side. `to`: those
    on the other side; without it all others. `amount`: a factor of slow and rate; s of delay, clock and kill
    (by which the clock of the next process is wrong); a share of weather; bytes a second of trickle; the
    new budget of reload; the number of busy processes of crowd.
    """

    at: Annotated[float, Field(ge=0)]
    kind: str
    who: Annotated[list[str], Field(min_length=1)]
    to: list[str] = Field(default_factory=list)
    links: LinkGroup = "peers"
    lasts: Annotated[float, Field(ge=0)] = 0.0
    amount: float = 0.0
    path: str = ""  # of call: what operators post to each worker's address
    between: Annotated[float, Field(ge=0)] = 0.0  # s from one of `who` to the next
    repeat: Share = 0.0  # of weather: the share of messages that arrive twice
    store: StoreChange = "kept"  # of kill: what the next process finds

    @model_validator(mode="after")
    def _known(self) -> Self:
        if self.kind not in set(FaultKind):
            message = f"kind: no {self.kind!r}; there are {', '.join(FaultKind)}"
            raise ValueError(message)
        return self

    @property
    def fault_kind(self) -> FaultKind:
        """The kind as one of those that are known."""
        return FaultKind(self.kind)

    @property
    def ends_at(self) -> float:
        """When it is over, in s of the run."""
        return self.at + self.lasts

    @property
    def affects_callers(self) -> bool:
        """Whether it is done to more than the links between peers."""
        return self.links != "peers" or self.fault_kind not in LINK_FAULTS
