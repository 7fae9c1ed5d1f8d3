"""Folders as they may be found when a store opens."""

import os

from ochrehoist.store import files
from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.errors import StoreLockedError
from ochrehoist.store.lock import FolderLock
from ochrehoist.store.records import (
    FORMAT_VERSION,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, WINDOW, Folder


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
