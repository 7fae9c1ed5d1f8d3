"""The platform's front: Thrift calls of routers and health checks, turned into core requests and back."""

import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrehoist.core.owner import Owner
from ochrehoist.core.requests import Arrived, Executor, Gone, Inbound, Reason, Result
from ochrehoist.interface import Repeat, Settings
from ochrehoist.net import thrift
from ochrehoist.net.listener import Listening
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import Closed, Stream

MS = 1_000_000
MAX_FRAME = 64 * 1024  # a body has 2 KiB at most, its fields far less
MAX_RESULT = 4096
MAX_OPEN = 32  # requests open on one connection
LINGER = 2.0  # s that a router has to close a connection after its farewell
HEX = frozenset("0123456789abcdefABCDEF")
INVOKE, ABORT, PING = b"invoke", b"abort", b"ping"
FAREWELL = thrift.message(thrift.ONEWAY, b"farewell", 0, thrift.END)


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
                raise thrift.BadArguments(f"field {name}: missing")
            return None
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise thrift.BadArguments(f"field {name}: not text") from None

    def number(self, name: str, least: float, below: float, required: bool = True) -> float | None:
        text = self.text(name, required)
        if text is None:
            return None
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not least <= value < below:  # NaN compares false
            raise thrift.BadArguments(f"field {name}: unusable value")
        return value

    def whole(self, name: str, required: bool = True) -> int | None:
        text = self.text(name, required)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= 15):
            raise thrift.BadArguments(f"field {name}: not a whole number")
        return int(text)


class ThriftReader:
    """Reads the arguments of an invoke call into a core request."""

    def __init__(self, settings: Settings, executor: Executor) -> None:
        self.settings, self.executor = settings, executor
        self.kinds = {c.name: at for at, c in enumerate(settings.classes)}
        self.tenants = {t.name: at for at, t in enumerate(settings.tenants)}

    def request(self, values: dict[bytes, bytes], body: bytes, responder: "ThriftResponder") -> Inbound:
        f = Fields(values)
        method, rid = f.text("method"), f.text("rid")
        if method not in self.kinds:
            raise thrift.BadArguments("field method: unknown class")
        if len(rid) != 16 or not HEX.issuperset(rid):
            raise thrift.BadArguments("field rid: not 16 hex digits")
        kind = self.kinds[method]
        acct = f.text("acct", required=bool(self.tenants))
        if acct is not None and acct not in self.tenants:
            raise thrift.BadArguments("field acct: unknown tenant")
        tenant = self.tenants.get(acct)
        keyed = self.settings.classes[kind].repeat is Repeat.KEYED
        token = f.text("token", required=keyed)
        if keyed and not token:
            raise thrift.BadArguments("field token: empty")
        est = f.number("est", 0.0, 1e9, required=False)
        return Inbound(
            id=rid, kind=kind, arrived=f.whole("t0") * MS, payload=Payload(method, body), responder=responder,
            executor=self.executor, tenant=tenant, key=f.text("obj", required=False),
            token=(tenant, kind, token) if keyed else None, work=int(est * MS) if est else None,
            memory_kb=f.number("mem", 0.0, 2000.0), rank=f.number("prio", 0.0, 1.0, required=False) or 0.0,
            retry=f.text("again", required=False) == "1",
            write=self.settings.classes[kind].repeat is not Repeat.SAFE,
            caller=f.whole("peer", required=False) or 0)


