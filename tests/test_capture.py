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
from stand_ins import MEMORY, MS, PATIENCE, Program, hasty, run, toml_file
from stand_ins import settings as site_settings

from ochrehoist.capture.pace import Batches, Sample, file_ends, surplus
from ochrehoist.capture.reader import Capture, read, read_file
from ochrehoist.capture.records import (
    HEADER,
    NEVER,
    Damage,
    Head,
    Lost,
    Outcome,
    Seen,
    Unusable,
    block,
    records,
    start,
)

HEAD = Head("n1", 10**18, 1.0, 4, 1000.0, (("read", 1, 2, 1.0, 0.0),), (("acme", 10.0),))


def seen(n=0, **more):
    values = {
        "at": n * MS,
        "cls": "read",
        "tenant": "acme",
        "front": "ajp",
        "subject": n % 7,
        "work": 5 * MS,
        "caller": 1,
        "address": "127.0.0.1",
        "retry": False,
        "outcome": Outcome.SERVED,
        "unread": 0,
        "waited": MS,
        "ran": 5 * MS,
        "running": 1,
        "held": 0,
    } | more
    return Seen(**values)


def whole(blocks=3, each=4):
    out = start() + block([HEAD])
    for b in range(blocks):
        out += block([seen(b * each + n) for n in range(each)])
    return out


class Format(unittest.TestCase):
    def test_what_is_written_is_read_in_order_of_time(self):
        capture = Capture()
        data = start() + block([HEAD]) + block([seen(2), seen(1), Lost(5, 9)]) + block([seen(0)])
        read_file(data, capture, 1)
        capture.entries.sort(key=lambda e: e.at)
        self.assertEqual([e.seen.at for e in capture.entries], [0, MS, 2 * MS])
        self.assertEqual((capture.lost, capture.warnings()), (9, ["9 records were lost while it was made"]))

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, len(whole())))
    def test_a_file_cut_anywhere_gives_its_whole_blocks_and_says_so(self, at):
        capture = Capture()
        try:
            read_file(whole()[:at], capture, 1)
        except Unusable:
            self.assertLess(at, HEADER + len(block([HEAD])))
            return
        self.assertEqual(len(capture.entries) % 4, 0)
        self.assertEqual(capture.damage.cut_bytes > 0 or at in self.ends(), True)

    def ends(self):
        at, out = HEADER, set()
        while at <= len(whole()):
            out.add(at)
            at += 12 + int.from_bytes(whole()[at : at + 4] or b"\xff\xff", "big")
        return out

    @settings(max_examples=300, deadline=None)
    @given(st.integers(HEADER, len(whole()) - 1), st.integers(1, 255))
    def test_a_changed_byte_costs_its_block_and_invents_nothing(self, at, flip):
        data, damage = bytearray(whole()), Damage()
        data[at] ^= flip
        got = [r for r in records(bytes(data), damage) if isinstance(r, Seen)]
        self.assertLessEqual({r.at for r in got}, {n * MS for n in range(12)})
        self.assertTrue(damage.blocks or damage.cut_bytes)

    def test_older_records_lack_fields_newer_have_more_and_unknown_kinds_are_passed_over(self):
        plain = ["req", *msgspec.to_builtins(seen(1))[1:]]
        older, newer, other = plain[:-1], [*plain, "more"], ["decision", 1, 2]
        damage = Damage()
        got = list(records(start() + block([HEAD, older, newer, other]), damage))
        self.assertEqual(got[1:], [seen(1), seen(1)])
        self.assertEqual(damage.unknown, 1)

    def test_what_is_no_capture_is_named(self):
        for data, why in (
            (b"", "not a capture"),
            (b"PNG" * 9, "not a capture"),
            (start()[:-1] + b"\x09", "version 9"),
            (start(), "nothing that is whole"),
            (start() + block([seen()]), "head is damaged"),
        ):
            with self.assertRaises(Unusable) as raised:
                read_file(data, Capture(), 1)
            self.assertIn(why, str(raised.exception))


