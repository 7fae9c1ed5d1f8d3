"""Wall time spent in each stage of a request's handling, by exclusive time."""

from collections.abc import Callable
from time import perf_counter
from typing import Any, TypeVar

T = TypeVar("T")


class StageTimings:
    """Seconds by stage; what runs within another stage is taken off that one."""

    def __init__(self) -> None:
        self.spent_s: dict[str, float] = {}
        self._nested_s: list[float] = []  # for each stage that is running, what stages within it took

    def timed(self, stage: str, call: Callable[..., T]) -> Callable[..., T]:
        """`call`, with the time of each of its runs added to `stage`, whether it returns or raises.

        It takes positional arguments alone: keywords would cost each call a dictionary.
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
