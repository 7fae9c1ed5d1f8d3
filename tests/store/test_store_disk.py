"""Power cuts, damage, full and failing disks, and folders as they may be found: against the real store."""

import os
import random
import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

import apsw

from ochrehoist.store import database, files
from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.database import Database
from ochrehoist.store.errors import FailureKind, StoreFailedError, StoreLockedError
from ochrehoist.store.files import CommitWatermark
from ochrehoist.store.lock import FolderLock
from ochrehoist.store.operations import DeleteIntent, PutIntent, PutResult
from ochrehoist.store.records import (
    FORMAT_VERSION,
    IntentRecord,
    LearnedStateRecord,
    ResultRecord,
    encode_key,
)
from ochrehoist.store.store_repair import open_store, rebuild_store
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.stand_ins.power_loss_disk import PowerLossDisk
from tests.support.environment import FIXTURES, MEMORY_FOLDER

SEEDS = int(os.environ.get("SEEDS", "120"))
NOW = Timestamp(10**18, "boot", 10**14)
WINDOW = 20 * NS_PER_S


def filing(n, serial=0):
    return IntentRecord(
        ("acme", "filing", f"key {n}"), f"r{n}.{serial}", WINDOW, WINDOW, NOW, None, b"%032d" % n
    )


def operations(source, filings, serial):
    """One group, and what is known after it."""
    after, group = dict(filings), []
    for _ in range(source.randrange(1, 6)):
        n = source.randrange(30)
        record = filing(n, serial)
        key, kind = encode_key(record.idempotency_key), source.random()
        if any(op.key == key for op in group):
            continue
        if kind < 0.5:
            group.append(PutIntent(record.request_id, key, record))
            after[key] = (record.request_id, None)
        elif key in after and after[key][1] is None and kind < 0.8:
            result = ResultRecord("OK", True, source.randbytes(source.randrange(2000)))
            group.append(PutResult(key, result))
            after[key] = (after[key][0], result)
        else:
            group.append(DeleteIntent(key))
            after.pop(key, None)
    return group, after


def found(opened):
    known = {}
    for intent in opened.intents:
        key = encode_key(intent.record.idempotency_key)
        result = opened.database.read_result(key) if intent.has_result else None
        known[key] = (intent.record.request_id, result)
    return known


