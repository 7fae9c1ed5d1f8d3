"""One request and its response on a connection to an AJP server."""

import time
from collections.abc import Callable

from ochrehoist.config.tables import AjpConfig
from ochrehoist.net import ajp
from ochrehoist.net.stream import Stream, StreamTimeoutError


def read_packet(stream: Stream, magic: bytes, max_packet_bytes: int, timeout_s: float) -> bytes:
    """Reads the next packet and returns its payload; the time-out applies to header and payload separately.

    Raises:
        ajp.MalformedPacketError: The magic bytes are wrong, or the packet is too long to be read.
        ConnectionClosedError: The connection has ended.
        StreamTimeoutError: The header or the payload did not arrive in time.
    """
    buffer = stream.buffer
    if len(buffer) < ajp.HEADER_BYTES:
        stream.wait_for(ajp.HEADER_BYTES, time.monotonic() + timeout_s)
    end = ajp.HEADER_BYTES + (buffer[2] << 8 | buffer[3])
    if not buffer.startswith(magic) or end > max_packet_bytes:
        raise ajp.MalformedPacketError(ajp.PacketFault.WRONG_PACKET)
    # The header stays in the buffer until the packet is complete, which shows that it is not.
    if len(buffer) < end:
        stream.wait_for(end, time.monotonic() + timeout_s)
    payload = bytes(buffer[ajp.HEADER_BYTES : end])
    stream.consume(end)
    return payload


class ServerExchange:
    """A request and its response on a connection to a server.

    Attributes:
        body_bytes: Size of the part of the response body that was read.
        reusable: Whether the server keeps the connection open for another request.
    """

    def __init__(
        self,
        stream: Stream,
        payload: ajp.AjpPayload,
        config: AjpConfig,
        reserve: Callable[[int], bool],
    ) -> None:
        """Prepares an exchange.

        Args:
            stream: The connection to the server.
            payload: The request.
            config: Packet size and response limit.
            reserve: Reserves memory for bytes of the response; returns False if the limit is exceeded.
        """
        self.body_bytes = 0
        self.reusable = False
        self._stream = stream
        self._payload = payload
        self._packet_size = config.packet_size
        self._max_chunk_bytes = config.packet_size - ajp.HEADER_BYTES - ajp.CHUNK_LENGTH_BYTES
        self._max_response_bytes = config.max_response
        self._reserve = reserve
        self._sent_bytes = 0

    def run(self, secret: bytes | None, deadline_s: float) -> ajp.Reply:
        """Sends the request and reads the complete response.

        Raises:
            ajp.MalformedPacketError: The response is malformed, or exceeds a limit.
            ConnectionClosedError: The connection has ended.
            StreamTimeoutError: The response is not complete by the deadline.
        """
        self._send_request(secret)
        reply: ajp.Reply | None = None
        body = bytearray()
        while True:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                raise StreamTimeoutError
            packet = read_packet(self._stream, ajp.TO_SERVER, self._packet_size, remaining_s)
            kind = packet[0] if packet else 0
            if kind == ajp.GET_BODY:
                self._stream.write(self._next_chunk(ajp.parse_get_body(packet)))
            elif reply is None and kind == ajp.HEADERS:
                reply = ajp.parse_headers(packet)
            elif reply is not None and kind == ajp.BODY_CHUNK:
                self._add_chunk(body, ajp.parse_response_chunk(packet))
            elif reply is not None and kind == ajp.END_RESPONSE:
                self.reusable = ajp.parse_end_response(packet)
                reply.body = bytes(body)
                return reply
            else:
                raise ajp.MalformedPacketError(ajp.PacketFault.UNEXPECTED_PACKET, kind)

    def _send_request(self, secret: bytes | None) -> None:
        forward = self._payload.forward
        data = ajp.encode_packet(ajp.TO_CONTAINER, forward.payload_for_server(secret))
        if forward.length:  # AJP sends the first chunk of a body of known length unasked
            data += self._next_chunk(self._max_chunk_bytes)
        self._stream.write(data)

    def _next_chunk(self, size: int) -> bytes:
        start = self._sent_bytes
        chunk = self._payload.body[start : start + min(self._max_chunk_bytes, size)]
        self._sent_bytes += len(chunk)
        return ajp.encode_request_chunk(chunk)

    def _add_chunk(self, body: bytearray, chunk: bytes) -> None:
        body += chunk
        self.body_bytes = len(body)
        if not self._reserve(len(chunk)) or len(body) > self._max_response_bytes:
            raise ajp.MalformedPacketError(ajp.PacketFault.RESPONSE_TOO_LARGE)
