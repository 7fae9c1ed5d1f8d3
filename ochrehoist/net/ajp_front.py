"""The AJP front: web servers connect here; each request goes through the same core as Thrift's."""

import hmac
import itertools
import secrets
import socket
import time
from collections.abc import Callable, Generator
from hashlib import sha256
from http import HTTPStatus
from typing import Any
from zlib import crc32

from ochrehoist.admission.events import Outcome
from ochrehoist.admission.settings import AdmissionSettings, Idempotency, RequestClass
from ochrehoist.config.tables import AjpConfig
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.metrics import RequestCounter
from ochrehoist.core.protocols import AdmissionFilter, Executor
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.errors import OchrehoistError
from ochrehoist.net import ajp
from ochrehoist.net.ajp_server import AjpPayload, read_packet
from ochrehoist.net.listener import Listening, Pace, close_least
from ochrehoist.net.loop import Loop
from ochrehoist.net.route_index import RouteIndex
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError
from ochrehoist.steps import run_to_completion

S = 1_000_000_000
STUCK = 1.0  # s without a byte after which a packet that was begun is taken for one that won't come
MOVING = 0.2  # s after its connect that a first packet must still be coming to be taken for a slow one
FRESH = 0.05  # s after its connect within which a first request would cross a close
YOUNG = 0.5  # s that a new connection has before it counts as silent
WHOLE = 2.5  # s for a packet that was begun, and for the first of a new connection


ReadRequest = Callable[..., InboundRequest]  # of a front: reads one request for the core


class Rejected(OchrehoistError):
    """Answered by the front itself: the request never becomes one of the core's."""

    def __init__(self, status: HTTPStatus, why: str) -> None:
        super().__init__(why)
        self.status, self.after = status, 1  # s
        self.group: str | None = None  # the class it would have had, where that is known


def _text(f: ajp.Forward, header: bytes) -> str:
    """UTF-8, as on Thrift: a key read in two ways would be two filings, and run twice."""
    try:
        return f.headers.get(header, b"").decode()
    except UnicodeDecodeError:
        raise Rejected(HTTPStatus.BAD_REQUEST, f"{header.decode()} is not UTF-8") from None


class AjpReader:
    """Reads a Forward Request into a core request, by the rules of the configuration."""

    def __init__(self, owner: CoreActor, executor: Executor, config: AjpConfig) -> None:
        self.owner, self.executor = owner, executor
        self.config: AjpConfig | None = None
        self.index = RouteIndex()
        self.configure(config, owner.settings)
        self.ids = itertools.count(1)
        self.process = secrets.token_hex(4)  # ids must differ from those of a process that this one replaces

    def prepare(
        self, config: AjpConfig, settings: AdmissionSettings
    ) -> Generator[None, None, Callable[[], None]]:
        """In steps that are well under 1 ms each; nothing changes before the call that it gives."""
        index = self.index
        if self.config is None or config.routes is not self.config.routes:
            index = yield from RouteIndex.in_steps(config.routes)
        classes = {c.name: c for c in settings.classes}
        longest_secret = max(len(s.secret.encode()) + 4 if s.secret else 0 for s in config.servers)

        def commit() -> None:
            self.config, self.index, self.classes = config, index, classes
            self.longest_secret = longest_secret

        return commit

    def configure(self, config: AjpConfig, settings: AdmissionSettings) -> None:
        """At once, as at the start."""
        run_to_completion(self.prepare(config, settings))()

    def check(self, f: ajp.Forward) -> tuple[RequestClass, str | None, str | None]:
        """Class, tenant and filing key, before any of the body is read."""
        secret = self.config.secret
        if secret is not None and not hmac.compare_digest(secret.encode(), f.secret or b""):
            raise Rejected(HTTPStatus.FORBIDDEN, "wrong secret")
        path = f.uri.split(b"?")[0].split(b";")[0].decode("latin-1")
        rule = self.index.find(f.method, path)
        if rule is None:
            raise Rejected(HTTPStatus.NOT_FOUND, "no class for this request")
        cls = self.classes[rule.request_class]
        try:
            return cls, *self._details(f, cls)
        except Rejected as error:
            error.group = cls.name
            raise

    def _details(self, f: ajp.Forward, cls: RequestClass) -> tuple[str | None, str | None]:
        if f.length > self.config.max_body:
            raise Rejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
        if len(f.packet) + self.longest_secret > self.config.packet_size - ajp.HEAD:
            raise Rejected(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "no room for the server's secret")
        tenant = _text(f, self.config.tenant_header) or self.config.default_tenant
        known = self.owner.tenants
        token = _text(f, self.config.key_header).strip() if cls.idempotency is Idempotency.KEYED else ""
        if len(token) > 1 and token[0] == token[-1] == '"':  # the header's own form is a quoted string
            token = token[1:-1]
        if tenant is not None and known and tenant not in known and not self._repeats(cls, tenant, token):
            raise Rejected(HTTPStatus.BAD_REQUEST, "unknown tenant")
        if cls.idempotency is Idempotency.KEYED and not 0 < len(token) <= 255:
            raise Rejected(HTTPStatus.BAD_REQUEST, "a filing needs a key")
        return tenant, token or None

    def _repeats(self, cls: RequestClass, tenant: str, token: str) -> bool:
        """Whether a filing that ran, or will, is asked for again: its tenant may have gone meanwhile."""
        owner = self.owner
        return (
            bool(token) and owner.idempotency.original((tenant, cls.name, token), owner.clock()) is not None
        )

    def request(
        self, f: ajp.Forward, checked: tuple, body: bytes, arrived: int, responder: "AjpResponder"
    ) -> InboundRequest:
        cls, tenant, token = checked
        retry = f.headers.get(self.config.retry_header, b"")
        return InboundRequest(
            id=f"ajp-{self.process}-{next(self.ids)}",
            request_class=cls,
            arrived_ns=arrived,
            payload=AjpPayload(f, body),
            responder=responder,
            executor=self.executor,
            tenant=tenant,
            idempotency_key=(tenant, cls.name, token) if token else None,
            fingerprint=(sha256(f"{f.method} ".encode() + f.uri).digest(), sha256(body).digest())
            if token
            else None,
            subject_hash=crc32(f.remote, crc32(f.uri)) or 1,
            memory_kb=self.config.memory_kb + (len(f.packet) + len(body)) / 1024,
            rank=0.5,
            is_retry=retry not in (b"", b"0"),
            is_write=cls.idempotency is not Idempotency.IDEMPOTENT,
        )


