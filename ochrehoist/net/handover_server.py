"""The old process's side of the handover link: passes listening sockets and state to its successor."""

from __future__ import annotations

import os
import socket
import struct
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ochrehoist.core.actor import CoreActor
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.handover_snapshot import snapshot_lines
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.net.handover_link import (
    ANSWER_TIMEOUT_S,
    LINK_ERRORS,
    HandoverLink,
    Line,
    UnexpectedLineError,
    clock_offset_ns,
    encode_line,
    unlink_quietly,
)
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import StreamTimeoutError

if TYPE_CHECKING:
    from ochrehoist.core.protocols import DetailCodec, Logger

SOCKET_MODE = 0o600
LISTEN_BACKLOG = 4
MAX_UNSENT_STATE_BYTES = 64 * 1024
# For each step of the successor while the core is frozen; short, since requests with deadlines wait.
FROZEN_TIMEOUT_S = 0.5
WRITE_POLL_S = 0.001
PEER_CREDENTIALS = struct.Struct("3i")  # process, user and group id

SuccessorAddresses = Sequence[list[Any]]  # [host, port] of each listening socket


class HandoverServer:
    """Server that hands sockets and state to the successor, then forwards it the requests that it reads."""

    def __init__(
        self,
        loop: Loop,
        core: CoreActor,
        path: str,
        codec: DetailCodec,
        listening_sockets: Callable[[], Mapping[str, socket.socket]],
        on_replaced: Callable[[SuccessorAddresses], None],
        log: Logger,
    ) -> None:
        """Creates the server, which listens once `listen` is called.

        Args:
            loop: The event loop.
            core: The core whose state is handed over.
            path: Path of the Unix socket.
            codec: Codec for the details of results.
            listening_sockets: Returns the sockets to hand over, by the name of the part that listens.
            on_replaced: Called once the successor decides, with the addresses at which it listens.
            log: The worker's logger.
        """
        self._loop = loop
        self._core = core
        self._path = path
        self._codec = codec
        self._listening_sockets = listening_sockets
        self._on_replaced = on_replaced
        self._log = log
        self._sock: socket.socket | None = None
        self._link: HandoverLink | None = None  # to the successor, once it has agreed to take over
        self._forwarder: Forwarder | None = None

    def listen(self) -> None:
        """Listens at the path, which it atomically takes from any process that listened there before.

        A failure is only logged: the worker serves requests, but cannot be replaced without a gap.
        """
        sock: socket.socket | None = None
        new_path = Path(f"{self._path}.{os.getpid()}")
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.bind(str(new_path))
            new_path.chmod(SOCKET_MODE)
            sock.listen(LISTEN_BACKLOG)
            sock.setblocking(False)
            new_path.replace(self._path)
        except OSError as error:
            if sock is not None:
                sock.close()
            self._log.error("handover_unavailable", reason=str(error))
            return
        self._sock = sock
        self._loop.on_readable(sock.fileno(), self._accept)

    def close(self) -> None:
        """Closes the socket and the link; removes the path unless the successor already listens there."""
        if self._sock is None:
            return
        self._loop.unwatch(self._sock.fileno())
        if self._forwarder is None:
            unlink_quietly(self._path)
        self._sock.close()
        self._sock = None
        if self._link is not None:
            self._link.close()

    def report_connections(self, connections: Mapping[str, int]) -> None:
        """Tells the successor how many connections each front of this process still has open."""
        if self._link is not None:
            self._link.send({"m": "holds", "connections": connections})

    def _accept(self) -> None:
        if self._sock is None:
            return
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
        if user_id != os.getuid():
            sock.close()
            return
        self._loop.spawn(self._serve, HandoverLink(self._loop, sock))

    def _serve(self, link: HandoverLink) -> None:
        """Runs as the task of one link: answers its first line, and forwards after a handover."""
        try:
            kind = link.receive(ANSWER_TIMEOUT_S)["m"]
            if kind == "sockets":
                self._send_sockets(link)
            elif kind == "take" and not self._core.frozen and self._core.forwarder is None:
                self._hand_over(link)
        except (*LINK_ERRORS, OSError) as error:
            self._log.warning("handover_link_ended", reason=repr(error))
        finally:
            link.close()

    def _send_sockets(self, link: HandoverLink) -> None:
        sockets = self._listening_sockets()
        parts = [{"part": name, "address": sock.getsockname()} for name, sock in sockets.items()]
        socket.send_fds(
            link.stream.sock,
            [encode_line({"m": "sockets", "parts": parts})],
            [sock.fileno() for sock in sockets.values()],
        )

    def _hand_over(self, link: HandoverLink) -> None:
        agreement = self._agree(link)
        self._link = link
        link.send({"m": "go"})
        forwarder = self._core.hand_over(link.send, self._codec)
        self._forwarder = forwarder
        self._log.info("handed_over", pending=len(forwarder.pending))
        try:
            self._on_replaced(agreement.get("at", []))
            while True:
                forwarder.receive(link.receive(None))
        finally:
            forwarder.connection_lost()

    def _agree(self, link: HandoverLink) -> Line:
        """Sends the state of the frozen core and returns the `yes` line of the successor.

        Without that line the core is thawed.

        Raises:
            LINK_ERRORS: The successor did not agree; see `handover_link.LINK_ERRORS`.
        """
        state = self._core.freeze()
        agreed = False
        try:
            self._send_state(link, state)
            answer = link.receive(FROZEN_TIMEOUT_S)
            agreed = answer["m"] == "yes" and not link.closed
        finally:
            if not agreed:
                self._core.thaw()
                self._log.warning("handover_aborted")
        if not agreed:
            raise UnexpectedLineError("yes")
        return answer

    def _send_state(self, link: HandoverLink, state: CoreSnapshot) -> None:
        for line in snapshot_lines(state, clock_offset_ns(self._core), self._codec):
            link.send(line)
            deadline_s = time.monotonic() + FROZEN_TIMEOUT_S
            while len(link.stream.unsent) > MAX_UNSENT_STATE_BYTES:
                if link.closed or time.monotonic() > deadline_s:
                    raise StreamTimeoutError
                self._loop.sleep(WRITE_POLL_S)
