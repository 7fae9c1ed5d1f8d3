"""What operators call on a worker: its status, its metrics, and standby."""

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

# Keys of /status that parts fill, and parts that have metrics, in the order in which they are written.
STATUS_SECTIONS = ("configuration", "store", "capture", "overload", "peers", "sites", "recovery", "kernel")
METRICS_SECTIONS = ("configuration", "store", "overload", "peers", "sites", "recovery")


class StatusSource(Protocol):
    """A part that operators see a section of /status about."""

    def status_section(self) -> dict[str, Any]:
        """Plain values for JSON."""
        ...


class MetricsSource(Protocol):
    """A part that has metrics beside the platform's fixed names."""

    def metrics_text(self) -> str:
        """Lines of the exposition format."""
        ...


class OperatorApi:
    """Answers operators' calls from the core and from the parts that are added."""

    def __init__(
        self,
        name: str,
        core: CoreActor,
        sink: LogSink,
        fronts: Sequence[ThriftFront | AjpFront],
        is_serving: Callable[[], bool],
    ) -> None:
        """`is_serving`: whether this process, and no other one, takes what comes."""
        self._name = name
        self._core = core
        self._sink = sink
        self._fronts = fronts
        self._is_serving = is_serving
        self._started_s = time.monotonic()
        self._status_sources: dict[str, StatusSource] = {}
        self._metrics_sources: dict[str, MetricsSource] = {}

    def add_status(self, section: str, source: StatusSource) -> None:
        """`section` is one of STATUS_SECTIONS."""
        self._status_sources[section] = source

    def add_metrics(self, section: str, source: MetricsSource) -> None:
        """`section` is one of METRICS_SECTIONS."""
        self._metrics_sources[section] = source

    def calls(self) -> dict[str, dict[str, Callable[[], Response]]]:
        """By path, then by method."""
        return {
            "/status": {"GET": self.status},
            "/status/metrics": {"GET": self.metrics},
            "/standby": {"POST": lambda: self.standby(True)},
            "/active": {"POST": lambda: self.standby(False)},
        }

    def status(self) -> Response:
        """The state of the worker as JSON: 200 where it is ready for requests, else 503."""
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
        for section in STATUS_SECTIONS:
            if section in self._status_sources:
                values[section] = self._status_sources[section].status_section()
        ready = core.ready and self._is_serving()
        return json_response(values, HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE)

    def metrics(self) -> Response:
        """The platform's fixed names, then those of the parts."""
        text = self._core.metrics.text(self._core.own_unanswered)
        text += "".join(
            self._metrics_sources[section].metrics_text()
            for section in METRICS_SECTIONS
            if section in self._metrics_sources
        )
        return Response(HTTPStatus.OK, text.encode(), METRICS_CONTENT_TYPE)

    def standby(self, enabled: bool) -> Response:
        """Takes the worker out of service, or back."""
        self._core.post(StandbyChanged(enabled))
        return json_response({"standby": enabled})
