"""What the pages name exists: files, links, modules, code, make targets, commands and log events."""

import ast
import json
import re
import unittest
from collections.abc import Iterator
from fnmatch import fnmatch
from pathlib import Path

from ochrehoist.cli.main import main

ROOT = next(folder for folder in Path(__file__).parents if (folder / "pyproject.toml").exists())
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
CHANGELOG = ROOT / "CHANGELOG.md"  # names what former releases had, so only its links are checked
SOURCES = [
    path
    for folder in ("ochrehoist", "tests", "benchmarks")
    for path in (ROOT / folder).rglob("*.py")
    if path != Path(__file__)
]
SETTINGS = [
    *(ROOT / "deploy").rglob("*.toml"),
    ROOT / "Makefile",
    ROOT / "pyproject.toml",
    ROOT / ".ci" / "run",
]
# Where a path on a page may start; the folder of the page itself comes besides.
PATH_ROOTS = (ROOT, ROOT / "ochrehoist", ROOT / "docs", ROOT / "tests", ROOT / "benchmarks")
# Words between backticks that name something of the machine or of another program.
FOREIGN_NAMES = frozenset({"curl", "mv", "SCM_RIGHTS"})
# Old names of log fields, which the table of log events quotes.
FORMER_NAMES = frozenset({"needs_a_restart", "not_on_record", "stale"})
# Files that a worker writes, the kit's, and what is no path though it looks like one.
NOT_IN_THE_TREE = frozenset({"store.json", "tenant/others/...", ".venv/bin/python", "58000/3800", "3/3"})
METRIC_PREFIX = "app_"
CLASS_NAME = re.compile(r"[A-Z][a-z]+(?:[A-Z][a-z]*)+")
PATH = re.compile(r"\.?[\w*-]+(?:/[\w.*-]+)+/?|[\w*-]+/|\b\w+\.(?:py|toml|json)\b")
NAME = re.compile(r"[A-Za-z_][\w.]*[A-Za-z0-9_]")
EVENT_METHODS = frozenset({"info", "warning", "error", "exception"})
SENTENCE = re.compile(r"[^a-z_]")  # the log lines of old, and what is no event name


def without_code_blocks(page: Path) -> str:
    return re.sub(r"```.*?```", "", page.read_text(encoding="utf-8"), flags=re.S)


def quoted(page: Path) -> Iterator[str]:
    """What stands between backticks."""
    for match in re.finditer(r"`([^`\n]+)`", without_code_blocks(page)):
        yield match.group(1)


def anchors(page: Path) -> set[str]:
    """The anchors of a page's headings, as the usual renderers make them."""
    titles = re.findall(r"^#+ (.*)$", without_code_blocks(page), re.M)
    return {re.sub(r"[^\w\- ]", "", title.lower()).replace(" ", "-") for title in titles}


def logged_events() -> set[str]:
    """Names that are given to a log as a literal; sentences of old are left out."""
    found = set()
    for path in (ROOT / "ochrehoist").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            owner = ast.unparse(node.func.value)
            if node.func.attr not in EVENT_METHODS or not owner.endswith("log") or not node.args:
                continue
            found |= {
                constant.value
                for constant in ast.walk(node.args[0])
                if isinstance(constant, ast.Constant) and isinstance(constant.value, str)
            }
    return {name for name in found if not SENTENCE.search(name)}


