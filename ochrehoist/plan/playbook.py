"""Works out a playbook from a fleet's description. No I/O.

For each site that may be lost: what the others carry, what of each class is admitted, and the stages of the
recovery ramp.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from ochrehoist.config.fleet_description import Fleet, RequestClass
from ochrehoist.plan import analytic
from ochrehoist.plan.errors import UnanswerableQuestionError
from ochrehoist.plan.fleet_changes import without_site
from ochrehoist.plan.in_time_estimate import USABLE_SHARE
from ochrehoist.sites.playbook import FORMAT_VERSION, ClassAdmission, Playbook, SiteLoss
from ochrehoist.sites.recovery_ramp import DEFAULT_STAGES
from ochrehoist.sites.shedding_order import LOG_VALUE_STEP

AWAY_MS = 1000.0
SPREAD_MS = 2000.0
MAX_WARMUPS = 5.0  # of the slowest kind, that the longest return takes
RETURN_SPARE_S = 60.0  # and besides
SHARE_STEPS = 100  # to which admitted shares are rounded down
FLEET_NOTE = ""  # the key of the note on the whole playbook
UNKNOWN = (
    "whether all callers of the lost site reach the others, or are lost with it",
    "what callers do after their last try, and how many try without end",
    "how fast cores are today: the middle of each kind's range is taken",
    "what services below the workers can take",
)


@dataclass(frozen=True)
class ClassShare:
    """One class's part of all work, and the priority weight for each unit of it."""

    request_class: RequestClass
    work_share: float
    weight_by_work: float


def class_shares(fleet: Fleet) -> list[ClassShare]:
    """In the order of the description."""
    total = sum(each.share * each.mean_work_ms for each in fleet.classes)
    return [
        ClassShare(each, each.share * each.mean_work_ms / total, each.worth / each.mean_work_ms)
        for each in fleet.classes
    ]


def beyond_quota_share(fleet: Fleet) -> float:
    """The share of the load that tenants send beyond their quotas."""
    excess = sum(max(0.0, tenant.share * fleet.load.rate - fleet.quota(tenant)) for tenant in fleet.tenants)
    return excess / fleet.load.rate


@dataclass(frozen=True)
class Remaining:
    """What a fleet can do without a site: the share of all work, and what limits it first."""

    work_share: float
    limit: analytic.Limit


def remaining_without(fleet: Fleet, site: str) -> Remaining:
    """What the others can take. Raises UnanswerableQuestionError."""
    left = without_site(fleet, site)
    speeds = [sum(left.kind(placed.kind).speed_range) / 2 for placed in left.placed_workers]
    state = analytic.solve(left, speeds)
    demand = left.load.rate * left.mean_work_s
    # What is rejected is read all the same.
    cores = max(0.0, left.capacity * USABLE_SHARE - demand * left.intake.share) / demand
    served = sum(worker.served for worker in state.workers) / left.load.rate
    memory = max(worker.memory for worker in state.workers)
    connections = max(worker.connections for worker in state.workers)
    shares = {
        analytic.Limit.CORES: cores,
        analytic.Limit.MEMORY: served / memory if memory > 1 else 1.0,
        analytic.Limit.CONNECTIONS: 1 / connections if connections > 1 else 1.0,
    }
    limit = min(shares, key=lambda each: shares[each])
    return Remaining(min(1.0, shares[limit]), limit)


