"""The link between a process and the one that replaces it: JSON lines over a Unix socket in $TMPDIR.

    new: take          old: state, run, entry, request, class, end     (the old core stands still)
    new: yes           old: go                                         (from here on the new one decides)
    old: arrived, gone, ended, standby, holds       new: start, served, refused, failed

`sockets`, on a connection of its own, is answered with the listening sockets themselves.
"""

import json
import os
import socket
import stat
import struct
import time
from collections.abc import Callable, Mapping
from typing import Any

from ochrehoist.admission.events import Outcome
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.errors import InvalidStateError
from ochrehoist.core.forwarder import Forwarder
from ochrehoist.core.handover_lines import RemoteRequestOwner, message_from_json
from ochrehoist.core.handover_snapshot import SnapshotReader, snapshot_lines
from ochrehoist.core.idempotent_runs import RESULT_OVERHEAD_BYTES
from ochrehoist.core.messages import (
    CallerDisconnected,
    RunCompleted,
    StateTransferred,
)
from ochrehoist.core.protocols import DetailCodec
from ochrehoist.core.request import InboundRequest
from ochrehoist.core.results import RunResult
from ochrehoist.core.snapshot import CoreSnapshot
from ochrehoist.net.loop import Loop, Signal
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError

Address = tuple[str, int]
MAX_LINE = 8 << 20
MAX_UNSENT = 8 << 20
AHEAD = 64 * 1024  # of the state that is written and not yet taken
ANSWER = 2.0  # s for the other process's next word
STILL = 0.5  # s for it while a core stands still: what is held there has due times
RETRY = 0.05  # s between tries to get the state
RUNS_ON = 2.0  # s for which what a process had begun counts as running after it died
TRIES = 4  # to get the sockets of a process that gives no answer
MAX_LISTENING = 8  # sockets that are handed over


def _line(values: Mapping[str, Any]) -> bytes:
    return json.dumps(values, separators=(",", ":")).encode() + b"\n"


def _read(stream: Stream, timeout: float | None) -> dict:
    line = json.loads(stream.take_line(MAX_LINE, timeout))
    if not isinstance(line, dict):
        raise ValueError("not an object")
    return line


def _offset(owner: CoreActor) -> int:
    """What the core's clock has over the monotonic one, which all processes of the machine share."""
    return owner.clock() - time.monotonic_ns()


