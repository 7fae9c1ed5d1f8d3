"""Measurements in a process of their own that imports the program of another tree.

`measure_in_tree` starts this module as a program: it puts the tree first on the module path and calls
`measure` of a module of the benchmarks, which may import nothing of the program before. Names that differ
between trees are found by `import_any`.
"""

import json
import subprocess
import sys
from importlib import import_module
from pathlib import Path
from typing import Any

from benchmarks.shared.revisions import ROOT

Task = dict[str, Any]
Figures = dict[str, Any]


def measure_in_tree(tree: Path, module: str, task: Task) -> Figures:
    """What `measure(task)` of a module gives in a process with the program of `tree`.

    Task and figures cross as JSON. CalledProcessError where the process fails.
    """
    command = [sys.executable, "-m", "benchmarks.shared.tree_process", str(tree), module]
    completed = subprocess.run(
        command, cwd=ROOT, input=json.dumps(task), text=True, stdout=subprocess.PIPE, check=True
    )
    figures: Figures = json.loads(completed.stdout)
    return figures


def import_any(*candidates: str) -> Any:
    """The first of several `module:name` that the measured tree has; ImportError where it has none.

    A module that only this tree has does not count, though an editable installation finds it.
    """
    package_folder = Path(import_module("ochrehoist").__path__[0])
    for candidate in candidates:
        module_name, _, name = candidate.partition(":")
        try:
            module = import_module(module_name)
        except ImportError:
            continue
        if Path(module.__file__ or "").is_relative_to(package_folder) and hasattr(module, name):
            return getattr(module, name)
    message = f"this tree has none of {', '.join(candidates)}"
    raise ImportError(message)


def main(tree: str, module: str) -> None:
    """Serve one `measure_in_tree`."""
    sys.path.insert(0, tree)
    figures = import_module(module).measure(json.load(sys.stdin))
    json.dump(figures, sys.stdout)


if __name__ == "__main__":
    main(*sys.argv[1:])
