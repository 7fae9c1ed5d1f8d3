"""Reading of a request's body from the connection of a web server, within the memory for all bodies."""

import time
from http import HTTPStatus
from typing import Protocol

from ochrehoist.admission.settings import RequestClass
from ochrehoist.config.tables import AjpConfig
from ochrehoist.net import ajp
from ochrehoist.net.ajp_exchange import read_packet
from ochrehoist.net.ajp_filing_headers import RequestRejectedError
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError
from ochrehoist.units import NS_PER_S


class BodyMemory(Protocol):
    """The interface of the AJP front that body readers use; see AjpFront for the attributes."""

    config: AjpConfig
    max_bytes: int
    body_bytes: int

    def add_body_bytes(self, delta_bytes: int) -> None:
        """Adds to the memory in use by request bodies."""
        ...


class BodyReader:
    """Reads the bodies of the requests on one connection, one after the other.

    Attributes:
        reserved_bytes: Memory reserved for the current request, while its body is being read.
    """

    __slots__ = ("_front", "_stream", "reserved_bytes")

    def __init__(self, front: BodyMemory, stream: Stream) -> None:
        self.reserved_bytes = 0
        self._front = front
        self._stream = stream

    def read(self, forward: ajp.ForwardRequest, request_class: RequestClass) -> bytes:
        """Reads the complete body.

        Raises:
            ConnectionClosedError: The body was cut off; the request does not run.
            MalformedPacketError: The body is longer than announced, or not sent in body chunks.
            StreamTimeoutError: The body did not arrive by the deadline.
            RequestRejectedError: The body is too large, or there is no memory for it.
        """
        head_bytes = len(forward.packet)
        self._reserve(head_bytes + forward.length)
        # The caller does not wait for a response beyond the request's deadline.
        deadline_s = time.monotonic() + request_class.deadline_ns / NS_PER_S
        config = self._front.config
        max_chunk_bytes = config.packet_size - ajp.HEADER_BYTES - ajp.CHUNK_LENGTH_BYTES
        body = bytearray()
        request_chunk = forward.chunked  # the first chunk of a body of known length is sent unasked
        while forward.chunked or len(body) < forward.length:
            if request_chunk:
                missing_bytes = max_chunk_bytes if forward.chunked else forward.length - len(body)
                self._stream.write(ajp.encode_get_body(min(max_chunk_bytes, missing_bytes)))
            request_chunk = True
            chunk = self._read_chunk(config, deadline_s)
            if not chunk and forward.chunked:
                break
            if not chunk:
                raise ConnectionClosedError  # the HTTP client's body ended early
            body += chunk
            if not forward.chunked and len(body) > forward.length:
                raise ajp.MalformedPacketError(ajp.PacketFault.BODY_TOO_LONG)
            if len(body) > config.max_body:
                raise RequestRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            self._reserve(head_bytes + max(forward.length, len(body)))
        return bytes(body)

    def skip(self, forward: ajp.ForwardRequest) -> None:
        """Reads the part of an unread body that the web server sends unasked, after an answer without it.

        Unread, that chunk would be taken for the next request. The rest of the body is never sent, since a
        web server sends only one chunk unasked.

        Raises:
            ConnectionClosedError: The connection has ended.
            MalformedPacketError: No chunk of this body followed the request.
            StreamTimeoutError: The chunk did not arrive in time.
        """
        if not forward.length:
            return
        config = self._front.config
        chunk = self._read_chunk(config, time.monotonic() + config.body_timeout_s)
        if len(chunk) > forward.length:
            raise ajp.MalformedPacketError(ajp.PacketFault.BODY_TOO_LONG)

    def release(self) -> None:
        """Releases the memory that is reserved for the current body."""
        self._set_reserved_bytes(0)

    def _read_chunk(self, config: AjpConfig, deadline_s: float) -> bytes:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise StreamTimeoutError
        return ajp.parse_request_chunk(
            read_packet(self._stream, ajp.TO_CONTAINER, config.packet_size, remaining_s)
        )

    def _reserve(self, size: int) -> None:
        """Reserves memory for the current request; rejects it if all of them exceed the shared limit."""
        if self._front.body_bytes - self.reserved_bytes + size > self._front.max_bytes:
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for its body, never run")
        self._set_reserved_bytes(size)

    def _set_reserved_bytes(self, size: int) -> None:
        if size != self.reserved_bytes:
            self._front.add_body_bytes(size - self.reserved_bytes)
            self.reserved_bytes = size
