"""The settings object, as it comes in the simulator's first message and in a worker's configuration."""

import gc
import math
from collections.abc import Generator, Mapping, Sequence
from typing import Any, TypeVar

from ochrehoist.admission.settings import (
    AdmissionSettings,
    BackpressureSignal,
    DownstreamScope,
    Idempotency,
    ObjectiveWeights,
    Preemption,
    RequestClass,
    Tenant,
)
from ochrehoist.config import json_reader
from ochrehoist.errors import InvalidInputError

REPEATS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.AT_MOST_ONCE,
}
BELOW = {"off": DownstreamScope.NONE, "shared": DownstreamScope.SHARED, "tier": DownstreamScope.TIER}
ADVICE = {
    "off": BackpressureSignal.NONE,
    "window": BackpressureSignal.WINDOW,
    "threshold": BackpressureSignal.THRESHOLD,
    "share_of": BackpressureSignal.WEIGHT,
}
PREEMPTION = {"off": Preemption.NONE, "abort": Preemption.DROP, "suspend": Preemption.PAUSE}
REQUIRED = object()
STEP = 1000  # tenants looked at in one step
STAY = 4000  # new tenants after which the collector is told that they stay

T = TypeVar("T")


# ---- settings


class Reader:
    """Reads one JSON object of the settings and names what is missing or unusable."""

    def __init__(self, data, path):
        if not isinstance(data, dict):
            raise InvalidInputError(f"setting {path or 'Settings'}: not an object")
        self.data, self.path = data, path

    def _get(self, key, default):
        value = self.data.get(key)
        if value is None:
            if default is REQUIRED:
                raise InvalidInputError(f"setting {self.path}{key}: missing")
            return default
        return value

    def _bad(self, key, value):
        return InvalidInputError(f"setting {self.path}{key}: unusable value {value!r}")

    def number(self, key, default=REQUIRED, least=0.0):
        value = self._get(key, default)
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
            or value < least
        ):
            raise self._bad(key, value)
        return value

    def whole(self, key, default=REQUIRED, least=0):
        value = self.number(key, default, least)
        if value != int(value):
            raise self._bad(key, value)
        return int(value)

    def flag(self, key, default=REQUIRED):
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise self._bad(key, value)
        return value

    def text(self, key, default=REQUIRED):
        value = self._get(key, default)
        if value is None or value is default:
            return value
        if not isinstance(value, str) or not value:
            raise self._bad(key, value)
        return value

    def choice(self, key, table, default=REQUIRED):
        value = self._get(key, default)
        if not isinstance(value, str) or value not in table:
            raise self._bad(key, value)
        return table[value]

    def items(self, key, default=REQUIRED):
        value = self._get(key, default)
        if not isinstance(value, list):
            raise self._bad(key, value)
        return value

    def part(self, key, default=REQUIRED):
        return Reader(self._get(key, default), f"{self.path}{key}.")


def _classes(top, info):
    listed = top.items("Classes")
    if not listed:
        raise InvalidInputError("setting Classes: unusable value []")
    calls = info.items("ClassCalls", [False] * len(listed))
    skips = info.items("ClassSkipWorth", [0.0] * len(listed))
    for name, values, kinds in (("ClassCalls", calls, bool), ("ClassSkipWorth", skips, int | float)):
        if len(values) != len(listed) or not all(isinstance(v, kinds) for v in values):
            raise InvalidInputError(f"setting FamilyInfo.{name}: unusable value {values!r}")
    out = []
    for at, data in enumerate(listed):
        c = Reader(data, f"Classes[{at}].")
        repeat = c.choice("Repeat", REPEATS)
        out.append(
            RequestClass(
                name=c.text("Name"),
                latency_objective_ns=c.whole("Slo", least=1),
                deadline_ns=c.whole("Deadline", least=1),
                priority_weight=c.number("Gain"),
                late_weight=c.number("LateValue", 0.0),
                idempotency=repeat,
                idempotency_window_ns=c.whole("Window", REQUIRED if repeat is Idempotency.KEYED else 0),
                objective_stretch=c.number("AimStretch", 0.0),
                calls_downstream=calls[at],
                fallback_weight=float(skips[at]),
            )
        )
    names = [c.name for c in out]
    if len(set(names)) < len(names):
        raise InvalidInputError(f"setting Classes: a name that comes twice in {names!r}")
    return tuple(out)


