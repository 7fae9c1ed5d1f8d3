"""Replacing the process of a worker by the next one, and being replaced, without losing a request."""

from collections.abc import Callable, Mapping, Sequence
from socket import socket
from typing import Any

from ochrehoist.app.worker_parts import WorkerParts
from ochrehoist.net.ajp import ReplyCodec
from ochrehoist.net.link import Predecessor, Successors

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
        self._connection_limits = {front: front.listening.limit for front in parts.fronts}
        codec = ReplyCodec()
        self._successors = Successors(
            parts.loop,
            parts.core,
            handover_path,
            codec,
            self._listening_sockets,
            self._replaced,
            parts.log,
        )
        self._predecessor: Predecessor | None = None
        if parts.inherited.replaces_process:
            self._predecessor = self._start_take_over(handover_path, codec, on_take_over)

    @property
    def replaces_process(self) -> bool:
        """Whether this process was started to replace one."""
        return self._predecessor is not None

    @property
    def predecessor_present(self) -> bool:
        """Whether the process before this one may still run something."""
        return self._predecessor is not None and self._predecessor.present

    def listen(self) -> None:
        """From now on the next process may ask for the state of this one."""
        self._successors.listen()

    def close(self) -> None:
        """Leaves nothing behind at the path."""
        self._successors.close()

    def _start_take_over(
        self, handover_path: str, codec: ReplyCodec, on_take_over: Callable[[], None]
    ) -> Predecessor:
        parts = self._parts
        predecessor = Predecessor(
            parts.loop,
            parts.core,
            handover_path,
            codec,
            lambda: [listener.listening.address for listener in parts.listeners],
            on_take_over,
            self._limit_connections,
            parts.log,
        )
        parts.tasks.append(predecessor.run)
        return predecessor

    def _listening_sockets(self) -> dict[str, socket]:
        return {
            type(listener).__name__: listener.listening.sock
            for listener in self._parts.listeners
            if not listener.listening.stopped
        }

    def _replaced(self, addresses: Sequence[list[Any]]) -> None:
        self._on_replaced(addresses, self._successors.holds)

    def _limit_connections(self, held: Mapping[str, int]) -> None:
        """The connections that the process before this one still holds count against the limit of both."""
        for front, limit in self._connection_limits.items():
            used = held.get(type(front).__name__, 0) if held else 0
            reserved = RESERVED_WHILE_REPLACING if held else 0
            front.listening.set_limit(max(MIN_CONNECTIONS, limit - used - reserved))
