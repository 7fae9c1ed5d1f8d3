"""The view of a group in the JSON of `/status`. No I/O."""

from typing import Any

from ochrehoist.peers.group import Group
from ochrehoist.peers.lease_manager import BudgetShare
from ochrehoist.peers.member import Member
from ochrehoist.peers.outlier_detection import OutlierDetector, ServiceState
from ochrehoist.peers.wire import MemberState


def status_view(group: Group, now: float) -> dict[str, Any]:
    """Returns the state of a group at `now` as JSON values; the keys are part of `/status`."""
    membership = group.members
    isolated_for_s = membership.isolated_for_s(now)
    duplicate = membership.duplicate
    return {
        "name": group.incarnation.name,
        "incarnation": group.incarnation.number,
        "group": group.settings.group,
        "site": group.settings.site,
        "address": group.settings.address,
        "alone_s": None if isolated_for_s is None else round(isolated_for_s, 2),
        "late": membership.local_health,
        "was_late": membership.stall_count,
        "duplicate": duplicate.boot_id if duplicate is not None else None,
        "members": {
            name: _member_view(member, membership.address_of(name), now)
            for name, member in sorted(membership.members.items())
        },
        "budgets": {name: _budget_view(share, now) for name, share in group.shares.items()},
        "counts": _counts_view(group, now),
        "services": {
            name: _service_view(group.outliers, name, service, now)
            for name, service in group.outliers.services.items()
        },
        "judged": [
            (round(now - change.at, 2), change.service, change.state.value, change.reason)
            for change in group.outliers.changes
        ],
        "messages": {outcome.value: count for outcome, count in sorted(group.inbound.outcome_counts.items())},
    }


def _age_s(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 2)


def _member_view(member: Member, address: str | None, now: float) -> dict[str, Any]:
    return {
        "state": member.state.value,
        "for_s": round(now - member.state_since, 1),
        "address": address,
        "site": member.site,
        "incarnation": member.incarnation.number,
        "accused_by": sorted(member.accusers) if member.state == MemberState.SUSPECT else [],
        "heard_s": _age_s(member.last_ack_at, now),
        "told_s": _age_s(member.status_as_of, now),
    }


def _budget_view(share: BudgetShare, now: float) -> dict[str, Any]:
    holder, meter = share.holder, share.meter
    demand = meter.demand(now)
    quorum = holder.budget.quorum
    remaining_s = [lease.valid_until(quorum) - now for lease in holder.leases.values()]
    grantor = share.grantor
    return {
        "amount": holder.budget.amount,
        "kind": "at once" if holder.budget.concurrent else "per second",
        "held": holder.amount(now),
        "rights": {
            slot: round(now - holder.leases[slot].held_since, 4) for slot in sorted(holder.held_slots(now))
        },
        "wants": demand.wanted,
        "denied_lately": demand.denied,
        "used": meter.used_count,
        "denied": meter.denied_count,
        "most_used": meter.max_used,
        "lost": holder.withdrawn_count,
        "ends_in_s": round(min((span for span in remaining_s if span > 0), default=0.0), 2),
        "votes_again_in_s": round(max(0.0, grantor.no_grants_until - now), 1) if grantor else None,
    }


def _counts_view(group: Group, now: float) -> dict[str, Any]:
    view = {}
    for key in group.counters.sorted_keys():
        reading = group.counters.read(key, now, group.ended_at)
        view[key] = {
            "total": reading.total,
            "age_s": round(reading.age_s, 2),
            "missing": reading.missing,
            "untold": reading.lost,
        }
    return view


def _service_view(outliers: OutlierDetector, name: str, service: ServiceState, now: float) -> dict[str, Any]:
    own = outliers.observe(name, now)
    view: dict[str, Any] = {
        "standing": service.ejection.value,
        "for_s": round(now - service.since, 1) if service.since else None,
        "why": service.reason,
        "trials": service.trial_count,
        "open": len(service.samples.open_calls),
        "own": [str(own.status), own.sample_count, round(own.latency_ratio, 2)] if own else None,
        "heard": outliers.remote_consensus(name).observers,
    }
    if service.is_ejected:
        view["tried_in_s"] = round(max(0.0, service.since + service.ejection_s - now), 1)
    return view
