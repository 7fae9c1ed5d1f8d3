"""What is kept and told beside the module: figures, learned state, handover, keys, the members' answers."""

import json
import time
from collections.abc import Callable
from typing import Any

from benchmarks.slopes.module import MS, Driver, S, settings
from benchmarks.slopes.points import Bound, Measures, Probe, cpu_us, each_us, grown
from ochrehoist.admission.events import Outcome, RequestCompleted

TURN = "5.4 ms on a request's way"
LINE = Bound("line_bytes", 8 << 20, "net.link.MAX_LINE and MAX_UNSENT")
DATAGRAM = Bound("answer_bytes", 16_384, "peers.wire.MAX_DATAGRAM_BYTES: past it the answer is never sent")


def figures_by_classes(size: int, seed: int) -> Measures:
    from ochrehoist.core.metrics import Metrics

    figures = Metrics(f"class-{n}" for n in range(size))
    return {"text_bytes": len(figures.text(0)), "text_us": cpu_us(lambda: figures.text(0))}


def _taught(size: int, seed: int) -> Driver:
    driver = Driver(settings(size), seed)
    for _ in range(300):
        driver.through()
    driver.beat()
    return driver


def learned_by_tenants(size: int, seed: int) -> Measures:
    """As each handover, each new setting and, with [state], each 5 s have it."""
    from ochrehoist.admission import learned_state

    module = _taught(size, seed).module
    known = learned_state.snapshot(module)
    text = json.dumps(known, separators=(",", ":"))
    return {
        "line_bytes": len(text),
        "learned_us": cpu_us(lambda: learned_state.snapshot(module)),
        "line_us": cpu_us(lambda: json.dumps(known, separators=(",", ":"))),
        "taught_us": cpu_us(lambda: learned_state.restore(module, known, module.now_ns)),
        "read_us": cpu_us(lambda: json.loads(text)),
    }


def learned_by_active(size: int, seed: int) -> Measures:
    """The same where of 58,000 tenants so many were heard in the last moments."""
    from ochrehoist.admission import learned_state

    driver = Driver(settings(58000), seed)
    for tenant in driver.rng.sample(range(58000), size):
        name = driver.request(tenant=tenant)
        driver.tell(RequestCompleted(name, Outcome.OK, 4 * MS))
    driver.beat()
    known = learned_state.snapshot(driver.module)
    return {
        "line_bytes": len(json.dumps(known, separators=(",", ":"))),
        "learned_us": cpu_us(lambda: learned_state.snapshot(driver.module)),
        "line_us": cpu_us(lambda: json.dumps(known, separators=(",", ":"))),
        "taught_us": cpu_us(lambda: learned_state.restore(driver.module, known, driver.module.now_ns)),
    }


def _beating(group: Any) -> tuple[list[float], Callable[[], None]]:
    """Its time in s, and a call that beats 50 ms later, as of a member that hears others and asks nobody."""
    now = [1.0]

    def beat() -> None:
        now[0] += 0.05
        group.members.last_ack_at = now[0]
        group.members.probes.clear()
        group.tick(now[0])

    return now, beat


def status_by_budgets(size: int, seed: int) -> Measures:
    """A budget for each tenant of so many: what a member says of itself in each answer, and its beat."""
    group = _group(8, seed, budgets=size)
    _, beat = _beating(group)
    return {"beat_us": cpu_us(beat), "answer_bytes": len(group.status)}


def learned_by_callers(size: int, seed: int) -> Measures:
    from ochrehoist.admission import learned_state
    from ochrehoist.admission.caller_activity import TimeoutEstimate

    driver = Driver(settings(), seed)
    for caller in range(size):
        driver.module.callers.last_seen_ns[caller] = driver.now
        driver.module.callers.cancellation_ages_ns[caller] = [450 * MS] * 12
        driver.module.callers.timeouts[caller] = TimeoutEstimate(450 * MS, driver.now + 10 * S)
    known = learned_state.snapshot(driver.module)
    return {
        "line_bytes": len(json.dumps(known, separators=(",", ":"))),
        "learned_us": cpu_us(lambda: learned_state.snapshot(driver.module)),
    }


