"""The fleet as discrete events on virtual time: the real core and decision module of each worker, cores that
are shared, routers and clients with their habits, a list that lags. One seed, one result.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.config.fleet_description import Fleet, Placed
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import (
    CallerDisconnected,
    ExecutorReady,
    GaugesMeasured,
    RequestArrived,
    RunCompleted,
)
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.plan.cores import Cores, Machine
from ochrehoist.plan.demand import Streams, Wish, drawn, speeds
from ochrehoist.plan.outcome import End, Quota, Tally, WorkerCount
from ochrehoist.plan.routing import UNREACHABLE_S, Answer, Call, Next, Router, after
from ochrehoist.plan.worker_settings import admission_settings

EPOCH = 1_700_000_000  # s; the workers' Unix clock at the start
NEAR = 0.0003  # s one way within a site
NS = 1_000_000_000
RESULT_BYTES = 64_000_000
LEAST = 1e-6  # s between two looks at a worker


@dataclass(frozen=True)
class Trouble:
    """At `at` the workers `which` are lost; they come back cold at `back`, if ever."""

    at: float
    which: tuple[int, ...]
    back: float | None = None
    name: str = ""


class Quiet:
    """The log of a worker that nobody reads, but for its faults."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def exception(self, event: str, **more: Any) -> None:
        self.faults.append(f"{event} {more}")

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


class Waker:
    def set(self) -> None: ...

    def wait(self, timeout: float | None) -> bool:
        raise AssertionError("nothing waits on virtual time")


class Try:
    """One request at one worker; the way back of its answer."""

    __slots__ = ("sim", "call", "worker", "router", "id", "answered", "again", "came", "read")

    def __init__(self, sim: "Simulation", call: Call, worker: "Worker", number: int) -> None:
        self.sim, self.call, self.worker = sim, call, worker
        self.router, self.id, self.answered, self.read = call.router, f"{number:x}", False, False
        self.again, self.came = call.tries > 1, 0.0

    def tell(self, answer: Answer, backoff: float = 0.0, final: bool = False) -> None:
        if not self.answered:
            self.answered = True
            self.worker.tries.pop(self.id, None)
            self.sim.later(
                self.sim.delay(self.router, self.worker.number),
                partial(self.sim.answer, self, answer, backoff, final),
            )

    # ---- the core's way back
    def served(self, result: RunResult) -> bool:
        self.worker.count.served += 1
        self.tell(Answer.SERVED)
        return True

    def rejected(self, backoff: int, no_retry: bool) -> None:
        self.worker.count.refused += 1
        self.tell(Answer.REFUSED, backoff / NS, no_retry)

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        self.worker.count.failed += 1
        self.tell(Answer.FAILED)

    def origin(self) -> tuple[str, str]:
        return "model", ""