class AjpResponder:
    """The way back for one request: one response, and with it the end of its turn on the connection."""

    def __init__(self, connection: "AjpConnection", head_only: bool) -> None:
        self.connection, self.head_only, self.done = connection, head_only, False

    def _respond(self, head: bytes, body: bytes) -> None:
        if not self.done:
            self.done = True
            self.connection.respond(head, b"" if self.head_only else body)

    def plain(self, status: HTTPStatus, why: str, more: tuple = ()) -> None:
        text = f"{status.value} {status.phrase}: {why}\n".encode()
        values = [
            (ajp.CONTENT_TYPE, b"text/plain; charset=utf-8"),
            (ajp.CONTENT_LENGTH, b"%d" % len(text)),
            *more,
        ]
        self._respond(ajp.headers(status.value, status.phrase, values), text)

    def served(self, result: RunResult) -> bool:
        self.connection.served = True
        if isinstance(result.detail, ajp.Reply):
            self._respond(result.detail.headers, result.body)
            return True
        # The result of a filing that ran for another front: its bytes, as they are.
        values = [
            (ajp.CONTENT_TYPE, b"application/octet-stream"),
            (ajp.CONTENT_LENGTH, b"%d" % len(result.body)),
        ]
        self._respond(ajp.headers(200, "OK", values), result.body)
        return True

    def rejected(self, backoff: int, no_retry: bool) -> None:
        seconds = max(1, -(-backoff // S))
        self.plain(
            HTTPStatus.SERVICE_UNAVAILABLE, "turned away, never run", ((b"Retry-After", b"%d" % seconds),)
        )

    def origin(self) -> tuple[str, str]:
        return "ajp", self.connection.stream.peer

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        if result is not None and isinstance(result.detail, ajp.Reply):
            return self._respond(result.detail.headers, result.body)  # the server's own error page
        if reason is FailureReason.DEADLINE_PASSED or (
            result is not None and result.outcome is Outcome.TIMED_OUT
        ):
            self.plain(HTTPStatus.GATEWAY_TIMEOUT, reason.value)
        elif reason in (FailureReason.EXECUTOR_FAILED, FailureReason.OUTCOME_UNKNOWN):
            self.plain(HTTPStatus.BAD_GATEWAY, reason.value)
        elif reason is FailureReason.KEY_CONFLICT:
            self.plain(HTTPStatus.UNPROCESSABLE_ENTITY, reason.value)
        else:
            self.plain(HTTPStatus.INTERNAL_SERVER_ERROR, reason.value)


class AjpConnection:
    """One connection: one request at a time, as the protocol has it."""

    def __init__(self, front: "AjpFront", stream: Stream) -> None:
        self.front, self.stream, self.in_hand = front, stream, False
        self.number = next(front.numbers)  # by which admission tells callers apart
        self.used_at, self.known = time.monotonic(), False  # known: it has sent a packet
        self.served, self.pace = False, Pace(front.loop)
        self.body_bytes = 0  # read or promised, of the request in hand
        stream.on_close = lambda: front.closed(self)

    def run(self) -> None:
        size = self.front.config.packet_size
        try:
            while not self.stream.closing:
                config = self.front.config  # as it is now: it may be read again
                # Only the wait for the first byte may be long, and not that of a new connection: the silent
                # and the half-sent must not keep descriptors.
                until = time.monotonic() + WHOLE
                if not self.stream.buffer:
                    self.stream.fill(
                        config.idle_timeout_s if self.known else min(config.idle_timeout_s, WHOLE)
                    )
                left = time.monotonic() + WHOLE if self.known else until
                packet = read_packet(self.stream, ajp.TO_CONTAINER, size, left - time.monotonic())
                self.known, arrived = True, time.time_ns()  # a slow sender's time counts from its last byte
                if not self.served:
                    self.pace.keep()
                kind = packet[0] if packet else 0
                if kind == ajp.CPING:
                    if not self.front.owner.healthy:
                        break  # no answer: the balancer takes this worker for down
                    self.stream.write(ajp.PONG_PACKET)
                elif kind == ajp.FORWARD:
                    self.in_hand = True
                    self._forward(ajp.forward(packet), arrived)
                    self.in_hand = False
                    self._hold(0)
                    self.used_at = time.monotonic()
                elif kind not in (ajp.SHUTDOWN, ajp.PING):  # asked by nobody who may: passed over
                    raise ajp.MalformedPacketError(f"an unexpected packet {kind}")
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        except ajp.MalformedPacketError as error:  # ends this connection only
            self.front.log.warning("bad AJP packet", why=str(error))
        finally:
            self._hold(0)
            self.stream.close_when_sent()

    def _forward(self, f: ajp.Forward, arrived: int) -> None:
        responder = AjpResponder(self, f.method == "HEAD")
        if f.method == "GET" and f.uri == self.front.config.health_uri:
            good = self.front.owner.healthy
            return responder.plain(
                HTTPStatus.OK if good else HTTPStatus.SERVICE_UNAVAILABLE,
                "up" if good else "not taking requests",
            )
        unread = bool(f.length)  # the first chunk of a told length is on its way unasked
        checked = None
        try:
            checked = self.front.reader.check(f)
            self._ask_admission(checked)
            self._book(f.length)
            # A body that takes longer than its caller waits is of no use.
            until = time.monotonic() + checked[0].deadline_ns / S
            body = self._body(f, until)
            unread = False
        except Rejected as error:
            again = (
                ((b"Retry-After", b"%d" % error.after),)
                if error.status is HTTPStatus.SERVICE_UNAVAILABLE
                else ()
            )
            responder.plain(error.status, str(error), again)
            group = checked[0].name if checked else error.group
            if group is not None:
                self.front.owner.metrics.count(
                    RequestCounter.REJECTED if again else RequestCounter.FAILED, group
                )
            if f.chunked and self.body_bytes:
                self.stream.close_when_sent()  # a body broken off: this connection is out of step
            elif unread:
                read_packet(
                    self.stream,
                    ajp.TO_CONTAINER,
                    self.front.config.packet_size,
                    self.front.config.body_timeout_s,
                )
            return
        request = self.front.read_request(f, checked, body, arrived, responder)
        self.front.owner.post(RequestArrived(request))
        while not responder.done:
            self.stream.watch(lambda: responder.done)
            # Once answered, what is in the buffer may be the next request, whole with its first chunk: a loop
            # that runs late sees both at once.
            if not responder.done and (
                self.stream.ended or len(self.stream.buffer) > self.front.config.packet_size
            ):
                responder.done = True
                self.front.owner.post(CallerDisconnected(request.id))
                raise ConnectionClosedError

    def _ask_admission(self, checked: tuple) -> None:
        """Turns away, before its body is read, what the worker is too far behind to decide on."""
        admission = self.front.admission
        if admission is None or not self.front.owner.decides:
            return
        cls, tenant, _ = checked
        backoff = admission.admits(cls.name, tenant, self.number, 0)
        if backoff is not None:
            rejected = Rejected(HTTPStatus.SERVICE_UNAVAILABLE, "turned away, never run")
            rejected.after = max(1, -(-backoff // S))
            raise rejected

    def _body(self, f: ajp.Forward, until: float) -> bytes:
        """The whole body, or Closed: one that is cut off midway runs nothing."""
        config = self.front.config
        size, body, first = config.packet_size, bytearray(), True
        while f.chunked or len(body) < f.length:
            if not first or f.chunked:
                want = size - ajp.HEAD - 2
                self.stream.write(ajp.get_body(want if f.chunked else min(want, f.length - len(body))))
            first = False
            left = until - time.monotonic()
            if left <= 0:
                raise StreamTimeoutError
            piece = ajp.body(read_packet(self.stream, ajp.TO_CONTAINER, size, left))
            body += piece
            if not piece:
                if f.chunked:
                    break
                raise ConnectionClosedError  # the caller's body ended early
            if len(body) > config.max_body:
                raise Rejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")
            self._book(max(f.length, len(body)))
            if not f.chunked and len(body) > f.length:
                raise ajp.MalformedPacketError("more body than told")
        return bytes(body)

    def _book(self, size: int) -> None:
        """Bodies that come in at once share a bounded memory: what finds none left is turned away."""
        if self.front.body_bytes - self.body_bytes + size > self.front.max_bytes:
            raise Rejected(HTTPStatus.SERVICE_UNAVAILABLE, "no memory for its body, never run")
        self._hold(size)

    def _hold(self, size: int) -> None:
        self.front.body_bytes += size - self.body_bytes
        self.body_bytes = size

    def respond(self, head: bytes, body: bytes) -> None:
        reuse = not self.front.draining
        self.stream.write(ajp.response(head, body, self.front.config.packet_size, reuse))
        if not reuse:
            self.stream.close_when_sent()
        elif (
            self.stream.unsent
            and sum(len(c.stream.unsent) for c in self.front.connections) > self.front.max_bytes
        ):
            self.stream.close()  # readers this slow would fill the memory together
        self.stream.arrived.set()


class AjpFront:
    """Listens for AJP. It is a Listener of the core."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        executor: Executor,
        config: AjpConfig,
        max_connections: int,
        max_bytes: int,
        log: Any,
        sock: socket.socket | None = None,
        admission: AdmissionFilter | None = None,
    ) -> None:
        self.loop, self.owner, self.config, self.log = loop, owner, config, log
        self.max_bytes = max_bytes  # for all bodies coming in, and as much for all responses not yet sent
        self.reader = AjpReader(owner, executor, config)
        self.connections: set[AjpConnection] = set()
        self.body_bytes = 0  # of all connections
        self.draining = False
        self.admission = admission
        self.read_request = self.reader.request
        self.numbers = itertools.count(1)
        self.listening = Listening(
            loop, config.listen, self._accepted, max_connections, log, sock, self._make_room
        )

    def prepare(
        self, config: AjpConfig, settings: AdmissionSettings
    ) -> Generator[None, None, Callable[[], None]]:
        """What a configuration read again comes to, in short steps; it is in force by the call that it
        gives. What was checked before that call keeps the class that it was checked with."""
        take = yield from self.reader.prepare(config, settings)

        def commit() -> None:
            self.config = config
            take()

        return commit

    def configure(self, config: AjpConfig, settings: AdmissionSettings) -> None:
        """At once."""
        self.config = config
        self.reader.configure(config, settings)

    def instrument_reading(self, wrap: Callable[[ReadRequest], ReadRequest]) -> None:
        """Puts a wrapper, such as a timer, around the reading of each request."""
        self.read_request = wrap(self.read_request)

    def _accepted(self, sock: socket.socket) -> Callable[[], None]:
        # Room for one response and some: a client that reads slowly holds up nobody else.
        stream = Stream(self.loop, sock, self.config.max_response * 2 + 65536)
        connection = AjpConnection(self, stream)
        self.connections.add(connection)
        return connection.run

    def _make_room(self) -> bool:
        """Closes the connection that is missed least: the silent, the idle known, then the half-sent by age.

        Of one that is known, what has come is a request, and is never cut off; a first one may come slowly.
        """
        now = time.monotonic()

        def missed(c: AjpConnection) -> tuple[int, float]:
            if c.stream.shut:
                return -1, c.used_at
            if c.known:
                return 2, c.used_at
            if now - c.stream.heard_at > (STUCK if c.stream.buffer else YOUNG):
                return 0, c.used_at
            return (3 if c.stream.heard_at - c.used_at > MOVING else 1), c.used_at

        idle = [
            c
            for c in self.connections
            if not c.in_hand and not (c.known and c.stream.buffer) and (c.known or now - c.used_at > FRESH)
        ]  # the first of one just accepted may be here unread
        return close_least(idle, missed, lambda c: c.stream)

    def closed(self, connection: AjpConnection) -> None:
        self.connections.discard(connection)
        self.listening.closed()

    def health_changed(self, good: bool) -> None:
        pass  # CPing and the health URI are answered from the core's state

    def idle_timeout_changed(self, hold_for: int) -> None:
        pass  # AJP has no farewell: its idle connections keep to the time configured

    def shutdown_started(self, remaining: int) -> None:
        self.draining = True

    def retire(self) -> None:
        """Another process takes what comes from now on."""
        self.draining = True

    def end_idle(self) -> None:
        for c in list(self.connections):
            if not c.in_hand and not c.stream.look() and not c.stream.buffer:
                c.stream.close_when_sent()
