"""The read quorum that a restarted worker asks which of its runs had begun. No I/O; seconds.

A run begins only once a majority of this worker's witnesses has its intent in memory. One that restarts
asks so many that any majority shares one with them: what they know together is all that was begun, for as
far back as the youngest memory of them goes. A witness that lost its own memory says how young it is, and
so proves nothing of the time before.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ochrehoist.recovery import quorum
from ochrehoist.recovery.messages import IntentPage, QueryIntents, encode, key_digest
from ochrehoist.recovery.pending_intents import RESEND_INTERVAL_S, OutgoingMessage

MAX_PAGES = 10_000  # of one witness's answer; more is no answer of ours


@dataclass(slots=True)
class WitnessReport:
    """One witness's answer, as far as its pages have come."""

    log_age_s: float | None = None  # how far back its log was complete when it first answered
    answered_at: float = 0.0
    page_count: int = 1
    received_pages: set[int] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether all of its pages have come."""
        return self.log_age_s is not None and len(self.received_pages) >= self.page_count

    def next_page(self) -> int:
        """The first page that has not come."""
        return next(page for page in range(self.page_count + 1) if page not in self.received_pages)

    def age_at(self, now: float) -> float:
        """How far back its log is complete now."""
        assert self.log_age_s is not None
        return self.log_age_s + now - self.answered_at


class WitnessQuorumReport:
    """What all witnesses together know of this worker's runs before it started.

    `window_s`: the longest idempotency window, with an allowance for messages on their way.
    """

    def __init__(self, witnesses: Sequence[str], window_s: float, query_number: int, now: float) -> None:
        self.window_s = window_s
        self.asked_at = now
        self._query_number = query_number
        self._read_quorum = quorum.quorum_sizes(len(witnesses)).read
        self._reports = {name: WitnessReport() for name in witnesses}
        self._last_sent_at = -math.inf
        self.expiry_by_digest: dict[bytes, float] = {}  # begun runs, and when their windows end

    def queries(self, now: float) -> list[OutgoingMessage]:
        """What to ask now; nothing while answers may still come, or would prove no more."""
        if self.is_settled(now) or now - self._last_sent_at < RESEND_INTERVAL_S:
            return []
        self._last_sent_at = now
        return [
            OutgoingMessage(witness, encode(QueryIntents(self._query_number, report.next_page())))
            for witness, report in self._reports.items()
            if not report.is_complete
        ]

    def add_page(self, witness: str, page: IntentPage, now: float) -> None:
        """Takes one page; what answers no query of this start is passed over."""
        report = self._reports.get(witness)
        if report is None or page.number != self._query_number:
            return
        if not 0 <= page.page < page.pages <= MAX_PAGES:
            return
        if report.log_age_s is None:
            report.log_age_s = page.age_ms / 1000
            report.answered_at = now
        report.page_count = page.pages
        report.received_pages.add(page.page)
        for digest, left_ms in page.intents:
            self.expiry_by_digest[digest] = max(self.expiry_by_digest.get(digest, 0.0), now + left_ms / 1000)
        self._last_sent_at = -math.inf  # the next page is asked for at once

    def complete_witnesses(self) -> list[str]:
        """Names of the witnesses whose answers have come whole."""
        return [witness for witness, report in self._reports.items() if report.is_complete]

    @property
    def has_quorum(self) -> bool:
        """Whether enough witnesses have answered to know what was begun."""
        return len(self.complete_witnesses()) >= self._read_quorum

    def is_settled(self, now: float) -> bool:
        """Whether waiting for more answers would prove no more."""
        if not self.has_quorum:
            return False
        return self.hold_s(now) == 0 or all(report.is_complete for report in self._reports.values())

    def hold_s(self, now: float) -> float | None:
        """For how long unknown keys must still be rejected; None while too few witnesses have answered.

        A run begun before the quorum's logs were complete matters for one window from then on.
        """
        complete = [report for report in self._reports.values() if report.is_complete]
        ages = sorted((report.age_at(now) for report in complete), reverse=True)
        if len(ages) < self._read_quorum:
            return None
        return max(0.0, self.window_s - ages[self._read_quorum - 1])


def missing_from_store(
    expiry_by_digest: dict[bytes, float], stored_keys: Iterable[bytes]
) -> dict[bytes, float]:
    """Of the runs that witnesses know, those that the store of this worker has no record of."""
    stored = {key_digest(key) for key in stored_keys}
    return {digest: until for digest, until in expiry_by_digest.items() if digest not in stored}
