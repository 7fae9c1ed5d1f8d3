"""The operators' address: HTTP/1.1, one call to a connection. The only operator surface of the worker."""

import json
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from ochrehoist.errors import OchrehoistError
from ochrehoist.net.listener import Service, close_least
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError

WHOLE = 2.5  # s for a whole call: the silent and the half-sent must not keep their places
YOUNG = 0.2  # s that a connection has before it may have to make room
MAX_HEAD = 8192
MAX_BODY = 4096  # read and passed over: no call takes any
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"})


@dataclass(slots=True)
class Answer:
    status: HTTPStatus
    body: bytes
    content_type: str = "application/json"


def said(values: Mapping[str, Any], status: HTTPStatus = HTTPStatus.OK) -> Answer:
    return Answer(status, json.dumps(values).encode() + b"\n")


class Rejected(OchrehoistError):
    """A call that can't be carried out, and the status that says why."""

    def __init__(self, status: HTTPStatus, why: str) -> None:
        super().__init__(why)
        self.status = status


Calls = Mapping[str, Mapping[str, Callable[[], Answer]]]  # by path, then by method


class Operators(Service):
    """Carries out `calls`. Each is answered in the turn of the loop in which it has come whole."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], calls: Calls, log: Any, sock: socket.socket | None = None
    ) -> None:
        self.calls = calls
        self.open: dict[Stream, float] = {}  # and since when
        super().__init__(loop, address, log, sock, self._make_room)

    def opened(self, stream: Stream) -> None:
        self.open[stream] = time.monotonic()

    def ended(self, stream: Stream) -> None:
        self.open.pop(stream, None)

    def _make_room(self) -> bool:
        """Ends the connection that has said least for longest, never one whose call has come whole."""
        before = time.monotonic() - YOUNG
        spare = [s for s, since in self.open.items() if s.shut or (since < before and not s.unsent)]
        return close_least(spare, lambda s: (not s.shut, bool(s.buffer), self.open[s]), lambda s: s)

    def serve(self, stream: Stream) -> None:
        only_head = False
        try:
            method, path = self._call(stream)
            only_head = method == "HEAD"
            answer, more = self._carry_out(method, path)
        except Rejected as error:
            answer, more = said({"error": str(error)}, error.status), b""
        except (ConnectionClosedError, StreamTimeoutError):
            raise
        except Exception:
            self.log.exception("fault in an operator's call")
            answer, more = said({"error": "internal fault"}, HTTPStatus.INTERNAL_SERVER_ERROR), b""
        head = (
            f"HTTP/1.1 {answer.status.value} {answer.status.phrase}\r\n"
            f"Content-Type: {answer.content_type}\r\nContent-Length: {len(answer.body)}\r\n"
            f"Cache-Control: no-store\r\nConnection: close\r\n"
        )
        stream.write(head.encode() + more + b"\r\n" + (b"" if only_head else answer.body))

    def _carry_out(self, method: str, path: str) -> tuple[Answer, bytes]:
        calls = self.calls.get(path)
        if calls is None:
            raise Rejected(HTTPStatus.NOT_FOUND, f"no such path; there are {', '.join(sorted(self.calls))}")
        call = calls.get("GET" if method == "HEAD" else method)
        if call is None:
            allowed = ", ".join([*calls, *(["HEAD"] if "GET" in calls else [])])
            return (
                said({"error": "method not allowed"}, HTTPStatus.METHOD_NOT_ALLOWED),
                f"Allow: {allowed}\r\n".encode(),
            )
        return call(), b""

    def _call(self, stream: Stream) -> tuple[str, str]:
        """Method and path of one call that has come whole."""
        until = time.monotonic() + WHOLE
        while (at := stream.buffer.find(b"\r\n\r\n")) < 0 and stream.buffer.find(b"\n\n") < 0:
            if len(stream.buffer) > MAX_HEAD:
                raise Rejected(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
            first = stream.buffer[:8].split(b" ")[0]
            if first and not (first.isalpha() and first.isupper()):
                raise Rejected(HTTPStatus.BAD_REQUEST, "not an HTTP call")
            stream.fill(until - time.monotonic())
        at = at if at >= 0 else stream.buffer.find(b"\n\n")
        head = stream.take(at).decode("latin-1").replace("\r\n", "\n")
        stream.take(4 if stream.buffer.startswith(b"\r\n") else 2)
        line, *fields = head.split("\n")
        parts = line.split(" ")
        if len(parts) != 3 or not parts[2].startswith("HTTP/1.") or parts[0] not in METHODS:
            raise Rejected(HTTPStatus.BAD_REQUEST, "not an HTTP/1.1 call")
        length = 0
        for text in fields:
            name, colon, value = text.partition(":")
            if not colon or not name or name != name.strip():
                raise Rejected(HTTPStatus.BAD_REQUEST, "a header field that can't be read")
            if name.lower() == "transfer-encoding":
                raise Rejected(HTTPStatus.BAD_REQUEST, "a body without a length")
            if name.lower() == "content-length":
                value = value.strip()
                if not (value.isascii() and value.isdigit()):
                    raise Rejected(HTTPStatus.BAD_REQUEST, "a length that is no number")
                length = int(value[:10])
        if length > MAX_BODY:
            raise Rejected(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "no call takes so much")
        stream.take(length, until - time.monotonic())
        target = parts[1]
        if target.startswith("http://"):  # the absolute form, as to a proxy
            target = "/" + target[7:].partition("/")[2]
        if not target.startswith("/"):
            raise Rejected(HTTPStatus.BAD_REQUEST, "not a path")
        return parts[0], target.partition("?")[0]


def ask(address: tuple[str, int], method: str, path: str, timeout: float = 5.0) -> tuple[bool, str]:
    """The console's side: whether the worker says yes, and its text. OSError where there is no answer."""
    import http.client  # only here: the worker itself has no need of so much memory

    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status < 300, response.read().decode("utf-8", "replace")
    except http.client.HTTPException as error:
        raise OSError(f"no HTTP answer: {error!r}") from None
    finally:
        connection.close()
