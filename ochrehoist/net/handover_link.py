"""The link between a process and the one that replaces it: JSON lines over a Unix socket in $TMPDIR.

    new: take          old: state, run, entry, request, class, end     (the old core stands still)
    new: yes           old: go                                         (from here on the new one decides)
    old: arrived, gone, ended, standby, holds       new: start, served, refused, failed

`sockets`, on a connection of its own, is answered with the listening sockets themselves. The lines that carry
the core's state and messages are those of core/handover_lines.py and core/handover_snapshot.py. The old
process's side is handover_server.py, the new one's handover_client.py.
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
ANSWER_TIMEOUT_S = 2.0  # for the other process's next line
SOCKET_ATTEMPTS = 4  # to get the sockets of a process that gives no answer
MAX_LISTENING_SOCKETS = 8  # that are handed over
MAX_SOCKETS_LINE_BYTES = 65536

Address = tuple[str, int]
Line = dict[str, Any]  # `m` says what it is


class UnexpectedLineError(OchrehoistError):
    """The other process wrote something else than what was `expected`."""

    def __init__(self, expected: str) -> None:
        super().__init__(f"no {expected}")


# What a link raises when the other process is gone, or writes what it should not.
LINK_ERRORS = (
    ConnectionClosedError,
    StreamTimeoutError,
    UnexpectedLineError,
    ValueError,
    KeyError,
    TypeError,
)


def encode_line(values: Mapping[str, Any]) -> bytes:
    """One line of the link."""
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


class HandoverLink:
    """One connection to the other process, on the loop."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.stream = Stream(loop, sock, MAX_UNSENT_BYTES)

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        return self.stream.closed

    def send(self, values: Mapping[str, Any]) -> bool:
        """Writes a line; False where the link is closed, or is closed by that."""
        if self.stream.closed:
            return False
        self.stream.write(encode_line(values))
        return not self.stream.closed

    def receive(self, timeout_s: float | None) -> Line:
        """Waits for the next line.

        Raises:
            ConnectionClosedError: the link has ended.
            StreamTimeoutError: nothing came in time.
            UnexpectedLineError: the line is no JSON object.
            ValueError: the line is no JSON.
        """
        deadline_s = None if timeout_s is None else time.monotonic() + timeout_s
        line = json.loads(self.stream.read_line(MAX_LINE_BYTES, deadline_s))
        if not isinstance(line, dict):
            raise UnexpectedLineError("object")
        return line

    def close(self) -> None:
        """Closes it at once."""
        self.stream.close()


def clock_offset_ns(core: CoreActor) -> int:
    """What the core's clock has over the monotonic one, which all processes of the machine share."""
    return core.clock() - time.monotonic_ns()


def connect_unix(path: str, timeout_s: float) -> socket.socket:
    """A socket to the process that listens at the path; blocks, and raises OSError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.connect(path)
    except BaseException:
        sock.close()
        raise
    return sock


def receive_listening_sockets(path: str) -> dict[Address, socket.socket] | None:
    """The listening sockets of the process that this one replaces, by address; None where there is none.

    To be called before the loop runs: it blocks, for the addresses could not be bound while that process
    lives, though it stands still.
    """
    descriptors: list[int] = []
    for _ in range(SOCKET_ATTEMPTS):
        try:
            if not stat.S_ISSOCK(Path(path).stat().st_mode):
                return None
            descriptors = _ask_for_sockets(path)
        except (FileNotFoundError, ConnectionRefusedError):
            return None
        except OSError:
            continue
        if descriptors:
            break
    sockets = [socket.socket(fileno=descriptor) for descriptor in descriptors]
    return {sock.getsockname(): sock for sock in sockets}


def _ask_for_sockets(path: str) -> list[int]:
    with connect_unix(path, ANSWER_TIMEOUT_S) as sock:
        sock.sendall(encode_line({"m": "sockets"}))
        _, descriptors, _, _ = socket.recv_fds(sock, MAX_SOCKETS_LINE_BYTES, MAX_LISTENING_SOCKETS)
    return descriptors


def unlink_quietly(path: str) -> None:
    """Removes a socket's path, if it is there."""
    with suppress(OSError):
        Path(path).unlink()
