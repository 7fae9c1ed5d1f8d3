"""A test case with a store folder, and operations to fill it."""

import os
import random
import shutil
import tempfile
import unittest
from pathlib import Path

from ochrehoist.store import files
from ochrehoist.store.files import CommitWatermark
from ochrehoist.store.operations import DeleteIntent, PutIntent, PutResult
from ochrehoist.store.records import (
    IntentRecord,
    ResultRecord,
    encode_key,
)
from ochrehoist.store.store_repair import open_store
from ochrehoist.store.timestamps import Timestamp
from ochrehoist.units import NS_PER_S
from tests.support.environment import MEMORY_FOLDER

SEEDS = int(os.environ.get("SEEDS", "120"))

NOW = Timestamp(10**18, "boot", 10**14)

WINDOW = 20 * NS_PER_S


def filing(n, serial=0):
    return IntentRecord(
        ("acme", "filing", f"key {n}"), f"r{n}.{serial}", WINDOW, WINDOW, NOW, None, b"%032d" % n
    )


def operations(source, filings, serial):
    """One group, and what is known after it."""
    after, group = dict(filings), []
    for _ in range(source.randrange(1, 6)):
        n = source.randrange(30)
        record = filing(n, serial)
        key, kind = encode_key(record.idempotency_key), source.random()
        if any(op.key == key for op in group):
            continue
        if kind < 0.5:
            group.append(PutIntent(record.request_id, key, record))
            after[key] = (record.request_id, None)
        elif key in after and after[key][1] is None and kind < 0.8:
            result = ResultRecord("OK", True, source.randbytes(source.randrange(2000)))
            group.append(PutResult(key, result))
            after[key] = (after[key][0], result)
        else:
            group.append(DeleteIntent(key))
            after.pop(key, None)
    return group, after


def found(opened):
    known = {}
    for intent in opened.intents:
        key = encode_key(intent.record.idempotency_key)
        result = opened.database.read_result(key) if intent.has_result else None
        known[key] = (intent.record.request_id, result)
    return known


class Folder(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = self.folder / files.store_file_name()

    def open(self, now=NOW, longest=WINDOW):
        opened = open_store(self.folder, 64, longest, now)
        self.addCleanup(opened.database.close)
        return opened

    def written(self, groups=12, seed=1, close=True):
        """A store with some groups in it, with its watermark; gives what is known."""
        opened, source, filings = self.open(), random.Random(seed), {}
        watermark = CommitWatermark(self.folder)
        for n in range(groups):
            group, filings = operations(source, filings, n)
            watermark.write(opened.database.commit(group))
        watermark.close()
        if close:
            opened.database.close()
        else:  # as a process that is killed leaves it: the log has not been moved into the database
            other = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
            self.addCleanup(shutil.rmtree, other)
            shutil.copytree(self.folder, other, dirs_exist_ok=True)
            opened.database.close()
            shutil.copytree(other, self.folder, dirs_exist_ok=True)
        return filings
