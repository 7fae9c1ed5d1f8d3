"""What a run of several sites on virtual time shows: goodput, detection of losses, recovery steps."""

import math
from dataclasses import dataclass

from ochrehoist.lab.goodput import goodput
from ochrehoist.lab.step_interleaving import find_interleavings
from ochrehoist.lab.virtual.site_calls import FILING
from ochrehoist.lab.virtual.site_world import LossAlarm, SiteLoss, SiteWorld
from ochrehoist.sites.site_health import BURST_FACTOR, EVIDENCE_THRESHOLD

LOAD_SHIFT_S = 3.5  # until all have seen the silence of a site, and its load has moved
DETECTION_MARGIN = 3  # times the expected time until the evidence suffices
SETTLED_S = 5.0  # after the start of a worker, from which on it is to find losses
RETURN_GRACE_S = 3.0  # after a return, in which an alarm is not yet false
RECOVERED_FRACTION = 0.95
RECOVERY_CHECK_S = 0.5
WARM_UP_S = 3  # at the start of a run, whose calls do not count
WORST_SPAN_S = 4
RETURN_SPAN_S = 15


def goodput_by_second(world: SiteWorld, since_s: float, until_s: float) -> list[float]:
    """The goodput of each second of the span."""
    return [
        round(goodput(world.calls, second, second + 1), 2) for second in range(int(since_s), int(until_s))
    ]


def recovery_time_s(world: SiteWorld, since_s: float, level: float) -> float | None:
    """When two seconds in a row first had nearly this goodput, after `since_s`; None where none had."""
    at_s = since_s
    while at_s + 2 < world.now:
        lower = min(goodput(world.calls, at_s, at_s + 1), goodput(world.calls, at_s + 1, at_s + 2))
        if lower >= RECOVERED_FRACTION * level:
            return at_s - since_s
        at_s += RECOVERY_CHECK_S
    return None


def detection_limit_s(world: SiteWorld, site: str) -> float:
    """The time in which a loss is to be found: with so few requests, evidence takes a while."""
    total = len(world.sites)
    lost = len(world.members_of(site))
    increase = total / (total - lost) - 1
    usual_rate = world.calls_per_s / total * (total - lost)
    evidence_per_s = usual_rate * ((1 + increase) * math.log1p(increase) - increase) / BURST_FACTOR
    return LOAD_SHIFT_S + DETECTION_MARGIN * EVIDENCE_THRESHOLD / evidence_per_s


def missed_losses(world: SiteWorld) -> list[str]:
    """Losses that lasted long enough, and that a worker in another site did not find; a line each."""
    missed: list[str] = []
    for site, losses in world.losses.items():
        limit_s = detection_limit_s(world, site)
        for loss in losses:
            if min(loss.until_s, world.now) - loss.since_s < limit_s:
                continue
            missed += [
                f"{name} did not find {site} lost from {loss.since_s:.1f} s on, in {limit_s:.1f} s"
                for name, worker in world.workers.items()
                if world.sites[name] != site
                and worker.started_at_s < loss.since_s - SETTLED_S
                and not _found(world, name, site, loss, limit_s)
            ]
    return missed


def _found(world: SiteWorld, worker: str, site: str, loss: SiteLoss, limit_s: float) -> bool:
    return any(
        alarm.worker == worker and alarm.site == site and loss.since_s <= alarm.at_s <= loss.since_s + limit_s
        for alarm in world.loss_alarms
    )


def false_alarms(world: SiteWorld) -> list[LossAlarm]:
    """Sites declared lost that were not, nor had been a moment before."""
    return [
        alarm
        for alarm in world.loss_alarms
        if not any(
            loss.since_s <= alarm.at_s <= loss.until_s + RETURN_GRACE_S
            for loss in world.losses.get(alarm.site, ())
        )
    ]


def interleaved_steps(world: SiteWorld) -> list[str]:
    """Steps of one site between two steps of another within one step lease; a line each."""
    return [
        f"another site stepped at {found.between[0].at_s:.2f} s, amid the steps of {found.first.site}"
        for found in find_interleavings(world.recovery_steps)
    ]


def all_at_full_service(world: SiteWorld) -> bool:
    """Whether all workers have their full load again."""
    return all(
        worker.coordinator.report(worker.node.clock(world.now)).is_full_service
        for worker in world.workers.values()
    )


def detection_times_s(world: SiteWorld) -> list[float]:
    """How long after each loss workers declared it, for alarms within the limit."""
    return [
        alarm.at_s - loss.since_s
        for site, losses in world.losses.items()
        for loss in losses
        for alarm in world.loss_alarms
        if alarm.site == site and 0 <= alarm.at_s - loss.since_s <= detection_limit_s(world, site)
    ]


@dataclass(frozen=True)
class SiteLossFigures:
    """Goodput and attempts through the loss of a site and its return.

    `recovered_s`: from the return until goodput is as before; None where it never was.
    """

    before: float
    during: float
    filings: float  # the goodput of filings alone, during the loss
    worst_second: float  # of the first ones after the loss
    recovered_s: float | None
    least_after_return: float  # the worst second of the first ones after it
    attempts_per_call: float
    served_after_rejection: float  # of the calls that a gate had rejected


def measure_loss(world: SiteWorld, lost_at_s: float, restored_at_s: float) -> SiteLossFigures:
    """The figures of one loss and its return."""
    level = goodput(world.calls, WARM_UP_S, lost_at_s)
    first_seconds = goodput_by_second(world, lost_at_s, lost_at_s + WORST_SPAN_S)
    return_seconds = goodput_by_second(world, restored_at_s, restored_at_s + RETURN_SPAN_S)
    rejected = sum(call.gate_rejections > 0 for call in world.calls)
    served = sum(call.served_after_rejection for call in world.calls)
    return SiteLossFigures(
        before=level,
        during=goodput(world.calls, lost_at_s, restored_at_s),
        filings=goodput(world.calls, lost_at_s, restored_at_s, FILING),
        worst_second=min(first_seconds),
        recovered_s=recovery_time_s(world, restored_at_s, level),
        least_after_return=min(return_seconds, default=1.0),
        attempts_per_call=sum(call.attempts for call in world.calls) / len(world.calls),
        served_after_rejection=served / max(1, rejected),
    )
