"""HTTP/1.1 server and client of the worker's operator API, with one request per connection."""

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

REQUEST_TIMEOUT_S = 2.5  # for the whole request, so that idle and incomplete ones don't occupy connections
MIN_EVICTION_AGE_S = 0.2  # before an open connection may be evicted
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 4096  # bodies are read and ignored, since no route uses one
MAX_LENGTH_DIGITS = 10
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "TRACE", "CONNECT"})
HEAD_END = b"\r\n\r\n"
LF_HEAD_END = b"\n\n"
LONGEST_METHOD_AND_SPACE = 8
REQUEST_LINE_PARTS = 3
CLIENT_TIMEOUT_S = 5.0
FIRST_FAILURE_STATUS = 300


@dataclass(slots=True)
class Response:
    """The response to a request."""

    status: HTTPStatus
    body: bytes
    content_type: str = "application/json"
    extra_headers: str = ""


def json_response(values: Mapping[str, Any], status: HTTPStatus = HTTPStatus.OK) -> Response:
    """Returns a response whose body is a JSON object."""
    return Response(status, json.dumps(values).encode() + b"\n")


class RequestRejectedError(OchrehoistError):
    """A request that is rejected with `status`."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class InvalidResponseError(OchrehoistError, OSError):
    """The server's answer to a request is no HTTP response."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"invalid HTTP response: {cause!r}")


class RequestLine(NamedTuple):
    """Method and path of a request."""

    method: str
    path: str


Routes = Mapping[str, Mapping[str, Callable[[], Response]]]  # handlers by path, then by method


class OperatorServer(BaseServer):
    """Server that calls the handlers of `routes`.

    A request is answered within the loop iteration in which it has arrived completely.
    """

    LISTENER_NAME = "Operators"

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        routes: Routes,
        log: Logger,
        sock: socket.socket | None = None,
    ) -> None:
        """Binds the address; raises OSError like `Acceptor`."""
        self._routes = routes
        self._opened_at_s: dict[Stream, float] = {}
        super().__init__(loop, address, log, sock, self._evict)

    def connection_opened(self, stream: Stream) -> None:
        """See BaseServer."""
        self._opened_at_s[stream] = time.monotonic()

    def connection_closed(self, stream: Stream) -> None:
        """See BaseServer."""
        self._opened_at_s.pop(stream, None)

    def _evict(self) -> bool:
        """Closes one connection, but none whose request has arrived completely; returns whether it did.

        Half-closed connections are preferred, then those that sent nothing, then the oldest.
        """
        opened_before_s = time.monotonic() - MIN_EVICTION_AGE_S
        candidates = [
            stream
            for stream, opened_at_s in self._opened_at_s.items()
            if stream.half_closed or (opened_at_s < opened_before_s and not stream.unsent)
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
            response = self._handle_request(request)
        except RequestRejectedError as error:
            response = json_response({"error": str(error)}, error.status)
        except (ConnectionClosedError, StreamTimeoutError):
            raise
        except Exception:
            self.log.exception("operator_call_fault")
            response = json_response({"error": "internal fault"}, HTTPStatus.INTERNAL_SERVER_ERROR)
        head = (
            f"HTTP/1.1 {response.status.value} {response.status.phrase}\r\n"
            f"Content-Type: {response.content_type}\r\nContent-Length: {len(response.body)}\r\n"
            f"Cache-Control: no-store\r\nConnection: close\r\n{response.extra_headers}\r\n"
        )
        stream.write(head.encode() + (b"" if head_only else response.body))

    def _handle_request(self, request: RequestLine) -> Response:
        handlers = self._routes.get(request.path)
        if handlers is None:
            known_paths = ", ".join(sorted(self._routes))
            raise RequestRejectedError(HTTPStatus.NOT_FOUND, f"no such path; known paths: {known_paths}")
        handler = handlers.get("GET" if request.method == "HEAD" else request.method)
        if handler is None:
            allowed = ", ".join([*handlers, *(["HEAD"] if "GET" in handlers else [])])
            response = json_response({"error": "method not allowed"}, HTTPStatus.METHOD_NOT_ALLOWED)
            response.extra_headers = f"Allow: {allowed}\r\n"
            return response
        return handler()


# ---- reading a request


def read_request_line(stream: Stream) -> RequestLine:
    """Reads one request completely, with its body, and returns its method and path.

    Raises:
        RequestRejectedError: The request is malformed or too long.
        ConnectionClosedError: The connection ended before the request was complete.
        StreamTimeoutError: The request did not arrive within REQUEST_TIMEOUT_S.
    """
    deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
    head = _read_head(stream, deadline_s)
    line, *fields = head.split("\n")
    parts = line.split(" ")
    if len(parts) != REQUEST_LINE_PARTS or not parts[2].startswith("HTTP/1.") or parts[0] not in METHODS:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "not an HTTP/1.1 request")
    body_bytes = _body_length(fields)
    if body_bytes > MAX_BODY_BYTES:
        raise RequestRejectedError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"request body longer than {MAX_BODY_BYTES} bytes"
        )
    stream.read_exactly(body_bytes, deadline_s)
    return RequestLine(parts[0], _path(parts[1]))


def _read_head(stream: Stream, deadline_s: float) -> str:
    """Reads the request line and the header fields; returns them with LF line ends."""
    buffer = stream.buffer
    while (end := buffer.find(HEAD_END)) < 0 and buffer.find(LF_HEAD_END) < 0:
        if len(buffer) > MAX_HEAD_BYTES:
            raise RequestRejectedError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request head too long")
        method = buffer[:LONGEST_METHOD_AND_SPACE].split(b" ")[0]
        if method and not (method.isalpha() and method.isupper()):
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "not an HTTP request")
        stream.read_more(deadline_s)
    if end < 0:
        end = buffer.find(LF_HEAD_END)
    head = stream.read_exactly(end).decode("latin-1").replace("\r\n", "\n")
    stream.read_exactly(len(HEAD_END) if buffer.startswith(b"\r\n") else len(LF_HEAD_END))
    return head


def _body_length(fields: list[str]) -> int:
    length = 0
    for field in fields:
        name, colon, value = field.partition(":")
        if not colon or not name or name != name.strip():
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "malformed header field")
        if name.lower() == "transfer-encoding":
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "request body without Content-Length")
        if name.lower() == "content-length":
            value = value.strip()
            if not (value.isascii() and value.isdigit()):
                raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "Content-Length is not a number")
            length = int(value[:MAX_LENGTH_DIGITS])
    return length


def _path(target: str) -> str:
    if target.startswith("http://"):  # absolute form, as sent to proxies
        target = "/" + target.removeprefix("http://").partition("/")[2]
    if not target.startswith("/"):
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, "request target is not a path")
    return target.partition("?")[0]


# ---- client


def call_operator_api(
    address: tuple[str, int], method: str, path: str, timeout_s: float = CLIENT_TIMEOUT_S
) -> tuple[bool, str]:
    """Sends a request to a worker; returns whether it succeeded and the text of the response.

    Raises:
        OSError: The worker cannot be reached, or its response is invalid.
    """
    import http.client  # imported here to save memory in the worker, which does not use it

    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status < FIRST_FAILURE_STATUS, response.read().decode("utf-8", "replace")
    except http.client.HTTPException as error:
        raise InvalidResponseError(error) from None
    finally:
        connection.close()
