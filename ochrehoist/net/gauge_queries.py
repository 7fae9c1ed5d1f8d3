"""The gauge queries that a kernel link has sent; their answers show whether the link is alive."""

# Counted from the oldest unanswered gauge query: the link is silent if nothing else was received either.
SILENT_LINK_TIMEOUT_S = 0.7
# Counted from the oldest unanswered gauge query, on a link that still delivers other notices.
UNANSWERED_QUERY_TIMEOUT_S = 2.0
MAX_TRACKED_QUERIES = 64


class GaugeQueries:
    """The unanswered gauge queries of the current link, oldest first."""

    def __init__(self) -> None:
        self._count = 0
        self._sent_at_s: dict[str, float] = {}  # by token

    def open(self, now_s: float) -> str:
        """Adds a query and returns its token; the oldest query is dropped beyond MAX_TRACKED_QUERIES."""
        self._count += 1
        token = f"g{self._count}"
        self._sent_at_s[token] = now_s
        if len(self._sent_at_s) > MAX_TRACKED_QUERIES:
            del self._sent_at_s[next(iter(self._sent_at_s))]
        return token

    def answer(self, token: str) -> float | None:
        """Removes a query and returns when it was sent; None for a token that is not of the current link."""
        return self._sent_at_s.pop(token, None)

    def clear(self) -> None:
        """Drops all queries; called when the link is lost."""
        self._sent_at_s.clear()

    def is_overdue(self, now_s: float, received_at_s: float) -> bool:
        """Returns whether an answer is overdue; `received_at_s` is when the link last received bytes.

        While bytes arrive, a longer time-out applies: after a stall of this process the answer may already be
        in the buffer, behind notices.
        """
        if not self._sent_at_s:
            return False
        waited_s = now_s - next(iter(self._sent_at_s.values()))
        if waited_s <= SILENT_LINK_TIMEOUT_S:
            return False
        return now_s - received_at_s > SILENT_LINK_TIMEOUT_S or waited_s > UNANSWERED_QUERY_TIMEOUT_S
