"""A pytest plugin that leaves out exactly the tests named by `--leave-out`.

pytest's own `--deselect` takes a name for a prefix, and leaves out all tests whose names begin with it.
"""

import pytest

CONTINUATIONS = ("::", "[")  # a test of the named class, or a parameter of the named test


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option."""
    parser.addoption("--leave-out", action="append", default=[], metavar="TEST", help="a test not to run")


def is_left_out(node_id: str, names: list[str]) -> bool:
    """Returns whether the test has one of the names, or belongs to one of them."""
    return any(
        node_id == name or node_id.startswith(tuple(name + continuation for continuation in CONTINUATIONS))
        for name in names
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leaves out the named tests."""
    names = config.getoption("--leave-out")
    left_out = [item for item in items if is_left_out(item.nodeid, names)]
    if left_out:
        config.hook.pytest_deselected(items=left_out)
        items[:] = [item for item in items if not is_left_out(item.nodeid, names)]
