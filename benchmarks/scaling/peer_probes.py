"""What members of a fleet tell each other, and a member's own work, by size."""

import msgspec

from benchmarks.scaling.admission_driver import admission_settings
from benchmarks.scaling.admission_probes import ALL_TENANTS
from benchmarks.scaling.probe import Limit, Measures, Probe, core_share, request_delay
from benchmarks.scaling.timing import median_cpu_us, with_memory_growth
from ochrehoist.peers.budget import Budget
from ochrehoist.peers.counters import ReplicatedCounters
from ochrehoist.peers.fleet_settings import FleetSettings
from ochrehoist.peers.group import Group
from ochrehoist.peers.member import Member
from ochrehoist.peers.status_view import status_view
from ochrehoist.peers.wire import (
    DIGEST_BYTES,
    MAGIC,
    MAX_DATAGRAM_BYTES,
    Ack,
    BudgetDemand,
    CounterSnapshot,
    HealthObservation,
    Incarnation,
    MemberState,
    Message,
    WorkerStatus,
    encode_status,
)
from ochrehoist.sites.coordinator import SiteCoordinator

HEADER_BYTES = len(MAGIC) + DIGEST_BYTES + 1  # of a datagram; the last is the version
MAX_RATE_PER_S = 3000
OTHER_REPORTERS = 4  # members whose counters are sent on
PROTOCOL_PERIOD_S = 0.05
GROUP_TICKS_A_SECOND = 20
SITE_TICKS_A_SECOND = 10
VOTERS = 7
BUDGET_AMOUNT = 70
COUNTERS_A_MEMBER = 20
MEMBERS_BESIDE_BUDGETS = 8
DATAGRAM = Limit("datagram_bytes", MAX_DATAGRAM_BYTES, "a datagram: what is longer is never sent")


def acknowledgement_by_tenants(size: int, seed: int) -> Measures:  # noqa: ARG001 - every probe gets a seed
    """So many tenants were counted at a member and at four others."""
    return _acknowledgement("tenant", size)


def acknowledgement_by_classes(size: int, seed: int) -> Measures:  # noqa: ARG001
    """So many classes were counted at a member and at four others."""
    return _acknowledgement("class", size)


def site_report_by_tenants(size: int, seed: int) -> Measures:  # noqa: ARG001
    """What a worker with [sites] reports in each acknowledgement, once so many tenants were seen."""
    settings = admission_settings(size)
    coordinator = SiteCoordinator("worker-0001", "site-a", settings, None, 1.0, False)
    for number in range(size):
        tenant = f"tenant-{number:06}"
        coordinator.gate.shedding_order.record_arrival(
            (tenant, "class-0", number), "class-0", tenant, False, 1.0
        )
    return {
        "datagram_bytes": len(coordinator.status_report(1.5)),
        "report_us": median_cpu_us(lambda: coordinator.status_report(1.5)),
        "tick_us": median_cpu_us(lambda: coordinator.tick(1.6, [])),
    }


def status_by_budgets(size: int, seed: int) -> Measures:
    """So many budgets, as with one for each tenant: a member's status and its tick."""
    driver = GroupDriver(peer_group(MEMBERS_BESIDE_BUDGETS, seed, budgets=size))
    return {"tick_us": median_cpu_us(driver.tick), "datagram_bytes": len(driver.group.own_status.encoded)}


def group_by_members(size: int, seed: int) -> Measures:
    """A member's own tick and its page for operators; messages are measured by `lab scale`."""
    group, group_bytes = with_memory_growth(lambda: peer_group(size, seed))
    driver = GroupDriver(group)
    return {
        "bytes": group_bytes,
        "tick_us": median_cpu_us(driver.tick),
        "status_us": median_cpu_us(lambda: status_view(group, driver.now_s)),
    }


