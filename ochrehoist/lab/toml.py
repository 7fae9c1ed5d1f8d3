"""Enough TOML for a configuration that a play or a test writes. No I/O."""

import json
from typing import Any


def toml(value: Any) -> str:
    """JSON's scalars and arrays are TOML's; objects become inline tables."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(k)} = {toml(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(toml, value)) + "]"
    return json.dumps(value)


def toml_file(top: dict[str, Any]) -> str:
    """A whole file: a table for each object in `top`, and for each object of a list in it."""
    lines = [f"{key} = {toml(value)}" for key, value in top.items() if not isinstance(value, dict)]
    for name, table in top.items():
        if not isinstance(table, dict):
            continue
        arrays = {
            k: v
            for k, v in table.items()
            if v and isinstance(v, list | tuple) and all(isinstance(e, dict) for e in v)
        }
        lines += ["", f"[{name}]", *_members({k: v for k, v in table.items() if k not in arrays})]
        for key, elements in arrays.items():
            for element in elements:
                lines += ["", f"[[{name}.{key}]]", *_members(element)]
    return "\n".join(lines) + "\n"


def _members(table: dict[str, Any]) -> list[str]:
    return [f"{json.dumps(key)} = {toml(value)}" for key, value in table.items()]
