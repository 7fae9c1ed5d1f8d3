"""The hook by which the stages of a request's handling are timed, where somebody measures them."""

from collections.abc import Callable
from typing import Protocol, TypeVar

T = TypeVar("T")


class StageTimer(Protocol):
    """Gives a call that adds the time of each of its runs to the stage, and is otherwise the same.

    The call is made with positional arguments alone.
    """

    def __call__(self, stage: str, call: Callable[..., T], /) -> Callable[..., T]:
        """Wraps `call`."""
        ...


def untimed(_stage: str, call: Callable[..., T], /) -> Callable[..., T]:
    """The StageTimer of a worker that measures no stages: the call itself, at no cost."""
    return call
