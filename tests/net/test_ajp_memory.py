"""Memory that bodies and responses take, and its bounds."""

from tests.net.ajp_case import AjpCase


class Memory(AjpCase):
    options = AjpCase.options | {"max_body": 6 << 20, "max_response": 1000}

    def test_bodies_that_come_in_at_once_share_a_bounded_memory(self):
        first, second = self.program.ajp_client(), self.program.ajp_client()
        for web in (first, second):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
        # 64 MB for the process, 12% of it for these bodies: only one fits, the other is told at once.
        waiting, told = (first, second) if first.peek() == 6 else (second, first)
        status, headers, _ = told.answer()
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))
        waiting.close()
        self.assertEqual(told.call("GET", "/healthz")[0], 200)

    def test_the_memory_of_a_body_is_free_again_however_it_ends(self):
        def whole(web):
            web.request("POST", "/reads/1", body=b"x" * 8186)
            self.server.next_request().respond()
            self.assertEqual(web.answer()[0], 200)
            web.close()

        def cut(web):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
            self.assertEqual(web.requested_chunk_bytes(), 8186)
            web.close()

        def ended_early(web):
            web.forward("POST", "/reads/1", length=5 << 20)
            web.chunk(b"x" * 8186)
            self.assertEqual(web.requested_chunk_bytes(), 8186)
            web.chunk(b"")
            with self.assertRaises(EOFError):
                web.answer()

        def of_no_told_length(web):
            web.forward("POST", "/reads/1", {"Transfer-Encoding": "chunked"})
            web.chunk(b"x" * 8186)
            self.assertEqual([web.requested_chunk_bytes(), web.requested_chunk_bytes()], [8186, 8186])
            web.close()

        for end in (whole, cut, ended_early, of_no_told_length):
            with self.subTest(end.__name__):
                end(self.program.ajp_client())
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])
                # Of the 7.68 MB that all have together there is room for this only if all of it is free.
                web = self.program.ajp_client()
                web.forward("POST", "/reads/1", length=6 << 20)
                web.chunk(b"x" * 8186)
                self.assertEqual(web.requested_chunk_bytes(), 8186)
                web.close()
                self.program.wait_for(lambda status: "'AjpFront': 0" in status["connections"])

    def test_a_response_over_the_limit_is_502(self):
        web = self.program.ajp_client()
        web.request()
        self.server.next_request().respond(200, b"x" * 1001)
        self.assertEqual(web.answer()[0], 502)
