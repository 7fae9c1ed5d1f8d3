"""Requests whose id another client copies: an id is chosen by the caller, and names no request for good."""

import unittest
from collections.abc import Callable

from tests.stand_ins.sockets import RecordingSocket, connection_end
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.worker_cases import WorkerTestCase


def send_in_one_write(router: ThriftRouter, send: Callable[[], None]) -> None:
    """Sends at once what `send` sends on this connection, so that the worker reads all of it in one turn."""
    recorded: list[bytes] = []
    real_socket, router.sock = router.sock, RecordingSocket(recorded)
    send()
    router.sock = real_socket
    router.sock.sendall(b"".join(recorded))


class CopiedIdTest(WorkerTestCase):
    """A client that uses the id of an open request of another client."""

    def setUp(self):
        self.program = self.start()
        self.router, self.bad_router = self.program.thrift_router(), self.program.thrift_router()
        self.sequence_id = self.router.invoke(body=b"first")
        self.run_id = self.program.kernel.next_run().request_id

    def assert_first_request_is_answered(self):
        self.program.thrift_router().ping()
        self.program.kernel.reap(self.run_id, body=b"served")
        self.assertEqual(self.router.answer(self.sequence_id), ("Answer", {}, b"served"))

    def test_the_abort_of_a_copy_of_an_open_id_leaves_the_first_request_open(self):
        # Guards against a lost request: the abort named only the id, which both requests have.
        def send():
            self.bad_router.abort(self.bad_router.invoke(body=b"copy", rid=self.run_id))

        send_in_one_write(self.bad_router, send)
        self.assert_first_request_is_answered()

    def test_the_end_of_a_connection_with_a_copy_of_an_open_id_leaves_the_first_request_open(self):
        # Guards against a lost request: the end of a connection named only the ids of its requests.
        def send():
            self.bad_router.invoke(body=b"copy", rid=self.run_id)
            self.bad_router.sequence_id -= 1
            self.bad_router.invoke(body=b"under the same sequence id")

        send_in_one_write(self.bad_router, send)
        self.assertIn(connection_end(self.bad_router.sock), ("closed", "reset"))
        self.assert_first_request_is_answered()


class ReusedSequenceIdTest(WorkerTestCase):
    """A router that uses the sequence id of an aborted call again."""

    def test_the_answer_of_an_aborted_call_is_not_sent_to_the_next_call_of_its_sequence_id(self):
        # Guards against a wrong answer to a request that runs: answers named calls by sequence ids alone.
        program = self.start()
        router = program.thrift_router()
        program.serve_one(router)

        def send():
            aborted = router.invoke(
                t0="1"
            )  # long overdue: the core fails it at once, before it reads the abort
            router.abort(aborted)
            router.sequence_id = aborted - 1
            router.invoke(body=b"second")

        send_in_one_write(router, send)
        run = program.kernel.next_run()
        self.assertEqual(run.body, b"second")
        program.kernel.reap(run.request_id, body=b"served")
        self.assertEqual(router.answer(router.sequence_id), ("Answer", {}, b"served"))


class CopiedIdInReplacementTest(WorkerTestCase):
    """A client of a replaced process that uses the id of an open request of the new process."""

    def test_a_copy_aborted_at_the_replaced_process_leaves_the_request_of_the_new_one_open(self):
        # Guards against a lost request: the replaced process forwarded the abort by the id alone.
        old = self.start(passed=True)
        bad_router = old.thrift_router()
        bad_router.ping()
        new = self.start(before=old).wait_until_took_over()
        router = ThriftRouter(new.addresses["ThriftFront"])
        sequence_id = router.invoke(body=b"first")
        run_id = new.kernel.next_run().request_id
        send_in_one_write(bad_router, lambda: bad_router.abort(bad_router.invoke(rid=run_id)))
        self.assertEqual(bad_router.call(rid=run_id)[0], "Broken")  # the abort before it was forwarded too
        new.kernel.reap(run_id, body=b"served")
        self.assertEqual(router.answer(sequence_id), ("Answer", {}, b"served"))


SHORT_UNKNOWN_OUTCOME = """
from ochrehoist.net import kernel_link
kernel_link.UNKNOWN_OUTCOME_TIMEOUT_S = 0.3
"""


class GivenUpRunTest(WorkerTestCase):
    """A client that uses the id of a filing whose outcome stayed unknown after the loss of a link."""

    def test_the_end_of_a_given_up_run_is_not_that_of_a_later_request_of_its_id(self):
        # Guards against another filing's result: the kernel's notices name runs by their ids alone.
        program = self.start(fault=SHORT_UNKNOWN_OUTCOME)
        kernel, router = program.kernel, program.thrift_router()
        kernel.runnable = 1.0  # the filing may run, so it is not proved lost
        first = router.invoke("filing", b"first", token="first")
        run_id = kernel.next_run().request_id
        kernel.drop_connections()
        self.assertEqual(router.answer(first)[0], "Broken")
        second = router.invoke("filing", b"second", token="second", rid=run_id)
        self.assertEqual(router.answer(second)[0], "Broken")
        self.assertTrue(kernel.scheduled.empty())
        kernel.reap(run_id, body=b"of the first")
        program.wait_for(lambda status: f"'notices': {len(kernel.notices)}" in status["kernel"])
        third = router.invoke("filing", b"third", token="third", rid=run_id)
        self.assertEqual(kernel.next_run().body, b"third")
        kernel.reap(run_id, body=b"of the third")
        self.assertEqual(router.answer(third), ("Answer", {}, b"of the third"))


if __name__ == "__main__":
    unittest.main()
