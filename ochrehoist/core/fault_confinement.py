"""Confines an exception to the message, timer or record that caused it, so that the core does the rest."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, ParamSpec, TypeVar

if TYPE_CHECKING:
    from ochrehoist.core.protocols import Logger

P = ParamSpec("P")
T = TypeVar("T")


class Fault(StrEnum):
    """The kinds of faults; the values are the names of their log events."""

    MESSAGE = "core_fault"
    CONTROLLER = "controller_fault"
    ACTION = "action_fault"
    DUE_WORK = "due_work_fault"


class FaultConfinement:
    """Logs and counts the faults of a core.

    Attributes:
        counts: The number of faults since the start of the process, by kind.
    """

    def __init__(self, log: Logger) -> None:
        self._log = log
        self.counts: Counter[Fault] = Counter()

    def record(self, fault: Fault, **fields: object) -> None:
        """Logs the exception that is being handled with its traceback, and counts it."""
        self.counts[fault] += 1
        self._log.exception(str(fault), **fields)

    def call(self, work: str, function: Callable[P, object], *args: P.args, **kwargs: P.kwargs) -> bool:
        """Calls a function that does a part of the work, named `work`; an exception ends only this part.

        Returns whether there was none.
        """
        try:
            function(*args, **kwargs)
        except Exception:
            self.record(Fault.DUE_WORK, work=work)
            return False
        return True

    def result(self, work: str, default: T, function: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Like `call`, but returns the function's result, or `default` after an exception."""
        try:
            return function(*args, **kwargs)
        except Exception:
            self.record(Fault.DUE_WORK, work=work)
            return default
