"""Tests that an incremental reload gives the same configuration as a first load."""

import json
import tomllib
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.config import comparison, json_reader, toml_reader
from ochrehoist.config import source as config_source
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml_file
from tests.config.large_configurations import ConfigurationFilesTestCase, appliance, platform, rule, tenant


class IncrementalReloadTest(ConfigurationFilesTestCase):
    """Reloads of small texts, with lowered limits so that they are read in steps and chunks."""

    def setUp(self):
        super().setUp()
        for module, values in (
            (toml_reader, {"MAX_CHUNK_ELEMENTS": 4, "BOUNDARY_MODULUS": 2}),
            (json_reader, {"MAX_SINGLE_STEP_CHARS": -1, "CHARS_PER_STEP": 50}),
            (config_source, {"READ_BYTES": 300}),
        ):
            patch = mock.patch.multiple(module, **values)
            patch.start()
            self.addCleanup(patch.stop)

    @settings(max_examples=120, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    [
                        "quota",
                        "whole",
                        "boolean",
                        "share",
                        "name",
                        "remove",
                        "add",
                        "move",
                        "route",
                        "remove_route",
                        "comment",
                        "invalid",
                        "duplicate",
                        "class",
                    ]
                ),
                st.integers(0, 30),
                st.integers(0, 30),
            ),
            max_size=6,
        ),
        st.booleans(),
    )
    def test_a_reload_equals_a_first_load_and_reuses_unchanged_objects(self, edits, as_json):  # noqa: C901, PLR0912, PLR0915 - one branch for each kind of edit
        tenants, rules = [tenant(index) for index in range(24)], [rule(index) for index in range(12)]

        def text():
            if as_json:
                return json.dumps(platform(tenants))
            return toml_file(appliance(tenants, rules)).replace("[[settings.T", comment + "[[settings.T")

        comment, name = "", "a.json" if as_json else "a.toml"
        before = self.load(text(), None, name)
        for kind, a, b in edits:
            index, other = a % len(tenants), b % len(tenants)
            if kind == "quota":
                tenants[index] = tenants[index] | {"QuotaPerS": b}
            elif kind == "whole":  # an integer, equal to the former number if that was integral
                tenants[index] = tenants[index] | {"QuotaPerS": round(tenants[index]["QuotaPerS"])}
            elif kind == "boolean":
                tenants[index] = tenants[index] | {"QuotaPerS": True}
            elif kind == "share":
                tenants[index] = tenants[index] | {"Fraction": b / 64}
            elif kind == "name":
                tenants[index] = tenants[index] | {"Name": f"new{b}"}
            elif kind == "remove":
                del tenants[index]
            elif kind == "add":
                tenants.insert(index, tenant(100 + b))
            elif kind == "move":
                tenants.insert(other, tenants.pop(index))
            elif kind == "route":
                rules[a % len(rules)] = rule(b, methods=["PUT"])
            elif kind == "remove_route":
                rules.pop(a % len(rules))
            elif kind == "comment":
                comment = f"# {b}\n"
            elif kind == "invalid":
                tenants[index] = tenants[index] | {"QuotaPerS": -1}
            elif kind == "duplicate":
                tenants[index] = tenants[index] | {"Name": tenants[other]["Name"]}
            elif kind == "class":
                rules[a % len(rules)] = rule(b, **{"class": "none"})
            try:
                fresh = self.load(text(), None, name)
            except InvalidInputError as error:
                self.assertEqual(self.rejection_message(text(), before, name), str(error))
                return  # the active configuration stays unchanged
            now = self.load(text(), before, name)
            self.assertEqual(now.settings, fresh.settings)
            self.assertEqual(now.ajp, fresh.ajp)
            self.assertEqual(now.version, fresh.version)
            self.assertEqual(
                dict(now.tenant_positions), {t.name: n for n, t in enumerate(now.settings.tenants)}
            )
            known_ids = {id(t) for t in before.settings.tenants}
            for t in now.settings.tenants:
                if t in before.settings.tenants:
                    self.assertIn(id(t), known_ids)
            if now.settings.tenants == before.settings.tenants:
                self.assertIs(now.settings.tenants, before.settings.tenants)
            if not as_json:
                known_ids = {id(r) for r in before.ajp.routes}
                self.assertTrue(all(id(r) in known_ids for r in now.ajp.routes if r in before.ajp.routes))
                if now.ajp.routes == before.ajp.routes:
                    self.assertIs(now.ajp.routes, before.ajp.routes)
            active = comparison.merged(before, now).config
            self.assertEqual(active.settings, now.settings)
            self.assertIs(active.settings.tenants, now.settings.tenants)
            self.assertEqual(active.version, now.version)
            before = active

    def test_a_file_truncated_at_any_byte_is_read_like_by_tomllib_or_rejected(self):
        tenants = [tenant(index, Name=f"é{index}") for index in range(6)]
        whole = toml_file(appliance(tenants, [rule(index) for index in range(3)]))
        before = self.load(whole)
        data = whole.encode()
        for cut in range(len(data)):
            try:
                expected = tomllib.loads(data[:cut].decode())
            except ValueError:
                expected = None
            try:
                actual = self.load(data[:cut], before)
            except InvalidInputError:
                continue
            self.assertIsNotNone(expected, cut)
            self.assertEqual(
                [t.name for t in actual.settings.tenants],
                [t["Name"] for t in expected["settings"].get("Tenants", [])],
            )
        data = json.dumps(platform([tenant(index) for index in range(6)])).encode()
        for cut in range(len(data)):
            self.assertIn("setting EDGE_CONFIG", self.rejection_message(data[:cut], name="a.json"))

    def test_removing_a_class_invalidates_unchanged_routes_to_it(self):
        rules = [rule(0), rule(1, **{"class": "filing"})]
        before = self.load(toml_file(appliance([tenant(0)], rules)))
        after = appliance([tenant(0)], rules)
        after["settings"]["Classes"] = after["settings"]["Classes"][:1]
        self.assertIn(
            "setting ajp.rules[1].class: unknown class 'filing' (in the table of line ",
            self.rejection_message(toml_file(after), before),
        )

    def test_a_port_of_non_ascii_or_too_many_digits_is_rejected(self):
        for port in ("²", "٣٤", "9" * 5000):
            top = appliance([tenant(0)], [rule(0)], admin=f"127.0.0.1:{port}")
            self.assertIn("setting admin: not host:port", self.rejection_message(toml_file(top)))


class NestedTooDeeplyTest(ConfigurationFilesTestCase):
    """Texts with extremely deep nesting."""

    def test_extremely_deep_nesting_is_rejected_without_a_crash(self):
        for text, name in (
            ('{"settings": ' + "[" * 60_000 + "]" * 60_000 + "}", "a.json"),
            ("a = " + "[" * 60_000 + "]" * 60_000, "a.toml"),
        ):
            self.assertIn("nested too deeply", self.rejection_message(text, name=name))
