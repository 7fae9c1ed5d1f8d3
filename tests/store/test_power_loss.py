"""Power lost at each write and sync: what was confirmed is there."""

import random
import shutil
from pathlib import Path

import apsw

from ochrehoist.store import database
from ochrehoist.store.damage import StoreCondition
from ochrehoist.store.database import Database
from ochrehoist.store.errors import StoreFailedError
from ochrehoist.store.files import CommitWatermark
from tests.stand_ins.power_loss_disk import PowerLossDisk
from tests.store.store_folder import SEEDS, StoreFolderTestCase, found, operations


class PowerLossTest(StoreFolderTestCase):
    """Power lost at any operation."""

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
                message = "the power fails"
                raise apsw.IOError(message)

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
                    db.wal_pages = database.CHECKPOINT_PAGES
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
