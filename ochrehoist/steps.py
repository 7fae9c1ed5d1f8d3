"""Long computations as generators of short steps, so that the event loop gets its turn between them."""

import gc
from collections.abc import Generator, Sequence
from typing import TypeVar

ELEMENTS_PER_STEP = 1000

T = TypeVar("T")


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """The value that `steps` returns, computed without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result


def concatenated_in_steps(
    parts: Sequence[range | list[T]], current: tuple[T, ...]
) -> Generator[None, None, tuple[T, ...]]:
    """All elements of `parts` as one tuple; a range stands for these elements of `current`.

    A sole list is emptied, so that its memory is not held twice.
    """
    elements = _concatenated(parts, current)
    if len(elements) <= ELEMENTS_PER_STEP:
        return tuple(elements)
    yield
    result = tuple(elements)
    elements.clear()
    yield
    # A new tuple is traversed by the first collection after it. Done here it happens once, while the elements
    # are in the processor's caches; later it would happen twice and take longer.
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