class Tenants:
    """Makes the elements of `Tenants`; one that is as before comes back as the same object."""

    fresh = 0  # tenants made by this process since the collector was told

    def __init__(self, before: tuple[Tenant, ...] = (), places: Mapping[str, int] | None = None) -> None:
        self.before, self.places = before, places or {}

    def take(self, data: Any, into: list[Any]) -> None:
        """Adds the tenant, a range for such as are as before, or the data where they can't be used.

        all_in_steps() tells why they can't.
        """
        at = self._place(data)
        if at is None:
            try:
                into.append(self._checked(data, ""))
            except InvalidInputError:
                into.append(data)
        elif into and type(into[-1]) is range and into[-1].stop == at:
            into[-1] = range(into[-1].start, at + 1)
        else:
            into.append(range(at, at + 1))

    def _place(self, data: Any) -> int | None:
        """That of the tenant of before with the same values."""
        if type(data) is not dict or type(name := data.get("Name")) is not str or name not in self.places:
            return None
        at, quota, share = self.places[name], data.get("QuotaPerS"), data.get("Fraction", 0.0)
        same = self.before[at].quota_per_s == quota and self.before[at].share == share
        return at if same and type(quota) is not bool and type(share) is not bool else None

    def _checked(self, data: Any, path: str) -> Tenant:
        """Raises InvalidInputError, which names the key after `path`."""
        t = Reader(data, path)
        tenant = Tenant(t.text("Name"), t.number("QuotaPerS"), t.number("Fraction", 0.0))
        Tenants.fresh += 1
        if Tenants.fresh == STAY:
            # Looking through tens of thousands of them again and again would hold up the loop. Not more often
            # than this: what is garbage by now, in cycles, stays too.
            Tenants.fresh = 0
            gc.freeze()
        return tenant

    def all_in_steps(
        self, listed: Sequence[Any]
    ) -> Generator[None, None, tuple[tuple[Tenant, ...], Mapping[str, int]]]:
        """All of them, and their places by name. `listed`: data, tenants, and ranges of those of before.

        Raises InvalidInputError.
        """
        at, moved, same = 0, len(self.places) != len(self.before), True
        parts: list[range | list[Tenant]] = []
        for number, item in enumerate(listed):
            if type(item) is range:
                moved |= item.start != at
                at += len(item)
                parts.append(item)
            else:
                if type(item) is not Tenant:
                    place = self._place(item)
                    item = self._checked(item, f"Tenants[{at}].") if place is None else self.before[place]
                was = self.before[at] if at < len(self.before) else None
                same &= item is was
                moved |= was is None or item.name != was.name
                at += 1
                if not parts or type(parts[-1]) is range:
                    parts.append([])
                parts[-1].append(item)
            if not (number + 1) % STEP:
                yield
        same &= at == len(self.before) and not moved
        tenants = self.before if same else (yield from spliced_in_steps(parts, self.before))
        if at == len(self.before) and not moved:
            return tenants, self.places
        places: dict[str, int] = {}
        for at, tenant in enumerate(tenants):
            first = places.setdefault(tenant.name, at)
            if first != at:
                raise _twice(tenant.name, at, first)
            if not (at + 1) % STEP:
                yield
        return tenants, places


def spliced_in_steps(
    parts: Sequence[range | list[T]], before: tuple[T, ...]
) -> Generator[None, None, tuple[T, ...]]:
    """All of the parts; a range stands for elements of before."""
    out: list[T] = parts[0] if len(parts) == 1 and type(parts[0]) is list else []
    for part in parts if not out else ():
        out += before[part.start : part.stop] if type(part) is range else part
    if len(out) <= STEP:
        return tuple(out)
    yield
    whole = tuple(out)
    out.clear()
    yield
    # Looked through now, it is so once, while in the caches; later it would be twice, and take longer.
    gc.collect(1)
    yield
    return whole


