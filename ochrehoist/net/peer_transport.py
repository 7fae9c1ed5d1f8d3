"""Datagram transport between workers. A message that cannot be sent counts as lost."""

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

MAX_DATAGRAMS_PER_ITERATION = 64  # of the event loop, so that a flood of datagrams leaves time for requests
BIND_RETRY_DELAY_S = 0.1  # a process that is being replaced may still occupy the address


class DatagramSocket(Protocol):
    """Interface of a bound, non-blocking datagram socket."""

    def fileno(self) -> int:
        """Returns the file descriptor."""
        ...

    def sendto(self, data: bytes, address: Address, /) -> int:
        """Sends one datagram."""
        ...

    def recvfrom(self, size: int, /) -> tuple[bytes, Address]:
        """Receives one datagram and its source; raises BlockingIOError if there is none."""
        ...

    def getsockname(self) -> Any:
        """Returns the address that the socket is bound to."""
        ...

    def close(self) -> None:
        """Closes the socket."""
        ...


def open_datagram_socket(listen: Address) -> DatagramSocket:
    """Binds a non-blocking datagram socket; raises OSError if the address cannot be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    try:
        sock.bind(listen)
    except OSError:
        sock.close()
        raise
    return sock


class PeerTransport:
    """Datagram socket that sends and receives the messages of one group.

    Calls `on_opened` once the address is bound, and `on_message` with each message whose digest is valid and
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
        self.secrets = secrets  # the first one signs messages; all of them are accepted
        self.rejected_counts: Counter[RejectReason] = Counter()
        self.sent_count = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.receive_cpu_s = 0.0  # processor time of receiving messages, including `on_message`
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
        """Returns whether messages can be sent and received."""
        return self._socket is not None

    def open(self, listen: Address) -> None:
        """Binds the address; retries until that succeeds or the transport is closed."""
        if self._closed:
            return
        try:
            sock = self._open_socket(listen)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                self._log.error("peer_socket_bind_failed", address=format_address(listen), error=str(error))
            self._loop.call_later(BIND_RETRY_DELAY_S, lambda: self.open(listen))
            return
        self._socket = sock
        self._log.info("started", part="Peers", listen=sock.getsockname())
        self._loop.on_readable(sock.fileno(), self._on_readable)
        self._on_opened()

    def close(self) -> None:
        """Closes the socket for good, which frees the address for another process."""
        self._closed = True
        if self._socket is not None:
            self._loop.unwatch(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _on_readable(self) -> None:
        started_s = time.thread_time()
        self._receive_available()
        self.receive_cpu_s += time.thread_time() - started_s

    def _receive_available(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            if self._socket is None:
                return
            try:
                data, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # the system reports that an earlier datagram could not be delivered
                continue
            self.received_bytes += len(data)
            try:
                message = decode_datagram(data, self.secrets, self._group)
            except MessageRejectedError as error:
                self.rejected_counts[error.reason] += 1
                continue
            self._on_message(message, format_address(source))

    def send(self, sender: Incarnation, messages: Iterable[OutgoingMessage]) -> None:
        """Sends each message at once as one datagram."""
        for message in messages:
            self._sequence += 1
            try:
                self._send_one(sender, message)
            except (MessageTooLongError, ValueError) as error:  # ValueError: the address is malformed
                self._log.error("peer_message_not_sent", address=message.address, error=str(error))
            except OSError:  # counts as lost
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
