"""Times, tokens and operations for tests of the store."""

from ochrehoist.store.records import (
    IntentRecord,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S

DAY, HOUR = 86_400 * NS_PER_S, 3_600 * NS_PER_S

TOKEN = ("acme", "filing", "k1")


def intent(n=1, **more):
    values = {
        "idempotency_key": ("acme", "filing", f"k{n}"),
        "request_id": f"r{n}",
        "window_ns": 20 * NS_PER_S,
        "remaining_ns": 20 * NS_PER_S,
        "recorded_at": Timestamp(DAY, "b", HOUR),
    } | more
    return IntentRecord(**values)
