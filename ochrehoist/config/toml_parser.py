"""Parses TOML with tomli, or with tomllib in a thread, and locates syntax errors.

Both parsers have the same code, but tomli is compiled. It holds the interpreter lock until it is done, so it
parses only short documents.
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
SWITCH_INTERVAL_S = 0.0005  # longest time that the parser thread keeps the interpreter lock on request

_POSITION = re.compile(r"(.*) \(at line (\d+), column (\d+)\)", re.DOTALL)


@dataclass(slots=True, frozen=True)
class TomlErrorDetails:
    """Message and position of a syntax error. Line 0 means the end of the text or an unknown position."""

    message: str
    line: int = 0
    column: int = 0

    @classmethod
    def from_error(cls, error: ValueError) -> "TomlErrorDetails":
        """Returns the details of a parser's error."""
        match = _POSITION.fullmatch(str(error))
        return cls(match[1], int(match[2]), int(match[3])) if match else cls(str(error))

    def shifted_message(self, line_offset: int) -> str:
        """Returns the message with its position, the line number increased by `line_offset`."""
        if not self.line:
            return self.message
        return f"{self.message} (at line {self.line + line_offset}, column {self.column})"


def parse(text: str) -> dict[str, Any]:
    """Parses a short document with tomli. Raises ValueError."""
    try:
        data: dict[str, Any] = tomli.loads(text)
    except RecursionError:
        raise NestingError from None
    return data


def parse_in_steps(text: str) -> Generator[None, None, dict[str, Any]]:
    """Parses a document of any length in steps. Raises ValueError."""
    if len(text) <= MAX_SINGLE_STEP_CHARS:
        return parse(text)
    return (yield from parse_in_thread(text))


def parse_in_thread(text: str) -> Generator[None, None, dict[str, Any]]:
    """Parses a document with tomllib in a thread, which releases the interpreter lock on request.

    Raises ValueError.
    """
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
