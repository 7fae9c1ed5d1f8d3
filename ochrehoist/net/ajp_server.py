"""AJP servers behind the appliance: an executor over pooled connections.

A request that may have reached a server is never sent again, to that one or to another.
"""

import time
from collections.abc import Iterator, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Protocol

from ochrehoist.admission.events import Outcome
from ochrehoist.config.tables import AjpConfig, AjpServer
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import GaugesMeasured, RunCompleted
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.net import ajp
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError, connect


@dataclass(slots=True)
class AjpPayload:
    """A request as it came: its packet, and its body, read whole."""

    forward: ajp.Forward
    body: bytes


class Advisor(Protocol):
    """What a fleet knows of the servers, by their names. It never blocks."""

    def order(self, busy: Mapping[str, int]) -> list[str]:
        """The servers, the best first; `busy`: requests that this worker has open at each."""
        ...

    def began(self, server: str, cls: str) -> int | None:
        """A ticket for one try, or None where none may run there now; one `ended` follows."""
        ...

    def ended(self, ticket: int, verdict: str) -> None: ...

    def longest(self, server: str) -> float | None:
        """s that a run there may take at the most, where that is bounded."""
        ...

    def may_repeat(self, server: str) -> bool:
        """Whether a request that failed elsewhere may be sent to this one, asked at the moment of use."""
        ...


@dataclass(slots=True)
class Pool:
    server: AjpServer
    idle: list[tuple[Stream, float]] = field(default_factory=list)  # and since when
    busy: int = 0
    failed_at: float = -1e9


def read_packet(stream: Stream, magic: bytes, size: int, timeout: float | None) -> bytes:
    """The payload of the next packet; its length is checked before anything is kept for it."""
    head = stream.take(ajp.HEAD, timeout)
    length = int.from_bytes(head[2:], "big")
    if head[:2] != magic or length > size - ajp.HEAD:
        raise ajp.MalformedPacketError("not a packet of this direction, or one too long")
    return stream.take(length, timeout)


