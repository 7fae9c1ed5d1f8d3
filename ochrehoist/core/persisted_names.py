"""Names under which outcomes, failure reasons and request classes are written.

They appear in the store, in exports and in handover lines. As parts of stored formats and of the protocol
between releases they must not change when the types in the code are renamed.
"""

from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import Idempotency, RequestClass
from ochrehoist.core.results import FailureReason

OUTCOME_NAMES = {
    Outcome.OK: "OK",
    Outcome.FAILED: "FAILED",
    Outcome.QUEUE_FULL: "FULL",
    Outcome.TIMED_OUT: "TIMED_OUT",
    Outcome.UNREACHABLE: "UNREACHABLE",
    Outcome.CONNECTION_RESET: "RESET",
    Outcome.CANCELLED: "CANCELLED",
    Outcome.NOT_STARTED: "MOOT",
}
OUTCOMES_BY_NAME = {name: outcome for outcome, name in OUTCOME_NAMES.items()}

FAILURE_REASON_NAMES = {
    FailureReason.DEADLINE_PASSED: "GIVEN_UP",
    FailureReason.EXECUTOR_FAILED: "EXECUTOR",
    FailureReason.INTERNAL: "INTERNAL",
    FailureReason.OUTCOME_UNKNOWN: "MAY_HAVE_RUN",
    FailureReason.KEY_CONFLICT: "OTHER_CONTENT",
}
FAILURE_REASONS_BY_NAME = {name: reason for reason, name in FAILURE_REASON_NAMES.items()}

IDEMPOTENCY_NAMES = {
    Idempotency.IDEMPOTENT: "SAFE",
    Idempotency.KEYED: "KEYED",
    Idempotency.AT_MOST_ONCE: "UNSAFE",
}
IDEMPOTENCY_BY_NAME = {name: idempotency for idempotency, name in IDEMPOTENCY_NAMES.items()}

# Attribute names by persisted name, in the order in which they are written.
CLASS_FIELDS = {
    "name": "name",
    "aim": "latency_objective_ns",
    "deadline": "deadline_ns",
    "worth": "priority_weight",
    "late_worth": "late_weight",
    "repeat": "idempotency",
    "window": "idempotency_window_ns",
    "aim_stretch": "objective_stretch",
    "calls": "calls_downstream",
    "skip_worth": "fallback_weight",
}


def class_to_json(request_class: RequestClass) -> dict[str, Any]:
    """Returns the JSON value of a request class."""
    data = {persisted: getattr(request_class, field) for persisted, field in CLASS_FIELDS.items()}
    data["repeat"] = IDEMPOTENCY_NAMES[request_class.idempotency]
    return data


def class_from_json(data: dict[str, Any]) -> RequestClass:
    """Returns the request class for a JSON value; raises KeyError or TypeError if it is invalid."""
    values = {CLASS_FIELDS[persisted]: value for persisted, value in data.items()}
    values["idempotency"] = IDEMPOTENCY_BY_NAME[data["repeat"]]
    return RequestClass(**values)
