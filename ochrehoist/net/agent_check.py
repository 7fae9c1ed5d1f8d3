"""Server for HAProxy's agent-check, with which load balancers query the worker's state and weight."""

import socket

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import Logger
from ochrehoist.net.listener import BaseServer
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream


def agent_line(core: CoreActor) -> bytes:
    """Returns the worker's state in HAProxy's format.

    The admission controller decides on health. The weight is the product of its backpressure weight and the
    fraction of load that the worker asks for.
    """
    if core.ended:
        return b"down\n"
    if core.drain_started_ns is not None or core.standby or core.load_fraction <= 0:
        return b"drain\n"
    if not core.healthy:
        return b"down\n"
    return b"up %d%%\n" % max(1, round(core.backpressure_weight_pct * core.load_fraction))


class AgentCheckServer(BaseServer):
    """Server that sends one line on each connection and closes it; any input is ignored."""

    LISTENER_NAME = "AgentCheck"

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        address: tuple[str, int],
        log: Logger,
        sock: socket.socket | None = None,
    ) -> None:
        """Binds the address; raises OSError like `Acceptor`."""
        self._core = core
        super().__init__(loop, address, log, sock)

    def handle(self, stream: Stream) -> None:
        """See BaseServer."""
        stream.write(agent_line(self._core))
