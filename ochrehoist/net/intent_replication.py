"""Replicates the intents of one worker's journal to witness replicas, over the peers' datagrams.

The same service makes this worker a witness for others: it records their intents and answers their queries.
Loaded only if the configuration has the table [recovery].
"""

from __future__ import annotations

import math
import secrets
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol

from ochrehoist.config.tables import RecoveryConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import IntentReplicator, Logger
from ochrehoist.core.request import RequestReference
from ochrehoist.peers.wire import Incarnation
from ochrehoist.recovery.intent_log import IntentLog
from ochrehoist.recovery.messages import (
    IntentPage,
    QueryIntents,
    RecordIntent,
    WitnessTopic,
    decode,
    encode,
    key_digest,
)
from ochrehoist.recovery.pending_intents import RESEND_INTERVAL_S, EncodedWitnessMessage, PendingIntents
from ochrehoist.recovery.witness_quorum import WitnessQuorumReport, missing_from_store
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.net.peers import Peers

TOPIC = "recovery"
EXPIRY_INTERVAL_S = 1.0  # between two removals of expired intents
# Counted from opening the store; then the answers received, or the store, must suffice.
QUORUM_TIMEOUT_S = 3.0
WINDOW_MARGIN_S = 1.0  # added to idempotency windows, for messages in transit
MAX_STALE_SEND_TIMES = 64  # beyond this many, send times of requests no longer pending are removed
QUERY_NUMBER_BITS = 40


class ReplicatedJournal(Protocol):
    """Interface of the journal whose intents are replicated; times are ns of the core's clock."""

    restored: bool

    @property
    def hold_until_ns(self) -> int:
        """Time until which unknown idempotency keys are rejected."""

    def replicate_intents_to(self, replicator: IntentReplicator) -> None:
        """Makes every later run wait for the `replication_ended` of its intent."""

    def replication_ended(self, request: RequestReference, confirmed: bool) -> None:
        """Reports whether enough witnesses recorded the intent in time."""

    def hold_unknown_keys_until(self, until_ns: int) -> None:
        """Rejects unknown idempotency keys until `until_ns`; 0 ends the rejection."""

    def is_history_uncertain(self) -> bool:
        """Returns whether the open store cannot tell which requests ran."""


