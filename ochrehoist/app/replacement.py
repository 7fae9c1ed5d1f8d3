"""Replacement of a worker's process by a successor process without losing requests."""

from collections.abc import Callable, Mapping, Sequence
from socket import socket
from typing import Any

from ochrehoist.app.worker_parts import WorkerParts
from ochrehoist.net.ajp_reply_codec import ReplyCodec
from ochrehoist.net.handover_client import HandoverClient
from ochrehoist.net.handover_server import HandoverServer

MIN_CONNECTIONS_PER_FRONT = 8  # allowed however many connections the predecessor still has
DESCRIPTORS_RESERVED_WHILE_REPLACING = 12  # while the predecessor still has connections


class Replacement:
    """Connection of a worker's parts to the predecessor process, if there is one, and to the successor."""

    def __init__(
        self,
        parts: WorkerParts,
        handover_path: str,
        on_take_over: Callable[[], None],
        on_replaced: Callable[[Sequence[list[Any]], Callable[[Mapping[str, int]], None]], None],
    ) -> None:
        """Begins to take over from the predecessor, if this process was started to replace one.

        Args:
            parts: the parts of this worker.
            handover_path: path of the Unix socket on which the processes of one worker find each other.
            on_take_over: called once this process has taken over from the predecessor.
            on_replaced: called once the successor has taken over, with the addresses (host and port) on
                which it listens, and a function that reports to it the connections still open here.
        """
        self._parts = parts
        self._on_replaced = on_replaced
        self._connection_limits = {front: front.acceptor.limit for front in parts.fronts}
        codec = ReplyCodec()
        self._server = HandoverServer(
            parts.loop,
            parts.core,
            handover_path,
            codec,
            self._listening_sockets,
            self._replaced,
            parts.log,
        )
        self._client: HandoverClient | None = None
        if parts.inherited.replaces_process:
            self._client = self._start_take_over(handover_path, codec, on_take_over)

    @property
    def replaces_process(self) -> bool:
        """Whether this process was started to replace another one."""
        return self._client is not None

    @property
    def predecessor_present(self) -> bool:
        """Whether the predecessor may still run requests."""
        return self._client is not None and self._client.predecessor_present

    def listen(self) -> None:
        """Accepts requests of a successor for the state of this process."""
        self._server.listen()

    def close(self) -> None:
        """Closes the handover socket and removes its path."""
        self._server.close()

    def _start_take_over(
        self, handover_path: str, codec: ReplyCodec, on_take_over: Callable[[], None]
    ) -> HandoverClient:
        parts = self._parts
        client = HandoverClient(
            parts.loop,
            parts.core,
            handover_path,
            codec,
            lambda: [listener.acceptor.address for listener in parts.listeners],
            on_take_over,
            self._limit_connections,
            parts.log,
        )
        parts.tasks.append(client.run)
        return client

    def _listening_sockets(self) -> dict[str, socket]:
        return {
            listener.LISTENER_NAME: listener.acceptor.sock
            for listener in self._parts.listeners
            if not listener.acceptor.stopped
        }

    def _replaced(self, addresses: Sequence[list[Any]]) -> None:
        self._on_replaced(addresses, self._server.report_connections)

    def _limit_connections(self, predecessor_connections: Mapping[str, int]) -> None:
        """Reduces the connection limits by the connections that the predecessor still has.

        Both processes share one limit.
        """
        for front, limit in self._connection_limits.items():
            used = predecessor_connections.get(front.LISTENER_NAME, 0) if predecessor_connections else 0
            reserved_descriptors = DESCRIPTORS_RESERVED_WHILE_REPLACING if predecessor_connections else 0
            front.acceptor.set_limit(max(MIN_CONNECTIONS_PER_FRONT, limit - used - reserved_descriptors))
