"""Full and failing disks."""

import apsw

from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.database import Database
from ochrehoist.store.errors import FailureKind, StoreFailedError
from ochrehoist.store.operations import PutIntent, PutResult
from ochrehoist.store.records import (
    LearnedStateRecord,
    ResultRecord,
    encode_key,
)
from ochrehoist.store.store_repair import open_store, rebuild_store
from tests.stand_ins.power_loss_disk import PowerLossDisk
from tests.store.store_folder import NOW, WINDOW, Folder, filing


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
