"""The connection of a web server, which sends one request at a time, as AJP/1.3 requires."""

import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import RequestClass
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.protocols import Logger
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net import ajp
from ochrehoist.net.ajp_exchange import read_packet
from ochrehoist.net.ajp_reader import AjpReader, CheckedRequest, RequestRejectedError
from ochrehoist.net.front import MESSAGE_ARRIVAL_TIMEOUT_S, FrontConnection, FrontContext
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError
from ochrehoist.units import NS_PER_S

FAILURE_STATUS = {
    FailureReason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    FailureReason.EXECUTOR_FAILED: HTTPStatus.BAD_GATEWAY,
    FailureReason.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    FailureReason.KEY_CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
}

Headers = Sequence[tuple[int | bytes, bytes]]  # pairs of a header's code or name, and its value


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


class AjpResponder:
    """The Responder of one request; once it is done, the connection reads the next request.

    Attributes:
        done: Whether the request was answered or cancelled.
    """

    __slots__ = ("_connection", "_head_only", "done")

    def __init__(self, connection: "AjpConnection", head_only: bool) -> None:
        self.done = False
        self._connection = connection
        self._head_only = head_only

    def cancel(self) -> None:
        """Suppresses the response, because the client has disconnected."""
        self.done = True

    def send_text(self, status: HTTPStatus, reason: str, headers: Headers = ()) -> None:
        """Sends a plain-text response that the front generates itself."""
        text = f"{status.value} {status.phrase}: {reason}\n".encode()
        self._send_response(status, b"text/plain; charset=utf-8", text, headers)

    def served(self, result: RunResult) -> bool:
        """See core.request.Responder."""
        self._connection.served = True
        if isinstance(result.detail, ajp.Reply):
            self._send(result.detail.headers, result.body)
        else:  # the result of a filing that ran for another front, which is sent unchanged
            self._send_response(HTTPStatus.OK, b"application/octet-stream", result.body)
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:  # noqa: ARG002 (HTTP cannot express it)
        """See core.request.Responder."""
        self.send_text(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "turned away, never run",
            retry_after_header(retry_after_seconds(retry_after_ns)),
        )

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """See core.request.Responder; sends the server's own error page if there is one."""
        if result is not None and isinstance(result.detail, ajp.Reply):
            self._send(result.detail.headers, result.body)
            return
        status = FAILURE_STATUS.get(reason, HTTPStatus.INTERNAL_SERVER_ERROR)
        if result is not None and result.outcome is Outcome.TIMED_OUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        self.send_text(status, reason.value)

    def origin(self) -> tuple[str, str]:
        """See core.request.Responder."""
        return "ajp", self._connection.stream.peer_address

    def _send_response(
        self, status: HTTPStatus, content_type: bytes, body: bytes, headers: Headers = ()
    ) -> None:
        all_headers: Headers = (
            (ajp.CONTENT_TYPE, content_type),
            (ajp.CONTENT_LENGTH, b"%d" % len(body)),
            *headers,
        )
        self._send(ajp.encode_headers(status.value, status.phrase, all_headers), body)

    def _send(self, head: bytes, body: bytes) -> None:
        if not self.done:
            self.done = True
            self._connection.send_response(head, b"" if self._head_only else body)


