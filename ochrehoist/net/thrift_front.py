"""The platform's front: Thrift calls of routers and health checks, turned into core requests and back."""

import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.protocols import AdmissionFilter, Executor
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net import thrift
from ochrehoist.net.listener import Listening, Pace, close_least
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError

MS = 1_000_000
MAX_FRAME = 16 * 1024  # a body has 2 KiB at most, its fields far less; hundreds may be half sent at once
MAX_BODY = 2048
MAX_RESULT = 4096
MAX_OPEN = 32  # requests open on one connection
SEND_BUFFER = 64 * 1024  # the system's, for each connection: for a slow reader it would grow to megabytes
LINGER = 0.5  # s that a router has to close a connection after its farewell
WHOLE = 2.5  # s for a frame that was begun, and for a new connection to get its first answer
STUCK = 1.0  # s without a byte after which a request that was begun is taken for one that won't come
MOVING = 0.2  # s after its connect that a first request must still be coming to be taken for a slow one
FRESH = 0.05  # s after its connect within which a first request would cross a close
YOUNG = 0.5  # s that a new connection has before it counts as silent
ONCE = 2.0  # s without a request after which a connection used once is taken for one that stays for nothing
CROWDED = 0.125  # of the connections there is room for: from there on such are sent away
SMALLEST = 1e-9  # KB: a figure above 0
HEX = frozenset("0123456789abcdefABCDEF")
INVOKE, ABORT, PING = b"invoke", b"abort", b"ping"
FAREWELL = thrift.message(thrift.ONEWAY, b"farewell", 0, thrift.END)


ReadRequest = Callable[..., InboundRequest]  # of a front: reads one request for the core


@dataclass(slots=True, frozen=True)
class Payload:
    """What the kernel gets of a request, as it came."""

    method: str
    body: bytes


class Fields:
    """The fields of an invoke call; a bad one is named."""

    def __init__(self, values: dict[bytes, bytes]) -> None:
        self.values = values

    def text(self, name: str, required: bool = True) -> str | None:
        value = self.values.get(name.encode())
        if value is None:
            if required:
                raise thrift.InvalidArgumentsError(f"field {name}: missing")
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise thrift.InvalidArgumentsError(f"field {name}: not text") from None

    def number(self, name: str, least: float, below: float, required: bool = True) -> float | None:
        text = self.text(name, required)
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not least <= value < below:  # NaN compares false
            raise thrift.InvalidArgumentsError(f"field {name}: unusable value")
        return value

    def whole(self, name: str, required: bool = True) -> int | None:
        text = self.text(name, required)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= 15):
            raise thrift.InvalidArgumentsError(f"field {name}: not a whole number")
        return int(text)


class ThriftReader:
    """Reads the arguments of an invoke call into a core request."""

    def __init__(self, owner: CoreActor, executor: Executor) -> None:
        self.owner, self.executor = owner, executor
        self.classes: dict[str, RequestClass] = {}  # also those that are gone: the core answers them
        self.configure(owner.settings)

    def configure(self, settings: AdmissionSettings) -> None:
        self.classes.update((c.name, c) for c in settings.classes)

    def request(
        self, values: dict[bytes, bytes], body: bytes, responder: "ThriftResponder"
    ) -> InboundRequest:
        f = Fields(values)
        method, rid = f.text("method"), f.text("rid")
        cls = self.classes.get(method)
        if cls is None:
            raise thrift.InvalidArgumentsError("field method: unknown class")
        if len(rid) != 16 or not HEX.issuperset(rid):
            raise thrift.InvalidArgumentsError("field rid: not 16 hex digits")
        tenants = self.owner.tenants
        acct = f.text("acct", required=bool(tenants.by_position))
        if acct is not None and not tenants.is_known(acct):  # one that is gone may repeat a filing that ran
            raise thrift.InvalidArgumentsError("field acct: unknown tenant")
        keyed = cls.idempotency is Idempotency.KEYED
        token = f.text("token", required=keyed)
        if keyed and not token:
            raise thrift.InvalidArgumentsError("field token: empty")
        if len(body) > MAX_BODY:
            raise thrift.InvalidArgumentsError("body: too long")
        est = f.number("est", 0.0, 1e9, required=False)
        return InboundRequest(
            id=rid,
            request_class=cls,
            arrived_ns=f.whole("t0") * MS,
            payload=Payload(method, body),
            responder=responder,
            executor=self.executor,
            tenant=acct,
            routing_key=f.text("obj", required=False),
            idempotency_key=(acct, method, token) if keyed else None,
            fingerprint=(None, sha256(body).digest()) if keyed else None,
            work_ns=int(est * MS) if est else None,
            memory_kb=f.number("mem", SMALLEST, 2000.0),
            rank=f.number("prio", 0.0, 1.0, required=False) or 0.0,
            is_retry=f.text("again", required=False) == "1",
            is_write=cls.idempotency is not Idempotency.IDEMPOTENT,
            caller=f.whole("peer", required=False) or 0,
        )


