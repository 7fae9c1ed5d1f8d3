"""Reads the text of a configuration file in steps, and stores what detects unchanged parts at a reload."""

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

READ_BYTES = 16384  # read in one step
MAX_READ_ATTEMPTS = 5  # a file that changes during reading is read again

# Positions of elements by the digest of the chunk of text that defines them. The garbage collector does not
# track ranges and digests, so a large number of them does not slow it down.
ChunkPositions = dict[bytes, range]


class FileChangingError(OchrehoistError, ValueError):
    """The file changed during each attempt to read it."""

    def __init__(self) -> None:
        super().__init__("changes while it is read")


class FileEncodingError(OchrehoistError, ValueError):
    """The file is not valid UTF-8; the text names the line."""


@dataclass(slots=True, frozen=True)
class CachedArray:
    """Elements of one array, and their positions by chunk of its text."""

    elements: Sequence[Any]
    chunks: ChunkPositions = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ConfigSource:
    """The origin of a Config, by which a reload detects unchanged parts. The text itself is not stored."""

    digest: bytes
    remainder: Mapping[str, Any]  # all data outside of `arrays`
    remainder_digest: bytes  # digest of the remainder's text; empty for JSON
    arrays: Mapping[ArrayPath, CachedArray]


@dataclass(slots=True)
class ParsedFile:
    """The parsed data of a file. A range in an array stands for elements of the active configuration."""

    data: dict[str, Any]
    remainder: Mapping[str, Any] | None = None  # data outside of large arrays; None after a parse as a whole
    remainder_digest: bytes = b""
    chunks: Mapping[ArrayPath, ChunkPositions] = field(default_factory=dict)
    lines: Mapping[ArrayPath, Sequence[int]] = field(default_factory=dict)  # line number of each element

    def source(self, digest: bytes, elements: Mapping[ArrayPath, Sequence[Any]]) -> ConfigSource | None:
        """Returns the source for the next reload, or None if the file was parsed as a whole.

        `elements` contains the arrays of the final configuration.
        """
        if self.remainder is None:
            return None
        arrays = {path: CachedArray(elements[path], chunks) for path, chunks in self.chunks.items()}
        return ConfigSource(digest, self.remainder, self.remainder_digest, arrays)


class FileText:
    """The text of a file in parts, with newlines converted to line feeds, and the digest of its bytes."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.digest = b""
        self.size_bytes = 0

    def joined(self) -> str:
        """Returns the whole text."""
        return "".join(self.parts)


def with_arrays(remainder: Mapping[str, Any], arrays: Mapping[ArrayPath, list[Any]]) -> dict[str, Any]:
    """Returns a copy of `remainder` with the arrays inserted at their paths."""
    data = dict(remainder)
    for path, elements in arrays.items():
        table = data
        for key in path[:-1]:
            table[key] = dict(table[key])
            table = table[key]
        table[path[-1]] = elements
    return data


def read_text_in_steps(path: str) -> Generator[None, None, FileText]:
    """Reads a consistent version of the file; reading restarts if the file changes or is replaced meanwhile.

    Raises OSError, FileEncodingError, and FileChangingError after MAX_READ_ATTEMPTS attempts.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        with Path(path).open("rb", buffering=0) as file:
            before = os.fstat(file.fileno())
            regular = stat.S_ISREG(before.st_mode)
            text = yield from _decode_in_steps(file, before.st_size if regular else None)
            after = os.fstat(file.fileno())
        if not regular or _file_identity(before) == _file_identity(after) == _file_identity(
            Path(path).stat()
        ):
            if isinstance(text, FileEncodingError):  # not before: a write in progress may cause it
                raise text
            return text
    raise FileChangingError


def _file_identity(status: os.stat_result) -> tuple[int, ...]:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def _decode_in_steps(
    file: io.FileIO, max_bytes: int | None
) -> Generator[None, None, FileText | FileEncodingError]:
    """Returns the decoded text, or the encoding error. Reading stops if the file grows beyond `max_bytes`."""
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
            return _encoding_error(error, line)
        line += part.count("\n")
        text.parts.append(part)
        text.size_bytes += len(data)
        if not data or (max_bytes is not None and text.size_bytes > max_bytes):
            text.digest = digest.digest()
            return text
        if text.size_bytes > MAX_SINGLE_STEP_CHARS:
            yield


def _encoding_error(error: UnicodeDecodeError, line: int) -> FileEncodingError:
    line += error.object[: error.start].decode().count("\n")
    return FileEncodingError(f"not UTF-8: {error.reason} (at line {line})")
