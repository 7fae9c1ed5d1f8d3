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
    ROUTE_COUNT,
    TENANT_COUNT,
    ConfigurationFilesTestCase,
    CountedLoad,
    appliance,
    large_toml,
    platform,
    rule,
    run_counting_steps,
    tenant,
)
from tests.support.site_settings import site_settings


class ReloadCostTest(ConfigurationFilesTestCase):
    """Work of a reload at several sizes, counted instead of timed to get the same result on any machine."""

    def test_changing_one_tenant_or_route_costs_the_same_at_any_size(self):
        for changes in ({"t700": tenant(700, QuotaPerS=1)}, {"r20": rule(20, methods=["PUT"])}, {}):
            counts = []
            for tenants in (1_000, 4_000, 16_000):
                routes = tenants * 65 // 1000
                first = CountedLoad()
                before = first.read(self.file(large_toml(tenants, routes)), None)
                self.assertEqual(first.created_tenants, tenants)
                again = CountedLoad()
                now = again.read(self.file(large_toml(tenants, routes, **changes)), before)
                self.assertLessEqual(again.created_tenants, 2 * toml_reader.MAX_CHUNK_ELEMENTS)
                self.assertLessEqual(again.longest_document_chars, 2 * toml_reader.MAX_CHUNK_CHARS)
                self.assertLessEqual(first.longest_document_chars, 2 * toml_reader.MAX_CHUNK_CHARS)
                self.assertLessEqual(
                    max(first.max_created_per_step, again.max_created_per_step),
                    tenants_module.TENANTS_PER_STEP,
                )
                counts.append((again.parsed_chars, again.parser_calls))
                old, new = before.settings.tenants, now.settings.tenants
                self.assertEqual(sum(a is not b for a, b in zip(old, new, strict=True)), "t700" in changes)
            self.assertEqual(len(set(counts)), 1, counts)

    def test_adding_removing_or_renaming_a_tenant_costs_the_same_at_any_size(self):
        def text(tenants, edit):
            tenant_list = [tenant(index) for index in range(tenants)]
            if edit == "added":
                tenant_list.insert(500, tenant(-1))
            elif edit == "removed":
                del tenant_list[500]
            elif edit == "renamed":
                tenant_list[500] = tenant(500, Name="other")
            return toml_file(appliance(tenant_list, [rule(0)]))

        for edit in ("added", "removed", "renamed"):
            counts = []
            for tenants in (1_000, 8_000):
                before = self.load(text(tenants, ""))
                counted = CountedLoad()
                now = counted.read(self.file(text(tenants, edit)), before)
                counts.append(counted.parsed_chars)
                old, new = ({id(t) for t in c.settings.tenants} for c in (before, now))
                self.assertEqual(len(new - old), edit != "removed")
                self.assertEqual(list(now.tenant_positions), [t.name for t in now.settings.tenants])
                self.assertEqual(list(now.tenant_positions.values()), list(range(len(now.settings.tenants))))
            self.assertEqual(len(set(counts)), 1, (edit, counts))

    def test_the_platforms_file_is_read_by_element_and_only_new_tenants_are_created(self):
        tenant_list = [tenant(index) for index in range(4_000)]
        before, count = run_counting_steps(
            config.load_in_steps(self.file(json.dumps(platform(tenant_list)), "a.json"), {})
        )
        longest, original_decode_value = [0], json_reader._decode_value

        def decode_value(text, start):
            value, end = original_decode_value(text, start)
            longest[0] = max(longest[0], end - start)
            return value, end

        tenant_list[3_000] = tenant(3_000, QuotaPerS=1)
        counted = CountedLoad()
        with mock.patch.object(json_reader, "_decode_value", decode_value):
            now = counted.read(self.file(json.dumps(platform(tenant_list)), "a.json"), before)
        self.assertEqual(counted.created_tenants, 1)
        self.assertLess(longest[0], 1_000)
        self.assertGreater(count, len(json.dumps(platform(tenant_list))) // (2 * json_reader.CHARS_PER_STEP))
        pairs = zip(now.settings.tenants, before.settings.tenants, strict=True)
        self.assertEqual(sum(a is not b for a, b in pairs), 1)

    def test_a_short_file_takes_one_step(self):
        for name, text in (
            ("a.json", json.dumps(platform([tenant(0)]))),
            ("a.toml", toml_file(appliance([tenant(0)], [rule(0)]))),
        ):
            _, count = run_counting_steps(config.load_in_steps(self.file(text, name), {}))
            self.assertEqual(count, 1)


class LargestSizeTest(ConfigurationFilesTestCase):
    """Errors in configurations of the largest supported size."""

    def test_an_invalid_or_duplicate_tenant_among_58_000_is_reported_with_key_and_lines(
        self,
    ):
        good = large_toml(TENANT_COUNT, ROUTE_COUNT)
        before = self.load(good)
        self.assertEqual((len(before.settings.tenants), len(before.ajp.routes)), (TENANT_COUNT, ROUTE_COUNT))
        header = "[[settings.Tenants]]"

        def line(tenant_index):
            position = -1
            for _ in range(tenant_index + 1):
                position = good.index(header, position + 1)
            return good[:position].count("\n") + 1

        last = line(TENANT_COUNT - 1)
        error_text = self.rejection_message(
            large_toml(TENANT_COUNT, ROUTE_COUNT, t57999=tenant(57_999, QuotaPerS=-1)), before
        )
        self.assertIn(
            f"Tenants[57999].QuotaPerS: unusable value -1 (in the table of line {last})", error_text
        )
        error_text = self.rejection_message(
            large_toml(TENANT_COUNT, ROUTE_COUNT, t57999=tenant(57_999, Name="t11")), before
        )
        self.assertIn("setting Tenants[57999].Name: 't11' is the name of Tenants[11] too", error_text)
        self.assertIn(f"(in the table of line {last}, and in line {line(11)})", error_text)
        error_text = self.rejection_message(good.replace('"Name" = "t40000"', '"Name" = "t40000'), before)
        self.assertIn(f"(at line {line(40_000) + 1}, column", error_text)
        error_text = self.rejection_message(
            large_toml(TENANT_COUNT, ROUTE_COUNT, r3799=rule(3_799, uri="none")), before
        )
        self.assertIn("setting ajp.rules[3799].uri: does not start with /: 'none'", error_text)
        again = self.load(good, before)
        self.assertIs(again.settings.tenants, before.settings.tenants)
        self.assertIs(again.ajp.routes, before.ajp.routes)

    def test_58_000_tenants_are_accepted_and_a_duplicate_name_is_rejected_in_file_and_message(self):
        tenant_list = [tenant(index) for index in range(TENANT_COUNT)]
        self.assertEqual(
            len(self.load(json.dumps(platform(tenant_list)), name="a.json").settings.tenants), TENANT_COUNT
        )
        out, err = StringIO(), StringIO()

        def create():
            message = f"CREATE 1 {json.dumps(site_settings(Tenants=tenant_list))}"
            return simulator_adapter.main(["BATCH 0 1", "TARGET_INSTANCE 0", message, "EOF_BATCH"], out, err)

        self.assertEqual(create(), 0)
        self.assertIn("OK 1", out.getvalue())
        tenant_list[-1] = tenant(3)
        error_text = "setting Tenants[57999].Name: 't3' is the name of Tenants[3] too"
        self.assertIn(error_text, self.rejection_message(json.dumps(platform(tenant_list)), name="a.json"))
        self.assertEqual(create(), 2)
        self.assertIn(error_text, err.getvalue())
