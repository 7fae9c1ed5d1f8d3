"""Failpoints: named steps at which a test can interrupt the process. They do nothing otherwise."""

from enum import StrEnum


class Failpoint(StrEnum):
    """A step in the life of a request's record, or of the state folder."""

    INTENT_QUEUED = "begin"  # the record of a request that is to run is about to be queued
    COMMIT_STARTED = "commit"
    COMMITTED = "committed"
    INTENT_DURABLE = "recorded"  # the request may run now
    RESULT_QUEUED = "end"  # it has run; its caller has no answer yet
    FOLDER_OPENING = "open"
    FOLDER_LOCKED = "opened"
    FOLDER_RELEASING = "release"
    FOLDER_RELEASED = "released"


REQUEST_FAILPOINTS = (
    Failpoint.INTENT_QUEUED,
    Failpoint.COMMIT_STARTED,
    Failpoint.COMMITTED,
    Failpoint.INTENT_DURABLE,
    Failpoint.RESULT_QUEUED,
)
HANDOVER_FAILPOINTS = (
    Failpoint.FOLDER_OPENING,
    Failpoint.FOLDER_LOCKED,
    Failpoint.FOLDER_RELEASING,
    Failpoint.FOLDER_RELEASED,
)


def reached(failpoint: Failpoint) -> None:  # tests put their own in its place
    """Called by the store at each of its failpoints."""
