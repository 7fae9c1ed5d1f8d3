"""Replicated counters with content, and the messages that tell of them."""

import math

import msgspec

from ochrehoist.peers.counter_encoding import MAX_OWN_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.wire import (
    Incarnation,
)

A, B, C = (Incarnation(name, 10, 1) for name in "abc")

encode = msgspec.msgpack.encode


def filled(life, keys, n=1, born=0.0, long=0):
    counters = ReplicatedCounters(life, 100.0, born)
    for k in range(keys):
        counters.add(f"class/{'x' * long}{k:05d}/served", n)
    return counters


def answer(teller, asker, now, lag=0.0):
    """One question, its answer, and what the asker takes of it."""
    parts = teller.deltas_for(
        asker.cursors_for(teller.incarnation.name, teller.incarnation.number), now - lag
    )
    for p in parts:
        asker.merge_delta(p, lag, now)
    return parts


def parts_of(counters):
    """Answers in which the whole of it is told, as the page states it."""
    keys = [len(k.encode()) for k in counters.own.counts]
    longest = max(keys)
    return math.ceil(
        sum(k + 12 for k in keys) / (MAX_OWN_BYTES - 72 - len(counters.incarnation.name) - 3 * longest - 24)
    )
