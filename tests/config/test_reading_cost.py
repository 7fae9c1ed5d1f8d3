"""Tests of the cost of a reload: it depends on the changes only, and is divided into short steps."""

import json
from io import StringIO
from unittest import mock

from ochrehoist.app import simulator_adapter
from ochrehoist.config import json_reader, toml_reader
from ochrehoist.config import loader as config
from ochrehoist.config import tenants as tenants_module
from ochrehoist.lab.toml import toml_file
from tests.config.large_configurations import (
    MANY,
    ROUTES,
    ConfigurationFilesTestCase,
    CountedReading,
    appliance,
    large,
    platform,
    rule,
    steps,
    tenant,
)
from tests.support.site_settings import site_settings


class Growth(ConfigurationFilesTestCase):
    """Work of a reload at several sizes, counted instead of timed to get the same result on any machine."""

    def test_a_change_of_one_tenant_or_route_parses_and_makes_as_much_at_any_size(self):
        for changes in ({"t700": tenant(700, QuotaPerS=1)}, {"r20": rule(20, methods=["PUT"])}, {}):
            figures = []
            for tenants in (1_000, 4_000, 16_000):
                routes = tenants * 65 // 1000
                first = CountedReading()
                before = first.read(self.file(large(tenants, routes)), None)
                self.assertEqual(first.made, tenants)
                again = CountedReading()
                now = again.read(self.file(large(tenants, routes, **changes)), before)
                self.assertLessEqual(again.made, 2 * toml_reader.MAX_CHUNK_ELEMENTS)
                self.assertLessEqual(again.longest, 2 * toml_reader.MAX_CHUNK_CHARS)
                self.assertLessEqual(first.longest, 2 * toml_reader.MAX_CHUNK_CHARS)
                self.assertLessEqual(max(first.most, again.most), tenants_module.TENANTS_PER_STEP)
                figures.append((again.parsed, again.calls))
                old, new = before.settings.tenants, now.settings.tenants
                self.assertEqual(sum(a is not b for a, b in zip(old, new, strict=True)), "t700" in changes)
            self.assertEqual(len(set(figures)), 1, figures)

    def test_a_tenant_that_comes_goes_or_is_renamed_parses_as_much_at_any_size(self):
        def text(tenants, edit):
            listed = [tenant(at) for at in range(tenants)]
            if edit == "comes":
                listed.insert(500, tenant(-1))
            elif edit == "goes":
                del listed[500]
            elif edit == "renamed":
                listed[500] = tenant(500, Name="other")
            return toml_file(appliance(listed, [rule(0)]))

        for edit in ("comes", "goes", "renamed"):
            figures = []
            for tenants in (1_000, 8_000):
                before = self.load(text(tenants, ""))
                counted = CountedReading()
                now = counted.read(self.file(text(tenants, edit)), before)
                figures.append(counted.parsed)
                old, new = ({id(t) for t in c.settings.tenants} for c in (before, now))
                self.assertEqual(len(new - old), edit != "goes")
                self.assertEqual(list(now.tenant_positions), [t.name for t in now.settings.tenants])
                self.assertEqual(list(now.tenant_positions.values()), list(range(len(now.settings.tenants))))
            self.assertEqual(len(set(figures)), 1, (edit, figures))

    def test_the_platforms_file_is_read_element_by_element_and_makes_what_is_new(self):
        listed = [tenant(at) for at in range(4_000)]
        before, count = steps(config.load_in_steps(self.file(json.dumps(platform(listed)), "a.json"), {}))
        longest, real = [0], json_reader._decode_value

        def read(text, at):
            value, end = real(text, at)
            longest[0] = max(longest[0], end - at)
            return value, end

        listed[3_000] = tenant(3_000, QuotaPerS=1)
        counted = CountedReading()
        with mock.patch.object(json_reader, "_decode_value", read):
            now = counted.read(self.file(json.dumps(platform(listed)), "a.json"), before)
        self.assertEqual(counted.made, 1)
        self.assertLess(longest[0], 1_000)
        self.assertGreater(count, len(json.dumps(platform(listed))) // (2 * json_reader.CHARS_PER_STEP))
        pairs = zip(now.settings.tenants, before.settings.tenants, strict=True)
        self.assertEqual(sum(a is not b for a, b in pairs), 1)

    def test_a_short_file_takes_one_step(self):
        for name, text in (
            ("a.json", json.dumps(platform([tenant(0)]))),
            ("a.toml", toml_file(appliance([tenant(0)], [rule(0)]))),
        ):
            _, count = steps(config.load_in_steps(self.file(text, name), {}))
            self.assertEqual(count, 1)


class LargestSizeTest(ConfigurationFilesTestCase):
    """Errors in configurations of the largest supported size."""

    def test_one_invalid_tenant_among_58_000_is_reported_with_key_and_line_and_a_duplicate_with_both(self):
        good = large(MANY, ROUTES)
        before = self.load(good)
        self.assertEqual((len(before.settings.tenants), len(before.ajp.routes)), (MANY, ROUTES))
        header = "[[settings.Tenants]]"

        def line(at):
            place = -1
            for _ in range(at + 1):
                place = good.index(header, place + 1)
            return good[:place].count("\n") + 1

        last = line(MANY - 1)
        said = self.refused(large(MANY, ROUTES, t57999=tenant(57_999, QuotaPerS=-1)), before)
        self.assertIn(f"Tenants[57999].QuotaPerS: unusable value -1 (in the table of line {last})", said)
        said = self.refused(large(MANY, ROUTES, t57999=tenant(57_999, Name="t11")), before)
        self.assertIn("setting Tenants[57999].Name: 't11' is the name of Tenants[11] too", said)
        self.assertIn(f"(in the table of line {last}, and in line {line(11)})", said)
        said = self.refused(good.replace('"Name" = "t40000"', '"Name" = "t40000'), before)
        self.assertIn(f"(at line {line(40_000) + 1}, column", said)
        said = self.refused(large(MANY, ROUTES, r3799=rule(3_799, uri="none")), before)
        self.assertIn("setting ajp.rules[3799].uri: does not start with /: 'none'", said)
        again = self.load(good, before)
        self.assertIs(again.settings.tenants, before.settings.tenants)
        self.assertIs(again.ajp.routes, before.ajp.routes)

    def test_the_platforms_file_and_the_first_message_take_58_000_and_refuse_two_of_one_name(self):
        listed = [tenant(at) for at in range(MANY)]
        self.assertEqual(len(self.load(json.dumps(platform(listed)), name="a.json").settings.tenants), MANY)
        out, err = StringIO(), StringIO()

        def create():
            message = f"CREATE 1 {json.dumps(site_settings(Tenants=listed))}"
            return simulator_adapter.main(["BATCH 0 1", "TARGET_INSTANCE 0", message, "EOF_BATCH"], out, err)

        self.assertEqual(create(), 0)
        self.assertIn("OK 1", out.getvalue())
        listed[-1] = tenant(3)
        said = "setting Tenants[57999].Name: 't3' is the name of Tenants[3] too"
        self.assertIn(said, self.refused(json.dumps(platform(listed)), name="a.json"))
        self.assertEqual(create(), 2)
        self.assertIn(said, err.getvalue())
