"""The new process's side of the handover link: it takes the state over, then hears from the old process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from ochrehoist.admission.events import Outcome
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.errors import InvalidStateError
from ochrehoist.core.handover_lines import RemoteRequestOwner, message_from_json
from ochrehoist.core.handover_snapshot import SnapshotReader
from ochrehoist.core.idempotent_runs import RESULT_OVERHEAD_BYTES
from ochrehoist.core.messages import CallerDisconnected, RunCompleted, StateTransferred
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.net.handover_link import (
    ANSWER_TIMEOUT_S,
    LINK_ERRORS,
    Address,
    HandoverLink,
    Line,
    UnexpectedLineError,
    clock_offset_ns,
    connect_unix,
)
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, StreamTimeoutError
from ochrehoist.units import NS_PER_S

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec, Logger

RETRY_DELAY_S = 0.05  # between attempts to get the state
ORPHANED_RUN_S = 2.0  # for which what a process had begun counts as running after it died


class HandoverClient:
    """Takes over from the process before this one, the predecessor.

    Attributes:
        predecessor_present: The predecessor may run something that this process does not see.
    """

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        path: str,
        codec: DetailCodec,
        addresses: Callable[[], list[Address]],
        on_take_over: Callable[[], None],
        on_connections: Callable[[Mapping[str, int]], None],
        log: Logger,
    ) -> None:
        """Connects once the core asks for the state.

        Args:
            loop: that it runs on.
            core: that takes the state.
            path: of the predecessor's Unix socket.
            codec: for the details of results.
            addresses: at which this process listens.
            on_take_over: called once this process decides.
            on_connections: called with the connections that the predecessor has open, by front.
            log: of the worker.
        """
        self.predecessor_present = True
        self._loop = loop
        self._core = core
        self._path = path
        self._codec = codec
        self._addresses = addresses
        self._on_take_over = on_take_over
        self._on_connections = on_connections
        self._log = log
        self._state_wanted = Signal(loop)
        self._link: HandoverLink | None = None
        self._received: CoreSnapshot | None = None  # complete, but not yet left to this process
        core.register_predecessor(self._state_wanted.set)

    def run(self) -> None:
        """A task: takes over, then follows the predecessor until it has ended."""
        self._state_wanted.wait()
        while True:
            try:
                sock = connect_unix(self._path, ANSWER_TIMEOUT_S)
            except (FileNotFoundError, ConnectionRefusedError):
                self._go_on_without_predecessor()
                return
            except OSError as error:
                self._log.warning("predecessor_unreachable", reason=repr(error))
                self._loop.sleep(RETRY_DELAY_S)
                continue
            if self._take_over(sock):
                return

    def _go_on_without_predecessor(self) -> None:
        """It is gone: a cold start, unless its state was received.

        Then it died between its last line and its leave. What it had begun must not run again; what it had
        not has no caller any more.
        """
        if self._received is None:
            self.predecessor_present = False
            self._take_up(None)
            return
        started = [request for request in self._received.requests if request.started]
        self._take_up(replace(self._received, requests=started))
        while self._core.inbox:
            self._loop.sleep(RETRY_DELAY_S)
        self._predecessor_ended()

    def _take_over(self, sock: socket.socket) -> bool:
        """Takes the state and follows the predecessor to its end; False where it did not hand over."""
        link = HandoverLink(self._loop, sock)
        try:
            state = self._receive_state(link)
        except (*LINK_ERRORS, InvalidStateError) as error:
            # The predecessor goes on as it was: no yes is given without its keys.
            self._log.warning("state_transfer_failed", reason=repr(error))
            link.close()
            self._loop.sleep(RETRY_DELAY_S)
            return False
        self._link = link
        self._take_up(state)
        self._follow(link)
        return True

    def _receive_state(self, link: HandoverLink) -> CoreSnapshot:
        link.send({"m": "take"})
        settings = self._core.settings
        reader = SnapshotReader(
            clock_offset_ns(self._core),
            {request_class.name: request_class for request_class in settings.classes},
            self._core.max_result_bytes,
            RESULT_OVERHEAD_BYTES,
            self._send,
            self._codec,
        )
        while not reader.done:
            reader.read(link.receive(ANSWER_TIMEOUT_S))
        self._received = reader.snapshot
        link.send({"m": "yes", "at": self._addresses()})
        if link.receive(ANSWER_TIMEOUT_S)["m"] != "go":
            raise UnexpectedLineError("go")
        return reader.snapshot

    def _send(self, values: Mapping[str, Any]) -> bool:
        """Sends a decision; False where the predecessor is gone."""
        return self._link is not None and self._link.send(values)

    def _take_up(self, state: CoreSnapshot | None) -> None:
        self._core.post(StateTransferred(state))
        if state is None:
            self._log.info("predecessor_missing")
        else:
            self._log.info("took_over", requests=len(state.requests), runs=len(state.idempotency.runs))
        self._on_take_over()

    # ---- after the predecessor's leave
    def _follow(self, link: HandoverLink) -> None:
        try:
            while True:
                self._handle_line(link.receive(None))
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        except Exception:
            self._log.exception("predecessor_link_fault")
        finally:
            link.close()
            self._predecessor_ended()

    def _handle_line(self, line: Line) -> None:
        if line["m"] == "holds":
            self._on_connections(line["connections"])
            return
        message = message_from_json(line, self._send, self._codec, self._core.settings.classes)
        if message is not None:
            self._core.post(message)

    def _is_of_predecessor(self, request: InboundRequest) -> bool:
        """Whether the predecessor read the request, and answers it."""
        responder = request.responder
        return isinstance(responder, RemoteRequestOwner) and responder.sends_through(self._send)

    def _predecessor_ended(self) -> None:
        """What it had not begun has no caller any more. What it had begun counts as run, and failed."""
        requests = [r for r in self._core.open_requests.values() if self._is_of_predecessor(r)]
        running_ids = [request.id for request in requests if request.started]
        for request in requests:
            if not request.started:
                self._core.post(CallerDisconnected(request.id, gave_up=False))
        self._log.info("predecessor_ended", open_requests=len(requests), running=len(running_ids))
        self._on_connections({})
        self._loop.call_later(ORPHANED_RUN_S, lambda: self._fail_orphaned(running_ids))

    def _fail_orphaned(self, request_ids: list[str]) -> None:
        self.predecessor_present = False
        for request_id in request_ids:
            duration_ns = int(ORPHANED_RUN_S * NS_PER_S)
            self._core.post(RunCompleted(request_id, RunResult(Outcome.FAILED), duration_ns))
