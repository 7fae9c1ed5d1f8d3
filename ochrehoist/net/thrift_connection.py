"""One connection of a router: calls are read one after the other, and answered in any order."""

import time
from typing import Protocol

from ochrehoist.admission.settings import RequestClass
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net import thrift
from ochrehoist.net.front import MESSAGE_ARRIVAL_TIMEOUT_S, FrontConnection, FrontContext
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError
from ochrehoist.units import NS_PER_MS

MAX_FRAME_BYTES = (
    16 * 1024
)  # a body has 2 KiB at most, its fields far less; hundreds may be half sent at once
FRAME_HEADER_BYTES = 4  # the length
MAX_RESULT_BYTES = 4096
MAX_OPEN_REQUESTS = 32  # on one connection
MAX_REJECTION_BATCH_BYTES = 16 * 1024
MAX_TIME_DIGITS = 15
MAX_CALLER_DIGITS = 9
# Methods that routers call.
INVOKE = b"invoke"
ABORT = b"abort"
PING = b"ping"
# Fields of the result of `invoke`: its value, and what it throws.
RETURNED = 0
REJECTED = 1
FAILED = 2
FAREWELL_FRAME = thrift.encode_message(thrift.ONEWAY, b"farewell", 0, thrift.STRUCT_END)


class ThriftFrontContext(FrontContext, Protocol):
    """What a connection needs of its front."""

    class_names: dict[bytes, str]

    @property
    def classes(self) -> dict[str, RequestClass]:
        """By name, also those that are gone."""
        ...

    def record_malformed_frame(self, reason: str) -> None:
        """Counts what could not be read."""
        ...

    def limit_unsent(self) -> None:
        """Disconnects readers that are too slow, where all of them together take too much memory."""
        ...


