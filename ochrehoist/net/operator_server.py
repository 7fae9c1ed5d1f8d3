"""The operators' address: HTTP/1.1, one call to a connection. The only operator surface of the worker."""

import json
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, NamedTuple

from ochrehoist.core.protocols import Logger
from ochrehoist.errors import OchrehoistError
from ochrehoist.net.listener import BaseServer, evict_lowest_ranked
from ochrehoist.net.loop import Loop
from ochrehoist.net.stream import ConnectionClosedError, Stream, StreamTimeoutError

CALL_TIMEOUT_S = 2.5  # for a whole call: the silent and the half-sent must not keep their places
MIN_AGE_S = 0.2  # that a connection has before it may be evicted
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 4096  # read and ignored: no call takes any
MAX_LENGTH_DIGITS = 10
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"})
HEAD_END = b"\r\n\r\n"
BARE_HEAD_END = b"\n\n"
LONGEST_METHOD_AND_SPACE = 8
REQUEST_LINE_PARTS = 3
CLIENT_TIMEOUT_S = 5.0
FIRST_FAILURE_STATUS = 300


@dataclass(slots=True)
class Answer:
    """What a call is answered with."""

    status: HTTPStatus
    body: bytes
    content_type: str = "application/json"
    extra_headers: str = ""


def json_answer(values: Mapping[str, Any], status: HTTPStatus = HTTPStatus.OK) -> Answer:
    """An answer with a JSON object."""
    return Answer(status, json.dumps(values).encode() + b"\n")


class CallRejectedError(OchrehoistError):
    """A call that can't be carried out, and the status that says why."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class NoAnswerError(OchrehoistError, OSError):
    """What answered a call does not speak HTTP."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"no HTTP answer: {cause!r}")


class RequestLine(NamedTuple):
    """What a call asks for."""

    method: str
    path: str


Calls = Mapping[str, Mapping[str, Callable[[], Answer]]]  # by path, then by method


class OperatorServer(BaseServer):
    """Carries out `calls`. Each is answered in the turn of the loop in which it has arrived whole."""

    LISTENER_NAME = "Operators"

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        calls: Calls,
        log: Logger,
        sock: socket.socket | None = None,
    ) -> None:
        """Binds the address, as Acceptor does; raises OSError."""
        self._calls = calls
        self._opened_at_s: dict[Stream, float] = {}
        super().__init__(loop, address, log, sock, self._evict)

    def connection_opened(self, stream: Stream) -> None:
        """See BaseServer."""
        self._opened_at_s[stream] = time.monotonic()

    def connection_closed(self, stream: Stream) -> None:
        """See BaseServer."""
        self._opened_at_s.pop(stream, None)

    def _evict(self) -> bool:
        """Closes the connection that has said least for longest, never one whose call has arrived whole."""
        before_s = time.monotonic() - MIN_AGE_S
        candidates = [
            stream
            for stream, opened_at_s in self._opened_at_s.items()
            if stream.half_closed or (opened_at_s < before_s and not stream.unsent)
        ]
        return evict_lowest_ranked(
            candidates,
            lambda stream: (not stream.half_closed, bool(stream.buffer), self._opened_at_s[stream]),
            lambda stream: stream,
        )

    def handle(self, stream: Stream) -> None:
        """See BaseServer."""
        head_only = False
        try:
            request = read_request_line(stream)
            head_only = request.method == "HEAD"
            answer = self._carry_out(request)
        except CallRejectedError as error:
            answer = json_answer({"error": str(error)}, error.status)
        except (ConnectionClosedError, StreamTimeoutError):
            raise
        except Exception:
            self.log.exception("operator_call_fault")
            answer = json_answer({"error": "internal fault"}, HTTPStatus.INTERNAL_SERVER_ERROR)
        head = (
            f"HTTP/1.1 {answer.status.value} {answer.status.phrase}\r\n"
            f"Content-Type: {answer.content_type}\r\nContent-Length: {len(answer.body)}\r\n"
            f"Cache-Control: no-store\r\nConnection: close\r\n{answer.extra_headers}\r\n"
        )
        stream.write(head.encode() + (b"" if head_only else answer.body))

    def _carry_out(self, request: RequestLine) -> Answer:
        by_method = self._calls.get(request.path)
        if by_method is None:
            known = ", ".join(sorted(self._calls))
            raise CallRejectedError(HTTPStatus.NOT_FOUND, f"no such path; there are {known}")
        call = by_method.get("GET" if request.method == "HEAD" else request.method)
        if call is None:
            allowed = ", ".join([*by_method, *(["HEAD"] if "GET" in by_method else [])])
            answer = json_answer({"error": "method not allowed"}, HTTPStatus.METHOD_NOT_ALLOWED)
            answer.extra_headers = f"Allow: {allowed}\r\n"
            return answer
        return call()