class ThriftResponder:
    """The way back for one call."""

    __slots__ = ("connection", "seqid", "rid")

    def __init__(self, connection: "Connection", seqid: int) -> None:
        self.connection, self.seqid, self.rid = connection, seqid, ""

    def _reply(self, field_id: int, value: bytes) -> None:
        self.connection.answer(self.seqid, thrift.reply(INVOKE, self.seqid, field_id, value))

    def served(self, result: Result) -> None:
        if not result.success or len(result.body) > MAX_RESULT:
            # A run of another front made it: an error there, or more than this wire can carry.
            return self._reply(2, thrift.problem({b"reason": b"no result that this protocol can carry"}))
        self._reply(0, thrift.answer(result.body, {}, True))

    def refused(self, backoff: int, no_retry: bool) -> None:
        values = {}
        if backoff >= MS:
            values[b"backoff"] = b"%d" % (backoff // MS)
        if no_retry:
            values[b"final"] = b"1"
        self._reply(1, thrift.problem(values))

    def failed(self, reason: Reason, result: Result | None = None) -> None:
        self._reply(2, thrift.problem({b"reason": reason.value.encode()}))


class Connection:
    """One connection: reads frames while it lasts; answers are written as they come, in any order."""

    def __init__(self, front: "ThriftFront", stream: Stream) -> None:
        self.front, self.stream = front, stream
        self.open: dict[int, str] = {}  # seqid -> request
        self.used_at = time.monotonic()
        self.farewelled: float | None = None
        self.checks_only = False
        stream.on_close = lambda: front.closed(self)

    def run(self) -> None:
        try:
            while True:
                size = int.from_bytes(self.stream.take(4), "big")
                if size > MAX_FRAME:
                    raise thrift.BadFrame("frame too long")
                self._frame(self.stream.take(size))
        except Closed:
            pass
        except thrift.BadFrame as error:  # ends this connection only
            self.front.log.warning("bad frame", why=str(error))
        finally:
            self.stream.close()

    def _frame(self, frame: bytes) -> None:
        m = thrift.parse(frame)
        if m.kind == thrift.CALL and m.method == INVOKE:
            self._invoke(m)
        elif m.kind == thrift.CALL and m.method == PING:
            self.checks_only = not self.open
            answer = thrift.answer(b"", {}, self.front.owner.healthy)
            self.stream.write(thrift.reply(PING, m.seqid, 0, answer))
        elif m.kind == thrift.ONEWAY and m.method == ABORT:
            for kind, number in m.args.fields():
                if (kind, number) == (thrift.I32, 1):
                    gone = self.open.pop(m.args.i32(), None)
                    if gone is not None:
                        self.used_at = time.monotonic()
                        self.front.owner.post(Gone(gone))
                else:
                    m.args.skip(kind)
        elif m.kind == thrift.CALL:
            self.stream.write(thrift.application_exception(
                m.method, m.seqid, thrift.UNKNOWN_METHOD, "unknown method"))
        elif m.kind != thrift.ONEWAY:
            raise thrift.BadFrame("neither a call nor a oneway message")

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
                raise thrift.BadArguments("fields: missing")
            if m.seqid in self.open or len(self.open) >= MAX_OPEN:
                raise thrift.BadArguments("sequence number in use, or too many requests open")
            responder = ThriftResponder(self, m.seqid)
            request = self.front.reader.request(values, body, responder)
        except thrift.BadArguments as error:
            self.stream.write(thrift.application_exception(
                INVOKE, m.seqid, thrift.PROTOCOL_ERROR, str(error)))
            return
        self.checks_only = False
        self.open[m.seqid] = request.id
        self.front.owner.post(Arrived(request))

    def answer(self, seqid: int, data: bytes) -> None:
        if self.open.pop(seqid, None) is not None:
            self.used_at = time.monotonic()
            self.stream.write(data)
            if self.front.draining and not self.open:
                self.farewell()

    def farewell(self) -> None:
        if self.farewelled is None:
            self.farewelled = time.monotonic()
            self.stream.write(FAREWELL)


class ThriftFront:
    """Listens for routers. It is a Listener of the core: idle times and the notice to leave come by that."""

    def __init__(self, loop: Loop, owner: Owner, executor: Executor, address: tuple[str, int],
                 max_connections: int, log: Any) -> None:
        self.loop, self.owner, self.log = loop, owner, log
        self.reader = ThriftReader(owner.settings, executor)
        self.connections: set[Connection] = set()
        self.draining = False
        self.idle: float = owner.settings.idle / 1e9
        self.listening = Listening(loop, address, self._accepted, max_connections, log)
        loop.call_later(0.1, self._sweep)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        connection = Connection(self, Stream(self.loop, sock))
        self.connections.add(connection)
        return connection.run

    def closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.listening.closed()
        for rid in connection.open.values():
            self.owner.post(Gone(rid))
        connection.open.clear()

    def _sweep(self) -> None:
        """Idle connections are ended by farewell, never by a close that a request could cross."""
        now = time.monotonic()
        crowded = self.listening.full()
        for c in list(self.connections):
            if c.open or c.stream.closed:
                continue
            if c.farewelled is not None:
                if now - max(c.farewelled, c.used_at) > LINGER:
                    c.stream.close_when_sent()
            elif not c.checks_only and (now - c.used_at > self.idle > 0 or (crowded and now - c.used_at > 1)):
                c.farewell()
        self.loop.call_later(0.05, self._sweep)

    # ---- what the core wants
    def health_changed(self, good: bool) -> None:
        pass  # checks are answered from the core's state

    def keep_alive_changed(self, hold_for: int) -> None:
        self.idle = hold_for / 1e9

    def leaving(self, remaining: int) -> None:
        self.draining = True
        for c in list(self.connections):
            if not c.open and not c.checks_only:
                c.farewell()

    def end_idle(self) -> None:
        for c in list(self.connections):
            if not c.open:
                c.farewell()
