"""Encoding of commands to the kernel and parsing of its notices, both JSON lines; without I/O."""

import base64
import json
from collections.abc import Mapping
from operator import index
from typing import Any, NamedTuple

from ochrehoist.admission.events import Outcome
from ochrehoist.core.results import RunResult
from ochrehoist.errors import OchrehoistError
from ochrehoist.units import NS_PER_MS

OUTCOMES = {
    "OK": Outcome.OK,
    "ERROR": Outcome.FAILED,
    "STOPPED": Outcome.CANCELLED,
    "MOOT": Outcome.NOT_STARTED,
}
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


class MalformedNoticeError(OchrehoistError):
    """A notice that cannot be parsed; `cause` is the parser's exception."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"malformed notice: {cause!r}")


class MalformedResultError(MalformedNoticeError):
    """A notice that a request's run has ended, whose result cannot be decoded."""

    def __init__(self, cause: Exception, request_id: str) -> None:
        super().__init__(cause)
        self.request_id = request_id


class KernelBooted(NamedTuple):
    """Notice that the kernel takes commands on this link; its start took `duration_ns`."""

    is_cold: bool
    duration_ns: int


class GaugesReported(NamedTuple):
    """Answer to the query with this token: the values of the gauges, in their configured order."""

    token: str
    load: tuple[float, ...]


class RunReport(NamedTuple):
    """What the kernel reports of a run that has ended; it names the run by the request's id alone."""

    request_id: str
    result: RunResult
    duration_ns: int


class RunEnded(NamedTuple):
    """Numbered notice that a run has ended; `fields` is parsed only if the notice is not a repetition."""

    offset: int
    fields: Mapping[str, Any]

    def report(self) -> RunReport:
        """Parses the fields; the duration is measured by the kernel's clock.

        Raises:
            MalformedResultError: The body or the duration is malformed.
            MalformedNoticeError: Another field is malformed.
        """
        fields = self.fields
        try:
            request_id = fields["req"]
            try:
                body = base64.b64decode(fields.get("payload") or "", validate=True)
                duration_ns = int(fields.get("elapsed_ms", 0) * NS_PER_MS)
            except (ValueError, TypeError) as error:
                raise MalformedResultError(error, request_id) from None
            outcome = OUTCOMES.get(fields["result"], Outcome.FAILED)
        except (KeyError, TypeError) as error:
            raise MalformedNoticeError(error) from None
        return RunReport(request_id, RunResult(outcome, body), duration_ns)


class KernelLogged(NamedTuple):
    """Numbered notice that concerns no run."""

    offset: int


class CommandRejected(NamedTuple):
    """Notice that the kernel did not execute a command; `request_id` is None if it concerned no run."""

    command: str | None
    request_id: str | None


class UnknownNotice(NamedTuple):
    """Notice of an unknown kind."""

    command: str


Notice = KernelBooted | GaugesReported | RunEnded | KernelLogged | CommandRejected | UnknownNotice


def parse_notice(line: bytes) -> Notice:
    """Parses a line from the kernel; raises MalformedNoticeError."""
    try:
        fields = json.loads(line)
        command = fields["cmd"]
        if command == "REAP":
            return RunEnded(index(fields["offset"]), fields)
        if command == "INFO":
            return GaugesReported(fields["token"], tuple(float(value) for value in fields["load"]))
        if command == "DMESG":
            return KernelLogged(index(fields["offset"]))
        if command == "BOOTED":
            return KernelBooted(fields["result"] == "COLD", int(fields["elapsed_ms"] * NS_PER_MS))
        if command == "EINVAL":
            return CommandRejected(fields.get("result"), fields.get("req"))
    except PARSE_ERRORS as error:
        raise MalformedNoticeError(error) from None
    return UnknownNotice(command)


def _command(**fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def open_command(offset: int) -> bytes:
    """Encodes the command that opens the link; the kernel repeats all notices after this offset."""
    return _command(cmd="OPEN", offset=offset)


def query_gauges_command(token: str) -> bytes:
    """Encodes a query for the gauges; the answer carries the token."""
    return _command(cmd="SYSINFO", token=token)


def schedule_command(request_id: str, method: str, body: bytes) -> bytes:
    """Encodes the command that starts a run."""
    return _command(cmd="SCHED", req=request_id, method=method, payload=base64.b64encode(body).decode())
