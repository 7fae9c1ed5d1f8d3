"""The link between a process and its successor: JSON lines over a Unix socket in $TMPDIR.

    new: take          old: state, run, entry, request, class, end     (the old core is frozen)
    new: yes           old: go                                         (afterwards the new process decides)
    old: arrived, gone, ended, standby, holds       new: start, served, refused, failed

The line `sockets`, on a connection of its own, is answered with the descriptors of the listening sockets. The
lines that carry the core's state and messages are defined in core/handover_lines.py and
core/handover_snapshot.py. handover_server.py is the old process's side, handover_client.py the new one's.
"""

import json
import socket
import stat
import time
from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from ochrehoist.core.actor import CoreActor
from ochrehoist.errors import OchrehoistError
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError

MAX_LINE_BYTES = 8 << 20
MAX_UNSENT_BYTES = 8 << 20
ANSWER_TIMEOUT_S = 2.0  # for connecting, and for each line of the other process
SOCKET_REQUEST_ATTEMPTS = 4  # while the old process does not answer
MAX_LISTENING_SOCKETS = 8
MAX_SOCKETS_LINE_BYTES = 65536

Address = tuple[str, int]
Line = dict[str, Any]  # the key `m` holds the kind of the line


class UnexpectedLineError(OchrehoistError):
    """The other process sent another line than the `expected` one."""

    def __init__(self, expected: str) -> None:
        super().__init__(f"unexpected line on the handover link; expected {expected!r}")


# Raised when the other process has ended, does not answer in time, or sends an unexpected line.
LINK_ERRORS = (
    ConnectionClosedError,
    StreamTimeoutError,
    UnexpectedLineError,
    ValueError,
    KeyError,
    TypeError,
)


def encode_line(values: Mapping[str, Any]) -> bytes:
    """Encodes one line of the link."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


class HandoverLink:
    """A connection to the other process, driven by the loop."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.stream = Stream(loop, sock, MAX_UNSENT_BYTES)

    @property
    def closed(self) -> bool:
        """Returns whether the connection is closed."""
        return self.stream.closed

    def send(self, values: Mapping[str, Any]) -> bool:
        """Writes a line; returns False if the link is closed, before the write or because of it."""
        if self.stream.closed:
            return False
        self.stream.write(encode_line(values))
        return not self.stream.closed

    def receive(self, timeout_s: float | None) -> Line:
        """Waits for the next line and returns it; without time-out if `timeout_s` is None.

        Raises:
            ConnectionClosedError: The link has ended.
            StreamTimeoutError: No line arrived within `timeout_s`.
            UnexpectedLineError: The line is no JSON object.
            ValueError: The line is no JSON.
        """
        deadline_s = None if timeout_s is None else time.monotonic() + timeout_s
        line = json.loads(self.stream.read_line(MAX_LINE_BYTES, deadline_s))
        if not isinstance(line, dict):
            raise UnexpectedLineError("object")
        return line

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.close()


def clock_offset_ns(core: CoreActor) -> int:
    """Returns the core's clock minus the monotonic clock, which all processes of the machine share (ns)."""
    return core.clock() - time.monotonic_ns()


def connect_unix(path: str, timeout_s: float) -> socket.socket:
    """Connects to the process that listens at the path; blocks for at most `timeout_s`; raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(path)
    except BaseException:
        sock.close()
        raise
    return sock


def receive_listening_sockets(path: str) -> dict[Address, socket.socket] | None:
    """Returns the listening sockets of the process that this one replaces, by address; None without one.

    Must be called before the loop runs, since it blocks. It waits and tries again while the old process does
    not answer: even a stopped process occupies its addresses, so that this one could not bind them.
    """
    descriptors: list[int] = []
    for _ in range(SOCKET_REQUEST_ATTEMPTS):
        try:
            if not stat.S_ISSOCK(Path(path).stat().st_mode):
                return None
            descriptors = _request_sockets(path)
        except (FileNotFoundError, ConnectionRefusedError):
            return None
        except OSError:
            continue
        if descriptors:
            break
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    return {sock.getsockname(): sock for sock in sockets}


def _request_sockets(path: str) -> list[int]:
    with connect_unix(path, ANSWER_TIMEOUT_S) as sock:
        sock.sendall(encode_line({"m": "sockets"}))
        _, descriptors, _, _ = socket.recv_fds(sock, MAX_SOCKETS_LINE_BYTES, MAX_LISTENING_SOCKETS)
    return descriptors


def unlink_quietly(path: str) -> None:
    """Removes the path of a socket and ignores errors."""
    with suppress(OSError):
        Path(path).unlink()
