"""Power failures at each write and sync: committed operations are durable."""

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
from tests.store.store_folder import SEEDS, StoreFolderTestCase, random_group, stored_contents


class PowerLossTest(StoreFolderTestCase):
    """Power failures at any disk operation."""

    def test_after_a_power_failure_committed_groups_are_complete_and_others_absent(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                shutil.rmtree(self.folder)
                self.folder.mkdir()
                self.fail_power_and_check(seed)

    def fail_power_and_check(self, seed):
        """Fails the power at a random operation, and checks the contents of the folder afterwards."""
        random_source = random.Random(seed)
        self.open().database.close()
        first_failing, failed_operations = random_source.randrange(1, 260), []

        def fail(operation, number):
            if number >= first_failing:
                disk.dead = True
                failed_operations.append(operation)
                message = "power failure"
                raise apsw.IOError(message)

        disk = PowerLossDisk(fail)
        store = Database(self.path, vfs=disk.name)
        self.addCleanup(disk.unregister)
        store.read_contents()
        watermark = CommitWatermark(self.folder)
        filings, filings_after = {}, {}
        try:
            for serial in range(40):
                group, filings_after = random_group(random_source, filings, serial)
                commit_number = store.commit(group)
                filings = filings_after
                # The watermark is written without a sync, so an old one may be on disk.
                if random_source.random() < 0.7:
                    watermark.write(commit_number)
                if random_source.random() < 0.2:
                    store.wal_pages = database.CHECKPOINT_PAGES
                    store.checkpoint_if_due()
        except StoreFailedError:
            pass
        image = disk.image(seed)
        disk.dead = True
        store.close()
        for path, data in image.items():
            Path(path).write_bytes(data)
        opened = self.open()
        self.assertEqual((opened.condition, opened.loss_reasons), (StoreCondition.SOUND, []))
        self.assertIn(stored_contents(opened), (filings, filings_after))
        opened.database.close()
