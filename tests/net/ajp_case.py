"""A test case of a worker that serves AJP alone."""

from tests.support.worker_cases import RunningWorkerTestCase


class AjpCase(RunningWorkerTestCase):
    options = {"thrift": False, "ajp": True}

    def setUp(self):
        super().setUp()
        self.server = self.program.server
