"""How one point is measured: in a process of its own, by processor time, bytes or counts."""

import gc
import os
import pickle
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

Measures = dict[str, float]
TICK = 1 / os.sysconf("SC_CLK_TCK")
ENOUGH_S, FEWEST, MOST = 0.12, 5, 400  # processor time of the repeats of one point, and how many


@dataclass(frozen=True)
class Bound:
    """`most` of a measure is what the goal allows; `why` in a few words."""

    measure: str
    most: float
    why: str


@dataclass(frozen=True)
class Probe:
    """One slope: `measure` gives the figures at a size with a seed. `goal`: the size that is coming."""

    name: str
    grows_with: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], Measures]
    goal: float
    bounds: tuple[Bound, ...] = ()
    real: bool = False  # starts the real program


def cpu_us(call: Callable[[], object]) -> float:
    """Microseconds of processor time of one call: the middle of many."""
    took, spent = [], 0.0
    gc.collect()
    while len(took) < FEWEST or (spent < ENOUGH_S and len(took) < MOST):
        began = time.thread_time()
        call()
        took.append(time.thread_time() - began)
        spent += took[-1]
    return statistics.median(took) * 1e6


def each_us(call: Callable[[], object], count: int) -> float:
    """The same where one call is too short to be timed by itself: the mean of so many, the best of three."""
    best = float("inf")
    for _ in range(3):
        began = time.thread_time()
        for _ in range(count):
            call()
        best = min(best, time.thread_time() - began)
    return best / count * 1e6


def resident(pid: int | str = "self") -> int:
    """Bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def used(pid: int) -> float:
    """Seconds of processor time of another process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * TICK


def grown(make: Callable[[], object]) -> tuple[object, int]:
    """What was made, and the bytes by which this process grew; what is made must be kept by the caller."""
    gc.collect()
    before = resident()
    made = make()
    gc.collect()
    return made, max(0, resident() - before)


def apart(call: Callable[[], Measures]) -> Measures:
    """The figures of a call that is made in a process of its own; RuntimeError where it fails."""
    reader, writer = os.pipe()
    pid = os.fork()
    if not pid:
        os.close(reader)
        try:
            result: object = call()
        except BaseException as error:  # told to the parent, which raises it
            result = f"{type(error).__name__}: {error}"
        with os.fdopen(writer, "wb") as out:
            pickle.dump(result, out)
        os._exit(0)
    os.close(writer)
    with os.fdopen(reader, "rb") as source:
        data = source.read()
    os.waitpid(pid, 0)
    result = pickle.loads(data) if data else "it ended without a word"
    if not isinstance(result, dict):
        raise RuntimeError(str(result))
    return result
