"""Times, an idempotency key and intents for the tests of the store package."""

from ochrehoist.store.records import (
    IntentRecord,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S

DAY_NS, HOUR_NS = 86_400 * NS_PER_S, 3_600 * NS_PER_S

IDEMPOTENCY_KEY = ("acme", "filing", "k1")


def intent(number=1, **fields):
    """Returns an intent with default values for the fields that are not given."""
    values = {
        "idempotency_key": ("acme", "filing", f"k{number}"),
        "request_id": f"r{number}",
        "window_ns": 20 * NS_PER_S,
        "remaining_ns": 20 * NS_PER_S,
        "recorded_at": Timestamp(DAY_NS, "b", HOUR_NS),
    } | fields
    return IntentRecord(**values)
