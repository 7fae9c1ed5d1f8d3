"""Errors of the core."""

from ochrehoist.errors import OchrehoistError


class InvalidStateError(OchrehoistError):
    """A state that was handed over or stored cannot be restored; the text says what is wrong with it."""


class UnknownLineError(InvalidStateError):
    """A line of a snapshot is of an unknown kind."""

    def __init__(self, kind: object) -> None:
        super().__init__(f"an unknown line {kind!r}")
        self.kind = kind


class DamagedLineError(InvalidStateError):
    """A line of a snapshot lacks a field, or has one of a wrong type."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"a line of the state: {cause!r}")
        self.cause = cause


class UnsupportedVersionError(InvalidStateError):
    """A snapshot has another layout than this release reads."""

    def __init__(self, version: object) -> None:
        super().__init__(f"another version of the state: {version}")
        self.version = version


class LearnedStateTypeError(InvalidStateError):
    """The learned state of a snapshot is not an object."""

    def __init__(self, found: object) -> None:
        super().__init__("no learned means")
        self.found = found


class RequestOwnerDisconnectedError(OchrehoistError):
    """The process that read a request is gone, so the request cannot be run."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"the process that read request {request_id} is gone")
        self.request_id = request_id
