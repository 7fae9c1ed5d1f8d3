"""The connection of a router, whose calls are read sequentially and answered in any order."""

import time
from typing import Protocol

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net import thrift
from ochrehoist.net.front import MESSAGE_ARRIVAL_TIMEOUT_S, FrontConnection, FrontContext
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError
from ochrehoist.units import NS_PER_MS

# A body has at most 2 KiB, and its fields far less. Hundreds of partial frames may be buffered at once.
MAX_FRAME_BYTES = 16 * 1024
FRAME_HEADER_BYTES = 4  # the length field of a frame
MAX_RESULT_BYTES = 4096
MAX_OPEN_REQUESTS = 32  # per connection
MAX_REJECTION_BATCH_BYTES = 16 * 1024
MAX_TIME_DIGITS = 15
MAX_CALLER_DIGITS = 9
# Methods that routers call.
INVOKE = b"invoke"
ABORT = b"abort"
PING = b"ping"
# Field ids of the result of `invoke`: its return value and its exceptions.
RETURNED = 0
REJECTED = 1
FAILED = 2
FAREWELL_FRAME = thrift.encode_message(thrift.ONEWAY, b"farewell", 0, thrift.STRUCT_END)


class ThriftFrontContext(FrontContext, Protocol):
    """The interface of the Thrift front that its connections use; see ThriftFront for the attributes."""

    class_names: dict[bytes, str]

    @property
    def classes(self) -> dict[str, RequestClass]:
        """The request classes by name, including removed ones."""
        ...

    def record_malformed_frame(self, reason: str) -> None:
        """See `ThriftFront.record_malformed_frame`."""
        ...

    def limit_unsent(self) -> None:
        """See `ThriftFront.limit_unsent`."""
        ...


