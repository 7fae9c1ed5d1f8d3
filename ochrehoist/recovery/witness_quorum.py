"""Read quorum that a restarted worker queries for the runs that it had begun. No I/O; times in seconds.

A run begins only after a majority of this worker's witnesses has its intent in memory. A restarted worker
queries enough witnesses that any majority has one in common with them. Together they know all runs that were
begun, as far back as the youngest of their logs is complete. A witness that lost its log reports the log's
age, so it proves nothing about the time before.

A witness of an earlier release cuts each page from the intents that it has at that moment, so intents that
expire or are withdrawn move the later ones to earlier pages. Pages are therefore queried from the last to the
first: an intent can only move ahead of the pages that were queried already, never behind them. The first
query only tells how many pages there are, under a number of its own, so that a late repetition of its answer
is no page of the rest.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ochrehoist.recovery import quorum
from ochrehoist.recovery.messages import IntentPage, QueryIntents, encode, key_digest
from ochrehoist.recovery.pending_intents import RESEND_INTERVAL_S, EncodedWitnessMessage

MAX_PAGES = 10_000  # pages with a higher page count are malformed and ignored


@dataclass(slots=True)
class WitnessReport:
    """One witness's answer, as far as it was received.

    Attributes:
        query: The query whose answer is expected next.
        log_age_s: Age of the witness's complete log at its last answer, of the youngest log if it restarted
            between two answers; None before the first one.
        answered_at: When the last answer arrived.
        is_complete: Whether all pages have been received.
    """

    query: QueryIntents
    log_age_s: float | None = None
    answered_at: float = 0.0
    is_complete: bool = False

    def advance(self, page: IntentPage, now: float) -> None:
        """Sets the next query after the answer to the present one."""
        is_first = self.log_age_s is None
        age_s = page.age_ms / 1000
        self.log_age_s = age_s if is_first else min(age_s, self.age_at(now))
        self.answered_at = now
        if is_first:
            self.is_complete = page.pages <= 1
            self.query = QueryIntents(self.query.number + 1, page.pages - 1)
        elif page.page == 0:
            self.is_complete = True
        else:  # the answer may have fewer pages by now
            self.query = QueryIntents(self.query.number, min(page.page, page.pages) - 1)

    def age_at(self, now: float) -> float:
        """Returns how far back the witness's log is complete, in s before `now`."""
        assert self.log_age_s is not None
        return self.log_age_s + now - self.answered_at


class WitnessQuorumReport:
    """The combined answers of all witnesses about the runs that this worker began before its start.

    `window_s` is the longest idempotency window plus an allowance for messages in transit.
    """

    def __init__(self, witnesses: Sequence[str], window_s: float, query_number: int, now: float) -> None:
        self.window_s = window_s
        self.started_at = now
        self._read_quorum = quorum.quorum_sizes(len(witnesses)).read
        self._reports = {name: WitnessReport(QueryIntents(query_number, 0)) for name in witnesses}
        self._last_sent_at = -math.inf
        self.expiry_by_digest: dict[bytes, float] = {}  # ends of the idempotency windows of begun runs

    def queries(self, now: float) -> list[EncodedWitnessMessage]:
        """Returns the queries to send now; none while answers are outstanding or the report is settled."""
        if self.is_settled(now) or now - self._last_sent_at < RESEND_INTERVAL_S:
            return []
        self._last_sent_at = now
        return [
            EncodedWitnessMessage(witness, encode(report.query))
            for witness, report in self._reports.items()
            if not report.is_complete
        ]

    def add_page(self, witness: str, page: IntentPage, now: float) -> None:
        """Adds one page; ignores pages that do not answer the present query, such as repeated ones."""
        report = self._reports.get(witness)
        if report is None or report.is_complete or not 1 <= page.pages <= MAX_PAGES:
            return
        if QueryIntents(page.number, page.page) != report.query:
            return
        report.advance(page, now)
        for digest, remaining_ms in page.intents:
            self.expiry_by_digest[digest] = max(
                self.expiry_by_digest.get(digest, 0.0), now + remaining_ms / 1000
            )
        self._last_sent_at = -math.inf  # query the next page immediately

    def complete_witnesses(self) -> list[str]:
        """Returns the names of the witnesses whose answers are complete."""
        return [witness for witness, report in self._reports.items() if report.is_complete]

    @property
    def has_quorum(self) -> bool:
        """Whether enough witnesses have answered to know all runs that were begun."""
        return len(self.complete_witnesses()) >= self._read_quorum

    def is_settled(self, now: float) -> bool:
        """Returns whether further answers cannot shorten the hold time."""
        if not self.has_quorum:
            return False
        return self.hold_s(now) == 0 or all(report.is_complete for report in self._reports.values())

    def hold_s(self, now: float) -> float | None:
        """Returns how long unknown keys must still be rejected; None without a read quorum.

        Runs begun before the quorum's logs were complete can be repeated until one window after that time.
        """
        complete = [report for report in self._reports.values() if report.is_complete]
        ages = sorted((report.age_at(now) for report in complete), reverse=True)
        if len(ages) < self._read_quorum:
            return None
        return max(0.0, self.window_s - ages[self._read_quorum - 1])


def missing_from_store(
    expiry_by_digest: dict[bytes, float], stored_keys: Iterable[bytes]
) -> dict[bytes, float]:
    """Returns the runs known to witnesses that are missing from this worker's store."""
    stored = {key_digest(key) for key in stored_keys}
    return {digest: expires_at for digest, expires_at in expiry_by_digest.items() if digest not in stored}
