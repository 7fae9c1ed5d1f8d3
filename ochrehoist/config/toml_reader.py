"""Reads large TOML files in steps, and parses only the chunks of elements that changed.

The headers of elements in arrays of tables split the text. Consecutive elements form a chunk. Chunk
boundaries depend only on the content of elements, so inserting or removing an element does not move other
boundaries. Each chunk is parsed as a separate document, and is identified at a reload by the digest of its
text. All other lines form the remainder, a document in which an empty element replaces each run of elements,
so that the parser can check the lines that follow a run. A text whose form does not allow this is parsed as
a whole in a thread.
"""

import re
from array import array
from bisect import bisect_right
from collections.abc import Generator, Iterator, Mapping
from hashlib import blake2b
from typing import Any
from zlib import crc32

from ochrehoist.config.json_reader import ArrayPath, ElementHandler
from ochrehoist.config.source import ChunkPositions, ConfigSource, FileText, ParsedFile, with_arrays
from ochrehoist.config.toml_parser import TomlErrorDetails, parse, parse_in_steps, parse_in_thread
from ochrehoist.errors import OchrehoistError

MAX_CHUNK_ELEMENTS = 64
MAX_CHUNK_CHARS = 4096  # a single longer element is a chunk of its own
BOUNDARY_MODULUS = 24  # one element in 24 begins a chunk: this divides the checksum of its text
MAX_PREFIX_ATTEMPTS = 32  # prefixes tried until one before the error is valid
MAX_REMAINDER_CHARS = 262144
MAX_ELEMENT_CHARS = 65536  # also the limit of a single line
MAX_CACHED_HEADERS = 256
DIGEST_BYTES = 16

_HEADER_LINE = re.compile(r"\n[ \t]*\[[^\n]*")  # matches header candidates
_KEY = r"[A-Za-z_][A-Za-z0-9_-]*"
_SIMPLE_HEADER = re.compile(
    rf"\n[ \t]*(?:\[({_KEY}(?:\.{_KEY})*)\]|\[\[({_KEY}(?:\.{_KEY})*)\]\])[ \t]*(?:#.*)?"
)
_VALUE_KEYWORDS = {"true", "false", "inf", "nan"}  # [true] may be a line of an array
_NO_ARRAY: ArrayPath = ()  # the path of lines that belong to no array of tables


class UnsplittableTextError(OchrehoistError):
    """The text cannot be split into chunks, though it may be valid TOML."""


class TomlSyntaxError(OchrehoistError, ValueError):
    """The text is not valid TOML; the message names the line of the file."""


def read_in_steps(
    text: FileText, element_handlers: Mapping[ArrayPath, ElementHandler], current: ConfigSource | None
) -> Generator[None, None, ParsedFile]:
    """Parses a file, reusing unchanged elements of `current`, the source of the active configuration.

    The elements of an array are passed to the handler for its path, which appends them to the list that
    replaces the array in the result. Raises ValueError, which names the line of the error.
    """
    if current is not None and current.digest == text.digest:
        return _unchanged_file(current)
    try:
        return (yield from _Splitter(element_handlers, current).read(text))
    except UnsplittableTextError:
        return ParsedFile((yield from parse_in_thread(text.joined())))


def _unchanged_file(current: ConfigSource) -> ParsedFile:
    arrays: dict[ArrayPath, list[Any]] = {
        path: [range(len(cached.elements))] for path, cached in current.arrays.items()
    }
    return ParsedFile(
        with_arrays(current.remainder, arrays),
        current.remainder,
        current.remainder_digest,
        {path: cached.chunks for path, cached in current.arrays.items()},
    )


