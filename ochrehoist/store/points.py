"""Places on the way of a filing at which a test may end the process: nothing happens at them otherwise.

`begin`: it is to go on record; `commit`, `committed`: of a group; `recorded`: it may be run now; `end`: it
has run, and is not answered. `open`, `opened`: a folder is taken into use; `release`, `released`: it is let
go.
"""

POINTS = ("begin", "commit", "committed", "recorded", "end")
HANDOVER = ("open", "opened", "release", "released")


def reached(point: str) -> None:
    """Called with one of these."""
