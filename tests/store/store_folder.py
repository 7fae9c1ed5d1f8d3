"""A test case with a temporary store folder, and generated operations to fill it."""

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

WINDOW_NS = 20 * NS_PER_S


def filing(number, serial=0):
    """Returns the intent of a filing; `serial` distinguishes several runs of one filing."""
    return IntentRecord(
        ("acme", "filing", f"key {number}"),
        f"r{number}.{serial}",
        WINDOW_NS,
        WINDOW_NS,
        NOW,
        None,
        b"%032d" % number,
    )


def random_group(random_source, filings, serial):
    """Returns a group of random operations, and the expected contents after its commit.

    Contents are request id and result by key.
    """
    contents_after, group = dict(filings), []
    for _ in range(random_source.randrange(1, 6)):
        number = random_source.randrange(30)
        record = filing(number, serial)
        key, choice = encode_key(record.idempotency_key), random_source.random()
        if any(operation.key == key for operation in group):
            continue
        if choice < 0.5:
            group.append(PutIntent(None, key, record))
            contents_after[key] = (record.request_id, None)
        elif key in contents_after and contents_after[key][1] is None and choice < 0.8:
            result = ResultRecord("OK", True, random_source.randbytes(random_source.randrange(2000)))
            group.append(PutResult(key, result))
            contents_after[key] = (contents_after[key][0], result)
        else:
            group.append(DeleteIntent(key))
            contents_after.pop(key, None)
    return group, contents_after


def stored_contents(opened):
    """Returns the request id and result of each live intent of an opened store, by key."""
    contents = {}
    for intent in opened.intents:
        key = encode_key(intent.record.idempotency_key)
        result = opened.database.read_result(key) if intent.has_result else None
        contents[key] = (intent.record.request_id, result)
    return contents


class StoreFolderTestCase(unittest.TestCase):
    """A test case with a temporary folder, in which it opens and fills stores."""

    def setUp(self):
        """Creates the folder."""
        self.folder = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
        self.addCleanup(shutil.rmtree, self.folder)
        self.path = self.folder / files.store_file_name()

    def open(self, now=NOW, longest_window_ns=WINDOW_NS):
        """Opens the store."""
        opened = open_store(self.folder, 64, longest_window_ns, now)
        self.addCleanup(opened.database.close)
        return opened

    def write_store(self, groups=12, seed=1, close=True):
        """Writes a store with random groups and its watermark; returns the expected contents.

        Without `close` the store is left as by a killed process: the write-ahead log has no checkpoint.
        """
        opened, random_source, filings = self.open(), random.Random(seed), {}
        watermark = CommitWatermark(self.folder)
        for serial in range(groups):
            group, filings = random_group(random_source, filings, serial)
            watermark.write(opened.database.commit(group))
        watermark.close()
        if close:
            opened.database.close()
        else:  # closing makes a checkpoint, so the files from before it are restored
            copy = Path(tempfile.mkdtemp(dir=MEMORY_FOLDER))
            self.addCleanup(shutil.rmtree, copy)
            shutil.copytree(self.folder, copy, dirs_exist_ok=True)
            opened.database.close()
            shutil.copytree(copy, self.folder, dirs_exist_ok=True)
        return filings
