"""Taking a folder into use: what is there is judged, what is damaged set aside, what is sound taken over."""

import json
import os
import uuid
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import apsw

from ochrehoist.store import disk
from ochrehoist.store.ageing import Stamp, remaining
from ochrehoist.store.backlog import Save
from ochrehoist.store.disk import Contents, Database, Failed
from ochrehoist.store.loss import Case, Seen, Verdict, judge
from ochrehoist.store.records import FORMAT, Begun, Census, Learned, Loss

SLACK = 1_000_000_000  # ns that a new loss is held over the longest window, for what was on its way


@dataclass
class Opened:
    """A store in use, and how it was found."""

    db: Database
    case: Case
    begun: list[tuple[Begun, int, bool]]  # ns that are left of its window; whether its end is on record
    stale: list[Begun]  # their windows are over: to be taken out
    learned: Learned | None
    loss: Loss | None
    why: list[str] = field(default_factory=list)  # of a loss that was found just now
    set_aside: list[str] = field(default_factory=list)


class Witness:
    """Tells on disk how far the store has come, without a sync of its own."""

    def __init__(self, folder: Path) -> None:
        self.fd = os.open(folder / disk.WITNESS, os.O_CREAT | os.O_RDWR, 0o600)

    def write(self, number: int) -> None:
        data = number.to_bytes(8, "big")
        with suppress(OSError):  # what is missing here weakens a later check only
            os.pwrite(self.fd, data + disk.xxhash.xxh3_64_digest(data), 0)

    def close(self) -> None:
        os.close(self.fd)


def make_folder(folder: Path) -> None:
    """OSError where it can't be made, as where its parent does not exist."""
    if not folder.is_dir():
        folder.mkdir(mode=0o700)
        disk.sync_folder(folder.parent)


def must_hold_a_store(folder: Path) -> None:
    """Raises Failed where the folder never held one. What was begun on a volume that is not mounted is not
    known, and a store made in its place would be hidden by it later."""
    if not folder.is_dir() or disk.read_marker(folder) is None:
        raise Failed(disk.Error.MISSING, f"{folder}: {disk.Error.MISSING.value}")


def _read(path: Path) -> Contents:
    """What a store holds; one that is damaged says so in `unreadable`. Raises Failed where the disk fails."""
    try:
        db = Database(path)
    except (apsw.Error, OSError) as error:
        failed = disk.failure(error)
        if failed.error is not disk.Error.DAMAGED:
            raise failed from None
        return Contents(unreadable=str(error))
    try:
        return db.contents()
    finally:
        db.close()


def _unfinished_swap(path: Path, witness: int | None) -> None:
    """A new store that was whole when the process died, just before it took the old one's place."""
    for ending in (disk.ANEW, disk.NEW):
        new = path.with_name(path.name + ending)
        if path.exists() or not new.exists():
            continue
        with suppress(Failed):
            contents = _read(new)
            if judge(contents.seen(True, None, witness)).case is Case.SOUND:
                os.replace(new, path)
                disk.sync_folder(path.parent)


def _results(paths: Iterable[Path]) -> list[tuple[bytes, bytes]]:
    out = []
    for path in paths:
        with suppress(apsw.Error, OSError):
            db = Database(path)
            out += db.all_finished()
            db.close()
    return out


def _marker(folder: Path, known: dict | None, longest: int, newer: dict[str, int]) -> None:
    """Written where it is missing or has something new to say."""
    name = (known or {}).get("store") or uuid.uuid4().hex
    wanted = {"store": name, "longest_window": longest, "newer": newer}
    if known != wanted:
        disk.write_whole(folder / disk.MARKER, json.dumps(wanted).encode())


