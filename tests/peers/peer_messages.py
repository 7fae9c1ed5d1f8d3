"""Incarnations, secrets, messages and budgets shared by several test modules."""

from ochrehoist.peers import wire
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.membership import Membership
from ochrehoist.peers.wire import (
    Incarnation,
    Message,
)

SECRETS = (b"first secret of ours", b"second secret of ours")

A, B = Incarnation("a", 10, 1), Incarnation("b", 10, 1)


def make_message(**changes):
    """Returns a message with default values for omitted fields."""
    values = {
        "group": "g",
        "sender": A,
        "recipient": "b",
        "recipient_number": 10,
        "sequence": 1,
        "payloads": [wire.Ping(5, [wire.KnownVersion("c", 1, 2)]), wire.LeaseRequest("x", "t", 3, [1, 2])],
    }
    return Message(**(values | changes))


def make_membership(now=0.0, **addresses):
    """Returns the membership as seen by member `a`."""
    return Membership(A, "at:a", "", addresses, 0.1, now, 1)


BUDGET = Budget("x", 12, ("a", "b", "c"), lease_s=2.0, floor_fraction=0.25, floor_lease_s=10.0)