class PagesTest(unittest.TestCase):
    """Links, paths, names and commands on the pages."""

    # Names out of the configuration of the worker whose status is compared, and stages of its start.
    example_names = frozenset(
        {"again", "boekhoud-net", "register-runs", "sites.return", "register-db", "settings", "lost", "peers"}
        | {"company-read", "extract-refresh", "filing-submit"}
    )

    @classmethod
    def setUpClass(cls):
        cls.source = "\n".join(path.read_text(encoding="utf-8") for path in SOURCES)
        settings = "\n".join(path.read_text(encoding="utf-8") for path in SETTINGS)
        cls.words = set(re.findall(r"[A-Za-z_]\w*", cls.source + settings)) | {path.stem for path in SOURCES}
        cls.modules = {
            path.relative_to(ROOT / "ochrehoist").as_posix()
            for path in SOURCES
            if path.is_relative_to(ROOT / "ochrehoist")
        }

    def test_links_lead_to_a_page_and_to_a_heading(self):
        for page in [*PAGES, CHANGELOG]:
            for target in re.findall(r"\]\(([^)\s]+)\)", without_code_blocks(page)):
                if target.startswith(("http:", "https:")):
                    continue
                path, _, anchor = target.partition("#")
                linked = (page.parent / path).resolve() if path else page
                with self.subTest(page=page.name, target=target):
                    self.assertTrue(linked.exists())
                    if anchor:
                        self.assertIn(anchor, anchors(linked))

    def test_paths_exist(self):
        for page in PAGES:
            for text in quoted(page):
                for path in PATH.findall(text):
                    if (
                        path in NOT_IN_THE_TREE
                        or path in FORMER_NAMES
                        or text.startswith(("/", "$", "GET ", "POST "))
                    ):
                        continue
                    with self.subTest(page=page.name, path=path):
                        roots = (*PATH_ROOTS, page.parent)
                        self.assertTrue(any(list(root.glob(path.rstrip("/"))) for root in roots))

    def test_names_of_code_keys_and_metrics_exist(self):
        for page in PAGES:
            for text in quoted(page):
                if not NAME.fullmatch(text) or text in FOREIGN_NAMES or text in FORMER_NAMES:
                    continue
                for word in re.findall(r"[A-Za-z_]\w*", text):
                    if len(word) == 1:
                        continue
                    with self.subTest(page=page.name, name=text):
                        self.assertTrue(word in self.words or word.removeprefix(METRIC_PREFIX) in self.words)

    def test_classes_and_keys_of_settings_exist(self):
        keys = "\n".join(path.read_text(encoding="utf-8") for path in SETTINGS)
        known = set(re.findall(r"^ *class (\w+)", self.source, re.M)) | set(re.findall(r"\w+", keys))
        for page in PAGES:
            for text in quoted(page):
                name = text.partition(".")[0]
                if CLASS_NAME.fullmatch(name):
                    with self.subTest(page=page.name, name=name):
                        self.assertIn(name, known)

    def test_tests_that_are_named_in_part_exist(self):
        tests = re.findall(r"def (test_\w+)", self.source)
        for page in PAGES:
            for part in re.findall(r"`\.\.(\w+?)(?:\.\.)?`", without_code_blocks(page)):
                with self.subTest(page=page.name, test=part):
                    self.assertTrue(any(part in name for name in tests))

    def test_modules_that_are_run_exist(self):
        for page in PAGES:
            text = page.read_text(encoding="utf-8")
            for name in re.findall(r"python -m (ochrehoist[\w.]*|benchmarks[\w.]*)", text):
                with self.subTest(page=page.name, module=name):
                    base = ROOT / name.replace(".", "/")
                    self.assertTrue(base.is_dir() or base.with_suffix(".py").exists())

    def test_targets_of_make_exist(self):
        targets = set(re.findall(r"^([\w-]+):", (ROOT / "Makefile").read_text(encoding="utf-8"), re.M))
        for page in PAGES:
            for name in re.findall(r"`make ([a-z-]+)", page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, target=name):
                    self.assertIn(name, targets)

    def test_commands_exist(self):
        for page in PAGES:
            for words in re.findall(
                r"ochrehoist (?:--config \w+ )?([a-z][a-z ]*)", page.read_text(encoding="utf-8")
            ):
                group, *rest = words.split()
                if group not in main.commands:
                    continue  # prose after the program's name
                children = getattr(main.commands[group], "commands", None)
                if children and rest:
                    with self.subTest(page=page.name, command=f"{group} {rest[0]}"):
                        self.assertIn(rest[0], children)

    def test_each_module_is_on_the_page_of_modules(self):
        named = {
            path for text in quoted(ROOT / "docs" / "modules.md") for path in re.findall(r"[\w/*]+\.py", text)
        }
        decisions = {
            name for text in quoted(ROOT / "docs" / "design.md") for name in [f"admission/{text}.py"]
        }
        for module in sorted(self.modules):
            if module.endswith("__init__.py"):
                continue
            with self.subTest(module=module):
                listed = module in decisions or any(fnmatch(module, name) for name in named)
                self.assertTrue(listed, "add it to docs/modules.md, of admission/ to docs/design.md")

    def test_the_reference_has_all_keys_of_the_status_and_all_metrics(self):
        shown = json.loads(
            (ROOT / "tests" / "fixtures" / "000e6de" / "status.json").read_text(encoding="utf-8")
        )
        page = ROOT / "docs" / "reference.md"
        sections = re.split(r"^## ", page.read_text(encoding="utf-8"), flags=re.M)
        by_title = {section.partition("\n")[0].strip("`"): section for section in sections}
        for path in filter(None, shown["status"]):
            section, *keys = path.strip("/").replace("[]", "").split("/")
            if section in by_title:
                # Below these the keys are names out of the configuration or stages, or a budget's own.
                keys = [key for key in keys if key not in self.example_names]
            else:
                section, keys = "Worker", [section]
            for key in keys:
                with self.subTest(path=path):
                    self.assertRegex(by_title[section], rf"[`.]{key}[`.]")
        for metric in shown["metrics"]:
            name = re.split(r"[{ ]", metric)[0]
            with self.subTest(metric=name):
                self.assertRegex(by_title["Metrics"], rf"`{name}[`{{]")

    def test_the_table_of_log_events_is_complete(self):
        page = (ROOT / "docs" / "on-call.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| `([a-z_]+)`", page[page.index("## Log events") :], re.M)
        for event in logged_events():
            with self.subTest(event=event):
                self.assertIn(event, rows)
        for event in rows:
            with self.subTest(row=event):
                self.assertTrue(f'"{event}"' in self.source)


if __name__ == "__main__":
    unittest.main()
