"""Quorum sizes for witness replicas."""

from typing import NamedTuple


class QuorumSizes(NamedTuple):
    """Numbers of witnesses; any write quorum and any read quorum have a witness in common."""

    write: int
    read: int


def quorum_sizes(witness_count: int) -> QuorumSizes:
    """Returns the number of witnesses that must record an intent, and that must answer a query."""
    write = witness_count // 2 + 1
    return QuorumSizes(write, witness_count - write + 1)
