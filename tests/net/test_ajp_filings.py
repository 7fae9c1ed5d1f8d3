"""Filings over AJP: retries with the same idempotency key, and unreachable servers."""

from tests.net.ajp_case import AjpTestCase


class FilingsTest(AjpTestCase):
    """Retries of filings that ran."""

    def send_filing(self, client, key, body=b"doc"):
        client.request("POST", "/filings", {"Idempotency-Key": key}, body)

    def test_a_retry_gets_the_first_response_and_one_with_other_content_is_rejected(self):
        client, retrying_client = self.program.ajp_client(), self.program.ajp_client()
        self.send_filing(client, "k1")
        respond = self.server.next_request().respond
        self.send_filing(retrying_client, "k1", b"another")
        self.assertEqual(retrying_client.answer()[0], 422)
        respond(201, b"filed")
        self.assertEqual(client.answer()[::2], (201, b"filed"))
        self.send_filing(retrying_client, '"k1"')  # the quoted form of the header names the same key
        self.assertEqual(retrying_client.answer(), (201, {"X-Made-By": "server"}, b"filed"))
        self.send_filing(retrying_client, "k1", b"another")
        self.assertEqual(retrying_client.answer()[0], 422)
        self.assertTrue(self.server.received.empty())


class UnreachableServerTest(AjpTestCase):
    """Filings while no server is reachable."""

    def test_a_filing_that_reached_no_server_runs_when_it_is_retried(self):
        client, filing = self.program.ajp_client(), ("POST", "/filings", {"Idempotency-Key": "k"}, b"doc")
        self.server.refuse()
        self.assertEqual(client.call(*filing)[0], 502)
        self.server.come_back()
        client.request(*filing)
        self.server.next_request().respond(data=b"filed")
        self.assertEqual(client.answer()[::2], (200, b"filed"))