class Worker:
    """One worker: its core as it is, on a machine that is modelled; the core's Executor and Listener."""

    def __init__(self, sim: "Simulation", number: int, placed: Placed, speed: float) -> None:
        self.sim, self.number, self.kind = sim, number, sim.fleet.kind(placed.kind)
        k = self.kind
        self.machine = Machine(k.cores, speed, k.slow_from, k.slow_to, k.crowd, k.cold_from, k.cold_s)
        self.count = WorkerCount(placed.address, placed.kind, placed.site, speed)
        self.log, self.read_s = Quiet(), sim.fleet.intake.share * sim.fleet.mean_work_s
        self.busy_s = 0.0  # core seconds, of the lives before this one
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        sim = self.sim
        self.up, self.planned = True, math.inf
        self.cores = Cores(self.machine, sim.now, cold)
        self.unread: deque[Try] = deque()
        self.reading, self.running = 0, 0
        self.tries: dict[str, Try] = {}  # that came and are not answered
        self.callers: dict[int, float] = {}  # connections, and when each was last used
        self.owner = CoreActor(
            admission_settings(sim.fleet, self.kind, cold),
            sim.seed * 1000 + self.number,
            Waker(),
            self._clock,
            self._clock,
            self.log,
            RESULT_BYTES,
            self._measure,
        )
        self.owner.register_listener(self)
        self.owner.post(ExecutorReady(cold, 0))
        self.settle()

    def lose(self) -> None:
        """It is gone at once, with all that it had in hand."""
        self.up = False
        self.busy_s += self.cores.busy_s
        for t in list(self.tries.values()):
            t.tell(Answer.FAILED)

    def count_busy(self) -> None:
        """Up to now, of all the time since the start."""
        total = self.busy_s + (self.cores.busy_s if self.up else 0.0)
        self.count.busy = total / (self.sim.now * self.machine.cores)

    def _clock(self) -> int:
        return int((EPOCH + self.sim.now) * NS)

    def _measure(self) -> None:
        share = self.cores.busy_share(self.sim.now)
        self.owner.post(GaugesMeasured({"cpu_busy": share, "runnable": float(len(self.cores.running))}))

    # ---- what the core wants
    def start(self, request: InboundRequest) -> None:
        self.running += 1
        self.count.peak_running = max(self.count.peak_running, self.running)
        self.cores.start(("run", request.id, self.sim.now), request.payload)

    def health_changed(self, good: bool) -> None:
        self.sim.list_changed(self.number, good)

    def idle_timeout_changed(self, hold_for: int) -> None: ...

    def shutdown_started(self, remaining: int) -> None: ...

    # ---- what comes
    def arrives(self, t: Try) -> None:
        if not self.up:
            return t.tell(Answer.UNREACHABLE)
        self.count.tries += 1
        self.settle()
        self.tries[t.id], t.came = t, self.sim.now
        self._connected(t.router)
        self.unread.append(t)
        self._read()
        self.settle()

    def abandoned(self, t: Try) -> None:
        """Its caller waits no more."""
        if self.up and self.tries.pop(t.id, None) is not None:
            t.answered = True
            if t.read:
                self.owner.post(CallerDisconnected(t.id))
                self.settle()

    def _connected(self, caller: int) -> None:
        now, idle = self.sim.now, self.sim.fleet.intake.idle_s
        if now - self.callers.get(caller, -math.inf) > idle and self.kind.handshake_ms:
            self.cores.start(("shake", caller, now), self.kind.handshake_ms / 1000)
        self.callers[caller] = now
        if len(self.callers) >= self.kind.connections:
            self.callers = {c: at for c, at in self.callers.items() if now - at <= idle}
        full = len(self.callers) >= self.kind.connections
        self.cores.tax = self.kind.full_table_tax if full else 0.0

    def _read(self) -> None:
        """Each core reads one request at a time; the others wait unread."""
        while self.unread and self.reading < self.machine.cores:
            t = self.unread.popleft()
            if t.answered:  # gave up before it was read
                continue
            self.reading += 1
            self.cores.start(("read", t, self.sim.now), self.read_s)

    def settle(self) -> None:
        """All that has happened up to now, and when to look again."""
        if not self.up:
            return
        now, owner = self.sim.now, self.owner
        for kind, what, since in self.cores.advance(now):
            if kind == "read":
                self.reading -= 1
                if not what.answered:
                    what.read = True
                    owner.post(RequestArrived(self._inbound(what)))
            elif kind == "run":
                self.running -= 1
                owner.post(RunCompleted(what, RunResult(Outcome.OK), int((now - since) * NS)))
        self._read()
        owner.step()
        while owner.inbox:
            owner.step()
        due = owner.deadlines.next_due_ns()
        moments = self.cores.next_end(), None if due is None else due / NS - EPOCH
        times = [t for t in moments if t is not None]
        if times:
            at = max(now + LEAST, min(times))
            if at < self.planned - 1e-12 or self.planned <= now:
                self.planned = at
                self.sim.at(at, partial(self._look, at, owner))

    def _look(self, at: float, owner: CoreActor) -> None:
        if owner is self.owner and at == self.planned:
            self.planned = -math.inf
            self.settle()

    def _inbound(self, t: Try) -> InboundRequest:
        call, settings, fleet = t.call, self.owner.settings, self.sim.fleet
        cls = settings.classes[call.cls]
        tenant = fleet.tenants[call.tenant].name if fleet.tenants else None
        return InboundRequest(
            id=t.id,
            request_class=cls,
            arrived_ns=int((EPOCH + t.came) * NS),
            payload=call.work,
            responder=t,
            executor=self,
            tenant=tenant,
            routing_key=None if call.keyed or not call.subject else f"{call.subject:x}",
            idempotency_key=(tenant, cls.name, str(call.number)) if call.keyed else None,
            work_ns=int(call.stated * NS),
            memory_kb=call.memory_kb,
            rank=0.5,
            is_retry=t.again,
            is_write=call.keyed,
            caller=call.router,
        )


