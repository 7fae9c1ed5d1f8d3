"""A worker that serves both protocols at once."""

import json
import signal
import threading
import time
from typing import Any, ClassVar

from tests.net.ajp_case import AjpTestCase
from tests.stand_ins.sockets import ByteAtATimeSocket
from tests.support.environment import DUE_WITHIN_S


class BothFrontsTest(AjpTestCase):
    """Requests of both protocols to one core, which run on the kernel or on an AJP server."""

    options: ClassVar[dict[str, Any]] = {"thrift": True, "ajp": True}
    key_headers: ClassVar[dict[str, Any]] = {"Idempotency-Key": "f1", "X-Tenant": "acme"}

    def test_all_messages_may_arrive_one_byte_at_a_time(self):
        router, client, membership = (
            self.program.thrift_router(),
            self.program.ajp_client(),
            self.program.members,
        )
        router.sock, client.sock = ByteAtATimeSocket(router.sock), ByteAtATimeSocket(client.sock)
        for number in range(2):
            seqid = router.invoke("filing", b"doc", token=f"t{number}")
            self.kernel.notice(cmd="DMESG", result="a remark")
            self.kernel.reap(self.kernel.next_run().request_id, body=b"filed", send=False)
            for byte in json.dumps(self.kernel.notices[-1]).encode() + b"\n":
                self.kernel.send_raw(bytes((byte,)))
            self.assertEqual(router.answer(seqid), ("Answer", {}, b"filed"))
            client.request("POST", "/reads/1", body=b"body")
            _, body, respond = self.server.next_request()
            self.assertEqual(body, b"body")
            respond(data=b"page", sock=ByteAtATimeSocket(self.server.connections[-1]))
            self.assertEqual(client.answer()[::2], (200, b"page"))
            membership.wait_for("UP")  # its answer arrives byte by byte too
        self.assertEqual(self.program.logged("kernel_link_lost"), [])
        self.assertEqual(
            [line["accepted"] for line in self.program.logged("membership_reports_changed")], [True]
        )

    def test_a_filing_that_ran_for_thrift_answers_its_retries_on_ajp(self):
        router, client = self.program.thrift_router(), self.program.ajp_client()
        filing_id = router.invoke("filing", b"doc", token="f1")
        run_id = self.kernel.next_run().request_id
        client.request("POST", "/filings", self.key_headers, b"doc")
        self.program.wait_for(lambda status: status["in_hand"] == "2")
        self.kernel.reap(run_id, body=b"filed")
        self.assertEqual(router.answer(filing_id), ("Answer", {}, b"filed"))
        self.assertEqual(client.answer()[::2], (200, b"filed"))
        self.assertEqual(client.call("POST", "/filings", self.key_headers, b"doc")[::2], (200, b"filed"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_a_filing_that_ran_for_ajp_answers_its_retries_on_thrift(self):
        router, client = self.program.thrift_router(), self.program.ajp_client()
        client.request("POST", "/filings", self.key_headers, b"doc")
        respond = self.server.next_request().respond
        retry_id = router.invoke("filing", b"doc", token="f1", again="1")
        router.ping()
        respond(201, b"filed")
        self.assertEqual(client.answer()[::2], (201, b"filed"))
        self.assertEqual(router.answer(retry_id), ("Answer", {}, b"filed"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_a_filing_that_the_server_rejects_is_broken_on_thrift(self):
        router, client = self.program.thrift_router(), self.program.ajp_client()
        client.request("POST", "/filings", self.key_headers, b"doc")
        self.server.next_request().respond(409, b"no")
        self.assertEqual(client.answer()[::2], (409, b"no"))
        self.assertEqual(router.call("filing", b"doc", token="f1", again="1")[0], "Broken")
        self.assertEqual(client.call("POST", "/filings", self.key_headers, b"doc")[::2], (409, b"no"))
        self.assertTrue(self.server.received.empty() and self.kernel.scheduled.empty())

    def test_the_same_key_of_another_tenant_is_another_filing(self):
        router, client = self.program.thrift_router(), self.program.ajp_client()
        filing_id = router.invoke("filing", b"doc", token="f1")
        self.kernel.reap(self.kernel.next_run().request_id, body=b"acme's")
        self.assertEqual(router.answer(filing_id)[2], b"acme's")
        client.request("POST", "/filings", {"Idempotency-Key": "f1"}, b"doc")
        self.server.next_request().respond(200, b"another's")
        self.assertEqual(client.answer()[2], b"another's")

    def test_mixed_load_runs_each_filing_once_and_is_answered_at_shutdown(self):  # noqa: C901, PLR0915
        """Covers one history: requests of both protocols, a cut body, and a shutdown with open requests."""
        kernel_bodies, server_bodies = [], []

        def run_kernel():  # like `run_server`, completes runs until the body "last"; later runs stay open
            body = None
            while body != b"last":
                run_id, _, body = self.kernel.next_run()
                kernel_bodies.append(body)
                self.kernel.reap(run_id, body=b"kernel " + body)

        def run_server():
            body = None
            while body != b"last":
                _, body, respond = self.server.next_request()
                server_bodies.append(body)
                respond(200, b"server " + body)

        threads = [threading.Thread(target=run_executor) for run_executor in (run_kernel, run_server)]
        for thread in threads:
            thread.start()
        router, client, cut_client = (
            self.program.thrift_router(),
            self.program.ajp_client(),
            self.program.ajp_client(),
        )
        cut_client.forward("POST", "/filings", {"Idempotency-Key": "cut", "X-Tenant": "acme"}, length=9000)
        cut_client.chunk(b"half")
        cut_client.requested_chunk_bytes()
        cut_client.close()
        for n in range(24):  # each filing is sent by both protocols; which one is first alternates
            is_filing, body = n % 2, b"%d" % n
            seqid, key = None, {"Idempotency-Key": f"t{n}", "X-Tenant": "acme"}
            filing_fields = {"method": "filing", "token": f"t{n}"} if is_filing else {}
            if n % 4 < 2:
                seqid = router.invoke(body=body, **filing_fields)
                router.ping()
            client.request("POST", "/filings" if is_filing else "/reads/1", key if is_filing else {}, body)
            seqid = seqid or router.invoke(body=body, **filing_fields)
            (kind, _, thrift_result), (status, _, ajp_result) = router.answer(seqid), client.answer()
            self.assertEqual((kind, status), ("Answer", 200))
            if is_filing:  # it ran once, and both clients get its result
                self.assertEqual(thrift_result, ajp_result)
                self.assertIn(ajp_result, (b"kernel " + body, b"server " + body))
            else:
                self.assertEqual((thrift_result, ajp_result), (b"kernel " + body, b"server " + body))
        filings_run = [body for body in kernel_bodies + server_bodies if int(body) % 2]
        self.assertEqual(sorted(filings_run), sorted(b"%d" % n for n in range(1, 24, 2)))
        last_id = router.invoke(body=b"last")
        self.assertEqual(router.answer(last_id)[2], b"kernel last")
        self.assertEqual(client.call("POST", "/reads/1", body=b"last")[2], b"server last")
        for thread in threads:
            thread.join()
        # The shutdown notice arrives while requests of both fronts are running and queued.
        clients = [self.program.ajp_client() for _ in range(6)]
        open_ids = [router.invoke(body=b"%d" % n) for n in range(6)]
        for client in clients:
            client.request()
        self.program.wait_for(lambda status: status["in_hand"] == "12")
        started_s = time.time()
        self.program.process.send_signal(signal.SIGTERM)
        self.assertLessEqual({router.answer(seqid)[0] for seqid in open_ids}, {"Throttled", "Broken"})
        self.assertLessEqual({client.answer()[0] for client in clients}, {503, 504})
        self.assertLess(time.time() - started_s, DUE_WITHIN_S)
        router.farewell()
        self.assertEqual(self.program.wait_for_exit(), 0)
        self.assertNotIn(b"half", b"".join(kernel_bodies + server_bodies))
