"""Configurations read in steps: equal to reading them afresh, and the work by what is new."""

import ast
import json
import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from io import StringIO
from pathlib import Path
from unittest import mock

import tomli
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.app import simulator_adapter
from ochrehoist.config import comparison, json_reader, toml_reader
from ochrehoist.config import loader as config
from ochrehoist.config import source as config_source
from ochrehoist.config import tenants as tenants_module
from ochrehoist.config.tenants import TenantReader
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml, toml_file
from ochrehoist.steps import run_to_completion
from tests.support.environment import ROOT
from tests.support.site_settings import site_settings
from tests.support.worker_process import run_command


def tenant(at, **changes):
    return {"Name": f"t{at}", "QuotaPerS": 10.5 + at % 7, "Fraction": 0.5} | changes


def rule(at, **changes):
    return {"uri": f"/service-{at % 340}/r{at}/*", "methods": ["GET", "HEAD"], "class": "read"} | changes


def appliance(tenants, rules, **more):
    ajp = {"listen": "127.0.0.1:0", "rules": rules, "servers": [{"address": "127.0.0.1:9"}]}
    return {
        "name": "n1",
        "admin": "127.0.0.1:0",
        "ajp": ajp,
        "settings": site_settings(Tenants=tenants),
    } | more


def platform(tenants):
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:9",
        "seed": "1f",
        "settings": site_settings(Tenants=tenants),
    }


def steps(generator):
    """What it returns, and how many steps it took."""
    count = 1
    while True:
        try:
            next(generator)
        except StopIteration as end:
            return end.value, count
        count += 1


class Files(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def file(self, text, name="a.toml"):
        path = Path(self.folder.name, name)
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return str(path)

    def load(self, text, before=None, name="a.toml"):
        return run_to_completion(config.load_in_steps(self.file(text, name), {}, before))

    def refused(self, text, before=None, name="a.toml"):
        with self.assertRaises(InvalidInputError) as raised:
            self.load(text, before, name)
        return str(raised.exception)


# ---- whole configurations


class Configurations(Files):
    """Small texts are read as large ones, in chunks."""

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
    def test_a_change_gives_what_reading_afresh_gives_and_keeps_what_is_unchanged(self, edits, as_json):
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
            elif kind == "whole":  # the same number, written otherwise
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
                return  # the one in force stays
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


class Faulty(Files):
    def test_what_is_nested_too_deeply_is_refused_and_ends_nothing(self):
        for text, name in (
            ('{"settings": ' + "[" * 60_000 + "]" * 60_000 + "}", "a.json"),
            ("a = " + "[" * 60_000 + "]" * 60_000, "a.toml"),
        ):
            self.assertIn("nested too deeply", self.refused(text, name=name))


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


# ---- at size

MANY, ROUTES = 58_000, 3_800


def large(tenants, routes, **changes):
    """Text of so many; `changes`: elements by their place."""
    return toml_file(
        appliance(
            [changes.get(f"t{at}") or tenant(at) for at in range(tenants)],
            [changes.get(f"r{at}") or rule(at) for at in range(routes)],
        )
    )


class Counted:
    """Counts what is parsed, and made, in one reading."""

    def __init__(self):
        self.parsed, self.longest, self.calls, self.made, self.most, self.step = 0, 0, 0, 0, 0, 0

    def read(self, path, before):
        def loads(text, real=tomli.loads):
            self.parsed += len(text)
            self.calls += 1
            self.longest = max(self.longest, len(text))
            return real(text)

        generator = config.load_in_steps(path, {}, before)
        with mock.patch.object(tomli, "loads", loads):
            checked = TenantReader._checked

            def counting(one, data, where):
                self.made += 1
                self.step += 1
                return checked(one, data, where)

            with mock.patch.object(TenantReader, "_checked", counting):
                while True:
                    self.step = 0
                    try:
                        next(generator)
                    except StopIteration as end:
                        return end.value
                    finally:
                        self.most = max(self.most, self.step)


class Growth(Files):
    """Counts at several sizes, so that the verdict is the same on any machine."""

    def test_a_change_of_one_tenant_or_route_parses_and_makes_as_much_at_any_size(self):
        for changes in ({"t700": tenant(700, QuotaPerS=1)}, {"r20": rule(20, methods=["PUT"])}, {}):
            figures = []
            for tenants in (1_000, 4_000, 16_000):
                routes = tenants * 65 // 1000
                first = Counted()
                before = first.read(self.file(large(tenants, routes)), None)
                self.assertEqual(first.made, tenants)
                again = Counted()
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
                counted = Counted()
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
        counted = Counted()
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


class Unusual(Files):
    """What cannot be split is read by a thread."""

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

    def test_its_faults_are_told_with_their_lines_and_giving_up_leaves_nothing_behind(self):
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


class AtSize(Files):
    def test_one_bad_among_58_000_is_told_with_key_and_line_and_two_of_one_name_with_both_places(self):
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


class Program(Files):
    def test_check_tells_the_version_and_says_where_a_form_is_read_as_a_whole(self):
        text = large(600, 30)
        done = run_command("check", self.file(text))
        self.assertIn(f"version {self.load(text).version}, 600 tenants, 30 routes", done.stdout)
        self.assertNotIn("as a whole", done.stdout)
        done = run_command("check", self.file(text + '# """\n'))
        self.assertEqual(done.returncode, 0)
        self.assertIn("as a whole", done.stdout)

    def test_the_platforms_worker_loads_nothing_for_files_that_it_has_not(self):
        code = (
            "import sys; from ochrehoist.app import worker; from ochrehoist.config import loader; "
            "loader.load(sys.argv[1], {}); "
            "print(*sys.modules)"
        )
        file = self.file(json.dumps(platform([tenant(0)])), "a.json")
        done = subprocess.run(
            [sys.executable, "-c", code, file], cwd=ROOT, capture_output=True, text=True, check=True
        )
        loaded = set(done.stdout.split())
        self.assertFalse(
            loaded & {"tomli", "tomllib", "ochrehoist.config.toml_reader", "ochrehoist.config.fleet"}
        )

    def test_a_short_file_does_not_load_the_chunk_reader(self):
        code = (
            "import sys; from ochrehoist.config import loader; loader.load(sys.argv[1], {}); "
            "print(*sys.modules)"
        )
        loaded = []
        for text in (toml_file(appliance([tenant(0)], [rule(0)])), large(1_000, 65)):
            done = subprocess.run(
                [sys.executable, "-c", code, self.file(text)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            )
            loaded.append("ochrehoist.config.toml_reader" in done.stdout.split())
        self.assertEqual(loaded, [False, True])

    @staticmethod
    def imported(path):
        """Names of the package's modules that a file imports, anywhere in it and in any form."""
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module == "ochrehoist.config":
                found |= {alias.name for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                found.add((node.module or "").removeprefix("ochrehoist.config."))
            elif isinstance(node, ast.Import):
                found |= {alias.name.removeprefix("ochrehoist.config.") for alias in node.names}
        return found

    def test_no_module_of_the_configuration_needs_one_that_needs_it(self):
        package = Path(ROOT, "ochrehoist", "config")
        names = {path.stem for path in package.glob("*.py")} - {"__init__"}
        self.assertGreaterEqual(len(names), 8)
        needs = {name: self.imported(Path(package, f"{name}.py")) & names for name in names}
        while needs:
            free = {name for name, others in needs.items() if not others & needs.keys()}
            self.assertTrue(free, needs)
            needs = {name: others for name, others in needs.items() if name not in free}


if __name__ == "__main__":
    unittest.main()
