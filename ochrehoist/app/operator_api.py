"""Operator API of a worker: status, metrics and standby."""

import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, Protocol

from ochrehoist.app.logs import LogSink
from ochrehoist.core.actor import CoreActor
from ochrehoist.core.messages import StandbyChanged
from ochrehoist.core.metrics import METRICS_CONTENT_TYPE, RequestCounter
from ochrehoist.net.ajp_front import AjpFront
from ochrehoist.net.operator_server import Response, json_response
from ochrehoist.net.thrift_front import ThriftFront

# Sections of /status, and sections that have metrics, in the order of output.
STATUS_SECTIONS = ("configuration", "store", "capture", "overload", "peers", "sites", "recovery", "kernel")
METRICS_SECTIONS = ("configuration", "store", "overload", "peers", "sites", "recovery")


class StatusSource(Protocol):
    """A component that has a section in /status."""

    def status_section(self) -> dict[str, Any]:
        """Returns the section, with values that can be encoded as JSON."""
        ...


class MetricsSource(Protocol):
    """A component that has metrics in addition to the fixed set that the platform prescribes."""

    def metrics_text(self) -> str:
        """Returns the metrics in the text exposition format."""
        ...


class OperatorApi:
    """Handlers of the operators' calls, with data from the core and the registered sources."""

    def __init__(
        self,
        name: str,
        core: CoreActor,
        sink: LogSink,
        fronts: Sequence[ThriftFront | AjpFront],
        is_serving: Callable[[], bool],
    ) -> None:
        """`is_serving` returns whether this process, and not another one of the worker, accepts requests."""
        self._name = name
        self._core = core
        self._sink = sink
        self._fronts = fronts
        self._is_serving = is_serving
        self._started_s = time.monotonic()
        self._status_sources: dict[str, StatusSource] = {}
        self._metrics_sources: dict[str, MetricsSource] = {}

    def add_status(self, section: str, source: StatusSource) -> None:
        """Adds a section to /status; `section` is one of STATUS_SECTIONS."""
        self._status_sources[section] = source

    def add_metrics(self, section: str, source: MetricsSource) -> None:
        """Adds metrics to /status/metrics; `section` is one of METRICS_SECTIONS."""
        self._metrics_sources[section] = source

    def calls(self) -> dict[str, dict[str, Callable[[], Response]]]:
        """Returns the handlers by path, then by HTTP method."""
        return {
            "/status": {"GET": self.status},
            "/status/metrics": {"GET": self.metrics},
            "/standby": {"POST": lambda: self.standby(True)},
            "/active": {"POST": lambda: self.standby(False)},
        }

    def status(self) -> Response:
        """Returns the state of the worker as JSON, with status 200 if it is ready for requests, else 503."""
        core = self._core
        metrics = core.metrics
        values: dict[str, Any] = {
            "name": self._name,
            "state": core.state,
            "up_s": round(time.monotonic() - self._started_s, 1),
            "in_hand": core.unanswered,
            "running": sum(request.started for request in core.open_requests.values()),
            "served": metrics.total(RequestCounter.ANSWERED),
            "refused": metrics.total(RequestCounter.REJECTED),
            "failed": metrics.total(RequestCounter.FAILED),
            "keys": len(core.idempotency.runs),
            "result_bytes": core.idempotency.bytes,
            "log_dropped": self._sink.dropped_lines,
            "connections": {front.LISTENER_NAME: len(front.connections) for front in self._fronts},
        }
        if core.faults.counts:
            values["faults"] = dict(core.faults.counts)
        for section in STATUS_SECTIONS:
            if section in self._status_sources:
                values[section] = self._status_sources[section].status_section()
        ready = core.ready and self._is_serving()
        return json_response(values, HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def metrics(self) -> Response:
        """Returns the metrics that the platform prescribes, followed by those of the registered sources."""
        text = self._core.metrics.text(self._core.own_unanswered)
        text += "".join(
            self._metrics_sources[section].metrics_text()
            for section in METRICS_SECTIONS
            if section in self._metrics_sources
        )
        return Response(HTTPStatus.OK, text.encode(), METRICS_CONTENT_TYPE)

    def standby(self, enabled: bool) -> Response:
        """Takes the worker out of service, or returns it to service if not `enabled`."""
        self._core.post(StandbyChanged(enabled))
        return json_response({"standby": enabled})
