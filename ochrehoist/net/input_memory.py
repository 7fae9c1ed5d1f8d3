"""Memory limit of the input that connections have received and not handled yet."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

EVICTION_TARGET_FRACTION = 0.9  # of the limit, so that not each byte beyond it ends a connection


class BufferingStream(Protocol):
    """The attributes of a Stream that the limit depends on."""

    buffer: bytearray
    input_since_s: float

    def close(self) -> None:
        """Closes the connection and releases its input."""
        ...


class InputMemory:
    """The total input in the buffers of streams, and the end of connections beyond its limit.

    Of the connections whose message is incomplete, the one whose message began first is closed first: others'
    messages arrive within milliseconds, so this is one that is sent slowly, or has stopped half way.

    Attributes:
        held_bytes: Total size of the buffers.
        limit_bytes: Maximum of `held_bytes`, as far as incomplete messages are concerned.
    """

    def __init__(
        self,
        limit_bytes: int,
        incomplete: Callable[[], Iterable[BufferingStream]],
        on_evicted: Callable[[int], None],
    ) -> None:
        """Sets the limit.

        Args:
            limit_bytes: Maximum total size.
            incomplete: Returns the streams that hold an incomplete message.
            on_evicted: Called with the number of streams that were closed.
        """
        self.held_bytes = 0
        self.limit_bytes = limit_bytes
        self._incomplete = incomplete
        self._on_evicted = on_evicted

    def received(self, size: int) -> None:
        """Adds input that was received, and closes connections if it is too much."""
        self.held_bytes += size
        if self.held_bytes > self.limit_bytes:
            self._evict()

    def released(self, size: int) -> None:
        """Subtracts input that was handled or dropped."""
        self.held_bytes -= size

    def _evict(self) -> None:
        target_bytes = int(self.limit_bytes * EVICTION_TARGET_FRACTION)
        closed_count = 0
        for stream in sorted(self._incomplete(), key=lambda stream: stream.input_since_s):
            if self.held_bytes <= target_bytes:
                break
            stream.close()
            closed_count += 1
        if closed_count:
            self._on_evicted(closed_count)
