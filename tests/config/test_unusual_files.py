"""Tests of large files whose form does not allow splitting them into chunks."""

import sys
import tomllib

from ochrehoist.config import loader as config
from ochrehoist.lab.toml import toml
from tests.config.large_configurations import ConfigurationFilesTestCase, large, steps


class Unusual(ConfigurationFilesTestCase):
    """A text that cannot be split is parsed as a whole in a thread."""

    def forms(self):
        text = large(5_000, 300)
        top = tomllib.loads(text)
        inline = "\n".join(f"{key} = {toml(value)}" for key, value in top.items())
        odd = text.replace("[[settings.Tenants]]", '[[settings."Tenants"]]', 1)
        return text, [text + "# '''\n", inline, odd]

    def test_it_gives_the_same_in_many_steps_and_keeps_what_is_unchanged(self):
        plain, forms = self.forms()
        first, interval = self.load(plain), sys.getswitchinterval()
        for text in forms:
            now, count = steps(config.load_in_steps(self.file(text), {}, first))
            self.assertIs(now.settings.tenants, first.settings.tenants)
            self.assertIs(now.ajp.routes, first.ajp.routes)
            self.assertIsNone(now.source)
            self.assertGreater(count, 10)
            self.assertEqual(sys.getswitchinterval(), interval)
            again = self.load(plain, now)
            self.assertIs(again.settings.tenants, first.settings.tenants)
            self.assertIsNotNone(again.source)

    def test_faults_are_reported_with_their_lines_and_an_abandoned_reading_leaves_nothing(self):
        plain, forms = self.forms()
        before = self.load(plain)
        self.assertIn("(at end of document)", self.refused(forms[0] + "k = [", before))
        last = forms[0].count("\n") + 1
        self.assertIn(f"(at line {last}, column", self.refused(forms[0] + "k = =\n", before))
        self.assertIn("nested too deeply", self.refused(f"{forms[0]}k = {'[' * 20_000}", before))
        interval = sys.getswitchinterval()
        reading = config.load_in_steps(self.file(forms[0]), {}, before)
        while sys.getswitchinterval() == interval:
            next(reading)
        reading.close()
        self.assertEqual(sys.getswitchinterval(), interval)
