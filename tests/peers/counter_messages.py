"""Helpers for counter tests: counters with keys, and their exchange between two members."""

import math

import msgspec

from ochrehoist.peers.counter_encoding import MAX_OWN_BYTES
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.wire import (
    Incarnation,
)

A, B, C = (Incarnation(name, 10, 1) for name in "abc")

encode = msgspec.msgpack.encode


def counters_with_keys(incarnation, key_count, count=1, started_at=0.0, padding=0):
    """Returns the counters of a member with `key_count` keys, each lengthened by `padding` bytes."""
    counters = ReplicatedCounters(incarnation, 100.0, started_at)
    for k in range(key_count):
        counters.add(f"class/{'x' * padding}{k:05d}/served", count)
    return counters


def exchange(responder, requester, now, delay_s=0.0):
    """Performs one request and answer, and merges the deltas at the requester; returns the deltas."""
    deltas = responder.deltas_for(
        requester.cursors_for(responder.incarnation.name, responder.incarnation.number), now - delay_s
    )
    for delta in deltas:
        requester.merge_delta(delta, delay_s, now)
    return deltas


def expected_answer_count(counters):
    """Returns the documented maximum number of answers that transfer all counts."""
    key_sizes = [len(k.encode()) for k in counters.own.counts]
    max_key_size = max(key_sizes)
    return math.ceil(
        sum(size + 12 for size in key_sizes)
        / (MAX_OWN_BYTES - 72 - len(counters.incarnation.name) - 3 * max_key_size - 24)
    )
