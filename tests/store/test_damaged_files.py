"""Damaged files: found, reported and repaired."""

import os
import random
import shutil
import sqlite3

from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, SEEDS, WINDOW, Folder, found


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
