"""Compares the incremental parsers with tomllib and json: same data, or an error at the same place."""

import json
import re
import tempfile
import tomllib
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.config import json_reader, toml_parser, toml_reader
from ochrehoist.config import source as config_source
from ochrehoist.steps import run_to_completion

TENANTS = ("settings", "Tenants")
ARRAY = ("c", "d")


def append_element(data, elements):
    elements.append(data)


class TextFilesTestCase(unittest.TestCase):
    """Base class with a method that writes texts to files."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def file(self, text):
        path = Path(self.folder.name, "text")
        path.write_bytes(text.encode())
        return str(path)


# ---- TOML, compared with tomllib

HEADERS = st.sampled_from(
    [
        "[[a]]",
        "[[a.b]]",
        "[[c.d]]",
        "[[c.d]]",
        "[[c.d]]",
        "[a]",
        "[c]",
        "[c.d]",
        "[c.e]",
        "[a.b]",
        "[x.y]",
        "[c.d.f]",
        '["a"]',
        "[[ c.d ]]",
        '[["c".d]]',
        "[[c.d]] # of some",
        "  [[c.d]]\t",
        "[[true]]",
        "[c]]",
        "[[c.d]",
    ]
)
LINES = st.one_of(
    st.builds(
        "k{} = {}".format, st.integers(0, 9), st.sampled_from(["1", '"v"', "[1, 2]", "0.5", "'[[c.d]]'"])
    ),
    st.sampled_from(
        [
            "",
            "# [[c.d]]",
            "  ",
            "b = 2",
            "e.f = 1",
            'm = [\n"x",\n"y"\n]',
            "m = [\n[1],\n[2]\n]",
            "t = { b = 1 }",
            'u = "é\u2028\u0085x"',
            's = "a # b [c]"',
            '"q" = 1',
            "n = 1979-05-27",
            "z = [\n[true]\n]",
            "d = []",
            # invalid TOML
            "m = [",
            "bad",
            'u = ["a"',
            "[",
            "q = [\n[[c.d]]\n]",
            "k = 1 # \x00",
            'k = "',
            "m = [1,",
            "i = " + "9" * 5000,
            # multi-line strings that contain apparent headers
            'y = """\n[[c.d]]\n"""',
            "y = '''\n[c]\n'''",
            "w = \"'''\"",
        ]
    ),
)
NEWLINES = st.sampled_from(["\n", "\n", "\n", "\r\n", "\r", "\n\n"])


@st.composite
def texts(draw):
    parts = draw(st.lists(st.tuples(st.one_of(HEADERS, LINES, LINES), NEWLINES), max_size=14))
    text = "".join(part.replace("\n", end[:2]) + end for part, end in parts)
    return text[:-1] if draw(st.booleans()) else text


def line_of(error):
    """Returns the line that a parser's error names, "end" for the end of the text, or None."""
    found = re.search(r"at line (\d+)|end of document", str(error))
    return found and (found[1] or "end")


class TomlTextTest(TextFilesTestCase):
    """The incremental TOML reader, compared with `tomllib`."""

    @settings(max_examples=1500, deadline=None)
    @given(
        texts(),
        st.sampled_from([1, 2, 64]),
        st.sampled_from([1, 2, 24]),
        st.sampled_from([1, 5, 4096]),
        st.sampled_from([0, 8192, 8192, 8192]),
    )
    def test_any_text_gives_the_same_data_or_an_error_at_the_same_line(
        self, text, elements, boundary_modulus, read_bytes, single_step_chars
    ):
        path = self.file(text)
        expected, fault, actual = None, None, None
        try:
            expected = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        except ValueError as error:
            fault = error
        with (
            mock.patch.multiple(toml_reader, MAX_CHUNK_ELEMENTS=elements, BOUNDARY_MODULUS=boundary_modulus),
            mock.patch.object(toml_parser, "MAX_SINGLE_STEP_CHARS", single_step_chars),
            mock.patch.object(config_source, "READ_BYTES", read_bytes),
        ):
            try:
                text = run_to_completion(config_source.read_text_in_steps(path))
                actual = run_to_completion(toml_reader.read_in_steps(text, {ARRAY: append_element}, None))
            except ValueError as error:
                self.assertIsNotNone(fault, (text, error))
                if line_of(fault):  # tomllib names no line for a number that is too long
                    self.assertEqual(line_of(error), line_of(fault), (error, fault))
                return
        self.assertIsNone(fault, text)
        self.assertEqual(actual.data, expected)

    @settings(max_examples=300, deadline=None)
    @given(texts(), texts(), st.sampled_from([1, 2, 64]))
    def test_reusing_elements_of_another_text_does_not_change_the_data(self, first, second, elements):
        def read(text, before):
            path = self.file(text)
            text = run_to_completion(config_source.read_text_in_steps(path))
            reading = run_to_completion(toml_reader.read_in_steps(text, {ARRAY: append_element}, before))
            if reading.remainder is None:
                return reading.data, None
            listed = reading.data["c"]["d"] if ARRAY in reading.chunks else []
            known = before.arrays[ARRAY].elements if before and ARRAY in before.arrays else ()
            whole = [e for x in listed for e in (known[x.start : x.stop] if type(x) is range else (x,))]
            data = config_source.with_arrays(reading.data, {ARRAY: whole}) if listed else reading.data
            return data, reading.source(text.digest, {ARRAY: whole})

        with mock.patch.multiple(toml_reader, MAX_CHUNK_ELEMENTS=elements, BOUNDARY_MODULUS=2):
            source = None
            for text in (first, second + first, first + second, second):
                try:
                    expected = tomllib.loads(Path(self.file(text)).read_text(encoding="utf-8"))
                except ValueError:
                    continue
                data, source = read(text, source)
                self.assertEqual(data, expected)


# ---- JSON, compared with json

VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=4)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.sampled_from(["settings", "Tenants", "a", "b"]), inner, max_size=4),
    ),
    max_leaves=20,
)


@st.composite
def json_texts(draw):
    text = json.dumps(
        draw(VALUES), indent=draw(st.sampled_from([None, 0, 1])), ensure_ascii=draw(st.booleans())
    )
    if draw(st.booleans()):  # a duplicate key
        text = text.replace('"a"', '"b"')
    for _ in range(draw(st.integers(0, 2))):
        position = draw(st.integers(0, len(text)))
        text = (
            text[:position]
            + draw(st.sampled_from(["", " ", "\r\n", ",", "{", "]", '"', "\\", "\ufeff", "0"]))
            + text[position + draw(st.integers(0, 2)) :]
        )
    return text


class JsonTextTest(TextFilesTestCase):
    """The incremental JSON reader, compared with `json`."""

    @settings(max_examples=1500, deadline=None)
    @given(json_texts())
    def test_any_text_gives_the_same_data_or_an_error_at_the_same_position(self, text):
        with mock.patch.multiple(json_reader, MAX_SINGLE_STEP_CHARS=-1, CHARS_PER_STEP=3):
            try:
                expected = json.loads(text)
            except json.JSONDecodeError as fault:
                with self.assertRaises(json.JSONDecodeError) as raised:
                    run_to_completion(json_reader.read_in_steps(text, {TENANTS: append_element}))
                self.assertEqual((raised.exception.pos, raised.exception.msg), (fault.pos, fault.msg))
                return
            actual = run_to_completion(json_reader.read_in_steps(text, {TENANTS: append_element}))
        self.assertEqual(repr(actual), repr(expected))  # repr, because NaN is not equal to itself


if __name__ == "__main__":
    unittest.main()
