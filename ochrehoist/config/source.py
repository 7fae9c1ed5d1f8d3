"""The text of a configuration file, taken in steps, and what is kept of it to find what did not change."""

import codecs
import io
import os
import stat
from collections.abc import Generator, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

from ochrehoist.config.json_reader import WHOLE, Path

PART = 16384  # bytes taken in one step
TRIES = 5  # at a file that changes while it is read


Stretches = dict[bytes, range]  # which elements a piece of text gave; ranges are nothing to the collector


@dataclass(slots=True, frozen=True)
class Kept:
    """The elements of one array, and what parts of its text gave them."""

    elements: Sequence[Any]
    stretches: Stretches = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Source:
    """What a Config was read from. The text itself is not kept."""

    digest: bytes
    rest: Mapping[str, Any]  # all but the arrays in `kept`
    rest_digest: bytes  # of its text; of JSON there is none
    kept: Mapping[Path, Kept]


@dataclass(slots=True)
class Reading:
    """A file read."""

    data: dict[str, Any]  # as a plain reading gives it, but a range stands for elements of before
    rest: Mapping[str, Any] | None = None  # without those arrays; None: all was read as a whole
    rest_digest: bytes = b""
    stretches: Mapping[Path, Stretches] = field(default_factory=dict)
    lines: Mapping[Path, Sequence[int]] = field(default_factory=dict)  # of the elements

    def source(self, digest: bytes, elements: Mapping[Path, Sequence[Any]]) -> Source | None:
        """What the next reading may know. `elements`: the arrays as they were taken."""
        if self.rest is None:
            return None
        return Source(
            digest,
            self.rest,
            self.rest_digest,
            {path: Kept(elements[path], stretches) for path, stretches in self.stretches.items()},
        )


class Text:
    """A file's text in parts, its newlines all as \\n, with the digest of its bytes."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.digest = b""
        self.size = 0

    def whole(self) -> str:
        return "".join(self.parts)


def joined(rest: Mapping[str, Any], arrays: Mapping[Path, list[Any]]) -> dict[str, Any]:
    """`rest` with the arrays in their places; itself it stays as it is."""
    out = dict(rest)
    for path, elements in arrays.items():
        table = out
        for key in path[:-1]:
            table[key] = dict(table[key])
            table = table[key]
        table[path[-1]] = elements
    return out


def _mark(at: os.stat_result) -> tuple[int, ...]:
    return at.st_dev, at.st_ino, at.st_size, at.st_mtime_ns, at.st_ctime_ns


def text_in_steps(path: str) -> Generator[None, None, Text]:
    """The file as it was at one moment: one that changes meanwhile, or is replaced, is read anew.

    Raises OSError, and ValueError for what is no UTF-8 or never comes to rest.
    """
    for _ in range(TRIES):
        with open(path, "rb", buffering=0) as file:
            before = os.fstat(file.fileno())
            regular = stat.S_ISREG(before.st_mode)
            text = yield from _parts(file, before.st_size if regular else None)
            after = os.fstat(file.fileno())
        if not regular or _mark(before) == _mark(after) == _mark(os.stat(path)):
            if isinstance(text, ValueError):  # only now: it may have been half of a change
                raise text
            return text
    raise ValueError("changes while it is read")


def _parts(file: io.FileIO, size: int | None) -> Generator[None, None, Text | ValueError]:
    """Of one that grows beyond its size no more is read."""
    text, digest, lines = Text(), sha256(), 1
    decoder = io.IncrementalNewlineDecoder(codecs.getincrementaldecoder("utf-8")(), translate=True)
    while True:
        data = file.read(PART)
        digest.update(data)
        try:
            part = decoder.decode(data, final=not data)
        except UnicodeDecodeError as error:
            good = error.object[: error.start].decode()
            return ValueError(f"not UTF-8: {error.reason} (at line {lines + good.count(chr(10))})")
        lines += part.count("\n")
        text.parts.append(part)
        text.size += len(data)
        if not data or size is not None and text.size > size:
            text.digest = digest.digest()
            return text
        if text.size > WHOLE:
            yield
