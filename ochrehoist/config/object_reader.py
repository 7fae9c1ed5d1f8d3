"""Typed access to a JSON object or TOML table of the configuration; errors name the key."""

import math
from collections.abc import Mapping
from enum import Enum, StrEnum
from typing import Any, Final, Self, TypeVar, overload

from ochrehoist.errors import InvalidInputError

Value = TypeVar("Value")
Member = TypeVar("Member", bound=StrEnum)


class Required(Enum):
    """Type of REQUIRED, the default that marks a key as mandatory."""

    REQUIRED = "required"


REQUIRED: Final = Required.REQUIRED


class ObjectReader:
    """Reader that validates the values of one object.

    `path` is the prefix of the object's keys in messages: empty, or a path that ends in a dot. An explicit
    null counts as missing. Methods that read a value raise InvalidInputError if it is missing or invalid.
    """

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise InvalidInputError.in_setting(path or "Settings", "not an object")
        self.data: dict[str, Any] = data
        self.path = path

    def error(self, key: str, problem: str) -> InvalidInputError:
        """Returns an error that describes a problem with the value of `key`."""
        return InvalidInputError.in_setting(f"{self.path}{key}", problem)

    def invalid_value(self, key: str, value: object) -> InvalidInputError:
        """Returns an error that quotes the invalid value of `key`."""
        return self.error(key, f"unusable value {value!r}")

    def allow_only(self, *allowed: str) -> Self:
        """Rejects unknown keys: a misspelt key would otherwise silently get its default."""
        for key in self.data:
            if key not in allowed:
                raise self.error(key, "unknown")
        return self

    def number(self, key: str, default: float | Required = REQUIRED, minimum: float = 0.0) -> float:
        """Returns a finite number not below `minimum`; integers are not converted to float."""
        value = self._value(key, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
            or value < minimum
        ):
            raise self.invalid_value(key, value)
        return value

    def integer(self, key: str, default: int | Required = REQUIRED, minimum: int = 0) -> int:
        """Returns an integer not below `minimum`; an integral float such as 3.0 is accepted."""
        value = self.number(key, default, minimum)
        if value != int(value):
            raise self.invalid_value(key, value)
        return int(value)

    def flag(self, key: str, default: bool | Required = REQUIRED) -> bool:
        """Returns a boolean."""
        value = self._value(key, default)
        if not isinstance(value, bool):
            raise self.invalid_value(key, value)
        return value

    @overload
    def text(self, key: str, default: str | Required = REQUIRED) -> str: ...

    @overload
    def text(self, key: str, default: None) -> str | None: ...

    def text(self, key: str, default: str | Required | None = REQUIRED) -> str | None:
        """Returns a string that is not empty, unless it is the default."""
        value = self._value(key, default)
        if value is None:
            return None
        if isinstance(default, str) and value is default:  # a default may be empty
            return default
        if not isinstance(value, str) or not value:
            raise self.invalid_value(key, value)
        return value

    def choice(self, key: str, options: Mapping[str, Value], default: str | Required = REQUIRED) -> Value:
        """Returns the value of `options` for the string at `key`."""
        value = self._value(key, default)
        if not isinstance(value, str) or value not in options:
            raise self.invalid_value(key, value)
        return options[value]

    def member(self, key: str, members: type[Member], default: Member | Required = REQUIRED) -> Member:
        """Returns the enumeration member whose value is the string at `key`."""
        return self.choice(key, {member.value: member for member in members}, default)

    def items(self, key: str, default: list[Any] | Required = REQUIRED) -> list[Any]:
        """Returns an array whose elements are not yet validated."""
        value = self._value(key, default)
        if not isinstance(value, list):
            raise self.invalid_value(key, value)
        return value

    def texts(self, key: str, default: list[str] | Required = REQUIRED) -> tuple[str, ...]:
        """Returns an array of distinct strings, none of them empty."""
        values = self.items(key, default)
        if not all(isinstance(value, str) and value for value in values):
            raise self.invalid_value(key, values)
        if len(set(values)) < len(values):
            raise self.error(key, "contains a duplicate value")
        return tuple(values)

    def section(self, key: str, default: dict[str, Any] | Required = REQUIRED) -> "ObjectReader":
        """Returns a reader of the object at `key`."""
        return ObjectReader(self._value(key, default), f"{self.path}{key}.")

    def element(self, key: str, index: int, data: Any) -> "ObjectReader":
        """Returns a reader of `data`, the element at `index` of the array at `key`."""
        return ObjectReader(data, f"{self.path}{key}[{index}].")

    def _value(self, key: str, default: object) -> Any:
        value = self.data.get(key)
        if value is not None:
            return value
        if default is REQUIRED:
            raise self.error(key, "missing")
        return default
