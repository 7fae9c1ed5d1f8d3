"""Opening of stores in empty, foreign, interrupted and locked folders."""

import os

from ochrehoist.store import files
from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.errors import StoreLockedError
from ochrehoist.store.lock import FolderLock
from ochrehoist.store.records import (
    FORMAT_VERSION,
)
from ochrehoist.store.store_repair import open_store
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, WINDOW_NS, StoreFolderTestCase


class OpeningTest(StoreFolderTestCase):
    """Conditions of folders when a store is opened."""

    def test_an_empty_folder_is_a_first_start_and_one_without_its_former_store_is_a_loss(self):
        self.assertEqual(self.open().condition, StoreCondition.FIRST_START)
        for path in self.folder.iterdir():
            if path.name.startswith("state-"):
                path.unlink()
        opened = self.open(longest_window_ns=NS_PER_S)
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertGreater(opened.loss.hold_ns, WINDOW_NS)  # the longest window ever used with the folder

    def test_a_store_of_a_newer_version_is_not_changed_and_counts_as_one_loss_until_modified(self):
        newer = self.folder / files.store_file_name(FORMAT_VERSION + 1)
        newer.write_bytes(b"who knows")
        opened = self.open()
        self.assertEqual((opened.condition, newer.read_bytes()), (StoreCondition.LOST, b"who knows"))
        opened.database.close()
        self.assertEqual(self.open().condition, StoreCondition.SOUND)
        os.utime(newer, ns=(1, 1))  # as if a newer release had used it again
        self.assertEqual(self.open().condition, StoreCondition.LOST)

    def test_intents_expire_with_their_windows(self):
        self.write_store()
        count = len(self.open().intents)
        later = self.open(Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + 5 * NS_PER_S))
        self.assertEqual({intent.remaining_ns for intent in later.intents}, {WINDOW_NS - 5 * NS_PER_S})
        after_window = self.open(Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + WINDOW_NS))
        self.assertEqual((after_window.intents, len(after_window.expired_intents)), ([], count))

    def test_longer_windows_of_the_settings_apply_to_stored_intents(self):
        count = len(self.write_store())
        later = Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + WINDOW_NS)
        for windows_ns, live in (
            ({"filing": 2 * WINDOW_NS}, count),
            ({"filing": WINDOW_NS, "other": 1 << 60}, 0),
        ):
            opened = open_store(self.folder, 64, WINDOW_NS, later, windows_ns)
            self.assertEqual((len(opened.intents), len(opened.expired_intents)), (live, count - live))
            opened.database.close()

    def test_the_hold_of_a_first_start_is_on_record_if_earlier_runs_may_be_lost(self):
        self.assertIsNone(self.open().loss)
        for path in self.folder.iterdir():
            path.unlink()
        opened = open_store(self.folder, 64, WINDOW_NS, NOW, {}, True)
        self.assertEqual((opened.condition, opened.loss_reasons), (StoreCondition.FIRST_START, []))
        opened.database.close()
        second = open_store(self.folder, 64, WINDOW_NS, NOW, {}, True)
        self.addCleanup(second.database.close)
        self.assertEqual((second.condition, second.loss), (StoreCondition.SOUND, opened.loss))
        self.assertGreaterEqual(second.loss.hold_ns, WINDOW_NS)

    def test_an_interrupted_replacement_of_the_store_is_completed(self):
        written = self.write_store()
        for suffix in (files.NEW_SUFFIX, files.REPLACEMENT_SUFFIX):
            os.replace(self.path, self.path.with_name(self.path.name + suffix))
            opened = self.open()
            self.assertEqual((opened.condition, len(opened.intents)), (StoreCondition.SOUND, len(written)))
            opened.database.close()

    def test_the_error_of_a_held_lock_names_its_holder_and_a_released_lock_is_free(self):
        lock = FolderLock(self.folder, "n1")
        with self.assertRaises(StoreLockedError) as raised:
            FolderLock(self.folder, "n2")
        self.assertIn(f"process {os.getpid()} (n1)", str(raised.exception))
        lock.release()
        FolderLock(self.folder, "n2").release()
