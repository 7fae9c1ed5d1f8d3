"""What the fronts have in common: their connections, admission before the core, and how they are drained."""

from __future__ import annotations

import itertools
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.request import InboundRequest
from ochrehoist.net.listener import Acceptor, RequestPacer, evict_one
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream

if TYPE_CHECKING:
    from ochrehoist.core.protocols import AdmissionFilter, Logger

MESSAGE_TIMEOUT_S = 2.5  # for a message that was begun, and for the first one of a new connection
STALLED_S = 1.0  # without a byte after which a message that was begun counts as never to be completed
SLOW_START_S = 0.2  # after its connect that a first message must still be arriving to count as a slow one
FRESH_S = 0.05  # after its connect within which a first request would cross a close
SILENT_S = 0.5  # that a new connection has before it counts as silent

ReadRequest = Callable[..., InboundRequest]  # builds the core's request from what a front has read


class FrontConnection:
    """What a front knows of each of its connections.

    Attributes:
        stream: Its socket.
        number: By which admission tells callers apart.
        opened_at_s: When it was accepted.
        used_at_s: When it last asked or was answered; at first, when it was accepted.
        served: A request of it was answered with a result, once at least.
        pacer: Limits how fast it is read while it was never served.
    """

    def __init__(self, loop: Loop, stream: Stream, number: int) -> None:
        self.stream = stream
        self.number = number
        self.opened_at_s = self.used_at_s = time.monotonic()
        self.served = False
        self.pacer = RequestPacer(loop)


ConnectionT = TypeVar("ConnectionT", bound=FrontConnection)


class FrontContext(Protocol):
    """What the connections of any front need of it."""

    core: CoreActor
    draining: bool
    admission_filter: AdmissionFilter | None
    read_request: ReadRequest

    def retry_after_ns(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """See `Front.retry_after_ns`."""
        ...


class Front(ABC, Generic[ConnectionT]):
    """Accepts the connections of one protocol. It is a LifecycleListener of the core.

    Attributes:
        PART_NAME: In the log, the status and on the handover link.
        connections: Those that are open.
        draining: No further request is taken than what is on its way.
        admission_filter: Sheds load before the core is asked, where overload control is configured.
        read_request: Builds the core's request from what was read.
        acceptor: The listening socket.
    """

    PART_NAME: str

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        address: tuple[str, int],
        max_connections: int,
        log: Logger,
        sock: socket.socket | None,
        admission_filter: AdmissionFilter | None,
        read_request: ReadRequest,
    ) -> None:
        """Binds the address, as Acceptor does; raises OSError."""
        self.loop = loop
        self.core = core
        self.log = log
        self.connections: set[ConnectionT] = set()
        self.draining = False
        self.admission_filter = admission_filter
        self.read_request = read_request
        self._numbers = itertools.count(1)
        self.acceptor = Acceptor(loop, address, self._accept, max_connections, log, sock, self._evict)

    def instrument_reading(self, wrap: Callable[[ReadRequest], ReadRequest]) -> None:
        """Puts a wrapper, such as a timer, around the reading of each request."""
        self.read_request = wrap(self.read_request)

    def retry_after_ns(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """The Retry-After of a request that is rejected before the core sees it; None to admit it."""
        if self.admission_filter is None or not self.core.decides:
            return None
        return self.admission_filter.check_admission(class_name, tenant, caller, age_ns)

    def unsent_bytes(self) -> int:
        """Bytes of all answers that were written and not yet taken."""
        return sum(len(connection.stream.unsent) for connection in self.connections)

    # ---- connections
    @abstractmethod
    def _open_connection(self, sock: socket.socket) -> tuple[ConnectionT, Callable[[], None]]:
        """A connection, and what its task runs."""

    @abstractmethod
    def _can_evict(self, connection: ConnectionT, now_s: float) -> bool:
        """Whether closing it now would lose no request that is here or is being answered."""

    @abstractmethod
    def _eviction_rank(self, connection: ConnectionT, now_s: float) -> tuple[int, float]:
        """Connections of the lowest rank are closed first."""

    def _accept(self, sock: socket.socket) -> Callable[[], None]:
        connection, run = self._open_connection(sock)
        connection.stream.call_on_close(lambda: self._connection_closed(connection))
        self.connections.add(connection)
        return run

    def _connection_closed(self, connection: ConnectionT) -> None:
        self.connections.discard(connection)
        self.acceptor.connection_closed()

    def _evict(self) -> bool:
        """Makes room for another connection; returns whether one could be closed."""
        now_s = time.monotonic()
        return evict_one(
            [connection for connection in self.connections if self._can_evict(connection, now_s)],
            lambda connection: self._eviction_rank(connection, now_s),
            lambda connection: connection.stream,
        )

    # ---- draining
    @abstractmethod
    def end_idle(self) -> None:
        """Ends connections on which nothing is asked; called repeatedly while the process ends."""

    def retire(self) -> None:
        """Another process takes what comes from now on."""
        self.draining = True

    def health_changed(self, good: bool) -> None:
        """Health checks are answered from the core's state."""

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Idle connections are to be kept for so long from now on."""

    def shutdown_started(self, remaining_ns: int) -> None:  # noqa: ARG002 (of the LifecycleListener)
        """The worker drains."""
        self.draining = True
