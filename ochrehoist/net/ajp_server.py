"""The executor of the AJP front: sends requests to backend AJP servers over pooled connections.

A request that may have reached a server is not sent again, to the same or another server, unless the fleet's
advisor allows the retry.
"""

import math
import time
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from ochrehoist.admission.events import Outcome
from ochrehoist.config.tables import AjpConfig, AjpServer
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import GaugesMeasured, RunCompleted
from ochrehoist.core.protocols import Logger
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.net import ajp
from ochrehoist.net.ajp_exchange import ServerExchange, read_packet
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError, connect
from ochrehoist.periodic_calls import call_periodically
from ochrehoist.units import NS_PER_S

SWEEP_INTERVAL_S = 1.0
NEVER_S = -1e9  # a time before any other of time.monotonic()
MS_PER_S = 1000
FIRST_SERVER_ERROR = 500
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
CPONG_PAYLOAD = bytes((ajp.CPONG,))


class CallOutcome(StrEnum):
    """The outcome of a call to a server, as reported to the fleet."""

    OK = "ok"
    FAILING = "failing"  # no response, an invalid one, or a server error
    UNREACHABLE = "gone"


class ServerAdvisor(Protocol):
    """The fleet's view of the servers, which are identified by name. Its methods never block."""

    def rank_servers(self, busy: Mapping[str, int]) -> Iterable[str]:
        """Returns the servers in order of preference; `busy` has this worker's open requests at each."""
        ...

    def begin_call(self, server: str, class_name: str) -> int | None:
        """Returns a ticket for one attempt, or None if the server may not be called now.

        The caller must pass each ticket to `end_call` exactly once.
        """
        ...

    def end_call(self, ticket: int, outcome: CallOutcome) -> None:
        """Reports the outcome of an attempt."""
        ...

    def max_call_s(self, server: str) -> float | None:
        """Returns the maximum duration of a call to this server, or None if it is not limited."""
        ...

    def may_retry(self, server: str) -> bool:
        """Returns whether a request that failed elsewhere may be sent to this server right now."""
        ...


class IdleConnection(NamedTuple):
    """A pooled connection, idle since `since_s`."""

    stream: Stream
    since_s: float


@dataclass(slots=True)
class ServerPool:
    """The connections to one server.

    Attributes:
        server: The server's settings.
        idle: The idle connections; the most recently used is the last.
        busy: Number of calls in progress.
        unreachable_at_s: When connecting last failed.
    """

    server: AjpServer
    idle: list[IdleConnection] = field(default_factory=list)
    busy: int = 0
    unreachable_at_s: float = NEVER_S

    def close_idle(self, idle_since_s: float) -> None:
        """Closes the connections that have been idle since before `idle_since_s`."""
        for connection in list(self.idle):
            if connection.since_s < idle_since_s:
                self.idle.remove(connection)
                connection.stream.close()


