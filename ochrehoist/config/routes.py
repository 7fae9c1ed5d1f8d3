"""Reads the routes in `ajp.rules`; the objects of unchanged routes are reused."""

from collections.abc import Collection, Generator
from operator import is_
from typing import Any

from ochrehoist.config.object_reader import ObjectReader
from ochrehoist.config.tables import AjpRoute
from ochrehoist.errors import InvalidInputError
from ochrehoist.steps import concatenated_in_steps

ROUTES_PER_STEP = 500


class RouteReader:
    """Reader of routes that returns the existing object for each unchanged route."""

    def __init__(self, current: tuple[AjpRoute, ...] = ()) -> None:
        self._current = current
        self._method_sets: dict[frozenset[str], frozenset[str]] = {}  # shared: many routes have equal sets
        # String keys: the garbage collector does not track a dictionary of strings and integers.
        self._positions: dict[str, int] = {}

    def index_current_in_steps(self) -> Generator[None, None, None]:
        """Indexes the active routes; must be completed before the first element is added."""
        for position, route in enumerate(self._current):
            methods = self._method_sets.setdefault(route.methods, route.methods)
            self._positions[_route_key(route.uri, methods, route.request_class)] = position
            if (position + 1) % ROUTES_PER_STEP == 0:
                yield

    def append_element(self, data: Any, elements: list[Any]) -> None:
        """Appends a route, or the data itself if it is invalid. The request class is not yet validated.

        read_in_steps() reports invalid data, since the index of the element is known only then.
        """
        try:
            elements.append(self._validated(ObjectReader(data, ""), None))
        except InvalidInputError:
            elements.append(data)

    def read_in_steps(
        self, ajp: ObjectReader, classes: Collection[str]
    ) -> Generator[None, None, tuple[AjpRoute, ...]]:
        """Returns all routes; `classes` contains the request class names. Raises InvalidInputError."""
        routes: list[AjpRoute] = []
        for item in ajp.items("rules"):
            for element in self._current[item.start : item.stop] if isinstance(item, range) else (item,):
                routes.append(self._resolve_route(ajp, len(routes), element, classes))
                if len(routes) % ROUTES_PER_STEP == 0:
                    yield
        if len(routes) == len(self._current) and all(map(is_, routes, self._current)):
            return self._current
        return (yield from concatenated_in_steps([routes], ()))

    def _resolve_route(
        self, ajp: ObjectReader, index: int, element: Any, classes: Collection[str]
    ) -> AjpRoute:
        if not isinstance(element, AjpRoute):
            return self._validated(ajp.element("rules", index, element), classes)
        if element.request_class not in classes:
            raise ajp.error(f"rules[{index}].class", f"unknown class {element.request_class!r}")
        return element

    def _validated(self, table: ObjectReader, classes: Collection[str] | None) -> AjpRoute:
        """Returns the validated route, as the existing object if it is unchanged.

        Any request class is accepted if `classes` is None. Raises InvalidInputError.
        """
        table.allow_only("uri", "methods", "class")
        request_class = table.text("class")
        method_names = table.items("methods", [])
        if classes is not None and request_class not in classes:
            raise table.error("class", f"unknown class {request_class!r}")
        if not all(isinstance(method, str) and method for method in method_names):
            raise table.invalid_value("methods", method_names)
        uri = table.text("uri")
        if not uri.startswith("/"):
            raise table.error("uri", f"does not start with /: {uri!r}")
        methods = frozenset(method.upper() for method in method_names)
        methods = self._method_sets.setdefault(methods, methods)
        position = self._positions.get(_route_key(uri, methods, request_class))
        return AjpRoute(uri, methods, request_class) if position is None else self._current[position]


def _route_key(uri: str, methods: frozenset[str], request_class: str) -> str:
    """Returns a unique key of a route. Equal method sets must be the same object: the key contains its id."""
    return f"{id(methods)} {len(uri)} {uri}{request_class}"
