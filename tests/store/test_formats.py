"""Folders of earlier and later formats."""

import shutil
import sqlite3

from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.records import (
    encode_key,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, Folder
from tests.support.environment import FIXTURES


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
