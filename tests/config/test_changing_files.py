"""Files that change while they are read."""

import os
from pathlib import Path
from unittest import mock

from ochrehoist.config import loader as config
from ochrehoist.config import source as config_source
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml_file
from ochrehoist.steps import run_to_completion
from tests.config.large_configurations import Files, appliance, rule, tenant


class Changing(Files):
    """Files that are written while they are read."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.multiple(config_source, READ_BYTES=100, MAX_SINGLE_STEP_CHARS=0)
        patch.start()
        self.addCleanup(patch.stop)
        self.texts = [
            toml_file(appliance([tenant(n, Name=f"{word}{n}") for n in range(20)], [rule(0)]))
            for word in ("old", "new")
        ]

    def interrupted(self, by, path=None):
        """The names read, where `by` is called when most of the file is."""
        path = path or self.file(self.texts[0])
        reading = config.load_in_steps(path, {}, None)
        for _ in range(len(self.texts[0]) * 8 // 10 // config_source.READ_BYTES):
            next(reading)
        by(path)
        return {t.name[:3] for t in run_to_completion(reading).settings.tenants}

    def test_one_that_is_written_anew_in_its_place_is_read_anew(self):
        self.assertEqual(self.interrupted(lambda path: Path(path).write_text(self.texts[1])), {"new"})

    def test_one_that_is_replaced_is_read_anew(self):
        other = self.file(self.texts[1], "b")
        self.assertEqual(self.interrupted(lambda path: os.replace(other, path)), {"new"})

    def test_one_whose_name_comes_to_mean_another_is_read_anew(self):
        old, new = self.file(self.texts[0], "old.toml"), self.file(self.texts[1], "new.toml")
        path = f"{old}.link"
        os.symlink(old, path)

        def turn(path):
            os.symlink(new, f"{path}2")
            os.replace(f"{path}2", path)

        self.assertEqual(self.interrupted(turn, path), {"new"})

    def test_one_that_is_half_written_when_read_first_is_read_again(self):
        half = self.texts[1].encode()[: len(self.texts[1]) // 2] + b"\xff"

        def twice(path):
            Path(path).write_bytes(half)
            Path(path).write_text(self.texts[1])

        self.assertEqual(self.interrupted(twice), {"new"})

    def test_one_that_goes_is_told(self):
        with self.assertRaises(InvalidInputError) as raised:
            self.interrupted(os.remove)
        self.assertIn("setting OCHREHOIST_AJP", str(raised.exception))

    def test_one_that_never_comes_to_rest_is_refused_after_some_tries(self):
        path, count = self.file(self.texts[0]), 0
        reading = config.load_in_steps(path, {}, None)
        with self.assertRaises(InvalidInputError) as raised:
            for count in range(100_000):  # noqa: B007
                next(reading)
                with open(path, "a") as file:
                    file.write("#\n")
        self.assertIn("changes while it is read", str(raised.exception))
        self.assertLess(count, 2 * config_source.MAX_READ_ATTEMPTS * len(self.texts[0]) // 100)

    def test_what_is_no_utf_8_is_told_with_its_line(self):
        text = self.texts[0].encode().replace(b"old7", b"old\xff")
        line = text[: text.index(b"\xff")].count(b"\n") + 1
        self.assertIn(f"not UTF-8: invalid start byte (at line {line})", self.refused(text))
