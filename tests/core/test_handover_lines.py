"""How the lines between a process and its successor name a request, also those of earlier releases."""

import unittest

from ochrehoist.core.handover_lines import message_from_json, message_to_json
from ochrehoist.core.messages import CallerDisconnected, RequestArrived
from ochrehoist.core.request import NO_SERIAL, RequestReference
from ochrehoist.net.ajp_reply_codec import ReplyCodec
from tests.core.core_test_case import FILING, READ, CoreTestCase

CODEC = ReplyCodec()


class HandoverLinesTest(CoreTestCase):
    """A core that takes messages of the process that it replaces."""

    def setUp(self):
        super().setUp()
        self.sent = []

    def message(self, line):
        return message_from_json(line, self.sent.append, CODEC, (FILING, READ))

    def test_a_request_and_its_disconnect_are_read_as_written(self):
        request = self.request(request_class=READ)
        arrived = self.message(message_to_json(RequestArrived(request), CODEC))
        self.assertEqual(arrived.request.reference, request.reference)
        disconnected = CallerDisconnected(request.reference, gave_up=False)
        self.assertEqual(self.message(message_to_json(disconnected, CODEC)), disconnected)

    def test_the_disconnect_of_an_earlier_release_ends_only_a_request_of_that_release(self):
        # Guards against a lost request: a copy of its id came to a predecessor that sends no serial number.
        own = self.arrive(request_class=READ)
        line = message_to_json(RequestArrived(self.request(request_class=READ)), CODEC)
        del line["serial"]
        remote = self.message(line)
        self.assertEqual(remote.request.serial, NO_SERIAL)
        self.post_and_step(remote)
        for request in (own, remote.request):
            self.post_and_step(self.message({"m": "gone", "id": request.id, "gave_up": True}))
        self.assertEqual((own.answered, remote.request.answered), (False, True))

    def test_a_request_without_serial_number_is_written_without_one(self):
        line = message_to_json(CallerDisconnected(RequestReference("r1", NO_SERIAL)), CODEC)
        self.assertEqual(line, {"m": "gone", "id": "r1", "gave_up": True})


if __name__ == "__main__":
    unittest.main()
