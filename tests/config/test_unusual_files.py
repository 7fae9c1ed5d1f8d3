"""Tests of large files whose form does not allow splitting them into chunks."""

import sys
import tomllib

from ochrehoist.config import loader as config
from ochrehoist.lab.toml import toml
from tests.config.large_configurations import ConfigurationFilesTestCase, large_toml, run_counting_steps


class UnsplittableFilesTest(ConfigurationFilesTestCase):
    """A text that cannot be split is parsed as a whole in a thread."""

    def texts(self):
        text = large_toml(5_000, 300)
        top = tomllib.loads(text)
        inline = "\n".join(f"{key} = {toml(value)}" for key, value in top.items())
        quoted_key = text.replace("[[settings.Tenants]]", '[[settings."Tenants"]]', 1)
        return text, [text + "# '''\n", inline, quoted_key]

    def test_it_is_parsed_in_many_steps_and_unchanged_objects_are_reused(self):
        splittable, texts = self.texts()
        first, interval = self.load(splittable), sys.getswitchinterval()
        for text in texts:
            now, count = run_counting_steps(config.load_in_steps(self.file(text), {}, first))
            self.assertIs(now.settings.tenants, first.settings.tenants)
            self.assertIs(now.ajp.routes, first.ajp.routes)
            self.assertIsNone(now.source)
            self.assertGreater(count, 10)
            self.assertEqual(sys.getswitchinterval(), interval)
            again = self.load(splittable, now)
            self.assertIs(again.settings.tenants, first.settings.tenants)
            self.assertIsNotNone(again.source)

    def test_errors_name_their_lines_and_an_abandoned_load_restores_the_switch_interval(self):
        splittable, texts = self.texts()
        before = self.load(splittable)
        self.assertIn("(at end of document)", self.rejection_message(texts[0] + "k = [", before))
        last = texts[0].count("\n") + 1
        self.assertIn(f"(at line {last}, column", self.rejection_message(texts[0] + "k = =\n", before))
        self.assertIn("nested too deeply", self.rejection_message(f"{texts[0]}k = {'[' * 20_000}", before))
        interval = sys.getswitchinterval()
        reading = config.load_in_steps(self.file(texts[0]), {}, before)
        while sys.getswitchinterval() == interval:
            next(reading)
        reading.close()
        self.assertEqual(sys.getswitchinterval(), interval)
