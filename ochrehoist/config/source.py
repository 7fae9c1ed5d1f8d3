"""The text of a configuration file, read in steps, and what is kept of it to find what did not change."""

import codecs
import io
import os
import stat
from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

from ochrehoist.config.json_reader import MAX_SINGLE_STEP_CHARS, ArrayPath
from ochrehoist.errors import OchrehoistError

READ_BYTES = 16384  # in one step
MAX_READ_ATTEMPTS = 5  # at a file that changes while it is read

# Positions of elements by the digest of the chunk of text that they came from. Ranges and digests are not
# tracked by the collector, so that many of them cost it nothing.
ChunkPositions = dict[bytes, range]


class FileChangingError(OchrehoistError, ValueError):
    """A file that was written to at each attempt to read it."""

    def __init__(self) -> None:
        super().__init__("changes while it is read")


class FileEncodingError(OchrehoistError, ValueError):
    """A file that is not UTF-8; the text says where."""


@dataclass(slots=True, frozen=True)
class CachedArray:
    """The elements of one array, and which chunks of its text gave them."""

    elements: Sequence[Any]
    chunks: ChunkPositions = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ConfigSource:
    """What a Config was read from. The text itself is not kept."""

    digest: bytes
    remainder: Mapping[str, Any]  # all but the arrays in `arrays`
    remainder_digest: bytes  # of its text; empty for JSON
    arrays: Mapping[ArrayPath, CachedArray]


@dataclass(slots=True)
class ParsedFile:
    """The data of a file. A range among the elements of an array stands for elements in force."""

    data: dict[str, Any]
    remainder: Mapping[str, Any] | None = None  # without those arrays; None: the file was parsed as a whole
    remainder_digest: bytes = b""
    chunks: Mapping[ArrayPath, ChunkPositions] = field(default_factory=dict)
    lines: Mapping[ArrayPath, Sequence[int]] = field(default_factory=dict)  # first line of each element

    def source(self, digest: bytes, elements: Mapping[ArrayPath, Sequence[Any]]) -> ConfigSource | None:
        """What the next reading needs. `elements`: the arrays as they were finally taken."""
        if self.remainder is None:
            return None
        arrays = {path: CachedArray(elements[path], chunks) for path, chunks in self.chunks.items()}
        return ConfigSource(digest, self.remainder, self.remainder_digest, arrays)


class FileText:
    """A file's text in parts, with the digest of its bytes. Each newline is a single line feed."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.digest = b""
        self.size_bytes = 0

    def joined(self) -> str:
        """The whole text."""
        return "".join(self.parts)


def with_arrays(remainder: Mapping[str, Any], arrays: Mapping[ArrayPath, list[Any]]) -> dict[str, Any]:
    """A copy of `remainder` that has the arrays at their paths; `remainder` itself stays as it is."""
    data = dict(remainder)
    for path, elements in arrays.items():
        table = data
        for key in path[:-1]:
            table[key] = dict(table[key])
            table = table[key]
        table[path[-1]] = elements
    return data


def read_text_in_steps(path: str) -> Generator[None, None, FileText]:
    """The file as it was at one moment: one that changes meanwhile, or is replaced, is read anew.

    Raises OSError, and ValueError for what is not UTF-8 or keeps changing.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        with Path(path).open("rb", buffering=0) as file:
            before = os.fstat(file.fileno())
            regular = stat.S_ISREG(before.st_mode)
            text = yield from _decoded_in_steps(file, before.st_size if regular else None)
            after = os.fstat(file.fileno())
        if not regular or _identity(before) == _identity(after) == _identity(Path(path).stat()):
            if isinstance(text, FileEncodingError):  # only now: it may have been half of a change
                raise text
            return text
    raise FileChangingError


def _identity(status: os.stat_result) -> tuple[int, ...]:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def _decoded_in_steps(
    file: io.FileIO, max_bytes: int | None
) -> Generator[None, None, FileText | FileEncodingError]:
    """The text, or what is wrong with it. Of a file that grows beyond `max_bytes` no more is read."""
    text = FileText()
    digest = sha256()
    line = 1
    decoder = io.IncrementalNewlineDecoder(codecs.getincrementaldecoder("utf-8")(), translate=True)
    while True:
        data = file.read(READ_BYTES)
        digest.update(data)
        try:
            part = decoder.decode(data, final=not data)
        except UnicodeDecodeError as error:
            return _undecodable(error, line)
        line += part.count("\n")
        text.parts.append(part)
        text.size_bytes += len(data)
        if not data or (max_bytes is not None and text.size_bytes > max_bytes):
            text.digest = digest.digest()
            return text
        if text.size_bytes > MAX_SINGLE_STEP_CHARS:
            yield


def _undecodable(error: UnicodeDecodeError, line: int) -> FileEncodingError:
    line += error.object[: error.start].decode().count("\n")
    return FileEncodingError(f"not UTF-8: {error.reason} (at line {line})")
