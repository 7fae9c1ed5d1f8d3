"""All decisions of ochrehoist. The types it takes and gives are in ochrehoist/interface.py.

The ordinary path is the LIGHT-APPROX table of the multiprogramming limit (docs/design.md); the rest guards.
"""

# ruff: noqa: I001
import random
from collections import deque
from dataclasses import replace
from heapq import heappop, heappush
from math import exp, inf

from ochrehoist.admission.actions import (
    AttachDuplicate,
    CancelRun,
    FailRequest,
    RejectRequest,
    ReleaseKey,
    RetainKey,
    SendBackpressure,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipDownstreamCall,
    StartDownstreamCall,
    StartRun,
)
from ochrehoist.admission.events import (
    ConcurrencyLimits,
    DownstreamCallEnded,
    DownstreamCallNeeded,
    DrainStarted,
    InstanceStarted,
    NEVER_RAN,
    Outcome,
    RequestAbandoned,
    RequestCompleted,
    RequestReceived,
    RunAdopted,
    TenantsReplaced,
    TimerFired,
)
from ochrehoist.admission.settings import (
    AdmissionSettings,
    RequestClass,
    BackpressureSignal,
    DownstreamScope,
    Idempotency,
    Preemption,
)


S = 1_000_000_000
BEAT = S // 10  # ns between sweeps of what falls due, advice and health: its cost grows with the fleet
QUOTA_S = 5.0  # s over which a rate is measured: arrivals, and a tenant's against its local share of quota
REBUILD = 5 * S  # ns between rebuilds of the table
ZERO_SHARE = 0.25  # p of H*(p), the design's default
SHORT, AGAIN = 8, S // 200  # queued requests that are ranked whole at every event; ns after which more are
MAX_QUEUE = 32  # rows of the table; longer queues read the last row, where K is pinned
MEMORY_S = 20.0  # s after which what was learned counts for 1/e
FADE, LEAST = exp(-BEAT / S / MEMORY_S), 0.1  # what a beat leaves of a count; it falls no further than this
NO_LACK, FORGET = (1.01 - 1.0) ** 2, 3000  # of one served in full; beats after which nobody's counts matter
PRIOR_S = 10.0  # s of observation at one n that weigh as much as the seed curve
SEED_FALL = 0.95  # share of the peak rate that the seed curve loses from the cores to the survivable crowd
CROWD_SHARE = 0.8  # of the survivable crowd: starts are paced to a mean, returns from calls come on top
FIT = 0.97  # of the memory: sizes are told exactly, the rest is for what is read in the same instant
STALL = 6.0  # finishes overdue, at the mean time to run, before work in hand counts as stalled
FULL_LOAD = 0.9  # share of the cores busy below which they count as idle
CALL_SHARE = 0.9  # of the calls that our share of what lies below lets us hold
MARGIN = 1.4  # mean runs left before the aim of what is started: three in four end in time, if exponential
RETURN = 0.25  # of its aim that a request turned away is told to wait at most: later tries end too late
HEARD_S = 10.0  # s a caller counts as sending to us after it was last heard
HASTE = 0.1  # of the aim: nothing is served sooner, what is taken back by then says nothing of patience
LEFT = 12  # of a caller's requests that it took back last, by which its patience is judged
SMALL, LARGE = 0.05, 30.0  # of the usual cost, the least and the most that is expected of a request
TARGET = 0.5  # of the mean aim that a request may spend with us before callers are told to send less
TOOK_S, UNREAD_S, CROWD_S, CALLS_S = 10.0, 0.7, 2.0, 1.5  # s, memory of the means of these names


class Recent:
    """A mean over the last seconds: what was seen `span` seconds ago counts for 1/e of what is seen now."""

    def __init__(self, span, first=0.0, weight=0.0):
        self.span, self.value, self.weight, self.at = span * S, first, weight, None

    def add(self, now, seen):
        self.weight = self.weight * exp(((self.at or now) - now) / self.span) + 1
        self.value, self.at = self.value + (seen - self.value) / self.weight, now


