"""Reading configuration files step by step, in the process of the tree that is measured."""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from benchmarks.configuration.loading_kinds import FileKind, file_name
from benchmarks.shared.process_usage import memory_usage, reset_peak_memory
from benchmarks.shared.samples import MS_PER_S
from benchmarks.shared.tree_process import Figures, Task, import_any


def measure(task: Task) -> Figures:
    """Read the first file, then each change of it, in the folder of the task.

    `task`: `folder` and `suffix` of the files. Figures by kind: `cpu_s`, `longest_step_ms`, `resident_mb` and
    `peak_mb`, with the first configuration held beside the changed one.
    """
    folder, suffix = Path(task["folder"]), task["suffix"]
    reader = _ConfigReader()
    reader.read(folder / file_name(FileKind.WARMUP, suffix), None)  # loads what a worker has loaded by then
    figures, first = {}, None
    for kind in FileKind:
        if kind is FileKind.WARMUP:
            continue
        reset_peak_memory()
        began_s = time.process_time()
        config, longest_step_s = reader.read(folder / file_name(kind, suffix), first)
        cpu_s = time.process_time() - began_s
        memory = memory_usage()
        first = first or config
        figures[kind.value] = {
            "cpu_s": cpu_s,
            "longest_step_ms": longest_step_s * MS_PER_S,
            "resident_mb": memory.resident_mb,
            "peak_mb": memory.peak_mb,
        }
    return figures


class _ConfigReader:
    """Reads a configuration in steps, or at once where the tree can't do it in steps."""

    def __init__(self) -> None:
        self._load_in_steps: Callable[..., Iterator[None]] | None
        try:
            self._load_in_steps = import_any(
                "ochrehoist.config.loader:load_in_steps", "ochrehoist.config:load_in_steps"
            )
        except ImportError:
            self._load_in_steps = None
        self._load = import_any("ochrehoist.config.loader:load", "ochrehoist.config:load")

    def read(self, path: Path, before: Any) -> tuple[Any, float]:
        """The configuration, and processor time of the longest step in seconds."""
        if self._load_in_steps is None:
            began_s = time.process_time()
            return self._load(str(path), {}), time.process_time() - began_s
        steps, longest_step_s = self._load_in_steps(str(path), {}, before), 0.0
        while True:
            began_s = time.thread_time()
            try:
                next(steps)
            except StopIteration as end:
                return end.value, max(longest_step_s, time.thread_time() - began_s)
            longest_step_s = max(longest_step_s, time.thread_time() - began_s)
