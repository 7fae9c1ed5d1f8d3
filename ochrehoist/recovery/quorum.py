"""Sizes of the quorums of witness replicas."""

from typing import NamedTuple


class QuorumSizes(NamedTuple):
    """Numbers of witnesses; any write quorum and any read quorum share one."""

    write: int
    read: int


def quorum_sizes(witness_count: int) -> QuorumSizes:
    """The majority that must record an intent before its run begins, and how many must answer a query."""
    write = witness_count // 2 + 1
    return QuorumSizes(write, witness_count - write + 1)
