"""The operators' address: its calls, what they do to the worker, and the figures, as a peer counts them."""

import signal
import socket
import time
import unittest

from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.environment import WAIT_LIMIT_S
from tests.support.worker_cases import RunningWorkerTestCase, WorkerTestCase


class OperatorTestCase(RunningWorkerTestCase):
    """Calls of the operators' address."""

    def raw(self, data, pieces=False):
        """The status line of what is answered to these bytes, sent at once or one by one."""
        with socket.create_connection(
            tuple(self.program.addresses["Operators"]), timeout=WAIT_LIMIT_S
        ) as sock:
            for piece in (data[n : n + 1] for n in range(len(data))) if pieces else (data,):
                sock.sendall(piece)
            return sock.makefile("rb").readline().decode().split(" ")[1]


class OperatorCallsTest(OperatorTestCase):
    """Which calls there are, and clients that are slow or silent."""

    def test_each_call_and_what_is_none(self):
        for method, path, status in (
            ("GET", "/status", 200),
            ("GET", "/status?host=n1", 200),
            ("GET", "/status/metrics", 200),
            ("HEAD", "/status", 200),
            ("POST", "/standby", 200),
            ("GET", "/status", 503),
            ("POST", "/active", 200),
            ("GET", "/status", 200),
            ("GET", "/standby", 405),
            ("POST", "/status", 405),
            ("DELETE", "/active", 405),
            ("GET", "/", 404),
            ("POST", "/drain", 404),
        ):
            with self.subTest(method=method, path=path):
                self.assertEqual(self.program.operator_call(method, path)[0], status)
        for call in (
            b"hello\r\n\r\n",
            b"\x16\x03\x01\x00",
            b"GET /status\r\n\r\n",
            b"GET status HTTP/1.1\r\n\r\n",
            b"FLY /status HTTP/1.1\r\n\r\n",
            b"GET /status HTTP/1.1\r\nno colon\r\n\r\n",
            b"POST /standby HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST /standby HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        ):
            with self.subTest(call):
                self.assertEqual(self.raw(call), "400")
        long = b"POST /active HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
        self.assertEqual(self.raw(long), "413")
        self.assertEqual(self.raw(b"GET /" + b"x" * 9000), "431")
        whole = b"POST /standby HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
        self.assertEqual(self.raw(whole, pieces=True), "200")
        self.assertEqual(self.program.operator_call()[0], 503)

    def test_the_silent_and_half_sent_keep_no_one_out(self):
        at, held = tuple(self.program.addresses["Operators"]), []
        for number in range(40):
            held.append(socket.create_connection(at))
            held[-1].sendall(b"GET /status HTT" if number % 2 else b"")
        began = time.monotonic()
        self.assertEqual(self.program.operator_call()[0], 200)
        self.assertLess(time.monotonic() - began, 1.0)
        for sock in held:
            sock.settimeout(WAIT_LIMIT_S)
            self.assertEqual(sock.recv(100), b"")
            sock.close()


class StandbyTest(OperatorTestCase):
    """A worker on standby."""

    def test_checks_and_reports_turn_bad_at_once_and_good_again_while_requests_are_decided_as_ever(self):
        check, router = self.program.thrift_router(), self.program.thrift_router()
        self.program.members.wait_for("UP")
        self.assertTrue(check.ping()[1] == {} and check.good)
        for _ in range(2):
            self.assertEqual(self.program.operator_call("POST", "/standby")[0], 200)
        self.program.members.wait_for("OUT")
        check.ping()
        self.assertFalse(check.good)
        self.program.serve_one(router)
        self.program.serve_one(router, method="filing", token="t")
        for _ in range(2):
            self.assertEqual(self.program.operator_call("POST", "/active")[0], 200)
        self.program.members.wait_for("UP")
        check.ping()
        self.assertTrue(check.good)
        changes = self.program.logged("standby_changed")
        self.assertEqual([line["enabled"] for line in changes], [True, False])

    def test_a_worker_on_standby_drains_on_the_shutdown_notice_and_active_does_not_undo_it(self):
        self.program.operator_call("POST", "/standby")
        router = self.program.thrift_router()
        seqid = router.invoke(body=b"last")
        rid = self.kernel.next_run().request_id
        self.program.process.send_signal(signal.SIGTERM)
        self.program.wait_for(lambda status: status["state"] == "leaving")
        self.program.operator_call("POST", "/active")
        router.ping()
        self.assertFalse(router.good)
        self.kernel.reap(rid, body=b"answered")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"answered"))
        router.close()
        self.assertEqual(self.program.wait_for_exit(), 0)


class MetricsTest(OperatorTestCase):
    """What the metrics count."""

    def test_every_counter_starts_at_0_and_each_request_counts_once_as_it_was_answered(self):
        counters = ("answered_total", "deferred_total", "errored_total", "sends_total")

        def figures():
            return {
                (name, group): self.program.metric(name, group)
                for name in counters
                for group in ("read", "filing")
            }

        self.assertEqual(set(figures().values()), {0})
        for name in ("current", "conf_loaded_total", "conf_invalid_total"):
            self.assertEqual(self.program.metric(name), 0)
        router, other = self.program.thrift_router(), self.program.thrift_router()
        self.program.serve_one(router)
        self.program.serve_one(router, method="filing", token="t")
        self.assertEqual(router.call("filing", b"doc", token="t", again="1")[0], "Answer")  # not run again
        self.assertEqual(router.call("filing", b"other", token="t")[0], "Broken")
        self.assertEqual(router.call(t0="1")[0], "Broken")  # too late
        self.assertEqual(router.call(mem="x")[0], "Exception")  # answered by the front itself
        failing = router.invoke()
        self.kernel.reap(self.kernel.next_run().request_id, "ERROR")
        self.assertEqual(router.answer(failing)[0], "Broken")
        running = router.invoke()
        rid = self.kernel.next_run().request_id
        twice = other.invoke(rid=rid)
        self.assertEqual(other.answer(twice)[0], "Broken")
        self.assertEqual(self.program.metric("current"), 1)
        self.kernel.reap(rid)
        self.assertEqual(router.answer(running)[0], "Answer")
        crowd = [other.invoke() for _ in range(30)]  # some are refused, some begun and never ended
        kinds = [other.answer(number)[0] for number in crowd]
        refused, failed = kinds.count("Throttled"), kinds.count("Broken")
        begun = self.kernel.scheduled.qsize()
        self.assertTrue(refused and failed and refused + failed == 30)
        now = figures()
        self.assertEqual(now["answered_total", "read"], 2)
        self.assertEqual(now["deferred_total", "read"], refused)
        self.assertEqual(now["errored_total", "read"], 4 + failed)
        self.assertEqual(now["sends_total", "read"], 3 + begun)
        self.assertEqual([now[name, "filing"] for name in counters], [2, 0, 1, 1])
        self.assertEqual(self.program.metric("current"), 0)


class KernelNotUpTest(WorkerTestCase):
    """A worker whose kernel is not up."""

    def test_a_worker_whose_kernel_is_not_up_is_not_ready_and_counts_its_rejections(self):
        program = self.start(boot=False)
        self.assertEqual(program.operator_call()[0], 503)
        self.assertEqual(ThriftRouter(program.addresses["ThriftFront"]).call()[0], "Throttled")
        self.assertEqual(program.metric("deferred_total", "read"), 1)


if __name__ == "__main__":
    unittest.main()
