"""Checks of AJP requests against one route table, in the process of the tree that is measured."""

import dataclasses
import time
import tracemalloc
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

from benchmarks.shared.samples import MEDIAN, P99, percentile
from benchmarks.shared.tree_process import Figures, Task, import_any

UNKNOWN_PATH = "/another"
WARMUP_SHARE = 10  # one call in so many is made before those that count
NS_PER_US = 1000
NS_PER_MS = 1e6


def measure(task: Task) -> Figures:
    """Check requests for the first, middle, last and no route of a table, and build its index.

    `task`: `forms` of routes, `size` of the table, `calls` to time. Figures: `found`, p50 and p99 in us by
    position; `built_ms`, `longest_step_ms` and `bytes_a_route` of the index where the tree has one.
    """
    forms, size, calls = task["forms"], task["size"], task["calls"]
    uris = [forms[number % len(forms)].format(number) for number in range(size)]
    route_type = import_any(
        "ochrehoist.config.tables:AjpRoute",
        "ochrehoist.config.schema:AjpRoute",
        "ochrehoist.config_types:AjpRule",
        "ochrehoist.config:AjpRule",
    )
    routes = tuple(route_type(uri, frozenset(), "read") for uri in uris)
    check = _request_check(routes)
    positions = {"first": 0, "middle": size // 2, "last": size - 1, "none": None}
    found = {
        name: _check_times_us(check, UNKNOWN_PATH if at is None else uris[at].replace("*", "x/y"), at, calls)
        for name, at in positions.items()
    }
    return {"found": found} | _index_figures(routes)


def _request_check(routes: tuple[Any, ...]) -> Callable[[bytes], object]:
    """The front's check of a GET of some path."""
    reader_type = import_any("ochrehoist.net.ajp_reader:AjpReader", "ochrehoist.net.ajp_front:AjpReader")
    forward = import_any("ochrehoist.net.ajp:ForwardRequest", "ochrehoist.net.ajp:Forward")
    actor = SimpleNamespace(
        settings=SimpleNamespace(classes=(_read_class(),), tenants=()), tenants=_no_tenants()
    )
    config = SimpleNamespace(
        secret=None,
        max_body=0,
        packet_size=8192,
        servers=(SimpleNamespace(secret=None),),
        routes=routes,
        rules=routes,  # their name at 000e6de
        tenant_header=b"t",
        key_header=b"k",
        retry_header=b"r",
        default_tenant=None,
    )
    reader = reader_type(actor, None, config)

    def check(path: bytes) -> object:
        return reader.check(forward(b"", "GET", path))

    return check


def _read_class() -> Any:
    class_type = import_any("ochrehoist.admission.settings:RequestClass", "ochrehoist.interface:RequestClass")
    name, objective, deadline = (field.name for field in dataclasses.fields(class_type)[:3])
    return class_type(**{name: "read", objective: 1, deadline: 2})


def _no_tenants() -> Any:
    return import_any("ochrehoist.core.tenants:initial_table", "ochrehoist.core.tenants:first")(())


def _check_times_us(
    check: Callable[[bytes], object], path: str, position: int | None, calls: int
) -> tuple[float, float]:
    """The p50 and p99 of a check; a request without a route (`position` None) is rejected."""
    encoded, times_ns = path.encode(), []
    for _ in range(calls + calls // WARMUP_SHARE):
        began_ns = time.perf_counter_ns()
        try:
            check(encoded)
        except Exception:
            if position is not None:
                raise
        times_ns.append(time.perf_counter_ns() - began_ns)
    counted = times_ns[calls // WARMUP_SHARE :]
    return percentile(counted, MEDIAN) / NS_PER_US, percentile(counted, P99) / NS_PER_US


def _index_figures(routes: tuple[Any, ...]) -> Figures:
    """Time and memory of building the route index; none where the tree has no index."""
    try:
        index_type = import_any("ochrehoist.net.route_index:RouteIndex", "ochrehoist.routes:RouteIndex")
    except ImportError:
        return {}
    build = getattr(index_type, "in_steps", None) or index_type.made
    steps_ms = list(_step_times_ms(build(routes)))
    tracemalloc.start()
    index = _completed(build(routes))
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del index
    return {
        "built_ms": sum(steps_ms),
        "longest_step_ms": max(steps_ms),
        "bytes_a_route": allocated / len(routes),
    }


def _step_times_ms(steps: Iterator[None]) -> Iterator[float]:
    while True:
        began_ns = time.perf_counter_ns()
        try:
            next(steps)
        except StopIteration:
            yield (time.perf_counter_ns() - began_ns) / NS_PER_MS
            return
        yield (time.perf_counter_ns() - began_ns) / NS_PER_MS


def _completed(steps: Iterator[None]) -> Any:
    """What a generator of steps returns at its end."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
