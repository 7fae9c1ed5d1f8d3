"""TOML documents parsed by tomli, or in a thread by tomllib, and the position that a syntax error names.

Both parsers are the same code; tomli is compiled. It holds the interpreter until it is done, so it is for
short documents only.
"""

import re
import sys
import threading
import tomllib
from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import tomli

from ochrehoist.config.json_reader import NestingError

MAX_SINGLE_STEP_CHARS = 8192
SWITCH_INTERVAL_S = 0.0005  # for which the thread holds the interpreter while others want it

_POSITION = re.compile(r"(.*) \(at line (\d+), column (\d+)\)", re.DOTALL)


@dataclass(slots=True, frozen=True)
class SyntaxFault:
    """What a parser says, and where. A line of 0 stands for the end, or for no position."""

    message: str
    line: int = 0
    column: int = 0

    @classmethod
    def of(cls, error: ValueError) -> "SyntaxFault":
        """The fault that a parser's error tells of."""
        found = _POSITION.fullmatch(str(error))
        return cls(found[1], int(found[2]), int(found[3])) if found else cls(str(error))

    def text(self, line_offset: int) -> str:
        """The message, its line moved by `line_offset`."""
        if not self.line:
            return self.message
        return f"{self.message} (at line {self.line + line_offset}, column {self.column})"


def parse(text: str) -> dict[str, Any]:
    """A short document, by tomli. Raises ValueError."""
    try:
        data: dict[str, Any] = tomli.loads(text)
    except RecursionError:
        raise NestingError from None
    return data


def parse_in_steps(text: str) -> Generator[None, None, dict[str, Any]]:
    """A document of any length. Raises ValueError."""
    if len(text) <= MAX_SINGLE_STEP_CHARS:
        return parse(text)
    return (yield from parse_in_thread(text))


def parse_in_thread(text: str) -> Generator[None, None, dict[str, Any]]:
    """A document, by tomllib in a thread, which gives the interpreter back when asked. Raises ValueError."""
    outcome: list[dict[str, Any] | Exception] = []

    def run() -> None:
        try:
            outcome.append(tomllib.loads(text))
        except Exception as error:
            outcome.append(error)

    interval = sys.getswitchinterval()
    thread = threading.Thread(target=run, daemon=True)
    try:
        sys.setswitchinterval(SWITCH_INTERVAL_S)
        thread.start()
        while thread.is_alive():
            thread.join(SWITCH_INTERVAL_S)
            yield
    finally:
        sys.setswitchinterval(interval)
    result = outcome[0]
    if isinstance(result, RecursionError):
        raise NestingError
    if isinstance(result, Exception):
        raise result
    return result