def _keys(size: int) -> Any:
    from ochrehoist.admission.events import Outcome
    from ochrehoist.core.idempotency_table import IdempotencyTable
    from ochrehoist.core.results import RunResult

    table = IdempotencyTable(2 * S, 1 << 40)
    for n in range(size):
        token = f"tenant-{n % 1000:06}", "class-1", f"key {n:032}"
        table.retain(token, f"r{n}", 900 * S, (None, bytes(32)))
        table.run_started(token, f"r{n}", 900 * S, (None, bytes(32)))
        table.run_ended(token, f"r{n}", RunResult(Outcome.OK, b"done" * 75), 900)
    return table


def keys(size: int, seed: int) -> Measures:
    """Filings within their window: the sweep is made each second, on the loop."""
    table, of_keys = grown(lambda: _keys(size))
    out = {"bytes": of_keys, "sweep_us": cpu_us(lambda: table.expire(10 * S))}
    assert len(table.runs) == size
    began = time.thread_time()
    table.expire(1000 * S)
    return out | {"last_sweep_us": (time.thread_time() - began) * 1e6}


def handover_by_keys(size: int, seed: int) -> Measures:
    from ochrehoist.core.handover_snapshot import snapshot_lines
    from ochrehoist.core.snapshot import CoreSnapshot

    state = CoreSnapshot(idempotency=_keys(size))

    class Plain:
        def to_json(self, detail: Any) -> Any:
            return detail

    def lines() -> int:
        return sum(
            len(json.dumps(line, separators=(",", ":"))) + 1 for line in snapshot_lines(state, 0, Plain())
        )

    return {"state_bytes": lines(), "state_us": cpu_us(lines)}


def deadlines(size: int, seed: int) -> Measures:
    from ochrehoist.core.deadlines import Deadlines

    heap = Deadlines()
    _, of_heap = grown(lambda: [heap.answer_by(n * MS, f"request-{n}") for n in range(size)])
    at = iter(range(size, 10**9))

    def one() -> None:
        heap.answer_by(next(at) * MS, "request")
        heap.next_due_ns()
        for _ in heap.take_overdue_requests(heap.next_due_ns()):
            break

    return {"bytes": of_heap, "request_us": each_us(one, 1000)}


# ---- what members say to each other
def _answer(kind: str, size: int) -> Measures:
    """An answer of a member to a ping, where so many names were counted at it and at each of four others."""
    from ochrehoist.peers import wire
    from ochrehoist.peers.counters import ReplicatedCounters
    from ochrehoist.peers.wire import Ack, Incarnation, Message

    def counters(number: int) -> Any:
        out = ReplicatedCounters(Incarnation(f"worker-{number:04}", 1_700_000_000_000, 1 << 61), 3000)
        for n in range(size):
            out.add(f"{kind}/{kind}-{n:06}/answered", 1000 + n)
        return out

    mine = counters(1)
    for number in range(2, 6):
        mine.merge_snapshot(counters(number).snapshots(0.0)[0], 0, 0)

    def told() -> bytes:
        ack = Ack(1 << 61, "", [], [], mine.snapshots(1.0))
        return wire._encode(
            Message("group", mine.incarnation, "worker-0002", mine.incarnation.number, 7, [ack])
        )

    return {"answer_bytes": 2 + 16 + 1 + len(told()), "told_us": cpu_us(told)}


def answer_by_tenants(size: int, seed: int) -> Measures:
    return _answer("tenant", size)


def answer_by_classes(size: int, seed: int) -> Measures:
    return _answer("class", size)


