"""Captures as tools read them: files of one or more workers, put in order, with what is missing told."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ochrehoist.capture.records import SUFFIX, Damage, Head, Lost, Outcome, Seen, Unusable, records


@dataclass(frozen=True)
class Entry:
    """One request, with its times in Unix ns. `subject` tells apart only within one file."""

    worker: str
    at: int
    seen: Seen
    subject: int  # unique to file and subject; 0 where the request named none


@dataclass
class Capture:
    heads: list[Head] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)  # by time
    lost: int = 0  # records that the workers could not write
    damage: Damage = field(default_factory=Damage)
    files: int = 0

    @property
    def sample(self) -> float:
        """The smallest share of subjects that is on record anywhere."""
        return min((h.sample for h in self.heads), default=1.0)

    @property
    def seconds(self) -> float:
        """From the first request to the last."""
        return (self.entries[-1].at - self.entries[0].at) / 1e9 if len(self.entries) > 1 else 0.0

    def warnings(self) -> list[str]:
        """What a reader must know before it believes figures of this."""
        d, out = self.damage, []
        if self.lost:
            out.append(f"{self.lost} records were lost while it was made")
        if d.cut_bytes:
            out.append(f"a file is cut off: {d.cut_bytes} bytes at its end are no whole block")
        if d.blocks:
            out.append(f"{d.blocks} blocks are damaged and left out")
        if d.unknown:
            out.append(f"{d.unknown} records of unknown kinds are passed over")
        if self.sample < 1:
            out.append(f"sampled: {self.sample:.0%} of the subjects; rates are scaled up")
        return out + d.why


def read_file(data: bytes, into: Capture, salt: int) -> None:
    """Adds one file. Raises Unusable where it is none, or has no head."""
    head, base, damage = None, len(into.entries), Damage()
    for record in records(data, damage):
        if isinstance(record, Head):
            head = record
            into.heads.append(head)
        elif head is None:
            raise Unusable("its head is damaged: nothing in it can be told")
        elif isinstance(record, Seen):
            if record.outcome in Outcome._value2member_map_ and record.at >= 0:
                subject = hash((salt, record.subject)) if record.subject else 0
                into.entries.append(Entry(head.name, head.started + record.at, record, subject))
            else:
                damage.unknown += 1
        elif isinstance(record, Lost):
            into.lost += record.count
    if head is None and len(into.entries) == base:
        raise Unusable("it holds nothing that is whole")
    into.files += 1
    total = into.damage
    total.cut_bytes += damage.cut_bytes
    total.blocks += damage.blocks
    total.unknown += damage.unknown
    total.why += damage.why


def read(paths: Iterable[Path]) -> Capture:
    """Files, and folders of them. Raises Unusable, which names the file, and OSError."""
    files: list[Path] = []
    for path in paths:
        found = sorted(path.glob(f"*{SUFFIX}")) if path.is_dir() else [path]
        if not found:
            raise Unusable(f"{path}: no file *{SUFFIX} in it")
        files += found
    out = Capture()
    for number, path in enumerate(files):
        try:
            read_file(path.read_bytes(), out, number + 1)
        except Unusable as error:
            raise Unusable(f"{path}: {error}") from None
    # Each is written when it ends: by the time that it came they are out of order.
    out.entries.sort(key=lambda e: e.at)
    return out
