"""Filter for received messages. No I/O; times in seconds.

A message is processed once, if a current incarnation sent it to this incarnation.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from ochrehoist.peers.membership import Membership
from ochrehoist.peers.outbound import Outbound, OutgoingMessage
from ochrehoist.peers.wire import (
    UNKNOWN_INCARNATION,
    Hello,
    Incarnation,
    Message,
    ReplayWindow,
)

MAX_SENDERS = 4096  # senders with a replay window


class MessageOutcome(StrEnum):
    """The outcome of a received message; the values are written to `/status`."""

    OWN = "own"
    OTHER_RECIPIENT = "not for us"
    OWN_NAME = "same name"
    GREETING = "greeting"
    OTHER_INCARNATION = "to a life before"
    REPEATED = "repeated"
    SUPERSEDED_SENDER = "earlier life"
    ACCEPTED = "heard"


@dataclass(frozen=True)
class InboundDecision:
    """The decision on a received message; `replies` answers one that is not accepted."""

    outcome: MessageOutcome
    replies: list[OutgoingMessage] = field(default_factory=list)


class InboundFilter:
    """Filter for authenticated messages; the payloads of a message that is not accepted are ignored."""

    def __init__(self, membership: Membership, outbound: Outbound) -> None:
        self.outcome_counts: Counter[MessageOutcome] = Counter()
        self.replay_windows: dict[Incarnation, ReplayWindow] = {}
        self._membership = membership
        self._outbound = outbound

    def check(self, message: Message, source: str, now: float) -> InboundDecision:
        """Decides on a message received from the address `source`, and counts the outcome."""
        decision = self._decide(message, source, now)
        self.outcome_counts[decision.outcome] += 1
        return decision

    def _decide(self, message: Message, source: str, now: float) -> InboundDecision:
        own_incarnation = self._membership.incarnation
        sender = message.sender
        if sender == own_incarnation:
            return InboundDecision(MessageOutcome.OWN)
        if message.recipient not in ("", own_incarnation.name):
            return InboundDecision(MessageOutcome.OTHER_RECIPIENT)
        if sender.name == own_incarnation.name:
            self._membership.note_duplicate(sender)
            return InboundDecision(MessageOutcome.OWN_NAME)
        if message.recipient_number != own_incarnation.number:
            return self._decide_other_incarnation(message, source, now)
        if not self._replay_window(sender).accept(message.sequence):
            return InboundDecision(MessageOutcome.REPEATED)
        if not self._register_sender(message, source, now):
            replies = []
            latest = self._membership.latest_incarnations.get(sender.name)
            if latest is not None:
                replies = self._outbound.notify_superseded(sender, latest, source, now)
            return InboundDecision(MessageOutcome.SUPERSEDED_SENDER, replies)
        return InboundDecision(MessageOutcome.ACCEPTED)

    def _decide_other_incarnation(self, message: Message, source: str, now: float) -> InboundDecision:
        """Greets a sender that does not know this incarnation or addressed an earlier one."""
        own_incarnation = self._membership.incarnation
        if message.recipient_number > own_incarnation.number:  # a later process has or had this name
            later = Incarnation(own_incarnation.name, message.recipient_number, UNKNOWN_INCARNATION)
            self._membership.note_duplicate(later, accepted_by_others=False)
        is_greeting = message.recipient_number == UNKNOWN_INCARNATION
        outcome = MessageOutcome.GREETING if is_greeting else MessageOutcome.OTHER_INCARNATION
        return InboundDecision(outcome, self._outbound.greet(message.sender, source, now))

    def _replay_window(self, sender: Incarnation) -> ReplayWindow:
        window = self.replay_windows.get(sender)
        if window is None:
            if len(self.replay_windows) >= MAX_SENDERS:
                self.replay_windows.pop(next(iter(self.replay_windows)))
            window = self.replay_windows[sender] = ReplayWindow()
        return window

    def _register_sender(self, message: Message, source: str, now: float) -> bool:
        hello = next((payload for payload in message.payloads if isinstance(payload, Hello)), None)
        address = hello.address if hello else source
        site = hello.site if hello else ""
        return self._membership.register_sender(message.sender, address, site, now)