# ---- the service rate curve mu(n), learned from healthy finishes
class RateCurve:
    def __init__(self, cores, crowd, first_rate):
        self.cores, self.crowd, self.base = cores, crowd, first_rate
        self.time, self.done = [0.0] * (crowd + 2), [0.0] * (crowd + 2)

    def seed(self, n):
        return min(n / self.cores, 1 - SEED_FALL * (n - self.cores) / (self.crowd - self.cores))

    def decay(self, seconds):
        keep = exp(-seconds / MEMORY_S)
        self.time, self.done = [t * keep for t in self.time], [d * keep for d in self.done]
        offered = sum(t * self.seed(n) for n, t in enumerate(self.time))
        self.base = (sum(self.done) + self.base) / (offered + 1)

    def mu(self, n):
        n = min(n, self.crowd + 1)
        return max(1e-9, (self.done[n] + PRIOR_S * self.base * self.seed(n)) / (self.time[n] + PRIOR_S))


# ---- the table pi(Q,K), with at most one start more than keeps K
def light_approx(mu, max_q, max_k, p):
    """Rows Q, columns K: -1 start none, 0 start one, 1 start two. mu[n] is the rate at n running."""
    base = [0.0, 0.0]
    for k in range(2, max_k + 1):
        base.append(base[-1] + (k - 1) / mu[k - 1])
    cost, policy = [base], [[-1] * (max_k + 1)]
    for q in range(1, max_q + 1):
        row, acts = [0.0] * (max_k + 1), [0] * (max_k + 1)
        for k in range(1, max_k + 1):
            choices = [((q + k - 1) / mu[k] * (1 - p) + cost[q - 1][k], 0)]
            if k > 1:
                choices.append(((q + k - 1) / mu[k - 1] + row[k - 1], -1))
            if q > 1 and k < max_k:
                stay = (1 - p * p) * cost[q - 2][k + 1] + p * p * cost[q - 2][k]
                choices.append(((1 - p) ** 2 * (q + k - 1) / mu[k + 1] + stay, 1))
            row[k], acts[k] = min(choices)
        cost.append(row)
        policy.append(acts)
    return policy


QUEUED, CORE, ASKING, OUT, JOINED, TWIN, ENDED = range(7)


class Activity:  # of a class or a tenant: counts; and as of the last beat, what it might ask and lacked of it
    __slots__ = "asked", "served", "ran", "at", "may_ask", "lack"

    def __init__(self, ran, may_ask):
        self.asked = self.served = 1.0
        self.ran, self.at, self.may_ask, self.lack = ran, 0, may_ask, NO_LACK

    def after(self, beats):  # no max here and below: with thousands active that is half of the time
        left = FADE**beats
        asked, served = self.asked * left, self.served * left
        return asked if asked > LEAST else LEAST, served if served > LEAST else LEAST, self.ran * left

    def beat(self, number, most):  # brings it up to this one, however many it has not been looked at
        if (last := number - 1) >= self.at:
            asked, served, _ = self.after(last - self.at) if last > self.at else (self.asked, self.served, 0)
            self.may_ask = most = asked if asked <= most else most if most > LEAST else LEAST
            self.lack = (1.01 - served / most) ** 2 if served < most else NO_LACK
            (self.asked, self.served, self.ran), self.at = self.after(number - self.at), number


class Job:
    def __init__(self, r: RequestReceived, kind: RequestClass, now: int) -> None:
        self.r, self.kind, self.state, self.kb = r, kind, QUEUED, r.memory_kb
        self.ran = self.answered = self.kept = False
        self.heavy, self.size = (
            r.cost_multiple > 1,
            r.cost_multiple,
        )  # how many times the usual cost of its class
        self.tries = self.not_before = self.called = self.reserved = 0
        self.first, self.twins = None, []  # the queued try it waits for; the repeats that wait for it
        self.arrived = now - r.unread_ns
        self.due = now + r.remaining_ns if r.remaining_ns else self.arrived + kind.deadline_ns
        self.aim, self.tenant = (
            self.arrived + kind.latency_objective_ns,
            None,
        )  # the one in whose activity it counts


def of_open(handler):  # an event of a job: nothing is done about one that is over
    return lambda self, e: handler(self, self.jobs[e.id], e) if e.id in self.jobs else None


