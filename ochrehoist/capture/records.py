"""The records of a capture.

Structs are encoded as arrays whose first element is the tag: the order of fields is part of the format, their
names are not. Fields may be added at the end.
"""

from enum import Enum, IntEnum
from pathlib import Path

import msgspec

from ochrehoist.errors import OchrehoistError

FILE_SUFFIX = ".ochrecap"
UNKNOWN_DURATION_NS = -1  # the request was not started, or its end is not known


class CaptureProblem(Enum):
    """Why something is not read as a capture."""

    NOT_A_CAPTURE = "not a capture"
    NO_HEADER = "its head is damaged: nothing in it can be told"
    NO_VALID_RECORDS = "it holds nothing that is whole"
    NO_FILES = f"no file *{FILE_SUFFIX} in it"


class InvalidCaptureError(OchrehoistError):
    """No capture, or one that this release can't read; names the file where it is known."""

    def __init__(self, problem: CaptureProblem | str, path: Path | None = None) -> None:
        text = problem.value if isinstance(problem, CaptureProblem) else problem
        super().__init__(text if path is None else f"{path}: {text}")
        self.path = path


class CaptureVersionError(InvalidCaptureError):
    """A capture of another format version than this release reads."""

    def __init__(self, version: int, supported_version: int) -> None:
        super().__init__(f"a capture of version {version}; this program reads version {supported_version}")
        self.version = version


class NoCaptureFileError(OchrehoistError):
    """The last attempt to start a file failed, so that nothing can be written."""

    def __init__(self) -> None:
        super().__init__("no file could be opened")


class RequestOutcome(IntEnum):
    """How a request ended."""

    SERVED = 0
    REJECTED = 1
    FAILED = 2
    CALLER_DISCONNECTED = 3  # its caller disconnected before the answer


KNOWN_OUTCOMES = frozenset(RequestOutcome)


class CaptureHeader(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Which worker recorded a file, and what a reader must know of it."""

    worker: str
    started_unix_ns: int
    sample_fraction: float  # share of subjects that are recorded
    cores: int
    memory_kb: float
    # Name, latency objective (ns), deadline (ns), priority weight, late weight.
    classes: tuple[tuple[str, int, int, float, float], ...]
    tenants: tuple[tuple[str, float], ...]  # name, quota a second


class RequestRecord(msgspec.Struct, frozen=True, array_like=True, tag="req"):
    """One request. `subject` is a hash that means nothing outside its file, 0 where there is none."""

    arrived_ns: int  # after the header's start, when it reached the machine
    class_name: str
    tenant: str | None
    front: str
    subject: int
    work_ns: int  # as stated, on one core; 0 where it was not
    caller: int
    address: str
    is_retry: bool
    outcome: int  # of RequestOutcome, or unknown to this release
    read_delay_ns: int  # from its arrival until it was read
    queue_ns: int  # from when it was read until it was started, or UNKNOWN_DURATION_NS
    run_ns: int  # from when it was started until it was answered, or UNKNOWN_DURATION_NS
    running_requests: int  # others that ran when it came
    queued_requests: int  # others that were queued then
    retry_after_ns: int = 0  # as its caller was notified with a rejection


class DroppedRecords(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """So many records were not written, as the disk was too slow."""

    at_ns: int  # after the header's start
    count: int


Record = CaptureHeader | RequestRecord | DroppedRecords
