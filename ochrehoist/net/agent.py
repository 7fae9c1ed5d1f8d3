"""What balancers ask about this worker: HAProxy's agent-check lines."""

import socket
from typing import Any

from ochrehoist.core.actor import CoreActor
from ochrehoist.net.listener import Service
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream


def agent_line(owner: CoreActor) -> bytes:
    """The state as HAProxy reads it. The module's Health decides; its advice, and the part of its load that
    the worker asks for, give the weight."""
    if owner.drain_started_ns is not None or owner.standby or owner.load_fraction <= 0:
        return b"drain\n"
    if not owner.healthy:
        return b"down\n"
    return b"up %d%%\n" % max(1, round(owner.backpressure_weight_pct * owner.load_fraction))


class AgentCheck(Service):
    """Says one line to whoever connects, and closes. What the checker may send first is passed over."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        address: tuple[str, int],
        log: Any,
        sock: socket.socket | None = None,
    ) -> None:
        self.owner = owner
        super().__init__(loop, address, log, sock)

    def serve(self, stream: Stream) -> None:
        stream.write(agent_line(self.owner))
