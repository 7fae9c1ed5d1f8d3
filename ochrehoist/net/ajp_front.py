"""The AJP front: web servers connect here; each request goes through the same core as Thrift's."""

import socket
from collections.abc import Callable, Generator
from enum import IntEnum

from ochrehoist.admission.settings import AdmissionSettings
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.protocols import AdmissionFilter, Executor, Logger
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

UNSENT_ALLOWANCE_BYTES = 65536  # beside two responses: a client that reads slowly holds up nobody else


class EvictionRank(IntEnum):
    """Which connections are closed first where there are too many: those that are missed least."""

    CLOSING = 0
    STALLED = 1
    NEW = 2
    IDLE = 3
    SENDING = 4  # a first request may arrive slowly


class AjpFront(Front[AjpConnection]):
    """Accepts web servers. AJP has no farewell: idle connections are closed by their own task.

    Attributes:
        config: The configuration in force.
        reader: Checks requests, and builds the core's.
        max_bytes: For all bodies that arrive, and as much for all responses not yet sent.
        body_bytes: What the bodies take that arrive now.
    """

    PART_NAME = "AjpFront"

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        executor: Executor,
        config: AjpConfig,
        max_connections: int,
        max_bytes: int,
        log: Logger,
        sock: socket.socket | None = None,
        admission_filter: AdmissionFilter | None = None,
    ) -> None:
        """Binds the address of `config`, as Acceptor does; raises OSError.

        Args:
            loop: that it runs on.
            core: that decides on the requests.
            executor: that runs them.
            config: routes, limits and timeouts.
            max_connections: that may be open at once.
            max_bytes: for all bodies that arrive, and as much for all responses not yet sent.
            log: of the worker.
            sock: a socket that listens already.
            admission_filter: sheds load before the core is asked.
        """
        self.reader = AjpReader(core, executor, config)
        super().__init__(
            loop,
            core,
            config.listen,
            max_connections,
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
        """Prepares a changed configuration in short steps; the call that it returns commits it.

        What was checked before that call keeps its class.
        """
        commit_reader = yield from self.reader.prepare(config, settings)

        def commit() -> None:
            """No request is checked between the two."""
            self.config = config
            commit_reader()

        return commit

    # ---- for connections
    def add_body_bytes(self, delta_bytes: int) -> None:
        """Counts a change of what bodies take."""
        self.body_bytes += delta_bytes

    # ---- connections
    def _open_connection(self, sock: socket.socket) -> tuple[AjpConnection, Callable[[], None]]:
        stream = Stream(self.loop, sock, self.config.max_response * 2 + UNSENT_ALLOWANCE_BYTES)
        connection = AjpConnection(self, self.loop, stream, next(self._connection_ids))
        return connection, connection.run

    def _can_evict(self, connection: AjpConnection, now_s: float) -> bool:
        if connection.busy:
            return False
        if connection.has_sent_packet:  # what has arrived is a request
            return not connection.stream.buffer
        # On a connection just accepted the first request may be here, and not read yet.
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
        """Closes connections on which nothing is asked."""
        for connection in list(self.connections):
            stream = connection.stream
            if not connection.busy and not stream.read_available() and not stream.buffer:
                stream.close_when_sent()
