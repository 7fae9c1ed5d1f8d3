"""Counts what the interpreter executes: the same on any machine, however busy."""

import gc
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_instructions(call: Callable[[], object], unit: str = "opcode") -> int:
    """How many bytecodes, or lines of Python (`unit="line"`), a call executes with all that it calls.

    The garbage collector is off meanwhile: it, and what it calls for libraries, would come in at any time.
    """
    count = 0

    def step(_frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        count += event == unit
        return step

    def enter(frame: FrameType, _event: str, _: Any) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = unit == "opcode", unit == "line"
        return step

    trace_before, collects, callbacks = sys.gettrace(), gc.isenabled(), gc.callbacks[:]
    gc.disable()
    gc.callbacks.clear()
    sys.settrace(enter)
    try:
        call()
    finally:
        sys.settrace(trace_before)
        gc.callbacks[:] = callbacks
        if collects:
            gc.enable()
    return count
