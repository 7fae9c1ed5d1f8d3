"""How one point is measured: in a child process, by processor time, bytes or counts."""

import gc
import os
import pickle
import statistics
import time
from collections.abc import Callable
from typing import TypeVar

from benchmarks.scaling.probe import Measures
from benchmarks.shared.process_usage import resident_bytes
from benchmarks.shared.samples import US_PER_S

# Repeats of one call: until they took so much processor time, but no fewer and no more than these.
ENOUGH_CPU_S = 0.12
FEWEST_REPEATS, MOST_REPEATS = 5, 400
ROUNDS_OF_SHORT_CALLS = 3

Made = TypeVar("Made")


def cpu_us(call: Callable[[], object]) -> float:
    """Processor time of one call in us."""
    began_s = time.thread_time()
    call()
    return (time.thread_time() - began_s) * US_PER_S


def median_cpu_us(call: Callable[[], object]) -> float:
    """Processor time of one call in us: the median of many."""
    times_us: list[float] = []
    gc.collect()
    while len(times_us) < FEWEST_REPEATS or (
        sum(times_us) < ENOUGH_CPU_S * US_PER_S and len(times_us) < MOST_REPEATS
    ):
        times_us.append(cpu_us(call))
    return statistics.median(times_us)


def short_call_cpu_us(call: Callable[[], object], count: int) -> float:
    """The same of a call too short to be timed alone: the mean of so many, the best of three rounds."""

    def all_calls() -> None:
        for _ in range(count):
            call()

    return min(cpu_us(all_calls) for _ in range(ROUNDS_OF_SHORT_CALLS)) / count


def with_memory_growth(make: Callable[[], Made]) -> tuple[Made, int]:
    """What was made, and the bytes by which this process grew; the caller must keep what was made."""
    gc.collect()
    before = resident_bytes()
    made = make()
    gc.collect()
    return made, max(0, resident_bytes() - before)


def in_child_process(measure: Callable[[], Measures]) -> Measures:
    """What a call gives in a child process; RuntimeError where it fails there."""
    reader, writer = os.pipe()
    pid = os.fork()
    if not pid:
        os.close(reader)
        _send_result(measure, writer)
    os.close(writer)
    with os.fdopen(reader, "rb") as source:
        data = source.read()
    os.waitpid(pid, 0)
    result: object = pickle.loads(data) if data else "the child process ended without a result"
    if not isinstance(result, dict):
        raise RuntimeError(str(result))  # noqa: TRY004 - the failure of the child, not of a type
    return result


def _send_result(measure: Callable[[], Measures], writer: int) -> None:
    """Send the result, or the error as text, and end this process."""
    try:
        result: object = measure()
    except BaseException as error:
        result = f"{type(error).__name__}: {error}"
    with os.fdopen(writer, "wb") as out:
        pickle.dump(result, out)
    os._exit(0)