class Folder(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = self.folder / files.store_file_name()

    def open(self, now=NOW, longest=WINDOW):
        opened = open_store(self.folder, 64, longest, now)
        self.addCleanup(opened.database.close)
        return opened

    def written(self, groups=12, seed=1, close=True):
        """A store with some groups in it, with its watermark; gives what is known."""
        opened, source, filings = self.open(), random.Random(seed), {}
        watermark = CommitWatermark(self.folder)
        for n in range(groups):
            group, filings = operations(source, filings, n)
            watermark.write(opened.database.commit(group))
        watermark.close()
        if close:
            opened.database.close()
        else:  # as a process that is killed leaves it: the log has not been moved into the database
            other = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
            self.addCleanup(shutil.rmtree, other)
            shutil.copytree(self.folder, other, dirs_exist_ok=True)
            opened.database.close()
            shutil.copytree(other, self.folder, dirs_exist_ok=True)
        return filings


class PowerCuts(Folder):
    def test_after_a_power_cut_all_that_was_durable_is_there_and_nothing_half(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                shutil.rmtree(self.folder)
                self.folder.mkdir()
                self.cut(seed)

    def cut(self, seed):
        source = random.Random(seed)
        self.open().database.close()
        cut_at, cut = source.randrange(1, 260), []

        def fails(operation, number):
            if number >= cut_at:
                power.dead = True
                cut.append(operation)
                raise apsw.IOError("the power fails")

        power = PowerLossDisk(fails)
        db = Database(self.path, vfs=power.name)
        self.addCleanup(power.unregister)
        db.read_contents()
        watermark = CommitWatermark(self.folder)
        filings, after = {}, {}
        try:
            for n in range(40):
                group, after = operations(source, filings, n)
                number = db.commit(group)
                filings = after
                if source.random() < 0.7:  # it is not synced: what reached the disk may be old
                    watermark.write(number)
                if source.random() < 0.2:
                    db.log_pages = database.CHECKPOINT_PAGES
                    db.checkpoint_if_due()
        except StoreFailedError:
            pass
        image = power.image(seed)
        power.dead = True
        db.close()
        for path, data in image.items():
            Path(path).write_bytes(data)
        opened = self.open()
        self.assertEqual((opened.condition, opened.loss_reasons), (StoreCondition.SOUND, []))
        self.assertIn(found(opened), (filings, after))
        opened.database.close()


class Damage(Folder):
    def reopened(self, known):
        """What a damaged folder is taken for: never for something that it was not."""
        opened = self.open()
        got = found(opened)
        if opened.condition is StoreCondition.SOUND:
            self.assertEqual({k: v[0] for k, v in got.items()}, {k: v[0] for k, v in known.items()})
        else:
            self.assertTrue(opened.loss.hold_ns > WINDOW)
        for key, (rid, result) in got.items():  # what is believed was written so, once
            self.assertTrue(rid.startswith("r"))
            self.assertTrue(result is None or result.outcome == "OK")
            if key in known and known[key][0] == rid and result is not None:
                self.assertEqual(result, known[key][1])
        opened.database.close()
        return opened.condition

    def damaged(self, change, seeds, close):
        cases = []
        for seed in range(seeds):
            with self.subTest(seed=seed):
                shutil.rmtree(self.folder)
                self.folder.mkdir()
                known = self.written(seed=seed, close=close)
                change(random.Random(seed))
                cases.append(self.reopened(known))
        return cases

    def files(self):
        return [
            p
            for p in (self.path, self.path.with_name(self.path.name + "-wal"))
            if p.exists() and p.stat().st_size
        ]

    def test_changed_bits_are_seen_or_do_no_harm(self):
        def flip(source):
            path = source.choice(self.files())
            data = bytearray(path.read_bytes())
            for _ in range(source.choice((1, 1, 3, 40))):
                data[source.randrange(len(data))] ^= 1 << source.randrange(8)
            path.write_bytes(data)

        for close in (True, False):
            cases = self.damaged(flip, SEEDS // 2, close)
            self.assertIn(StoreCondition.LOST, cases)

    def test_files_cut_anywhere_are_seen(self):
        def cut(source):
            path = source.choice(self.files())
            size = path.stat().st_size
            os.truncate(
                path,
                source.choice((0, 1, 24, 32, 4096, size // 4096 * 4096, size - 1, source.randrange(size)))
                % size,
            )

        for close in (True, False):
            self.damaged(cut, SEEDS // 2, close)

    def test_a_lost_tail_of_the_log_is_a_loss_though_what_is_left_is_whole(self):
        self.written(close=False)
        wal = self.path.with_name(self.path.name + "-wal")
        frames = (wal.stat().st_size - 32) // 4120
        self.assertGreater(frames, 3)
        os.truncate(wal, 32 + (frames // 2) * 4120)
        opened = self.open()
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertIn("commits are missing", opened.loss_reasons[0])

    def test_a_page_of_before_is_a_loss(self):
        self.written(groups=3)
        before = self.path.read_bytes()
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self.written(groups=12)
        self.path.write_bytes(before)
        self.assertEqual(self.open().condition, StoreCondition.LOST)

    def test_a_damaged_store_is_set_aside_its_sound_filings_live_on_and_the_hold_is_not_renewed(self):
        known = self.written()
        db = sqlite3.connect(self.path)
        db.execute("UPDATE begun SET data = zeroblob(40) WHERE key = (SELECT min(key) FROM begun)")
        db.commit()
        db.close()
        opened = self.open()
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertEqual(len(opened.intents), len(known) - 1)
        self.assertTrue((self.folder / opened.set_aside[0]).exists())
        opened.database.close()
        later = Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + 5 * NS_PER_S)
        again = self.open(later)
        self.assertEqual((again.condition, again.loss), (StoreCondition.SOUND, opened.loss))

    def test_a_result_that_is_damaged_is_no_result_and_no_loss(self):
        known = self.written(groups=40)
        key = next(k for k, (_, result) in known.items() if result)
        db = sqlite3.connect(self.path)
        db.execute("UPDATE finished SET data = zeroblob(40) WHERE key = ?", (key,))
        db.commit()
        db.close()
        opened = self.open()
        self.assertEqual((opened.condition, opened.database.read_result(key)), (StoreCondition.SOUND, None))


class Found(Folder):
    def test_an_empty_folder_is_a_first_start_and_one_that_lost_its_store_is_not(self):
        self.assertEqual(self.open().condition, StoreCondition.FIRST_START)
        for path in self.folder.iterdir():
            if path.name.startswith("state-"):
                path.unlink()
        opened = self.open(longest=NS_PER_S)
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertGreater(opened.loss.hold_ns, WINDOW)  # the longest that the folder has ever kept

    def test_one_of_a_newer_version_is_left_as_it_is_and_held_for_once(self):
        newer = self.folder / files.store_file_name(FORMAT_VERSION + 1)
        newer.write_bytes(b"who knows")
        opened = self.open()
        self.assertEqual((opened.condition, newer.read_bytes()), (StoreCondition.LOST, b"who knows"))
        opened.database.close()
        self.assertEqual(self.open().condition, StoreCondition.SOUND)
        os.utime(newer, ns=(1, 1))  # it was used again meanwhile
        self.assertEqual(self.open().condition, StoreCondition.LOST)

    def test_stale_entries_go_and_the_rest_age(self):
        self.written()
        count = len(self.open().intents)
        later = self.open(Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + 5 * NS_PER_S))
        self.assertEqual({intent.remaining_ns for intent in later.intents}, {WINDOW - 5 * NS_PER_S})
        over = self.open(Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + WINDOW))
        self.assertEqual((over.intents, len(over.expired_intents)), ([], count))

    def test_a_swap_that_was_not_finished_is_finished(self):
        known = self.written()
        for ending in (files.NEW_SUFFIX, files.REPLACEMENT_SUFFIX):
            os.replace(self.path, self.path.with_name(self.path.name + ending))
            opened = self.open()
            self.assertEqual((opened.condition, len(opened.intents)), (StoreCondition.SOUND, len(known)))
            opened.database.close()

    def test_the_lock_names_its_holder_and_is_free_once_let_go(self):
        lock = FolderLock(self.folder, "n1")
        with self.assertRaises(StoreLockedError) as held:
            FolderLock(self.folder, "n2")
        self.assertIn(f"process {os.getpid()} (n1)", str(held.exception))
        lock.release()
        FolderLock(self.folder, "n2").release()


class Older(Folder):
    FIXTURE = FIXTURES / "format-1"  # as format 1 was written

    def test_a_store_of_format_1_is_taken_over_aged_and_kept(self):
        shutil.copytree(self.FIXTURE, self.folder, dirs_exist_ok=True)
        before = (self.folder / "state-1.db").read_bytes()
        opened = self.open(Timestamp(1764576000 * NS_PER_S + 5 * NS_PER_S, "another boot", NS_PER_S))
        self.assertEqual((opened.condition, opened.loss_reasons), (StoreCondition.SOUND, []))
        self.assertEqual([i.record.idempotency_key[2] for i in opened.intents], ["k1", "k2"])
        self.assertEqual([r.idempotency_key[2] for r in opened.expired_intents], ["k3"])
        first = opened.intents[0].record
        self.assertEqual((first.target, first.worker_name), (b"/filings", "n1"))
        self.assertEqual(opened.database.read_result(encode_key(first.idempotency_key)).body, b"result of 1")
        self.assertEqual((opened.learned.values, opened.learned.layout), ({"floor": 3}, 1))
        opened.database.close()
        kept = [p for p in self.folder.iterdir() if p.name.startswith("state-1.db.taken")]
        self.assertEqual([p.read_bytes() for p in kept], [before])
        self.assertEqual(self.open().condition, StoreCondition.SOUND)

    def test_one_of_format_1_beside_one_of_now_is_merged(self):
        """A release was taken back, and is tried again."""
        known = self.written()
        for name in ("state-1.db",):
            shutil.copy(self.FIXTURE / name, self.folder)
        opened = self.open(Timestamp(1764576000 * NS_PER_S, "boot", NOW.since_boot_ns))
        self.assertEqual(opened.condition, StoreCondition.SOUND)
        tokens = {i.record.idempotency_key[2] for i in opened.intents}
        self.assertTrue({"k1", "k2"} <= tokens)
        self.assertEqual(len(tokens), len(known) + 3 - len(opened.expired_intents))

    def test_a_damaged_one_of_format_1_is_a_loss_and_the_rest_of_it_lives_on(self):
        shutil.copytree(self.FIXTURE, self.folder, dirs_exist_ok=True)
        db = sqlite3.connect(self.folder / "state-1.db")
        db.execute("UPDATE begun SET data = zeroblob(40) WHERE key = (SELECT min(key) FROM begun)")
        db.commit()
        db.close()
        opened = self.open(Timestamp(1764576000 * NS_PER_S, "boot", NS_PER_S))
        self.assertEqual(
            (opened.condition, len(opened.intents) + len(opened.expired_intents)), (StoreCondition.LOST, 2)
        )


class Errors(Folder):
    def under(self, fails):
        self.open().database.close()
        self.bad = PowerLossDisk(fails)
        self.addCleanup(self.bad.unregister)
        db = Database(self.path, vfs=self.bad.name)
        self.addCleanup(db.close)
        db.read_contents()
        return db

    def test_a_disk_that_fills_up_in_a_commit_leaves_nothing_of_it(self):
        full = []

        def fails(operation, number):
            if full and operation == "write" and number > full[0]:
                raise apsw.FullError("full")

        db = self.under(fails)
        record = filing(1)
        for room in range(1, 6):
            full[:] = [self.bad.operations + room]
            big = PutResult(encode_key(filing(2).idempotency_key), ResultRecord("OK", True, bytes(30_000)))
            with self.assertRaises(StoreFailedError) as failed:
                db.commit([PutIntent(record.request_id, encode_key(record.idempotency_key), record), big])
            self.assertEqual(failed.exception.kind, FailureKind.FULL)
            full.clear()
            self.assertEqual(db.read_contents().intents, [])
        db.commit([PutIntent(record.request_id, encode_key(record.idempotency_key), record)])
        self.assertEqual(db.read_contents().intents, [record])

    def test_the_bound_of_its_size_is_an_error_of_the_same_kind(self):
        opened = open_store(self.folder, 0.1, WINDOW, NOW)
        self.addCleanup(opened.database.close)
        with self.assertRaises(StoreFailedError) as failed:
            for n in range(100):
                opened.database.commit([PutResult(b"%d" % n, ResultRecord("OK", True, bytes(10_000)))])
        self.assertEqual(failed.exception.kind, FailureKind.FULL)

    def test_a_failed_sync_is_told_apart_and_the_store_written_anew_holds_what_was_good(self):
        broken = []

        def fails(operation, number):
            if broken and operation == "sync":
                error = apsw.IOError("fsync")
                error.extendedresult = apsw.SQLITE_IOERR_FSYNC
                raise error

        db = self.under(fails)
        good, bad = filing(1), filing(2)
        db.commit(
            [
                PutIntent(good.request_id, encode_key(good.idempotency_key), good),
                PutResult(encode_key(good.idempotency_key), ResultRecord("OK", True, b"result")),
            ]
        )
        broken.append(True)
        with self.assertRaises(StoreFailedError) as failed:
            db.commit([PutIntent(bad.request_id, encode_key(bad.idempotency_key), bad)])
        self.assertEqual(failed.exception.kind, FailureKind.SYNC)
        broken.clear()
        opened = type("Opened", (), {"database": db, "set_aside": []})()
        again = rebuild_store(opened, 64, [good], None, LearnedStateRecord(NOW, {"x": 1}, 1))
        self.addCleanup(again.close)
        contents = again.read_contents()
        self.assertEqual((contents.intents, contents.learned.values), ([good], {"x": 1}))
        self.assertEqual(again.read_result(encode_key(good.idempotency_key)).body, b"result")
        self.assertTrue((self.folder / opened.set_aside[0]).exists())
        again.close()
        self.assertEqual(self.open().condition, StoreCondition.SOUND)


if __name__ == "__main__":
    unittest.main()