class Simulation:
    """`run` gives the Tally. `progress` is told the share of the time that is done, now and then."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        seconds: float,
        settle: float = 5.0,
        troubles: Iterable[Trouble] = (),
        wishes: Iterable[Wish] | None = None,
    ) -> None:
        self.fleet, self.seed, self.seconds, self.now = fleet, seed, seconds, 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = self.numbers = 0
        streams = Streams(seed)
        self.tally = Tally(fleet, settle, seconds)
        placed, routers = fleet.placed_workers, fleet.placed_routers
        self.sites = [p.site for p in placed], [r.site for r in routers]
        self.cross = {s.name: s.cross_ms / 1000 for s in fleet.sites}
        self.routers: list[Router] = []
        self.quotas = [Quota(fleet.quota(t)) for t in fleet.tenants]
        drawn_speeds = speeds(fleet, streams)
        weights = [fleet.kind(p.kind).cores * v for p, v in zip(placed, drawn_speeds, strict=True)]
        heeds = streams["heed"].uniform(size=len(routers)) < fleet.clients.heed
        for n, r in enumerate(routers):
            habits = fleet.routers[r.group]
            router = Router(habits, range(len(placed)), weights, bool(heeds[n]), seed * 10_000 + n)
            self.routers.append(router)
        self.workers = [
            Worker(self, n, p, v) for n, (p, v) in enumerate(zip(placed, drawn_speeds, strict=True))
        ]
        self.wishes = iter(drawn(fleet, streams, seconds) if wishes is None else wishes)
        for trouble in troubles:
            self.at(trouble.at, partial(self._lose, trouble))
            if trouble.back is not None:
                self.at(trouble.back, partial(self._bring_back, trouble))

    # ---- time
    def at(self, when: float, call: Callable[[], None]) -> None:
        self.order += 1
        heappush(self.heap, (when, self.order, call))

    def later(self, span: float, call: Callable[[], None]) -> None:
        self.at(self.now + span, call)

    def run(self, progress: Callable[[float], None] = lambda share: None) -> Tally:
        self._next_wish()
        self.at(self.seconds, lambda: [w.count_busy() for w in self.workers])
        longest = max(c.deadline_ms for c in self.fleet.classes) / 1000
        end, told = self.seconds + longest, 0.0
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call = heappop(self.heap)
            call()
            if self.now - told > end / 50:
                told = self.now
                progress(min(1.0, self.now / end))
        for w in self.workers:
            if w.log.faults:
                raise RuntimeError(f"a worker had a fault: {w.log.faults[0]}")
        self.tally.workers = [w.count for w in self.workers]
        return self.tally

    # ---- troubles
    def _lose(self, trouble: Trouble) -> None:
        self.tally.events.append((self.now, f"{trouble.name or 'workers'} lost"))
        for n in trouble.which:
            if self.workers[n].up:
                self.workers[n].lose()
                self.list_changed(n, False)

    def _bring_back(self, trouble: Trouble) -> None:
        self.tally.events.append((self.now, f"{trouble.name or 'workers'} back, cold"))
        for n in trouble.which:
            if not self.workers[n].up:
                self.workers[n].boot(cold=True)
                self.list_changed(n, True)

    def list_changed(self, worker: int, listed: bool) -> None:
        self.later(self.fleet.membership.lag_s, lambda: [r.learn(worker, listed) for r in self.routers])

    def delay(self, router: int, worker: int) -> float:
        there, here = self.sites[0][worker], self.sites[1][router]
        return NEAR if there == here else NEAR + self.cross[here]

    # ---- calls
    def _next_wish(self) -> None:
        wish = next(self.wishes, None)
        if wish is not None:
            self.at(wish.at, partial(self._begin, wish))

    def _begin(self, wish: Wish) -> None:
        self.numbers += 1
        c, now = self.fleet.classes[wish.cls], self.now
        call = Call(
            self.numbers,
            wish.cls,
            wish.tenant,
            wish.subject,
            wish.work,
            wish.stated,
            now,
            now + c.aim_ms / 1000,
            now + c.deadline_ms / 1000,
            c.repeat != "idempotent",
            wish.router,
        )
        call.inside = self.quotas[wish.tenant].takes(now) if self.quotas else True
        call.memory_kb = wish.memory_kb
        self.at(call.due, partial(self._give_up, call))
        self._send(call)
        self._next_wish()

    def _send(self, call: Call) -> None:
        if call.ended:
            return
        router = self.routers[call.router]
        worker = router.pick(self.now, call.subject, call.tried)
        if call.ran_at is not None and self.workers[call.ran_at].up and not call.tried:
            worker = call.ran_at  # only there its repeat is known
        call.tries += 1
        if worker is None:
            return self._follow(call, Answer.REFUSED, True)  # another try would find none either
        self.numbers += 1
        t = Try(self, call, self.workers[worker], self.numbers)
        call.tried.append(worker)
        call.open = t
        router.open[worker] += 1
        self.later(self.delay(call.router, worker), partial(self.workers[worker].arrives, t))

    def answer(self, t: Try, answer: Answer, backoff: float, final: bool) -> None:
        """At the router."""
        call, router, worker = t.call, self.routers[t.call.router], t.worker.number
        router.open[worker] -= 1
        if answer is Answer.REFUSED and backoff and router.heeds:
            router.stay_away(worker, self.now + backoff)
        elif answer is Answer.UNREACHABLE:
            router.stay_away(worker, self.now + UNREACHABLE_S)
        if call.ended or call.open is not t:
            return
        if answer is Answer.FAILED and call.keyed:
            call.ran_at = worker
        self._follow(call, answer, final)

    def _follow(self, call: Call, answer: Answer, final: bool) -> None:
        habits = self.routers[call.router].habits
        step, wait = after(call, answer, final, self.now, habits, self.fleet.clients)
        if step is Next.TRY:
            return self.later(wait, partial(self._send, call))
        if step is Next.CLIENT:
            call.client_tries += 1
            call.tried = []
            return self.later(wait, partial(self._send, call))
        if answer is Answer.SERVED:
            end = End.IN_TIME if self.now <= call.aim else End.LATE if self.now <= call.due else End.TIMED_OUT
        else:
            end = End.REFUSED if answer is not Answer.FAILED else End.FAILED
        self._end(call, end)

    def _give_up(self, call: Call) -> None:
        if call.ended:
            return
        t = call.open
        self._end(call, End.TIMED_OUT)
        if t is not None and not t.answered:
            self.routers[call.router].open[t.worker.number] -= 1
            self.later(self.delay(call.router, t.worker.number), partial(t.worker.abandoned, t))

    def _end(self, call: Call, end: End) -> None:
        call.ended = True
        took = self.now - call.began
        self.tally.count(call.cls, call.tenant, call.inside, call.began, end, took, call.tries, call.work)
