"""TOML read in steps: arrays of tables by stretches of some dozens of elements, the rest as a whole.

What says what the text means is tomli alone, which is tomllib compiled: a stretch of elements is a document
of its own, and in the rest an empty element stands for each run of them, so that what may follow is judged
there. A text whose form is unusual is read as a whole, by a thread that lets others go on.
"""

import re
import sys
import threading
import tomllib
from array import array
from bisect import bisect_right
from collections.abc import Generator, Mapping
from hashlib import blake2b
from typing import Any
from zlib import crc32

import tomli

from ochrehoist.config.json_reader import Path, Taker
from ochrehoist.config.source import Reading, Source, Stretches, Text, joined
from ochrehoist.errors import OchrehoistError

ELEMENTS = 64  # of a stretch, at the most,
STRETCH = 4096  # or so many characters, unless one element has more
BORDER = 24  # one element in so many begins a stretch, by its own text: what comes before it moves no border
TRIES = 32  # at finding what is good before a fault
SHORT = 8192  # characters of the rest that are read by one step; more by a thread
MOST_REST = 262144  # and more than this is not parted
SWITCH = 0.0005  # s that a thread holds the interpreter while others want it
LONGEST = 65536  # characters of one element, or one line

_LINE = re.compile(r"\n[ \t]*\[[^\n]*")  # what may be a header
_KEY = r"[A-Za-z_][A-Za-z0-9_-]*"
_HEADER = re.compile(rf"\n[ \t]*(?:\[({_KEY}(?:\.{_KEY})*)\]|\[\[({_KEY}(?:\.{_KEY})*)\]\])[ \t]*(?:#.*)?")
_PLACE = re.compile(r"(.*) \(at line (\d+), column (\d+)\)", re.DOTALL)
_VALUES = {"true", "false", "inf", "nan"}  # [true] may be a line of an array
_TABLE: Path = ()


class _Unusual(OchrehoistError):
    """The text can't be parted."""


class _Faulty(OchrehoistError):
    """The text is no TOML."""


def read_in_steps(
    text: Text, takers: Mapping[Path, Taker], before: Source | None
) -> Generator[None, None, Reading]:
    """A taker adds what is kept of an element's data to the list that stands for the array at its path.

    Raises ValueError, with the line at fault.
    """
    if before is not None and before.digest == text.digest:
        all_of = {path: [range(len(kept.elements))] for path, kept in before.kept.items()}
        return Reading(
            joined(before.rest, all_of),
            before.rest,
            before.rest_digest,
            {path: kept.stretches for path, kept in before.kept.items()},
        )
    try:
        return (yield from _Parting(takers, before).read(text))
    except _Unusual:
        return Reading((yield from _aside(text.whole())))
    except _Faulty as error:
        raise ValueError(str(error)) from None


def _loads_in_steps(text: str) -> Generator[None, None, dict[str, Any]]:
    if len(text) <= SHORT:
        return _loads(text)
    return (yield from _aside(text))


def _aside(text: str) -> Generator[None, None, dict[str, Any]]:
    """By tomllib, which gives the interpreter back when asked: tomli is compiled, and holds it to its end."""
    done: list[dict[str, Any] | Exception] = []

    def read() -> None:
        try:
            done.append(tomllib.loads(text))
        except Exception as error:
            done.append(error)

    interval, thread = sys.getswitchinterval(), threading.Thread(target=read, daemon=True)
    try:
        sys.setswitchinterval(SWITCH)
        thread.start()
        while thread.is_alive():
            thread.join(SWITCH)
            yield
    finally:
        sys.setswitchinterval(interval)
    if isinstance(done[0], RecursionError):
        raise ValueError("nested too deeply")
    if isinstance(done[0], Exception):
        raise done[0]
    return done[0]


def _loads(text: str) -> dict[str, Any]:
    try:
        return tomli.loads(text)
    except RecursionError:
        raise ValueError("nested too deeply") from None


