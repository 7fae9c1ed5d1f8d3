"""The program of a process of hollow workers. It is run by its path, also on the parts of another tree.

`PYTHONPATH` names the tree whose workers are run. The laboratory's own modules are those beside this file, so
that the same harness measures both trees.
"""

from pathlib import Path

import ochrehoist.lab

LAB_DIRECTORY = Path(__file__).resolve().parent.parent


def main() -> None:
    """Serves the commands of the parent process until its input, its time or its parent ends."""
    ochrehoist.lab.__path__.insert(0, str(LAB_DIRECTORY))
    from ochrehoist.lab.hollow.process import run_from_standard_input

    run_from_standard_input()


if __name__ == "__main__":
    main()
