"""The base class of tests of a worker that serves only AJP."""

from typing import Any, ClassVar

from tests.support.worker_cases import RunningWorkerTestCase


class AjpTestCase(RunningWorkerTestCase):
    """Tests with a worker that serves AJP, and the stand-in of a backend server."""

    options: ClassVar[dict[str, Any]] = {"thrift": False, "ajp": True}

    def setUp(self):
        """Starts the worker and its backend server."""
        super().setUp()
        self.server = self.program.server
