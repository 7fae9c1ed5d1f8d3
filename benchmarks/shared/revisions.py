"""An earlier revision of this repository, checked out beside it for as long as a comparison takes."""

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
BEFORE = "before"
NOW = "now"


@dataclass(frozen=True)
class Tree:
    """A source tree under comparison: `name` is `BEFORE`, `NOW` or the user's own."""

    name: str
    root: Path


@contextmanager
def checked_out(revision: str) -> Iterator[Path]:
    """A git worktree of `revision` in a temporary folder; CalledProcessError where there is no such one."""
    with tempfile.TemporaryDirectory() as folder:
        worktree = Path(folder, "earlier")
        subprocess.run(
            ["git", "worktree", "add", "-q", "--detach", str(worktree), revision], cwd=ROOT, check=True
        )
        try:
            yield worktree
        finally:
            subprocess.run(["git", "worktree", "remove", "--force", str(worktree)], cwd=ROOT, check=True)


@contextmanager
def before_and_now(revision: str) -> Iterator[tuple[Tree, Tree]]:
    """The tree of `revision` and this one, in the order in which they are measured."""
    with checked_out(revision) as earlier:
        yield Tree(BEFORE, earlier), Tree(NOW, ROOT)