class AjpServers:
    def __init__(self, loop: Loop, owner: CoreActor, config: AjpConfig, max_bytes: int, log: Any) -> None:
        self.loop, self.owner, self.config, self.log = loop, owner, config, log
        self.pools = [Pool(server) for server in config.servers]
        self.running = 0
        self._advisor: Advisor | None = None
        self.max_bytes, self.bytes = max_bytes, 0  # of responses that are being read
        loop.call_later(1.0, self._sweep)

    def use_advisor(self, advisor: Advisor) -> None:
        """From now on the advisor says which servers are tried, and in which order."""
        self._advisor = advisor

    def configure(self, config: AjpConfig) -> None:
        """Takes a changed configuration: servers that stay keep their connections, what runs goes on."""
        self.config, before = config, {pool.server: pool for pool in self.pools}
        self.pools = [before.pop(server, None) or Pool(server) for server in config.servers]
        for pool in before.values():
            while pool.idle:
                pool.idle.pop()[0].close()

    def start(self, request: InboundRequest) -> None:
        self.running += 1
        self.loop.spawn(self._run, request)

    def measure(self) -> None:
        """The gauges where no kernel tells them: what runs here stands for what is on the cores."""
        s = self.owner.settings
        held = sum(
            r.memory_kb * (s.run_memory_factor if r.started else 1) for r in self.owner.open_requests.values()
        )
        self.owner.post(
            GaugesMeasured(
                {
                    "cpu_busy": min(1.0, self.running / s.cores),
                    "runnable": float(self.running),
                    "mem_used": held / max(1.0, s.memory_kb),
                    "sockets": float(len(self.owner.open_requests)),
                }
            )
        )

    def _run(self, request: InboundRequest) -> None:
        began = time.monotonic()
        result = RunResult(Outcome.FAILED)
        try:
            result = self._ask(request) if self._advisor is None else self._advised(request, self._advisor)
        finally:  # whatever happens, one Ended for each start
            self.running -= 1
            self.owner.post(RunCompleted(request.id, result, int((time.monotonic() - began) * 1e9)))

    def _advised(self, request: InboundRequest, advisor: Advisor) -> RunResult:
        """By outstanding work and judgement. What may have reached a server is sent to another only where it
        may be run again, is in time, and the fleet's budget of repeats gives one."""
        result, sent = RunResult(Outcome.UNREACHABLE, success=False), False
        by_name = {pool.server.name: pool for pool in self.pools}
        for name in advisor.order({p.server.name: p.busy for p in self.pools}):
            pool = by_name.get(name)
            left = (request.due_ns - self.owner.clock()) / 1e9
            if pool is None:
                continue
            if sent and (
                request.is_write
                or request.idempotency_key is not None
                or request.answered
                or left <= 0
                or not advisor.may_repeat(name)
            ):
                break
            ticket = advisor.began(name, request.request_class.name)
            if ticket is None:
                continue
            verdict = "failing"
            pool.busy += 1
            try:
                stream = self._connection(pool)
                if stream is None:
                    verdict, pool.failed_at = "gone", time.monotonic()
                    continue
                sent = True
                result = self._exchange(pool, stream, request.payload, advisor.longest(name))
                if result.outcome is Outcome.OK or result.detail is not None and result.detail.status < 500:
                    verdict = "ok"
                if result.detail is not None or result.outcome is Outcome.TIMED_OUT:
                    break  # it answered, or may answer still
            finally:
                pool.busy -= 1
                advisor.ended(ticket, verdict)
        return result

    def _ask(self, request: InboundRequest) -> RunResult:
        for pool in self._order():
            pool.busy += 1
            try:
                stream = self._connection(pool)
                if stream is None:  # nothing was sent: the next may be tried
                    pool.failed_at = time.monotonic()
                    continue
                return self._exchange(pool, stream, request.payload)
            finally:
                pool.busy -= 1
        return RunResult(Outcome.UNREACHABLE, success=False)

    def _order(self) -> Iterator[Pool]:
        """The least busy first; those that could not be reached lately last."""
        now = time.monotonic()
        retry = self.config.server_backoff_ms / 1000
        return iter(sorted(self.pools, key=lambda p: (now - p.failed_at < retry, p.busy)))

    def _connection(self, pool: Pool) -> Stream | None:
        """One that is known to be alive: a pooled one, which may have been closed, answers a CPing first."""
        while pool.idle:
            stream, _ = pool.idle.pop()
            with suppress(ConnectionClosedError, StreamTimeoutError, ajp.MalformedPacketError):
                stream.write(ajp.PING_PACKET)
                answer = read_packet(
                    stream, ajp.TO_SERVER, self.config.packet_size, pool.server.connect_timeout_ms / 1000
                )
                if answer[:1] == bytes((ajp.CPONG,)):
                    return stream
            stream.close()
        try:
            return connect(self.loop, pool.server.address, pool.server.connect_timeout_ms / 1000)
        except OSError as error:
            self.log.warning("AJP server out of reach", server=pool.server.name, why=str(error))
            return None

    def _exchange(
        self, pool: Pool, stream: Stream, payload: AjpPayload, longest: float | None = None
    ) -> RunResult:
        size, room = self.config.packet_size, self.config.packet_size - ajp.HEAD - 2
        reuse, sent, found = False, 0, None
        until = time.monotonic() + min(pool.server.reply_timeout_ms / 1000, longest or float("inf"))
        secret = pool.server.secret.encode() if pool.server.secret else None
        body = bytearray()
        try:
            data = ajp.packet(ajp.TO_CONTAINER, payload.forward.passed_on(secret))
            if payload.forward.length:  # the first chunk follows unasked
                sent = min(room, len(payload.body))
                data += ajp.body_packet(payload.body[:sent])
            stream.write(data)
            while True:
                left = until - time.monotonic()
                if left <= 0:
                    raise StreamTimeoutError
                m = read_packet(stream, ajp.TO_SERVER, size, left)
                kind = m[0] if m else 0
                if kind == ajp.GET_BODY:
                    piece = payload.body[sent : sent + min(room, ajp.Cursor(m, 1).u16())]
                    sent += len(piece)
                    stream.write(ajp.body_packet(piece))
                elif kind == ajp.HEADERS and found is None:
                    found = ajp.reply(m)
                elif kind == ajp.BODY_CHUNK and found is not None:
                    piece = ajp.chunk(m)
                    body += piece
                    self.bytes += len(piece)
                    if len(body) > self.config.max_response or self.bytes > self.max_bytes:
                        raise ajp.MalformedPacketError("a response over the limit")
                elif kind == ajp.END_RESPONSE and found is not None:
                    reuse = ajp.Cursor(m, 1).byte() == 1
                    break
                else:
                    raise ajp.MalformedPacketError(f"an unexpected packet {kind}")
            found.body = bytes(body)
            outcome = Outcome.OK if found.status < 500 else Outcome.FAILED
            return RunResult(outcome, found.body, found, len(found.headers), 200 <= found.status < 300)
        except StreamTimeoutError:
            return RunResult(Outcome.TIMED_OUT, success=False)
        except (ConnectionClosedError, ajp.MalformedPacketError) as error:
            self.log.warning("AJP server failed", server=pool.server.name, why=repr(error))
            return RunResult(Outcome.FAILED, success=False)
        finally:
            self.bytes -= len(body)
            if (
                reuse
                and not stream.buffer
                and not stream.ended
                and len(pool.idle) < pool.server.max_idle_connections
                and any(pool is known for known in self.pools)
            ):
                pool.idle.append((stream, time.monotonic()))
            else:
                stream.close()

    def _sweep(self) -> None:
        before = time.monotonic() - self.config.idle_timeout_s
        for pool in self.pools:
            for entry in [e for e in pool.idle if e[1] < before]:
                pool.idle.remove(entry)
                entry[0].close()
        self.loop.call_later(1.0, self._sweep)
