"""Damaged store files: detection, reporting and repair."""

import os
import random
import shutil
import sqlite3

from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, SEEDS, WINDOW_NS, StoreFolderTestCase, stored_contents


class DamagedFilesTest(StoreFolderTestCase):
    """Modified, truncated and missing files."""

    def reopen_and_check(self, written):
        """Opens a damaged folder; returns its condition.

        The condition is SOUND only if all written filings are there, and no record differs from the written
        one.
        """
        opened = self.open()
        contents = stored_contents(opened)
        if opened.condition is StoreCondition.SOUND:
            self.assertEqual(
                {stored_key: entry[0] for stored_key, entry in contents.items()},
                {stored_key: entry[0] for stored_key, entry in written.items()},
            )
        else:
            self.assertTrue(opened.loss.hold_ns > WINDOW_NS)
        for key, (request_id, result) in contents.items():
            self.assertTrue(request_id.startswith("r"))
            self.assertTrue(result is None or result.outcome == "OK")
            if key in written and written[key][0] == request_id and result is not None:
                self.assertEqual(result, written[key][1])
        opened.database.close()
        return opened.condition

    def conditions_after(self, damage, seeds, close):
        """Damages a new store for each seed; returns the conditions in which the folders are found."""
        conditions = []
        for seed in range(seeds):
            with self.subTest(seed=seed):
                shutil.rmtree(self.folder)
                self.folder.mkdir()
                written = self.write_store(seed=seed, close=close)
                damage(random.Random(seed))
                conditions.append(self.reopen_and_check(written))
        return conditions

    def database_files(self):
        return [
            file
            for file in (self.path, self.path.with_name(self.path.name + "-wal"))
            if file.exists() and file.stat().st_size
        ]

    def test_flipped_bits_are_detected_or_harmless(self):
        def flip_bits(random_source):
            path = random_source.choice(self.database_files())
            data = bytearray(path.read_bytes())
            for _ in range(random_source.choice((1, 1, 3, 40))):
                data[random_source.randrange(len(data))] ^= 1 << random_source.randrange(8)
            path.write_bytes(data)

        for close in (True, False):
            conditions = self.conditions_after(flip_bits, SEEDS // 2, close)
            self.assertIn(StoreCondition.LOST, conditions)

    def test_truncated_files_are_detected_or_harmless(self):
        def truncate(random_source):
            path = random_source.choice(self.database_files())
            size = path.stat().st_size
            os.truncate(
                path,
                random_source.choice(
                    (0, 1, 24, 32, 4096, size // 4096 * 4096, size - 1, random_source.randrange(size))
                )
                % size,
            )

        for close in (True, False):
            self.conditions_after(truncate, SEEDS // 2, close)

    def test_a_truncated_write_ahead_log_is_a_loss_even_if_the_remaining_frames_are_valid(self):
        self.write_store(close=False)
        wal = self.path.with_name(self.path.name + "-wal")
        frames = (wal.stat().st_size - 32) // 4120
        self.assertGreater(frames, 3)
        os.truncate(wal, 32 + (frames // 2) * 4120)
        opened = self.open()
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertIn("commits are missing", opened.loss_reasons[0])

    def test_an_outdated_database_file_is_a_loss(self):
        self.write_store(groups=3)
        outdated = self.path.read_bytes()
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        self.write_store(groups=12)
        self.path.write_bytes(outdated)
        self.assertEqual(self.open().condition, StoreCondition.LOST)

    def test_a_damaged_store_is_set_aside_its_sound_filings_are_kept_and_the_hold_is_not_renewed(self):
        written = self.write_store()
        db = sqlite3.connect(self.path)
        db.execute("UPDATE begun SET data = zeroblob(40) WHERE key = (SELECT min(key) FROM begun)")
        db.commit()
        db.close()
        opened = self.open()
        self.assertEqual(opened.condition, StoreCondition.LOST)
        self.assertEqual(len(opened.intents), len(written) - 1)
        self.assertTrue((self.folder / opened.set_aside[0]).exists())
        opened.database.close()
        later = Timestamp(NOW.unix_ns, NOW.boot_id, NOW.since_boot_ns + 5 * NS_PER_S)
        reopened = self.open(later)
        self.assertEqual((reopened.condition, reopened.loss), (StoreCondition.SOUND, opened.loss))

    def test_a_damaged_result_counts_as_missing_and_is_no_data_loss(self):
        written = self.write_store(groups=40)
        key = next(stored_key for stored_key, (_, result) in written.items() if result)
        db = sqlite3.connect(self.path)
        db.execute("UPDATE finished SET data = zeroblob(40) WHERE key = ?", (key,))
        db.commit()
        db.close()
        opened = self.open()
        self.assertEqual((opened.condition, opened.database.read_result(key)), (StoreCondition.SOUND, None))
