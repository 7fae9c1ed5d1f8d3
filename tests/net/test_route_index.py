"""Routes by an index: the same rule as the plain search finds, at a cost that doesn't grow with the table."""

import unittest
from fnmatch import fnmatchcase
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from ochrehoist.admission.settings import RequestClass
from ochrehoist.config.loader import load_appliance
from ochrehoist.config.tables import AjpRoute
from ochrehoist.net import ajp
from ochrehoist.net.ajp_reader import AjpReader, RequestRejectedError
from ochrehoist.net.route_index import RouteIndex
from ochrehoist.steps import run_to_completion
from tests.support.environment import ROOT
from tests.support.instruction_count import count_instructions

SIZES = (38, 380, 3800)


def plain(rules, method, path):
    """As it is defined: the first that fits, by the whole list."""
    return next(
        (r for r in rules if (not r.methods or method in r.methods) and fnmatchcase(path, r.uri)), None
    )


def rules(*uris):
    """Each a pattern, or a pattern and its methods."""
    named = [(u, ()) if isinstance(u, str) else u for u in uris]
    return tuple(AjpRoute(uri, frozenset(methods), f"{n}") for n, (uri, methods) in enumerate(named))


PIECES = (
    "/",
    "a",
    "b",
    "ab",
    "A",
    "é",
    "\N{SNOWMAN}",
    "0",
    "-",
    ".",
    "*",
    "*",
    "*",
    "**",
    "?",
    "[ab]",
    "[!a]",
    "[a-c]",
    "[!]]",
    "[]a]",
    "[",
    "]",
    "[!",
    "\\",
    "\n",
    "(",
    "|",
    "$",
)
METHODS = ("GET", "HEAD", "POST", "PUT", "get")
patterns = st.lists(st.sampled_from(PIECES), max_size=7).map("".join)
tables = st.lists(
    st.builds(AjpRoute, patterns, st.frozensets(st.sampled_from(METHODS), max_size=2), st.just("read")),
    max_size=14,
)
paths = st.lists(st.sampled_from([p for p in PIECES if p != "*"] + ["c", "/x"]), max_size=7).map("".join)


def fitting(pattern):
    """Paths that have a chance to fit it: texts for its wildcards."""
    wild = st.sampled_from(["", "a", "/b", "ab/", "é", "*"])
    parts = [wild if c in "*?" else st.just(c) for c in pattern]
    return st.tuples(*parts).map("".join)


class SameRouteTest(unittest.TestCase):
    """The index against the plain search."""

    @settings(max_examples=3000, deadline=None)
    @given(st.data())
    def test_as_the_plain_search_over_random_tables_and_paths(self, data):
        table = tuple(data.draw(tables))
        index = run_to_completion(RouteIndex.in_steps(table))
        asked = data.draw(st.lists(paths, max_size=3))
        if table:
            asked.append(data.draw(st.sampled_from(table).flatmap(lambda r: fitting(r.uri))))
        for path in asked:
            for method in METHODS:
                self.assertIs(index.find(method, path), plain(table, method, path), (table, method, path))

    def test_what_each_form_of_a_pattern_fits(self):
        forms = rules(
            "/lit",
            "/lit/",
            "/pre*",
            "/a*z",
            "/a*b*z",
            "*",
            "*x",
            "*x*",
            "/q?",
            "/s[ab]t",
            "/s[!ab]t",
            "/open[b",
            "/é*ü",
            "",
            "?",
            "**",
            "/a**z",
            "/A*",
            "/a*/*/z",
            "/*//*",
        )
        asked = (
            "",
            "/",
            "/lit",
            "/lit/",
            "/LIT",
            "/pre",
            "/prefix/more",
            "/az",
            "/a/z",
            "/abz",
            "/azb",
            "/a",
            "/z",
            "/a/b/z/b/z",
            "/q",
            "/qq",
            "/sat",
            "/sct",
            "/s[t",
            "/open[b",
            "/openb",
            "/é\nü",
            "/eu",
            "x",
            "ax",
            "/axa",
            "/a//z",
            "/a/c/z",
            "//",
        )
        for n in range(len(forms)):
            for table in (forms[n : n + 1], forms[n:], forms[: n + 1][::-1]):
                index = run_to_completion(RouteIndex.in_steps(table))
                for path in asked:
                    self.assertIs(index.find("GET", path), plain(table, "GET", path), (table, path))

    def test_the_ends_of_a_pattern_never_share_a_part_of_the_path(self):
        index = run_to_completion(RouteIndex.in_steps(rules("/aba*aba", "/x*x*x")))
        self.assertIsNone(index.find("GET", "/aba"))
        self.assertIsNone(index.find("GET", "/ababa"))
        self.assertIsNone(index.find("GET", "/xx"))
        self.assertEqual(index.find("GET", "/abaaba").request_class, "0")
        self.assertEqual(index.find("GET", "/xxx").request_class, "1")

    def test_a_route_shadows_those_behind_it_for_its_methods_only(self):
        for first in ("/a/*", "/*", "/a/b", "/a/*b", "/a/?"):
            table = rules((first, ("GET", "HEAD")), "/a/b", "/a/*", "/a*b")
            index = run_to_completion(RouteIndex.in_steps(table))
            self.assertEqual(
                [index.find(m, "/a/b").request_class for m in METHODS], ["0", "0", "1", "1", "1"], first
            )
            self.assertEqual(index.find("POST", "/a/c").request_class, "2")
            self.assertEqual(index.find("POST", "/ab").request_class, "3")

    def test_of_many_with_the_same_uri_the_first_whose_methods_fit(self):
        for uri in ("/a", "/a*", "/*a", "/[a]"):
            table = rules((uri, ("GET",)), (uri, ("GET", "POST")), (uri, ()), (uri, ("PUT",)))
            index = run_to_completion(RouteIndex.in_steps(table))
            self.assertEqual([index.find(m, "/a").request_class for m in METHODS], ["0", "2", "1", "2", "2"])


