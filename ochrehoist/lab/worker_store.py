"""The folder in which a worker keeps its state, and what happens to it between two processes."""

import asyncio
import shutil
import sys
from pathlib import Path

from ochrehoist.lab.errors import RunAbortedError
from ochrehoist.lab.fault_schedule import StoreChange


class WorkerStore:
    """The store of one worker."""

    def __init__(self, folder: Path, worker: str) -> None:
        self.folder = folder
        self._worker = worker
        self._older_copy = folder.with_suffix(".older")

    async def initialize(self, root: Path) -> None:
        """As operators do before the first start of all: else an empty folder may be one that was lost.

        `root`: the tree whose program is run. Raises RunAbortedError.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ochrehoist",
            "state",
            "init",
            "--folder",
            str(self.folder),
            cwd=root,
            stdout=asyncio.subprocess.DEVNULL,
        )
        if await process.wait():
            raise RunAbortedError.store_not_initialized(self._worker)

    def keep_copy(self) -> None:
        """Copies the store as it is now, to be put back later as an older one."""
        if self.folder.exists():
            shutil.copytree(self.folder, self._older_copy, dirs_exist_ok=True)

    def change(self, change: StoreChange) -> None:
        """Between two processes: the folder is kept, gone, or replaced by the older copy."""
        if change == "kept":
            return
        shutil.rmtree(self.folder, ignore_errors=True)
        if change == "older" and self._older_copy.exists():
            shutil.copytree(self._older_copy, self.folder)
