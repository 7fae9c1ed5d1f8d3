"""Measures the wall time spent in each stage of request handling, excluding nested stages."""

from collections.abc import Callable
from time import perf_counter
from typing import Any, TypeVar

T = TypeVar("T")


class StageTimings:
    """Exclusive wall time (s) by stage: time in nested stages counts only for the innermost stage."""

    def __init__(self) -> None:
        self.spent_s: dict[str, float] = {}
        self._nested_s: list[float] = []  # stack of running stages: time spent in their nested stages

    def timed(self, stage: str, call: Callable[..., T]) -> Callable[..., T]:
        """Returns `call` wrapped so that its time is added to `stage`, whether it returns or raises.

        The wrapper accepts only positional arguments, as keyword arguments would cost a dictionary per call.
        """
        self.spent_s.setdefault(stage, 0.0)

        def timed_call(*args: Any) -> T:
            started_s = perf_counter()
            self._nested_s.append(0.0)
            try:
                return call(*args)
            finally:
                elapsed_s = perf_counter() - started_s
                self.spent_s[stage] += elapsed_s - self._nested_s.pop()
                if self._nested_s:
                    self._nested_s[-1] += elapsed_s

        return timed_call
