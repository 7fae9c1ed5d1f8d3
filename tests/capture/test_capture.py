"""The capture of load: what the real program records, and what can be read of files in any state."""

import json
import shutil
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.capture.batching import BatchWindow, SubjectSampler, file_is_complete, files_to_delete
from ochrehoist.capture.encoding import (
    BLOCK_HEADER_BYTES,
    PREFIX_BYTES,
    CaptureDamage,
    decode_records,
    encode_block,
    file_prefix,
)
from ochrehoist.capture.reader import Capture, read_capture
from ochrehoist.capture.records import (
    UNKNOWN_DURATION_NS,
    CaptureHeader,
    DroppedRecords,
    InvalidCaptureError,
    RequestOutcome,
    RequestRecord,
)
from ochrehoist.lab.toml import toml_file
from tests.support.environment import MEMORY_FOLDER, MS, WAIT_LIMIT_S
from tests.support.site_settings import short_deadline_settings, site_settings
from tests.support.worker_cases import WorkerTestCase
from tests.support.worker_process import run_command

HEADER = CaptureHeader("n1", 10**18, 1.0, 4, 1000.0, (("read", 1, 2, 1.0, 0.0),), (("acme", 10.0),))


def record(n=0, **more):
    values = {
        "arrived_ns": n * MS,
        "class_name": "read",
        "tenant": "acme",
        "front": "ajp",
        "subject": n % 7,
        "work_ns": 5 * MS,
        "caller": 1,
        "address": "127.0.0.1",
        "is_retry": False,
        "outcome": RequestOutcome.SERVED,
        "read_delay_ns": 0,
        "queue_ns": MS,
        "run_ns": 5 * MS,
        "running_requests": 1,
        "queued_requests": 0,
    } | more
    return RequestRecord(**values)


def whole(blocks=3, each=4):
    out = file_prefix() + encode_block([HEADER])
    for b in range(blocks):
        out += encode_block([record(b * each + n) for n in range(each)])
    return out


class CaptureFormatTest(unittest.TestCase):
    """What is written is read, in any state of the file."""

    def test_what_is_written_is_read_in_order_of_time(self):
        capture = Capture()
        data = (
            file_prefix()
            + encode_block([HEADER])
            + encode_block([record(2), record(1), DroppedRecords(5, 9)])
            + encode_block([record(0)])
        )
        capture.add_file(data, 1)
        capture.requests.sort(key=lambda request: request.arrived_unix_ns)
        self.assertEqual([request.record.arrived_ns for request in capture.requests], [0, MS, 2 * MS])
        self.assertEqual(
            (capture.dropped, capture.warnings()), (9, ["9 records were lost while it was made"])
        )

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, len(whole())))
    def test_a_file_cut_anywhere_gives_its_whole_blocks_and_says_so(self, at):
        capture = Capture()
        try:
            capture.add_file(whole()[:at], 1)
        except InvalidCaptureError:
            self.assertLess(at, PREFIX_BYTES + len(encode_block([HEADER])))
            return
        self.assertEqual(len(capture.requests) % 4, 0)
        self.assertEqual(capture.damage.cut_bytes > 0 or at in self.ends(), True)

    def ends(self):
        at, out = PREFIX_BYTES, set()
        while at <= len(whole()):
            out.add(at)
            at += BLOCK_HEADER_BYTES + int.from_bytes(whole()[at : at + 4] or b"\xff\xff", "big")
        return out

    @settings(max_examples=300, deadline=None)
    @given(st.integers(PREFIX_BYTES, len(whole()) - 1), st.integers(1, 255))
    def test_a_changed_byte_costs_its_block_and_invents_nothing(self, at, flip):
        data, damage = bytearray(whole()), CaptureDamage()
        data[at] ^= flip
        got = [r for r in decode_records(bytes(data), damage) if isinstance(r, RequestRecord)]
        self.assertLessEqual({r.arrived_ns for r in got}, {n * MS for n in range(12)})
        self.assertTrue(damage.corrupt_blocks or damage.cut_bytes)

    def test_older_records_lack_fields_newer_have_more_and_unknown_kinds_are_passed_over(self):
        plain = ["req", *msgspec.to_builtins(record(1))[1:]]
        older, newer, other = plain[:-1], [*plain, "more"], ["decision", 1, 2]
        damage = CaptureDamage()
        got = list(decode_records(file_prefix() + encode_block([HEADER, older, newer, other]), damage))
        self.assertEqual(got[1:], [record(1), record(1)])
        self.assertEqual(damage.unknown_records, 1)

    def test_what_is_no_capture_is_named(self):
        for data, why in (
            (b"", "not a capture"),
            (b"PNG" * 9, "not a capture"),
            (file_prefix()[:-1] + b"\x09", "version 9"),
            (file_prefix(), "contains no valid records"),
            (file_prefix() + encode_block([record()]), "header is damaged"),
        ):
            with self.assertRaises(InvalidCaptureError) as raised:
                Capture().add_file(data, 1)
            self.assertIn(why, str(raised.exception))