class _Parting:
    """One text, parted: elements go into stretches, all other lines into the rest."""

    def __init__(self, takers: Mapping[Path, Taker], before: Source | None) -> None:
        self.takers, self.before = takers, before
        self.known: dict[Path, Stretches] = {
            path: before.kept[path].stretches if before is not None and path in before.kept else {}
            for path in takers
        }
        self.headers: dict[str, Path | None] = {}  # path by line; None: of no usual form
        self.path = _TABLE  # of what the line in hand belongs to
        self.rest: list[tuple[str, int]] = []  # text and its first line
        self.run: set[Path] = set()  # arrays that stand in the rest since its last own line
        self.runs: dict[Path, int] = {}
        self.arrays: dict[Path, list[Any]] = {}  # a range stands for elements of before
        self.lines: dict[Path, array] = {}
        self.stretches: dict[Path, Stretches] = {}
        self.stretch: list[str] = []  # elements not yet read, all of `self.path`
        self.length = self.first = 0
        self.due = False  # for others to get a turn

    def read(self, text: Text) -> Generator[None, None, Reading]:
        try:
            yield from self._part(text)
        except _Faulty:
            yield from self._rest()  # what is wrong before goes first
            raise
        data, digest = yield from self._rest()
        others = {path: elements for path, elements in self.arrays.items() if path not in self.takers}
        arrays = {path: elements for path, elements in self.arrays.items() if path in self.takers}
        rest = joined(data, others)
        stretches = {path: self.stretches[path] for path in arrays}
        return Reading(joined(rest, arrays), rest, digest, stretches, self.lines)

    def _part(self, text: Text) -> Generator[None, None, None]:
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
        self._close("")
        yield

    def _take(self, buffer: str, line: int, last: bool) -> Generator[None, None, int]:
        """How much of the buffer was taken: up to the last header, or line, that may yet go on."""
        at = 0
        for match in _LINE.finditer(buffer):
            if match.end() == len(buffer) and not last:
                break  # the line may go on
            start = match.start()
            if not start and self.path:
                continue  # the element in hand
            header = match.group()
            path = self._header(header)
            if path is None:
                if self.path:
                    raise _Unusual
                continue  # of the rest, whatever it is
            if self.path:
                line = self._element(buffer[at:start], line, header)
                if self.due:
                    self.due = False
                    yield
            elif start > at:
                line = self._own(buffer[at:start], line)
            at, self.path = start, path
        end = len(buffer) if last else at if self.path else max(at, buffer.rfind("\n"))
        if end > at:
            if self.path:
                self._element(buffer[at:end], line, "")
            else:
                self._own(buffer[at:end], line)
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

    def _own(self, text: str, line: int) -> int:
        """Lines of the rest. The number of lines before what follows."""
        self.rest.append((text, line + 1))
        self.run.clear()
        return line + text.count("\n")

    def _element(self, text: str, line: int, follows: str) -> int:
        """An element, and the header that follows. The number of lines before that."""
        path = self.path
        if path not in self.run:
            self._begin_run(path, text, line)
        stretch = self.stretch
        if stretch and (
            len(stretch) == ELEMENTS or self.length + len(text) > STRETCH or not crc32(text.encode()) % BORDER
        ):
            self._close(text)
            stretch = self.stretch
        if not stretch:
            self.first = line + 1
        stretch.append(text)
        self.lines[path].append(line + 1)
        self.length += len(text)
        if follows and self._header(follows) != path:
            self._close(follows)
        return line + text.count("\n")

    def _begin_run(self, path: Path, text: str, line: int) -> None:
        self.run.add(path)
        self.runs[path] = self.runs.get(path, 0) + 1
        end = text.find("\n", 1)
        self.rest.append((text if end < 0 else text[:end], line + 1))
        if path not in self.arrays:
            self.arrays[path], self.lines[path], self.stretches[path] = [], array("L"), {}

    def _close(self, follows: str) -> None:
        """The stretch is read, unless it is known from before."""
        if not self.stretch:
            return
        text, path, elements = "".join(self.stretch), self.path, self.arrays[self.path]
        number, self.stretch, self.length = len(self.stretch), [], 0
        take = self.takers.get(path)
        if take is None:
            elements += self._parse(text, follows)
            return
        digest = blake2b(text.encode(), digest_size=16).digest()
        end = len(self.lines[path])
        self.stretches[path][digest] = range(end - number, end)
        known = self.known[path].get(digest)
        if known is None:
            for data in self._parse(text, follows):
                take(data, elements)
            return
        if elements and type(elements[-1]) is range and elements[-1].stop == known.start:
            known = range(elements.pop().start, known.stop)
        elements.append(known)

    def _parse(self, text: str, follows: str) -> list[Any]:
        try:
            data: Any = _loads(text)
        except ValueError as error:
            raise _faulty(self._exact(error, text, follows), self.first - 2) from None
        for key in self.path:
            data = data[key]
        self.due = True
        return data

    @staticmethod
    def _exact(error: ValueError, text: str, follows: str) -> ValueError:
        """How far what was left open goes is told by the line that follows."""
        try:
            _loads(text + "\n".join(follows.split("\n")[:2]))
        except ValueError as exact:
            return exact
        return error

    def _rest(self) -> Generator[None, None, tuple[Mapping[str, Any], bytes]]:
        """The rest, with an empty element for each run of them, and the digest of its text."""
        text = "".join(piece for piece, _ in self.rest)
        if len(text) > MOST_REST:
            raise _Unusual
        digest = blake2b(text.encode(), digest_size=16).digest()
        if self.before is not None and self.before.rest_digest == digest:
            return self.before.rest, digest
        try:
            data = yield from _loads_in_steps(text)
        except ValueError as error:
            line = _place(error)[1]
            self._unmixed((yield from _good_part(text, line)), part=True)
            raise _faulty(error, self._offset(line)) from None
        self._unmixed(data)
        return data, digest

    def _unmixed(self, data: Any, part: bool = False) -> None:
        """Nothing in the rest goes on within an element. `part`: `data` is of the beginning only."""
        for path, runs in self.runs.items():
            table = data
            for key in path:
                table = table.get(key) if isinstance(table, dict) else None
            if part and (table is None or isinstance(table, list) and not any(table)):
                continue
            if table != [{}] * runs:
                raise _Unusual

    def _offset(self, line: int) -> int:
        """What a line of the rest has less than that of the file."""
        starts, lines = [], 0
        for piece, _ in self.rest:
            starts.append(lines + 2)  # a piece begins with the newline before its first line
            lines += piece.count("\n")
        at = max(0, bisect_right(starts, line) - 1)
        return self.rest[at][1] - starts[at]


def _good_part(text: str, line: int) -> Generator[None, None, dict[str, Any]]:
    """What can be read of the text before the line at fault, which is 0 if it is the end."""
    ends = [match.end() for match in _LINE.finditer(text)]
    end = len("\n".join(text.split("\n")[: line - 1])) if line else len(text)
    for at in [end, *(header for header in reversed(ends) if header < end)][:TRIES]:
        try:
            return (yield from _loads_in_steps(text[:at]))
        except ValueError:
            continue
    raise _Unusual


def _place(error: ValueError) -> tuple[str, int, int]:
    """What it says, the line, and the column; a line of 0 stands for the end, or for no place."""
    found = _PLACE.fullmatch(str(error))
    return (found[1], int(found[2]), int(found[3])) if found else (str(error), 0, 0)


def _faulty(error: ValueError, offset: int) -> _Faulty:
    message, line, column = _place(error)
    return _Faulty(f"{message} (at line {line + offset}, column {column})" if line else message)
