"""The base of all errors that this program raises, and the errors that several packages share."""

from typing import Self


class OchrehoistError(Exception):
    """Base class of this program's errors; the text says what was wrong, where, and what can be done."""


class InvalidInputError(OchrehoistError):
    """A setting or a line of input that cannot be used; the text names it.

    `key` is the full key of the setting, empty where the input is something else. `conflicting_index` is the
    position of the other element, where two elements of one array exclude each other.
    """

    def __init__(self, text: str, *, key: str = "", conflicting_index: int | None = None) -> None:
        super().__init__(text)
        self.key = key
        self.conflicting_index = conflicting_index

    @classmethod
    def in_setting(cls, key: str, problem: str, *, conflicting_index: int | None = None) -> Self:
        """The error of the setting that `key` names, a full key such as `ajp.rules[3].uri`."""
        return cls(f"setting {key}: {problem}", key=key, conflicting_index=conflicting_index)

    @classmethod
    def in_message(cls, message: str, problem: str, *, field: str | None = None) -> Self:
        """The error of a message, or of one field of it."""
        place = message if field is None else f"{message} field {field}"
        return cls(f"message {place}: {problem}")
