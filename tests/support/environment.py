"""Places, units and time limits that all tests share."""

import os
from pathlib import Path

ROOT = Path(__file__).parents[2]
FIXTURES = ROOT / "tests" / "fixtures"

MS = 1_000_000  # ns
WAIT_LIMIT_S = 30  # after which a wait has failed, on a busy machine too
DUE_WITHIN_S = 1.8 + 3.0  # what is due after 1.8 s, and what a busy machine may take besides

# Where a sync takes no time, if there is such a place: most tests of the store are of order only.
MEMORY_FOLDER = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None
