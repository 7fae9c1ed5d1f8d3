"""The platform's kernel, which runs the requests that a worker schedules; scripted by a test, or instant."""

import base64
import contextlib
import json
import queue
import socket
import threading
from typing import Any, NamedTuple, Self

from tests.stand_ins.sockets import LoopbackServer
from tests.support.environment import WAIT_LIMIT_S


class ScheduledRun(NamedTuple):
    """A request that the worker gave to the kernel."""

    request_id: str
    method: str
    body: bytes


class Kernel(LoopbackServer):
    """Runs nothing by itself: a test takes what is scheduled and reaps it. It may go on from another.

    Its gauge of what wants a core is true unless a test sets `runnable`: it answers no question on a link
    that was not told of an end. Of its notices it repeats those that come after the first `forgotten`.
    """

    def __init__(self, before: Self | None = None) -> None:
        self.notices: list[dict[str, Any]] = before.notices[:] if before else []
        self.runs = set(before.runs) if before else set()
        self.forgotten = 0
        self.out: socket.socket | None = None
        self.runnable: float | None = None
        self.boots = True
        self.silent = False  # on the link that there is; the next one is answered again
        self.scheduled: queue.Queue[ScheduledRun] = queue.Queue()
        self.opened: queue.Queue[int] = queue.Queue()
        self.asked: queue.Queue[Any] = queue.Queue()
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Answers the commands of one link."""
        for line in sock.makefile("rb"):
            command = json.loads(line)
            if command["cmd"] == "OPEN":
                self._open(sock, command["offset"])
            elif command["cmd"] == "SYSINFO":
                self._answer_gauges(command["token"])
            else:
                with self.lock:
                    self.runs.add(command["req"])
                body = base64.b64decode(command["payload"])
                self.scheduled.put(ScheduledRun(command["req"], command["method"], body))

    def _open(self, sock: socket.socket, offset: int) -> None:
        if not self.boots:
            return
        with self.lock:
            self.out, self.silent = sock, False
            self.send(cmd="BOOTED", result="WARM", elapsed_ms=5000)
            for notice in self.notices[max(self.forgotten, offset) :]:
                self.send(**notice)
        self.opened.put(offset)

    def _answer_gauges(self, token: Any) -> None:
        with self.lock:
            if self.silent:
                return
            runnable = float(len(self.runs)) if self.runnable is None else self.runnable
            self.send(cmd="INFO", token=token, load=[0.5, runnable])
        self.asked.put(token)

    def send(self, **notice: Any) -> None:
        """Sends a line on the newest link; it is not kept."""
        with contextlib.suppress(OSError):
            self.out.sendall(json.dumps(notice).encode() + b"\n")

    def next_run(self) -> ScheduledRun:
        """Waits for what is scheduled next."""
        return self.scheduled.get(timeout=WAIT_LIMIT_S)

    def reject(self, request_id: str) -> None:
        """As for an id, class or body that it was never told of."""
        with self.lock:
            self.send(cmd="EINVAL", result="SCHED", req=request_id)

    def reap(self, request_id: str, result: str = "OK", body: bytes = b"", send: bool = True) -> None:
        """Ends a run; without `send`, the worker learns of it on the next link."""
        payload = base64.b64encode(body).decode()
        self.notice(send, cmd="REAP", req=request_id, result=result, elapsed_ms=20, payload=payload)

    def notice(self, send: bool = True, **notice: Any) -> None:
        """Keeps a notice under the next offset, and sends it if `send`."""
        with self.lock:
            self.notices.append(notice | {"offset": len(self.notices) + 1})
            self.runs.discard(notice.get("req"))
            self.silent = self.silent or not send
            if send:
                self.send(**self.notices[-1])

    def send_raw(self, data: bytes) -> None:
        """Sends bytes as they are, whole lines or pieces of them."""
        with self.lock:
            self.out.sendall(data)
            self.silent = not data.endswith(b"\n")  # what is sent in pieces is not broken into

    def wait_for_questions(self, count: int) -> None:
        """Waits for so many questions; the program asks for the gauges ten times a second."""
        while not self.asked.empty():
            self.asked.get()
        for _ in range(count):
            self.asked.get(timeout=WAIT_LIMIT_S)


class InstantKernel(Kernel):
    """Ends each run at once, or so many seconds after it was given."""

    def __init__(self, body: bytes = b"one", after: float = 0.0) -> None:
        super().__init__()
        self.body, self.after = body, after
        threading.Thread(target=self._reap_all, daemon=True).start()

    def _reap_all(self) -> None:
        while True:
            request_id = self.scheduled.get().request_id
            if self.after:
                threading.Timer(self.after, self.reap, (request_id,), {"body": self.body}).start()
            else:
                self.reap(request_id, body=self.body)
