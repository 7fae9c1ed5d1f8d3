"""The kinds of configuration files that are read, and their names."""

from enum import StrEnum


class FileKind(StrEnum):
    """A file to read: one for warming up, the first one, and that one changed."""

    WARMUP = "warmup"
    FIRST = "first"
    ONE_TENANT = "one tenant"
    ONE_ROUTE = "one route"
    MANY_TENANTS = "100 tenants"
    NO_CHANGE = "none"


def file_name(kind: FileKind, suffix: str) -> str:
    """The name of the file of a kind."""
    return kind.value.replace(" ", "_") + suffix
