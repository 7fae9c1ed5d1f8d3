"""TOML read in steps: arrays of tables by stretches of some dozens of elements, the rest as a whole.

What says what the text means is tomli alone: a stretch of elements is a document of its own, and in the rest
an empty element stands for each run of them, so that what may follow what is judged there. A text whose form
is unusual is read as a whole.
"""

import re
import zlib
from array import array
from bisect import bisect_right
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import tomli

from ochrehoist.config_json import WHOLE, Path
from ochrehoist.config_source import Kept, Source, Text, joined

ELEMENTS = 64  # of a stretch, at the most,
STRETCH = 4096  # or so many characters, unless one element has more
BORDER = 24  # one element in so many begins a stretch, by its own text: what comes before it moves no border
LONGEST = 65536  # characters of one element, or one line

_LINE = re.compile(r"\n[ \t]*\[[^\n]*")  # what may be a header
_KEY = r"[A-Za-z_][A-Za-z0-9_-]*"
_HEADER = re.compile(rf"\n[ \t]*(?:\[({_KEY}(?:\.{_KEY})*)\]|\[\[({_KEY}(?:\.{_KEY})*)\]\])[ \t]*(?:#.*)?")
_VALUES = {"true", "false", "inf", "nan"}  # [true] may be a line of an array
_TABLE: Path = ()


class _Unusual(Exception):
    """The text can't be parted."""


class _Faulty(Exception):
    def __init__(self, text: str, line: int) -> None:
        super().__init__(text)
        self.line = line


@dataclass(slots=True)
class Reading:
    """A file read."""

    data: dict[str, Any]  # as a plain reading gives it, but with the elements that `element_of` gave
    source: Source | None = None  # None: read as a whole
    lines: Mapping[Path, array] = field(default_factory=dict)  # of the elements
    parsed: int = 0  # elements that were parsed


def read_in_steps(text: Text, element_of: Mapping[Path, Callable[[Any], Any]],
                  before: Source | None) -> Generator[None, None, Reading]:
    """`element_of` makes an element's data into what is kept of it; what it can't use, it gives back.

    Raises ValueError, with the line at fault.
    """
    if text.size > WHOLE:
        if before is not None and before.digest == text.digest:
            return Reading(joined(before.rest, before.kept), before)
        try:
            return (yield from _Parting(element_of, before).read(text))
        except _Unusual:
            pass
        except _Faulty as error:
            raise ValueError(str(error)) from None
    return Reading(_loads(text.whole()))


def _loads(text: str) -> dict[str, Any]:
    try:
        return tomli.loads(text)
    except RecursionError:
        raise ValueError("nested too deeply") from None