# ---- reading a call


def read_request_line(stream: Stream) -> RequestLine:
    """Method and path of one call, once it has arrived whole.

    Raises:
        CallRejectedError: it is no call.
        ConnectionClosedError: it was cut off.
        StreamTimeoutError: it takes too long.
    """
    deadline_s = time.monotonic() + CALL_TIMEOUT_S
    head = _read_head(stream, deadline_s)
    line, *fields = head.split("\n")
    parts = line.split(" ")
    if len(parts) != REQUEST_LINE_PARTS or not parts[2].startswith("HTTP/1.") or parts[0] not in METHODS:
        raise CallRejectedError(HTTPStatus.BAD_REQUEST, "not an HTTP/1.1 call")
    body_bytes = _body_length(fields)
    if body_bytes > MAX_BODY_BYTES:
        raise CallRejectedError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "no call takes so much")
    stream.read_exactly(body_bytes, deadline_s)
    return RequestLine(parts[0], _path(parts[1]))


def _read_head(stream: Stream, deadline_s: float) -> str:
    """Request line and fields, with bare line ends."""
    buffer = stream.buffer
    while (end := buffer.find(HEAD_END)) < 0 and buffer.find(BARE_HEAD_END) < 0:
        if len(buffer) > MAX_HEAD_BYTES:
            raise CallRejectedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long")
        method = buffer[:LONGEST_METHOD_AND_SPACE].split(b" ")[0]
        if method and not (method.isalpha() and method.isupper()):
            raise CallRejectedError(HTTPStatus.BAD_REQUEST, "not an HTTP call")
        stream.read_more(deadline_s)
    if end < 0:
        end = buffer.find(BARE_HEAD_END)
    head = stream.read_exactly(end).decode("latin-1").replace("\r\n", "\n")
    stream.read_exactly(len(HEAD_END) if buffer.startswith(b"\r\n") else len(BARE_HEAD_END))
    return head


def _body_length(fields: list[str]) -> int:
    length = 0
    for field in fields:
        name, colon, value = field.partition(":")
        if not colon or not name or name != name.strip():
            raise CallRejectedError(HTTPStatus.BAD_REQUEST, "a header field that can't be read")
        if name.lower() == "transfer-encoding":
            raise CallRejectedError(HTTPStatus.BAD_REQUEST, "a body without a length")
        if name.lower() == "content-length":
            value = value.strip()
            if not (value.isascii() and value.isdigit()):
                raise CallRejectedError(HTTPStatus.BAD_REQUEST, "a length that is no number")
            length = int(value[:MAX_LENGTH_DIGITS])
    return length


def _path(target: str) -> str:
    if target.startswith("http://"):  # the absolute form, as to a proxy
        target = "/" + target.removeprefix("http://").partition("/")[2]
    if not target.startswith("/"):
        raise CallRejectedError(HTTPStatus.BAD_REQUEST, "not a path")
    return target.partition("?")[0]


# ---- the operators' side


def call_operator_api(
    address: tuple[str, int], method: str, path: str, timeout_s: float = CLIENT_TIMEOUT_S
) -> tuple[bool, str]:
    """Calls a worker: whether it says yes, and its text. Raises OSError where there is none."""
    import http.client  # only here: the worker itself has no need of so much memory

    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status < FIRST_FAILURE_STATUS, response.read().decode("utf-8", "replace")
    except http.client.HTTPException as error:
        raise NoAnswerError(error) from None
    finally:
        connection.close()
