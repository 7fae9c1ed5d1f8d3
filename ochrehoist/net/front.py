"""The base class of the protocol fronts: connection tracking, early admission control and draining."""

from __future__ import annotations

import itertools
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.request import InboundRequest
from ochrehoist.net.input_memory import InputMemory
from ochrehoist.net.listener import Acceptor, RequestPacer, evict_lowest_ranked
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream

if TYPE_CHECKING:
    from ochrehoist.core.protocols import AdmissionFilter, Logger

# For a whole message, from its first byte; for the first message of a connection, from its acceptance.
MESSAGE_ARRIVAL_TIMEOUT_S = 2.5
STALLED_AFTER_LAST_BYTE_S = 1.0  # a partial message is not expected to be completed after this pause
SLOW_AFTER_ACCEPT_S = 0.2  # input that arrives later than this belongs to a slow first message
EVICTABLE_AFTER_ACCEPT_S = 0.05  # a close before this would cross a first request that is on its way
SILENT_AFTER_LAST_BYTE_S = 0.5  # for a connection without a message; initially from its acceptance
EVICTION_LOG_INTERVAL_S = 1.0

# Builds the core's request from a message that a front has parsed.
ReadRequest = Callable[..., InboundRequest]


class FrontConnection(ABC):
    """A client connection of a front; the base class of the protocols' connections.

    Times are of time.monotonic().

    Attributes:
        stream: The buffered socket.
        number: Identifies the connection, and so its caller, to the admission filter.
        accepted_at_s: When the connection was accepted.
        last_used_at_s: When the last request or response was handled; initially the time of acceptance.
        served: Whether at least one request was answered with a result.
        pacer: Limits the rate at which requests are read until one has been answered with a result.
    """

    def __init__(self, loop: Loop, stream: Stream, number: int) -> None:
        self.stream = stream
        self.number = number
        self.accepted_at_s = self.last_used_at_s = time.monotonic()
        self.served = False
        self.pacer = RequestPacer(loop)
        self._loop = loop

    @abstractmethod
    def has_complete_message(self) -> bool:
        """Returns whether the next message is completely buffered."""


ConnectionT = TypeVar("ConnectionT", bound=FrontConnection)


class FrontContext(Protocol):
    """The interface of a front that its connections use, whatever the protocol."""

    core: CoreActor
    draining: bool
    admission_filter: AdmissionFilter | None
    read_request: ReadRequest

    def retry_after_ns(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """See `Front.retry_after_ns`."""
        ...


class Front(ABC, Generic[ConnectionT]):
    """A server for the connections of one protocol. It is a LifecycleListener of the core.

    Attributes:
        LISTENER_NAME: The name in the log, in the status and on the handover link.
        connections: The open connections.
        draining: Whether clients are told to send no further requests; those already sent are answered.
        admission_filter: Sheds load before a request reaches the core; None without overload control.
        read_request: Builds the core's request from a parsed message.
        acceptor: Accepts connections on the listening socket.
        input_memory: Limits what connections hold of messages that are not handled yet.
    """

    LISTENER_NAME: str

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        address: tuple[str, int],
        max_connections: int,
        max_input_bytes: int,
        log: Logger,
        sock: socket.socket | None,
        admission_filter: AdmissionFilter | None,
        read_request: ReadRequest,
    ) -> None:
        """Binds the address, unless `sock` is given; raises OSError if that fails."""
        self.loop = loop
        self.core = core
        self.log = log
        self.connections: set[ConnectionT] = set()
        self.draining = False
        self.admission_filter = admission_filter
        self.read_request = read_request
        self.input_memory = InputMemory(max_input_bytes, self._incomplete_streams, self._input_evicted)
        self._evicted_count = 0  # connections closed for their input, since the last line in the log
        self._evicted_logged_at_s = 0.0
        self._connection_ids = itertools.count(1)
        self.acceptor = Acceptor(loop, address, self._accept, max_connections, log, sock, self._evict)

    def instrument_reading(self, wrap: Callable[[ReadRequest], ReadRequest]) -> None:
        """Replaces `read_request` by a wrapper around it, such as one that measures its duration."""
        self.read_request = wrap(self.read_request)

    def retry_after_ns(self, class_name: str, tenant: str | None, caller: int, age_ns: int) -> int | None:
        """Returns the retry delay of a request to reject before it reaches the core, or None to admit it.

        Args:
            class_name: The class of the request.
            tenant: The tenant of the request, if known.
            caller: Identifies the caller.
            age_ns: Time since the caller sent the request.
        """
        if self.admission_filter is None or not self.core.decides:
            return None
        return self.admission_filter.check_admission(class_name, tenant, caller, age_ns)

    def unsent_bytes(self) -> int:
        """Returns the total size of the responses that the clients have not received yet."""
        return sum(len(connection.stream.unsent) for connection in self.connections)

    def _input_evicted(self, count: int) -> None:
        """Logs in summary that connections were closed because of their incomplete messages."""
        self._evicted_count += count
        now_s = time.monotonic()
        if now_s - self._evicted_logged_at_s < EVICTION_LOG_INTERVAL_S:
            return
        self.log.warning("input_memory_exceeded", front=self.LISTENER_NAME, closed=self._evicted_count)
        self._evicted_count = 0
        self._evicted_logged_at_s = now_s

    # ---- connections
    def _incomplete_streams(self) -> list[Stream]:
        """Returns the streams that hold a part of a message, but no complete one."""
        return [c.stream for c in self.connections if c.stream.buffer and not c.has_complete_message()]

    @abstractmethod
    def _open_connection(self, sock: socket.socket) -> tuple[ConnectionT, Callable[[], None]]:
        """Returns a new connection, and the function that its task runs."""

    @abstractmethod
    def _can_evict(self, connection: ConnectionT, now_s: float) -> bool:
        """Returns whether the connection can be closed without losing a received or unanswered request."""

    @abstractmethod
    def _eviction_rank(self, connection: ConnectionT, now_s: float) -> tuple[int, float]:
        """Returns the sort key for evictions; the connection with the lowest rank is closed first."""

    def _accept(self, sock: socket.socket) -> Callable[[], None]:
        connection, run = self._open_connection(sock)
        connection.stream.call_on_close(lambda: self._connection_closed(connection))
        self.connections.add(connection)
        return run

    def _connection_closed(self, connection: ConnectionT) -> None:
        self.connections.discard(connection)
        self.acceptor.connection_closed()

    def _evict(self) -> bool:
        """Closes one connection to make room for another; returns whether there was one to close."""
        now_s = time.monotonic()
        return evict_lowest_ranked(
            [connection for connection in self.connections if self._can_evict(connection, now_s)],
            lambda connection: self._eviction_rank(connection, now_s),
            lambda connection: connection.stream,
        )

    # ---- draining
    @abstractmethod
    def end_idle_connections(self) -> None:
        """Ends connections without open requests; called repeatedly during shutdown."""

    def retire(self) -> None:
        """Starts draining after a successor process has taken over the listening socket."""
        self.draining = True

    def health_changed(self, good: bool) -> None:
        """Does nothing, since health checks read the state of the core."""

    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Does nothing by default; a front with its own idle timeout applies the new one."""

    def shutdown_started(self, remaining_ns: int) -> None:  # noqa: ARG002 (part of LifecycleListener)
        """Starts draining."""
        self.draining = True