def open_folder(folder: Path, max_mb: float, longest: int, now: Stamp) -> Opened:
    """Takes the folder into use; `longest` is the longest window (ns) of the settings. Raises Failed,
    OSError.

    The caller has the lock. Nothing that is there is deleted: what can't serve is given another name.
    """
    path, marker, witness = folder / disk.db_name(), disk.read_marker(folder), disk.read_witness(folder)
    _unfinished_swap(path, witness)
    found = disk.stores(folder)
    noted = (marker or {}).get("newer") or {}
    newer = {p.name: p.stat().st_mtime_ns for v, p in found.items() if v > FORMAT}
    unknown = next((name for name, at in newer.items() if noted.get(name) != at), None)
    longest = max(longest, int((marker or {}).get("longest_window") or 0))
    older, wrong = [found[v] for v in sorted(found) if v < FORMAT], []
    if older:
        wrong = _take_older(path, older, witness)
        found, witness = disk.stores(folder), None
    present = FORMAT in found
    contents = _read(path) if present else Contents()
    seen = (
        contents.seen(marker is not None, unknown, witness)
        if present
        else Seen(marker is not None, False, unknown)
    )
    verdict = judge(seen)
    if wrong:
        verdict = Verdict(Case.LOST, verdict.why + wrong, verdict.set_aside)
    aside: list[str] = []
    if verdict.case is Case.LOST:
        contents.loss = Loss(now, longest + SLACK, "; ".join(verdict.why))
    if not present or verdict.set_aside:
        results = _results([path]) if present else []
        if verdict.set_aside:
            aside.append(disk.set_aside(path, "damaged"))
        number = max(witness or 0, contents.census.number if contents.census else 0) + 1
        disk.fill(
            path, number, contents.begun, results, {disk.LOSS: contents.loss, disk.LEARNED: contents.learned}
        )
        contents = _read(path)
    elif verdict.case is Case.LOST:
        db = Database(path)
        db.census = contents.census
        db.commit([Save(disk.LOSS, contents.loss)])
        contents.census = db.census
        db.close()
    _marker(folder, marker, longest, newer)
    db = Database(path, max_mb)
    db.census = contents.census or Census()
    begun, stale = [], []
    for record, ended in zip(contents.begun, contents.ended, strict=True):
        left = remaining(record.at, record.left, record.window, now)
        if left > 0:
            begun.append((record, left, bool(ended)))
        else:
            stale.append(record)
    return Opened(db, verdict.case, begun, stale, contents.learned, contents.loss, verdict.why, aside)


def _take_older(path: Path, older: list[Path], witness: int | None) -> list[str]:
    """Makes one store of this format of those of older ones, and of one of this format that is there too.

    Gives what is wrong with them: their sound records are taken over all the same.
    """
    paths = [*older, *([path] if path.exists() else [])]
    parts, why = [_read(p) for p in paths], []
    for one, contents in zip(paths, parts, strict=True):
        why += [f"{one.name}: {text}" for text in judge(contents.seen(True, None, None)).why]
    number = max((c.census.number for c in parts if c.census), default=0)
    if witness is not None and witness > number:  # whichever format was last in use
        why.append(f"{witness - number} commits are missing")
    begun = {record.token: record for contents in parts for record in contents.begun}
    losses = [c.loss for c in parts if c.loss is not None]
    lessons = [c.learned for c in parts if c.learned is not None]
    results = _results(paths)
    if path.exists():
        disk.set_aside(path, "merged")
    disk.fill(
        path,
        max(witness or 0, number) + 1,
        begun.values(),
        results,
        {disk.LOSS: losses[-1] if losses else None, disk.LEARNED: lessons[-1] if lessons else None},
    )
    for one in older:
        disk.set_aside(one, "taken")
    return why


def rewrite(
    opened: Opened, max_mb: float, begun: list[Begun], loss: Loss | None, learned: Learned | None
) -> Database:
    """Writes the store anew from what the worker knows; results come from the old one, as far as they are
    good."""
    path, number = opened.db.path, opened.db.census.number + 1
    results = list(opened.db.all_finished())
    try:
        opened.db.close()
        new = path.with_name(path.name + disk.ANEW)
        disk.fill(new, number, begun, results, {disk.LOSS: loss, disk.LEARNED: learned})
        opened.set_aside.append(disk.set_aside(path, "failed"))
        os.replace(new, path)
        disk.sync_folder(path.parent)
        opened.db = Database(path, max_mb)
        opened.db.contents()
        return opened.db
    except (apsw.Error, OSError) as error:
        raise disk.failure(error) from None
