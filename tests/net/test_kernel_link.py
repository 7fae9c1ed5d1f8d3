"""Tests of the link to the kernel: breaks, silence, malformed notices, and recovery on a new link."""

import json

from tests.support.environment import WAIT_LIMIT_S
from tests.support.worker_cases import RunningWorkerTestCase


class KernelLinkTest(RunningWorkerTestCase):
    """Breaks, silence and damage of the link to the kernel."""

    def test_a_new_link_replays_notices_and_only_unfinished_reads_are_sent_again(self):
        router = self.program.thrift_router()
        reaped, lost = router.invoke(body=b"reaped"), router.invoke(body=b"lost")
        request_ids = {
            body: request_id for request_id, _, body in (self.kernel.next_run(), self.kernel.next_run())
        }
        self.kernel.reap(request_ids[b"reaped"], body=b"replayed", send=False)
        self.kernel.drop_connections()
        self.assertEqual(self.kernel.opened.get(timeout=WAIT_LIMIT_S), 0)
        self.assertEqual(router.answer(reaped), ("Answer", {}, b"replayed"))
        self.assertEqual(self.kernel.next_run(), (request_ids[b"lost"], "read", b"lost"))
        self.kernel.reap(request_ids[b"lost"], body=b"found")
        self.assertEqual(router.answer(lost), ("Answer", {}, b"found"))
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_filing_is_never_scheduled_twice(self):
        router = self.program.thrift_router()
        filing = router.invoke("filing", b"doc", token="t")
        filing_id = self.kernel.next_run().request_id
        self.kernel.drop_connections()
        self.kernel.opened.get(timeout=WAIT_LIMIT_S)
        read = router.invoke(body=b"read")
        self.assertEqual(self.kernel.next_run().body, b"read")  # first, so the filing was not sent again
        self.kernel.reap(filing_id, body=b"filed")
        self.assertEqual(router.answer(filing), ("Answer", {}, b"filed"))
        router.abort(read)

    def test_a_filing_lost_with_the_link_is_detected_and_sent_again(self):
        router = self.program.thrift_router()
        seqid = router.invoke("filing", b"doc", token="t")
        run = self.kernel.next_run()
        self.kernel.runnable = 0.0  # the gauge says that nothing runs, so the command was lost
        self.kernel.drop_connections()
        self.assertEqual(self.kernel.next_run(), run)
        self.kernel.reap(run[0], body=b"filed")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"filed"))

    def test_a_filing_that_ended_in_a_notice_no_longer_kept_is_not_run_again(self):
        router = self.program.thrift_router()
        read = router.invoke(body=b"read")
        read_id = self.kernel.next_run().request_id
        self.kernel.wait_for_questions(3)  # after these the read is known to run
        filing = router.invoke("filing", b"doc", token="t")
        filing_id = self.kernel.next_run().request_id
        self.kernel.reap(filing_id, body=b"filed", send=False)
        self.kernel.notice(send=False, cmd="DMESG", result="the first that is still kept")
        self.kernel.forgotten = 1
        self.kernel.drop_connections()
        self.assertEqual(self.kernel.next_run().request_id, read_id)  # a read may run twice
        self.assertEqual(len(self.program.wait_until_logged("kernel_notices_missing")), 1)
        self.kernel.wait_for_questions(3)
        self.assertTrue(self.kernel.scheduled.empty())
        self.assertEqual(router.answer(filing)[0], "Broken")
        self.assertEqual(router.call("filing", b"doc", token="t", again="1")[0], "Broken")
        router.abort(read)
        self.assertTrue(self.kernel.scheduled.empty())

    def test_commands_sent_long_before_a_break_are_not_sent_again(self):
        router = self.program.thrift_router()
        read, filing = router.invoke(body=b"read"), router.invoke("filing", b"doc", token="t")
        request_ids = {
            body: request_id for request_id, _, body in (self.kernel.next_run(), self.kernel.next_run())
        }
        self.kernel.runnable = 0.0  # the gauge denies the runs, yet they are already confirmed
        self.kernel.wait_for_questions(4)
        self.kernel.drop_connections()
        self.kernel.wait_for_questions(3)
        self.assertTrue(self.kernel.scheduled.empty())
        self.assertEqual([line["outcome_unknown"] for line in self.program.logged("kernel_link_lost")], [0])
        for body, seqid in ((b"read", read), (b"doc", filing)):
            self.kernel.reap(request_ids[body], body=body)
            self.assertEqual(router.answer(seqid)[2], body)

    def test_cut_repeated_missed_malformed_and_fragmented_notices_lose_no_run(self):
        router = self.program.thrift_router()
        for number, damage in enumerate(("cut", "repeated", "missed", "unreadable", "pieces")):
            with self.subTest(damage):
                seqid = router.invoke("filing", b"doc", token=damage)
                self.kernel.notice(cmd="DMESG", result="\u20ac a remark")
                self.kernel.reap(self.kernel.next_run().request_id, body=b"%d" % number, send=False)
                line = json.dumps(self.kernel.notices[-1]).encode() + b"\n"
                if damage == "cut":
                    self.kernel.send_raw(line[: len(line) // 2])
                    self.kernel.drop_connections()
                elif damage == "repeated":
                    self.kernel.send_raw(line * 3)
                elif damage == "missed":
                    self.kernel.notice(cmd="DMESG", result="its offset is one too far")
                elif damage == "unreadable":
                    self.kernel.send_raw(b"{]\n")
                else:
                    for byte in line:
                        self.kernel.send_raw(bytes((byte,)))
                self.assertEqual(router.answer(seqid), ("Answer", {}, b"%d" % number))
        self.assertTrue(self.kernel.scheduled.empty())

    def test_a_silent_link_is_replaced_without_losing_runs(self):
        router = self.program.thrift_router()
        filing, read = router.invoke("filing", b"doc", token="t"), router.invoke(body=b"read")
        request_ids = {
            body: request_id for request_id, _, body in (self.kernel.next_run(), self.kernel.next_run())
        }
        self.kernel.wait_for_questions(2)
        self.kernel.silent = True
        for body in (b"doc", b"read"):
            self.kernel.reap(request_ids[body], body=body, send=False)  # reported on the next link
        self.assertEqual(self.kernel.opened.get(timeout=WAIT_LIMIT_S), 0)
        for seqid, body in ((filing, b"doc"), (read, b"read")):
            self.assertEqual(router.answer(seqid), ("Answer", {}, body))
        self.assertTrue(self.kernel.scheduled.empty())
        self.assertEqual(len(self.program.logged("kernel_link_silent")), 1)

    def test_a_request_started_without_a_link_is_scheduled_once_the_link_is_up(self):
        router = self.program.thrift_router()
        self.kernel.refuse()
        self.kernel.drop_connections()
        while not self.program.logged("kernel_link_lost"):
            router.ping()
        seqid = router.invoke(body=b"early")
        router.ping()
        self.kernel.come_back()
        request_id, _, body = self.kernel.next_run()
        self.assertEqual(body, b"early")
        self.kernel.reap(request_id, body=b"ran")
        self.assertEqual(router.answer(seqid), ("Answer", {}, b"ran"))
