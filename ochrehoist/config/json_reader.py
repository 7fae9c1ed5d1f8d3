"""Parses JSON in short steps: large arrays element by element. The result equals that of json.loads()."""

import json
import re
from collections.abc import Callable, Generator, Mapping
from json import JSONDecodeError
from typing import Any

from ochrehoist.errors import OchrehoistError

MAX_SINGLE_STEP_CHARS = 32768  # longer texts are parsed in several steps
CHARS_PER_STEP = 8192
MAX_STEPPED_DEPTH = 2  # objects nested deeper than this are parsed in a single step

ArrayPath = tuple[str, ...]  # keys that lead from the root to an array
ElementHandler = Callable[[Any, list[Any]], None]

# Error messages of the standard json module.
EXTRA_DATA = "Extra data"
KEY_EXPECTED = "Expecting property name enclosed in double quotes"
COLON_EXPECTED = "Expecting ':' delimiter"
COMMA_EXPECTED = "Expecting ',' delimiter"

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_decode_value = json.JSONDecoder().raw_decode


class NestingError(OchrehoistError, ValueError):
    """The values of a text are nested too deeply for the parser."""

    def __init__(self) -> None:
        super().__init__("nested too deeply")


def read_in_steps(
    text: str, element_handlers: Mapping[ArrayPath, ElementHandler]
) -> Generator[None, None, Any]:
    """Parses `text`, and passes the elements of an array to the handler for its path, if there is one.

    A handler appends an element to the list that replaces the array in the result. A short text is parsed in
    a single step, without handlers. Raises ValueError as json.loads() does, and NestingError if the values
    are nested too deeply.
    """
    try:
        if len(text) <= MAX_SINGLE_STEP_CHARS or text.startswith("\ufeff"):
            return json.loads(text)
        value, end = yield from _SteppedDecoder(text, element_handlers).value(_skip_whitespace(text, 0), ())
    except RecursionError:
        raise NestingError from None
    end = _skip_whitespace(text, end)
    if end != len(text):
        raise JSONDecodeError(EXTRA_DATA, text, end)
    return value


def _skip_whitespace(text: str, start: int) -> int:
    match = _WHITESPACE.match(text, start)
    return start if match is None else match.end()


class _SteppedDecoder:
    """Decodes the outer objects and their arrays step by step, and all other values with json."""

    def __init__(self, text: str, element_handlers: Mapping[ArrayPath, ElementHandler]) -> None:
        self._text = text
        self._element_handlers = element_handlers
        self._last_yield = 0  # position in the text at the last yield

    def value(self, start: int, path: ArrayPath) -> Generator[None, None, tuple[Any, int]]:
        """Decodes the value that begins at `start`. Returns it with the position after its end."""
        first = self._text[start : start + 1]
        if first == "{" and len(path) < MAX_STEPPED_DEPTH:
            return (yield from self._object(start + 1, path))
        if first == "[" and path:
            return (yield from self._array(start + 1, path))
        return _decode_value(self._text, start)

    def _is_step_over(self, position: int) -> bool:
        if position - self._last_yield < CHARS_PER_STEP:
            return False
        self._last_yield = position
        return True

    def _object(self, position: int, path: ArrayPath) -> Generator[None, None, tuple[dict[str, Any], int]]:
        members: dict[str, Any] = {}
        text = self._text
        position = _skip_whitespace(text, position)
        if text[position : position + 1] == "}":
            return members, position + 1
        while True:
            key, position = self._key(position)
            members[key], position = yield from self.value(position, (*path, key))
            position = _skip_whitespace(text, position)
            if text[position : position + 1] == "}":
                return members, position + 1
            if text[position : position + 1] != ",":
                raise JSONDecodeError(COMMA_EXPECTED, text, position)
            position = _skip_whitespace(text, position + 1)
            if self._is_step_over(position):
                yield

    def _key(self, position: int) -> tuple[str, int]:
        """Decodes the key of a member. Returns it with the position where the value begins."""
        text = self._text
        if text[position : position + 1] != '"':
            raise JSONDecodeError(KEY_EXPECTED, text, position)
        key, position = _decode_value(text, position)
        position = _skip_whitespace(text, position)
        if text[position : position + 1] != ":":
            raise JSONDecodeError(COLON_EXPECTED, text, position)
        return key, _skip_whitespace(text, position + 1)

    def _array(self, position: int, path: ArrayPath) -> Generator[None, None, tuple[list[Any], int]]:
        elements: list[Any] = []
        text = self._text
        handle_element = self._element_handlers.get(path)
        position = _skip_whitespace(text, position)
        if text[position : position + 1] == "]":
            return elements, position + 1
        while True:
            value, position = _decode_value(text, position)
            if handle_element is None:
                elements.append(value)
            else:
                handle_element(value, elements)
            position = _skip_whitespace(text, position)
            delimiter = text[position : position + 1]
            if delimiter == "]":
                return elements, position + 1
            if delimiter != ",":
                raise JSONDecodeError(COMMA_EXPECTED, text, position)
            position = _skip_whitespace(text, position + 1)
            if self._is_step_over(position):
                yield
