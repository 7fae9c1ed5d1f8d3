"""Metrics of one worker's membership in its fleet, in the text format of `/status/metrics`."""

from collections import Counter
from collections.abc import Iterable, Mapping

from ochrehoist.core.metrics import format_samples
from ochrehoist.net.peer_transport import PeerTransport
from ochrehoist.peers.group import Group
from ochrehoist.peers.wire import MemberState

Samples = Iterable[tuple[str, float]]  # labels and value


def _labelled(label: str, values: Mapping[str, float]) -> Samples:
    return [(f'{{{label}="{name}"}}', value) for name, value in values.items()]


def peer_metrics(group: Group, transport: PeerTransport, now: float) -> str:
    """Returns all metrics as text."""
    states = Counter(member.state for member in group.members.members.values())
    shares = group.shares
    services = group.outliers.services
    rejected = {reason.value: count for reason, count in sorted(transport.rejected_counts.items())}
    traffic = {"out": transport.sent_bytes, "in": transport.received_bytes}
    samples: dict[str, Samples] = {
        "app_peers": _labelled("state", {state.value: states[state] for state in MemberState}),
        "app_peers_alone_seconds": [("", group.members.isolated_for_s(now) or 0.0)],
        "app_peers_duplicate": [("", int(group.superseded))],
        "app_peers_rejected_total": _labelled("why", rejected),
        "app_peers_bytes_total": _labelled("way", traffic),
        "app_budget_held": _labelled(
            "budget", {name: share.holder.amount(now) for name, share in shares.items()}
        ),
        "app_budget_used_total": _labelled(
            "budget", {name: share.meter.used_count for name, share in shares.items()}
        ),
        "app_budget_denied_total": _labelled(
            "budget", {name: share.meter.denied_count for name, share in shares.items()}
        ),
        "app_server_left_out": _labelled(
            "server", {name: int(service.is_ejected) for name, service in services.items()}
        ),
    }
    return format_samples(samples)
