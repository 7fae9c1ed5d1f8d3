"""Clients that are no routers: each gets a refusal, an error or a close in time, and harms nobody."""

import struct
import time
import unittest

from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.sockets import RecordingSocket, connection_end
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.worker_cases import WorkerTestCase

DUE = 3.0  # s from connecting to a word or a close
HEAD = struct.pack(">I", 500) + b"\x80\x01"


class BadClientsTest(WorkerTestCase):
    """Clients that are slow, silent or speak another protocol."""

    def setUp(self):
        self.program = self.start(ajp=True, sockets=160)
        self.kernel = self.program.kernel

    def test_the_silent_the_half_sent_and_those_that_take_all_back_are_closed_in_time(self):
        router, began = self.program.thrift_router(), time.monotonic()
        self.program.serve_one(router)
        self.program.serve_one(router)  # one that asked once would be taken for one that stays for nothing
        bad = [self.program.thrift_router() for _ in range(5)]
        bad[1].sock.sendall(HEAD)
        bad[2].abort(7)
        bad[3].sock.sendall(HEAD[:2])
        bad[4].abort(bad[4].invoke("filing", token="back"))
        self.kernel.reap(self.kernel.next_run().request_id)  # begun before it was taken back
        web = [self.program.ajp_client() for _ in range(2)]
        web[1].sock.sendall(b"\x12\x34\0\x50\2")
        for connection in bad + web:
            self.assertIn(connection_end(connection.sock), ("closed", "reset"))
        self.assertLess(time.monotonic() - began, DUE)
        self.program.serve_one(router)

    def test_the_silent_and_half_sent_do_not_shut_out_routers_of_either_wire(self):
        at, web_at = self.program.addresses["ThriftFront"], self.program.addresses["AjpFront"]
        crowd = [(ThriftRouter(at), AjpClient(web_at)) for _ in range(160)]
        for _ in range(160):
            crowd.append((ThriftRouter(at), AjpClient(web_at)))
            for bad, part in zip(crowd[-1], (HEAD[:2], b"\x12\x34"), strict=True):
                bad.sock.sendall(part)
        router, web = ThriftRouter(at), AjpClient(web_at)
        self.program.serve_one(router)
        web.request()
        self.program.server.next_request().respond(data=b"served")
        self.assertEqual(web.answer()[2], b"served")
        del crowd

    def test_a_valid_request_that_takes_two_seconds_to_arrive_survives_many_idle_connections(self):
        at, keeper = self.program.addresses["ThriftFront"], self.program.thrift_router()
        self.program.serve_one(keeper)
        self.program.serve_one(keeper)
        slow, web = self.program.thrift_router(), self.program.ajp_client()
        whole, parts = [], []
        written = str(time.time_ns() // 1_000_000 + 2200)  # when its last byte is written
        for connection, begin in ((slow, lambda: slow.invoke(body=b"slow", t0=written)), (web, web.request)):
            plain, connection.sock = connection.sock, RecordingSocket(whole)
            begin()
            connection.sock = plain
            parts.append((plain, whole.pop()))
        began, crowd, step, opened = time.monotonic(), [], 0, 0
        while (spent := time.monotonic() - began) < 2.1:
            if spent > opened / 100:  # a hundred pairs a second: the table is full after half of one
                crowd = [*crowd[-300:], ThriftRouter(at), AjpClient(self.program.addresses["AjpFront"])]
                opened += 1
            self.assertEqual(keeper.ping()[0], "Answer")
            if spent > step / 10:  # a piece each tenth of a second
                for sock, data in parts:
                    sock.sendall(data[step * len(data) // 22 : (step + 1) * len(data) // 22])
                step += 1
        for sock, data in parts:
            sock.sendall(data[step * len(data) // 22 :])
        self.kernel.reap(self.kernel.next_run().request_id, body=b"came at last")
        self.assertEqual(slow.answer(1)[2], b"came at last")
        self.program.server.next_request().respond(data=b"came too")
        self.assertEqual(web.answer()[2], b"came too")

    def test_one_that_was_never_served_is_read_slowly(self):
        flood, began = self.program.thrift_router(), time.monotonic()
        numbers = [flood.send("fly", b"\0") for _ in range(200)]
        self.assertEqual({flood.answer(n)[0] for n in numbers}, {"Exception"})
        web, asked = self.program.ajp_client(), time.monotonic()
        self.assertEqual({web.call(uri="/nowhere")[0] for _ in range(200)}, {404})
        for start in (began, asked):
            self.assertGreater(time.monotonic() - start, 0.9)  # a hundred at once, then a hundred a second

    def test_a_key_with_another_body_is_never_served(self):
        router, bad = self.program.thrift_router(), self.program.thrift_router()
        open_ = router.invoke("filing", b"doc", token="key")
        rid = self.kernel.next_run().request_id
        self.assertEqual(bad.call("filing", b"other", token="key")[0], "Broken")
        self.kernel.reap(rid, body=b"filed")
        self.assertEqual(router.answer(open_)[2], b"filed")
        self.assertEqual(bad.call("filing", b"other", token="key")[0], "Broken")
        web = self.program.ajp_client()
        self.assertEqual(
            web.call("POST", "/filings", {"Idempotency-Key": "key", "X-Tenant": "acme"}, b"other")[0], 422
        )
        self.assertEqual(bad.call("filing", b"doc", token="key")[2], b"filed")

    def test_a_length_that_no_request_has_ends_its_connection_before_more_is_read(self):
        began = time.monotonic()
        for length in (20_000, 60_000_000, 1 << 31):
            bad = self.program.thrift_router()
            bad.sock.sendall(struct.pack(">I", length) + HEAD)
            self.assertIn(connection_end(bad.sock), ("closed", "reset"))
        self.assertLess(time.monotonic() - began, 1.0)

    def test_a_number_in_use_ends_its_connection_and_frees_what_it_held(self):
        bad, router = self.program.thrift_router(), self.program.thrift_router()
        bad.invoke()
        rid = self.kernel.next_run().request_id
        bad.sequence_id -= 1
        bad.invoke()
        self.assertIn(connection_end(bad.sock), ("closed", "reset"))
        self.kernel.reap(rid)
        self.program.serve_one(router)

    def test_a_filing_that_never_reached_the_kernel_leaves_its_key_free(self):
        bad, router = self.program.thrift_router(), self.program.thrift_router()
        seqid = bad.invoke("filing", b"invented", token="key")
        self.kernel.reject(self.kernel.next_run().request_id)
        self.assertEqual(bad.answer(seqid)[0], "Broken")
        self.program.serve_one(router, method="filing", token="key")

    def test_figures_out_of_range(self):
        bad, router = self.program.thrift_router(), self.program.thrift_router()
        for fields in ({"mem": "0"}, {"mem": "2000"}, {"mem": "-1"}, {"est": "inf"}, {"body": b"x" * 2049}):
            self.assertEqual(bad.call(**fields)[0], "Exception")
        self.assertEqual(bad.call(t0="1")[0], "Broken")  # its caller gave up long ago
        self.assertEqual(self.program.logged("overdue_request_failed"), [])  # the module never heard of it
        self.program.serve_one(router)


if __name__ == "__main__":
    unittest.main()
