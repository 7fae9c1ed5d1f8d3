"""Places on the way of a filing at which a test may end the process: nothing happens at them otherwise."""

POINTS = ("begin", "commit", "committed", "recorded", "end")


def reached(point: str) -> None:
    """`begin`: it is to go on record; `commit`, `committed`: of a group; `recorded`: it may be run now;
    `end`: it has run, and is not answered."""
