"""Messages between peers that nobody should believe (asyncio)."""

import asyncio
import itertools
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random

from ochrehoist.lab.deployment import Deployment
from ochrehoist.lab.fault_proxy import DatagramProxy
from ochrehoist.lab.fault_schedule import Fault
from ochrehoist.lab.worker_configuration import GROUP_SECRET
from ochrehoist.peers import wire

GARBAGE_INTERVAL_S = 0.002
MAX_GARBAGE_BYTES = 400
FLOOD_INTERVAL_S = 0.0005
FLOODING_MEMBER = wire.Incarnation("w99", 1, 1)
NONCE_BITS = 60
MAX_REPLAYED = 5000


class MessageInjector:
    """Sends messages to workers beside those of their peers."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment

    async def send_garbage(self, fault: Fault, targets: list[str]) -> None:
        """Datagrams that begin like messages, and are none."""
        random = Random(f"{self._deployment.seed}/garble")

        def garbage() -> bytes:
            return wire.MAGIC + random.randbytes(random.randint(0, MAX_GARBAGE_BYTES))

        await self._send_repeatedly(fault, targets, garbage, GARBAGE_INTERVAL_S)

    async def flood(self, fault: Fault, targets: list[str]) -> None:
        """Messages of one that knows the secret, and answers what nobody asked."""
        random = Random(f"{self._deployment.seed}/flood")
        sequence = itertools.count(1)

        def unsolicited_ack() -> bytes:
            payloads: list[wire.Payload] = [wire.Ack(random.getrandbits(NONCE_BITS))]
            message = wire.Message(
                "lab", FLOODING_MEMBER, "w0", wire.UNKNOWN_INCARNATION, next(sequence), payloads
            )
            return wire.encode_datagram(message, GROUP_SECRET.encode())

        await self._send_repeatedly(fault, targets, unsolicited_ack, FLOOD_INTERVAL_S)

    async def _send_repeatedly(
        self, fault: Fault, targets: list[str], datagram: Callable[[], bytes], interval_s: float
    ) -> None:
        clock = self._deployment.clock
        ends_s = clock() + fault.lasts
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            while clock() < ends_s:
                for name in targets:
                    with suppress(OSError):
                        sock.sendto(datagram(), self._deployment.workers[name].addresses["Peers"])
                await asyncio.sleep(interval_s)

    async def replay(self, fault: Fault, targets: list[str]) -> None:
        """All that comes to these is recorded, and comes once more when the fault ends."""
        proxies = [
            proxy for (_, recipient), proxy in self._deployment.links.peers.items() if recipient in targets
        ]
        recorded: list[tuple[DatagramProxy, bytes]] = []

        def record(proxy: DatagramProxy, data: bytes) -> None:
            if len(recorded) < MAX_REPLAYED:
                recorded.append((proxy, data))

        for proxy in proxies:
            proxy.set_tap(partial(record, proxy))
        await asyncio.sleep(fault.lasts)
        for proxy in proxies:
            proxy.set_tap(None)
        for proxy, data in recorded:
            proxy.forward(data)
