"""The shape of what a worker tells its operators: keys, types and metric names, without values."""

import re
from pathlib import Path
from typing import Any


def appliance_with_all_tables(base: str | Path) -> str:
    """The text of deploy/recovery.toml with [overload], [capture], and addresses and folders of its own."""
    text = Path("deploy/recovery.toml").read_text()
    text = re.sub(r'(?m)^(admin|listen|agent_check) = "127.0.0.1:[0-9]+"', r'\1 = "127.0.0.1:0"', text)
    text = re.sub(r'(?m)^(register-[23]|address) = "([0-9.]+):[0-9]+"', r'\1 = "\2:9"', text)
    text = text.replace('folder = "/var/lib/ochrehoist"', f'folder = "{base}/state"')
    return f'{text}\n[overload]\n\n[capture]\nfolder = "{base}/capture"\n'


def types_by_path(
    value: Any, path: str = "", found: dict[str, set[str]] | None = None
) -> dict[str, set[str]]:
    """The JSON types below a value, by path; the elements of a list have one path."""
    found = {} if found is None else found
    found.setdefault(path, set()).add(type(value).__name__)
    if isinstance(value, dict):
        for name, inner in value.items():
            types_by_path(inner, f"{path}/{name}", found)
    elif isinstance(value, list):
        for inner in value:
            types_by_path(inner, f"{path}[]", found)
    return found


def metric_names(text: str) -> set[str]:
    """Names with labels; the version of a configuration depends on its folders."""
    lines = [line for line in text.splitlines() if line and not line.startswith("#")]
    names = {line.rpartition(" ")[0] for line in lines}
    return {name.partition("=")[0] if name.startswith("app_conf_info{") else name for name in names}
