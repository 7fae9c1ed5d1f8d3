"""Record types of a capture.

Structs are encoded as arrays whose first element is the tag: the order of the fields is part of the format,
but not their names. New fields may only be added at the end.
"""

from enum import Enum, IntEnum
from pathlib import Path

import msgspec

from ochrehoist.errors import OchrehoistError

FILE_SUFFIX = ".ochrecap"
UNKNOWN_DURATION_NS = -1  # the request was not started, or its end is unknown


class CaptureProblem(Enum):
    """Reason why a file or folder cannot be read as a capture."""

    NOT_A_CAPTURE = "not a capture"
    NO_HEADER = "its header is damaged, without which its records cannot be interpreted"
    NO_VALID_RECORDS = "it contains no valid records"
    NO_FILES = f"the folder contains no file *{FILE_SUFFIX}"


class InvalidCaptureError(OchrehoistError):
    """Raised for a file that is not a capture or that this release cannot read; names the file if known."""

    def __init__(self, problem: CaptureProblem | str, path: Path | None = None) -> None:
        text = problem.value if isinstance(problem, CaptureProblem) else problem
        super().__init__(text if path is None else f"{path}: {text}")
        self.path = path


class CaptureVersionError(InvalidCaptureError):
    """Raised for a capture in another format version than this release reads."""

    def __init__(self, version: int, supported_version: int) -> None:
        super().__init__(
            f"capture format version {version} is not supported, only version {supported_version}"
        )
        self.version = version


class NoCaptureFileError(OchrehoistError):
    """Raised on a write when no file is open, because the last attempt to start one failed."""

    def __init__(self) -> None:
        super().__init__("no capture file is open: the last attempt to open one failed")


class RequestOutcome(IntEnum):
    """Outcome of a request."""

    SERVED = 0
    REJECTED = 1
    FAILED = 2
    CALLER_DISCONNECTED = 3  # before the request was answered


KNOWN_OUTCOMES = frozenset(RequestOutcome)


class CaptureHeader(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """First record of a file: the worker that wrote it, and the settings needed to interpret the records."""

    worker: str
    started_unix_ns: int
    sample_fraction: float  # fraction of subjects that are recorded
    cores: int
    memory_kb: float
    # Name, latency objective (ns), deadline (ns), priority weight, late weight.
    classes: tuple[tuple[str, int, int, float, float], ...]
    tenants: tuple[tuple[str, float], ...]  # name, quota per second


class RequestRecord(msgspec.Struct, frozen=True, array_like=True, tag="req"):
    """One request. `subject` is a hash with the file's salt, or 0 if the request has no subject."""

    arrived_ns: int  # arrival at the machine, relative to the header's `started_unix_ns`
    class_name: str
    tenant: str | None
    front: str
    subject: int
    work_ns: int  # as stated by the caller, on one core; 0 if not stated
    caller: int
    address: str
    is_retry: bool
    outcome: int  # a RequestOutcome, or a value unknown to this release
    read_delay_ns: int  # from arrival until the request was read
    queue_ns: int  # from reading until the start of the run, or UNKNOWN_DURATION_NS
    run_ns: int  # from the start of the run until the answer, or UNKNOWN_DURATION_NS
    running_requests: int  # other requests that were running at its arrival
    queued_requests: int  # other requests that were queued at its arrival
    retry_after_ns: int = 0  # as sent to the caller with a rejection


class DroppedRecords(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """Number of records that were dropped because the disk was too slow or failed."""

    at_ns: int  # relative to the header's `started_unix_ns`
    count: int


Record = CaptureHeader | RequestRecord | DroppedRecords
