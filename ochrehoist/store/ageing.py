"""How long what is on record still holds, whatever was done to the clock meanwhile. No I/O."""

import math
from typing import Any

import msgspec

from ochrehoist.admission.learned_state import CLASS_MEAN_KEYS
from ochrehoist.admission.tenant_activity import MIN_COUNT, TICK_DECAY

SECOND = 1_000_000_000
# What times and rates of before a restart weigh at the most: cores may be cold now, and what a warm machine
# taught lets in what a cold one cannot do. A few own results correct it.
FEW, FEW_S = 3.0, 2.0  # results; seconds of the service rate curve
FORGOTTEN = 1e-6  # what is left of counts that is no longer told from nothing
PATIENCE_LASTS = 10 * SECOND  # how long the module itself keeps what it learned of a caller


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A moment, by the Unix clock and by the machine's own time since its boot (both in ns)."""

    unix: int
    boot: str = ""
    up: int = 0


def elapsed(since: Stamp, now: Stamp) -> int | None:
    """Ns from one moment to the other; None where the clock was set back and nothing can be said."""
    if since.boot and since.boot == now.boot:  # setting the clock has no part in this
        return now.up - since.up if now.up >= since.up else None
    return now.unix - since.unix if now.unix >= since.unix else None


def remaining(since: Stamp, left: int, window: int, now: Stamp) -> int:
    """Ns that are left of a window of which `left` were left then; 0 once it is over.

    After a step back it is the whole window again: too long refuses nobody, too short runs something twice.
    """
    passed = elapsed(since, now)
    return window if passed is None else max(0, left - passed)


def aged(learned: dict[str, Any], since: Stamp, now: Stamp, half_life: int, cold: bool) -> dict[str, Any]:
    """What was learned (as `learned_state.snapshot` tells it), as far as it still counts.

    Weights and rates are halved for each half-life (ns) away, what was known of callers expires, and cores
    that start cold are not taught the rates of warm ones. A clock that was set back counts as one half-life.
    """
    away = elapsed(since, now)
    fade = 0.5 ** ((half_life if away is None else away) / half_life)
    gone = PATIENCE_LASTS if away is None else away
    out = dict(learned)
    for which in CLASS_MEAN_KEYS:  # what an older program kept lacks some
        if which in learned:
            most = FEW if which == "took" else float("inf")
            out[which] = {
                name: [value, min(most, weight * fade)] for name, (value, weight) in learned[which].items()
            }
    out["means"] = {
        name: [value, min(FEW, weight * fade)] for name, (value, weight) in learned["means"].items()
    }
    out["ran"] = {name: rate * fade for name, rate in learned["ran"].items()}
    for which in ("asked", "served"):
        out[which] = [[name, max(MIN_COUNT, count * fade)] for name, count in learned[which]]
    if "beats" in learned:  # else of an older program, with all tenants among the others
        out["beats"] = learned["beats"] + round(math.log(max(fade, FORGOTTEN)) / math.log(TICK_DECAY))
        out["tenants"] = [
            [name, max(MIN_COUNT, asked * fade), max(MIN_COUNT, served * fade)]
            for name, asked, served in learned["tenants"]
        ]
    out["heard"] = [[caller, age + gone] for caller, age in learned["heard"] if age + gone < PATIENCE_LASTS]
    known = {caller for caller, _ in out["heard"]}
    out["left"] = [[caller, ages] for caller, ages in learned["left"] if caller in known]
    out["patience"] = [
        [caller, lasts, rest - gone]
        for caller, lasts, rest in learned["patience"]
        if caller in known and rest > gone
    ]
    cores, crowd, base, time, done = learned["curve"]
    out["sent"] = 0.0 if gone >= PATIENCE_LASTS else learned["sent"]
    # Time and finishes fade alike: the rates stay, and give way to new ones the sooner.
    fade = min(fade, FEW_S / max(FEW_S, sum(time)))
    out["curve"] = (
        [0, 0, base, [], []]
        if cold
        else [cores, crowd, base, [v * fade for v in time], [v * fade for v in done]]
    )
    return out
