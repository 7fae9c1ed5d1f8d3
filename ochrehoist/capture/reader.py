"""Reading of captures: files of one or more workers, merged in order of arrival, with a report of damage."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ochrehoist.capture.encoding import CaptureDamage, decode_records
from ochrehoist.capture.records import (
    FILE_SUFFIX,
    KNOWN_OUTCOMES,
    CaptureHeader,
    CaptureProblem,
    DroppedRecords,
    InvalidCaptureError,
    RequestRecord,
)

NS_PER_S = 1e9


@dataclass(frozen=True)
class CapturedRequest:
    """One recorded request, with its arrival in Unix time (ns)."""

    worker: str
    arrived_unix_ns: int
    record: RequestRecord
    subject: int  # hash unique to a file and a subject; 0 if the request has no subject


@dataclass
class Capture:
    """The content of one or more capture files."""

    headers: list[CaptureHeader] = field(default_factory=list)
    # `read_capture` sorts them by time of arrival.
    requests: list[CapturedRequest] = field(default_factory=list)
    dropped: int = 0  # records that the workers dropped
    damage: CaptureDamage = field(default_factory=CaptureDamage)
    files: int = 0

    @property
    def sample_fraction(self) -> float:
        """The smallest fraction of subjects recorded in any file."""
        return min((header.sample_fraction for header in self.headers), default=1.0)

    @property
    def duration_s(self) -> float:
        """Seconds from the first request to the last."""
        if len(self.requests) < 2:
            return 0.0
        return (self.requests[-1].arrived_unix_ns - self.requests[0].arrived_unix_ns) / NS_PER_S

    def warnings(self) -> list[str]:
        """Returns warnings about missing data, to be shown with figures from this capture."""
        damage = self.damage
        warnings = []
        if self.dropped:
            warnings.append(f"{self.dropped} records were lost while it was made")
        if damage.cut_bytes:
            warnings.append(f"a file is cut off: {damage.cut_bytes} bytes at its end are no whole block")
        if damage.corrupt_blocks:
            warnings.append(f"{damage.corrupt_blocks} blocks are damaged and left out")
        if damage.unknown_records:
            warnings.append(f"{damage.unknown_records} records of unknown kinds are passed over")
        if self.sample_fraction < 1:
            warnings.append(f"sampled: {self.sample_fraction:.0%} of the subjects; rates are scaled up")
        return warnings + damage.reasons

    def add_file(self, data: bytes, file_number: int) -> None:
        """Adds the content of a file. Raises InvalidCaptureError if it is not a capture or has no header."""
        header = None
        requests_before = len(self.requests)
        damage = CaptureDamage()
        for record in decode_records(data, damage):
            if isinstance(record, CaptureHeader):
                header = record
                self.headers.append(header)
            elif header is None:
                raise InvalidCaptureError(CaptureProblem.NO_HEADER)
            elif isinstance(record, DroppedRecords):
                self.dropped += record.count
            elif record.outcome in KNOWN_OUTCOMES and record.arrived_ns >= 0:
                self._add_request(header, record, file_number)
            else:
                damage.unknown_records += 1
        if header is None and len(self.requests) == requests_before:
            raise InvalidCaptureError(CaptureProblem.NO_VALID_RECORDS)
        self.files += 1
        self._add_damage(damage)

    def _add_request(self, header: CaptureHeader, record: RequestRecord, file_number: int) -> None:
        subject = hash((file_number, record.subject)) if record.subject else 0
        arrived_unix_ns = header.started_unix_ns + record.arrived_ns
        self.requests.append(CapturedRequest(header.worker, arrived_unix_ns, record, subject))

    def _add_damage(self, damage: CaptureDamage) -> None:
        self.damage.cut_bytes += damage.cut_bytes
        self.damage.corrupt_blocks += damage.corrupt_blocks
        self.damage.unknown_records += damage.unknown_records
        self.damage.reasons += damage.reasons


def read_capture(paths: Iterable[Path]) -> Capture:
    """Reads capture files; a path of a folder stands for all capture files in it.

    Raises InvalidCaptureError, which names the file, or OSError.
    """
    capture = Capture()
    for file_number, path in enumerate(_files(paths), 1):
        try:
            capture.add_file(path.read_bytes(), file_number)
        except InvalidCaptureError as error:
            raise InvalidCaptureError(str(error), path) from None
    # Requests are recorded in the order in which they ended, and those of several files follow each other.
    capture.requests.sort(key=lambda request: request.arrived_unix_ns)
    return capture


def _files(paths: Iterable[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        folder_files = sorted(path.glob(f"*{FILE_SUFFIX}")) if path.is_dir() else [path]
        if not folder_files:
            raise InvalidCaptureError(CaptureProblem.NO_FILES, path)
        files += folder_files
    return files
