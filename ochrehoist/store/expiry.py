"""Expiry of learned state: how much of a snapshot still counts after the time that has passed. No I/O."""

import math
from typing import Any

from ochrehoist.admission.learned_state import CLASS_MEAN_KEYS
from ochrehoist.admission.tenant_activity import MIN_COUNT, TICK_DECAY
from ochrehoist.store.timestamps import Timestamp, elapsed_ns
from ochrehoist.units import NS_PER_S

# Upper limits on the weight of times and rates from before a restart: caches may be cold now, and what was
# measured on a warm machine would admit more than a cold one can do. A few new results then outweigh them.
MAX_RESTORED_RESULTS = 3.0
MAX_RESTORED_CURVE_S = 2.0  # of observation time in the service rate curve
NEGLIGIBLE_WEIGHT = 1e-6  # a weight below it counts as this one
CALLER_STATE_LIFETIME_NS = 10 * NS_PER_S  # for which the controller keeps what it learned of a caller

LearnedState = dict[str, Any]  # by the names of the stored layout, see `admission.learned_state.snapshot`


def expire_learned_state(
    learned: LearnedState, since: Timestamp, now: Timestamp, half_life_ns: int, cold: bool
) -> LearnedState:
    """The part of a snapshot taken at `since` that still counts at `now`.

    Weights and rates are halved for each half-life that has passed, and what was known of callers expires.
    Executors that start `cold` get no service rates measured on warm ones. Where the clock was set back, one
    half-life is taken to have passed, and all caller state has expired.
    """
    passed_ns = elapsed_ns(since, now)
    decay = 0.5 ** ((half_life_ns if passed_ns is None else passed_ns) / half_life_ns)
    away_ns = CALLER_STATE_LIFETIME_NS if passed_ns is None else passed_ns
    remaining = dict(learned)
    remaining.update(_decayed_estimates(learned, decay))
    remaining.update(_decayed_activity(learned, decay))
    remaining.update(_remaining_caller_state(learned, away_ns))
    remaining["sent"] = 0.0 if away_ns >= CALLER_STATE_LIFETIME_NS else learned["sent"]
    remaining["curve"] = _decayed_service_curve(learned["curve"], decay, cold)
    return remaining


def _decayed_estimates(learned: LearnedState, decay: float) -> LearnedState:
    """Averages with a weight each. A snapshot of an older release lacks some of them."""
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
    """Requests received and served, by class and by tenant; a tenant's counts decay with the ticks."""
    activity: LearnedState = {
        counts: [[name, max(MIN_COUNT, count * decay)] for name, count in learned[counts]]
        for counts in ("asked", "served")
    }
    if "beats" in learned:  # an older release counted all tenants together
        decay_ticks = round(math.log(max(decay, NEGLIGIBLE_WEIGHT)) / math.log(TICK_DECAY))
        activity["beats"] = learned["beats"] + decay_ticks
        activity["tenants"] = [
            [name, max(MIN_COUNT, asked * decay), max(MIN_COUNT, served * decay)]
            for name, asked, served in learned["tenants"]
        ]
    return activity


def _remaining_caller_state(learned: LearnedState, away_ns: int) -> LearnedState:
    heard = [
        [caller, age_ns + away_ns]
        for caller, age_ns in learned["heard"]
        if age_ns + away_ns < CALLER_STATE_LIFETIME_NS
    ]
    known = {caller for caller, _ in heard}
    return {
        "heard": heard,
        "left": [[caller, ages] for caller, ages in learned["left"] if caller in known],
        "patience": [
            [caller, timeout_ns, remaining_ns - away_ns]
            for caller, timeout_ns, remaining_ns in learned["patience"]
            if caller in known and remaining_ns > away_ns
        ],
    }


def _decayed_service_curve(curve: list[Any], decay: float, cold: bool) -> list[Any]:
    """Observation time and completions shrink alike: rates stay, and new ones outweigh them sooner."""
    cores, crowd, base, times_s, completions = curve
    if cold:
        return [0, 0, base, [], []]
    decay = min(decay, MAX_RESTORED_CURVE_S / max(MAX_RESTORED_CURVE_S, sum(times_s)))
    return [cores, crowd, base, [time_s * decay for time_s in times_s], [n * decay for n in completions]]