class AjpServers:
    """The Executor of the AJP front; each run is a task of the event loop."""

    def __init__(
        self, loop: Loop, core: CoreActor, config: AjpConfig, max_response_bytes: int, log: Logger
    ) -> None:
        """Creates the executor; `max_response_bytes` limits the memory of all responses being read."""
        self._loop = loop
        self._core = core
        self._config = config
        self._log = log
        self._pools = [ServerPool(server) for server in config.servers]
        self._running = 0
        self._advisor: ServerAdvisor | None = None
        self._max_response_bytes = max_response_bytes
        self._response_bytes = 0
        call_periodically(loop, SWEEP_INTERVAL_S, self._sweep)

    def use_advisor(self, advisor: ServerAdvisor) -> None:
        """Lets the advisor choose the servers of later requests, and their order."""
        self._advisor = advisor

    def was_unreachable_since(self, since_s: float) -> bool:
        """Returns whether connecting to any server failed after this time of time.monotonic()."""
        return any(pool.unreachable_at_s > since_s for pool in self._pools)

    def configure(self, config: AjpConfig) -> None:
        """Applies a changed configuration; unchanged servers keep their connections, and runs continue."""
        self._config = config
        old_pools: dict[AjpServer, ServerPool | None] = {pool.server: pool for pool in self._pools}
        self._pools = [old_pools.pop(server, None) or ServerPool(server) for server in config.servers]
        for removed in filter(None, old_pools.values()):
            removed.close_idle(math.inf)

    def start(self, request: InboundRequest) -> None:
        """See core.request.Executor."""
        self._running += 1
        self._loop.spawn(self._run, request)

    def measure(self) -> None:
        """Posts gauges estimated from this executor's runs, for a worker without a kernel to measure them."""
        settings = self._core.settings
        open_requests = self._core.open_requests
        used_kb = sum(
            request.memory_kb * (settings.run_memory_factor if request.started else 1)
            for request in open_requests.values()
        )
        gauges = {
            "cpu_busy": min(1.0, self._running / settings.cores),
            "runnable": float(self._running),
            "mem_used": used_kb / max(1.0, settings.memory_kb),
            "sockets": float(len(open_requests)),
        }
        self._core.post(GaugesMeasured(gauges))

    # ---- one run
    def _run(self, request: InboundRequest) -> None:
        started_s = time.monotonic()
        result = RunResult(Outcome.FAILED)
        try:
            if self._advisor is None:
                result = self._run_by_load(request)
            else:
                result = self._run_advised(request, self._advisor)
        finally:  # the core needs exactly one RunCompleted for each start
            self._running -= 1
            duration_ns = int((time.monotonic() - started_s) * NS_PER_S)
            self._core.post(RunCompleted(request.reference, result, duration_ns))

    def _run_by_load(self, request: InboundRequest) -> RunResult:
        for pool in self._pools_by_load():
            result = self._call(pool, request)
            if result is not None:
                return result
        return RunResult(Outcome.UNREACHABLE, success=False)

    def _pools_by_load(self) -> list[ServerPool]:
        """Returns the pools, the least busy first; recently unreachable servers are last."""
        now_s = time.monotonic()
        backoff_s = self._config.server_backoff_ms / MS_PER_S
        return sorted(self._pools, key=lambda pool: (now_s - pool.unreachable_at_s < backoff_s, pool.busy))

    def _run_advised(self, request: InboundRequest, advisor: ServerAdvisor) -> RunResult:
        """Runs a request on the servers in the advisor's order.

        A request that may have reached a server is sent to another one only if it is safe to repeat, its
        deadline has not passed, and the fleet's retry budget allows it.
        """
        result = RunResult(Outcome.UNREACHABLE, success=False)
        was_sent = False
        pools = {pool.server.name: pool for pool in self._pools}
        for name in advisor.rank_servers({name: pool.busy for name, pool in pools.items()}):
            pool = pools.get(name)
            if pool is None:
                continue
            if was_sent and not (self._may_run_again(request) and advisor.may_retry(name)):
                break
            ticket = advisor.begin_call(name, request.request_class.name)
            if ticket is None:
                continue
            outcome = CallOutcome.FAILING
            try:
                call_result = self._call(pool, request, advisor)
                outcome = _call_outcome(call_result)
            finally:
                advisor.end_call(ticket, outcome)
            if call_result is None:
                continue
            result = call_result
            was_sent = True
            if call_result.detail is not None or call_result.outcome is Outcome.TIMED_OUT:
                break  # the server has responded, or may still do so
        return result

    def _may_run_again(self, request: InboundRequest) -> bool:
        if request.is_write or request.idempotency_key is not None or request.answered:
            return False
        return request.due_ns > self._core.clock()

    def _call(
        self, pool: ServerPool, request: InboundRequest, advisor: ServerAdvisor | None = None
    ) -> RunResult | None:
        """Makes one attempt; returns None if the server is unreachable, so that nothing was sent."""
        pool.busy += 1
        try:
            stream = self._live_connection(pool)
            if stream is None:
                pool.unreachable_at_s = time.monotonic()
                return None
            if request.answered and request.idempotency_key is None:
                # The caller left meanwhile. Other attempts of a filing may wait for its run.
                self._release(pool, stream, True)
                return RunResult(Outcome.NOT_STARTED, success=False)
            timeout_s = pool.server.reply_timeout_ms / MS_PER_S
            if advisor is not None:
                timeout_s = min(timeout_s, advisor.max_call_s(pool.server.name) or timeout_s)
            return self._exchange(pool, stream, request.payload, time.monotonic() + timeout_s)
        finally:
            pool.busy -= 1

    def _live_connection(self, pool: ServerPool) -> Stream | None:
        """Returns a live connection, or None if the server is unreachable.

        A pooled connection may have been closed by the server, so it must answer a CPing first.
        """
        timeout_s = pool.server.connect_timeout_ms / MS_PER_S
        while pool.idle:
            stream = pool.idle.pop().stream
            with suppress(ConnectionClosedError, StreamTimeoutError, ajp.MalformedPacketError):
                stream.write(ajp.PING_PACKET)
                reply = read_packet(stream, ajp.TO_SERVER, self._config.packet_size, timeout_s)
                if reply[:1] == CPONG_PAYLOAD:
                    return stream
            stream.close()
        try:
            return connect(self._loop, pool.server.address, timeout_s)
        except OSError as error:
            self._log.warning("ajp_server_unreachable", server=pool.server.name, reason=str(error))
            return None

    def _exchange(
        self, pool: ServerPool, stream: Stream, payload: ajp.AjpPayload, deadline_s: float
    ) -> RunResult:
        exchange = ServerExchange(stream, payload, self._config, self._reserve)
        secret = pool.server.secret.encode() if pool.server.secret else None
        try:
            return _run_result(exchange.run(secret, deadline_s))
        except StreamTimeoutError:
            return RunResult(Outcome.TIMED_OUT, success=False)
        except (ConnectionClosedError, ajp.MalformedPacketError) as error:
            self._log.warning("ajp_server_failed", server=pool.server.name, reason=repr(error))
            return RunResult(Outcome.FAILED, success=False)
        finally:
            self._response_bytes -= exchange.body_bytes
            self._release(pool, stream, exchange.reusable)

    def _reserve(self, size: int) -> bool:
        self._response_bytes += size
        return self._response_bytes <= self._max_response_bytes

    def _release(self, pool: ServerPool, stream: Stream, reusable: bool) -> None:
        """Returns the connection to its pool, or closes it if it cannot be reused."""
        is_clean = reusable and not stream.buffer and not stream.ended
        has_room = len(pool.idle) < pool.server.max_idle_connections
        if is_clean and has_room and any(pool is current for current in self._pools):
            pool.idle.append(IdleConnection(stream, time.monotonic()))
        else:
            stream.close()

    def _sweep(self) -> None:
        idle_since_s = time.monotonic() - self._config.idle_timeout_s
        for pool in self._pools:
            pool.close_idle(idle_since_s)


def _run_result(reply: ajp.Reply) -> RunResult:
    outcome = Outcome.OK if reply.status < FIRST_SERVER_ERROR else Outcome.FAILED
    success = FIRST_SUCCESS <= reply.status < FIRST_REDIRECT
    return RunResult(outcome, reply.body, reply, len(reply.headers), success)


def _call_outcome(result: RunResult | None) -> CallOutcome:
    if result is None:
        return CallOutcome.UNREACHABLE
    if result.outcome is Outcome.NOT_STARTED:  # the server was reachable, and nothing was sent to it
        return CallOutcome.OK
    is_response = result.detail is not None and result.detail.status < FIRST_SERVER_ERROR
    return CallOutcome.OK if result.outcome is Outcome.OK or is_response else CallOutcome.FAILING
