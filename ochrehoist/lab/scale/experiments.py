"""What is done to the group of a scale run: faults, and changes of the configuration (asyncio)."""

import time

from msgspec import UNSET

from ochrehoist.lab.hollow.protocol import (
    Address,
    Done,
    ReloadTimes,
    ReloadWorkers,
    RestartWorkers,
    SetPartition,
    SetTemplate,
)
from ochrehoist.lab.scale.cluster import ScaleCluster
from ochrehoist.lab.scale.measurements import traffic
from ochrehoist.lab.scale.results import FaultFigures, ReloadFigures, RestFigures, RunFigures, spread
from ochrehoist.lab.scale.spec import FaultKind, ScaleSpec
from ochrehoist.lab.scale.topology import QUOTA_PER_S
from ochrehoist.net.peer_settings import parse_address

RESTART_DOWNTIME_S = 1.0
RELOAD_TIME_LIMIT_S = 60.0
RELOAD_INTERVAL_S = 1.0  # between two changes


async def inject_fault(
    cluster: ScaleCluster, spec: ScaleSpec, kind: FaultKind, rest: RestFigures
) -> FaultFigures:
    """One fault, its end and the recovery; traffic counts beyond what the rest would have sent meanwhile."""
    struck = cluster.topology.fault_targets(kind)
    before = await cluster.sample()
    inside: list[Address] = [parse_address(cluster.topology.addresses[name]) for name in struck]
    if kind is FaultKind.RESTART:
        await cluster.broadcast(RestartWorkers(struck, RESTART_DOWNTIME_S), Done)
        await cluster.wait(RESTART_DOWNTIME_S)
    else:
        await cluster.broadcast(SetPartition(inside, active=True), Done)
        await cluster.wait(spec.lasts)
    during = await cluster.view()
    if kind is not FaultKind.RESTART:
        await cluster.broadcast(SetPartition(inside, active=False), Done)
    recovery = await cluster.wait_until_complete(spec.heal_s)
    after = await cluster.sample()
    duration_s = (after.at_s - before.at_s) * spec.pace
    earlier = before.workers()
    later = after.workers()
    byte_rate = rest.hollow["bytes_out_per_s"]
    message_rate = rest.hollow["sent_per_s"]
    bytes_out = traffic(earlier, later, lambda worker: worker.bytes_out, byte_rate, duration_s)
    sent = traffic(earlier, later, lambda worker: worker.sent, message_rate, duration_s)
    return FaultFigures(
        kind=kind,
        struck_count=len(struck),
        least_alive=during.least_alive,
        complete_after_s=recovery.complete_after_s,
        waited_s=recovery.waited_s,
        complete_count=recovery.view.complete_count,
        lateness_s=max(during.lateness_s, recovery.view.lateness_s),
        bytes_out=bytes_out.total,
        bytes_out_beyond_rest=bytes_out.beyond_rest,
        sent=sent.total,
        sent_beyond_rest=sent.beyond_rest,
    )


async def reload_repeatedly(cluster: ScaleCluster, spec: ScaleSpec, figures: RunFigures) -> None:
    """All workers reload a changed file, `spec.changes` times: each time the first tenant's quota differs.

    Fills in `figures.changes` as it goes on.
    """
    changes: list[ReloadFigures] = []
    figures.changes = changes
    for number in range(1, spec.changes + 1):
        changes.append(await _reload_once(cluster, spec, QUOTA_PER_S + number))
        if number < spec.changes:
            await cluster.wait(RELOAD_INTERVAL_S)


async def _reload_once(cluster: ScaleCluster, spec: ScaleSpec, quota_per_s: float) -> ReloadFigures:
    started = time.monotonic()
    await cluster.broadcast(SetTemplate(cluster.topology.template(quota_per_s)), Done)
    times = await cluster.broadcast(ReloadWorkers(quota_per_s, RELOAD_TIME_LIMIT_S), ReloadTimes)
    in_force_ms = [1000 * seconds for each in times for seconds in each.in_force_s]
    return ReloadFigures(
        duration_s=round((time.monotonic() - started) * spec.pace, 2),
        missed_count=sum(each.missed_count for each in times),
        reached_count=len(in_force_ms),
        hold_ms=spread([1000 * seconds for each in times for seconds in each.hold_s]),
        cpu_ms=spread([1000 * seconds for each in times for seconds in each.cpu_s]),
        in_force_ms=spread(in_force_ms),
    )


def reader_notes(spec: ScaleSpec, figures: RunFigures) -> list[str]:
    """What a reader of the figures of a run that went through must know."""
    notes: list[str] = []
    join = figures.join
    rest = figures.rest
    at_end = figures.at_end
    assert join is not UNSET
    assert rest is not UNSET
    assert at_end is not UNSET
    if join["all_s"] is None:
        notes.append(
            f"not all knew all within {spec.join_s:g} s: the half of them knew "
            f"{join['p50']:g} of {spec.members - 1} at most, one only {join['least']}"
        )
    if not figures.trusted:
        notes.append(
            f"the machine did not bear this size at pace {spec.pace:g}: hollow workers were "
            f"late {rest.stall_count} times at rest; figures count what they did get done"
        )
    if at_end.faults:
        told = [f"{count} times {event}" for event, count in sorted(at_end.faults.items())[:5]]
        notes.append("faults told by workers: " + "; ".join(told))
    notes += [
        f"{fault.kind}: not as before within {spec.heal_s:g} s: {fault.complete_count} of "
        f"{spec.hollow_count} knew all"
        for fault in figures.faults or ()
        if fault.complete_after_s is None
    ]
    if figures.changes:
        notes.append("no mechanism brings a change to all: each read its whole file, as by SIGHUP")
    return notes
