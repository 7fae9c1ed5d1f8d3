"""The `sites` section of `/status`, as plain values. No I/O; times are in seconds."""

from typing import Any

from ochrehoist.sites.coordinator import SiteCoordinator
from ochrehoist.sites.peer_workers import PeerWorker
from ochrehoist.sites.playbook import Playbook
from ochrehoist.sites.site_report import STAGE_FULL_SERVICE, STAGE_UNPACED

MAX_SHOWN_CHANGES = 20
STAGE_NAMES = {STAGE_FULL_SERVICE: "full", STAGE_UNPACED: "together"}


def status_view(coordinator: SiteCoordinator, now: float) -> dict[str, Any]:
    """Returns the section `sites` of `/status`."""
    health = coordinator.health
    isolated_since = health.isolated_since
    return {
        "site": coordinator.site,
        "asks_for": coordinator.load_fraction,
        "returning": _recovery_section(coordinator, now),
        "leaving": _evacuation_section(coordinator, now),
        "hears_no_other_for_s": None if isolated_since is None else round(now - isolated_since, 1),
        **_gate_section(coordinator, now),
        "sites": {site: _site_section(coordinator, site, now) for site in health.sites},
        "own_workers": _workers_section(coordinator, coordinator.site),
        "orders": _commands_section(coordinator, now),
        "playbook": _playbook_section(coordinator),
        "changes": [
            {
                "ago_s": round(now - change.changed_at, 2),
                "site": change.site,
                "state": str(change.state),
                "why": change.reason,
            }
            for change in health.changes[-MAX_SHOWN_CHANGES:]
        ],
    }


def _recovery_section(coordinator: SiteCoordinator, now: float) -> dict[str, Any] | None:
    ramp = coordinator.pacing.recovery
    if ramp is None:
        return None
    return {
        "step": ramp.stage,
        "of": len(ramp.plan.stages),
        "part": ramp.load_fraction,
        "together": ramp.is_unpaced,
        "for_s": round(now - ramp.started_at, 1),
        "at_step_s": round(now - ramp.measurement.started_at, 1),
        "promised": round(ramp.expected_requests(coordinator.peers.baseline, now), 1),
        "did": {"in_time": ramp.measurement.good, "late_or_failed": ramp.measurement.bad},
        "taken_back": ramp.rollbacks,
        "waits_for": ramp.waits_for,
        "site_returns": coordinator.arbiter.site_returns,
        "permit": coordinator.arbiter.held_until > now,
        "held": ramp.is_held,
        "history": [
            {"ago_s": round(now - event.changed_at, 2), "part": event.load_fraction, "why": event.reason}
            for event in ramp.history
        ],
    }


def _evacuation_section(coordinator: SiteCoordinator, now: float) -> dict[str, Any] | None:
    ramp = coordinator.pacing.evacuation
    if ramp is None:
        return None
    return {"part": ramp.load_fraction, "why": ramp.reason, "for_s": round(now - ramp.started_at, 1)}


def _gate_section(coordinator: SiteCoordinator, now: float) -> dict[str, Any]:
    gate = coordinator.gate
    threshold = coordinator.gate.threshold
    usual_rate = coordinator.usual_load.rate
    rank_ranges = sorted(gate.shedding_order.rank_ranges.items(), key=lambda item: item[1])
    return {
        "level": round(threshold.value, 3),
        "offered": round(threshold.offered_work(now), 3),
        "able": round(threshold.capacity, 3),
        "backlog_s": round(threshold.backlog_s, 3),
        "load": round(gate.arrival_rate.read(now) / usual_rate, 2) if usual_rate else None,
        "let_in": gate.admitted,
        "turned_away": {f"{name}: {cause}": count for (name, cause), count in sorted(gate.rejected.items())},
        "order": [
            {
                "class": group.class_name,
                "beyond": group.beyond_quota,
                "from": round(rank_range.start, 3),
                "to": round(rank_range.start + rank_range.width, 3),
            }
            for group, rank_range in rank_ranges
        ],
    }


def _site_section(coordinator: SiteCoordinator, site: str, now: float) -> dict[str, Any]:
    health = coordinator.health.sites[site]
    return {
        "state": str(health.state),
        "for_s": round(now - health.state_since, 1),
        "why": health.reason,
        "losses": len(health.lost_at),
        "workers": _workers_section(coordinator, site),
    }


def _workers_section(coordinator: SiteCoordinator, site: str) -> dict[str, Any]:
    return {peer.name: _worker_section(peer) for peer in coordinator.peers.in_site(site)}


def _worker_section(peer: PeerWorker) -> dict[str, Any]:
    if peer.report is None:
        return {"state": peer.state}
    stage = peer.report.stage
    return {
        "state": peer.state,
        "age_s": round(peer.age_s, 2),
        "level": peer.report.admission_threshold,
        "weight": peer.report.weight,
        "step": STAGE_NAMES.get(stage, f"step {stage}"),
    }


def _commands_section(coordinator: SiteCoordinator, now: float) -> dict[str, Any]:
    return {
        site: {
            "word": str(command.kind),
            "number": command.number,
            "by": command.issued_by,
            "left_s": round(command.expires_at - now, 1),
        }
        for site, command in coordinator.commands.by_site.items()
        if command.expires_at > now
    }


def _playbook_section(coordinator: SiteCoordinator) -> dict[str, Any] | None:
    playbook = coordinator.playbooks.current
    if playbook is None:
        return None
    older_at = [
        peer.name
        for peer in coordinator.peers.workers
        if (report := peer.fresh_report) is not None and report.playbook.made < playbook.made_at
    ]
    return {
        "made": playbook.made_at,
        "digest": playbook.digest,
        "from": coordinator.playbooks.source,
        "older_at": sorted(older_at),
        "unknown_workers": _worker_count_differences(coordinator, playbook),
    }


def _worker_count_differences(coordinator: SiteCoordinator, playbook: Playbook) -> list[str]:
    """Describes each site for which the playbook lists another number of workers than membership."""
    worker_counts = {coordinator.site: 1}
    for peer in coordinator.peers.workers:
        worker_counts[peer.site] = worker_counts.get(peer.site, 0) + 1
    return [
        f"{site}: {len(addresses)} in the playbook, {worker_counts.get(site, 0)} here"
        for site, addresses in playbook.workers_by_site.items()
        if len(addresses) != worker_counts.get(site, 0)
    ]
