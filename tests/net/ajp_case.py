"""A test case of a worker that serves AJP alone."""

from typing import Any, ClassVar

from tests.support.worker_cases import RunningWorkerTestCase


class AjpTestCase(RunningWorkerTestCase):
    """Has a worker that serves AJP, and the server behind it."""

    options: ClassVar[dict[str, Any]] = {"thrift": False, "ajp": True}

    def setUp(self):
        """Starts the worker."""
        super().setUp()
        self.server = self.program.server
