"""The datagram socket between workers. A message that cannot be sent counts as lost."""

import errno
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ochrehoist.core.protocols import Logger
from ochrehoist.net.loop import Loop
from ochrehoist.net.peer_settings import Address, format_address, parse_address
from ochrehoist.peers.outbound import OutgoingMessage
from ochrehoist.peers.wire import (
    MAX_DATAGRAM_BYTES,
    Incarnation,
    Message,
    MessageRejectedError,
    MessageTooLongError,
    RejectReason,
    decode_datagram,
    encode_datagram,
)

DATAGRAMS_PER_TURN = 64  # of the loop: a flood must leave time for requests
BIND_RETRY_S = 0.1  # a process that is being replaced may still hold the address


class DatagramSocket(Protocol):
    """What is needed of a bound, non-blocking datagram socket."""

    def fileno(self) -> int:
        """Its descriptor."""
        ...

    def sendto(self, data: bytes, address: Address, /) -> int:
        """Sends one datagram."""
        ...

    def recvfrom(self, size: int, /) -> tuple[bytes, Address]:
        """Receives one datagram and its source; raises BlockingIOError where there is none."""
        ...

    def getsockname(self) -> Any:
        """The address that it is bound to."""
        ...

    def close(self) -> None:
        """Closes it."""
        ...


def open_datagram_socket(listen: Address) -> DatagramSocket:
    """Raises OSError where the address cannot be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind(listen)
    except OSError:
        sock.close()
        raise
    return sock


class PeerTransport:
    """Sends and receives the messages of one group.

    `on_opened` is called once the address is bound, `on_message` with each message whose digest is right, and
    the address of its sender.
    """

    def __init__(
        self,
        loop: Loop,
        group: str,
        secrets: tuple[bytes, ...],
        on_opened: Callable[[], None],
        on_message: Callable[[Message, str], None],
        log: Logger,
        open_socket: Callable[[Address], DatagramSocket] = open_datagram_socket,
    ) -> None:
        self.secrets = secrets  # the first one signs; any of them is believed
        self.rejected_counts: Counter[RejectReason] = Counter()
        self.sent_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.receive_cpu_s = 0.0  # of reading messages and of what `on_message` does with them
        self._loop = loop
        self._group = group
        self._on_opened = on_opened
        self._on_message = on_message
        self._log = log
        self._open_socket = open_socket
        self._socket: DatagramSocket | None = None
        self._closed = False
        self._sequence = 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent and received."""
        return self._socket is not None

    def open(self, listen: Address) -> None:
        """Binds the address, now or as soon as it is free."""
        if self._closed:
            return
        try:
            sock = self._open_socket(listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                self._log.error("peer_socket_bind_failed", address=format_address(listen), error=str(error))
            self._loop.call_later(BIND_RETRY_S, lambda: self.open(listen))
            return
        self._socket = sock
        self._log.info("started", part="Peers", listen=sock.getsockname())
        self._loop.on_readable(sock.fileno(), self._on_readable)
        self._on_opened()

    def close(self) -> None:
        """Frees the address for another process; nothing is sent or received any more."""
        self._closed = True
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _on_readable(self) -> None:
        began = time.thread_time()
        self._receive_waiting()
        self.receive_cpu_s += time.thread_time() - began

    def _receive_waiting(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an earlier datagram reached nobody
                continue
            self.received_bytes += len(data)
            try:
                message = decode_datagram(data, self.secrets, self._group)
            except MessageRejectedError as error:
                self.rejected_counts[error.reason] += 1
                continue
            self._on_message(message, format_address(source))

    def send(self, sender: Incarnation, messages: Iterable[OutgoingMessage]) -> None:
        """Sends each message at once, as one datagram."""
        for message in messages:
            self._sequence += 1
            try:
                self._send_one(sender, message)
            except (MessageTooLongError, ValueError) as error:  # or its address is none
                self._log.error("peer_message_not_sent", address=message.address, error=str(error))
            except OSError:  # as if it were lost
                continue

    def _send_one(self, sender: Incarnation, message: OutgoingMessage) -> None:
        data = encode_datagram(
            Message(
                self._group,
                sender,
                message.recipient,
                message.recipient_number,
                self._sequence,
                message.payloads,
            ),
            self.secrets[0],
        )
        if self._socket is None:
            return
        self._socket.sendto(data, parse_address(message.address))
        self.sent_bytes += len(data)
        self.sent_count += 1
