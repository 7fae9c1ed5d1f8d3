"""The connection of a web server, which sends one request at a time, as AJP/1.3 requires."""

import time
from http import HTTPStatus
from typing import Protocol

from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.protocols import Logger
from ochrehoist.core.request import InboundRequest
from ochrehoist.net import ajp
from ochrehoist.net.ajp_body import BodyReader
from ochrehoist.net.ajp_exchange import read_packet
from ochrehoist.net.ajp_filing_headers import RequestRejectedError
from ochrehoist.net.ajp_reader import AjpReader, CheckedRequest
from ochrehoist.net.ajp_responder import AjpResponder, retry_after_header, retry_after_seconds
from ochrehoist.net.front import MESSAGE_ARRIVAL_TIMEOUT_S, FrontConnection, FrontContext
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError


class AjpFrontContext(FrontContext, Protocol):
    """The interface of the AJP front that its connections use; see AjpFront for the attributes."""

    config: AjpConfig
    log: Logger
    max_bytes: int
    body_bytes: int
    reader: AjpReader

    def add_body_bytes(self, delta_bytes: int) -> None:
        """Adds to the memory in use by request bodies."""
        ...

    def unsent_bytes(self) -> int:
        """See `Front.unsent_bytes`."""
        ...


class AjpConnection(FrontConnection):
    """The connection of a web server to the AJP front.

    Attributes:
        busy: Whether a packet waits to be handled, or a request is being read or answered.
        has_sent_packet: Whether a complete packet was read.
    """

    def __init__(self, front: AjpFrontContext, loop: Loop, stream: Stream, number: int) -> None:
        super().__init__(loop, stream, number)
        self.busy = False
        self.has_sent_packet = False
        self._body_pending = False  # whether a body chunk follows that the web server sends unasked
        self._request_unread = False  # whether a part of the request is not read, so that no other can follow
        self._front = front
        self._bodies = BodyReader(front, stream)
        self._packet_size = front.config.packet_size

    @property
    def body_bytes(self) -> int:
        """Memory reserved for the body of the current request, in bytes."""
        return self._bodies.reserved_bytes

    def has_complete_message(self) -> bool:
        """See FrontConnection; messages are packets here."""
        buffer = self.stream.buffer
        return len(buffer) >= ajp.HEADER_BYTES + int.from_bytes(buffer[2 : ajp.HEADER_BYTES], "big")

    def run(self) -> None:
        """Handles packets until the connection ends; runs as the connection's task."""
        try:
            while not self.stream.closing:
                packet = self._read_packet()
                arrived_ns = time.time_ns()
                self.busy = True
                self._loop.take_turn()
                if not self._handle_packet(packet, arrived_ns):
                    break
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        except ajp.MalformedPacketError as error:
            self._front.log.warning("ajp_packet_malformed", reason=str(error))
        finally:
            self._bodies.release()
            self.stream.close_when_sent()

    def send_response(self, head: bytes, body: bytes) -> None:
        """Sends a complete response; closes the connection after it if it cannot carry another request."""
        front = self._front
        stream = self.stream
        reuse = not (front.draining or self._request_unread or self._has_unannounced_input)
        stream.write(ajp.encode_response(head, body, front.config.packet_size, reuse))
        if not reuse:
            stream.close_when_sent()
        elif stream.unsent and front.unsent_bytes() > front.max_bytes:
            stream.close()  # bounds the memory of the responses to all slow readers
        stream.activity.set()

    @property
    def _has_unannounced_input(self) -> bool:
        """Whether there is input before the answer to the current request, other than its body.

        A web server sends its next request after the answer, so this can only be a body whose length it did
        not state. It must not be read as a request.
        """
        return bool(self.stream.buffer) and not self._body_pending

    # ---- packets
    def _read_packet(self) -> bytes:
        """Reads the next packet.

        The first byte may take up to the idle timeout; a new connection has MESSAGE_ARRIVAL_TIMEOUT_S for its
        whole first packet, so that silent and stalled connections do not hold file descriptors.
        """
        started_s = time.monotonic()
        if not self.stream.buffer:
            timeout_s = self._front.config.idle_timeout_s
            if not self.has_sent_packet:
                timeout_s = min(timeout_s, MESSAGE_ARRIVAL_TIMEOUT_S)
            self.stream.read_more(started_s + timeout_s)
        now_s = time.monotonic()
        if self.has_sent_packet:
            started_s = now_s
        remaining_s = started_s + MESSAGE_ARRIVAL_TIMEOUT_S - now_s
        return read_packet(self.stream, ajp.TO_CONTAINER, self._packet_size, remaining_s)

    def _handle_packet(self, packet: bytes, arrived_ns: int) -> bool:
        """Handles a packet that arrived at this Unix time; returns whether the connection stays open."""
        self.has_sent_packet = True
        if not self.served:
            self.pacer.request_read()
        kind = packet[0] if packet else 0
        if kind == ajp.FORWARD:
            self._handle_forward(packet, arrived_ns)
            self._bodies.release()
            self.last_used_at_s = time.monotonic()
        elif kind == ajp.CPING:
            if not self._front.core.healthy:
                return False  # without an answer, the load balancer marks this worker as down
            self.stream.write(ajp.PONG_PACKET)
        elif kind not in (ajp.SHUTDOWN, ajp.PING):  # not supported, and ignored
            raise ajp.MalformedPacketError(ajp.PacketFault.UNEXPECTED_PACKET, kind)
        self.busy = False
        return True

    # ---- requests
    def _handle_forward(self, packet: bytes, arrived_ns: int) -> None:
        try:
            forward = ajp.parse_forward(packet, self._front.reader.header_names)
        except ajp.TooManyFieldsError:
            self._request_unread = True
            AjpResponder(self, head_only=False).send_text(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "too many header fields"
            )
        else:
            self._handle_request(forward, arrived_ns)

    def _handle_request(self, forward: ajp.ForwardRequest, arrived_ns: int) -> None:
        responder = AjpResponder(self, forward.method == "HEAD")
        self._body_pending = forward.length > 0
        if forward.method == "GET" and forward.uri == self._front.config.health_uri:
            self._answer_health_check(responder)
            self._bodies.skip(forward)
            return
        checked: CheckedRequest | None = None
        try:
            checked = self._front.reader.check(forward)
            self._check_admission(checked)
            body = b""
            if forward.chunked or forward.length:
                body = self._bodies.read(forward, checked.request_class)
                self._body_pending = False
        except RequestRejectedError as error:
            class_name = checked.request_class.name if checked else error.class_name
            self._reject(forward, error, class_name, responder)
            return
        if self.stream.peer_has_left():
            raise ConnectionClosedError  # nobody waits for the answer
        request = self._front.read_request(forward, checked, body, arrived_ns, responder)
        self._front.core.post(RequestArrived(request))
        self._await_answer(request, responder)

    def _answer_health_check(self, responder: AjpResponder) -> None:
        if self._front.core.healthy:
            responder.send_text(HTTPStatus.OK, "up")
        else:
            responder.send_text(HTTPStatus.SERVICE_UNAVAILABLE, "not taking requests")

    def _check_admission(self, checked: CheckedRequest) -> None:
        """Sheds load before the body is read."""
        if self._front.admission_filter is None:
            return
        retry_after_ns = self._front.retry_after_ns(
            checked.request_class.name, checked.tenant, self.number, 0
        )
        if retry_after_ns is not None:
            raise RequestRejectedError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "turned away, never run",
                retry_after_seconds(retry_after_ns),
            )

    def _reject(
        self,
        forward: ajp.ForwardRequest,
        error: RequestRejectedError,
        class_name: str | None,
        responder: AjpResponder,
    ) -> None:
        self._request_unread = forward.chunked and self.body_bytes > 0
        is_temporary = error.status is HTTPStatus.SERVICE_UNAVAILABLE
        headers = retry_after_header(error.retry_after_s) if is_temporary else ()
        responder.send_text(error.status, str(error), headers)
        if class_name is not None:
            counter = RequestCounter.REJECTED if is_temporary else RequestCounter.FAILED
            self._front.core.metrics.count(counter, class_name)
        self._bodies.skip(forward)

    def _await_answer(self, request: InboundRequest, responder: AjpResponder) -> None:
        stream = self.stream
        while not responder.done:
            stream.wait_until(lambda: responder.done)
            # Only checked before the response: after it, the buffer may hold the next request with its first
            # chunk, if the loop runs late.
            if not responder.done and (stream.ended or len(stream.buffer) > self._front.config.packet_size):
                responder.cancel()
                self._front.core.post(CallerDisconnected(request.reference))
                raise ConnectionClosedError