def word_by_tenants(size: int, seed: int) -> Measures:
    """What a worker with [sites] puts into each answer, once so many tenants were heard."""
    from ochrehoist.sites.coordinator import SiteCoordinator

    coordinator = SiteCoordinator("worker-0001", "site-a", settings(size), None, 1.0, False)
    for n in range(size):
        coordinator.gate.order.record_arrival(
            (f"tenant-{n:06}", "class-0", n), "class-0", f"tenant-{n:06}", False, 1.0
        )
    return {
        "answer_bytes": len(coordinator.status(1.5)),
        "status_us": cpu_us(lambda: coordinator.status(1.5)),
        "look_us": cpu_us(lambda: coordinator.tick(1.6, [])),
    }


def _group(members: int, seed: int, counted: int = 20, lives: int = 1, budgets: int = 1) -> Any:
    from ochrehoist.peers.budget import Budget
    from ochrehoist.peers.fleet_settings import FleetSettings
    from ochrehoist.peers.group import Group
    from ochrehoist.peers.member import Member
    from ochrehoist.peers.wire import (
        BudgetDemand,
        CounterSnapshot,
        HealthObservation,
        Incarnation,
        MemberState,
        WorkerStatus,
        encode_status,
    )

    names = [f"worker-{n:04}" for n in range(members)]
    voters = tuple(names[:7])
    terms = FleetSettings(
        "group",
        "127.0.0.1:1",
        "a",
        {n: f"127.0.0.1:{9000 + k}" for k, n in enumerate(names)},
        (),
        0.1,
        tuple(Budget(f"budget-{n:06}", 70, voters) for n in range(budgets)),
        ("s1", "s2"),
        0.5,
        3000,
    )
    group = Group(terms, Incarnation("worker-0000", 1, 1), 0.0, seed)
    status = encode_status(
        WorkerStatus(
            False,
            False,
            [HealthObservation("s1", "ok", 8, 10, 1.0)],
            [BudgetDemand(f"budget-{n:06}", 0, 1, 0) for n in range(budgets)],
        )
    )
    for k, name in enumerate(names[1:]):
        group.members.members[name] = Member(
            Incarnation(name, 1, k),
            f"127.0.0.1:{9001 + k}",
            "a",
            MemberState.ALIVE,
            0.0,
            last_ack_at=0.5,
            version=1,
            status_as_of=0.5,
            status=status,
        )
        for life in range(lives):
            group.counters.merge_snapshot(
                CounterSnapshot(
                    Incarnation(name, 1 + life, k),
                    1,
                    0,
                    False,
                    {f"tenant/t{n}/answered": n for n in range(counted)},
                ),
                0.0,
                0.0,
            )
    group.members.established, group.members.last_ack_at = True, 0.5
    return group


def group_by_members(size: int, seed: int) -> Measures:
    """A member's own beat (20 a second) and its page for operators; messages are the scale run's."""
    from ochrehoist.peers.status_view import status_view

    group, of_group = grown(lambda: _group(size, seed))
    now, beat = _beating(group)
    return {
        "bytes": of_group,
        "beat_us": cpu_us(beat),
        "status_us": cpu_us(lambda: status_view(group, now[0])),
    }


def remembered(size: int, seed: int) -> Measures:
    """What a witness keeps of others' filings: it looks through all of it each second, on the loop."""
    from ochrehoist.recovery.intent_log import IntentLog
    from ochrehoist.recovery.messages import RecordIntent

    log = IntentLog(0.0)

    def fill() -> None:
        for n in range(0, size, 100):
            log.record(
                f"worker-{n % 5}",
                RecordIntent(n, [((n + k).to_bytes(16, "big"), 900_000) for k in range(100)]),
                0.0,
            )

    _, of_memory = grown(fill)
    return {"bytes": of_memory, "forget_us": cpu_us(lambda: log.remove_expired(1.0))}


