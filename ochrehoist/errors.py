"""The base of all errors that this program raises, and the errors that several packages share."""


class OchrehoistError(Exception):
    """Base class of this program's errors; the text says what was wrong, where, and what can be done."""


class InvalidInputError(OchrehoistError):
    """A setting or a line of input that cannot be used; the text names it."""

    first: int | None = None  # of two elements that exclude each other, the position of the other
