"""Exceptions that the core raises."""

from ochrehoist.errors import OchrehoistError


class InvalidStateError(OchrehoistError):
    """Raised for a handed-over or stored state that cannot be restored; the message names the problem."""


class UnknownLineError(InvalidStateError):
    """Raised for a snapshot line of an unknown kind."""

    def __init__(self, kind: object) -> None:
        super().__init__(f"snapshot line has unknown kind {kind!r}")
        self.kind = kind


class DamagedLineError(InvalidStateError):
    """Raised for a snapshot line with a missing field or a field of the wrong type."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"snapshot line is damaged: {cause!r}")
        self.cause = cause


class UnsupportedVersionError(InvalidStateError):
    """Raised for a snapshot in a format that this release does not read."""

    def __init__(self, version: object) -> None:
        super().__init__(f"snapshot has unsupported format version {version}")
        self.version = version


class LearnedStateTypeError(InvalidStateError):
    """Raised for a snapshot whose learned state is not an object."""

    def __init__(self, found: object) -> None:
        super().__init__(f"learned state must be an object, not {type(found).__name__}")
        self.found = found


class RequestOwnerDisconnectedError(OchrehoistError):
    """Raised when a request cannot be run because the process that read it has disconnected."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the process that read request {request_id} has disconnected")
        self.request_id = request_id