class AdmissionController:
    def __init__(self, settings: AdmissionSettings, seed: int) -> None:
        self.s = s = settings
        self.rng, n = random.Random(seed), len(s.classes)
        self.now = self.born = self.last = self.progress = 0
        self.jobs, self.past, self.queue, self.asking = {}, {}, {}, {}
        self.groups, self.ranked = {}, 0  # the queue by groups of like worth; when it was last ranked whole
        self.cores, self.out, self.used, self.keys = 0, 0, 0.0, {}
        self.expiries, self.calls_over, self.call_time = [], deque(), 0  # ended calls, ns spent and reserved
        self.mean_aim = sum(c.latency_objective_ns for c in s.classes) / n
        crowd = max(s.cores + 1, int(s.cores * s.collapse_multiple * CROWD_SHARE))
        self.curve = RateCurve(s.cores, crowd, s.cores / (self.mean_aim / S / 4))
        self.floor, self.climb, self.policy, self.rebuilt = s.cores, 1 + s.cores // 4, None, 0
        self.stated, self.tells = [[Recent(MEMORY_S, x, 3 * x) for _ in s.classes] for x in (0.0, 1.0)]
        self.took = [Recent(TOOK_S, self.mean_aim / 4, 3.0) for _ in s.classes]  # ns from start to finish
        self.latency, self.bad_calls = Recent(CALLS_S), Recent(CALLS_S, 0.0, 10.0)
        self.leave_at, self.stop_at, self.sent = None, None, 0.0  # `sent`: requests a second
        # Of tenants those known are that were active lately, and those lacking were not served in full. Each
        # begins as if it had used its quota of the start.
        self.kinds, self.quotas = [Activity(0.0, 1.0) for _ in s.classes], [t.quota_per_s for t in s.tenants]
        self.known, self.lacking, self.beats = {}, set(), 0
        self.retries, self.turned = Recent(CROWD_S, 0.0, 10.0), Recent(CROWD_S, 0.0, 10.0)
        self.unread = Recent(UNREAD_S)  # ns that requests lately waited to be read
        self.heard = {}  # when each caller was last heard, oldest first, forgotten after HEARD_S
        self.left, self.patience = {}, {}  # by caller: ages of what it took back; how long it waits
        self.said, self.idle, self.healthy, self.stalled, self.busy = -1.0, None, True, False, 0.0
        self.limits, self.on, self.heavies = (
            ConcurrencyLimits(),
            [0] * n,
            0,
        )  # told; running by class; heavy ones
        self.wanted = self.others = self.measured = 0  # what wants the cores; of it reads, checks, handshakes

    def handle(self, now, event):
        self.now, self.acts, self.came = now, [], None
        self._pass_time()
        self.HANDLERS[type(event)](self, event)
        if self.asking:
            self._call_below()
        if self.queue:
            self._fill()
        return self.acts

    def _on_started(self, event):
        self.born = self.last = self.progress = self.rebuilt = self.now
        self._rebuild()
        self.revalue()
        self.acts += [SetHealth(True, True), SetTimer(BEAT, 1)]

    def _pass_time(self):
        # The beat rings at least so often; a longer gap is a pause of the whole process, not time at work.
        if self.cores and not self.stalled and self._warmth() >= 1:
            self.curve.time[min(self.cores, self.curve.crowd + 1)] += min(self.now - self.last, BEAT) / S
        while self.calls_over and self.calls_over[0][0] <= self.now:
            self.call_time -= self.calls_over.popleft()[1]
        self.progress, self.last = self.progress + max(0, self.now - self.last - BEAT), self.now

    def _warmth(self):
        share = (self.now - self.born) / max(1, self.s.warmup_ns) if self.s.cold_start else 1.0
        return max(0.01, min(1.0, self.s.warmup_speed + (1 - self.s.warmup_speed) * share))

    def _ceiling(self):  # the running crowd kept under, on cores and out at calls
        return int(max(1, CROWD_SHARE * self.s.cores * (1 + (self.s.collapse_multiple - 1) * self._warmth())))

    def _rate(self):  # finishes a second with the cores full
        return self.curve.mu(max(self.floor, min(self.cores, self.curve.crowd)))

    # Past the cores, runs share them and take longer: a time learned in a crowd would, once it has gone, keep
    # away work that idle cores could end in time, and with it the finishes that would correct it.
    def _crowding(self, n):
        return max(1.0, min(n, self.floor) / self.s.cores)

    # ---- arrivals
    def _on_request(self, r: RequestReceived):
        j = self.jobs[r.id] = Job(r, self.s.classes[r.class_index], self.now)
        j.due = min(j.due, self.stop_at or j.due)
        if r.work_ns:
            self.stated[r.class_index].add(self.now, r.work_ns)
            j.size = max(SMALL, min(LARGE, r.work_ns / self.stated[r.class_index].value))
        self.used, self.sent = self.used + j.kb, self.sent + 1 / QUOTA_S
        self.retries.add(self.now, r.is_retry)
        self.unread.add(self.now, r.unread_ns)
        self.heard.pop(r.caller, None)
        self.heard[r.caller] = self.now
        self.kinds[r.class_index].asked += not r.is_retry
        if r.tenant_index is not None:
            j.tenant = r.tenant_index
            self.lacking.add(r.tenant_index)
            self.activity(r.tenant_index).asked += not r.is_retry
        j.aim = min(j.aim, j.due - BEAT)  # a try must end before its caller gives up, a beat before
        # A repeat is run only where the first is known never to have run: one effect, whatever callers send.
        first = self.jobs.get(r.duplicate_of) or self.past.get(r.duplicate_of)
        if first is not None and first is not j:
            j.aim = min(j.aim, first.aim)  # of the same client, which waits since then
            if first.state == TWIN:
                first = first.first
            if first.state == QUEUED and not self._fits(j):
                return self._refuse(j)
            if first.state == QUEUED:
                j.state, j.first = TWIN, first
                return first.twins.append(j)
            if first.ran or first.state != ENDED:
                return self._join(j)
        self._place(j)

    def _on_adopted(
        self, e: RunAdopted
    ):  # started by the instance before this one: counted, and never started here
        j = self.jobs[e.request.id] = Job(e.request, self.s.classes[e.request.class_index], self.now)
        j.ran, j.answered, j.kb = True, e.answered or e.ended, j.kb * self.s.run_memory_factor
        self.used, self.progress = self.used + j.kb, self.now
        self._move(j, CORE)
        if j.kind.idempotency is Idempotency.KEYED:
            self._keep(j)
        if e.ended:
            self._end(j)

    def _place(self, j: Job):
        late = self.leave_at is not None and j.arrived > self.leave_at + self.s.drain_grace_ns
        if self.stalled or late or not self._fits(j):
            return self._refuse(j)
        j.state = QUEUED
        self.queue[j.r.id] = self.groups.setdefault(self._like(j), {})[j.r.id] = self.came = j
        if j.kind.idempotency is Idempotency.KEYED:
            self._keep(j)

    def _succeed(
        self, j: Job
    ):  # its first try was let go before it ran: its repeats still wait for an answer
        twins = [t for t in j.twins if t.state == TWIN]
        if twins:
            twins[0].twins = twins[1:]
            for t in twins[1:]:
                t.first = twins[0]
            self._place(twins[0])

    # What one tenant sends past its share must not crowd out others, in a burst or all day. The part of its
    # starts here that is within it. Harm: where the fleet grew since the start, the share told is too large.
    def _inside(self, tenant, ran):
        share, rate = self.s.tenants[tenant].quota_per_s / self.s.fleet_size, ran if ran > 1e-9 else 1e-9
        return 1.0 if share >= rate else share / rate

    def _on_tenants(self, e: TenantsReplaced):
        self.quotas += [0.0] * (len(e.tenants) - len(self.quotas))
        self.s = replace(self.s, tenants=e.tenants)

    def activity(self, tenant):
        known = self.known.get(tenant)
        if known is None or known.at < self.beats:
            size, most = self.s.fleet_size, self.s.tenants[tenant].quota_per_s / self.s.fleet_size * MEMORY_S
            known = known or Activity(self.quotas[tenant] / size, min(1.0, max(LEAST, most)))
            known.beat(self.beats, most)
            self.known[tenant] = known
        return known

    def revalue(self):  # by class, and what tenants lack: those served in full, the same till they ask again
        s, kinds, lacking = self.s, self.kinds, {tenant: self.activity(tenant) for tenant in self.lacking}
        self.lack = sum(k.lack for k in lacking.values()) + (len(s.tenants) - len(lacking)) * NO_LACK
        self.lacking = {tenant for tenant, k in lacking.items() if k.served < k.asked}
        for known in kinds:
            known.beat(self.beats, inf)
        whole = sum(k.lack for k in kinds)
        offered = max(1e-9, sum(c.priority_weight * k.may_ask for c, k in zip(s.classes, kinds, strict=True)))
        self.gains = [
            (s.objective.overall + s.objective.worst_window) * c.priority_weight / offered
            + s.objective.worst_class * (k.lack / whole / k.may_ask)
            for c, k in zip(s.classes, kinds, strict=True)
        ]
        if not self.beats % FORGET:
            self.known = {t: known for t, known in self.known.items() if self.beats - known.at < FORGET}

    def _value(self, j: Job):  # what the goal gains by each unit of expected work
        tenant, plus, times = j.r.tenant_index, 0.0, 1.0
        if tenant is not None:
            inside = self._inside(tenant, (known := self.activity(tenant)).ran)
            plus = self.s.objective.worst_tenant * (known.lack / self.lack / known.may_ask)
            times = 1.0 if inside == 1 else inside**2 + (1 - inside**2) * self.s.over_quota_weight
        work = 1.0 if self.s.weighs_work else j.r.work_ns or self.took[j.r.class_index].value
        return (self.gains[j.r.class_index] + plus) * times / work

    def _rank(self, starts):
        # The queue, dearest first, by groups of like worth. What cannot end in time behind the rest is told
        # now, while its client can go elsewhere; an empty server always tries: a mean time learned in trouble
        # could keep work away. A long queue is ranked whole once each AGAIN only; between, what has just come
        # is judged, and what starts now. Harm: the others are told so much later.
        ranked, run, warm, n = [], S / self._rate(), self._warmth(), 0
        whole = len(self.queue) <= SHORT or self.now - self.ranked >= AGAIN
        self.ranked = self.now if whole else self.ranked
        groups = [list(group.values()) for group in self.groups.values()]
        dearest = (lambda g: (self._pool(g[0]), -self._value(g[0]))) if len(groups) > 1 else None
        for group in sorted(groups, key=dearest):
            took = MARGIN * self.took[group[0].r.class_index].value / warm
            n += len(group)
            if not whole and group[-1] is self.came and self._hopeless(group[-1], n, starts, took, run):
                self._refuse(group.pop())
            for j in group if whole or len(ranked) < starts else ():
                if not whole and len(ranked) >= starts:
                    break
                if self._hopeless(j, len(ranked) + 1, starts, took, run):
                    self._refuse(j)
                else:
                    ranked.append(j)
        return ranked

    def _hopeless(self, j: Job, n, starts, took, run):  # as the n-th of the queue, of which so many start now
        need = took * self._size(j) * self._crowding(self.cores + n) if n > 1 or self.cores + self.out else 0
        idle = n <= starts and self.cores < self.s.cores  # a core takes it now, and waits for nothing else
        need = need / MARGIN if idle else need + max(0, n - starts) * run
        last = min(j.aim, j.arrived + self._patience(j)) if self.patience else j.aim
        return self.stalled or self.now + need > last

    # Callers give up after a time of their own that no request tells, often the same for all they send. What
    # ends later is waste. Harm: what is taken back for other reasons counts as haste, for HEARD_S at most.
    def _on_left(self, j: Job):
        ages = self.left.setdefault(j.r.caller, deque(maxlen=LEFT))
        ages.append(self.now - j.arrived)
        if len(ages) > LEFT // 4:
            self.patience[j.r.caller] = sorted(ages)[len(ages) * 3 // 4], self.now + HEARD_S * S

    def _patience(self, j: Job):
        lasts, until = self.patience.get(j.r.caller, (0, 0))
        return lasts if self.now < until else j.kind.deadline_ns

    def _size(self, j: Job):  # alike in a class where what they state betters no guess, on the mean (ns)
        return j.size if self.tells[j.r.class_index].value > 0 else j.r.cost_multiple

    def _like(self, j: Job):  # what is of like worth, but for its age
        return j.r.class_index, j.r.tenant_index, j.heavy, self.s.weighs_work or j.r.work_ns

    def _pool(
        self, j: Job
    ):  # by limits told from outside: 0 within its floor, 1 past it, 2 where it has to wait
        e, kind = self.limits, j.r.class_index
        if e.class_caps and (self.on[kind] >= e.class_caps[kind] or j.heavy and self.heavies >= e.expensive):
            return 2
        return int(not e.class_caps or j.heavy or self.on[kind] >= e.class_floors[kind])

    def _release(self, j: Job):
        if self.queue.pop(j.r.id, None) is not None:
            group = self.groups[like := self._like(j)]
            del group[j.r.id]
            if not group:
                del self.groups[like]

    # ---- starting
    def _fill(self):
        ceiling = self._ceiling()
        if self.now - self.rebuilt >= REBUILD:
            self._rebuild()
        unread = int(self.sent * self.unread.value / S)  # they wait too, and take cores while read
        row = self.policy[min(len(self.queue) + unread, MAX_QUEUE)]
        # A gauge older than a run says nothing of the cores as they are: it would keep work from idle ones.
        fresh = unread and self.now - self.measured < min(t.value for t in self.took)
        on = self.cores + (min(self.others, unread) if fresh else 0)
        starts = max(row[min(on + 1, len(row) - 1)] + 1, min(self.floor, ceiling) - on, 1 - self.cores)
        most = min(ceiling - self.out - len(self.asking), self.limits.total) - self.cores
        starts = max(0, min(starts, most))
        for j in self._rank(starts)[:starts]:
            if self._pool(j) < 2 and not self._start(j):
                break

    def _rebuild(self):
        self.curve.decay((self.now - self.rebuilt) / S)
        self.rebuilt, rates = self.now, [self.curve.mu(n) for n in range(self.curve.crowd + 2)]
        self.policy = light_approx(rates, MAX_QUEUE, self.curve.crowd, ZERO_SHARE)

    def _start(self, j: Job):
        more = j.kb * (self.s.run_memory_factor - 1)
        if self.used + more + len(self.keys) * self.s.key_kb > self.s.memory_kb * FIT:
            return False
        self._release(j)
        self.progress = self.progress if self.cores else self.now
        self._move(j, CORE)
        j.ran, j.kb, self.used = True, j.kb + more, self.used + more
        self.acts.append(StartRun(j.r.id))
        for t in [t for t in j.twins if t.state == TWIN]:
            self._join(t)
        self.turned.add(self.now, False)
        if j.r.tenant_index is not None:
            self.activity(j.r.tenant_index).ran += 1 / MEMORY_S
        return True

    def _on_completed(self, j: Job, e: RequestCompleted):
        if e.outcome in NEVER_RAN:  # nothing is learned of it, and a later try may run
            j.ran = False
            return self._drop(j)
        if j.state == CORE:
            if e.outcome is Outcome.OK and not self.stalled:
                self.curve.done[min(self.cores, self.curve.crowd + 1)] += self._warmth() >= 1
                took, usual = (
                    e.duration_ns * self._warmth() / self._crowding(self.cores),
                    self.took[j.r.class_index],
                )
                self.tells[j.r.class_index].add(
                    self.now, abs(took - usual.value) - abs(took - usual.value * j.size)
                )
                usual.add(self.now, took / self._size(j))
            # Idle is what a gauge said, once a beat: by one of them the floor must not climb to the top.
            idle = self.busy < FULL_LOAD and self.wanted < self.s.cores and self.queue
            change = (self.climb > 0) if idle else -1
            self.climb -= max(0, change)
            self.floor = max(self.s.cores, min(self.curve.crowd, self.floor + change))
            self.progress = self.now
        if e.outcome is Outcome.OK and not j.answered and self.now <= j.aim:
            self.kinds[j.r.class_index].served += 1
            if j.tenant is not None:
                self.activity(j.tenant).served += 1
        j.answered = True
        self._end(j)

    def _move(self, j: Job, state):
        change = (state == CORE) - (j.state == CORE)
        self.cores, self.heavies = self.cores + change, self.heavies + change * j.heavy
        self.on[j.r.class_index] += change
        self.out += (state == OUT) - (j.state == OUT)
        self.asking.pop(j.r.id, None)
        if state == ASKING:
            self.asking[j.r.id] = j
        j.state = state

    def _end(self, j: Job):
        self._release(j)
        if j.state == OUT:  # its caller left, or it was answered: the call is abandoned and may linger
            self._call_over(j, True)
        self._move(j, ENDED)
        self.used, j.kb = self.used - j.kb, 0.0
        if j.ran and j.kind.idempotency is Idempotency.KEYED or j.kept:
            self.past[j.r.id] = j
            heappush(
                self.expiries,
                (self.now + 2 * j.kind.idempotency_window_ns + j.kind.deadline_ns, j.r.id, False),
            )
        self.jobs.pop(j.r.id, None)

    # ---- answers
    def _refuse(self, j: Job):
        away = self.stalled or self.leave_at is not None
        self.turned.add(self.now, not away)
        wait = self.unread.value + (len(self.queue) + 1) / self._rate() * S
        wait = (
            self.s.max_retry_after_ns
            if away
            else min(wait, j.kind.latency_objective_ns * RETURN, self.s.max_retry_after_ns)
        )
        # Retry storm: what others refuse too is not sent around; without marks our own share turned away must
        # tell. What is over its tenant's share is worth little anywhere. Harm: where only this one is full,
        # or slow, what others had room for is lost.
        full = 2 * (self.retries.value if self.s.marks_retries else self.turned.value)
        over = (
            j.r.tenant_index is not None
            and self._inside(j.r.tenant_index, self.activity(j.r.tenant_index).ran) < 0.5
        )
        stay = not away and (j.r.is_retry or over or self.rng.random() < full)
        self.acts.append(RejectRequest(j.r.id, int(wait), stay))
        self._drop(j)

    def _drop(self, j: Job):
        if j.kept:
            self.acts.append(ReleaseKey(j.r.id))
            self.keys.pop(j.r.id, None)
            j.kept = False
        j.answered = True
        self._end(j)
        self._succeed(j)

    def _fail(self, j: Job):
        self.acts.append(FailRequest(j.r.id))
        if j.state in (QUEUED, JOINED, TWIN):
            return self._drop(j)
        j.answered = True
        if j.state == CORE and self.s.preemption is not Preemption.NONE:
            self.acts.append(CancelRun(j.r.id))

    def _on_gone(self, j: Job, e: RequestAbandoned):
        if not j.answered and e.gave_up and self.now - j.arrived > j.kind.latency_objective_ns * HASTE:
            self._on_left(j)
        j.answered = True
        if j.state in (QUEUED, JOINED, TWIN):
            self._drop(j)

    # ---- calls
    def _on_call_needed(self, j: Job, e: DownstreamCallNeeded):
        if j.state == CORE:
            self._move(j, ASKING)
            self.progress, j.not_before, j.tries = self.now, self.now, 0

    def _call_below(self):
        s = self.s
        for j in [j for j in self.asking.values() if not j.answered]:
            sick = self.bad_calls.value > 0.5 or self.now + self.latency.value > j.aim
            # Each call reserves its longest time and gets half of what is left of the share over its period:
            # no window holds more than the share, whatever ends the calls. For a slow-down of all, callers
            # that leave, a cold fleet that calls more. Harm: a long one is cut off though others leave room.
            spare = (
                CALL_SHARE * s.downstream_share * s.downstream_window_ns
                - self.call_time
                - s.abandoned_call_ns
            ) / 2
            if s.downstream is DownstreamScope.SHARED:
                room = spare > s.clock_step_ns and (spare > self.latency.value or not self.call_time)
            else:
                room = self.out + self.cores < self._ceiling()
            if j.kind.fallback_weight and (not room or j.tries or (sick and self.rng.random() > 0.1)):
                self.acts.append(SkipDownstreamCall(j.r.id))
                self._move(j, CORE)
            elif room and self.now >= j.not_before:
                stop = j.due if not j.kind.fallback_weight or self.now >= j.aim else j.aim
                if s.downstream is DownstreamScope.SHARED:
                    stop = min(stop, self.now + int(spare))
                    j.called, j.reserved = self.now, stop + s.clock_step_ns + s.abandoned_call_ns - self.now
                    self.call_time += j.reserved
                self.acts.append(StartDownstreamCall(j.r.id, stop))
                self._move(j, OUT)
                j.tries += 1

    def _on_call_ended(self, j: Job, e: DownstreamCallEnded):
        if j.state != OUT:
            return
        self._call_over(j, e.outcome is not Outcome.OK and e.outcome not in NEVER_RAN)
        self.bad_calls.add(self.now, e.outcome is not Outcome.OK)
        if e.outcome is Outcome.OK:
            self.latency.add(self.now, e.duration_ns)
            self.progress = self.now
            return self._move(j, CORE)
        self._move(j, ASKING)
        j.not_before = self.now + BEAT // 4 * 2 ** min(j.tries, 5)
        final = e.outcome not in NEVER_RAN and (
            j.kind.idempotency is not Idempotency.IDEMPOTENT or j.tries > 1
        )
        if final and not j.answered and not j.kind.fallback_weight:
            self._fail(j)

    def _call_over(self, j: Job, abandoned):  # what it held of the share is given back one period later
        if self.s.downstream is DownstreamScope.SHARED:
            ends = self.now + (self.s.abandoned_call_ns if abandoned else 0)
            self.call_time += ends - j.called - j.reserved
            self.calls_over.append((ends + self.s.downstream_window_ns, ends - j.called))

    # ---- keys and memory
    def _fits(self, j: Job):
        s, keys = self.s, len(self.keys) + (j.kind.idempotency is Idempotency.KEYED)
        spare = max(0, s.cores - self.cores - self.out - len(self.asking)) * j.kb * (s.run_memory_factor - 1)
        return self.used + keys * s.key_kb + spare <= s.memory_kb * FIT

    def _keep(self, j: Job):
        left = max(
            self.s.clock_step_ns, j.arrived + j.kind.idempotency_window_ns + self.s.clock_step_ns - self.now
        )
        self.acts.append(RetainKey(j.r.id, left))
        j.kept, self.keys[j.r.id] = True, j
        heappush(self.expiries, (self.now + left, j.r.id, True))

    def _join(self, j: Job):
        if self.used + len(self.keys) * self.s.key_kb > self.s.memory_kb * FIT or j.due < self.now + BEAT:
            return self._fail(j)
        j.state = JOINED
        self.acts.append(AttachDuplicate(j.r.id))

    def _on_leave(self, e: DrainStarted):
        self.leave_at, self.stop_at = self.now, self.now + max(0, e.remaining_ns - 2 * BEAT)
        for j in self.jobs.values():
            j.due = min(j.due, self.stop_at)

    # ---- sweep, signals and health
    def _on_alarm(self, e: TimerFired):
        self.busy, self.wanted = e.gauges.get("cpu_busy", 1.0), e.gauges.get("runnable", 0)
        self.others, self.measured = int(max(0, self.wanted - self.cores)), self.now
        self.climb = 1 + self.s.cores // 4
        for j in list(self.jobs.values()):
            if j.due - BEAT <= self.now and not j.answered:
                self._fail(j)
        self.acts.append(SetTimer(BEAT, 1))
        self.beats += 1
        self.revalue()
        self.sent *= exp(-BEAT / S / QUOTA_S)
        while self.heard and self.now - next(iter(self.heard.values())) > HEARD_S * S:
            caller = next(iter(self.heard))
            for known in (self.heard, self.left, self.patience):
                known.pop(caller, None)
        while self.expiries and self.expiries[0][0] <= self.now:  # the entry, then all memory
            _, job_id, in_table = heappop(self.expiries)
            (self.keys if in_table else self.past).pop(job_id, None)
        # A hang, or a machine slowed by far: new work goes elsewhere, nothing is learned. What ends in two
        # beats was none, but a pause of ours. Harm: a healthy server whose every core has very long work.
        limit = sum(t.value for t in self.took) / len(self.took) * (1 + STALL / max(1, self.cores))
        self.stalled = self.cores >= self.s.cores and self.now - self.progress > max(limit, 2 * BEAT)
        healthy = not self.stalled and self.leave_at is None
        if healthy != self.healthy:
            self.healthy = healthy
            self.acts.append(SetHealth(healthy, True))
        self._advise(healthy)
        # Idle connections that no caller comes back to fill the table, take cores, keep a rush out. Where
        # half come back in time (all taken alike) handshakes cost more. Harm: where few callers send most.
        back = 1 - exp(-self.sent * self.s.idle_timeout_ns / S / max(1, self.s.caller_count))
        idle = 0 if back > 0.5 else min(self.s.idle_timeout_ns, BEAT)
        if idle != self.idle:
            self.idle = idle
            self.acts.append(SetIdleTimeout(idle))

    def _advise(self, healthy):
        room = self._rate() * (TARGET * self.mean_aim - self.unread.value) / S
        window = max(room, 1.0) / max(1, len(self.heard)) if healthy else 0.0
        level = 0.0 if healthy else 1 - 1 / len(self.s.classes)
        value = {BackpressureSignal.THRESHOLD: level, BackpressureSignal.WEIGHT: float(healthy)}.get(
            self.s.backpressure, window
        )
        if self.s.backpressure is not BackpressureSignal.NONE and abs(value - self.said) > 0.02 * self.said:
            self.said = value
            self.acts.append(SendBackpressure(value))

    HANDLERS = {
        InstanceStarted: _on_started,
        RequestReceived: _on_request,
        RunAdopted: _on_adopted,
        RequestCompleted: of_open(_on_completed),
        DownstreamCallNeeded: of_open(_on_call_needed),
        DownstreamCallEnded: of_open(_on_call_ended),
        RequestAbandoned: of_open(_on_gone),
        TimerFired: _on_alarm,
        DrainStarted: _on_leave,
        ConcurrencyLimits: lambda self, e: setattr(self, "limits", e),
        TenantsReplaced: _on_tenants,
    }
