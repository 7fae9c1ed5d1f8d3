"""A store as JSON Lines, and two stores made one: how filings move to another machine. No I/O.

The first line tells the format, then come filings with their results, and what was learned.
"""

import base64
from collections.abc import Iterable, Iterator
from typing import Any, Literal

import msgspec

from ochrehoist.errors import OchrehoistError
from ochrehoist.store.ageing import Stamp, remaining
from ochrehoist.store.records import Begun, Finished, Learned, Loss, Token, key_of

VERSION = 1


class Unusable(OchrehoistError):
    """The text names the line."""


class Head(msgspec.Struct, tag="store", tag_field="kind"):
    version: int
    at: Stamp
    filings: int
    loss: Loss | None = None


class Filing(msgspec.Struct, tag="filing", tag_field="kind"):
    begun: dict[str, Any]
    finished: dict[str, Any] | None = None


class Lesson(msgspec.Struct, tag="learned", tag_field="kind"):
    at: Stamp
    values: dict[str, Any]
    layout: int


class End(msgspec.Struct, tag="end", tag_field="kind"):
    filings: int
    whole: Literal[True] = True


_decoder = msgspec.json.Decoder(Head | Filing | Lesson | End)


class Moved(msgspec.Struct):
    """What an export holds."""

    at: Stamp
    filings: list[tuple[Begun, Finished | None]]
    learned: Learned | None = None
    loss: Loss | None = None


def _text(data: bytes | None) -> str | None:
    return None if data is None else base64.b64encode(data).decode()


def _plain(record: Begun | Finished) -> dict[str, Any]:
    values = {name: getattr(record, name) for name in record.__struct_fields__}
    return {name: _text(value) if isinstance(value, bytes) else value for name, value in values.items()}


def export_lines(moved: Moved) -> Iterator[bytes]:
    parts = [Head(VERSION, moved.at, len(moved.filings), moved.loss)]
    parts += [Filing(_plain(begun), None if end is None else _plain(end)) for begun, end in moved.filings]
    if moved.learned is not None:
        parts.append(Lesson(moved.learned.at, moved.learned.values, moved.learned.layout))
    parts.append(End(len(moved.filings)))
    for part in parts:
        yield msgspec.json.encode(part) + b"\n"


def read_lines(lines: Iterable[bytes]) -> Moved:
    """All of an export, or Unusable: one that was cut short could leave out a filing that ran."""
    moved: Moved | None = None
    number = 0
    for number, line in enumerate(lines, 1):
        try:
            part = _decoder.decode(line)
            if isinstance(part, Head) != (number == 1):
                raise Unusable(f"line {number}: not where it belongs")
            if isinstance(part, Head):
                if part.version != VERSION:
                    raise Unusable(f"line 1: version {part.version}; this program reads {VERSION}")
                moved = Moved(part.at, [], None, part.loss)
            elif isinstance(part, Filing):
                end = part.finished and msgspec.convert(part.finished, _Finished).record()
                moved.filings.append((msgspec.convert(part.begun, _Begun).record(), end or None))
            elif isinstance(part, Lesson):
                moved.learned = Learned(part.at, part.values, part.layout)
            else:
                if part.filings != len(moved.filings):
                    raise Unusable(
                        f"line {number}: {part.filings} filings were exported, {len(moved.filings)} are here"
                    )
                return moved
        except (msgspec.MsgspecError, ValueError) as error:
            raise Unusable(f"line {number}: {error}") from None
    raise Unusable(f"line {number + 1}: missing: the export was cut short")


class _Begun(msgspec.Struct):
    token: Token
    id: str
    window: int
    left: int
    at: Stamp
    target: bytes | None = None  # base64 in JSON, by the library's convention
    body: bytes | None = None
    holder: str = ""

    def record(self) -> Begun:
        return Begun(*(getattr(self, name) for name in self.__struct_fields__))


class _Finished(msgspec.Struct):
    outcome: str
    success: bool
    body: bytes
    detail: bytes = b"null"
    detail_bytes: int = 0

    def record(self) -> Finished:
        return Finished(*(getattr(self, name) for name in self.__struct_fields__))


def merged(here: Moved, come: Moved, now: Stamp) -> Moved:
    """Both in one. Of two runs of one filing the one with a result counts, else the one whose window ends
    later.

    A loss on either side is one of both: the longer hold counts. What was learned here stays, if there is
    any.
    """

    def lasts(begun: Begun) -> int:
        return remaining(begun.at, begun.left, begun.window, now)

    best: dict[bytes, tuple[Begun, Finished | None]] = {}
    for begun, end in (*here.filings, *come.filings):
        if lasts(begun) <= 0:
            continue
        known = best.get(key_of(begun.token))
        if known is None or (end is not None, lasts(begun)) > (known[1] is not None, lasts(known[0])):
            best[key_of(begun.token)] = (begun, end)
    losses = [loss for loss in (here.loss, come.loss) if loss is not None]
    loss = max(losses, key=lambda x: remaining(x.at, x.hold, x.hold, now), default=None)
    return Moved(now, list(best.values()), here.learned or come.learned, loss)
