"""Files of a small fleet as in deploy/peers.toml: three appliances, which are each other's grantors."""

from dataclasses import dataclass
from typing import Any

from review.support_2.appliance import settings
from review.support_2.case import free_ports

NAMES = ("register-1", "register-2", "register-3")


@dataclass
class Member:
    """The ports of one worker."""

    name: str
    ajp: int
    admin: int
    peers: int


def members() -> list[Member]:
    """Three workers with free ports; peers' datagrams use ports of their own kind."""
    import socket

    tcp, udp = free_ports(6), free_ports(3, socket.SOCK_DGRAM)
    return [Member(name, tcp[2 * n], tcp[2 * n + 1], udp[n]) for n, name in enumerate(NAMES)]


def budget(amount: int, longest_ms: int, **more: Any) -> dict[str, Any]:
    """A budget of runs at once at the server, as `register-runs` in deploy/peers.toml."""
    return {
        "name": "register-runs",
        "use": "server",
        "of": "register-db",
        "amount": amount,
        "longest_ms": longest_ms,
        **more,
    }


def file(
    member: Member,
    others: dict[str, int],
    server: str,
    budgets: list[dict[str, Any]],
    listen: int | None = None,
    **more: Any,
) -> dict[str, Any]:
    """The file of one worker; `others` are the ports at which it reaches the others."""
    peers = {
        "listen": f"127.0.0.1:{listen or member.peers}",
        "group": "register",
        "secrets": ["sixteen characters or more"],
        "probe_ms": 100,
        "voters": list(NAMES),
        "members": {name: f"127.0.0.1:{port}" for name, port in others.items()},
        "budgets": budgets,
    }
    return settings(member.name, member.ajp, member.admin, server, peers=peers, **more)


def most_at_once(runs: list[dict[str, Any]], now: float) -> int:
    """The most runs that the server had at once."""
    changes = [(run["from"], 1) for run in runs] + [(run["to"] or now, -1) for run in runs]
    open_now = most = 0
    for _, change in sorted(changes):
        open_now += change
        most = max(most, open_now)
    return most
