"""Replacing the process of a worker by the next one, and being replaced, without losing a request."""

from collections.abc import Callable, Mapping, Sequence
from socket import socket
from typing import Any

from ochrehoist.app.worker_parts import WorkerParts
from ochrehoist.net.ajp import ReplyCodec
from ochrehoist.net.handover_client import HandoverClient
from ochrehoist.net.handover_server import HandoverServer

MIN_CONNECTIONS = 8  # that a front may have at once, whatever the process before this one still holds
RESERVED_WHILE_REPLACING = 12  # descriptors, while that process still has connections


class Replacement:
    """Binds a worker's parts to the process before this one, where there is one, and to the next one."""

    def __init__(
        self,
        parts: WorkerParts,
        handover_path: str,
        on_take_over: Callable[[], None],
        on_replaced: Callable[[Sequence[list[Any]], Callable[[Mapping[str, int]], None]], None],
    ) -> None:
        """Hands over at the Unix socket `handover_path`.

        Args:
            parts: of this worker.
            handover_path: where the processes of one worker find each other.
            on_take_over: called once this process decides in place of the one before it.
            on_replaced: called once the next process decides, with the addresses (host and port) at which it
                listens, and a call that tells it how many connections are still open here.
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
        """Whether this process was started to replace one."""
        return self._client is not None

    @property
    def predecessor_present(self) -> bool:
        """Whether the process before this one may still run something."""
        return self._client is not None and self._client.predecessor_present

    def listen(self) -> None:
        """From now on the next process may ask for the state of this one."""
        self._server.listen()

    def close(self) -> None:
        """Leaves nothing behind at the path."""
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

    def _limit_connections(self, held: Mapping[str, int]) -> None:
        """The connections that the process before this one still holds count against the limit of both."""
        for front, limit in self._connection_limits.items():
            used = held.get(front.LISTENER_NAME, 0) if held else 0
            reserved = RESERVED_WHILE_REPLACING if held else 0
            front.acceptor.set_limit(max(MIN_CONNECTIONS, limit - used - reserved))