class BatchingTest(unittest.TestCase):
    """Samples and batches."""

    def test_a_sample_takes_all_of_a_subject_or_none_the_same_everywhere(self):
        subjects = [b"%d" % n for n in range(20_000)]
        taken = {s for s in subjects if SubjectSampler(0.2).includes(s)}
        self.assertEqual(taken, {s for s in subjects if SubjectSampler(0.2).includes(s)})
        self.assertAlmostEqual(len(taken) / len(subjects), 0.2, delta=0.02)
        self.assertLess(taken, {s for s in subjects if SubjectSampler(0.5).includes(s)})
        self.assertTrue(all(SubjectSampler(1.0).includes(s) for s in subjects))

    def test_beyond_the_batches_in_progress_records_are_lost_and_logged_once(self):
        b = BatchWindow(batch_records=4, max_in_flight=2)
        b.in_flight = 2
        self.assertFalse(b.has_capacity())
        b.drop(4)
        self.assertEqual((b.take_dropped(), b.take_dropped(), b.total_dropped), (4, 0, 4))

    def test_the_oldest_files_go_and_the_newest_stays(self):
        files = [("3", 50), ("1", 40), ("2", 40)]
        self.assertEqual(files_to_delete(files, 1000), [])
        self.assertEqual(files_to_delete(files, 100), ["1"])
        self.assertEqual(files_to_delete(files, 10), ["1", "2"])
        self.assertTrue(file_is_complete(0, 5, 10, 60, 10) and file_is_complete(0, 60, 1, 60, 10))
        self.assertFalse(file_is_complete(0, 59, 9, 60, 10))