def _digest(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


class _Splitter:
    """Splitter of one text into chunks of elements and the remainder of all other lines."""

    def __init__(
        self, element_handlers: Mapping[ArrayPath, ElementHandler], current: ConfigSource | None
    ) -> None:
        self._element_handlers = element_handlers
        self._current = current
        self._active_chunks: dict[ArrayPath, ChunkPositions] = {
            path: current.arrays[path].chunks if current is not None and path in current.arrays else {}
            for path in element_handlers
        }
        self._header_cache: dict[str, ArrayPath | None] = {}
        self._remainder = _Remainder()
        # A range in an array stands for elements of the active configuration.
        self._arrays: dict[ArrayPath, list[Any]] = {}
        self._lines: dict[ArrayPath, array[int]] = {}
        self._chunks: dict[ArrayPath, ChunkPositions] = {}
        self._array_path = _NO_ARRAY  # array that the current line belongs to
        self._chunk: list[str] = []  # elements of `_array_path` that are not yet parsed
        self._chunk_chars = 0
        self._chunk_line = 0
        self._parsed_since_yield = False

    def read(self, text: FileText) -> Generator[None, None, ParsedFile]:
        """Parses the whole text. Raises UnsplittableTextError and TomlSyntaxError."""
        try:
            yield from self._split(text)
        except TomlSyntaxError:
            # If the remainder has an error in an earlier line, it is raised instead of this one.
            yield from self._remainder.parse_data_in_steps(self._current)
            raise
        data, digest = yield from self._remainder.parse_data_in_steps(self._current)
        unhandled = {
            path: elements for path, elements in self._arrays.items() if path not in self._element_handlers
        }
        handled = {
            path: elements for path, elements in self._arrays.items() if path in self._element_handlers
        }
        remainder = with_arrays(data, unhandled)
        chunks = {path: self._chunks[path] for path in handled}
        return ParsedFile(with_arrays(remainder, handled), remainder, digest, chunks, self._lines)

    def _split(self, text: FileText) -> Generator[None, None, None]:
        buffer = "\n"  # always begins with a newline
        line = 0  # number of lines before the buffer
        for part in text.parts:
            buffer += part
            if '"""' in buffer or "'''" in buffer:
                raise UnsplittableTextError  # an apparent header may be part of a multi-line string
            consumed = yield from self._consume(buffer, line, last=False)
            line += buffer.count("\n", 0, consumed)
            buffer = buffer[consumed:]
            if len(buffer) > MAX_ELEMENT_CHARS:
                raise UnsplittableTextError
            yield
        yield from self._consume(buffer, line, last=True)
        self._finish_chunk("")
        yield

    def _consume(self, buffer: str, line: int, *, last: bool) -> Generator[None, None, int]:
        """Processes all complete elements and lines. Returns the number of consumed characters."""
        consumed = 0
        for start, header, path in self._headers(buffer, last=last):
            if self._array_path:
                line = self._add_element(buffer[consumed:start], line, header)
                if self._parsed_since_yield:
                    self._parsed_since_yield = False
                    yield
            elif start > consumed:
                line = self._remainder.add(buffer[consumed:start], line)
            consumed, self._array_path = start, path
        end = self._consumable_end(buffer, consumed, last=last)
        if end > consumed:
            if self._array_path:
                self._add_element(buffer[consumed:end], line, "")
            else:
                self._remainder.add(buffer[consumed:end], line)
        return end

    def _headers(self, buffer: str, *, last: bool) -> Iterator[tuple[int, str, ArrayPath]]:
        """Yields start, line and path of each header in the buffer except that of the current element.

        Raises UnsplittableTextError.
        """
        for match in _HEADER_LINE.finditer(buffer):
            if match.end() == len(buffer) and not last:
                return  # the line may be incomplete
            start, header = match.start(), match.group()
            if start == 0 and self._array_path:
                continue
            path = self._header_path(header)
            if path is not None:
                yield start, header, path
            elif self._array_path:
                raise UnsplittableTextError

    def _consumable_end(self, buffer: str, consumed: int, *, last: bool) -> int:
        if last:
            return len(buffer)
        if self._array_path:
            return consumed
        return max(consumed, buffer.rfind("\n"))

    def _header_path(self, header: str) -> ArrayPath | None:
        """Returns the array whose element begins here, _NO_ARRAY for a table, None if it is uncertain."""
        try:
            return self._header_cache[header]
        except KeyError:
            path = _parse_header(header)
        if len(self._header_cache) < MAX_CACHED_HEADERS:
            self._header_cache[header] = path
        return path

    def _add_element(self, text: str, line: int, next_header: str) -> int:
        """Adds an element of the array at `_array_path`. Returns the line number of its end."""
        path = self._array_path
        if path not in self._remainder.open_runs:
            self._begin_run(path, text, line)
        chunk = self._chunk
        # Kept inline for speed: this runs for each element at each reload.
        if chunk and (
            len(chunk) == MAX_CHUNK_ELEMENTS
            or self._chunk_chars + len(text) > MAX_CHUNK_CHARS
            or not crc32(text.encode()) % BOUNDARY_MODULUS
        ):
            self._finish_chunk(text)
            chunk = self._chunk
        if not chunk:
            self._chunk_line = line + 1
        chunk.append(text)
        self._chunk_chars += len(text)
        self._lines[path].append(line + 1)
        if next_header and self._header_path(next_header) != path:
            self._finish_chunk(next_header)
        return line + text.count("\n")

    def _begin_run(self, path: ArrayPath, element: str, line: int) -> None:
        self._remainder.begin_run(path, element, line)
        if path not in self._arrays:
            self._arrays[path] = []
            self._lines[path] = array("L")
            self._chunks[path] = {}

    def _finish_chunk(self, next_text: str) -> None:
        """Parses the chunk unless it is unchanged; `next_text` is the text that follows it."""
        if not self._chunk:
            return
        path = self._array_path
        text = "".join(self._chunk)
        size = len(self._chunk)
        self._chunk = []
        self._chunk_chars = 0
        elements = self._arrays[path]
        handle_element = self._element_handlers.get(path)
        if handle_element is None:
            elements += self._parse_chunk(text, next_text)
            return
        digest = _digest(text)
        end = len(self._lines[path])
        self._chunks[path][digest] = range(end - size, end)
        active_positions = self._active_chunks[path].get(digest)
        if active_positions is None:
            for data in self._parse_chunk(text, next_text):
                handle_element(data, elements)
            return
        if elements and type(elements[-1]) is range and elements[-1].stop == active_positions.start:
            active_positions = range(elements.pop().start, active_positions.stop)
        elements.append(active_positions)

    def _parse_chunk(self, text: str, next_text: str) -> list[Any]:
        try:
            data: Any = parse(text)
        except ValueError as error:
            details = TomlErrorDetails.from_error(_error_in_context(error, text, next_text))
            raise TomlSyntaxError(details.shifted_message(self._chunk_line - 2)) from None
        for key in self._array_path:
            data = data[key]
        self._parsed_since_yield = True
        elements: list[Any] = data
        return elements


class _Remainder:
    """The document of all lines outside of chunks, with an empty element for each run of elements."""

    def __init__(self) -> None:
        # Each piece is text that begins with the newline before its first line, with that line's number.
        self._pieces: list[tuple[str, int]] = []
        self.open_runs: set[ArrayPath] = set()  # arrays whose run began after the last other line
        self._run_counts: dict[ArrayPath, int] = {}

    def add(self, text: str, line: int) -> int:
        """Adds the lines after line number `line` of the file. Returns the number of their last line."""
        self._pieces.append((text, line + 1))
        self.open_runs.clear()
        return line + text.count("\n")

    def begin_run(self, path: ArrayPath, element: str, line: int) -> None:
        """Adds the header of the first element of a run."""
        self.open_runs.add(path)
        self._run_counts[path] = self._run_counts.get(path, 0) + 1
        end = element.find("\n", 1)
        self._pieces.append((element if end < 0 else element[:end], line + 1))

    def parse_data_in_steps(
        self, current: ConfigSource | None
    ) -> Generator[None, None, tuple[Mapping[str, Any], bytes]]:
        """Parses the remainder and returns its data and digest.

        Raises UnsplittableTextError and TomlSyntaxError.
        """
        text = "".join(piece for piece, _ in self._pieces)
        if len(text) > MAX_REMAINDER_CHARS:
            raise UnsplittableTextError
        digest = _digest(text)
        if current is not None and current.remainder_digest == digest:
            return current.remainder, digest
        try:
            data = yield from parse_in_steps(text)
        except ValueError as error:
            details = TomlErrorDetails.from_error(error)
            self._require_empty_elements((yield from _parse_prefix(text, details.line)), partial=True)
            raise TomlSyntaxError(details.shifted_message(self._line_offset(details.line))) from None
        self._require_empty_elements(data)
        return data, digest

    def _require_empty_elements(self, data: Any, *, partial: bool = False) -> None:
        """Raises UnsplittableTextError if lines of the remainder belong to an element of a chunk.

        With `partial`, `data` represents only the beginning of the text.
        """
        for path, count in self._run_counts.items():
            table = data
            for key in path:
                table = table.get(key) if isinstance(table, dict) else None
            if partial and (table is None or (isinstance(table, list) and not any(table))):
                continue
            if table != [{}] * count:
                raise UnsplittableTextError

    def _line_offset(self, line: int) -> int:
        """Returns the offset that converts a line number of the remainder to one of the file."""
        starts: list[int] = []
        lines = 0
        for piece, _ in self._pieces:
            starts.append(lines + 2)
            lines += piece.count("\n")
        index = max(0, bisect_right(starts, line) - 1)
        return self._pieces[index][1] - starts[index]


def _parse_header(header: str) -> ArrayPath | None:
    match = _SIMPLE_HEADER.fullmatch(header)
    if match is None:
        return None
    table, array_of_tables = match.groups()
    keys = tuple((table or array_of_tables).split("."))
    if keys[0] in _VALUE_KEYWORDS:
        return None
    return keys if array_of_tables else _NO_ARRAY


def _error_in_context(error: ValueError, text: str, next_text: str) -> ValueError:
    """Returns the error that the parser reports if the next line follows the chunk.

    The position of the error in an unterminated value depends on the line after it.
    """
    try:
        parse(text + "\n".join(next_text.split("\n")[:2]))
    except ValueError as error_in_context:
        return error_in_context
    return error


def _parse_prefix(text: str, line: int) -> Generator[None, None, dict[str, Any]]:
    """Parses a prefix of the text before the line of the error; line 0 stands for the end of the text.

    Raises UnsplittableTextError if no tried prefix is valid.
    """
    end = len("\n".join(text.split("\n")[: line - 1])) if line else len(text)
    headers = [match.end() for match in _HEADER_LINE.finditer(text)]
    candidates = [end, *(header for header in reversed(headers) if header < end)]
    for candidate in candidates[:MAX_PREFIX_ATTEMPTS]:
        try:
            return (yield from parse_in_steps(text[:candidate]))
        except ValueError:
            continue
    raise UnsplittableTextError
