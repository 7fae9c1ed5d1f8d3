"""The responder of one AJP request, and the responses that the front generates itself."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

from ochrehoist.admission.events import Outcome
from ochrehoist.core.results import FailureReason, RunResult
from ochrehoist.net import ajp
from ochrehoist.net.stream import Stream
from ochrehoist.units import NS_PER_S

FAILURE_STATUS = {
    FailureReason.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    FailureReason.EXECUTOR_FAILED: HTTPStatus.BAD_GATEWAY,
    FailureReason.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    FailureReason.KEY_CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
}

Headers = Sequence[tuple[int | bytes, bytes]]  # pairs of a header's code or name, and its value


class RespondingConnection(Protocol):
    """The interface of a connection that responders use; see AjpConnection."""

    served: bool
    stream: Stream

    def send_response(self, head: bytes, body: bytes) -> None:
        """Sends a complete response."""
        ...


class AjpResponder:
    """The Responder of one request; once it is done, the connection reads the next request.

    Attributes:
        done: Whether the request was answered or cancelled.
    """

    __slots__ = ("_connection", "_head_only", "done")

    def __init__(self, connection: RespondingConnection, head_only: bool) -> None:
        self.done = False
        self._connection = connection
        self._head_only = head_only

    def cancel(self) -> None:
        """Suppresses the response, because the client has disconnected."""
        self.done = True

    def send_text(self, status: HTTPStatus, reason: str, headers: Headers = ()) -> None:
        """Sends a plain-text response that the front generates itself."""
        text = f"{status.value} {status.phrase}: {reason}\n".encode()
        self._send_response(status, b"text/plain; charset=utf-8", text, headers)

    def served(self, result: RunResult) -> bool:
        """See core.request.Responder."""
        self._connection.served = True
        if isinstance(result.detail, ajp.Reply):
            self._send(result.detail.headers, result.body)
        else:  # the result of a filing that ran for another front, which is sent unchanged
            self._send_response(HTTPStatus.OK, b"application/octet-stream", result.body)
        return True

    def rejected(self, retry_after_ns: int, no_retry: bool) -> None:  # noqa: ARG002 (HTTP cannot express it)
        """See core.request.Responder."""
        self.send_text(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "turned away, never run",
            retry_after_header(retry_after_seconds(retry_after_ns)),
        )

    def failed(self, reason: FailureReason, result: RunResult | None = None) -> None:
        """See core.request.Responder; sends the server's own error page if there is one."""
        if result is not None and isinstance(result.detail, ajp.Reply):
            self._send(result.detail.headers, result.body)
            return
        status = FAILURE_STATUS.get(reason, HTTPStatus.INTERNAL_SERVER_ERROR)
        if result is not None and result.outcome is Outcome.TIMED_OUT:
            status = HTTPStatus.GATEWAY_TIMEOUT
        self.send_text(status, reason.value)

    def origin(self) -> tuple[str, str]:
        """See core.request.Responder."""
        return "ajp", self._connection.stream.peer_address

    def _send_response(
        self, status: HTTPStatus, content_type: bytes, body: bytes, headers: Headers = ()
    ) -> None:
        all_headers: Headers = (
            (ajp.CONTENT_TYPE, content_type),
            (ajp.CONTENT_LENGTH, b"%d" % len(body)),
            *headers,
        )
        self._send(ajp.encode_headers(status.value, status.phrase, all_headers), body)

    def _send(self, head: bytes, body: bytes) -> None:
        if not self.done:
            self.done = True
            self._connection.send_response(head, b"" if self._head_only else body)


def retry_after_seconds(retry_after_ns: int) -> int:
    """Converts a delay to whole seconds, rounded up, at least 1."""
    return max(1, -(-retry_after_ns // NS_PER_S))


def retry_after_header(seconds: int) -> Headers:
    """Returns a Retry-After header."""
    return ((b"Retry-After", b"%d" % seconds),)
