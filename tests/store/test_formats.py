"""Migration of folders of format version 1."""

import shutil
import sqlite3

from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.records import (
    encode_key,
)
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.store.store_folder import NOW, StoreFolderTestCase
from tests.support.environment import FIXTURES


class OlderFormatsTest(StoreFolderTestCase):
    """Folders with a store of format version 1."""

    FIXTURE = FIXTURES / "format-1"  # written by a release with format version 1

    def test_a_store_of_format_1_is_migrated_its_windows_age_and_the_old_file_is_kept(self):
        shutil.copytree(self.FIXTURE, self.folder, dirs_exist_ok=True)
        old_store = (self.folder / "state-1.db").read_bytes()
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
        self.assertEqual([p.read_bytes() for p in kept], [old_store])
        self.assertEqual(self.open().condition, StoreCondition.SOUND)

    def test_a_store_of_format_1_is_merged_with_one_of_the_current_format(self):
        """Guards against the loss of either store after a rollback of a release and a second upgrade."""
        written = self.write_store()
        for name in ("state-1.db",):
            shutil.copy(self.FIXTURE / name, self.folder)
        opened = self.open(Timestamp(1764576000 * NS_PER_S, "boot", NOW.since_boot_ns))
        self.assertEqual(opened.condition, StoreCondition.SOUND)
        caller_keys = {i.record.idempotency_key[2] for i in opened.intents}
        self.assertTrue({"k1", "k2"} <= caller_keys)
        self.assertEqual(len(caller_keys), len(written) + 3 - len(opened.expired_intents))

    def test_a_damaged_store_of_format_1_is_a_loss_and_its_sound_records_are_kept(self):
        shutil.copytree(self.FIXTURE, self.folder, dirs_exist_ok=True)
        db = sqlite3.connect(self.folder / "state-1.db")
        db.execute("UPDATE begun SET data = zeroblob(40) WHERE key = (SELECT min(key) FROM begun)")
        db.commit()
        db.close()
        opened = self.open(Timestamp(1764576000 * NS_PER_S, "boot", NS_PER_S))
        self.assertEqual(
            (opened.condition, len(opened.intents) + len(opened.expired_intents)), (StoreCondition.LOST, 2)
        )
