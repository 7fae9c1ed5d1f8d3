"""Retry budgets: bounds how many retries each caller may add to an overload, and jitters their backoff.

A retry is as good as a first attempt while there is capacity, so nothing is denied then. Once requests are
being rejected, a caller whose retries exceed a fraction of its first attempts multiplies the load that
caused them. Retries are recognised by their mark, or by being alike to a request that was rejected a moment
ago.
"""

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from random import Random

RETRIES_PER_FIRST_ATTEMPT = 0.2
MIN_RETRIES_PER_S = 0.5  # that any caller may make
MAX_SAVED_RETRIES = 10.0  # that a caller may accumulate
REJECTED_FRACTION = 0.02  # of the recent attempts, from which on budgets are enforced
MIN_RECENT_ATTEMPTS = 20  # below which that fraction says nothing
RECENT_S = 2.0  # over which it is taken
MAX_CALLERS = 1024  # remembered, the latest
MAX_REJECTIONS = 4096  # remembered, the latest, to recognise unmarked retries
REJECTION_MEMORY_S = 3.0
MAX_BACKOFF_JITTER = 0.5  # of the backoff, added to it


@dataclass(slots=True)
class CallerBudget:
    """What one caller may still retry, and when (s) that was last brought up to date."""

    saved_retries: float
    updated_s: float


class RetryBudget:
    """The retry budgets of all callers of one worker. Times are seconds of one monotonic clock."""

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
        """Whether enough of the recent attempts were rejected for budgets to be kept to."""
        return (
            self._recent_attempts > MIN_RECENT_ATTEMPTS
            and self._recent_rejections > REJECTED_FRACTION * self._recent_attempts
        )

    def allows(
        self, caller: int | str, signature: Hashable, marked_retry: bool, saturated: bool, now_s: float
    ) -> bool:
        """Counts one attempt, and tells whether it is within its caller's budget.

        Args:
            caller: whose budget it is.
            signature: equal for all attempts at one request.
            marked_retry: whether the caller says that it is a retry.
            saturated: whether all cores are busy and requests wait; else no retry is denied.
            now_s: the time of the attempt.
        """
        self._decay(now_s)
        self._recent_attempts += 1
        is_retry = self._follows_rejection(signature, now_s) or marked_retry
        budget = self._replenished(caller, is_retry, now_s)
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
        """Remembers that a request was rejected, so that its next attempt is recognised."""
        self._decay(now_s)
        self._recent_rejections += 1
        self._rejections[signature] = now_s
        self._rejections.move_to_end(signature)
        if len(self._rejections) > MAX_REJECTIONS:
            self._rejections.popitem(last=False)

    def jittered(self, backoff_ns: int) -> int:
        """The backoff, lengthened at random: told alike, callers would return at one moment."""
        return int(backoff_ns * (1 + MAX_BACKOFF_JITTER * self._random.random()))

    def _decay(self, now_s: float) -> None:
        kept = max(0.0, 1 - (now_s - self._decayed_s) / RECENT_S)
        self._recent_rejections *= kept
        self._recent_attempts *= kept
        self._decayed_s = now_s

    def _follows_rejection(self, signature: Hashable, now_s: float) -> bool:
        """Whether a request like it was rejected a moment ago; that rejection is then forgotten."""
        rejected_s = self._rejections.pop(signature, None)
        return rejected_s is not None and now_s - rejected_s <= REJECTION_MEMORY_S

    def _replenished(self, caller: int | str, is_retry: bool, now_s: float) -> CallerBudget:
        """The caller's budget with what time and a first attempt add to it; the latest callers are kept."""
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
