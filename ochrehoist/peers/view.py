"""What operators are told of a group: plain values for JSON. No I/O."""

from typing import Any

from ochrehoist.peers.group import Group, Share
from ochrehoist.peers.outlier_detection import OutlierDetector, ServiceState
from ochrehoist.peers.wire import MemberState


def told(group: Group, now: float) -> dict[str, Any]:
    m = group.members
    alone = m.isolated_for_s(now)
    return {
        "name": group.life.name,
        "incarnation": group.life.number,
        "group": group.terms.group,
        "site": group.terms.site,
        "address": group.terms.address,
        "alone_s": None if alone is None else round(alone, 2),
        "late": m.local_health,
        "was_late": m.stall_count,
        "duplicate": m.duplicate.boot_id if m.duplicate is not None else None,
        "members": {
            n: {
                "state": x.state,
                "for_s": round(now - x.state_since, 1),
                "address": m.address_of(n),
                "site": x.site,
                "incarnation": x.incarnation.number,
                "accused_by": sorted(x.accusers) if x.state == MemberState.SUSPECT else [],
                "heard_s": None if x.last_ack_at is None else round(now - x.last_ack_at, 2),
                "told_s": None if x.status_as_of is None else round(now - x.status_as_of, 2),
            }
            for n, x in sorted(m.members.items())
        },
        "budgets": {name: _of_budget(share, now) for name, share in group.shares.items()},
        "counts": {
            key: {"total": r.total, "age_s": round(r.age_s, 2), "missing": r.missing, "untold": r.lost}
            for key in group.counters.keys()
            for r in (group.counters.read(key, now, group.ended_at),)
        },
        "services": {
            name: _of_service(group.outliers, name, service, now)
            for name, service in group.outliers.services.items()
        },
        "judged": [
            (round(now - change.at, 2), change.service, change.state, change.reason)
            for change in group.outliers.changes
        ],
        "messages": dict(sorted(group.counted.items())),
    }


def _of_budget(share: Share, now: float) -> dict[str, Any]:
    h, meter = share.holder, share.meter
    demand = meter.demand(now)
    ends = [x.valid_until(h.budget.quorum) - now for x in h.leases.values()]
    return {
        "amount": h.budget.amount,
        "kind": "at once" if h.budget.concurrent else "per second",
        "held": h.amount(now),
        "rights": {r: round(now - h.leases[r].held_since, 4) for r in sorted(h.held_slots(now))},
        "wants": demand.wanted,
        "denied_lately": demand.denied,
        "used": meter.used_count,
        "denied": meter.denied_count,
        "most_used": meter.max_used,
        "lost": h.lost_count,
        "ends_in_s": round(min((e for e in ends if e > 0), default=0.0), 2),
        "votes_again_in_s": round(max(0.0, share.voter.silent_until - now), 1) if share.voter else None,
    }


def _of_service(outliers: OutlierDetector, name: str, service: ServiceState, now: float) -> dict[str, Any]:
    own = outliers.observe(name, now)
    values = {
        "standing": service.ejection,
        "for_s": round(now - service.since, 1) if service.since else None,
        "why": service.reason,
        "trials": service.trial_count,
        "open": len(service.samples.open_calls),
        "own": [own.status, own.sample_count, round(own.latency_ratio, 2)] if own else None,
        "heard": outliers.remote_consensus(name).observers,
    }
    if service.is_ejected:
        values["tried_in_s"] = round(max(0.0, service.since + service.ejection_s - now), 1)
    return values
