"""The Thrift front: accepts connections of the platform's routers, and ends or evicts connections.

Routers call requests and health checks.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING

from ochrehoist.admission.settings import AdmissionSettings, RequestClass
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import CallerDisconnected
from ochrehoist.net.front import (
    EVICTABLE_AFTER_ACCEPT_S,
    MESSAGE_ARRIVAL_TIMEOUT_S,
    SILENT_AFTER_LAST_BYTE_S,
    SLOW_AFTER_ACCEPT_S,
    STALLED_AFTER_LAST_BYTE_S,
    Front,
)
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream
from ochrehoist.net.thrift_connection import ThriftConnection
from ochrehoist.net.thrift_reader import ThriftReader
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import AdmissionFilter, Logger
    from ochrehoist.core.request import Executor

# Fixed, since the operating system would grow the buffer to megabytes for a slow reader.
SOCKET_SEND_BUFFER_BYTES = 64 * 1024
FIRST_SWEEP_DELAY_S = 0.1
SWEEP_INTERVAL_S = 0.05
CLOSE_AFTER_FAREWELL_S = 0.5  # for the router to close the connection, from the farewell or the last use
# Above this fraction of the connection limit, connections with at most one request are ended early: after
# EARLY_END_IDLE_S without a request.
EARLY_END_FRACTION = 0.125
EARLY_END_IDLE_S = 2.0
MALFORMED_LOG_INTERVAL_S = 1.0


class EvictionRank(IntEnum):
    """The order in which connections are evicted, lowest first."""

    CLOSING = 0
    SILENT = 1
    USED_ONCE_OR_NEVER_SERVED = 2
    STALLED = 3
    NEW = 4
    IDLE = 5
    SENDING = 6  # a valid request may take seconds to arrive


class ThriftFront(Front[ThriftConnection]):
    """The front for routers.

    A router is asked by a farewell message to close its idle connection, since a close by the worker could
    cross a request.

    Attributes:
        class_names: The names of the request classes, by their bytes on the wire.
    """

    LISTENER_NAME = "ThriftFront"

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        executor: Executor,
        address: tuple[str, int],
        max_connections: int,
        max_unsent_bytes: int,
        max_input_bytes: int,
        log: Logger,
        sock: socket.socket | None = None,
        admission_filter: AdmissionFilter | None = None,
    ) -> None:
        """Binds the address, unless `sock` is given.

        Args:
            loop: The event loop.
            core: Decides which requests run.
            executor: Runs the requests.
            address: Host and port to listen on.
            max_connections: Maximum number of open connections.
            max_unsent_bytes: Memory limit of all replies that routers have not received yet.
            max_input_bytes: Memory limit of the calls that have not arrived completely.
            log: The log of the worker.
            sock: A socket that is listening already.
            admission_filter: Sheds load before a request reaches the core.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reader = ThriftReader(core, executor)
        super().__init__(
            loop,
            core,
            address,
            max_connections,
            max_input_bytes,
            log,
            sock,
            admission_filter,
            self._reader.read_request,
        )
        self.class_names: dict[bytes, str] = {}
        self.configure(core.settings)
        self._max_unsent_bytes = max_unsent_bytes
        self._idle_timeout_s = core.settings.idle_timeout_ns / NS_PER_S
        self._malformed_count = 0
        self._malformed_reason = ""
        self._malformed_logged_at_s = 0.0
        call_periodically(loop, SWEEP_INTERVAL_S, self._sweep, FIRST_SWEEP_DELAY_S)

    @property
    def classes(self) -> dict[str, RequestClass]:
        """The request classes by name, including removed ones."""
        return self._reader.classes

    def configure(self, settings: AdmissionSettings) -> None:
        """Adds the request classes of changed settings."""
        self._reader.configure(settings)
        self.class_names = {name.encode(): name for name in self._reader.classes}

    # ---- called by connections
    def record_malformed_frame(self, reason: str) -> None:
        """Counts a malformed frame; they are logged in summary, so that a flood does not fill the log."""
        self._malformed_count += 1
        self._malformed_reason = reason

    def limit_unsent(self) -> None:
        """Closes the connections with the most unsent bytes until the memory limit of all replies is met."""
        while self.unsent_bytes() > self._max_unsent_bytes:
            max(self.connections, key=lambda connection: len(connection.stream.unsent)).stream.close()

    # ---- connections
    def _open_connection(self, sock: socket.socket) -> tuple[ThriftConnection, Callable[[], None]]:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_SEND_BUFFER_BYTES)
        stream = Stream(self.loop, sock, input_memory=self.input_memory)
        connection = ThriftConnection(self, self.loop, stream, next(self._connection_ids))
        return connection, connection.run

    def _connection_closed(self, connection: ThriftConnection) -> None:
        super()._connection_closed(connection)
        for request in connection.open_requests.values():
            self.core.post(CallerDisconnected(request.reference, gave_up=False))
        connection.open_requests.clear()

    def _eviction_rank(self, connection: ThriftConnection, now_s: float) -> tuple[EvictionRank, float]:
        stream = connection.stream
        silence_s = now_s - stream.received_at_s
        used_once_or_never_served = connection.request_count <= 1 or not connection.served
        is_slow_start = stream.received_at_s - connection.accepted_at_s > SLOW_AFTER_ACCEPT_S
        if stream.half_closed or connection.farewell_sent_at_s:
            rank = EvictionRank.CLOSING
        elif stream.buffer and silence_s > STALLED_AFTER_LAST_BYTE_S:
            rank = EvictionRank.STALLED
        elif stream.buffer and (connection.replied or is_slow_start):
            rank = EvictionRank.SENDING
        elif connection.replied:
            rank = EvictionRank.USED_ONCE_OR_NEVER_SERVED if used_once_or_never_served else EvictionRank.IDLE
        elif not stream.buffer and silence_s > SILENT_AFTER_LAST_BYTE_S:
            rank = EvictionRank.SILENT
        else:
            rank = EvictionRank.NEW
        return rank, connection.last_used_at_s

    def _can_evict(self, connection: ThriftConnection, now_s: float) -> bool:
        stream = connection.stream
        if connection.open_requests or now_s - connection.accepted_at_s <= EVICTABLE_AFTER_ACCEPT_S:
            return False
        # A received request protects its connection, unless the connection exceeds its request rate.
        if connection.has_complete_message() and not connection.pacer.exceeded:
            return False
        # The first request of a newly accepted connection may have arrived, but not been read yet.
        return bool(stream.awaits_input or stream.buffer or stream.ended)

    # ---- idle connections
    def _sweep(self) -> None:
        now_s = time.monotonic()
        ends_early = len(self.connections) > EARLY_END_FRACTION * self.acceptor.limit
        for connection in list(self.connections):
            if not self._is_busy(connection):
                self._end_if_idle(connection, now_s, ends_early)
        if self._malformed_count and now_s - self._malformed_logged_at_s > MALFORMED_LOG_INTERVAL_S:
            self._log_malformed(now_s)

    @staticmethod
    def _is_busy(connection: ThriftConnection) -> bool:
        """Returns whether the connection has requests to read or answer, or is closing already."""
        stream = connection.stream
        if connection.open_requests or connection.reading_stopped or stream.closing or stream.closed:
            return True
        return bool(stream.buffer) and connection.has_complete_message()

    def _end_if_idle(self, connection: ThriftConnection, now_s: float, ends_early: bool) -> None:
        stream = connection.stream
        # A connection that is still sending a request is in use.
        last_used_at_s = connection.last_used_at_s
        if stream.buffer:
            last_used_at_s = max(last_used_at_s, stream.received_at_s)
        age_s = now_s - connection.accepted_at_s
        if connection.farewell_sent_at_s is not None:
            self._close_after_farewell(connection, connection.farewell_sent_at_s, last_used_at_s, now_s)
        elif not connection.has_sent_request and age_s > MESSAGE_ARRIVAL_TIMEOUT_S:
            if not stream.read_available():
                stream.close()  # no request arrived, so the router waits for no reply
        elif self._is_idle(connection, now_s - last_used_at_s, age_s, ends_early):
            connection.send_farewell()

    @staticmethod
    def _close_after_farewell(
        connection: ThriftConnection, farewell_sent_at_s: float, last_used_at_s: float, now_s: float
    ) -> None:
        waited_s = now_s - max(farewell_sent_at_s, last_used_at_s)
        if waited_s > CLOSE_AFTER_FAREWELL_S and not connection.stream.read_available():
            connection.stream.close_when_sent()

    def _is_idle(self, connection: ThriftConnection, idle_s: float, age_s: float, ends_early: bool) -> bool:
        if (
            connection.has_sent_request
            and not connection.replied
            and idle_s > CLOSE_AFTER_FAREWELL_S
            and age_s > MESSAGE_ARRIVAL_TIMEOUT_S - CLOSE_AFTER_FAREWELL_S
        ):
            return True  # all its calls were aborted; a farewell, since another one may be on its way
        if connection.only_pinged:
            return False
        if idle_s > self._idle_timeout_s > 0:
            return True
        return ends_early and connection.request_count <= 1 and idle_s > EARLY_END_IDLE_S

    def _log_malformed(self, now_s: float) -> None:
        self.log.warning(
            "thrift_frames_malformed", count=self._malformed_count, last_reason=self._malformed_reason
        )
        self._malformed_count = 0
        self._malformed_logged_at_s = now_s

    # ---- draining
    def idle_timeout_changed(self, idle_timeout_ns: int) -> None:
        """Applies a changed idle timeout; with 0, idle connections are kept open."""
        self._idle_timeout_s = idle_timeout_ns / NS_PER_S

    def shutdown_started(self, remaining_ns: int) -> None:
        """Sends a farewell on idle connections, except those that only make health checks."""
        super().shutdown_started(remaining_ns)
        for connection in list(self.connections):
            if not connection.open_requests and not connection.only_pinged:
                connection.send_farewell()

    def retire(self) -> None:
        """Starts draining after a successor process has taken over, and sends a farewell on all connections.

        Busy connections need one too, since their routers would otherwise keep using them.
        """
        super().retire()
        for connection in list(self.connections):
            connection.send_farewell()

    def end_idle_connections(self) -> None:
        """Sends a farewell on connections without open requests."""
        for connection in list(self.connections):
            if not connection.open_requests:
                connection.send_farewell()