def retry_after_seconds(retry_after_ns: int) -> int:
    """Converts a delay to whole seconds, rounded up, at least 1."""
    return max(1, -(-retry_after_ns // NS_PER_S))


def retry_after_header(seconds: int) -> Headers:
    """Returns a Retry-After header."""
    return ((b"Retry-After", b"%d" % seconds),)


class AjpConnection(FrontConnection):
    """The connection of a web server to the AJP front.

    Attributes:
        busy: Whether a request is being read or answered.
        has_sent_packet: Whether a complete packet was read.
        body_bytes: Memory reserved for the body of the current request, in bytes.
    """

    def __init__(self, front: AjpFrontContext, loop: Loop, stream: Stream, number: int) -> None:
        super().__init__(loop, stream, number)
        self.busy = False
        self.has_sent_packet = False
        self.body_bytes = 0
        self._front = front
        self._packet_size = front.config.packet_size

    def run(self) -> None:
        """Handles packets until the connection ends; runs as the connection's task."""
        try:
            while not self.stream.closing:
                packet = self._read_packet()
                if not self._handle_packet(packet, time.time_ns()):
                    break
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        except ajp.MalformedPacketError as error:
            self._front.log.warning("ajp_packet_malformed", reason=str(error))
        finally:
            self._set_body_bytes(0)
            self.stream.close_when_sent()

    def send_response(self, head: bytes, body: bytes) -> None:
        """Sends a complete response; closes the connection after it if the front drains."""
        front = self._front
        stream = self.stream
        reuse = not front.draining
        stream.write(ajp.encode_response(head, body, front.config.packet_size, reuse))
        if not reuse:
            stream.close_when_sent()
        elif stream.unsent and front.unsent_bytes() > front.max_bytes:
            stream.close()  # bounds the memory of the responses to all slow readers
        stream.activity.set()

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
            self.busy = True
            self._handle_request(ajp.parse_forward(packet), arrived_ns)
            self.busy = False
            self._set_body_bytes(0)
            self.last_used_at_s = time.monotonic()
        elif kind == ajp.CPING:
            if not self._front.core.healthy:
                return False  # without an answer, the load balancer marks this worker as down
            self.stream.write(ajp.PONG_PACKET)
        elif kind not in (ajp.SHUTDOWN, ajp.PING):  # not supported, and ignored
            raise ajp.MalformedPacketError(ajp.PacketFault.UNEXPECTED_PACKET, kind)
        return True

    # ---- requests
    def _handle_request(self, forward: ajp.ForwardRequest, arrived_ns: int) -> None:
        responder = AjpResponder(self, forward.method == "HEAD")
        if forward.method == "GET" and forward.uri == self._front.config.health_uri:
            self._answer_health_check(responder)
            return
        checked: CheckedRequest | None = None
        try:
            checked = self._front.reader.check(forward)
            self._check_admission(checked)
            body = b""
            if forward.chunked or forward.length:
                body = self._read_body(forward, checked.request_class)
        except RequestRejectedError as error:
            class_name = checked.request_class.name if checked else error.class_name
            self._reject(forward, error, class_name, responder)
            return
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
        is_temporary = error.status is HTTPStatus.SERVICE_UNAVAILABLE
        headers = retry_after_header(error.retry_after_s) if is_temporary else ()
        responder.send_text(error.status, str(error), headers)
        if class_name is not None:
            counter = RequestCounter.REJECTED if is_temporary else RequestCounter.FAILED
            self._front.core.metrics.count(counter, class_name)
        if forward.chunked and self.body_bytes:
            self.stream.close_when_sent()  # unread body chunks would be taken for the next request
        elif forward.length:  # a web server sends the first chunk of a body of known length unasked
            config = self._front.config
            read_packet(self.stream, ajp.TO_CONTAINER, config.packet_size, config.body_timeout_s)

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

    # ---- bodies
    def _read_body(self, forward: ajp.ForwardRequest, request_class: RequestClass) -> bytes:
        """Reads the complete body.

        Raises:
            ConnectionClosedError: The body was cut off; the request does not run.
            StreamTimeoutError: The body did not arrive by the deadline.
            RequestRejectedError: The body is too large, or there is no memory for it.
        """
        self._reserve_body(forward.length)
        # The caller does not wait for a response beyond the request's deadline.
        deadline_s = time.monotonic() + request_class.deadline_ns / NS_PER_S
        config = self._front.config
        max_chunk_bytes = config.packet_size - ajp.HEADER_BYTES - ajp.CHUNK_LENGTH_BYTES
        body = bytearray()
        request_chunk = forward.chunked  # the first chunk of a body of known length is sent unasked
        while forward.chunked or len(body) < forward.length:
            if request_chunk:
                missing_bytes = max_chunk_bytes if forward.chunked else forward.length - len(body)
                self.stream.write(ajp.encode_get_body(min(max_chunk_bytes, missing_bytes)))
            request_chunk = True
            chunk = self._read_chunk(config, deadline_s)
            if not chunk and forward.chunked:
                break
            if not chunk:
                raise ConnectionClosedError  # the HTTP client's body ended early
            body += chunk
            if len(body) > config.max_body:
                raise RequestRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            self._reserve_body(max(forward.length, len(body)))
            if not forward.chunked and len(body) > forward.length:
                raise ajp.MalformedPacketError(ajp.PacketFault.BODY_TOO_LONG)
        return bytes(body)

    def _read_chunk(self, config: AjpConfig, deadline_s: float) -> bytes:
        remaining_s = deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise StreamTimeoutError
        return ajp.parse_request_chunk(
            read_packet(self.stream, ajp.TO_CONTAINER, config.packet_size, remaining_s)
        )

    def _reserve_body(self, size: int) -> None:
        """Reserves memory for the current body; rejects the request if all bodies exceed the shared limit."""
        if self._front.body_bytes - self.body_bytes + size > self._front.max_bytes:
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for its body, never run")
        self._set_body_bytes(size)

    def _set_body_bytes(self, size: int) -> None:
        if size != self.body_bytes:
            self._front.add_body_bytes(size - self.body_bytes)
            self.body_bytes = size
