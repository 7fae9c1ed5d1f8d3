"""Commits on full and failing disks."""

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
from tests.store.store_folder import NOW, WINDOW_NS, StoreFolderTestCase, filing


class DiskErrorsTest(StoreFolderTestCase):
    """A database on a disk that fails selected writes and syncs."""

    def open_on_failing_disk(self, fail):
        """Opens the store on a disk that calls `fail` with each write, truncation or sync and its number."""
        self.open().database.close()
        self.disk = PowerLossDisk(fail)
        self.addCleanup(self.disk.unregister)
        store = Database(self.path, vfs=self.disk.name)
        self.addCleanup(store.close)
        store.read_contents()
        return store

    def test_a_commit_on_a_disk_that_becomes_full_is_rolled_back_completely(self):
        full_after = []

        def fail_writes_on_full_disk(operation, number):
            if full_after and operation == "write" and number > full_after[0]:
                raise apsw.FullError("full")

        store = self.open_on_failing_disk(fail_writes_on_full_disk)
        record = filing(1)
        for free_operations in range(1, 6):
            full_after[:] = [self.disk.operations + free_operations]
            large_result = PutResult(
                encode_key(filing(2).idempotency_key), ResultRecord("OK", True, bytes(30_000))
            )
            with self.assertRaises(StoreFailedError) as raised:
                store.commit([PutIntent(None, encode_key(record.idempotency_key), record), large_result])
            self.assertEqual(raised.exception.kind, FailureKind.FULL)
            full_after.clear()
            self.assertEqual(store.read_contents().intents, [])
        store.commit([PutIntent(None, encode_key(record.idempotency_key), record)])
        self.assertEqual(store.read_contents().intents, [record])

    def test_exceeding_the_size_limit_of_the_store_is_a_full_disk_error(self):
        opened = open_store(self.folder, 0.1, WINDOW_NS, NOW)
        self.addCleanup(opened.database.close)
        with self.assertRaises(StoreFailedError) as raised:
            for n in range(100):
                opened.database.commit([PutResult(b"%d" % n, ResultRecord("OK", True, bytes(10_000)))])
        self.assertEqual(raised.exception.kind, FailureKind.FULL)

    def test_a_failed_sync_is_recognised_and_the_rebuilt_store_holds_the_committed_records(self):
        sync_fails = []

        def fail_syncs(operation, number):
            if sync_fails and operation == "sync":
                error = apsw.IOError("fsync")
                error.extendedresult = apsw.SQLITE_IOERR_FSYNC
                raise error

        store = self.open_on_failing_disk(fail_syncs)
        committed, uncommitted = filing(1), filing(2)
        store.commit(
            [
                PutIntent(None, encode_key(committed.idempotency_key), committed),
                PutResult(encode_key(committed.idempotency_key), ResultRecord("OK", True, b"result")),
            ]
        )
        sync_fails.append(True)
        with self.assertRaises(StoreFailedError) as raised:
            store.commit([PutIntent(None, encode_key(uncommitted.idempotency_key), uncommitted)])
        self.assertEqual(raised.exception.kind, FailureKind.SYNC)
        sync_fails.clear()
        opened = type("Opened", (), {"database": store, "set_aside": []})()
        rebuilt = rebuild_store(opened, 64, [committed], None, LearnedStateRecord(NOW, {"x": 1}, 1))
        self.addCleanup(rebuilt.close)
        contents = rebuilt.read_contents()
        self.assertEqual((contents.intents, contents.learned.values), ([committed], {"x": 1}))
        self.assertEqual(rebuilt.read_result(encode_key(committed.idempotency_key)).body, b"result")
        self.assertTrue((self.folder / opened.set_aside[0]).exists())
        rebuilt.close()
        self.assertEqual(self.open().condition, StoreCondition.SOUND)
