"""Failpoints: named steps at which tests can interrupt the process. In production they do nothing."""

from enum import StrEnum


class Failpoint(StrEnum):
    """A step in the processing of a request's record, or of the state folder.

    INTENT_QUEUED is reached just before an intent is queued, RESULT_QUEUED after the run and before its
    caller gets a response.
    """

    INTENT_QUEUED = "begin"
    COMMIT_STARTED = "commit"
    COMMITTED = "committed"
    INTENT_DURABLE = "recorded"
    RESULT_QUEUED = "end"
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


def reached(failpoint: Failpoint) -> None:
    """Does nothing; the store calls it at each failpoint, and tests replace it."""
