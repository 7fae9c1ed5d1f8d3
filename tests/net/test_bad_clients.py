"""Misbehaving clients: each is rejected or disconnected in time, and other clients are not affected."""

import struct
import time
import unittest

from tests.stand_ins.ajp_client import AjpClient
from tests.stand_ins.sockets import RecordingSocket, connection_end
from tests.stand_ins.thrift_router import ThriftRouter
from tests.support.worker_cases import WorkerTestCase

CLOSE_WITHIN_S = 3.0  # from connecting to the close by the worker
PARTIAL_FRAME = struct.pack(">I", 500) + b"\x80\x01"


class BadClientsTest(WorkerTestCase):
    """Clients that are slow or silent, or send invalid requests."""

    def setUp(self):
        self.program = self.start(ajp=True, sockets=160)
        self.kernel = self.program.kernel

    def test_silent_stalled_and_abort_only_connections_are_closed_in_time(self):
        router, started_s = self.program.thrift_router(), time.monotonic()
        self.program.serve_one(router)
        self.program.serve_one(router)  # a connection with only one request would be ended early
        bad_routers = [self.program.thrift_router() for _ in range(5)]
        bad_routers[1].sock.sendall(PARTIAL_FRAME)
        bad_routers[2].abort(7)
        bad_routers[3].sock.sendall(PARTIAL_FRAME[:2])
        bad_routers[4].abort(bad_routers[4].invoke("filing", token="back"))
        self.kernel.reap(self.kernel.next_run().request_id)  # the run started before the abort
        bad_clients = [self.program.ajp_client() for _ in range(2)]
        bad_clients[1].sock.sendall(b"\x12\x34\0\x50\2")
        for connection in bad_routers + bad_clients:
            self.assertIn(connection_end(connection.sock), ("closed", "reset"))
        self.assertLess(time.monotonic() - started_s, CLOSE_WITHIN_S)
        self.program.serve_one(router)

    def test_silent_and_stalled_connections_do_not_lock_out_clients_of_either_protocol(self):
        thrift_address, ajp_address = (
            self.program.addresses["ThriftFront"],
            self.program.addresses["AjpFront"],
        )
        bad_pairs = [(ThriftRouter(thrift_address), AjpClient(ajp_address)) for _ in range(160)]
        for _ in range(160):
            bad_pairs.append((ThriftRouter(thrift_address), AjpClient(ajp_address)))
            for bad_client, partial in zip(bad_pairs[-1], (PARTIAL_FRAME[:2], b"\x12\x34"), strict=True):
                bad_client.sock.sendall(partial)
        router, client = ThriftRouter(thrift_address), AjpClient(ajp_address)
        self.program.serve_one(router)
        client.request()
        self.program.server.next_request().respond(data=b"served")
        self.assertEqual(client.answer()[2], b"served")
        del bad_pairs

    def test_a_valid_request_that_takes_two_seconds_to_arrive_survives_many_idle_connections(self):
        thrift_address, regular_router = self.program.addresses["ThriftFront"], self.program.thrift_router()
        self.program.serve_one(regular_router)
        self.program.serve_one(regular_router)
        slow_router, client = self.program.thrift_router(), self.program.ajp_client()
        recorded, slow_sends = [], []
        t0_ms = str(time.time_ns() // 1_000_000 + 2200)  # when the last byte will be sent
        for connection, send_request in (
            (slow_router, lambda: slow_router.invoke(body=b"slow", t0=t0_ms)),
            (client, client.request),
        ):
            real_socket, connection.sock = connection.sock, RecordingSocket(recorded)
            send_request()
            connection.sock = real_socket
            slow_sends.append((real_socket, recorded.pop()))
        started_s, idle_clients, step, pair_count = time.monotonic(), [], 0, 0
        while (elapsed_s := time.monotonic() - started_s) < 2.1:
            if elapsed_s > pair_count / 100:  # 100 pairs per second reach the limit after half a second
                idle_clients = [
                    *idle_clients[-300:],
                    ThriftRouter(thrift_address),
                    AjpClient(self.program.addresses["AjpFront"]),
                ]
                pair_count += 1
            self.assertEqual(regular_router.ping()[0], "Answer")
            if elapsed_s > step / 10:  # a part of each request every 0.1 s
                for sock, data in slow_sends:
                    sock.sendall(data[step * len(data) // 22 : (step + 1) * len(data) // 22])
                step += 1
        for sock, data in slow_sends:
            sock.sendall(data[step * len(data) // 22 :])
        self.kernel.reap(self.kernel.next_run().request_id, body=b"came at last")
        self.assertEqual(slow_router.answer(1)[2], b"came at last")
        self.program.server.next_request().respond(data=b"came too")
        self.assertEqual(client.answer()[2], b"came too")

    def test_requests_of_a_client_that_was_never_served_are_rate_limited(self):
        router, router_started_s = self.program.thrift_router(), time.monotonic()
        sequence_ids = [router.send("fly", b"\0") for _ in range(200)]
        self.assertEqual({router.answer(sequence_id)[0] for sequence_id in sequence_ids}, {"Exception"})
        client, client_started_s = self.program.ajp_client(), time.monotonic()
        self.assertEqual({client.call(uri="/nowhere")[0] for _ in range(200)}, {404})
        for started_s in (router_started_s, client_started_s):
            self.assertGreater(time.monotonic() - started_s, 0.9)  # a burst of 100, then 100 per second

    def test_a_key_with_another_body_is_never_served(self):
        router, bad_router = self.program.thrift_router(), self.program.thrift_router()
        filing_id = router.invoke("filing", b"doc", token="key")
        run_id = self.kernel.next_run().request_id
        self.assertEqual(bad_router.call("filing", b"other", token="key")[0], "Broken")
        self.kernel.reap(run_id, body=b"filed")
        self.assertEqual(router.answer(filing_id)[2], b"filed")
        self.assertEqual(bad_router.call("filing", b"other", token="key")[0], "Broken")
        client = self.program.ajp_client()
        self.assertEqual(
            client.call("POST", "/filings", {"Idempotency-Key": "key", "X-Tenant": "acme"}, b"other")[0], 422
        )
        self.assertEqual(bad_router.call("filing", b"doc", token="key")[2], b"filed")

    def test_an_oversized_frame_length_closes_the_connection_at_once(self):
        started_s = time.monotonic()
        for length in (20_000, 60_000_000, 1 << 31):
            bad_router = self.program.thrift_router()
            bad_router.sock.sendall(struct.pack(">I", length) + PARTIAL_FRAME)
            self.assertIn(connection_end(bad_router.sock), ("closed", "reset"))
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_a_duplicate_sequence_id_closes_the_connection_and_releases_its_requests(self):
        bad_router, router = self.program.thrift_router(), self.program.thrift_router()
        bad_router.invoke()
        run_id = self.kernel.next_run().request_id
        bad_router.sequence_id -= 1
        bad_router.invoke()
        self.assertIn(connection_end(bad_router.sock), ("closed", "reset"))
        self.kernel.reap(run_id)
        self.program.serve_one(router)

    def test_a_filing_that_the_kernel_rejected_leaves_its_key_unused(self):
        bad_router, router = self.program.thrift_router(), self.program.thrift_router()
        seqid = bad_router.invoke("filing", b"invented", token="key")
        self.kernel.reject(self.kernel.next_run().request_id)
        self.assertEqual(bad_router.answer(seqid)[0], "Broken")
        self.program.serve_one(router, method="filing", token="key")

    def test_field_values_out_of_range_are_rejected(self):
        bad_router, router = self.program.thrift_router(), self.program.thrift_router()
        for fields in ({"mem": "0"}, {"mem": "2000"}, {"mem": "-1"}, {"est": "inf"}, {"body": b"x" * 2049}):
            self.assertEqual(bad_router.call(**fields)[0], "Exception")
        self.assertEqual(bad_router.call(t0="1")[0], "Broken")  # its deadline passed long ago
        # The request failed before it reached the admission controller.
        self.assertEqual(self.program.logged("overdue_request_failed"), [])
        self.program.serve_one(router)


if __name__ == "__main__":
    unittest.main()
