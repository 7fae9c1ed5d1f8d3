"""The new process's side of the handover link: takes over the state, then receives the old one's messages."""

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
from ochrehoist.core.request import InboundRequest, RequestReference
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

RETRY_DELAY_S = 0.05  # between attempts to receive the state
ORPHANED_RUN_TIMEOUT_S = 2.0  # counted from the predecessor's end; its runs count as running until then


class HandoverClient:
    """Client that takes over from the process that this one replaces, the predecessor.

    Attributes:
        predecessor_present: Whether the predecessor may have runs that this process does not know of.
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
        """Creates the client, which connects once `run` is a task and the core asks for the state.

        Args:
            loop: The event loop.
            core: The core that takes over the state.
            path: Path of the predecessor's Unix socket.
            codec: Codec for the details of results.
            addresses: Returns the addresses at which this process listens.
            on_take_over: Called once this process decides.
            on_connections: Called with the numbers of connections open at the predecessor, by front.
            log: The worker's logger.
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
        self._state_requested = Signal(loop)
        self._link: HandoverLink | None = None
        self._received: CoreSnapshot | None = None  # complete, but the predecessor's `go` may be missing
        core.register_predecessor(self._state_requested.set)

    def run(self) -> None:
        """Runs as a task of the loop: takes over, then receives messages until the predecessor has ended."""
        self._state_requested.wait()
        while True:
            try:
                sock = connect_unix(self._path, ANSWER_TIMEOUT_S)
            except (FileNotFoundError, ConnectionRefusedError):
                self._continue_without_predecessor()
                return
            except OSError as error:
                self._log.warning("predecessor_unreachable", reason=repr(error))
                self._loop.sleep(RETRY_DELAY_S)
                continue
            if self._take_over(sock):
                return

    def _continue_without_predecessor(self) -> None:
        """Starts cold, or from the state received if the predecessor died before it sent `go`.

        Requests that the predecessor had started are kept, as they must not run again. The others are
        dropped, since their callers were connected to the predecessor.
        """
        if self._received is None:
            self.predecessor_present = False
            self._apply_state(None)
            return
        started = [request for request in self._received.requests if request.started]
        self._apply_state(replace(self._received, requests=started))
        while self._core.inbox:
            self._loop.sleep(RETRY_DELAY_S)
        self._predecessor_ended()

    def _take_over(self, sock: socket.socket) -> bool:
        """Takes over and receives messages until the predecessor's end; False if it did not hand over."""
        link = HandoverLink(self._loop, sock)
        try:
            state = self._receive_state(link)
        except (*LINK_ERRORS, InvalidStateError) as error:
            # The predecessor resumes: `yes` is sent only after its complete state, with the idempotency keys.
            self._log.warning("state_transfer_failed", reason=repr(error))
            link.close()
            self._loop.sleep(RETRY_DELAY_S)
            return False
        self._link = link
        self._apply_state(state)
        self._receive_messages(link)
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
        """Sends a decision to the predecessor; returns False if it has ended."""
        return self._link is not None and self._link.send(values)

    def _apply_state(self, state: CoreSnapshot | None) -> None:
        self._core.post(StateTransferred(state))
        if state is None:
            self._log.info("predecessor_missing")
        else:
            self._log.info("took_over", requests=len(state.requests), runs=len(state.idempotency.runs))
        self._on_take_over()

    # ---- after the predecessor's `go`
    def _receive_messages(self, link: HandoverLink) -> None:
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

    def _is_from_predecessor(self, request: InboundRequest) -> bool:
        """Returns whether the predecessor holds the caller's connection of this request."""
        responder = request.responder
        return isinstance(responder, RemoteRequestOwner) and responder.sends_through(self._send)

    def _predecessor_ended(self) -> None:
        """Drops its requests that were not started; fails the started ones after ORPHANED_RUN_TIMEOUT_S.

        Their callers are disconnected, as they were connected to the predecessor.
        """
        requests = [
            candidate
            for candidate in self._core.open_requests.values()
            if self._is_from_predecessor(candidate)
        ]
        running = [request.reference for request in requests if request.started]
        for request in requests:
            if not request.started:
                self._core.post(CallerDisconnected(request.reference, gave_up=False))
        self._log.info("predecessor_ended", open_requests=len(requests), running=len(running))
        self._on_connections({})
        self._loop.call_later(ORPHANED_RUN_TIMEOUT_S, lambda: self._fail_orphaned(running))

    def _fail_orphaned(self, running: list[RequestReference]) -> None:
        self.predecessor_present = False
        for request in running:
            duration_ns = int(ORPHANED_RUN_TIMEOUT_S * NS_PER_S)
            self._core.post(RunCompleted(request, RunResult(Outcome.FAILED), duration_ns))
