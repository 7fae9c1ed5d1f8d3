"""The route of a request: the first rule, in the order of the configuration, that fits its path and method.

As fnmatch.fnmatchcase (standard library) over the list, but found by the ends that are spelled out in a
pattern, before its first wildcard and behind its last one: what is tested for a path are the rules whose ends
are those of the path, however many others there are. Without I/O.

The worst case is a table whose patterns spell out the same ends, as `/*x*` with many x: then it is the list
again, tested up to the first that fits.
"""

import re
from collections.abc import Generator, Iterable
from fnmatch import translate

from ochrehoist.config.schema import AjpRoute

STEP = 50  # rules placed in a step, about 0.2 ms; one that needs a regular expression ends its step
WILD = re.compile(r"[][*?]")  # each may be a wildcard; taken for one that it isn't, it only shortens an end

Middle = tuple[str, ...] | re.Pattern | None  # what is between the ends: texts between `*`; None: one `*`
Placed = tuple[int, AjpRoute, Middle]  # with its position
Lengths = dict[int, int]  # of ends, and for each the position of the first rule that has one; these ascend


def _between(middle: Middle, path: str, start: int, end: int) -> bool:
    """Whether what the path has between its ends fits."""
    if isinstance(middle, re.Pattern):
        return middle.match(path) is not None
    for text in middle or ():
        at = path.find(text, start, end)
        if at < 0:
            return False
        start = at + len(text)
    return True


class RouteIndex:
    """Never changed once it is built: the next one takes its place."""

    __slots__ = ("count", "_literal", "_open", "_open_lengths", "_closed", "_closed_lengths")

    def __init__(self) -> None:
        self.count = 0  # of rules
        self._literal: dict[str, list[Placed]] = {}
        # By their beginning: patterns that end in a wildcard, and the others, those again by their end.
        self._open: dict[str, list[Placed]] = {}
        self._open_lengths: Lengths = {}
        self._closed: dict[str, tuple[dict[str, list[Placed]], Lengths]] = {}
        self._closed_lengths: Lengths = {}

    @classmethod
    def in_steps(cls, rules: Iterable[AjpRoute]) -> Generator[None, None, "RouteIndex"]:
        """Built by a generator that returns it: each step is well under 1 ms of work."""
        index = cls()
        for rule in rules:
            if index._place(rule) or index.count % STEP == 0:
                yield
        return index

    def _place(self, rule: AjpRoute) -> bool:
        """Adds one behind the others; whether that took a regular expression."""
        uri, position = rule.uri, self.count
        self.count += 1
        wild = [m.start() for m in WILD.finditer(uri)]
        if not wild:
            self._literal.setdefault(uri, []).append((position, rule, None))
            return False
        begin, end = uri[: wild[0]], uri[wild[-1] + 1 :]
        middle: Middle = None
        if uri.count("*") != len(wild):
            middle = re.compile(translate(uri))
        elif len(wild) > 1:
            middle = tuple(text for text in uri[wild[0] : wild[-1]].split("*") if text) or None
        if end:
            self._closed_lengths.setdefault(len(begin), position)
            ends, lengths = self._closed.setdefault(begin, ({}, {}))
            lengths.setdefault(len(end), position)
            ends.setdefault(end, []).append((position, rule, middle))
        else:
            self._open_lengths.setdefault(len(begin), position)
            self._open.setdefault(begin, []).append((position, rule, middle))
        return isinstance(middle, re.Pattern)

    def find(self, method: str, path: str) -> AjpRoute | None:
        """The first rule that fits; None where none does."""
        best, found, size = self.count, None, len(path)
        for position, rule, _ in self._literal.get(path, ()):
            if not rule.methods or method in rule.methods:
                best, found = position, rule
                break
        for length, first in self._open_lengths.items():
            if first >= best:
                break
            if length > size:
                continue
            for position, rule, middle in self._open.get(path[:length], ()):
                if position >= best:
                    break
                if (not rule.methods or method in rule.methods) and (
                    middle is None or _between(middle, path, length, size)
                ):
                    best, found = position, rule
                    break
        for length, first in self._closed_lengths.items():
            if first >= best:
                break
            ends, lengths = self._closed.get(path[:length], ({}, {}))
            for length_end, first_end in lengths.items():
                if first_end >= best:
                    break
                rest = size - length_end
                if rest < length:
                    continue
                for position, rule, middle in ends.get(path[rest:], ()):
                    if position >= best:
                        break
                    if (not rule.methods or method in rule.methods) and (
                        middle is None or _between(middle, path, length, rest)
                    ):
                        best, found = position, rule
                        break
        return found
