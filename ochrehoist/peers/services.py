"""Judgements on the services below: by what this worker sees, and by what several others see. No I/O;
seconds.

Own fresh evidence goes before hearsay. Hearsay counts from two on, and not from one to whom most services
look bad: its own link is. Never more than a stated part is left out, and where all are slow none is. Each
judgement has an end; a service left out is tried by few, and taken back in steps. Time in which this worker
itself stood still is no service's.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from ochrehoist.peers.wire import HealthObservation

OK, SLOW, FAILING, GONE = "ok", "slow", "failing", "gone"
BAD = frozenset({SLOW, FAILING, GONE})
LATELY = 2.0  # s that one result is evidence
FRESH_S = 0.7  # s that own good results go before what others say
NEWEST = 8  # results that count, of these: what was well before must not hide what is not now
ENOUGH = 3  # results that make evidence
KNOWN = 20  # results by which the usual time of a class at a service is known
SLOW_TIMES = 5.0  # the usual
SLOW_S = 0.03  # s more than the usual besides
END_S = 3.0  # s that evidence of others counts
OUT_S = 1.0  # s that a service is left out before it is tried,
MOST_OUT_S = 8.0  # doubled after each trial that fails, up to this
BACK = 3  # good results in a row that end a trial
STEPS = (0.1, 0.3, 0.6, 1.0)  # of its part, on the way back
STEP_S = 0.5
OWN = "usual"  # how the reason of a judgement by own evidence ends
STILL_S = 0.12  # between two looks, from which on this worker was stopped or starved itself
BASE_OVER = 40  # results that the usual time of a class is taken over


@dataclass(slots=True)
class Result:
    at: float
    verdict: str  # OK, FAILING or GONE
    took: float = 0.0
    usual: float = 0.0


@dataclass(slots=True)
class Service:
    """One service as this worker sees it."""

    results: deque[Result] = field(default_factory=lambda: deque(maxlen=64))
    open: dict[Hashable, tuple[float, str]] = field(default_factory=dict)  # since when, and the class
    means: dict[str, tuple[float, int]] = field(default_factory=dict)  # time by class, and of how many
    standing: str = "in"  # in, out, trial, back
    since: float = 0.0
    why: str = ""
    out_for: float = OUT_S
    trial: Hashable | None = None
    in_a_row: int = 0
    trials: int = 0
    step: int = 0
    by_others: bool = False  # left out for what others said


class Judge:
    """`most_out`: of the services, the part that may be left out."""

    def __init__(self, services: Iterable[str], most_out: float, seed: int) -> None:
        self.services: dict[str, Service] = {}
        self.most_out, self.rng = most_out, Random(seed)
        self.hearsay: Callable[[], Mapping[str, tuple[float, list[HealthObservation]]]] = dict
        self.fleet: Callable[[], int] = lambda: 1
        self.usuals: dict[str, float | None] = {}  # by class, as of the last look
        self.changes: deque[tuple[float, str, str, str]] = deque(maxlen=100)
        self.looked: float | None = None  # None: nobody looks regularly, so nothing is known of stops
        self.configure(services)

    def configure(self, services: Iterable[str]) -> None:
        self.services = {name: self.services.get(name) or Service() for name in services}

    # ---- what happens
    def beat(self, now: float, every: float) -> None:
        """Called `every` so many s while this worker runs; what is over that, it stood still itself."""
        self._discount(now, every)
        self.looked = now

    def _discount(self, now: float, every: float = 0.0) -> None:
        """What a stopped or starved worker did not read is no sign of a slow service."""
        if self.looked is None or now - self.looked < STILL_S:
            return
        still = now - self.looked - every
        self.looked = now
        for s in self.services.values():
            s.open = {ticket: (min(now, at + still), cls) for ticket, (at, cls) in s.open.items()}

    def began(self, name: str, ticket: Hashable, cls: str, now: float) -> None:
        s = self.services.get(name)
        if s is not None:
            self._discount(now)
            s.open[ticket] = now, cls
            if s.standing in ("out", "trial") and s.trial is None:
                s.standing, s.trial = "trial", ticket
                s.trials += 1

    def ended(self, name: str, ticket: Hashable, verdict: str, now: float) -> None:
        """`verdict`: OK, FAILING (an answer that can't be used, or none) or GONE (out of reach)."""
        s = self.services.get(name)
        if s is None:
            return
        self._discount(now)  # the answer may be read before the first beat after a stop
        began, cls = s.open.pop(ticket, (now, ""))
        took = now - began
        usual = self.usual(cls)
        s.results.append(Result(now, verdict, took, usual or took))
        if verdict == OK:
            mean, n = s.means.get(cls, (0.0, 0))
            n = min(n + 1, BASE_OVER)
            # What is slow moves the usual a little only: where all are, all are found so before it has moved.
            s.means[cls] = mean + (took - mean) / (BASE_OVER if self._is_slow(took, usual) else n), n
        if s.trial == ticket:
            s.trial = None
            good = verdict == OK and not self._is_slow(took, usual)
            s.in_a_row = s.in_a_row + 1 if good else 0
            if s.in_a_row >= BACK:
                self._move(s, name, "back", "trials went well", now)
                s.step, s.out_for = 0, OUT_S
                s.results.clear()
            elif not good:
                s.out_for = min(MOST_OUT_S, 2 * s.out_for)
                self._move(s, name, "out", f"trial: {verdict if verdict != OK else SLOW}", now)

    def usual(self, cls: str) -> float | None:
        """The time of a class at the middle one of the services, the better of two: where all slow down, so
        does the usual."""
        if cls not in self.usuals:
            known = [s.means[cls] for s in self.services.values() if cls in s.means]
            means = sorted(mean for mean, n in known if n >= KNOWN)
            self.usuals[cls] = means[(len(means) - 1) // 2] if means else None
        return self.usuals[cls]

    @staticmethod
    def _is_slow(took: float, usual: float | None) -> bool:
        return usual is not None and took > SLOW_TIMES * usual and took > usual + SLOW_S

    # ---- evidence
    def seen(self, name: str, now: float) -> HealthObservation | None:
        """What this worker saw lately; None where that is too little."""
        s = self.services[name]
        lately = [r for r in list(s.results)[-NEWEST:] if now - r.at <= LATELY]
        late = [(at, self.usual(cls)) for at, cls in s.open.values()]
        late = [(at, usual) for at, usual in late if self._is_slow(now - at, usual)]
        if late:  # what ended before the first of them began tells nothing of now
            first = min(at for at, _ in late)
            lately = [r for r in lately if r.at >= first]
        overdue = [(now - at) / usual for at, usual in late]
        seen = len(lately) + len(overdue)
        if not seen:
            return None
        gone = sum(r.verdict == GONE for r in lately)
        bad = sum(r.verdict == FAILING for r in lately)
        well = [r for r in lately if r.verdict == OK]
        ratios = [r.took / max(1e-4, r.usual) for r in well] + overdue
        slow = len(overdue) + sum(self._is_slow(r.took, r.usual) for r in well)
        age = int(1000 * (now - lately[-1].at)) if lately and not overdue else 0
        ratio = sum(ratios) / len(ratios) if ratios else 1.0
        if gone >= 2 and lately[-1].verdict == GONE:
            return HealthObservation(name, GONE, seen, age, ratio)
        if seen < ENOUGH and not (overdue and len(overdue) == seen):
            return None
        if 2 * (bad + gone) >= seen:
            return HealthObservation(name, FAILING, seen, age, ratio)
        if slow and ratio >= SLOW_TIMES:  # one may be a costly request: see `proves`
            return HealthObservation(name, SLOW, seen, age, ratio)
        return HealthObservation(name, OK, seen, age, ratio)

    @staticmethod
    def proves(own: HealthObservation) -> bool:
        """Whether a worker's bad evidence is enough by itself; else it counts as one observer's."""
        return (
            own.status != SLOW
            or own.sample_count >= ENOUGH
            or (own.sample_count > 1 and own.latency_ratio >= 2 * SLOW_TIMES)
        )

    def evidence(self, now: float) -> list[HealthObservation]:
        return [e for name in self.services if (e := self.seen(name, now)) is not None]

    def heard(self, name: str, own: HealthObservation | None = None) -> tuple[str, list[str]]:
        """What others say of it, by the observers whose own link seems well, and who they are; with what this
        worker saw, where that alone proves nothing."""
        verdicts: Counter = Counter()
        who: list[str] = []
        if own is not None and own.status in BAD:
            verdicts[own.status] += 1
            who.append(f"itself:{own.status}")
        for member, (age, told) in self.hearsay().items():
            fresh = [e for e in told if age + e.age_ms / 1000 <= END_S]
            if len(fresh) > 1 and 2 * sum(e.status in BAD for e in fresh) > len(fresh):
                continue
            for e in fresh:
                if e.service == name:
                    verdicts[e.status] += 1
                    who.append(f"{member}:{e.status}")
        bad = sum(n for v, n in verdicts.items() if v in BAD)
        if bad >= 2 and bad > verdicts[OK]:
            return max((v for v in verdicts if v in BAD), key=lambda v: verdicts[v]), who
        return OK if verdicts[OK] else "", who

    def _well_again(self, name: str, since: float) -> bool:
        """Whether more have seen it well in the last `since` s than have not."""
        good = bad = 0
        for age, told in self.hearsay().values():
            for e in told:
                if e.service == name and age + e.age_ms / 1000 < since:
                    good, bad = good + (e.status == OK), bad + (e.status in BAD)
        return good > bad

    # ---- judgement
    def look(self, now: float) -> None:
        """Judges all services anew: several times a second."""
        self.usuals.clear()
        bad: list[tuple[float, str, str]] = []
        for name, s in self.services.items():
            if s.standing == "back" and now - s.since > STEP_S * (s.step + 1):
                s.step += 1
                if s.step >= len(STEPS) - 1:
                    self._move(s, name, "in", "well again", now)
            own = self.seen(name, now)
            if s.standing in ("out", "trial"):
                if s.trial is not None and s.trial in s.open:
                    at, cls = s.open[s.trial]
                    if self._is_slow(now - at, self.usual(cls)) and now - at > 1.0:
                        s.trial, s.in_a_row = None, 0
                        s.out_for = min(MOST_OUT_S, 2 * s.out_for)
                        self._move(s, name, "out", "trial: slow", now)
                # Others, by trials of their own, have found well again what they said to be bad.
                if s.by_others and now - s.since > s.out_for and self._well_again(name, now - s.since):
                    s.step, s.out_for = 0, OUT_S
                    s.results.clear()
                    self._move(s, name, "back", "well for others", now)
                continue
            bad_here = own is not None and own.status in BAD
            if own is not None and (self.proves(own) if bad_here else own.age_ms <= FRESH_S * 1000):
                if bad_here:
                    bad.append(
                        (
                            math.inf if own.status == GONE else own.latency_ratio,
                            name,
                            f"{own.status}: {own.sample_count} results of its own, "
                            f"{own.latency_ratio:.1f} times the {OWN}",
                        )
                    )
                continue
            verdict, who = self.heard(name, own)
            if verdict in BAD:
                bad.append((1.0, name, f"{verdict}: {', '.join(who)}"))
        self._leave_out(bad, now)

    def _leave_out(self, bad: list[tuple[float, str, str]], now: float) -> None:
        out = sum(s.standing in ("out", "trial") for s in self.services.values())
        room = int(self.most_out * len(self.services)) - out
        if out + len(bad) >= len(self.services) and not out:
            return  # all of them: nothing would be won
        if room <= 0:
            bad = [b for b in bad if self.heard(b[1])[0] in BAD]
            room += self._make_room(now) if bad else 0
        for _, name, why in sorted(bad, reverse=True)[: max(0, room)]:
            s = self.services[name]
            s.in_a_row, s.trial = 0, None
            s.by_others = not why.endswith(OWN)
            self._move(s, name, "out", why, now)

    def _make_room(self, now: float) -> int:
        """One that this worker alone left out gives its place to one that several see to be bad."""
        for name, s in self.services.items():
            if s.standing in ("out", "trial") and not s.by_others and self._well_again(name, END_S):
                s.step, s.out_for, s.trial = 0, OUT_S, None
                s.results.clear()
                self._move(s, name, "back", "well for others, and another is bad for several", now)
                return 1
        return 0

    def _move(self, s: Service, name: str, standing: str, why: str, now: float) -> None:
        s.standing, s.since, s.why = standing, now, why
        self.changes.append((now, name, standing, why))

    # ---- choice
    def order(self, busy: Mapping[str, int], now: float) -> list[str]:
        """The services to try, the best first. One left out comes first only where it is this worker's turn
        to try it, and last otherwise: better than none. Asked for each request: it judges nothing anew."""
        if len(self.services) == 1:
            return list(self.services)
        usable, rest = [], []
        for name, s in self.services.items():
            load = busy.get(name, 0) + 1
            if s.standing in ("out", "trial"):
                turn = (
                    s.trial is None
                    and now - s.since >= s.out_for
                    and (s.in_a_row > 0 or self.rng.random() < 1.0 / max(1, self.fleet()))
                )
                if s.trial is None and now - s.since >= s.out_for and not turn:
                    s.since = now - s.out_for + 0.1  # another throw a little later
                (usable if turn else rest).append((0 if turn else load, self.rng.random(), name))
            else:
                part = STEPS[min(s.step, len(STEPS) - 1)] if s.standing == "back" else 1.0
                usable.append((load / part, self.rng.random(), name))
        return [name for *_, name in sorted(usable) + sorted(rest)]

    def history(self, now: float) -> list[tuple[float, str, str, str]]:
        """The latest changes: how long ago (s), which, to what, and why."""
        return [(round(now - at, 2), name, standing, why) for at, name, standing, why in self.changes]

    def view(self, now: float) -> dict[str, dict]:
        out = {}
        for name, s in self.services.items():
            own = self.seen(name, now)
            out[name] = {
                "standing": s.standing,
                "for_s": round(now - s.since, 1) if s.since else None,
                "why": s.why,
                "trials": s.trials,
                "open": len(s.open),
                "own": [own.status, own.sample_count, round(own.latency_ratio, 2)] if own else None,
                "heard": self.heard(name)[1],
            }
            if s.standing in ("out", "trial"):
                out[name]["tried_in_s"] = round(max(0.0, s.since + s.out_for - now), 1)
        return out
