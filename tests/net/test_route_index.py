"""The route index: the results of a linear search, at a cost that does not grow with the table."""

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

TABLE_SIZES = (38, 380, 3800)


def linear_search(table, method, path):
    """Returns the first route that matches, by the definition of a route table."""
    return next(
        (
            route
            for route in table
            if (not route.methods or method in route.methods) and fnmatchcase(path, route.uri)
        ),
        None,
    )


def make_routes(*patterns):
    """Returns a route for each pattern, or pair of a pattern and its methods; its class is its position."""
    pairs = [(pattern, ()) if isinstance(pattern, str) else pattern for pattern in patterns]
    return tuple(AjpRoute(uri, frozenset(methods), f"{n}") for n, (uri, methods) in enumerate(pairs))


PATTERN_PARTS = (
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
patterns = st.lists(st.sampled_from(PATTERN_PARTS), max_size=7).map("".join)
tables = st.lists(
    st.builds(AjpRoute, patterns, st.frozensets(st.sampled_from(METHODS), max_size=2), st.just("read")),
    max_size=14,
)
paths = st.lists(st.sampled_from([p for p in PATTERN_PARTS if p != "*"] + ["c", "/x"]), max_size=7).map(
    "".join
)


def likely_matches(pattern):
    """Returns a strategy of paths that are likely to match a pattern: its wildcards are replaced by texts."""
    replacements = st.sampled_from(["", "a", "/b", "ab/", "é", "*"])
    parts = [replacements if character in "*?" else st.just(character) for character in pattern]
    return st.tuples(*parts).map("".join)


class SameRouteTest(unittest.TestCase):
    """Compares the index with a linear search."""

    @settings(max_examples=3000, deadline=None)
    @given(st.data())
    def test_equals_a_linear_search_over_random_tables_and_paths(self, data):
        table = tuple(data.draw(tables))
        index = run_to_completion(RouteIndex.in_steps(table))
        tested_paths = data.draw(st.lists(paths, max_size=3))
        if table:
            tested_paths.append(
                data.draw(st.sampled_from(table).flatmap(lambda route: likely_matches(route.uri)))
            )
        for path in tested_paths:
            for method in METHODS:
                self.assertIs(
                    index.find(method, path), linear_search(table, method, path), (table, method, path)
                )

    def test_each_form_of_pattern_equals_a_linear_search(self):
        routes = make_routes(
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
        tested_paths = (
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
        for n in range(len(routes)):
            for table in (routes[n : n + 1], routes[n:], routes[: n + 1][::-1]):
                index = run_to_completion(RouteIndex.in_steps(table))
                for path in tested_paths:
                    self.assertIs(index.find("GET", path), linear_search(table, "GET", path), (table, path))

    def test_prefix_and_suffix_never_match_overlapping_parts_of_a_path(self):
        index = run_to_completion(RouteIndex.in_steps(make_routes("/aba*aba", "/x*x*x")))
        self.assertIsNone(index.find("GET", "/aba"))
        self.assertIsNone(index.find("GET", "/ababa"))
        self.assertIsNone(index.find("GET", "/xx"))
        self.assertEqual(index.find("GET", "/abaaba").request_class, "0")
        self.assertEqual(index.find("GET", "/xxx").request_class, "1")

    def test_a_route_shadows_later_routes_only_for_its_methods(self):
        for first in ("/a/*", "/*", "/a/b", "/a/*b", "/a/?"):
            table = make_routes((first, ("GET", "HEAD")), "/a/b", "/a/*", "/a*b")
            index = run_to_completion(RouteIndex.in_steps(table))
            self.assertEqual(
                [index.find(m, "/a/b").request_class for m in METHODS], ["0", "0", "1", "1", "1"], first
            )
            self.assertEqual(index.find("POST", "/a/c").request_class, "2")
            self.assertEqual(index.find("POST", "/ab").request_class, "3")

    def test_the_first_of_several_routes_with_one_pattern_whose_methods_match_is_found(self):
        for uri in ("/a", "/a*", "/*a", "/[a]"):
            table = make_routes((uri, ("GET",)), (uri, ("GET", "POST")), (uri, ()), (uri, ("PUT",)))
            index = run_to_completion(RouteIndex.in_steps(table))
            self.assertEqual([index.find(m, "/a").request_class for m in METHODS], ["0", "2", "1", "2", "2"])


def make_mixed_routes(size):
    """Returns `size` routes whose patterns alternate between four forms."""
    forms = ("/svc{}/*", "/svc{}/status", "/svc{}/*/detail", "/api/*/items/svc{}")
    return make_routes(*(forms[n % 4].format(n) for n in range(size)))


def matching_path(uri):
    return uri.replace("*", "x/y")


def make_reader(table):
    config = load_appliance(str(ROOT / "deploy/ajp.toml"), {})
    classes = tuple(
        RequestClass(name=class_name, latency_objective_ns=1, deadline_ns=2)
        for class_name in sorted({route.request_class for route in table})
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
            retry_header=b"r",
            default_tenant=None,
        ),
    )


def count_lines(call):
    """Returns the Python lines that a call executes; a match of a regular expression counts as one."""
    return count_instructions(call, "line")


class LookupCostTest(unittest.TestCase):
    """The work of a lookup, and of a step of a change, does not grow with the table.

    Executed lines are counted instead of time, so that the result does not depend on the machine.
    """

    def lookup_costs(self, size):
        """Returns the number of lines executed to check a request, by the position of its route."""
        table = make_mixed_routes(size)
        reader, costs = make_reader(table), {}
        positions = {"first": 0, "last": size - 1} | {f"middle {n}": size // 2 + n for n in range(4)}
        positions |= {f"end {n}": size - 1 - n for n in range(4)}
        for name, position in positions.items():
            request = ajp.ForwardRequest(b"", "GET", matching_path(table[position].uri).encode())
            self.assertEqual(reader.check(request).request_class.name, table[position].request_class)
            costs[name] = count_lines(lambda request=request: reader.check(request))

        def check_unknown_path():
            with self.assertRaises(RequestRejectedError):
                reader.check(ajp.ForwardRequest(b"", "GET", b"/another"))

        return costs | {"none": count_lines(check_unknown_path)}

    def test_the_cost_of_a_lookup_does_not_grow_with_the_table(self):
        counts = {size: self.lookup_costs(size) for size in TABLE_SIZES}
        for size in TABLE_SIZES[1:]:
            for name, count in counts[size].items():
                # Names with one more digit add one more length of prefix and suffix to search.
                allowance = 20 * (len(str(size)) - len(str(TABLE_SIZES[0])))
                self.assertLessEqual(
                    count, max(counts[TABLE_SIZES[0]].values()) + allowance, (size, name, counts)
                )

    def test_the_cost_of_a_build_step_does_not_grow_with_the_table(self):
        for table in (
            make_mixed_routes(3800),
            make_routes(*(f"/a[b]{n}" for n in range(3800))),
            make_routes(*["/a/*"] * 3800),
        ):
            steps, counts = RouteIndex.in_steps(table), []
            with self.assertRaises(StopIteration):
                while True:
                    counts.append(count_lines(steps.__next__))
            self.assertGreaterEqual(len(counts), 38)
            self.assertLess(max(counts), 4000)


class PreparedIndexTest(unittest.TestCase):
    """An index that is prepared in steps, then applied."""

    def test_a_prepared_configuration_takes_effect_only_when_applied(self):
        old_routes, new_routes = make_routes("/old"), make_routes(*(f"/new{n}" for n in range(1000)))
        reader, step_count = make_reader(old_routes), 0
        new_reader = make_reader(new_routes)
        preparation = reader.prepare(new_reader.compiled_config.config, new_reader.core.settings)
        request = ajp.ForwardRequest(b"", "GET", b"/old")
        with self.assertRaises(StopIteration) as finished:
            while True:
                next(preparation)
                step_count += 1
                self.assertEqual(reader.check(request).request_class.name, "0")
        self.assertGreaterEqual(step_count, 10)
        self.assertEqual(reader.check(request).request_class.name, "0")
        finished.exception.value()
        self.assertEqual(reader.check(ajp.ForwardRequest(b"", "GET", b"/new999")).request_class.name, "999")
        with self.assertRaises(RequestRejectedError):
            reader.check(request)

    def test_a_change_without_new_routes_keeps_the_index(self):
        reader = make_reader(make_mixed_routes(380))
        old_index = reader.compiled_config.route_index
        self.assertEqual(list(reader.prepare(reader.compiled_config.config, reader.core.settings)), [])
        reader.configure(reader.compiled_config.config, reader.core.settings)
        self.assertIs(reader.compiled_config.route_index, old_index)


if __name__ == "__main__":
    unittest.main()