class RecordedRequestsTest(WorkerTestCase):
    """What a worker records."""

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
        self.addCleanup(shutil.rmtree, self.folder)

    def program(self, capture, **how):
        capture = {"folder": str(self.folder / "load")} | capture
        return self.start(thrift=False, ajp=True, capture=capture, **how)

    def ended(self, program):
        program.process.terminate()
        self.assertEqual(program.wait_for_exit(), 0)
        return read_capture([self.folder / "load"])

    def test_each_request_is_on_record_with_how_it_ended_and_no_name_in_clear(self):
        program = self.program({}, site=short_deadline_settings())
        web = program.ajp_client()
        key = {"Idempotency-Key": "secret-key", "X-Tenant": "acme"}
        for _ in range(2):  # a repeat gets the result of the run
            web.request("POST", "/filings", key, b"doc")
            if _ == 0:
                program.server.next_request().respond(data=b"one")
            self.assertEqual(web.answer()[2], b"one")
        crowd = [program.ajp_client() for _ in range(20)]
        for each in crowd:
            each.request("GET", "/reads/1", {"X-Retry": "1"})
        ends = [each.answer()[0] for each in crowd]
        capture = self.ended(program)
        reads, (ran, joined) = (
            [request.record for request in capture.requests if request.record.class_name == name]
            for name in ("read", "filing")
        )
        self.assertEqual((ran.outcome, joined.outcome, ran.tenant, ran.front), (0, 0, "acme", "ajp"))
        self.assertEqual(ran.subject, joined.subject)
        self.assertGreater(ran.run_ns, 0)
        self.assertEqual((joined.queue_ns, joined.run_ns), (UNKNOWN_DURATION_NS, UNKNOWN_DURATION_NS))
        refused = [s for s in reads if s.outcome == RequestOutcome.REJECTED]
        self.assertEqual(len(refused), ends.count(503))
        self.assertTrue(
            all(
                s.queue_ns == UNKNOWN_DURATION_NS and s.is_retry and s.address == "127.0.0.1" for s in refused
            )
        )
        self.assertEqual(len(capture.requests), 22)
        self.assertEqual((capture.warnings(), capture.headers[0].worker), ([], "n1"))
        for path in (self.folder / "load").iterdir():
            self.assertNotIn(b"secret-key", path.read_bytes())

    def test_new_classes_and_full_files_make_new_ones_and_a_bad_disk_costs_records_only(self):
        program = self.program({"file_mb": 0.01})
        web = program.ajp_client()
        for n in range(30):
            web.request("GET", f"/reads/{n}")
            program.server.next_request().respond(data=b"page")
            web.answer()
        load = self.folder / "load"
        shutil.rmtree(load)
        load.write_text("not a folder any more")
        program.reload("ajp.toml", Path(program.env["OCHREHOIST_AJP"]).read_text())  # begins a new file
        self.trouble(program, True)
        load.unlink()
        load.mkdir()
        self.trouble(program, False)
        web.request("GET", "/reads/last")
        program.server.next_request().respond(data=b"page")
        self.assertEqual(web.answer()[2], b"page")
        capture = self.ended(program)
        self.assertGreaterEqual(len(capture.requests), 1)
        self.assertTrue(program.logged("capture_unavailable"))

    def trouble(self, program, wanted):
        until = time.monotonic() + WAIT_LIMIT_S
        while bool(json.loads(program.operator_call()[1])["capture"]["trouble"]) is not wanted:
            self.assertLess(time.monotonic(), until)

    def test_a_folder_that_cannot_be_is_named(self):
        path = self.folder / "a.toml"
        front = {"listen": "127.0.0.1:0", "rules": [], "servers": [{"address": "127.0.0.1:1"}]}
        top = {"name": "n1", "admin": "127.0.0.1:0", "ajp": front, "settings": site_settings()}
        for capture, key in (
            ({"folder": "/nowhere/at/all"}, "capture.folder"),
            ({"folder": "x", "sample": 0}, "capture.sample"),
            ({"folder": "x", "sampel": 1}, "capture.sampel"),
        ):
            path.write_text(toml_file(top | {"capture": capture}))
            done = run_command("--config", str(path), "run")
            self.assertEqual((done.returncode, key in done.stderr), (2, True), done.stderr)


class NoCaptureTest(WorkerTestCase):
    """A worker without a capture."""

    def test_a_worker_without_a_capture_loads_nothing_of_it(self):
        loaded = (
            'import atexit, sys\natexit.register(lambda: print(\'{"event": "loaded", "names": "\''
            " + ' '.join(m for m in sys.modules) + '\"}', file=sys.stderr))"
        )
        program = self.start(fault=loaded)
        program.process.terminate()
        program.wait_for_exit()
        names = program.logged("loaded")[0]["names"].split()
        self.assertIn("ochrehoist.net.kernel_link", names)
        self.assertEqual([n for n in names if "capture" in n or "zstandard" in n or "msgspec" in n], [])
        self.assertNotIn("capture", json.loads(json.dumps(program.config)))


if __name__ == "__main__":
    unittest.main()