def admitted_shares(
    classes: Sequence[ClassShare], carried_share: float, beyond_share: float
) -> list[ClassAdmission]:
    """What of each class is admitted where this share of all work can be done.

    By priority weight for each unit of work: filings and what may run once only first, then the rest, within
    tenants' quotas; what is beyond them last. Equals share alike. Rounded down: never more than is carried.
    """
    left = carried_share
    admitted: dict[tuple[str, bool], float] = {}
    for is_beyond in (False, True):
        for equals in _by_rank(classes):
            width = sum(each.work_share for each in equals)
            width *= beyond_share if is_beyond else 1 - beyond_share
            part = 1.0 if width <= 0 else min(1.0, left / width)
            part = int(part * SHARE_STEPS) / SHARE_STEPS
            for each in equals:
                name = each.request_class.name
                admitted[name, is_beyond] = min(part, admitted[name, False]) if is_beyond else part
            left = max(0.0, left - part * width)
    return [
        ClassAdmission(
            each.request_class.name,
            admitted[each.request_class.name, False],
            admitted[each.request_class.name, True],
            round(each.work_share, 3),
        )
        for each in classes
    ]


def _by_rank(classes: Sequence[ClassShare]) -> list[list[ClassShare]]:
    """Classes of equal rank together, the first to be admitted first."""
    ranks: dict[tuple[bool, int], list[ClassShare]] = {}
    for each in classes:
        may_repeat = each.request_class.repeat == "idempotent"
        weight_rank = -round(math.log(each.weight_by_work) / LOG_VALUE_STEP)
        ranks.setdefault((may_repeat, weight_rank), []).append(each)
    return [equals for _, equals in sorted(ranks.items(), key=lambda item: item[0])]


def retained_weight(
    classes: Sequence[ClassShare],
    admissions: Sequence[ClassAdmission],
    beyond_share: float,
    beyond_weight: float,
) -> float:
    """The share of the priority weight asked for that is gained where just this is admitted and served."""

    def weight(each: ClassShare, within: float, beyond: float) -> float:
        quota_weight = (1 - beyond_share) * within + beyond_share * beyond_weight * beyond
        return each.work_share * each.weight_by_work * quota_weight

    total = sum(weight(each, 1.0, 1.0) for each in classes)
    retained = sum(
        weight(each, admission.share, admission.beyond_quota_share)
        for each, admission in zip(classes, admissions, strict=True)
    )
    return retained / total


def make_playbook(fleet: Fleet, now_s: int) -> tuple[Playbook, dict[str, str]]:
    """The playbook, and a note for its readers on each site and, by FLEET_NOTE, on the whole.

    Raises:
        UnanswerableQuestionError: Less than two sites have workers.
    """
    sites = [
        site.name for site in fleet.sites if any(placed.site == site.name for placed in fleet.placed_workers)
    ]
    if len(sites) < 2:
        raise UnanswerableQuestionError.single_site()
    beyond_share = beyond_quota_share(fleet)
    losses = []
    notes = {}
    for site in sites:
        loss, notes[site] = _site_loss(fleet, site, beyond_share)
        losses.append(loss)
    notes[FLEET_NOTE] = (
        "What holds when a site is lost. Change what you know better, then `ochrehoist sites check FILE`."
    )
    workers = {
        site: [placed.address for placed in fleet.placed_workers if placed.site == site] for site in sites
    }
    playbook = Playbook(
        FORMAT_VERSION, now_s, fleet.name, workers, round(beyond_share, 3), losses, list(UNKNOWN)
    )
    return playbook, notes


def _site_loss(fleet: Fleet, site: str, beyond_share: float) -> tuple[SiteLoss, str]:
    """What holds while one site is gone, and a note on it."""
    classes = class_shares(fleet)
    remaining = remaining_without(fleet, site)
    admissions = admitted_shares(classes, remaining.work_share, beyond_share)
    retained = retained_weight(classes, admissions, beyond_share, fleet.over_share_worth)
    loss = SiteLoss(
        site,
        round(remaining.work_share, 3),
        remaining.limit.value,
        AWAY_MS,
        SPREAD_MS,
        list(DEFAULT_STAGES),
        MAX_WARMUPS * max(kind.cold_s for kind in fleet.kinds) + RETURN_SPARE_S,
        admissions,
    )
    note = (
        f"Without {site}: {remaining.work_share:.0%} of the work can be done, "
        f"{retained:.0%} of the worth kept, if callers are sent on."
    )
    return loss, note
