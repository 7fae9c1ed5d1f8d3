"""The AJP front: accepts connections of web servers, and evicts connections when there are too many."""

import socket
from collections.abc import Callable, Generator
from enum import IntEnum

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import AdmissionFilter, Logger
from ochrehoist.core.request import Executor
from ochrehoist.net.ajp_connection import AjpConnection
from ochrehoist.net.ajp_reader import AjpReader
from ochrehoist.net.front import (
    EVICTABLE_AFTER_ACCEPT_S,
    SILENT_AFTER_LAST_BYTE_S,
    SLOW_AFTER_ACCEPT_S,
    STALLED_AFTER_LAST_BYTE_S,
    Front,
)
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Stream

# Output buffer of a connection beyond two responses; buffering keeps a slow reader from delaying others.
UNSENT_ALLOWANCE_BYTES = 65536


class EvictionRank(IntEnum):
    """The order in which connections are evicted, lowest first."""

    CLOSING = 0
    STALLED = 1
    NEW = 2
    IDLE = 3
    SENDING = 4  # a first request that arrives slowly may be valid


class AjpFront(Front[AjpConnection]):
    """The front for web servers.

    AJP has no message that asks a client to close: the task of an idle connection closes it.

    Attributes:
        config: The active configuration.
        reader: Checks Forward Requests and builds the core's requests.
        max_bytes: Memory limit of all incoming request bodies, and likewise of all unsent responses.
        body_bytes: Memory in use by incoming request bodies.
    """

    LISTENER_NAME = "AjpFront"

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        executor: Executor,
        config: AjpConfig,
        max_connections: int,
        max_bytes: int,
        max_input_bytes: int,
        log: Logger,
        sock: socket.socket | None = None,
        admission_filter: AdmissionFilter | None = None,
    ) -> None:
        """Binds the address of `config`, unless `sock` is given.

        Args:
            loop: The event loop.
            core: Decides which requests run.
            executor: Runs the requests.
            config: Address, routes, limits and time-outs.
            max_connections: Maximum number of open connections.
            max_bytes: Memory limit of all incoming request bodies, and likewise of all unsent responses.
            max_input_bytes: Memory limit of the packets that have not arrived completely.
            log: The log of the worker.
            sock: A socket that is listening already.
            admission_filter: Sheds load before a request reaches the core.

        Raises:
            OSError: The address cannot be bound.
        """
        self.reader = AjpReader(core, executor, config)
        super().__init__(
            loop,
            core,
            config.listen,
            max_connections,
            max_input_bytes,
            log,
            sock,
            admission_filter,
            self.reader.read_request,
        )
        self.config = config
        self.max_bytes = max_bytes
        self.body_bytes = 0

    def prepare(
        self, config: AjpConfig, settings: AdmissionSettings
    ) -> Generator[None, None, Callable[[], None]]:
        """Prepares a changed configuration in short steps; returns a function that applies it.

        Requests that were checked before it is applied keep their class.
        """
        commit_reader = yield from self.reader.prepare(config, settings)

        def commit() -> None:
            """Applies the configuration to the front and its reader, without yielding in between."""
            self.config = config
            commit_reader()

        return commit

    # ---- called by connections
    def add_body_bytes(self, delta_bytes: int) -> None:
        """See AjpFrontContext."""
        self.body_bytes += delta_bytes

    # ---- connections
    def _open_connection(self, sock: socket.socket) -> tuple[AjpConnection, Callable[[], None]]:
        max_unsent_bytes = self.config.max_response * 2 + UNSENT_ALLOWANCE_BYTES
        stream = Stream(self.loop, sock, max_unsent_bytes, input_memory=self.input_memory)
        connection = AjpConnection(self, self.loop, stream, next(self._connection_ids))
        return connection, connection.run

    def _can_evict(self, connection: AjpConnection, now_s: float) -> bool:
        if connection.busy:
            return False
        if connection.has_sent_packet:
            return not connection.stream.buffer  # buffered input belongs to a request
        # The first request of a newly accepted connection may have arrived, but not been read yet.
        return now_s - connection.last_used_at_s > EVICTABLE_AFTER_ACCEPT_S

    def _eviction_rank(self, connection: AjpConnection, now_s: float) -> tuple[EvictionRank, float]:
        stream = connection.stream
        max_silence_s = STALLED_AFTER_LAST_BYTE_S if stream.buffer else SILENT_AFTER_LAST_BYTE_S
        if stream.half_closed:
            rank = EvictionRank.CLOSING
        elif connection.has_sent_packet:
            rank = EvictionRank.IDLE
        elif now_s - stream.received_at_s > max_silence_s:
            rank = EvictionRank.STALLED
        elif stream.received_at_s - connection.last_used_at_s > SLOW_AFTER_ACCEPT_S:
            rank = EvictionRank.SENDING
        else:
            rank = EvictionRank.NEW
        return rank, connection.last_used_at_s

    # ---- draining
    def end_idle_connections(self) -> None:
        """Closes connections without open or partly received requests."""
        for connection in list(self.connections):
            stream = connection.stream
            if not connection.busy and not stream.read_available() and not stream.buffer:
                stream.close_when_sent()