class ThriftResponder:
    """The way back for one call."""

    __slots__ = ("connection", "seqid", "rid")

    def __init__(self, connection: "Connection", seqid: int) -> None:
        self.connection, self.seqid, self.rid = connection, seqid, ""

    def _reply(self, field_id: int, value: bytes) -> None:
        self.connection.answer(self.seqid, thrift.reply(INVOKE, self.seqid, field_id, value))

    def served(self, result: RunResult) -> bool:
        if not result.success or len(result.body) > MAX_RESULT:
            # A run of another front made it: an error there, or more than this wire can carry.
            self._reply(2, thrift.problem({b"reason": b"no result that this protocol can carry"}))
            return False
        self.connection.served = True
        self._reply(0, thrift.answer(result.body, {}, True))
        return True

    def rejected(self, backoff: int, no_retry: bool) -> None:
        values = {}
        if backoff >= MS:
            values[b"backoff"] = b"%d" % (backoff // MS)
        if no_retry:
            values[b"final"] = b"1"
        self._reply(1, thrift.problem(values))

    def origin(self) -> tuple[str, str]:
        return "thrift", self.connection.stream.peer

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        self._reply(2, thrift.problem({b"reason": reason.value.encode()}))


class Connection:
    """One connection: reads frames while it lasts; answers are written as they come, in any order."""

    def __init__(self, front: "ThriftFront", stream: Stream) -> None:
        self.front, self.stream = front, stream
        self.open: dict[int, str] = {}  # seqid -> request
        self.opened = self.used_at = time.monotonic()
        self.farewelled: float | None = None
        self.checks_only = False
        self.spoilt = False  # what comes can't be read any more; what is open is still answered
        self.calls = 0  # requests read
        self.answered = self.served = False  # once at least
        self.turned_away = bytearray()  # refusals by admission, sent together
        self.pace = Pace(front.loop)
        stream.on_close = lambda: front.closed(self)

    @property
    def known(self) -> bool:
        """Whether it has asked for something, also where all of it was taken back and needed no answer."""
        return self.answered or self.calls > 0

    def run(self) -> None:
        try:
            while True:
                if self.turned_away and not (self.whole() and len(self.turned_away) < SEND_BUFFER // 4):
                    self._send_turned_away()
                if not self.stream.buffer:
                    self.stream.fill()  # the sweep ends what stays idle
                self._frame(self._next())
                if not self.served:
                    self.pace.keep()
        except ConnectionClosedError:
            if not self.stream.closing:
                self.stream.close()
        except StreamTimeoutError:
            self._spoil()
        except thrift.MalformedFrameError as error:  # ends this connection only
            self.front.bad_frame(str(error))
            self._spoil()
        except BaseException:
            self.stream.close()
            raise

    def _spoil(self) -> None:
        """Ends the connection, but not what was asked on it before: that is answered first."""
        if self.turned_away:
            self._send_turned_away()
        self.spoilt = True
        self.stream.discard()
        if not self.open:
            self.stream.close_when_sent()

    def whole(self) -> bool:
        """Whether the next frame is here."""
        buffer = self.stream.buffer
        return len(buffer) >= 4 + int.from_bytes(buffer[:4], "big")

    def _send_turned_away(self) -> None:
        data, self.turned_away = bytes(self.turned_away), bytearray()
        self._write(data)

    def _next(self) -> bytes:
        """The next frame: most often it is here whole, else it must come in time."""
        buffer = self.stream.buffer
        size = int.from_bytes(buffer[:4], "big")
        if 4 + size <= len(buffer) and size <= MAX_FRAME:
            frame = bytes(buffer[4 : 4 + size])
            del buffer[: 4 + size]
            return frame
        # A new connection has no more than its first moments for what it has begun.
        until = (time.monotonic() if self.known else self.opened) + WHOLE
        size = int.from_bytes(self.stream.take(4, until - time.monotonic()), "big")
        if size > MAX_FRAME:
            raise thrift.MalformedFrameError("frame too long")
        return self.stream.take(size, until - time.monotonic())

    def _frame(self, frame: bytes) -> None:
        m = thrift.parse(frame)
        self.used_at = time.monotonic()
        if m.kind == thrift.CALL and m.method == INVOKE:
            self._invoke(m)
        elif m.kind == thrift.CALL and m.method == PING:
            self.checks_only = not self.calls
            answer = thrift.answer(b"", {}, self.front.owner.healthy)
            self._write(thrift.reply(PING, m.seqid, 0, answer))
        elif m.kind == thrift.ONEWAY and m.method == ABORT:
            for kind, number in m.args.fields():
                if (kind, number) == (thrift.I32, 1):
                    gone = self.open.pop(m.args.i32(), None)
                    if gone is not None:
                        self.front.owner.post(CallerDisconnected(gone))
                else:
                    m.args.skip(kind)
        elif m.kind == thrift.CALL:
            self._write(
                thrift.application_exception(m.method, m.seqid, thrift.UNKNOWN_METHOD, "unknown method")
            )
        elif m.kind != thrift.ONEWAY:
            raise thrift.MalformedFrameError("neither a call nor a oneway message")

    def _invoke(self, m: thrift.Message) -> None:
        values, body = None, b""
        try:
            for kind, number in m.args.fields():
                if (kind, number) == (thrift.MAP, 1):
                    values = m.args.strings()
                elif (kind, number) == (thrift.STRING, 2):
                    body = m.args.string()
                else:
                    m.args.skip(kind)
            if values is None:
                raise thrift.InvalidArgumentsError("fields: missing")
            if m.seqid in self.open:  # nobody could tell whose answer the next one is
                self.front.bad_frame("a sequence number in use")
                raise ConnectionClosedError
            if len(self.open) >= MAX_OPEN:
                raise thrift.InvalidArgumentsError("too many requests open")
            if self.front.admission is not None and self._ask_admission(m.seqid, values):
                return
            responder = ThriftResponder(self, m.seqid)
            request = self.front.read_request(values, body, responder)
        except thrift.InvalidArgumentsError as error:
            self._write(thrift.application_exception(INVOKE, m.seqid, thrift.PROTOCOL_ERROR, str(error)))
            method = (values or {}).get(b"method", b"").decode("latin-1")
            if method in self.front.reader.classes:
                self.front.owner.metrics.count(RequestCounter.FAILED, method)
            return
        self.checks_only = False
        self.calls += 1
        self.open[m.seqid] = request.id
        self.front.owner.post(RequestArrived(request))

    def _ask_admission(self, seqid: int, values: dict[bytes, bytes]) -> bool:
        """Turns away what the worker is too far behind to decide on, by as little of it as can be read."""
        front, admission = self.front, self.front.admission
        cls = front.names.get(values.get(b"method", b""))
        if cls is None or not front.owner.decides:
            return False
        tenant, t0, peer = values.get(b"acct"), values.get(b"t0", b""), values.get(b"peer", b"")
        age = time.time_ns() - int(t0) * MS if t0.isdigit() and len(t0) <= 15 else 0
        backoff = admission.admits(
            cls,
            tenant and tenant.decode("latin-1"),
            int(peer) if peer.isdigit() and len(peer) <= 9 else 0,
            age,
        )
        if backoff is None:
            return False
        self.calls += 1
        self.checks_only = False
        told = thrift.problem({b"backoff": b"%d" % (backoff // MS)})
        self.turned_away += thrift.reply(INVOKE, seqid, 1, told)
        front.owner.metrics.count(RequestCounter.REJECTED, cls)
        return True

    def _write(self, data: bytes) -> None:
        self.answered = True
        self.stream.write(data)
        if self.stream.unsent:
            self.front.bound_unsent()

    def answer(self, seqid: int, data: bytes) -> None:
        if self.open.pop(seqid, None) is not None:
            self.used_at = time.monotonic()
            self._write(data)
            if self.spoilt and not self.open:
                self.stream.close_when_sent()
            elif self.front.draining and not self.open:
                self.farewell()

    def farewell(self) -> None:
        if self.farewelled is None:
            self.farewelled = time.monotonic()
            self.stream.write(FAREWELL)


class ThriftFront:
    """Listens for routers. It is a Listener of the core: idle times and the notice to leave come by that."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        executor: Executor,
        address: tuple[str, int],
        max_connections: int,
        max_unsent: int,
        log: Any,
        sock: socket.socket | None = None,
        admission: AdmissionFilter | None = None,
    ) -> None:
        self.loop, self.owner, self.log = loop, owner, log
        self.reader = ThriftReader(owner, executor)
        self.connections: set[Connection] = set()
        self.max_unsent = max_unsent  # bytes of all answers that are not taken yet
        self.draining = False
        self.admission = admission
        self.read_request = self.reader.request
        self.names: dict[bytes, str] = {}  # classes by what is on the wire
        self.configure(owner.settings)
        self.idle: float = owner.settings.idle_timeout_ns / 1e9
        self.bad_frames, self.why, self.logged = 0, "", 0.0
        self.listening = Listening(loop, address, self._accepted, max_connections, log, sock, self._make_room)
        loop.call_later(0.1, self._sweep)

    def configure(self, settings: AdmissionSettings) -> None:
        self.reader.configure(settings)
        self.names = {name.encode(): name for name in self.reader.classes}

    def instrument_reading(self, wrap: Callable[[ReadRequest], ReadRequest]) -> None:
        """Puts a wrapper, such as a timer, around the reading of each request."""
        self.read_request = wrap(self.read_request)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        connection = Connection(self, Stream(self.loop, sock))
        self.connections.add(connection)
        return connection.run

    def closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.listening.closed()
        for rid in connection.open.values():
            self.owner.post(CallerDisconnected(rid, gave_up=False))
        connection.open.clear()

    def bad_frame(self, why: str) -> None:
        self.bad_frames, self.why = self.bad_frames + 1, why

    def bound_unsent(self) -> None:
        """Readers this slow would fill the memory together: the one furthest behind is cut off."""
        while sum(len(c.stream.unsent) for c in self.connections) > self.max_unsent:
            max(self.connections, key=lambda c: len(c.stream.unsent)).stream.close()

    def _make_room(self) -> bool:
        """Closes the idle connection that is missed least: what crosses the close is sent once more.

        First those that were told to go, then the silent, then those that asked once or were never served,
        then what was half sent and has stopped, what has just come, and what has been idle longest. Last what
        goes on sending: a rightful request may take seconds to come.
        """
        now = time.monotonic()

        def missed(c: Connection) -> tuple[int, float]:
            if c.stream.shut or c.farewelled:
                return 0, c.used_at
            quiet = now - c.stream.heard_at
            if c.stream.buffer and quiet > STUCK:
                return 3, c.used_at
            if c.stream.buffer and (c.answered or c.stream.heard_at - c.opened > MOVING):
                return 6, c.used_at
            if not c.answered:
                return (1 if not c.stream.buffer and quiet > YOUNG else 4), c.used_at
            return (2 if c.calls <= 1 or not c.served else 5), c.used_at

        def spare(c: Connection) -> bool:
            # A request that is here keeps its connection, but for a flood that waits for its pace. On one
            # just accepted the first may be here, and nobody has looked.
            looked = c.stream.wants_input or c.stream.buffer or c.stream.ended
            return not c.open and (not c.whole() or c.pace.left < 0) and looked and now - c.opened > FRESH

        return close_least([c for c in self.connections if spare(c)], missed, lambda c: c.stream)

    def _sweep(self) -> None:
        """Idle connections are ended by farewell, never by a close that a request could cross."""
        now = time.monotonic()
        crowded = len(self.connections) > CROWDED * self.listening.limit
        for c in list(self.connections):
            if c.open or c.spoilt or c.stream.closing or c.stream.closed or (c.stream.buffer and c.whole()):
                continue
            # What is still sending a request is in use, though the request is not here yet.
            used_at = max(c.used_at, c.stream.heard_at) if c.stream.buffer else c.used_at
            idle = now - used_at
            if c.farewelled is not None:
                if now - max(c.farewelled, used_at) > LINGER and not c.stream.look():
                    c.stream.close_when_sent()
            elif not c.known and now - c.opened > WHOLE:
                if not c.stream.look():
                    c.stream.close()  # nothing that could be answered came: nobody waits for anything here
            elif c.known and not c.answered and idle > LINGER and now - c.opened > WHOLE - LINGER:
                c.farewell()  # all was taken back: the next request may be on its way
            elif not c.checks_only and (idle > self.idle > 0 or (crowded and c.calls <= 1 and idle > ONCE)):
                c.farewell()
        if self.bad_frames and now - self.logged > 1:  # one line for all: a flood must not fill the log
            self.log.warning("bad frames", count=self.bad_frames, last=self.why)
            self.bad_frames, self.logged = 0, now
        self.loop.call_later(0.05, self._sweep)

    # ---- what the core wants
    def health_changed(self, good: bool) -> None:
        pass  # checks are answered from the core's state

    def idle_timeout_changed(self, hold_for: int) -> None:
        self.idle = hold_for / 1e9

    def shutdown_started(self, remaining: int) -> None:
        self.draining = True
        for c in list(self.connections):
            if not c.open and not c.checks_only:
                c.farewell()

    def retire(self) -> None:
        """Another process takes what comes from now on; a busy connection that is not told would not end."""
        self.draining = True
        for c in list(self.connections):
            c.farewell()

    def end_idle(self) -> None:
        for c in list(self.connections):
            if not c.open:
                c.farewell()