def mixed(size):
    """Routes of so many resources, in four forms by turns."""
    forms = ("/svc{}/*", "/svc{}/status", "/svc{}/*/detail", "/api/*/items/svc{}")
    return rules(*(forms[n % 4].format(n) for n in range(size)))


def fits(uri):
    return uri.replace("*", "x/y")


def reader(table):
    config = load_appliance(str(ROOT / "deploy/ajp.toml"), {})
    classes = tuple(
        RequestClass(name=kind, latency_objective_ns=1, deadline_ns=2)
        for kind in sorted({r.request_class for r in table})
    )
    return AjpReader(
        SimpleNamespace(settings=SimpleNamespace(classes=classes, tenants=()), tenants={}),
        None,
        SimpleNamespace(
            secret=None,
            max_body=0,
            packet_size=8192,
            servers=config.ajp.servers,
            routes=table,
            tenant_header=b"t",
            key_header=b"k",
            default_tenant=None,
        ),
    )


def lines(call):
    """Lines of Python that a call takes; the search of a compiled expression counts as one."""
    return count_instructions(call, "line")


class Growth(unittest.TestCase):
    """Counted, not timed: what is on a request's way, and on a change's, must not grow with the table."""

    def work(self, size):
        """To check a request whose route is the first, some in the middle, the last ones, or none."""
        table = mixed(size)
        it, out = reader(table), {}
        at = {"first": 0, "last": size - 1} | {f"middle {n}": size // 2 + n for n in range(4)}
        at |= {f"end {n}": size - 1 - n for n in range(4)}
        for name, position in at.items():
            asked = ajp.ForwardRequest(b"", "GET", fits(table[position].uri).encode())
            self.assertEqual(it.check(asked).request_class.name, table[position].request_class)
            out[name] = lines(lambda asked=asked: it.check(asked))

        def none():
            with self.assertRaises(RequestRejectedError):
                it.check(ajp.ForwardRequest(b"", "GET", b"/another"))

        return out | {"none": lines(none)}

    def test_finding_a_route_takes_as_much_work_in_a_large_table(self):
        counts = {size: self.work(size) for size in SIZES}
        for size in SIZES[1:]:
            for name, count in counts[size].items():
                # Names with one more digit are one more length of each end to look for, no more.
                longer = 20 * (len(str(size)) - len(str(SIZES[0])))
                self.assertLessEqual(count, max(counts[SIZES[0]].values()) + longer, (size, name, counts))

    def test_a_step_of_building_takes_as_much_work_in_a_large_table(self):
        for table in (mixed(3800), rules(*(f"/a[b]{n}" for n in range(3800))), rules(*["/a/*"] * 3800)):
            steps, counts = RouteIndex.in_steps(table), []
            with self.assertRaises(StopIteration):
                while True:
                    counts.append(lines(steps.__next__))
            self.assertGreaterEqual(len(counts), 38)
            self.assertLess(max(counts), 4000)


class PreparedIndexTest(unittest.TestCase):
    """An index that is prepared in steps and committed."""

    def test_nothing_changes_before_the_commit_and_all_of_it_by_that(self):
        old, new = rules("/old"), rules(*(f"/new{n}" for n in range(1000)))
        it, steps = reader(old), 0
        of_new = reader(new)
        preparing = it.prepare(of_new.compiled_config.config, of_new.core.settings)
        asked = ajp.ForwardRequest(b"", "GET", b"/old")
        with self.assertRaises(StopIteration) as end:
            while True:
                next(preparing)
                steps += 1
                self.assertEqual(it.check(asked).request_class.name, "0")
        self.assertGreaterEqual(steps, 10)
        self.assertEqual(it.check(asked).request_class.name, "0")
        end.exception.value()
        self.assertEqual(it.check(ajp.ForwardRequest(b"", "GET", b"/new999")).request_class.name, "999")
        with self.assertRaises(RequestRejectedError):
            it.check(asked)

    def test_a_change_of_something_else_builds_no_index(self):
        it = reader(mixed(380))
        before = it.compiled_config.route_index
        self.assertEqual(list(it.prepare(it.compiled_config.config, it.core.settings)), [])
        it.configure(it.compiled_config.config, it.core.settings)
        self.assertIs(it.compiled_config.route_index, before)


if __name__ == "__main__":
    unittest.main()
