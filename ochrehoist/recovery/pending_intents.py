"""Intents of this worker that await recording by a write quorum of witnesses. No I/O; times in seconds."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ochrehoist.core.request import RequestReference
from ochrehoist.recovery import quorum
from ochrehoist.recovery.messages import PAGE_SIZE, RecordIntent, encode, key_digest

RESEND_INTERVAL_S = 0.05  # an unanswered message is sent again after this time
MAX_SENT_MESSAGES = 256  # acknowledgements of older messages are ignored
MAX_WAIT_SAMPLES = 1000


class EncodedWitnessMessage(NamedTuple):
    """An encoded message to one witness."""

    witness: str
    data: bytes


@dataclass(slots=True)
class PendingIntent:
    """The intent of a run, which may begin once a write quorum has recorded it.

    Attributes:
        digests: Of the keys by which witnesses know the run.
        added_at: When it was added.
        times_out_at: When it is given up.
        window_ends_at: The end of its idempotency window.
        recorded_by: The witnesses that have recorded it.
    """

    digests: tuple[bytes, ...]
    added_at: float
    times_out_at: float
    window_ends_at: float
    recorded_by: set[str] = field(default_factory=set)


class PendingIntents:
    """Pending intents, sent to all witnesses until their runs may begin or must be rejected."""

    def __init__(self, witnesses: Sequence[str]) -> None:
        self._witnesses = tuple(witnesses)
        self._write_quorum = quorum.quorum_sizes(len(self._witnesses)).write
        self._pending: dict[RequestReference, PendingIntent] = {}
        self._withdrawn: list[bytes] = []
        self._message_number = 0
        self._requests_by_message: OrderedDict[int, tuple[RequestReference, ...]] = OrderedDict()
        self.wait_samples_s: list[float] = []  # waiting times of the latest recorded intents

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, request: RequestReference) -> bool:
        return request in self._pending

    def add(
        self,
        request: RequestReference,
        keys: Sequence[bytes],
        remaining_window_s: float,
        max_wait_s: float,
        now: float,
    ) -> None:
        """Adds the intent of a run; gives up after `max_wait_s` without a write quorum."""
        self._pending[request] = PendingIntent(
            tuple(map(key_digest, keys)), now, now + max_wait_s, now + remaining_window_s
        )

    def withdraw(self, keys: Sequence[bytes]) -> None:
        """Withdraws the intent of a run that never began.

        Withdrawals that exceed one message are dropped: the witnesses then keep those intents until they
        expire.
        """
        if len(self._withdrawn) < PAGE_SIZE:
            self._withdrawn += map(key_digest, keys)

    def messages(self, now: float, is_due: Callable[[RequestReference], bool]) -> list[EncodedWitnessMessage]:
        """Returns the messages to send now.

        `is_due` is called once per request, and returns whether its intent was not sent recently.
        """
        requests = self._due_requests(is_due)
        if not requests and not self._withdrawn:
            return []
        self._message_number += 1
        self._requests_by_message[self._message_number] = tuple(requests)
        while len(self._requests_by_message) > MAX_SENT_MESSAGES:
            self._requests_by_message.popitem(last=False)
        withdrawn = self._take_withdrawn()
        outgoing = []
        for witness in self._witnesses:
            message = self._message_for(witness, requests, withdrawn, now)
            if message.intents or message.withdrawn:
                outgoing.append(EncodedWitnessMessage(witness, encode(message)))
        return outgoing

    def _due_requests(self, is_due: Callable[[RequestReference], bool]) -> list[RequestReference]:
        """Returns the requests whose intents to send now, as many as fit into one message."""
        requests = []
        digest_count = 0
        for request, intent in self._pending.items():
            if digest_count + len(intent.digests) > PAGE_SIZE:
                break
            if is_due(request):
                digest_count += len(intent.digests)
                requests.append(request)
        return requests

    def _take_withdrawn(self) -> list[bytes]:
        """Returns the withdrawals to send, without those of keys that a later attempt uses.

        Witnesses of earlier releases apply the withdrawals of a message after its intents.
        """
        pending = self._pending.values() if self._withdrawn else ()
        used = {digest for intent in pending for digest in intent.digests}
        withdrawn = [digest for digest in self._withdrawn if digest not in used]
        self._withdrawn = []
        return withdrawn

    def _message_for(
        self, witness: str, requests: list[RequestReference], withdrawn: list[bytes], now: float
    ) -> RecordIntent:
        missing = [
            intent for intent in map(self._pending.__getitem__, requests) if witness not in intent.recorded_by
        ]
        intents = [
            (digest, int(1000 * (intent.window_ends_at - now)) + 1)
            for intent in missing
            for digest in intent.digests
        ]
        return RecordIntent(self._message_number, intents, withdrawn)

    def acknowledge(self, witness: str, message_number: int, now: float) -> list[RequestReference]:
        """Processes a witness's acknowledgement; returns the requests whose runs may begin now."""
        if witness not in self._witnesses:
            return []
        ready = []
        for request in self._requests_by_message.get(message_number, ()):
            intent = self._pending.get(request)
            if intent is None:
                continue
            intent.recorded_by.add(witness)
            if len(intent.recorded_by) >= self._write_quorum:
                del self._pending[request]
                self._add_wait_sample(now - intent.added_at)
                ready.append(request)
        return ready

    def _add_wait_sample(self, wait_s: float) -> None:
        self.wait_samples_s.append(wait_s)
        del self.wait_samples_s[:-MAX_WAIT_SAMPLES]

    def remove_timed_out(self, now: float) -> list[RequestReference]:
        """Removes intents that waited too long; returns the requests to reject.

        Intents that a witness has already recorded are withdrawn.
        """
        expired = [request for request, intent in self._pending.items() if intent.times_out_at <= now]
        for request in expired:
            intent = self._pending.pop(request)
            if intent.recorded_by:
                self._withdrawn += intent.digests
        return expired
