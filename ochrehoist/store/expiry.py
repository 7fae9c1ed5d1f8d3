"""Expiry of learned state: the decay of a snapshot by its age. No I/O."""

import math
from typing import Any

from ochrehoist.admission.learned_state import CLASS_MEAN_KEYS
from ochrehoist.admission.tenant_activity import MIN_COUNT, TICK_DECAY
from ochrehoist.store.timestamps import Timestamp, elapsed_ns
from ochrehoist.units import NS_PER_S

# Upper limits on the weight of restored run times (in results) and of the restored service rate curve (in
# seconds of observation). They were measured with warm caches, and a cold worker can serve less than they
# suggest; with low weights, a few new measurements outweigh them.
MAX_RESTORED_RESULTS = 3.0
MAX_RESTORED_CURVE_S = 2.0
MIN_DECAY = 1e-6  # lower limit of the decay factor, to keep its logarithm finite
CALLER_STATE_LIFETIME_NS = 10 * NS_PER_S  # the controller's own lifetime of learned caller state

LearnedState = dict[str, Any]  # keyed as in the stored layout, see `admission.learned_state.snapshot`


def expire_learned_state(
    learned: LearnedState, since: Timestamp, now: Timestamp, half_life_ns: int, cold: bool
) -> LearnedState:
    """Returns the part of a snapshot taken at `since` that is still valid at `now`.

    Weights and rates are halved per half-life, and caller state expires after its lifetime. If executors
    start `cold`, service rates measured on warm ones are dropped. If the clock was set back, the age is
    unknown: one half-life is assumed to have passed, and all caller state is dropped.
    """
    age_ns = elapsed_ns(since, now)
    decay = 0.5 ** ((half_life_ns if age_ns is None else age_ns) / half_life_ns)
    downtime_ns = CALLER_STATE_LIFETIME_NS if age_ns is None else age_ns
    remaining = dict(learned)
    remaining.update(_decayed_estimates(learned, decay))
    remaining.update(_decayed_activity(learned, decay))
    remaining.update(_remaining_caller_state(learned, downtime_ns))
    remaining["sent"] = 0.0 if downtime_ns >= CALLER_STATE_LIFETIME_NS else learned["sent"]
    remaining["curve"] = _decayed_service_curve(learned["curve"], decay, cold)
    return remaining


def _decayed_estimates(learned: LearnedState, decay: float) -> LearnedState:
    """Returns decayed weighted averages and rates; a snapshot of an older release lacks some of them."""
    estimates: LearnedState = {}
    for name in CLASS_MEAN_KEYS:
        if name in learned:
            max_weight = MAX_RESTORED_RESULTS if name == "took" else float("inf")
            estimates[name] = _decayed_averages(learned[name], decay, max_weight)
    estimates["means"] = _decayed_averages(learned["means"], decay, MAX_RESTORED_RESULTS)
    estimates["ran"] = {name: rate * decay for name, rate in learned["ran"].items()}
    return estimates


def _decayed_averages(
    averages: dict[str, list[float]], decay: float, max_weight: float
) -> dict[str, list[float]]:
    return {name: [value, min(max_weight, weight * decay)] for name, (value, weight) in averages.items()}


def _decayed_activity(learned: LearnedState, decay: float) -> LearnedState:
    """Returns the decayed counts of requests received and served, by class and by tenant.

    The tick number of tenants' counts is advanced by the number of ticks that have the same decay.
    """
    activity: LearnedState = {
        counts: [[name, max(MIN_COUNT, count * decay)] for name, count in learned[counts]]
        for counts in ("asked", "served")
    }
    if "beats" in learned:  # snapshots of older releases have no counts by tenant
        decay_ticks = round(math.log(max(decay, MIN_DECAY)) / math.log(TICK_DECAY))
        activity["beats"] = learned["beats"] + decay_ticks
        activity["tenants"] = [
            [name, max(MIN_COUNT, asked * decay), max(MIN_COUNT, served * decay)]
            for name, asked, served in learned["tenants"]
        ]
    return activity


def _remaining_caller_state(learned: LearnedState, downtime_ns: int) -> LearnedState:
    recent_callers = [
        [caller, age_ns + downtime_ns]
        for caller, age_ns in learned["heard"]
        if age_ns + downtime_ns < CALLER_STATE_LIFETIME_NS
    ]
    recent_names = {caller for caller, _ in recent_callers}
    return {
        "heard": recent_callers,
        "left": [[caller, ages] for caller, ages in learned["left"] if caller in recent_names],
        "patience": [
            [caller, timeout_ns, remaining_ns - downtime_ns]
            for caller, timeout_ns, remaining_ns in learned["patience"]
            if caller in recent_names and remaining_ns > downtime_ns
        ],
    }


def _decayed_service_curve(curve: list[Any], decay: float, cold: bool) -> list[Any]:
    """Scales observation times and completions by the same factor, which keeps the rates themselves."""
    cores, max_concurrency, peak_rate_per_s, times_s, completions = curve
    if cold:
        return [0, 0, peak_rate_per_s, [], []]
    decay = min(decay, MAX_RESTORED_CURVE_S / max(MAX_RESTORED_CURVE_S, sum(times_s)))
    return [
        cores,
        max_concurrency,
        peak_rate_per_s,
        [time_s * decay for time_s in times_s],
        [count * decay for count in completions],
    ]
