"""Tables [peers] for workers of one fleet on loopback."""

import socket
from typing import Any

SECRET = "for this measurement"


def free_udp_ports(count: int) -> list[int]:
    """Different UDP ports of loopback that were free a moment ago."""
    probes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


def peer_tables(count: int, budget: dict[str, Any]) -> list[dict[str, Any]]:
    """The tables of workers n1, n2 ... that know each other and share one budget; each is a voter."""
    addresses = {f"n{number + 1}": f"127.0.0.1:{port}" for number, port in enumerate(free_udp_ports(count))}
    return [
        {
            "listen": addresses[own_name],
            "group": "cost",
            "secrets": [SECRET],
            "voters": list(addresses),
            "members": {name: address for name, address in addresses.items() if name != own_name},
            "budgets": [budget],
        }
        for own_name in addresses
    ]
