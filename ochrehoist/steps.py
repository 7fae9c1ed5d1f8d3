"""Long computations as generators of short steps, between which the event loop can run other tasks."""

import gc
from collections.abc import Generator, Sequence
from typing import TypeVar

ELEMENTS_PER_STEP = 1000

T = TypeVar("T")


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Runs all steps without interruption and returns the generator's result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result


def concatenated_in_steps(
    parts: Sequence[range | list[T]], current: tuple[T, ...]
) -> Generator[None, None, tuple[T, ...]]:
    """Returns all elements of `parts` as one tuple; a range selects elements of `current`.

    If `parts` is a single list, the list is cleared, so that its elements are not held in memory twice.
    """
    elements = _concatenated(parts, current)
    if len(elements) <= ELEMENTS_PER_STEP:
        return tuple(elements)
    yield
    result = tuple(elements)
    elements.clear()
    yield
    # The garbage collector traverses a new tuple in its next collection. Collecting here traverses it once,
    # while the elements are in the CPU caches; later it would be traversed twice and more slowly.
    gc.collect(1)
    yield
    return result


def _concatenated(parts: Sequence[range | list[T]], current: tuple[T, ...]) -> list[T]:
    if len(parts) == 1 and isinstance(parts[0], list):
        return parts[0]
    elements: list[T] = []
    for part in parts:
        elements += current[part.start : part.stop] if isinstance(part, range) else part
    return elements
