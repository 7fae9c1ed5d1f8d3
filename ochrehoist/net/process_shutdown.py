"""How a process ends without losing a request: on SIGTERM, or because another one has replaced it."""

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
QUIET_S = 0.05  # without an open request before a process ends
KILL_MARGIN_S = 0.1  # before it would be killed; the core answers what is left a little earlier still
ACCEPT_MARGIN_S = 0.3  # before that, at which the listening sockets are closed at the latest
MAX_RETIREMENT_S = 3.0  # that a replaced process has for the deadline of its slowest class, and
RETIREMENT_GRACE_S = 0.5  # more, before it would be killed
FINAL_ANSWER_MARGIN_S = 0.2  # before that, at which what is still open is failed
POLL_INTERVAL_S = 0.01
MIN_SLEEP_S = 0.001
MAX_SLEEP_S = 0.05
CLOSING_S = 0.04  # at the end, in which open connections take their last answers and close

OpenConnections = Mapping[str, int]  # by the name of the front


class DrainableFront(Protocol):
    """What is needed of a front."""

    LISTENER_NAME: str
    acceptor: Acceptor

    @property
    def connections(self) -> Collection[FrontConnection]:
        """Those that are open."""
        ...

    def end_idle_connections(self) -> None:
        """Ends connections on which nothing is asked."""
        ...

    def retire(self) -> None:
        """Another process takes what comes from now on, or nobody."""
        ...


class ProcessShutdown:
    """Ends the process once all that it has read is answered, or its time is over."""

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        fronts: Sequence[DrainableFront],
        timeout_ms: int,
        log: Logger,
    ) -> None:
        """`timeout_ms`: from SIGTERM until the process is killed."""
        self._loop = loop
        self._core = core
        self._fronts = fronts
        self._timeout_ms = timeout_ms
        self._log = log
        self._requested_at_s: float | None = None

    def request(self) -> None:
        """Handles SIGTERM. A process that was replaced is ending already, and tells nobody."""
        if self._requested_at_s is not None or self._core.forwarder is not None:
            return
        # The time counts from the signal, which came after the loop last polled.
        self._requested_at_s = self._loop.polled_at_s
        age_ns = int((time.monotonic() - self._requested_at_s) * NS_PER_S)
        self._log.info(
            "shutdown_started",
            timeout_ms=self._timeout_ms,
            unanswered=self._core.unanswered,
            age_ms=age_ns // NS_PER_MS,
        )
        self._core.post(ShutdownRequested(max(0, self._timeout_ms * NS_PER_MS - age_ns), age_ns))
        self._loop.spawn(self._drain, self._requested_at_s)

    def retire(self, report_connections: Callable[[OpenConnections], None]) -> None:
        """Another process decides now: ends as soon as nothing is left that only this one can do.

        `report_connections` is called with each change of how many connections are open.
        """
        for front in self._fronts:
            front.acceptor.stop(leave_backlog=True)
            front.retire()
        self._loop.spawn(self._retire, report_connections, self._core.forwarder)

    def _drain(self, requested_at_s: float) -> None:
        """Answers all that was read, and ends as soon as no request can come any more."""
        core = self._core
        deadline_s = requested_at_s + self._timeout_ms / MS_PER_S - KILL_MARGIN_S
        # What comes later would not be run: from then on a refused connection tells as much.
        accept_until_s = min(
            requested_at_s + core.settings.drain_grace_ns / NS_PER_S, deadline_s - ACCEPT_MARGIN_S
        )
        while time.monotonic() < accept_until_s and core.forwarder is None:
            remaining_s = accept_until_s - time.monotonic()
            self._loop.sleep(min(MAX_SLEEP_S, max(MIN_SLEEP_S, remaining_s)))
        if core.forwarder is not None:  # replaced meanwhile
            return
        for front in self._fronts:
            front.acceptor.stop()
            front.retire()
        self._wait_until_quiet(deadline_s, lambda: bool(core.unanswered or core.inbox))
        if core.forwarder is None:
            self._close_all()

    def _retire(self, report_connections: Callable[[OpenConnections], None], forwarder: Forwarder) -> None:
        longest_ns = max(request_class.deadline_ns for request_class in self._core.settings.classes)
        time_left_s = min(longest_ns / NS_PER_S, MAX_RETIREMENT_S) + RETIREMENT_GRACE_S
        # What has no answer by then would end with this process, and its caller get nothing.
        answer_within_ns = int((time_left_s - FINAL_ANSWER_MARGIN_S) * NS_PER_S)
        forwarder.set_process_end(self._core.clock() + answer_within_ns)
        reported: OpenConnections | None = None

        def is_busy() -> bool:
            """Whether something is left to do; reports open connections on the way."""
            nonlocal reported
            connections = {front.LISTENER_NAME: len(front.connections) for front in self._fronts}
            if connections != reported:
                reported = connections
                report_connections(connections)
            return bool(forwarder.pending or self._core.inbox)

        self._wait_until_quiet(time.monotonic() + time_left_s, is_busy)
        self._close_all()

    def _wait_until_quiet(self, deadline_s: float, is_busy: Callable[[], bool]) -> None:
        quiet_s = 0.0
        while time.monotonic() < deadline_s and quiet_s < QUIET_S:
            for front in self._fronts:
                front.end_idle_connections()
            busy = is_busy() or self._has_connections()
            quiet_s = 0.0 if busy else quiet_s + POLL_INTERVAL_S
            self._loop.sleep(POLL_INTERVAL_S)

    def _has_connections(self) -> bool:
        return any(front.connections for front in self._fronts)

    def _open_connections(self) -> list[FrontConnection]:
        return [connection for front in self._fronts for connection in front.connections]

    def _close_all(self) -> None:
        """Ends the process.

        What it left to the system would be reset where bytes are unread, and take answers with it: so what is
        here is answered, then each connection is shut down, drained and closed.
        """
        deadline_s = time.monotonic() + CLOSING_S
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