class GroupDriver:
    """A member and its clock: it receives acknowledgements, and nobody probes it."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.now_s = 1.0

    def tick(self) -> None:
        """Let a protocol period pass."""
        self.now_s += PROTOCOL_PERIOD_S
        self.group.members.last_ack_at = self.now_s
        self.group.members.probes.clear()
        self.group.tick(self.now_s)


def peer_group(members: int, seed: int, budgets: int = 1) -> Group:
    """A member that knows so many others and their counters."""
    names = [f"worker-{number:04}" for number in range(members)]
    group = Group(_fleet_settings(names, budgets), Incarnation("worker-0000", 1, 1), 0.0, seed)
    status = _worker_status(budgets)
    for number, name in enumerate(names[1:]):
        incarnation = Incarnation(name, 1, number)
        group.members.members[name] = Member(
            incarnation,
            f"127.0.0.1:{9001 + number}",
            "a",
            MemberState.ALIVE,
            0.0,
            last_ack_at=0.5,
            version=1,
            status_as_of=0.5,
            status=status,
        )
        counters = {f"tenant/t{counter}/answered": counter for counter in range(COUNTERS_A_MEMBER)}
        group.counters.merge_snapshot(CounterSnapshot(incarnation, 1, 0, False, counters), 0.0, 0.0)
    group.members.established, group.members.last_ack_at = True, 0.5
    return group


def _fleet_settings(names: list[str], budgets: int) -> FleetSettings:
    voters = tuple(names[:VOTERS])
    return FleetSettings(
        "group",
        "127.0.0.1:1",
        "a",
        {name: f"127.0.0.1:{9000 + number}" for number, name in enumerate(names)},
        (),
        0.1,
        tuple(Budget(f"budget-{number:06}", BUDGET_AMOUNT, voters) for number in range(budgets)),
        ("s1", "s2"),
        0.5,
        MAX_RATE_PER_S,
    )


def _worker_status(budgets: int) -> bytes:
    demands = [BudgetDemand(f"budget-{number:06}", 0, 1, 0) for number in range(budgets)]
    return encode_status(WorkerStatus(False, False, [HealthObservation("s1", "ok", 8, 10, 1.0)], demands))


def _acknowledgement(kind: str, size: int) -> Measures:
    """The datagram that answers a ping, where so many names of a kind were counted."""
    own = _counters(kind, 1, size)
    for number in range(2, 2 + OTHER_REPORTERS):
        own.merge_snapshot(_counters(kind, number, size).snapshots(0.0)[0], 0, 0)

    def encoded() -> bytes:
        ack = Ack(1 << 61, "", [], [], own.snapshots(1.0))
        message = Message("group", own.incarnation, "worker-0002", own.incarnation.number, 7, [ack])
        return msgspec.msgpack.encode(message)

    return {"datagram_bytes": HEADER_BYTES + len(encoded()), "encode_us": median_cpu_us(encoded)}


def _counters(kind: str, worker: int, size: int) -> ReplicatedCounters:
    incarnation = Incarnation(f"worker-{worker:04}", 1_700_000_000_000, 1 << 61)
    counters = ReplicatedCounters(incarnation, MAX_RATE_PER_S)
    for number in range(size):
        counters.add(f"{kind}/{kind}-{number:06}/answered", 1000 + number)
    return counters


def peer_probes() -> list[Probe]:
    """The probes of this module."""
    return [
        Probe(
            "acknowledgement by tenants counted",
            "tenants answered at five members",
            (10, 30, 90, 200, 500),
            acknowledgement_by_tenants,
            ALL_TENANTS,
            (DATAGRAM,),
        ),
        Probe(
            "acknowledgement by classes counted",
            "classes answered at five members",
            (10, 30, 60, 90, 200),
            acknowledgement_by_classes,
            340,
            (DATAGRAM,),
        ),
        Probe(
            "site report by tenants seen",
            "tenants seen",
            (10, 100, 500, 2000),
            site_report_by_tenants,
            ALL_TENANTS,
            (DATAGRAM, core_share("tick_us", SITE_TICKS_A_SECOND)),
        ),
        Probe(
            "worker status by budgets",
            "budgets",
            (1, 10, 50, 200),
            status_by_budgets,
            ALL_TENANTS,
            (DATAGRAM, core_share("tick_us", GROUP_TICKS_A_SECOND)),
        ),
        Probe(
            "group by members",
            "members",
            (10, 50, 200, 800, 1700),
            group_by_members,
            1700,
            (core_share("tick_us", GROUP_TICKS_A_SECOND), request_delay("status_us")),
        ),
    ]
