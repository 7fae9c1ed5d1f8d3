"""The hook by which the stages of a request's handling are timed, where somebody measures them."""

from collections.abc import Callable
from typing import ParamSpec, Protocol, TypeVar

P = ParamSpec("P")
T = TypeVar("T")


class StageTimer(Protocol):
    """Gives a call that adds the time of each of its runs to the stage, and is otherwise the same."""

    def __call__(self, stage: str, call: Callable[P, T], /) -> Callable[P, T]:
        """Wraps `call`."""
        ...


def untimed(_stage: str, call: Callable[P, T], /) -> Callable[P, T]:
    """The StageTimer of a worker that measures no stages: the call itself, at no cost."""
    return call
