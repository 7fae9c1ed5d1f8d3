"""The index that finds the route of a request: the first one whose pattern and method match it.

The result is the same as that of a linear search with fnmatch.fnmatchcase. Patterns are indexed by their
prefix, the literal text before the first wildcard, and their suffix, the literal text after the last one.
Only routes whose prefix and suffix match those of the path are tested. No I/O.

The worst case is a table whose patterns share one prefix and suffix, such as `/*x*` for many x: their routes
are tested one by one, up to the first that matches.
"""

import re
from collections.abc import Generator, Iterable
from fnmatch import translate
from typing import NamedTuple

from ochrehoist.config.tables import AjpRoute

ROUTES_PER_STEP = 50  # about 0.2 ms; a route that needs a regular expression is the last of its step
_WILDCARD = re.compile(r"[][*?]")  # a bracket that is a literal only shortens the prefix or suffix

# What a path must match between prefix and suffix: the literals between several `*`; or a regular expression,
# which matches the whole path; or None if any text matches.
Middle = tuple[str, ...] | re.Pattern[str] | None
# The lowest position of a route, by the length of its prefix or suffix; in ascending order of positions.
FirstPositions = dict[int, int]


class IndexedRoute(NamedTuple):
    """A route, its position in the route table, and the middle of its pattern."""

    position: int
    route: AjpRoute
    middle: Middle


class _SuffixIndex:
    """The routes that share a prefix, by suffix."""

    __slots__ = ("first_positions", "routes")

    def __init__(self) -> None:
        self.first_positions: FirstPositions = {}
        self.routes: dict[str, list[IndexedRoute]] = {}


class RouteIndex:
    """An index of a route table; a changed table needs a new index.

    Attributes:
        count: Number of routes.
    """

    __slots__ = (
        "_by_prefix",
        "_by_prefix_and_suffix",
        "_first_by_prefix",
        "_first_by_suffix",
        "_literal",
        "count",
    )

    def __init__(self) -> None:
        self.count = 0
        self._literal: dict[str, list[IndexedRoute]] = {}  # patterns without a wildcard
        self._by_prefix: dict[str, list[IndexedRoute]] = {}  # patterns that end in a wildcard
        self._first_by_prefix: FirstPositions = {}
        self._by_prefix_and_suffix: dict[str, _SuffixIndex] = {}
        self._first_by_suffix: FirstPositions = {}  # by prefix length, of patterns with a suffix

    @classmethod
    def in_steps(cls, routes: Iterable[AjpRoute]) -> Generator[None, None, "RouteIndex"]:
        """Builds the index in steps of less than 1 ms each."""
        index = cls()
        for route in routes:
            used_regex = index._add(route)
            if used_regex or index.count % ROUTES_PER_STEP == 0:
                yield
        return index

    def find(self, method: str, path: str) -> AjpRoute | None:  # noqa: C901, PLR0912
        """Returns the first route that matches, or None.

        The searches by literal, prefix and suffix are not separate functions: that doubled the time of this
        lookup, which every request makes.
        """
        size = len(path)
        found: AjpRoute | None = None
        limit = self.count  # only routes at lower positions can still be the first match
        for position, route, _ in self._literal.get(path, ()):
            if not route.methods or method in route.methods:
                limit, found = position, route
                break
        for prefix_length, first in self._first_by_prefix.items():
            if first >= limit:
                break
            if prefix_length > size:
                continue
            for position, route, middle in self._by_prefix.get(path[:prefix_length], ()):
                if position >= limit:
                    break
                if (not route.methods or method in route.methods) and (
                    middle is None or _middle_matches(middle, path, prefix_length, size)
                ):
                    limit, found = position, route
                    break
        for prefix_length, first in self._first_by_suffix.items():
            if first >= limit:
                break
            suffixes = self._by_prefix_and_suffix.get(path[:prefix_length])
            if suffixes is None:
                continue
            for suffix_length, first_of_length in suffixes.first_positions.items():
                if first_of_length >= limit:
                    break
                end = size - suffix_length
                if end < prefix_length:
                    continue
                for position, route, middle in suffixes.routes.get(path[end:], ()):
                    if position >= limit:
                        break
                    if (not route.methods or method in route.methods) and (
                        middle is None or _middle_matches(middle, path, prefix_length, end)
                    ):
                        limit, found = position, route
                        break
        return found

    def _add(self, route: AjpRoute) -> bool:
        """Appends a route; returns whether a regular expression was compiled for it."""
        pattern = route.uri
        position = self.count
        self.count += 1
        wildcards = [match.start() for match in _WILDCARD.finditer(pattern)]
        if not wildcards:
            self._literal.setdefault(pattern, []).append(IndexedRoute(position, route, None))
            return False
        prefix = pattern[: wildcards[0]]
        suffix = pattern[wildcards[-1] + 1 :]
        middle = _compile_middle(pattern, wildcards)
        indexed = IndexedRoute(position, route, middle)
        if suffix:
            self._first_by_suffix.setdefault(len(prefix), position)
            suffixes = self._by_prefix_and_suffix.setdefault(prefix, _SuffixIndex())
            suffixes.first_positions.setdefault(len(suffix), position)
            suffixes.routes.setdefault(suffix, []).append(indexed)
        else:
            self._first_by_prefix.setdefault(len(prefix), position)
            self._by_prefix.setdefault(prefix, []).append(indexed)
        return isinstance(middle, re.Pattern)


def _compile_middle(pattern: str, wildcards: list[int]) -> Middle:
    if pattern.count("*") != len(wildcards):
        return re.compile(translate(pattern))
    if len(wildcards) == 1:
        return None
    return tuple(literal for literal in pattern[wildcards[0] : wildcards[-1]].split("*") if literal) or None


def _middle_matches(middle: Middle, path: str, start: int, end: int) -> bool:
    """Returns whether the path matches between the end of its prefix and the start of its suffix."""
    if isinstance(middle, re.Pattern):
        return middle.match(path) is not None
    for literal in middle or ():
        found = path.find(literal, start, end)
        if found < 0:
            return False
        start = found + len(literal)
    return True
