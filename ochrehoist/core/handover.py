"""What a controller learned, as another controller can restore it.

It goes to the process that follows, to the store, and to a fresh controller after new settings. All of it is
plain JSON values. Times are in ns of the clock that all processes here share.
"""

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from ochrehoist.admission.controller import FADE, LEAST, LEFT, AdmissionController
from ochrehoist.core.errors import NotANumberError
from ochrehoist.core.snapshot import LearnedState

NO_RATE = 1e-6  # starts a second of a tenant that are not worth telling
LEARNED = 1  # the layout of what `learned` tells
MEANS = ("latency", "bad_calls", "retries", "turned", "unread")
BY_CLASS = "took", "stated", "tells"  # means that it keeps for each class


# ---- what the module learned, by the names of classes and tenants
def learned(c: AdmissionController) -> LearnedState:
    """Of tenants only those active lately: all others have come down alike, by so many beats."""
    classes, tenants, now = c.s.classes, c.s.tenants, c.now
    busy = {tenants[at].name: known.after(c.beats - known.at) for at, known in c.known.items()}
    return {
        **{
            name: {cls.name: [t.value, t.weight] for cls, t in zip(classes, getattr(c, name), strict=True)}
            for name in BY_CLASS
        },
        "ran": {name: ran for name, (_, _, ran) in busy.items() if ran > NO_RATE},
        "beats": c.beats,
        "tenants": [
            [name, asked, served]
            for name, (asked, served, _) in busy.items()
            if asked > LEAST or served > LEAST
        ],
        **{
            which: [[cls.name, getattr(known, which)] for cls, known in zip(classes, c.kinds, strict=True)]
            for which in ("asked", "served")
        },
        "means": {name: [mean.value, mean.weight] for name in MEANS for mean in (getattr(c, name),)},
        "curve": [c.s.cores, c.curve.crowd, c.curve.base, c.curve.time, c.curve.done],
        "floor": c.floor,
        "sent": c.sent,
        "heard": [[caller, now - at] for caller, at in c.heard.items()],
        "left": [[caller, list(ages)] for caller, ages in c.left.items()],
        "patience": [[caller, lasts, until - now] for caller, (lasts, until) in c.patience.items()],
    }


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise NotANumberError(value)
    return value


def teach(
    c: AdmissionController, data: LearnedState, now: int, tenants: Mapping[str, int] | None = None
) -> None:
    """Sets in a fresh module what another one learned.

    Classes that it does not know by name stay as they are, tenants are taken for quiet ones. `tenants`: the
    positions of the module's own by name, where somebody has them.
    """
    known = {t.name: at for at, t in enumerate(c.s.tenants)} if tenants is None else tenants
    counts = {which: {name: _number(value) for name, value in data[which]} for which in ("asked", "served")}
    ran = {known[name]: _number(rate) for name, rate in data["ran"].items() if name in known}
    if "beats" in data:
        beats, busy = (
            int(data["beats"]),
            {
                known[name]: (_number(asked), _number(served))
                for name, asked, served in data["tenants"]
                if name in known
            },
        )
    else:  # of an older program, which told of all: most were quiet, and alike
        busy = {
            known[name]: (asked, counts["served"][name])
            for name, asked in counts["asked"].items()
            if name in known
        }
        alike = max(LEAST, min((value for pair in busy.values() for value in pair), default=1.0))
        beats = round(math.log(alike) / math.log(FADE))
        busy = {at: pair for at, pair in busy.items() if max(pair) > alike}
        ran = {at: rate for at, rate in ran.items() if at in busy or rate > c.quotas[at] / c.s.fleet_size}
    heard = {int(caller): now - int(age) for caller, age in data["heard"]}
    left = {int(caller): [int(age) for age in ages] for caller, ages in data["left"]}
    patience = {int(caller): (int(lasts), now + int(rest)) for caller, lasts, rest in data["patience"]}
    cores, crowd, base, time, done = data["curve"]
    if (cores, crowd) == (c.s.cores, c.curve.crowd) and len(time) == len(c.curve.time) == len(done):
        c.curve.base = max(1e-9, _number(base))
        c.curve.time, c.curve.done = [_number(v) for v in time], [_number(v) for v in done]
        c.floor = max(c.s.cores, min(c.curve.crowd, int(data["floor"])))
    c.sent = _number(data["sent"])
    for mean, (value, weight) in [
        *(
            (getattr(c, name)[at], data[name][cls.name])
            for name in BY_CLASS
            for at, cls in enumerate(c.s.classes)
            if cls.name in data.get(name, ())
        ),
        *((getattr(c, name), data["means"][name]) for name in MEANS if name in data["means"]),
    ]:
        mean.value, mean.weight, mean.at = _number(value), _number(weight), now
    # As of the beat before the one that they are valued by now: all of it counts at once.
    c.known, c.beats = {}, max(1, beats)
    for cls, of_class in zip(c.s.classes, c.kinds, strict=True):
        of_class.at = c.beats - 1
        of_class.asked = counts["asked"].get(cls.name, of_class.asked)
        of_class.served = counts["served"].get(cls.name, of_class.served)
    for at in busy.keys() | ran.keys():
        of_tenant = c.activity(at)
        of_tenant.asked, of_tenant.served = busy.get(at, (of_tenant.asked, of_tenant.served))
        of_tenant.ran, of_tenant.at = ran.get(at, of_tenant.ran), c.beats - 1
    c.lacking = set(busy)
    c.revalue()
    c.heard, c.patience = heard, patience
    c.left = {caller: deque(ages, maxlen=LEFT) for caller, ages in left.items()}
