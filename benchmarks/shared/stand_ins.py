"""The tests' stand-ins for what surrounds a worker, and the worker's process, by their names here.

They are the only code of the tests that benchmarks use, and this module the only one that imports them.
"""

import sys
from typing import Any

from benchmarks.shared.revisions import ROOT

sys.path.append(str(ROOT))  # a benchmark's child process may start elsewhere

from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.ajp_server import AjpServer, InstantServer
from tests.stand_ins.kernel import InstantKernel, Kernel
from tests.stand_ins.moving_kernel import KernelAddress
from tests.stand_ins.thrift_router import ThriftReply, ThriftRouter
from tests.support.crash_load import CrashLoad
from tests.support.site_settings import (
    long_window_settings,
    short_deadline_settings,
    site_settings,
)
from tests.support.worker_process import WorkerProcess

Address = tuple[str, int]
Settings = dict[str, Any]

__all__ = [
    "Address",
    "AjpClient",
    "AjpServer",
    "CrashLoad",
    "InstantKernel",
    "InstantServer",
    "Kernel",
    "KernelAddress",
    "Settings",
    "ThriftReply",
    "ThriftRouter",
    "WorkerProcess",
    "long_window_settings",
    "short_deadline_settings",
    "site_settings",
]