class IntentReplicationService:
    """IntentReplicator of the journal, and an extension of the peers' protocol.

    After a restart the history is unknown until a read quorum of witnesses has answered. Until then every key
    without a record is rejected. Without configured witnesses the history counts as known from the start.

    Attributes:
        intent_log: The intents that this worker has recorded as a witness.
        pending: This worker's own intents that are not yet confirmed.
        history_known: Whether the witnesses' answers are complete, or are not waited for.
        missing_runs: By key digest, the runs that witnesses reported and the store does not hold, with the
            time (s) at which their idempotency window ends.
    """

    def __init__(
        self,
        core: CoreActor,
        config: RecoveryConfig,
        journal: ReplicatedJournal | None,
        peers: Peers | None,
        log: Logger,
    ) -> None:
        self._core = core
        self._config = config
        self._log = log
        self._peers = peers
        now = time.monotonic()
        self.intent_log = IntentLog(now)
        self.pending = PendingIntents(config.witnesses)
        self.history_known = not config.witnesses
        self.missing_runs: dict[bytes, float] = {}
        self._report: WitnessQuorumReport | None = None
        self._stored_keys: list[bytes] = []
        self._last_expiry_at = now
        self._sent_at: dict[RequestReference, float] = {}
        if peers is not None:
            peers.group.add_extension(TOPIC, self)
        self._journal: Any = journal
        if journal is not None and config.witnesses:
            journal.replicate_intents_to(self)

    # ---- IntentReplicator of the journal

    def may_have_run(self, keys: Sequence[bytes]) -> bool:
        """Returns whether a run that the store does not hold may nevertheless have begun.

        `keys` are those under which witnesses may have recorded it.
        """
        if not self.history_known:
            return True
        if not self.missing_runs:
            return False
        now_s = time.monotonic()
        return any(self.missing_runs.get(key_digest(key), now_s) > now_s for key in keys)

    def begin(self, request: RequestReference, keys: Sequence[bytes], window_left_s: float) -> None:
        """Sends the intent to the witnesses.

        The journal's `replication_ended` is called once enough of them have confirmed it, or with False after
        `witness_timeout_ms`.
        """
        now = time.monotonic()
        max_wait_s = self._config.witness_timeout_ms / 1000
        self.pending.add(request, keys, window_left_s + WINDOW_MARGIN_S, max_wait_s, now)
        self._send_pending(now)

    def drop(self, keys: Sequence[bytes]) -> None:
        """Withdraws the intent of a run that never began."""
        self.pending.withdraw(keys)

    def journal_opened(self, keys: list[bytes]) -> None:
        """Starts to query the witnesses for runs whose keys the opened store does not hold."""
        self._stored_keys = keys
        if not self._config.witnesses or self._report is not None:
            return
        windows_ns = (c.idempotency_window_ns for c in self._core.settings.classes)
        longest_window_s = max(windows_ns, default=0) / NS_PER_S
        self._report = WitnessQuorumReport(
            self._config.witnesses,
            longest_window_s + WINDOW_MARGIN_S,
            secrets.randbits(QUERY_NUMBER_BITS),
            time.monotonic(),
        )

    # ---- extension of the peers' protocol

    def status_report(self, now: float) -> bytes:  # noqa: ARG002
        """Returns an empty report: intents are sent to witnesses only."""
        return b""

    def messages_to_send(self, now: float) -> list[tuple[str, str, bytes]]:
        """Returns the queries and intents that are due, as name of the recipient, topic and data."""
        queries = [(name, WitnessTopic.QUERY_INTENTS, data) for name, data in self._queries(now)]
        intents = [(name, WitnessTopic.RECORD_INTENT, data) for name, data in self._pending_messages(now)]
        return [*queries, *intents]

    def message_received(
        self, sender: Incarnation, topic: str, data: bytes, now: float
    ) -> list[tuple[str, bytes]]:
        """Handles one message; returns the answers to its sender as topic and data."""
        message = decode(topic, data)
        if isinstance(message, RecordIntent):
            return self._record(sender.name, message, now)
        if isinstance(message, QueryIntents):
            return [(WitnessTopic.INTENT_PAGE, encode(self.intent_log.page(sender.name, message, now)))]
        if isinstance(message, IntentPage):
            return self._add_page(sender.name, message, now)
        if isinstance(message, int):
            for request in self.pending.acknowledge(sender.name, message, now):
                self._journal.replication_ended(request, True)
        return []

    def _record(self, worker: str, message: RecordIntent, now: float) -> list[tuple[str, bytes]]:
        if not self.intent_log.record(worker, message, now):
            return []
        return [(WitnessTopic.INTENT_RECORDED, encode(message.number))]

    def _add_page(self, witness: str, page: IntentPage, now: float) -> list[tuple[str, bytes]]:
        if self._report is None or self.history_known:
            return []
        self._report.add_page(witness, page, now)
        self._conclude_report(self._report, now)
        return [(WitnessTopic.QUERY_INTENTS, data) for name, data in self._queries(now) if name == witness]

    def _queries(self, now: float) -> list[EncodedWitnessMessage]:
        if self._report is None or self.history_known:
            return []
        return self._report.queries(now)

    def _pending_messages(self, now: float) -> list[EncodedWitnessMessage]:
        if len(self._sent_at) > 4 * len(self.pending) + MAX_STALE_SEND_TIMES:
            self._sent_at = {
                request: sent_at for request, sent_at in self._sent_at.items() if request in self.pending
            }

        def is_due(request: RequestReference) -> bool:
            if now - self._sent_at.get(request, -math.inf) < RESEND_INTERVAL_S:
                return False
            self._sent_at[request] = now
            return True

        return self.pending.messages(now, is_due)

    def _send_pending(self, now: float) -> None:
        assert self._peers is not None  # the configuration requires [peers] if there are witnesses
        for name, data in self._pending_messages(now):
            self._peers.send_to_extension(name, f"{TOPIC}/{WitnessTopic.RECORD_INTENT}", data)

    # ---- conclusions from the witnesses' answers

    def _conclude_report(self, report: WitnessQuorumReport, now: float) -> None:
        """Applies the quorum's answers once further ones can add nothing, or QUORUM_TIMEOUT_S is over."""
        timed_out = report.has_quorum and now - report.started_at > QUORUM_TIMEOUT_S
        hold_s = report.hold_s(now)
        if hold_s is None or not (report.is_settled(now) or timed_out):
            return
        self.missing_runs = missing_from_store(report.expiry_by_digest, self._stored_keys)
        self.history_known = True
        if self._journal.is_history_uncertain():
            self._journal.hold_unknown_keys_until(self._core.clock() + int(hold_s * NS_PER_S))
        counts = {"known_runs": len(report.expiry_by_digest), "missing_runs": len(self.missing_runs)}
        self._log.info("witness_quorum_answered", hold_s=self._hold_s(), **counts)
        if self.missing_runs:
            self._log.error("store_records_missing", **counts)

    def _conclude_without_quorum(self, report: WitnessQuorumReport, now: float) -> None:
        """Stops waiting for too few witnesses after QUORUM_TIMEOUT_S.

        The history is then taken from the store; if the store is uncertain too, unknown keys are rejected for
        the whole window.
        """
        if now - report.started_at <= QUORUM_TIMEOUT_S:
            return
        self.history_known = True
        if self._journal.is_history_uncertain():
            window_end_ns = self._core.clock() + int(report.window_s * NS_PER_S)
            self._journal.hold_unknown_keys_until(max(self._journal.hold_until_ns, window_end_ns))
        self._log.warning(
            "witness_quorum_unavailable",
            witnesses=len(self._config.witnesses),
            hold_s=self._hold_s(),
            answered=report.complete_witnesses(),
        )

    def _hold_s(self) -> float:
        remaining_ns: int = self._journal.hold_until_ns - self._core.clock()
        return round(max(0.0, remaining_ns / NS_PER_S), 1)

    def assume_history_known(self) -> None:
        """Accepts unknown keys as new, on an operator's command: a run that began before may run twice."""
        self.history_known = True
        self.missing_runs = {}
        self._journal.hold_unknown_keys_until(0)

    def tick(self, now: float) -> None:
        """Handles time-outs and removes expired intents; called ten times a second."""
        if self._report is not None and not self.history_known:
            self._conclude_report(self._report, now)
        if self._report is not None and not self.history_known:
            self._conclude_without_quorum(self._report, now)
        for request in self.pending.remove_timed_out(now):
            self._journal.replication_ended(request, False)
        if now - self._last_expiry_at >= EXPIRY_INTERVAL_S:
            self._last_expiry_at = now
            self.intent_log.remove_expired(now)

    def status_section(self) -> dict[str, Any]:
        """Returns the section of `/status`."""
        samples = sorted(self.pending.wait_samples_s)
        quantiles = (("p50", 0.5), ("p99", 0.99)) if samples else ()
        return {
            "names": list(self._config.witnesses),
            "testified": self.history_known,
            "not_on_record": len(self.missing_runs),
            "waiting": len(self.pending),
            "wait_ms": {
                name: round(1000 * samples[int(len(samples) * quantile)], 2) for name, quantile in quantiles
            },
        }