class ThriftResponder:
    """Answers one invoke call."""

    __slots__ = ("_connection", "_sequence_id")

    def __init__(self, connection: "ThriftConnection", sequence_id: int) -> None:
        self._connection = connection
        self._sequence_id = sequence_id

    def _reply(self, field_id: int, value: bytes) -> None:
        self._connection.answer(
            self._sequence_id, thrift.encode_reply(INVOKE, self._sequence_id, field_id, value)
        )

    def served(self, result: RunResult) -> bool:
        """See core.protocols.Responder."""
        if not result.success or len(result.body) > MAX_RESULT_BYTES:
            # A run of another front made it: an error there, or more than this protocol can carry.
            self._reply(
                FAILED,
                thrift.encode_service_exception({b"reason": b"no result that this protocol can carry"}),
            )
            return False
        self._connection.served = True
        self._reply(RETURNED, thrift.encode_answer(result.body, {}, True))
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:
        """See core.protocols.Responder."""
        values = {}
        if retry_after_ns >= NS_PER_MS:
            values[b"backoff"] = b"%d" % (retry_after_ns // NS_PER_MS)
        if no_retry:
            values[b"final"] = b"1"
        self._reply(REJECTED, thrift.encode_service_exception(values))

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:  # noqa: ARG002 (no room)
        """See core.protocols.Responder; the protocol carries no result of a failure."""
        self._reply(FAILED, thrift.encode_service_exception({b"reason": reason.value.encode()}))

    def origin(self) -> tuple[str, str]:
        """See core.protocols.Responder."""
        return "thrift", self._connection.stream.peer_address


class ThriftConnection(FrontConnection):
    """Reads frames while the connection lasts.

    Attributes:
        open_requests: Request ids by the sequence number of their call.
        request_count: Requests that were read.
        replied: Something was sent in answer, once at least.
        only_pinged: It asked for nothing but health checks.
        reading_stopped: What arrives can't be read any more; open requests are still answered.
        farewell_sent_at_s: When the router was asked to close; None: not yet.
    """

    def __init__(self, front: ThriftFrontContext, loop: Loop, stream: Stream, number: int) -> None:
        super().__init__(loop, stream, number)
        self.open_requests: dict[int, str] = {}
        self.request_count = 0
        self.replied = False
        self.only_pinged = False
        self.reading_stopped = False
        self.farewell_sent_at_s: float | None = None
        self._front = front
        self._rejections = bytearray()  # of early rejection, sent together

    @property
    def has_sent_request(self) -> bool:
        """Whether it has asked for something, also where all of it was aborted and needed no answer."""
        return self.replied or self.request_count > 0

    def run(self) -> None:
        """The connection's task."""
        try:
            while True:
                if self._rejections:
                    self._send_rejections_if_due()
                if not self.stream.buffer:
                    self.stream.read_more()  # without a deadline: the front ends what stays idle
                self._handle_frame(self._read_frame())
                if not self.served:
                    self.pacer.request_read()
        except ConnectionClosedError:
            if not self.stream.closing:
                self.stream.close()
        except StreamTimeoutError:
            self._stop_reading()
        except thrift.MalformedFrameError as error:  # ends this connection only
            self._front.record_malformed_frame(str(error))
            self._stop_reading()
        except BaseException:
            self.stream.close()
            raise

    def has_complete_frame(self) -> bool:
        """Whether the next frame is here, all of it."""
        buffer = self.stream.buffer
        size = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        return len(buffer) >= FRAME_HEADER_BYTES + size

    def answer(self, sequence_id: int, reply: bytes) -> None:
        """Sends the reply of a call, unless the call was aborted."""
        if self.open_requests.pop(sequence_id, None) is None:
            return
        self.last_used_at_s = time.monotonic()
        self._write(reply)
        if self.open_requests:
            return
        if self.reading_stopped:
            self.stream.close_when_sent()
        elif self._front.draining:
            self.send_farewell()

    def send_farewell(self) -> None:
        """Asks the router to close, once: a close from this side could cross a request."""
        if self.farewell_sent_at_s is None:
            self.farewell_sent_at_s = time.monotonic()
            self.stream.write(FAREWELL_FRAME)

    # ---- reading
    def _read_frame(self) -> bytes:
        """The next frame: most often it is here whole, else it must arrive in time."""
        buffer = self.stream.buffer
        size = int.from_bytes(buffer[:FRAME_HEADER_BYTES], "big")
        end = FRAME_HEADER_BYTES + size
        if end <= len(buffer) and size <= MAX_FRAME_BYTES:
            frame = bytes(buffer[FRAME_HEADER_BYTES:end])
            del buffer[:end]
            return frame
        # A new connection has no more than its first moments for what it has begun.
        started_s = time.monotonic() if self.has_sent_request else self.accepted_at_s
        deadline_s = started_s + MESSAGE_ARRIVAL_TIMEOUT_S
        size = int.from_bytes(self.stream.read_exactly(FRAME_HEADER_BYTES, deadline_s), "big")
        if size > MAX_FRAME_BYTES:
            raise thrift.MalformedFrameError(thrift.FrameFault.FRAME_TOO_LONG)
        return self.stream.read_exactly(size, deadline_s)

    def _stop_reading(self) -> None:
        """Ends the connection, but not what was asked on it before: that is answered first."""
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
            request_id = self.open_requests.pop(message.args.read_i32(), None)
            if request_id is not None:
                self._front.core.post(CallerDisconnected(request_id))

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
        if sequence_id in self.open_requests:  # nobody could tell whose answer the next one is
            front.record_malformed_frame(thrift.FrameFault.SEQUENCE_ID_IN_USE)
            raise ConnectionClosedError
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            raise thrift.TooManyRequestsError
        if front.admission_filter is not None and self._reject_early(sequence_id, values):
            return
        request = front.read_request(values, body, ThriftResponder(self, sequence_id))
        self.only_pinged = False
        self.request_count += 1
        self.open_requests[sequence_id] = request.id
        front.core.post(RequestArrived(request))

    def _reject_early(self, sequence_id: int, values: dict[bytes, bytes]) -> bool:
        """Sheds load by as little of the request as can be read; returns whether it was rejected."""
        front = self._front
        class_name = front.class_names.get(values.get(b"method", b""))
        if class_name is None:
            return False
        tenant = values.get(b"acct")
        started = values.get(b"t0", b"")
        caller = values.get(b"peer", b"")
        is_time = started.isdigit() and len(started) <= MAX_TIME_DIGITS
        is_caller = caller.isdigit() and len(caller) <= MAX_CALLER_DIGITS
        retry_after_ns = front.retry_after_ns(
            class_name,
            None if tenant is None else tenant.decode("latin-1"),
            int(caller) if is_caller else 0,
            time.time_ns() - int(started) * NS_PER_MS if is_time else 0,
        )
        if retry_after_ns is None:
            return False
        self.request_count += 1
        self.only_pinged = False
        problem = thrift.encode_service_exception({b"backoff": b"%d" % (retry_after_ns // NS_PER_MS)})
        self._rejections += thrift.encode_reply(INVOKE, sequence_id, REJECTED, problem)
        front.core.metrics.count(RequestCounter.REJECTED, class_name)
        return True

    # ---- writing
    def _send_rejections_if_due(self) -> None:
        """Sends them together: once there is nothing else to read, or enough to send."""
        if not self.has_complete_frame() or len(self._rejections) >= MAX_REJECTION_BATCH_BYTES:
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
