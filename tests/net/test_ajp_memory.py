"""The memory limits of request bodies and responses."""

from tests.net.ajp_case import AjpTestCase


class BodyMemoryTest(AjpTestCase):
    """Bodies and responses that reach the memory limits."""

    options = AjpTestCase.options | {"max_body": 6 << 20, "max_response": 1000}

    def test_concurrent_bodies_share_a_bounded_memory(self):
        first, second = self.program.ajp_client(), self.program.ajp_client()
        for client in (first, second):
            client.forward("POST", "/reads/1", length=5 << 20)
            client.chunk(b"x" * 8186)
        # Bodies may take 12% of the 64 MB of the process: only one fits, the other is rejected at once.
        accepted, rejected = (first, second) if first.peek() == 6 else (second, first)
        status, headers, _ = rejected.answer()
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        accepted.close()
        self.assertEqual(rejected.call("GET", "/healthz")[0], 200)

    def test_the_memory_of_a_body_is_released_however_it_ends(self):
        def complete(client):
            client.request("POST", "/reads/1", body=b"x" * 8186)
            self.server.next_request().respond()
            self.assertEqual(client.answer()[0], 200)
            client.close()

        def cut(client):
            client.forward("POST", "/reads/1", length=5 << 20)
            client.chunk(b"x" * 8186)
            self.assertEqual(client.requested_chunk_bytes(), 8186)
            client.close()

        def ended_early(client):
            client.forward("POST", "/reads/1", length=5 << 20)
            client.chunk(b"x" * 8186)
            self.assertEqual(client.requested_chunk_bytes(), 8186)
            client.chunk(b"")
            with self.assertRaises(EOFError):
                client.answer()

        def cut_without_stated_length(client):
            client.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
            client.chunk(b"x" * 8186)
            self.assertEqual([client.requested_chunk_bytes(), client.requested_chunk_bytes()], [8186, 8186])
            client.close()

        for send_body in (complete, cut, ended_early, cut_without_stated_length):
            with self.subTest(send_body.__name__):
                send_body(self.program.ajp_client())
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])
                # This body fits into the 7.68 MB of all bodies only if the earlier one was released.
                client = self.program.ajp_client()
                client.forward("POST", "/reads/1", length=6 << 20)
                client.chunk(b"x" * 8186)
                self.assertEqual(client.requested_chunk_bytes(), 8186)
                client.close()
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])

    def test_a_response_over_the_limit_is_502(self):
        client = self.program.ajp_client()
        client.request()
        self.server.next_request().respond(200, b"x" * 1001)
        self.assertEqual(client.answer()[0], 502)