def _twice(name: str, at: int, first: int) -> InvalidInputError:
    error = InvalidInputError(f"setting Tenants[{at}].Name: {name!r} is the name of Tenants[{first}] too")
    error.first = first
    return error


def at_once(steps: Generator[None, None, T]) -> T:
    """What the steps come to, without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def read_settings(text):
    """The settings object of a CREATE message, as the controller's Settings."""
    try:
        data = at_once(json_reader.read_in_steps(text, {("Tenants",): Tenants().take}))
    except ValueError as error:
        raise InvalidInputError(f"message CREATE field Settings: {error}") from None
    return settings_from(data)


def settings_from(data):
    """The settings object, already parsed, as the controller's Settings."""
    return at_once(settings_in_steps(data, Tenants()))[0]


def settings_in_steps(
    data: Any, tenants: Tenants
) -> Generator[None, None, tuple[AdmissionSettings, dict[str, int]]]:
    """As settings_from(), and the places of the tenants by name. Tenants in `data` may be made already."""
    top = Reader(data, "")
    info, rules, limits = top.part("FamilyInfo"), top.part("Rules"), top.part("PolicyLimits", {})
    mix, prices = top.part("ResultMix"), top.part("Charges", {})
    below = info.choice("DependsOn", BELOW, "off")
    shared = REQUIRED if below is DownstreamScope.SHARED else 0
    advice = info.choice("Say", ADVICE, "off")
    classes = _classes(top, info)
    listed, places = yield from tenants.all_in_steps(top.items("Tenants", []))
    return AdmissionSettings(
        classes=classes,
        tenants=listed,
        objective=ObjectiveWeights(
            mix.number("Whole"),
            mix.number("WorstWindow", 0.0),
            mix.number("WorstClass", 0.0),
            mix.number("WorstTenant", 0.0),
        ),
        prices={k: v for k, v in prices.data.items() if isinstance(v, int | float)},
        fleet_size=top.whole("FleetSize", least=1),
        tier=top.whole("Stage", 0),
        caller_count=info.whole("Callers", 0),
        cores=info.whole("Cores", least=1),
        memory_kb=info.number("HeapKb"),
        run_memory_factor=info.number("RunFactor", least=1.0),
        key_kb=info.number("KeyKb", 0.0),
        cold_start=info.flag("JustStarted", False),
        warmup_ns=rules.whole("Cold"),
        warmup_speed=rules.number("ColdFrom"),
        collapse_multiple=rules.number("TipMultiple", least=1.0),
        collapse_after_ns=rules.whole("Fall"),
        drain_grace_ns=rules.whole("DrainGrace"),
        answer_grace_ns=rules.whole("GraceToAnswer"),
        propagates_deadline=info.flag("PassesDeadline", False),
        reports_disconnects=info.flag("TellsGone", False),
        marks_retries=top.part("ClientHabits", {}).flag("MarksRetry", False),
        weighs_work=top.choice("WorthBy", {"request": False, "work": True}, "request"),
        over_quota_weight=top.number("OverShareWorth", 1.0),
        downstream=below,
        downstream_share=info.number("FairCalls", shared),
        downstream_window_ns=info.whole("CallsOver", shared),
        abandoned_call_ns=info.whole("Lingers", 0),
        freshness_ns=info.whole("FreshFor", 0),
        backpressure=advice,
        backpressure_ttl_ns=info.whole("HeardFor", 0),
        relays_retry_after=limits.flag("RetryAfter", False),
        max_retry_after_ns=limits.whole("MaxRetryAfter", 0),
        preemption=info.choice("Preemption", PREEMPTION, "off"),
        readiness=info.flag("Readiness", False),
        deep_health_checks=info.flag("DeepChecks", False),
        idle_timeout_ns=info.whole("Idle", 0),
        clock_step_ns=top.whole("Step", least=1),
    ), places
