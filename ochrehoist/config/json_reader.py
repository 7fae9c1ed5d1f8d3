"""JSON read in steps: what stands in a large array is read element by element. Equal to json.loads()."""

import json
import re
from collections.abc import Callable, Generator, Mapping
from json import JSONDecodeError
from typing import Any

WHOLE = 32768  # characters of a text that one step may read
TAKEN = 8192  # of a larger one, in one step
DEPTH = 2  # objects in objects whose members are read one by one

Path = tuple[str, ...]  # of an array: its keys from the top
Taker = Callable[[Any, list[Any]], None]

_SPACE = re.compile(r"[ \t\n\r]*")
_read = json.JSONDecoder().raw_decode


def read_in_steps(text: str, takers: Mapping[Path, Taker]) -> Generator[None, None, Any]:
    """A taker adds what is kept of an element's data to the list that stands for the array at its path.

    A short text is read by json alone. Raises ValueError as json.loads(), and for what is nested too deeply.
    """
    try:
        if len(text) <= WHOLE or text.startswith("\ufeff"):
            return json.loads(text)
        value, at = yield from _Walk(text, takers).value(_after_space(text, 0), ())
    except RecursionError:
        raise ValueError("nested too deeply") from None
    at = _after_space(text, at)
    if at != len(text):
        raise JSONDecodeError("Extra data", text, at)
    return value


def _after_space(text: str, at: int) -> int:
    return _SPACE.match(text, at).end()


class _Walk:
    def __init__(self, text: str, takers: Mapping[Path, Taker]) -> None:
        self.text, self.takers, self.told = text, takers, 0

    def value(self, at: int, path: Path) -> Generator[None, None, tuple[Any, int]]:
        first = self.text[at : at + 1]
        if first == "{" and len(path) < DEPTH:
            return (yield from self._object(at + 1, path))
        if first == "[" and path:
            return (yield from self._array(at + 1, path))
        return _read(self.text, at)

    def _turn(self, at: int) -> bool:
        """Whether enough was read for one step."""
        if at - self.told < TAKEN:
            return False
        self.told = at
        return True

    def _object(self, at: int, path: Path) -> Generator[None, None, tuple[dict[str, Any], int]]:
        out: dict[str, Any] = {}
        at = _after_space(self.text, at)
        if self.text[at : at + 1] == "}":
            return out, at + 1
        while True:
            if self.text[at : at + 1] != '"':
                raise JSONDecodeError("Expecting property name enclosed in double quotes", self.text, at)
            key, at = _read(self.text, at)
            at = _after_space(self.text, at)
            if self.text[at : at + 1] != ":":
                raise JSONDecodeError("Expecting ':' delimiter", self.text, at)
            out[key], at = yield from self.value(_after_space(self.text, at + 1), (*path, key))
            at = _after_space(self.text, at)
            if self.text[at : at + 1] == "}":
                return out, at + 1
            if self.text[at : at + 1] != ",":
                raise JSONDecodeError("Expecting ',' delimiter", self.text, at)
            at = _after_space(self.text, at + 1)
            if self._turn(at):
                yield

    def _array(self, at: int, path: Path) -> Generator[None, None, tuple[list[Any], int]]:
        out: list[Any] = []
        text, take, after_space = self.text, self.takers.get(path), _after_space
        at = after_space(text, at)
        if text[at : at + 1] == "]":
            return out, at + 1
        while True:
            value, at = _read(text, at)
            if take is None:
                out.append(value)
            else:
                take(value, out)
            at = after_space(text, at)
            mark = text[at : at + 1]
            if mark == "]":
                return out, at + 1
            if mark != ",":
                raise JSONDecodeError("Expecting ',' delimiter", text, at)
            at = after_space(text, at + 1)
            if self._turn(at):
                yield
