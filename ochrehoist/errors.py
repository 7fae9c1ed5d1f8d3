"""The base class of all exceptions of this program, and exceptions that several packages share."""

from typing import Self


class OchrehoistError(Exception):
    """Base class of this program's exceptions.

    The message says what is wrong, where, and what can be done about it.
    """


class InvalidInputError(OchrehoistError):
    """Raised for an invalid setting or an invalid line of input; the message names it.

    `key` is the full key of the setting; it is empty for other input. `conflicting_index` is the position of
    the other element if two elements of an array exclude each other.
    """

    def __init__(self, text: str, *, key: str = "", conflicting_index: int | None = None) -> None:
        super().__init__(text)
        self.key = key
        self.conflicting_index = conflicting_index

    @classmethod
    def in_setting(cls, key: str, problem: str, *, conflicting_index: int | None = None) -> Self:
        """Returns the error for the setting with the full key `key`, such as `ajp.rules[3].uri`."""
        return cls(f"setting {key}: {problem}", key=key, conflicting_index=conflicting_index)

    @classmethod
    def in_message(cls, message: str, problem: str, *, field: str | None = None) -> Self:
        """Returns the error for a message, or for one of its fields."""
        place = message if field is None else f"{message} field {field}"
        return cls(f"message {place}: {problem}")
