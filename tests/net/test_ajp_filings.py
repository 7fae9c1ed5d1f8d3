"""Filings over AJP, with servers that cannot be reached."""

from tests.net.ajp_case import AjpCase


class Filings(AjpCase):
    def file(self, web, key, body=b"doc"):
        web.request("POST", "/filings", {"Idempotency-Key": key}, body)

    def test_a_repeat_gets_the_first_ones_response_and_other_content_is_turned_away(self):
        web, other = self.program.ajp_client(), self.program.ajp_client()
        self.file(web, "k1")
        respond = self.server.next_request().respond
        self.file(other, "k1", b"another")
        self.assertEqual(other.answer()[0], 422)
        respond(201, b"filed")
        self.assertEqual(web.answer()[::2], (201, b"filed"))
        self.file(other, '"k1"')  # the header's quoted form names the same key
        self.assertEqual(other.answer(), (201, {"X-Made-By": "server"}, b"filed"))
        self.file(other, "k1", b"another")
        self.assertEqual(other.answer()[0], 422)
        self.assertTrue(self.server.received.empty())


class FilingsUnreached(AjpCase):
    def test_a_filing_that_reached_no_server_may_run_when_it_is_repeated(self):
        web, filing = self.program.ajp_client(), ("POST", "/filings", {"Idempotency-Key": "k"}, b"doc")
        self.server.refuse()
        self.assertEqual(web.call(*filing)[0], 502)
        self.server.come_back()
        web.request(*filing)
        self.server.next_request().respond(data=b"filed")
        self.assertEqual(web.answer()[::2], (200, b"filed"))
