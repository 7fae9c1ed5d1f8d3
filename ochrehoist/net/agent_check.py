"""What load balancers ask about this worker: HAProxy's agent-check."""

import socket

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import Logger
from ochrehoist.net.listener import BaseServer
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream


def agent_line(core: CoreActor) -> bytes:
    """The worker's state as HAProxy reads it.

    The admission controller decides on health; its backpressure, and the fraction of its load that the worker
    asks for, give the weight.
    """
    if core.drain_started_ns is not None or core.standby or core.load_fraction <= 0:
        return b"drain\n"
    if not core.healthy:
        return b"down\n"
    return b"up %d%%\n" % max(1, round(core.backpressure_weight_pct * core.load_fraction))


class AgentCheckServer(BaseServer):
    """Sends one line to whoever connects, and closes. What the checker may send first is ignored."""

    LISTENER_NAME = "AgentCheck"

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        address: tuple[str, int],
        log: Logger,
        sock: socket.socket | None = None,
    ) -> None:
        """Binds the address, as Acceptor does; raises OSError."""
        self._core = core
        super().__init__(loop, address, log, sock)

    def handle(self, stream: Stream) -> None:
        """See BaseServer."""
        stream.write(agent_line(self._core))