class ThriftResponder:
    """The Responder of one `invoke` call.

    Attributes:
        sequence_id: Chosen by the router, which may use it for another call once this one is aborted.
    """

    __slots__ = ("_connection", "sequence_id")

    def __init__(self, connection: "ThriftConnection", sequence_id: int) -> None:
        self.sequence_id = sequence_id
        self._connection = connection

    def _reply(self, field_id: int, value: bytes) -> None:
        self._connection.answer(self, thrift.encode_reply(INVOKE, self.sequence_id, field_id, value))

    def served(self, result: RunResult) -> bool:
        """See core.request.Responder."""
        if not result.success or len(result.body) > MAX_RESULT_BYTES:
            # The result of a filing that ran for another front: an error response, or too large for Thrift.
            self._reply(
                FAILED,
                thrift.encode_service_exception({b"reason": b"no result that this protocol can carry"}),
            )
            return False
        self._connection.served = True
        self._reply(RETURNED, thrift.encode_answer(result.body, {}, True))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """See core.request.Responder."""
        values = {}
        if retry_after_ns >= NS_PER_MS:
            values[b"backoff"] = b"%d" % (retry_after_ns // NS_PER_MS)
        if no_retry:
            values[b"final"] = b"1"
        self._reply(REJECTED, thrift.encode_service_exception(values))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:  # noqa: ARG002 (not sent)
        """See core.request.Responder; the protocol has no field for the result of a failed run."""
        self._reply(FAILED, thrift.encode_service_exception({b"reason": reason.value.encode()}))

    def origin(self) -> tuple[str, str]:
        """See core.request.Responder."""
        return "thrift", self._connection.stream.peer_address


class ThriftConnection(FrontConnection):
    """The connection of a router to the Thrift front.

    Attributes:
        open_requests: The unanswered requests, by the sequence id of their call.
        request_count: Number of requests that were read.
        replied: Whether any reply was sent.
        only_pinged: Whether all calls so far were health checks.
        reading_stopped: Whether input is discarded after an error; open requests are still answered.
        farewell_sent_at_s: When the router was asked to close the connection; None if it was not.
    """

    def __init__(self, front: ThriftFrontContext, loop: Loop, stream: Stream, number: int) -> None:
        super().__init__(loop, stream, number)
        self.open_requests: dict[int, InboundRequest] = {}
        self.request_count = 0
        self.replied = False
        self.only_pinged = False
        self.reading_stopped = False
        self.farewell_sent_at_s: float | None = None
        self._front = front
        self._rejections = bytearray()  # replies of early rejections, sent in batches

    @property
    def has_sent_request(self) -> bool:
        """Whether the router has sent a call, even if it was aborted and needed no reply."""
        return self.replied or self.request_count > 0

    def run(self) -> None:
        """Handles frames until the connection ends; runs as the connection's task."""
        try:
            while True:
                if self._rejections:
                    self._send_rejections_if_due()
                if not self.stream.buffer:
                    self.stream.read_more()  # no deadline: the front ends idle connections
                self._loop.take_turn()
                self._handle_frame(self._read_frame())
                if not self.served:
                    self.pacer.request_read()
        except ConnectionClosedError:
            if not self.stream.closing:
                self.stream.close()
        except StreamTimeoutError:
            self._stop_reading()
        except thrift.MalformedFrameError as error:
            self._front.record_malformed_frame(str(error))
            self._stop_reading()
        except BaseException:
            self.stream.close()
            raise

    def has_complete_message(self) -> bool:
        """See FrontConnection; messages are frames here."""
        buffer = self.stream.buffer
        size = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        return len(buffer) >= FRAME_HEADER_BYTES + size

    def answer(self, responder: ThriftResponder, reply: bytes) -> None:
        """Sends the reply to a call, unless the call was aborted."""
        request = self.open_requests.get(responder.sequence_id)
        if request is None or request.responder is not responder:
            return
        del self.open_requests[responder.sequence_id]
        self.last_used_at_s = time.monotonic()
        self._write(reply)
        if self.open_requests:
            return
        if self.reading_stopped:
            self.stream.close_when_sent()
        elif self._front.draining:
            self.send_farewell()

    def send_farewell(self) -> None:
        """Asks the router, once, to close the connection; a close from this side could cross a request."""
        if self.farewell_sent_at_s is None:
            self.farewell_sent_at_s = time.monotonic()
            self.stream.write(FAREWELL_FRAME)

    # ---- reading
    def _read_frame(self) -> bytes:
        """Reads the next frame; one that is not completely buffered must arrive by a deadline."""
        buffer = self.stream.buffer
        size = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        end = FRAME_HEADER_BYTES + size
        if end <= len(buffer) and size <= MAX_FRAME_BYTES:
            frame = bytes(buffer[FRAME_HEADER_BYTES:end])
            self.stream.consume(end)
            return frame
        # The time-out of a connection's first frame counts from when the connection was accepted.
        started_s = time.monotonic() if self.has_sent_request else self.accepted_at_s
        deadline_s = started_s + MESSAGE_ARRIVAL_TIMEOUT_S
        self.stream.wait_for(FRAME_HEADER_BYTES, deadline_s)
        size = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        if size > MAX_FRAME_BYTES:
            raise thrift.MalformedFrameError(thrift.FrameFault.FRAME_TOO_LONG)
        # The header stays in the buffer until the frame is complete, which shows that it is not.
        return self.stream.read_exactly(FRAME_HEADER_BYTES + size, deadline_s)[FRAME_HEADER_BYTES:]

    def _stop_reading(self) -> None:
        """Discards further input, and closes the connection once all open requests are answered."""
        if self._rejections:
            self._send_rejections()
        self.reading_stopped = True
        self.stream.discard_input()
        if not self.open_requests:
            self.stream.close_when_sent()

    # ---- calls
    def _handle_frame(self, frame: bytes) -> None:
        message = thrift.parse_message(frame)
        self.last_used_at_s = time.monotonic()
        if message.kind == thrift.CALL:
            if message.method == INVOKE:
                self._invoke(message)
            elif message.method == PING:
                self._answer_ping(message)
            else:
                self._write_exception(message, thrift.UNKNOWN_METHOD, "unknown method")
        elif message.kind != thrift.ONEWAY:
            raise thrift.MalformedFrameError(thrift.FrameFault.UNEXPECTED_MESSAGE)
        elif message.method == ABORT:
            self._abort(message)

    def _answer_ping(self, message: thrift.Message) -> None:
        self.only_pinged = not self.request_count
        answer = thrift.encode_answer(b"", {}, self._front.core.healthy)
        self._write(thrift.encode_reply(PING, message.seqid, RETURNED, answer))

    def _abort(self, message: thrift.Message) -> None:
        for kind, number in message.args.read_fields():
            if (kind, number) != (thrift.I32, 1):
                message.args.skip(kind)
                continue
            request = self.open_requests.pop(message.args.read_i32(), None)
            if request is not None:
                self._front.core.post(CallerDisconnected(request.reference))

    def _invoke(self, message: thrift.Message) -> None:
        values: dict[bytes, bytes] | None = None
        body = b""
        try:
            for kind, number in message.args.read_fields():
                if (kind, number) == (thrift.MAP, 1):
                    values = message.args.read_string_map()
                elif (kind, number) == (thrift.STRING, 2):
                    body = message.args.read_string()
                else:
                    message.args.skip(kind)
            self._start_request(message.seqid, values, body)
        except thrift.InvalidArgumentsError as error:
            self._write_exception(message, thrift.PROTOCOL_ERROR, str(error))
            method = (values or {}).get(b"method", b"").decode("latin-1")
            if method in self._front.classes:
                self._front.core.metrics.count(RequestCounter.FAILED, method)

    def _start_request(self, sequence_id: int, values: dict[bytes, bytes] | None, body: bytes) -> None:
        front = self._front
        if values is None:
            raise thrift.InvalidArgumentsError.in_argument("fields", "missing")
        if sequence_id in self.open_requests:  # the replies to both calls would be indistinguishable
            front.record_malformed_frame(thrift.FrameFault.SEQUENCE_ID_IN_USE)
            raise ConnectionClosedError
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            raise thrift.TooManyRequestsError
        if front.admission_filter is not None and self._reject_early(sequence_id, values):
            return
        if self.stream.peer_has_left():
            raise ConnectionClosedError  # nobody waits for the answer to what it sent before
        request = front.read_request(values, body, ThriftResponder(self, sequence_id))
        self.only_pinged = False
        self.request_count += 1
        self.open_requests[sequence_id] = request
        front.core.post(RequestArrived(request))

    def _reject_early(self, sequence_id: int, values: dict[bytes, bytes]) -> bool:
        """Sheds load with as little parsing as possible; returns whether the request was rejected."""
        front = self._front
        class_name = front.class_names.get(values.get(b"method", b""))
        if class_name is None:
            return False
        tenant = values.get(b"acct")
        start_time_ms = values.get(b"t0", b"")
        caller = values.get(b"peer", b"")
        has_start_time = start_time_ms.isdigit() and len(start_time_ms) <= MAX_TIME_DIGITS
        has_caller = caller.isdigit() and len(caller) <= MAX_CALLER_DIGITS
        retry_after_ns = front.retry_after_ns(
            class_name,
            None if tenant is None else tenant.decode("latin-1"),
            int(caller) if has_caller else 0,
            time.time_ns() - int(start_time_ms) * NS_PER_MS if has_start_time else 0,
        )
        if retry_after_ns is None:
            return False
        self.request_count += 1
        self.only_pinged = False
        exception = thrift.encode_service_exception({b"backoff": b"%d" % (retry_after_ns // NS_PER_MS)})
        self._rejections += thrift.encode_reply(INVOKE, sequence_id, REJECTED, exception)
        front.core.metrics.count(RequestCounter.REJECTED, class_name)
        return True

    # ---- writing
    def _send_rejections_if_due(self) -> None:
        """Sends the batch of rejections once no complete frame is buffered, or the batch is full."""
        if not self.has_complete_message() or len(self._rejections) >= MAX_REJECTION_BATCH_BYTES:
            self._send_rejections()

    def _send_rejections(self) -> None:
        data = bytes(self._rejections)
        self._rejections.clear()
        self._write(data)

    def _write_exception(self, message: thrift.Message, kind: int, text: str) -> None:
        self._write(thrift.encode_application_exception(message.method, message.seqid, kind, text))

    def _write(self, data: bytes) -> None:
        self.replied = True
        self.stream.write(data)
        if self.stream.unsent:
            self._front.limit_unsent()
