"""Tests of files that change while they are read."""

import os
from pathlib import Path
from unittest import mock

from ochrehoist.config import loader as config
from ochrehoist.config import source as config_source
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml_file
from ochrehoist.steps import run_to_completion
from tests.config.large_configurations import ConfigurationFilesTestCase, appliance, rule, tenant


class ChangingFilesTest(ConfigurationFilesTestCase):
    """A file that is changed during reading is read again as a whole, never as a mixture of two versions."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.multiple(config_source, READ_BYTES=100, MAX_SINGLE_STEP_CHARS=0)
        patch.start()
        self.addCleanup(patch.stop)
        self.texts = [
            toml_file(appliance([tenant(n, Name=f"{word}{n}") for n in range(20)], [rule(0)]))
            for word in ("old", "new")
        ]

    def tenant_prefixes_after(self, change, path=None):
        """Returns the tenant name prefixes read if `change(path)` is called after 80 % of the steps."""
        path = path or self.file(self.texts[0])
        reading = config.load_in_steps(path, {}, None)
        for _ in range(len(self.texts[0]) * 8 // 10 // config_source.READ_BYTES):
            next(reading)
        change(path)
        return {t.name[:3] for t in run_to_completion(reading).settings.tenants}

    def test_a_file_overwritten_in_place_is_read_again(self):
        self.assertEqual(
            self.tenant_prefixes_after(lambda path: Path(path).write_text(self.texts[1])), {"new"}
        )

    def test_a_file_replaced_by_another_is_read_again(self):
        other = self.file(self.texts[1], "b")
        self.assertEqual(self.tenant_prefixes_after(lambda path: os.replace(other, path)), {"new"})

    def test_a_symbolic_link_redirected_to_another_file_is_read_again(self):
        old, new = self.file(self.texts[0], "old.toml"), self.file(self.texts[1], "new.toml")
        path = f"{old}.link"
        os.symlink(old, path)

        def redirect_link(path):
            os.symlink(new, f"{path}2")
            os.replace(f"{path}2", path)

        self.assertEqual(self.tenant_prefixes_after(redirect_link, path), {"new"})

    def test_a_half_written_file_with_invalid_utf_8_is_read_again(self):
        half = self.texts[1].encode()[: len(self.texts[1]) // 2] + b"\xff"

        def write_in_two_steps(path):
            Path(path).write_bytes(half)
            Path(path).write_text(self.texts[1])

        self.assertEqual(self.tenant_prefixes_after(write_in_two_steps), {"new"})

    def test_a_file_that_disappears_is_reported(self):
        with self.assertRaises(InvalidInputError) as raised:
            self.tenant_prefixes_after(os.remove)
        self.assertIn("setting OCHREHOIST_AJP", str(raised.exception))

    def test_a_file_that_keeps_changing_is_rejected_after_a_limited_number_of_attempts(self):
        path, count = self.file(self.texts[0]), 0
        reading = config.load_in_steps(path, {}, None)
        with self.assertRaises(InvalidInputError) as raised:
            for count in range(100_000):  # noqa: B007
                next(reading)
                with open(path, "a") as file:
                    file.write("#\n")
        self.assertIn("changes while it is read", str(raised.exception))
        self.assertLess(count, 2 * config_source.MAX_READ_ATTEMPTS * len(self.texts[0]) // 100)

    def test_invalid_utf_8_is_reported_with_its_line(self):
        text = self.texts[0].encode().replace(b"old7", b"old\xff")
        line = text[: text.index(b"\xff")].count(b"\n") + 1
        self.assertIn(f"not UTF-8: invalid start byte (at line {line})", self.rejection_message(text))
