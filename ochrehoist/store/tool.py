"""What operators do with a store: look at it, check it, move it, make it smaller."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import apsw

from ochrehoist.errors import OchrehoistError
from ochrehoist.store import disk
from ochrehoist.store.ageing import Stamp, remaining
from ochrehoist.store.disk import Contents, Database, Lock
from ochrehoist.store.loss import Case, judge
from ochrehoist.store.opening import make_folder, open_folder
from ochrehoist.store.records import (
    CorruptRecordError,
    Finished,
    UnsupportedFormatError,
    key_of,
    pack,
    unpack,
)
from ochrehoist.store.transfer import Moved, merged

WHO = "the state command"


class StoreMissingError(OchrehoistError):
    """The folder holds none that this program can read."""


@contextmanager
def reading(folder: Path) -> Iterator[tuple[Database, Contents, int | None]]:
    """The store, beside a worker that may be writing to it: all that is read is of one moment."""
    path = folder / disk.db_name()
    if not path.exists():
        newer = [p.name for v, p in disk.stores(folder).items()] if folder.is_dir() else []
        raise StoreMissingError(
            f"{folder}: no {path.name}" + (f"; there is {', '.join(newer)}" if newer else "")
        )
    witness = disk.read_witness(folder)  # before the store: what comes meanwhile is no loss
    try:
        db = Database(path, read_only=True)
    except apsw.Error as error:
        raise StoreMissingError(f"{path}: {error}") from None
    try:
        with suppress(apsw.Error):
            db.db.execute("BEGIN")
        yield db, db.contents(), witness
    finally:
        db.close()


def holder(folder: Path) -> str:
    """Who has the folder; empty where nobody does."""
    if not (folder / disk.LOCK).exists():
        return ""
    try:
        Lock(folder, WHO, ask=True).release()
    except disk.Held as held:
        return str(held)
    return ""


def show(folder: Path, now: Stamp) -> dict[str, Any]:
    with reading(folder) as (db, contents, witness):
        verdict = judge(contents.seen(disk.read_marker(folder) is not None, None, witness))
        left = [remaining(r.at, r.left, r.window, now) for r in contents.begun]
        loss = contents.loss
        return {
            "folder": str(folder),
            "store": disk.db_name(),
            "state": verdict.case.value,
            "why": verdict.why,
            "held_by": holder(folder),
            "bytes": db.bytes,
            "filings": len(contents.begun),
            "with_result": sum(contents.ended),
            "may_have_run": len(left) - sum(contents.ended),
            "over": sum(n <= 0 for n in left),
            "longest_left_s": round(max(left, default=0) / 1e9, 1),
            "commit": contents.census and contents.census.number,
            "witness": witness,
            "learned": contents.learned is not None,
            "hold_s": 0 if loss is None else round(remaining(loss.at, loss.hold, loss.hold, now) / 1e9, 1),
            "loss": "" if loss is None else loss.why,
            "set_aside": sorted(
                p.name for p in folder.iterdir() if p.name.startswith("state-") and ".db." in p.name
            ),
        }


def check(folder: Path) -> list[str]:
    """All that is wrong; each result is read too."""
    with reading(folder) as (db, contents, witness):
        found = list(judge(contents.seen(disk.read_marker(folder) is not None, None, witness)).why)
        found += [f"structure: {text}" for text in db.check()]
        bad = total = 0
        try:
            for key, data in db.db.execute("SELECT key, data FROM finished"):
                total += 1
                try:
                    unpack(key, data, Finished)
                except (CorruptRecordError, UnsupportedFormatError):
                    bad += 1
        except apsw.Error as error:
            found.append(f"results: {error}")
        if bad:
            found.append(f"{bad} of {total} results are damaged: their repeats fail as if they may have run")
        return found


def begin(folder: Path, longest: int, now: Stamp) -> None:
    """Makes the first store of a folder. Raises StoreMissingError where there is or was one, Held, Failed,
    OSError.
    """
    make_folder(folder)
    lock = Lock(folder, WHO)
    try:
        if disk.read_marker(folder) is not None or disk.stores(folder):
            raise StoreMissingError(f"{folder}: it holds a store, or held one; nothing was changed")
        open_folder(folder, 0, longest, now).db.close()
    finally:
        lock.release()


def _moved(db: Database, contents: Contents, now: Stamp) -> Moved:
    filings = [
        (r, db.fetch(key_of(r.token)) if ended else None)
        for r, ended in zip(contents.begun, contents.ended, strict=True)
    ]
    return Moved(now, filings, contents.learned, contents.loss)


def exported(folder: Path, now: Stamp) -> Moved:
    """All of a store whose worker is stopped; raises Held, StoreMissingError."""
    lock = Lock(folder, WHO)
    try:
        with reading(folder) as (db, contents, witness):
            verdict = judge(contents.seen(True, None, witness))
            if verdict.case is not Case.SOUND:
                raise StoreMissingError(
                    f"{folder}: not sound: {'; '.join(verdict.why)}; start the worker on it first, "
                    "which sets aside what is damaged"
                )
            return _moved(db, contents, now)
    finally:
        lock.release()


def take_in(folder: Path, come: Moved | None, longest: int, now: Stamp) -> tuple[int, int]:
    """Makes a store of what is there and what comes; gives the numbers of filings before and after.

    With nothing to come it is written anew, without what is over. Raises Held, Failed, OSError.
    """
    make_folder(folder)
    lock = Lock(folder, WHO)
    try:
        opened = open_folder(folder, 0, longest, now)
        contents = opened.db.contents()
        here = _moved(opened.db, contents, now)
        number = opened.db.census.number + 1
        opened.db.close()
        both = merged(here, come or Moved(now, []), now)
        path = folder / disk.db_name()
        new = path.with_name(path.name + disk.ANEW)
        disk.fill(
            new,
            number,
            [begun for begun, _ in both.filings],
            [
                (key_of(begun.token), pack(key_of(begun.token), end))
                for begun, end in both.filings
                if end is not None
            ],
            {disk.LOSS: both.loss, disk.LEARNED: both.learned},
        )
        for ending in ("-wal", "-shm"):
            with suppress(FileNotFoundError):
                path.with_name(path.name + ending).unlink()
        new.replace(path)
        disk.sync_folder(folder)
        return len(here.filings), len(both.filings)
    finally:
        lock.release()