class Pace(unittest.TestCase):
    def test_a_sample_takes_all_of_a_subject_or_none_the_same_everywhere(self):
        subjects = [b"%d" % n for n in range(20_000)]
        taken = {s for s in subjects if Sample(0.2).takes(s)}
        self.assertEqual(taken, {s for s in subjects if Sample(0.2).takes(s)})
        self.assertAlmostEqual(len(taken) / len(subjects), 0.2, delta=0.02)
        self.assertLess(taken, {s for s in subjects if Sample(0.5).takes(s)})
        self.assertTrue(all(Sample(1.0).takes(s) for s in subjects))

    def test_past_the_batches_under_way_records_are_lost_and_told_once(self):
        b = Batches(size=4, most=2)
        b.under_way = 2
        self.assertFalse(b.may_go())
        b.drop(4)
        self.assertEqual((b.told(), b.told(), b.lost_in_all), (4, 0, 4))

    def test_the_oldest_files_go_and_the_newest_stays(self):
        files = [("3", 50), ("1", 40), ("2", 40)]
        self.assertEqual(surplus(files, 1000), [])
        self.assertEqual(surplus(files, 100), ["1"])
        self.assertEqual(surplus(files, 10), ["1", "2"])
        self.assertTrue(file_ends(0, 5, 10, 60, 10) and file_ends(0, 60, 1, 60, 10))
        self.assertFalse(file_ends(0, 59, 9, 60, 10))


class Recorded(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY))
        self.addCleanup(shutil.rmtree, self.folder)

    def program(self, capture, **how):
        capture = {"folder": str(self.folder / "load")} | capture
        program = Program(thrift=False, ajp=True, capture=capture, **how)
        self.addCleanup(program.close)
        return program

    def ended(self, program):
        program.process.terminate()
        self.assertEqual(program.ended(), 0)
        return read([self.folder / "load"])

    def test_each_request_is_on_record_with_how_it_ended_and_no_name_in_clear(self):
        program = self.program({}, site=hasty())
        web = program.ajp()
        key = {"Idempotency-Key": "secret-key", "X-Tenant": "acme"}
        for _ in range(2):  # a repeat gets the result of the run
            web.request("POST", "/filings", key, b"doc")
            if _ == 0:
                program.server.next()[2](data=b"one")
            self.assertEqual(web.answer()[2], b"one")
        crowd = [program.ajp() for _ in range(20)]
        for each in crowd:
            each.request("GET", "/reads/1", {"X-Retry": "1"})
        ends = [each.answer()[0] for each in crowd]
        capture = self.ended(program)
        reads, (ran, joined) = (
            [e.seen for e in capture.entries if e.seen.cls == name] for name in ("read", "filing")
        )
        self.assertEqual((ran.outcome, joined.outcome, ran.tenant, ran.front), (0, 0, "acme", "ajp"))
        self.assertEqual(ran.subject, joined.subject)
        self.assertGreater(ran.ran, 0)
        self.assertEqual((joined.waited, joined.ran), (NEVER, NEVER))
        refused = [s for s in reads if s.outcome == Outcome.REFUSED]
        self.assertEqual(len(refused), ends.count(503))
        self.assertTrue(all(s.waited == NEVER and s.retry and s.address == "127.0.0.1" for s in refused))
        self.assertEqual(len(capture.entries), 22)
        self.assertEqual((capture.warnings(), capture.heads[0].name), ([], "n1"))
        for path in (self.folder / "load").iterdir():
            self.assertNotIn(b"secret-key", path.read_bytes())

    def test_new_classes_and_full_files_make_new_ones_and_a_bad_disk_costs_records_only(self):
        program = self.program({"file_mb": 0.01})
        web = program.ajp()
        for n in range(30):
            web.request("GET", f"/reads/{n}")
            program.server.next()[2](data=b"page")
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
        program.server.next()[2](data=b"page")
        self.assertEqual(web.answer()[2], b"page")
        capture = self.ended(program)
        self.assertGreaterEqual(len(capture.entries), 1)
        self.assertTrue(program.said("load can't be recorded; all else goes on"))

    def trouble(self, program, wanted):
        until = time.monotonic() + PATIENCE
        while bool(json.loads(program.operator()[1])["capture"]["trouble"]) is not wanted:
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
            done = run("--config", str(path), "run")
            self.assertEqual((done.returncode, key in done.stderr), (2, True), done.stderr)


class Platform(unittest.TestCase):
    def test_a_worker_without_a_capture_loads_nothing_of_it(self):
        loaded = (
            'import atexit, sys\natexit.register(lambda: print(\'{"event": "loaded", "names": "\''
            " + ' '.join(m for m in sys.modules) + '\"}', file=sys.stderr))"
        )
        program = Program(fault=loaded)
        self.addCleanup(program.close)
        program.process.terminate()
        program.ended()
        names = program.said("loaded")[0]["names"].split()
        self.assertIn("ochrehoist.net.kernel", names)
        self.assertEqual([n for n in names if "capture" in n or "zstandard" in n or "msgspec" in n], [])
        self.assertNotIn("capture", json.loads(json.dumps(program.config)))


if __name__ == "__main__":
    unittest.main()