class Successors:
    """The old process's side: waits for the one that replaces it."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        path: str,
        codec: DetailCodec,
        listening: Callable[[], dict[str, socket.socket]],
        replaced: Callable[[list], None],
        log: Any,
    ) -> None:
        self.loop, self.owner, self.path, self.codec, self.log = loop, owner, path, codec, log
        self.listening, self.replaced = listening, replaced
        self.sock: socket.socket | None = None
        self.stream: Stream | None = None  # to the process that decides now
        self.forwarder: Forwarder | None = None

    def listen(self) -> None:
        """Takes the path over in one step, whoever listened there before."""
        sock, new = None, f"{self.path}.{os.getpid()}"
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            sock.bind(new)
            os.chmod(new, 0o600)
            sock.listen(4)
            sock.setblocking(False)
            os.replace(new, self.path)
        except OSError as error:  # the worker serves all the same
            if sock is not None:
                sock.close()
            return self.log.error("this process can't be replaced without loss", why=str(error))
        self.sock = sock
        self.loop.on_readable(sock.fileno(), self._accept)

    def close(self) -> None:
        """Leaves nothing behind, but what the next process has put in its place."""
        if self.sock is None:
            return
        self.loop.forget(self.sock.fileno())
        if self.forwarder is None:
            try:
                os.unlink(self.path)
            except OSError:
                pass
        self.sock.close()
        self.sock = None
        if self.stream is not None:
            self.stream.close()

    def _accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        if user != os.getuid():
            return sock.close()
        self.loop.spawn(self._talk, Stream(self.loop, sock, MAX_UNSENT))

    def _talk(self, stream: Stream) -> None:
        try:
            asked = _read(stream, ANSWER)["m"]
            if asked == "sockets":
                named = self.listening()
                parts = [{"part": name, "address": s.getsockname()} for name, s in named.items()]
                socket.send_fds(
                    stream.sock,
                    [_line({"m": "sockets", "parts": parts})],
                    [s.fileno() for s in named.values()],
                )
            elif asked == "take" and not self.owner.frozen and self.owner.forwarder is None:
                self._hand_over(stream)
        except (ConnectionClosedError, StreamTimeoutError, ValueError, KeyError, TypeError, OSError) as error:
            self.log.warning("the link to another process ended", why=repr(error))
        finally:
            stream.close()

    def _hand_over(self, stream: Stream) -> None:
        state, agreed = self.owner.freeze(), False
        try:
            for line in snapshot_lines(state, _offset(self.owner), self.codec):
                stream.write(_line(line))
                until = time.monotonic() + STILL
                while len(stream.unsent) > AHEAD:
                    if stream.closed or time.monotonic() > until:
                        raise StreamTimeoutError
                    self.loop.sleep(0.001)
            yes = _read(stream, STILL)
            agreed = yes["m"] == "yes" and not stream.closed
            if not agreed:
                raise ValueError("no yes")
        finally:
            if not agreed:
                self.owner.thaw()
                self.log.warning("another process asked for the state and did not take it: this one goes on")
        self.stream = stream
        stream.write(_line({"m": "go"}))
        self.forwarder = self.owner.hand_over(lambda values: stream.write(_line(values)), self.codec)
        self.log.info("replaced", pending=len(self.forwarder.pending))
        self.replaced(yes.get("at", []))
        try:
            while True:
                self.forwarder.receive(_read(stream, None))
        finally:
            self.forwarder.connection_lost()

    def holds(self, connections: Mapping[str, int]) -> None:
        """Tells the other process how many connections are still open here."""
        if self.stream is not None and not self.stream.closed:
            self.stream.write(_line({"m": "holds", "connections": connections}))


class Predecessor:
    """The new process's side: takes the state over from the process before it, then hears from that one."""

    def __init__(
        self,
        loop: Loop,
        owner: CoreActor,
        path: str,
        codec: DetailCodec,
        at: Callable[[], list],
        taken: Callable[[], None],
        holds: Callable[[Mapping[str, int]], None],
        log: Any,
    ) -> None:
        self.loop, self.owner, self.path, self.codec, self.log = loop, owner, path, codec, log
        self.at, self.taken, self.holds = at, taken, holds
        self.wanted = Signal(loop)
        self.stream: Stream | None = None
        self.present = True  # it may run something that this one does not see
        self.received: CoreSnapshot | None = None  # whole, and not yet left to this process
        owner.register_predecessor(self.wanted.set)

    def run(self) -> None:
        self.wanted.wait()
        while True:
            try:
                sock = _connected(self.path, ANSWER)
            except (FileNotFoundError, ConnectionRefusedError):  # it is gone
                if self.received is None:  # a cold start
                    self.present = False
                    return self._go_on(None)
                # It died between its last word and its leave. What it had begun must not run again; what it
                # had not has no caller any more.
                self.received.requests = [r for r in self.received.requests if r.started]
                self._go_on(self.received)
                while self.owner.inbox:
                    self.loop.sleep(RETRY)
                return self._lost()
            except OSError as error:
                self.log.warning("the process before this one can't be reached", why=repr(error))
                self.loop.sleep(RETRY)
                continue
            stream = Stream(self.loop, sock, MAX_UNSENT)
            try:
                state = self._take(stream)
            except (
                ConnectionClosedError,
                StreamTimeoutError,
                ValueError,
                KeyError,
                TypeError,
                InvalidStateError,
            ) as error:
                # It goes on as it was: no yes is given without its keys.
                self.log.warning("the state could not be taken over", why=repr(error))
                stream.close()
                self.loop.sleep(RETRY)
                continue
            self.stream = stream
            self._go_on(state)
            return self._hear(stream)

    def _take(self, stream: Stream) -> CoreSnapshot:
        stream.write(_line({"m": "take"}))
        s = self.owner.settings
        receiver = SnapshotReader(
            _offset(self.owner),
            {c.name: c for c in s.classes},
            self.owner.max_result_bytes,
            RESULT_OVERHEAD_BYTES,
            self._send,
            self.codec,
        )
        while not receiver.done:
            receiver.read(_read(stream, ANSWER))
        self.received = receiver.snapshot
        stream.write(_line({"m": "yes", "at": self.at()}))
        if _read(stream, ANSWER)["m"] != "go":
            raise ValueError("no go")
        return receiver.snapshot

    def _send(self, values: Mapping[str, Any]) -> bool:
        if self.stream is None or self.stream.closed:
            return False
        self.stream.write(_line(values))
        return not self.stream.closed

    def _go_on(self, state: CoreSnapshot | None) -> None:
        self.owner.post(StateTransferred(state))
        self.log.info(
            "took over" if state else "nothing to take over",
            requests=len(state.requests) if state else 0,
            runs=len(state.idempotency.runs) if state else 0,
        )
        self.taken()

    def _hear(self, stream: Stream) -> None:
        try:
            while True:
                self._heard(_read(stream, None))
        except (ConnectionClosedError, StreamTimeoutError):
            pass
        except Exception:
            self.log.exception("fault on the link to the process before this one")
        finally:
            stream.close()
            self._lost()

    def _heard(self, line: dict) -> None:
        if line["m"] == "holds":
            self.holds(line["connections"])
            return
        message = message_from_json(line, self._send, self.codec, self.owner.settings.classes)
        if message is not None:
            self.owner.post(message)

    def _reads(self, request: InboundRequest) -> bool:
        """Whether the process before this one read the request, and answers it."""
        responder = request.responder
        return isinstance(responder, RemoteRequestOwner) and responder.is_reached_by(self._send)

    def _lost(self) -> None:
        """What it had not begun has no caller any more. What it had begun counts as run, and failed."""
        left = [r for r in self.owner.open_requests.values() if self._reads(r)]
        begun = [r.id for r in left if r.started]
        for r in left:
            if not r.started:
                self.owner.post(CallerDisconnected(r.id, gave_up=False))
        self.log.info("the process before this one has ended", left=len(left), running=len(begun))
        self.holds({})

        def over() -> None:
            self.present = False
            for request_id in begun:
                self.owner.post(RunCompleted(request_id, RunResult(Outcome.FAILED), int(RUNS_ON * 1e9)))

        self.loop.call_later(RUNS_ON, over)


# ---- before the loop runs
def _connected(path: str, timeout: float) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout)
        sock.connect(path)
    except BaseException:
        sock.close()
        raise
    return sock


def predecessors_sockets(path: str) -> dict[Address, socket.socket] | None:
    """The listening sockets of the process before this one, by address; None where there is no such process.

    It waits, for the addresses could not be bound while that process lives, though it stands still.
    """
    descriptors: list[int] = []
    for _ in range(TRIES):
        try:
            if not stat.S_ISSOCK(os.stat(path).st_mode):
                return None
            with _connected(path, ANSWER) as sock:
                sock.sendall(_line({"m": "sockets"}))
                _, descriptors, _, _ = socket.recv_fds(sock, 65536, MAX_LISTENING)
            if descriptors:
                break
        except (FileNotFoundError, ConnectionRefusedError):
            return None
        except OSError:
            pass
    found = {}
    for descriptor in descriptors:
        listening = socket.socket(fileno=descriptor)
        found[listening.getsockname()] = listening
    return found
