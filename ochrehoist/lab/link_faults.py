"""Faults of the links of a run (asyncio)."""

import asyncio

from ochrehoist.lab.deployment import Deployment
from ochrehoist.lab.fault_proxy import NO_DELAY_S, ConnectionProxy, DatagramProxy
from ochrehoist.lab.fault_schedule import Fault, FaultKind

CUTS = (FaultKind.CUT, FaultKind.ONE_WAY_CUT)
LOSSY_DELAY_S = (0.0, 0.1)


class LinkFaultInjector:
    """Puts faults on links, and takes them off."""

    def __init__(self, deployment: Deployment) -> None:
        self._scenario = deployment.scenario
        self._links = deployment.links

    async def inject(self, fault: Fault, targets: list[str]) -> None:
        """Disturbs the links that a fault names, for as long as it lasts."""
        datagrams = self._datagram_proxies(fault, targets)
        connections = self._connection_proxies(fault, targets)
        _set_faults(fault, datagrams, connections, on=True)
        await asyncio.sleep(fault.lasts)
        _set_faults(fault, datagrams, connections, on=False)

    def _datagram_proxies(self, fault: Fault, targets: list[str]) -> list[DatagramProxy]:
        """The links between peers on the two sides."""
        if fault.links not in ("peers", "all"):
            return []
        side = set(targets)
        other_side = set(self._scenario.expand(fault.to)) or set(self._scenario.worker_names) - side
        both_ways = fault.fault_kind is not FaultKind.ONE_WAY_CUT
        return [
            proxy
            for (sender, recipient), proxy in self._links.peers.items()
            if (sender in side and recipient in other_side)
            or (both_ways and sender in other_side and recipient in side)
        ]

    def _connection_proxies(self, fault: Fault, targets: list[str]) -> list[ConnectionProxy]:
        """The links of callers, health checks and services that the fault names."""
        proxies: list[ConnectionProxy] = []
        if fault.links in ("fronts", "all"):
            proxies += [proxy for name, proxy in self._links.fronts.items() if name in targets]
        if fault.links in ("checks", "all"):
            proxies += [proxy for name, proxy in self._links.agents.items() if name in targets]
        if fault.links in ("servers", "all"):
            proxies += [
                proxy
                for (worker, service), proxy in self._links.services.items()
                if worker in targets and (not fault.to or service in fault.to)
            ]
        return proxies


def _set_faults(
    fault: Fault, datagrams: list[DatagramProxy], connections: list[ConnectionProxy], *, on: bool
) -> None:
    for datagram_proxy in datagrams:
        _set_datagram_fault(fault, datagram_proxy, on)
    for connection_proxy in connections:
        _set_connection_fault(fault, connection_proxy, on)


def _set_datagram_fault(fault: Fault, proxy: DatagramProxy, on: bool) -> None:
    kind = fault.fault_kind
    if kind in CUTS:
        proxy.faults.set_cut(on)
    elif kind is FaultKind.HOLD:
        proxy.set_hold(on)
    elif kind is FaultKind.LOSSY_LINKS and on:
        proxy.faults.set_conditions(LOSSY_DELAY_S, loss=fault.amount, duplication=fault.repeat)
    else:
        proxy.faults.set_conditions(_delay_s(fault, on))


def _set_connection_fault(fault: Fault, proxy: ConnectionProxy, on: bool) -> None:
    kind = fault.fault_kind
    if kind in CUTS:
        proxy.set_cut(on)
    elif kind is FaultKind.HOLD:
        proxy.set_hold(on)
    elif kind is FaultKind.TRICKLE:
        proxy.set_trickle(int(fault.amount) if on else 0)
    else:
        proxy.set_answer_delay(_delay_s(fault, on))


def _delay_s(fault: Fault, on: bool) -> tuple[float, float]:
    return (fault.amount / 2, fault.amount) if on else NO_DELAY_S