def record_head(size: int, seed: int) -> Measures:
    """The head of each file of [capture]."""
    from ochrehoist.capture.encoding import encode_block
    from ochrehoist.capture.records import CaptureHeader

    s = settings(size)

    def head() -> CaptureHeader:
        return CaptureHeader(
            "worker",
            0,
            1.0,
            s.cores,
            s.memory_kb,
            tuple(
                (c.name, c.latency_objective_ns, c.deadline_ns, c.priority_weight, c.late_weight)
                for c in s.classes
            ),
            tuple((t.name, t.quota_per_s) for t in s.tenants),
        )

    return {
        "bytes": len(encode_block([head()])),
        "on_loop_us": cpu_us(head),
        "off_loop_us": cpu_us(lambda: encode_block([head()])),
    }


PROBES = [
    Probe(
        "members' answer by tenants counted",
        "tenants answered at five members",
        (10, 30, 90, 200, 500),
        answer_by_tenants,
        58000,
        (DATAGRAM,),
    ),
    Probe(
        "members' answer by classes counted",
        "classes answered at five members",
        (10, 30, 60, 90, 200),
        answer_by_classes,
        340,
        (DATAGRAM,),
    ),
    Probe(
        "sites' word by tenants heard",
        "tenants heard",
        (10, 100, 500, 2000),
        word_by_tenants,
        58000,
        (DATAGRAM, Bound("look_us", 2100, "2.1% of a core at ten looks a second")),
    ),
    Probe(
        "learned state by tenants",
        "tenants",
        (3, 1000, 5000, 20000, 58000),
        learned_by_tenants,
        58000,
        (LINE, Bound("learned_us", 5400, TURN), Bound("line_us", 5400, TURN)),
    ),
    Probe(
        "learned state by active tenants",
        "tenants heard lately, of 58,000",
        (100, 1000, 3000, 8000),
        learned_by_active,
        7400,
        (LINE, Bound("learned_us", 5400, TURN), Bound("line_us", 5400, TURN), Bound("taught_us", 5400, TURN)),
    ),
    Probe(
        "members' status by budgets",
        "budgets",
        (1, 10, 50, 200),
        status_by_budgets,
        58000,
        (DATAGRAM, Bound("beat_us", 1050, "2.1% of a core at twenty beats a second")),
    ),
    Probe(
        "learned state by callers",
        "callers",
        (100, 1000, 5000, 19000),
        learned_by_callers,
        1710,
        (LINE, Bound("learned_us", 5400, TURN)),
    ),
    Probe(
        "key table",
        "filings within their window",
        (1000, 5000, 20000, 60000),
        keys,
        15390,
        (Bound("sweep_us", 5400, TURN), Bound("sweep_us", 21000, "2.1% of a core, each second")),
    ),
    Probe(
        "handover of keys",
        "filings within their window",
        (1000, 5000, 20000, 40000),
        handover_by_keys,
        15390,
        (Bound("state_us", 500_000, "net.link.STILL for what is held"),),
    ),
    Probe("last moments", "requests within their deadline", (100, 1000, 10000, 100000), deadlines, 5130),
    Probe(
        "figures by classes",
        "classes",
        (2, 34, 340, 1000),
        figures_by_classes,
        340,
        (Bound("text_us", 5400, TURN), Bound("text_bytes", 60_000, "4 KB a second, read each 15 s")),
    ),
    Probe(
        "group by members",
        "members",
        (10, 50, 200, 800, 1700),
        group_by_members,
        1700,
        (Bound("beat_us", 1050, "2.1% of a core at twenty beats a second"), Bound("status_us", 5400, TURN)),
    ),
    Probe(
        "witness",
        "filings remembered",
        (1000, 10000, 50000, 200000),
        remembered,
        76950,
        (Bound("forget_us", 5400, TURN),),
    ),
    Probe(
        "head of a record of load",
        "tenants",
        (3, 1000, 5000, 20000, 58000),
        record_head,
        58000,
        (Bound("on_loop_us", 5400, TURN),),
    ),
]
