"""Test cases whose tests start the program under test."""

import unittest
from typing import Any, ClassVar

from tests.support.worker_process import WorkerProcess


class WorkerTestCase(unittest.TestCase):
    """Ends with each test the programs that it started."""

    def start(self, **options: Any) -> WorkerProcess:
        """Starts a program, with the arguments of `WorkerProcess`."""
        program = WorkerProcess(**options)
        self.addCleanup(program.close)
        return program


class RunningWorkerTestCase(WorkerTestCase):
    """Has one program, started with `options`, which may log no exception."""

    options: ClassVar[dict[str, Any]] = {}

    def setUp(self) -> None:
        """Starts the program."""
        self.program = self.start(**self.options)
        self.kernel = self.program.kernel

    def tearDown(self) -> None:
        """Looks for exceptions in its log."""
        exceptions = [entry for entry in self.program.log if "exception" in entry]
        self.assertEqual(exceptions, [])
