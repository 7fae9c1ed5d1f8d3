"""A wrong wall clock for one process: the laboratory's, not a switch of the program."""

import struct
from pathlib import Path

# Python imports this in a child before the program; it has the file of the shift mapped.
SITE_CUSTOMIZE = """
import mmap, struct, time
_file = open({path!r}, "r+b")
_map, _time, _time_ns = mmap.mmap(_file.fileno(), 8), time.time, time.time_ns
def _shift():
    return struct.unpack("d", _map[:8])[0]
time.time = lambda: _time() + _shift()
time.time_ns = lambda: _time_ns() + int(_shift() * 1e9)
"""


class ClockShift:
    """By how much the clock of a process is wrong; it can change while the process runs."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._shift_file = folder / "shift"

    def install(self, shift_s: float) -> Path:
        """Writes what a process needs; returns the folder that is to be on its `PYTHONPATH`."""
        self._folder.mkdir(exist_ok=True)
        self.set(shift_s)
        program = SITE_CUSTOMIZE.format(path=str(self._shift_file))
        (self._folder / "sitecustomize.py").write_text(program)
        return self._folder

    def set(self, shift_s: float) -> None:
        """The clock is wrong by so much, now and from now on."""
        # Written in place: the process has it mapped.
        with self._shift_file.open("r+b" if self._shift_file.exists() else "wb") as file:
            file.write(struct.pack("d", shift_s))