class _Parting:
    """One text, parted: elements go into stretches, all other lines into the rest."""

    def __init__(self, element_of: Mapping[Path, Callable[[Any], Any]], before: Source | None) -> None:
        self.element_of, self.before = element_of, before
        self.headers: dict[str, Path | None] = {}  # path by line; None: of no usual form
        self.path = _TABLE  # of what the line in hand belongs to
        self.rest: list[tuple[str, int]] = []  # text and its first line
        self.run: set[Path] = set()  # arrays that stand in the rest since its last own line
        self.runs: dict[Path, int] = {}
        self.arrays: dict[Path, list[Any]] = {}
        self.lines: dict[Path, array] = {}
        self.stretches: dict[Path, dict[bytes, tuple[int, int]]] = {}
        self.stretch: list[str] = []  # elements not yet read, all of `self.path`
        self.length = self.first = self.parsed = 0

    def read(self, text: Text) -> Generator[None, None, Reading]:
        buffer, line = "\n", 0  # lines before the buffer's first character, which is a newline
        for part in text.parts:
            buffer += part
            if '"""' in buffer or "'''" in buffer:
                raise _Unusual  # lines within a string
            done = yield from self._take(buffer, line, last=False)
            line += buffer.count("\n", 0, done)
            buffer = buffer[done:]
            if len(buffer) > LONGEST:
                raise _Unusual
            yield
        yield from self._take(buffer, line, last=True)
        yield from self._close("")
        yield
        data = self._rest()
        yield
        kept = {}
        for path in self.element_of:
            if path in self.arrays:
                kept[path] = Kept(tuple(self.arrays[path]), self.stretches[path])
        others = {path: elements for path, elements in self.arrays.items() if path not in kept}
        rest = joined(data, {path: Kept(elements) for path, elements in others.items()})
        return Reading(joined(rest, kept), Source(text.digest, rest, kept), self.lines, self.parsed)

    def _take(self, buffer: str, line: int, last: bool) -> Generator[None, None, int]:
        """How much of the buffer was taken: up to the last header, or line, that may yet go on."""
        at = 0
        for match in _LINE.finditer(buffer):
            if match.end() == len(buffer) and not last:
                break  # the line may go on
            if match.start() == 0 and self.path:
                continue  # the element in hand
            path = self._header(match.group())
            if path is None:
                if self.path:
                    raise _Unusual
                continue  # of the rest, whatever it is
            start = match.start()
            if start > at or self.path:
                line = yield from self._piece(buffer[at:start], line, match.group())
            at, self.path = start, path
        end = len(buffer) if last else at if self.path else max(at, buffer.rfind("\n"))
        if end > at:
            yield from self._piece(buffer[at:end], line, "")
        return end

    def _header(self, text: str) -> Path | None:
        """The array whose element begins here, _TABLE for any other header; None if it may be none."""
        try:
            return self.headers[text]
        except KeyError:
            pass
        match, path = _HEADER.fullmatch(text), None
        if match is not None:
            table, array_ = match.groups()
            keys = tuple((table or array_).split("."))
            if keys[0] not in _VALUES:
                path = keys if array_ else _TABLE
        if len(self.headers) < 256:
            self.headers[text] = path
        return path

    def _piece(self, text: str, line: int, follows: str) -> Generator[None, None, int]:
        """Lines from one header to the next, or as many as are there; the number of lines before the next."""
        if not self.path:
            self.rest.append((text, line + 1))
            self.run.clear()
            return line + text.count("\n")
        path = self.path
        if path not in self.run:
            self.run.add(path)
            self.runs[path] = self.runs.get(path, 0) + 1
            end = text.find("\n", 1)
            self.rest.append((text if end < 0 else text[:end], line + 1))
        if path not in self.arrays:
            self.arrays[path], self.lines[path], self.stretches[path] = [], array("L"), {}
        if self.stretch and (
                len(self.stretch) == ELEMENTS or self.length + len(text) > STRETCH
                or not zlib.crc32(text.encode()) % BORDER):
            yield from self._close(text)
        if not self.stretch:
            self.first = line + 1
        self.stretch.append(text)
        self.lines[path].append(line + 1)
        self.length += len(text)
        if follows and self._header(follows) != path:
            yield from self._close(follows)
        return line + text.count("\n")

    def _close(self, follows: str) -> Generator[None, None, None]:
        """The stretch is read, unless it is known from before."""
        if not self.stretch:
            return
        text, path, elements = "".join(self.stretch), self.path, self.arrays[self.path]
        number, self.stretch, self.length = len(self.stretch), [], 0
        element_of = self.element_of.get(path)
        if element_of is None:
            elements += self._parse(text, follows)
            yield
            return
        digest = blake2b(text.encode(), digest_size=16).digest()
        self.stretches[path][digest] = len(elements), number
        kept = self.before.kept.get(path) if self.before is not None else None
        known = kept.stretches.get(digest) if kept is not None else None
        if known is not None:
            elements += kept.elements[known[0]:known[0] + known[1]]
            return
        elements += map(element_of, self._parse(text, follows))
        yield

    def _parse(self, text: str, follows: str) -> list[Any]:
        try:
            data: Any = _loads(text)
        except ValueError as error:
            self._rest()  # what is wrong before goes first
            raise _faulty(self._exact(error, text, follows), self.first - 2) from None
        for key in self.path:
            data = data[key]
        self.parsed += len(data)
        return data

    @staticmethod
    def _exact(error: ValueError, text: str, follows: str) -> ValueError:
        """How far what was left open goes is told by the line that follows."""
        try:
            _loads(text + "\n".join(follows.split("\n")[:2]))
        except ValueError as exact:
            return exact
        return error

    def _rest(self) -> dict[str, Any]:
        """The rest, parsed: with an empty element for each run of them."""
        text = "".join(piece for piece, _ in self.rest)
        try:
            data = _loads(text)
        except ValueError as error:
            raise _faulty(error, self._offset(error)) from None
        for path, runs in self.runs.items():
            table: Any = data
            for key in path:
                table = table.get(key) if isinstance(table, dict) else None
            if table != [{}] * runs:
                raise _Unusual  # something goes on within an element
        return data

    def _offset(self, error: ValueError) -> int:
        """What the line of the rest that the error names has less than that of the file."""
        starts, lines = [], 0
        for piece, _ in self.rest:
            starts.append(lines + 2)  # a piece begins with the newline before its first line
            lines += piece.count("\n")
        at = max(0, bisect_right(starts, getattr(error, "lineno", 0)) - 1)
        return self.rest[at][1] - starts[at]


def _faulty(error: ValueError, offset: int) -> _Faulty:
    message, line = getattr(error, "msg", str(error)), getattr(error, "lineno", 2) + offset
    if getattr(error, "pos", 0) >= len(getattr(error, "doc", " ")):
        return _Faulty(f"{message} (at end of document)", line)
    return _Faulty(f"{message} (at line {line}, column {getattr(error, 'colno', 1)})", line)
