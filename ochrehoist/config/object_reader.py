"""Typed access to one JSON object or TOML table of the configuration; errors name the key."""

import math
from collections.abc import Mapping
from enum import Enum, StrEnum
from typing import Any, Final, Self, TypeVar, overload

from ochrehoist.errors import InvalidInputError

Value = TypeVar("Value")
Member = TypeVar("Member", bound=StrEnum)


class Required(Enum):
    """The type of REQUIRED, the default of a key that must be there."""

    REQUIRED = "required"


REQUIRED: Final = Required.REQUIRED


class ObjectReader:
    """Reads one object and names what is missing or unusable.

    `path` is the prefix of the object's keys in messages: empty, or a path that ends in a dot. An explicit
    null counts as missing. All methods raise InvalidInputError.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise InvalidInputError.in_setting(path or "Settings", "not an object")
        self.data: dict[str, Any] = data
        self.path = path

    def error(self, key: str, problem: str) -> InvalidInputError:
        """The error that says what is wrong with the value of `key`."""
        return InvalidInputError.in_setting(f"{self.path}{key}", problem)

    def unusable(self, key: str, value: object) -> InvalidInputError:
        """The error that shows a value of `key` that cannot be used."""
        return self.error(key, f"unusable value {value!r}")

    def allow_only(self, *known: str) -> Self:
        """Refuses other keys: a misspelt key would silently be replaced by a default."""
        for key in self.data:
            if key not in known:
                raise self.error(key, "unknown")
        return self

    def number(self, key: str, default: float | Required = REQUIRED, least: float = 0.0) -> float:
        """A finite number of at least `least`; an integer stays one."""
        value = self._value(key, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
            or value < least
        ):
            raise self.unusable(key, value)
        return value

    def integer(self, key: str, default: int | Required = REQUIRED, least: int = 0) -> int:
        """An integer of at least `least`, which may be written as a float."""
        value = self.number(key, default, least)
        if value != int(value):
            raise self.unusable(key, value)
        return int(value)

    def flag(self, key: str, default: bool | Required = REQUIRED) -> bool:
        """True or false."""
        value = self._value(key, default)
        if not isinstance(value, bool):
            raise self.unusable(key, value)
        return value

    @overload
    def text(self, key: str, default: str | Required = REQUIRED) -> str: ...

    @overload
    def text(self, key: str, default: None) -> str | None: ...

    def text(self, key: str, default: str | Required | None = REQUIRED) -> str | None:
        """A text that is not empty."""
        value = self._value(key, default)
        if value is None:
            return None
        if isinstance(default, str) and value is default:  # which may be empty
            return default
        if not isinstance(value, str) or not value:
            raise self.unusable(key, value)
        return value

    def choice(self, key: str, table: Mapping[str, Value], default: str | Required = REQUIRED) -> Value:
        """What `table` has for the word that is written."""
        value = self._value(key, default)
        if not isinstance(value, str) or value not in table:
            raise self.unusable(key, value)
        return table[value]

    def member(self, key: str, members: type[Member], default: Member | Required = REQUIRED) -> Member:
        """The member of an enumeration whose value is written."""
        return self.choice(key, {m.value: m for m in members}, default)

    def items(self, key: str, default: list[Any] | Required = REQUIRED) -> list[Any]:
        """An array, its elements not yet checked."""
        value = self._value(key, default)
        if not isinstance(value, list):
            raise self.unusable(key, value)
        return value

    def texts(self, key: str, default: list[str] | Required = REQUIRED) -> tuple[str, ...]:
        """An array of different texts, none of them empty."""
        values = self.items(key, default)
        if not all(isinstance(value, str) and value for value in values):
            raise self.unusable(key, values)
        if len(set(values)) < len(values):
            raise self.error(key, "a value comes twice")
        return tuple(values)

    def section(self, key: str, default: dict[str, Any] | Required = REQUIRED) -> "ObjectReader":
        """The object below `key`."""
        return ObjectReader(self._value(key, default), f"{self.path}{key}.")

    def element(self, key: str, index: int, data: Any) -> "ObjectReader":
        """An element, already taken, of the array below `key`."""
        return ObjectReader(data, f"{self.path}{key}[{index}].")

    def _value(self, key: str, default: object) -> Any:
        value = self.data.get(key)
        if value is not None:
            return value
        if default is REQUIRED:
            raise self.error(key, "missing")
        return default
