"""Graceful shutdown of a process, without losing requests: on SIGTERM, or after its replacement."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.messages import ShutdownRequested
from ochrehoist.net.front import FrontConnection
from ochrehoist.net.listener import Acceptor
from ochrehoist.net.loop import Loop
from ochrehoist.units import NS_PER_MS, NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

MS_PER_S = 1000
IDLE_BEFORE_EXIT_S = 0.05  # without requests and connections, after which the process ends
# Draining ends this long before the process would be killed. The core answers the rest a little earlier.
KILL_MARGIN_S = 0.1
ACCEPT_MARGIN_S = 0.3  # the listening sockets are closed at least this long before draining ends
# A replaced process ends after the longest deadline of its classes, at most MAX_RETIREMENT_S, plus the grace.
MAX_RETIREMENT_S = 3.0
RETIREMENT_GRACE_S = 0.5
FINAL_ANSWER_MARGIN_S = 0.2  # open requests of a replaced process fail this long before it ends
POLL_INTERVAL_S = 0.01
MIN_SLEEP_S = 0.001
MAX_SLEEP_S = 0.05
CLOSE_TIMEOUT_S = 0.04  # for open connections to send their last answers and close

OpenConnections = Mapping[str, int]  # by name of the front


class DrainableFront(Protocol):
    """Interface of a front that can be drained."""

    LISTENER_NAME: str
    acceptor: Acceptor

    @property
    def connections(self) -> Collection[FrontConnection]:
        """The open connections."""
        ...

    def end_idle_connections(self) -> None:
        """Closes connections without an open request."""
        ...

    def retire(self) -> None:
        """Begins to drain: new connections go to the successor, or are refused."""
        ...


class ProcessShutdown:
    """Graceful shutdown: ends the process once all requests read are answered, or its time is over."""

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        fronts: Sequence[DrainableFront],
        timeout_ms: int,
        log: Logger,
    ) -> None:
        """Creates the shutdown; the process is killed `timeout_ms` after SIGTERM."""
        self._loop = loop
        self._core = core
        self._fronts = fronts
        self._timeout_ms = timeout_ms
        self._log = log
        self._requested_at_s: float | None = None

    def request(self) -> None:
        """Handles SIGTERM: announces the shutdown and drains. A replaced process is ending already."""
        if self._requested_at_s is not None or self._core.forwarder is not None:
            return
        # The time-out counts from the signal, which arrived at the earliest when the loop last polled.
        self._requested_at_s = self._loop.polled_at_s
        age_ns = int((time.monotonic() - self._requested_at_s) * NS_PER_S)
        self._log.info(
            "shutdown_started",
            timeout_ms=self._timeout_ms,
            unanswered=self._core.unanswered,
            age_ms=age_ns // NS_PER_MS,
        )
        self._core.post(ShutdownRequested(max(0, self._timeout_ms * NS_PER_MS - age_ns), age_ns))
        self._loop.spawn(self._run_to_end, self._drain, self._requested_at_s)

    def retire(self, report_connections: Callable[[OpenConnections], None]) -> None:
        """Ends this process, which is replaced, once its connections and forwarded requests are done.

        `report_connections` is called whenever the number of open connections of a front changes.
        """
        for front in self._fronts:
            front.acceptor.stop(leave_backlog=True)
            front.retire()
        self._loop.spawn(self._run_to_end, self._retire, report_connections, self._core.forwarder)

    def end_at_once(self) -> None:
        """Closes all connections, once the answers written so far are sent, and stops the loop."""
        self._loop.spawn(self._run_to_end, self._close_all)

    def _run_to_end(self, run: Callable[..., None], *args: object) -> None:
        """Runs a task that has to end the process; if it raises, the loop is stopped at once."""
        try:
            run(*args)
        except Exception:
            self._loop.stop()
            raise

    def _drain(self, requested_at_s: float) -> None:
        """Answers all requests that were read, and ends the process once no more can arrive."""
        core = self._core
        deadline_s = requested_at_s + self._timeout_ms / MS_PER_S - KILL_MARGIN_S
        # Later requests would not be run, so their connections are refused.
        accept_until_s = min(
            requested_at_s + core.settings.drain_grace_ns / NS_PER_S, deadline_s - ACCEPT_MARGIN_S
        )
        while time.monotonic() < accept_until_s and core.forwarder is None:
            remaining_s = accept_until_s - time.monotonic()
            self._loop.sleep(min(MAX_SLEEP_S, max(MIN_SLEEP_S, remaining_s)))
        if core.forwarder is not None:  # another process has replaced this one
            return
        for front in self._fronts:
            front.acceptor.stop()
            front.retire()
        self._wait_until_idle(deadline_s, lambda: bool(core.unanswered or core.inbox))
        if core.forwarder is None:
            self._close_all()

    def _retire(self, report_connections: Callable[[OpenConnections], None], forwarder: Forwarder) -> None:
        longest_deadline_ns = max(request_class.deadline_ns for request_class in self._core.settings.classes)
        remaining_s = min(longest_deadline_ns / NS_PER_S, MAX_RETIREMENT_S) + RETIREMENT_GRACE_S
        # Requests still open then fail, since their callers get no answer once this process has ended.
        answer_within_ns = int((remaining_s - FINAL_ANSWER_MARGIN_S) * NS_PER_S)
        forwarder.set_process_end(self._core.clock() + answer_within_ns)
        reported: OpenConnections | None = None

        def is_busy() -> bool:
            """Returns whether requests are open; also reports changed numbers of connections."""
            nonlocal reported
            connections = {front.LISTENER_NAME: len(front.connections) for front in self._fronts}
            if connections != reported:
                reported = connections
                report_connections(connections)
            return bool(forwarder.pending or self._core.inbox)

        self._wait_until_idle(time.monotonic() + remaining_s, is_busy)
        self._close_all()

    def _wait_until_idle(self, deadline_s: float, is_busy: Callable[[], bool]) -> None:
        idle_s = 0.0
        while time.monotonic() < deadline_s and idle_s < IDLE_BEFORE_EXIT_S:
            for front in self._fronts:
                front.end_idle_connections()
            busy = is_busy() or self._has_connections()
            idle_s = 0.0 if busy else idle_s + POLL_INTERVAL_S
            self._loop.sleep(POLL_INTERVAL_S)

    def _has_connections(self) -> bool:
        return any(front.connections for front in self._fronts)

    def _open_connections(self) -> list[FrontConnection]:
        return [connection for front in self._fronts for connection in front.connections]

    def _close_all(self) -> None:
        """Closes all connections and stops the loop, which ends the process.

        The system resets a connection that is closed with unread bytes, and answers in transit are lost with
        it. So available input is read and answered first; then each connection is shut down, drained and
        closed.
        """
        deadline_s = time.monotonic() + CLOSE_TIMEOUT_S
        for front in self._fronts:
            front.acceptor.stop(leave_backlog=True)
        for connection in self._open_connections():
            connection.stream.read_available()
        self._loop.sleep(POLL_INTERVAL_S)
        for connection in self._open_connections():
            connection.stream.close_when_sent()
        while time.monotonic() < deadline_s and self._has_connections():
            self._loop.sleep(POLL_INTERVAL_S / 2)
        self._loop.stop()
