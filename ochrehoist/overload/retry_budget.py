"""Retry budgets: limits the retries of each caller during overload, and adds jitter to their backoff.

While there is capacity, a retry is treated like a first attempt and never denied. Once requests are being
rejected, a caller whose retries exceed a fraction of its first attempts multiplies the load that caused them.
Retries are recognised by the caller's mark, or by the signature of a request that was rejected recently.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from random import Random

RETRIES_PER_FIRST_ATTEMPT = 0.2
MIN_RETRIES_PER_S = 0.5  # retries that each caller may always make
MAX_SAVED_RETRIES = 10.0  # retries that a caller may accumulate
REJECTED_FRACTION = 0.02  # rejected fraction of recent attempts above which budgets are enforced
MIN_RECENT_ATTEMPTS = 20  # attempts below which that fraction is not significant
RECENT_S = 2.0  # time over which recent attempts and rejections decay
MAX_CALLERS = 1024  # callers to remember; the least recently active are dropped
MAX_REJECTIONS = 4096  # rejections to remember for recognising unmarked retries
REJECTION_MEMORY_S = 3.0
MAX_BACKOFF_JITTER = 0.5  # maximum jitter as a fraction of the backoff


@dataclass(slots=True)
class CallerBudget:
    """Remaining retries of one caller, and the time (s) of the last update."""

    saved_retries: float
    updated_s: float


class RetryBudget:
    """Retry budgets of all callers of one worker. Times are seconds of one monotonic clock."""

    def __init__(self, seed: int) -> None:
        self.marked_retries = 0
        self.unmarked_retries = 0
        self.denied = 0
        self._random = Random(seed)
        self._budgets: OrderedDict[int | str, CallerBudget] = OrderedDict()
        self._rejections: OrderedDict[Hashable, float] = OrderedDict()  # signature, time of its rejection
        self._recent_rejections = 0.0
        self._recent_attempts = 0.0
        self._decayed_s = 0.0

    @property
    def enforced(self) -> bool:
        """Whether so many recent attempts were rejected that budgets are enforced."""
        return (
            self._recent_attempts > MIN_RECENT_ATTEMPTS
            and self._recent_rejections > REJECTED_FRACTION * self._recent_attempts
        )

    def admit_attempt(
        self, caller: int | str, signature: Hashable, marked_retry: bool, saturated: bool, now_s: float
    ) -> bool:
        """Counts one attempt and returns whether it may proceed.

        Args:
            caller: Identifies the caller.
            signature: Equal for all attempts of one request.
            marked_retry: Whether the caller marked the attempt as a retry.
            saturated: Whether all cores are busy and requests wait; otherwise no retry is denied.
            now_s: The time of the attempt.
        """
        self._decay(now_s)
        self._recent_attempts += 1
        is_retry = self._follows_rejection(signature, now_s) or marked_retry
        budget = self._replenish_budget(caller, is_retry, now_s)
        if not is_retry:
            return True
        if marked_retry:
            self.marked_retries += 1
        else:
            self.unmarked_retries += 1
        if budget.saved_retries >= 1 or not (saturated and self.enforced):
            budget.saved_retries = max(0.0, budget.saved_retries - 1)
            return True
        self.denied += 1
        return False

    def record_rejection(self, signature: Hashable, now_s: float) -> None:
        """Records a rejected request, so that its next attempt is recognised as a retry."""
        self._decay(now_s)
        self._recent_rejections += 1
        self._rejections[signature] = now_s
        self._rejections.move_to_end(signature)
        if len(self._rejections) > MAX_REJECTIONS:
            self._rejections.popitem(last=False)

    def with_jitter(self, backoff_ns: int) -> int:
        """Returns the backoff plus random jitter, so that callers do not all retry at the same time."""
        return int(backoff_ns * (1 + MAX_BACKOFF_JITTER * self._random.random()))

    def _decay(self, now_s: float) -> None:
        kept = max(0.0, 1 - (now_s - self._decayed_s) / RECENT_S)
        self._recent_rejections *= kept
        self._recent_attempts *= kept
        self._decayed_s = now_s

    def _follows_rejection(self, signature: Hashable, now_s: float) -> bool:
        """Returns whether a request with this signature was rejected recently; removes that rejection."""
        rejected_s = self._rejections.pop(signature, None)
        return rejected_s is not None and now_s - rejected_s <= REJECTION_MEMORY_S

    def _replenish_budget(self, caller: int | str, is_retry: bool, now_s: float) -> CallerBudget:
        """Adds the retries earned by elapsed time and a first attempt; returns the caller's budget."""
        budget = self._budgets.pop(caller, None) or CallerBudget(MAX_SAVED_RETRIES, now_s)
        self._budgets[caller] = budget
        if len(self._budgets) > MAX_CALLERS:
            self._budgets.popitem(last=False)
        earned = 0 if is_retry else RETRIES_PER_FIRST_ATTEMPT
        budget.saved_retries = min(
            MAX_SAVED_RETRIES,
            budget.saved_retries + (now_s - budget.updated_s) * MIN_RETRIES_PER_S + earned,
        )
        budget.updated_s = now_s
        return budget
