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


class Configurations(ConfigurationFilesTestCase):
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
                        "flag",
                        "share",
                        "name",
                        "remove",
                        "add",
                        "move",
                        "route",
                        "route_away",
                        "comment",
                        "bad",
                        "twice",
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
    def test_a_change_gives_what_reading_afresh_gives_and_keeps_what_is_unchanged(self, edits, as_json):  # noqa: C901, PLR0912, PLR0915 - one branch for each kind of edit
        tenants, rules = [tenant(at) for at in range(24)], [rule(at) for at in range(12)]

        def text():
            if as_json:
                return json.dumps(platform(tenants))
            return toml_file(appliance(tenants, rules)).replace("[[settings.T", comment + "[[settings.T")

        comment, name = "", "a.json" if as_json else "a.toml"
        before = self.load(text(), None, name)
        for kind, a, b in edits:
            at, other = a % len(tenants), b % len(tenants)
            if kind == "quota":
                tenants[at] = tenants[at] | {"QuotaPerS": b}
            elif kind == "whole":  # an integer, equal to the former number if that was integral
                tenants[at] = tenants[at] | {"QuotaPerS": round(tenants[at]["QuotaPerS"])}
            elif kind == "flag":
                tenants[at] = tenants[at] | {"QuotaPerS": True}
            elif kind == "share":
                tenants[at] = tenants[at] | {"Fraction": b / 64}
            elif kind == "name":
                tenants[at] = tenants[at] | {"Name": f"new{b}"}
            elif kind == "remove":
                del tenants[at]
            elif kind == "add":
                tenants.insert(at, tenant(100 + b))
            elif kind == "move":
                tenants.insert(other, tenants.pop(at))
            elif kind == "route":
                rules[a % len(rules)] = rule(b, methods=["PUT"])
            elif kind == "route_away":
                rules.pop(a % len(rules))
            elif kind == "comment":
                comment = f"# {b}\n"
            elif kind == "bad":
                tenants[at] = tenants[at] | {"QuotaPerS": -1}
            elif kind == "twice":
                tenants[at] = tenants[at] | {"Name": tenants[other]["Name"]}
            elif kind == "class":
                rules[a % len(rules)] = rule(b, **{"class": "none"})
            try:
                fresh = self.load(text(), None, name)
            except InvalidInputError as error:
                self.assertEqual(self.refused(text(), before, name), str(error))
                return  # the active configuration stays unchanged
            now = self.load(text(), before, name)
            self.assertEqual(now.settings, fresh.settings)
            self.assertEqual(now.ajp, fresh.ajp)
            self.assertEqual(now.version, fresh.version)
            self.assertEqual(
                dict(now.tenant_positions), {t.name: n for n, t in enumerate(now.settings.tenants)}
            )
            known = {id(t) for t in before.settings.tenants}
            for t in now.settings.tenants:
                if t in before.settings.tenants:
                    self.assertIn(id(t), known)
            if now.settings.tenants == before.settings.tenants:
                self.assertIs(now.settings.tenants, before.settings.tenants)
            if not as_json:
                known = {id(r) for r in before.ajp.routes}
                self.assertTrue(all(id(r) in known for r in now.ajp.routes if r in before.ajp.routes))
                if now.ajp.routes == before.ajp.routes:
                    self.assertIs(now.ajp.routes, before.ajp.routes)
            taken = comparison.merged(before, now).config
            self.assertEqual(taken.settings, now.settings)
            self.assertIs(taken.settings.tenants, now.settings.tenants)
            self.assertEqual(taken.version, now.version)
            before = taken

    def test_a_file_cut_at_any_byte_is_read_as_tomllib_reads_it_or_refused(self):
        tenants = [tenant(at, Name=f"é{at}") for at in range(6)]
        whole = toml_file(appliance(tenants, [rule(at) for at in range(3)]))
        before = self.load(whole)
        data = whole.encode()
        for cut in range(len(data)):
            try:
                plain = tomllib.loads(data[:cut].decode())
            except ValueError:
                plain = None
            try:
                got = self.load(data[:cut], before)
            except InvalidInputError:
                continue
            self.assertIsNotNone(plain, cut)
            self.assertEqual(
                [t.name for t in got.settings.tenants],
                [t["Name"] for t in plain["settings"].get("Tenants", [])],
            )
        data = json.dumps(platform([tenant(at) for at in range(6)])).encode()
        for cut in range(len(data)):
            self.assertIn("setting EDGE_CONFIG", self.refused(data[:cut], name="a.json"))

    def test_a_class_that_goes_is_missed_by_the_routes_that_did_not_change(self):
        rules = [rule(0), rule(1, **{"class": "filing"})]
        before = self.load(toml_file(appliance([tenant(0)], rules)))
        after = appliance([tenant(0)], rules)
        after["settings"]["Classes"] = after["settings"]["Classes"][:1]
        self.assertIn(
            "setting ajp.rules[1].class: unknown class 'filing' (in the table of line ",
            self.refused(toml_file(after), before),
        )

    def test_a_port_of_digits_that_are_none_of_ascii_is_refused(self):
        for port in ("²", "٣٤", "9" * 5000):
            top = appliance([tenant(0)], [rule(0)], admin=f"127.0.0.1:{port}")
            self.assertIn("setting admin: not host:port", self.refused(toml_file(top)))


class NestedTooDeeplyTest(ConfigurationFilesTestCase):
    """Texts with extremely deep nesting."""

    def test_what_is_nested_too_deeply_is_refused_and_ends_nothing(self):
        for text, name in (
            ('{"settings": ' + "[" * 60_000 + "]" * 60_000 + "}", "a.json"),
            ("a = " + "[" * 60_000 + "]" * 60_000, "a.toml"),
        ):
            self.assertIn("nested too deeply", self.refused(text, name=name))
