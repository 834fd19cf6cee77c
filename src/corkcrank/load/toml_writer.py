"""Writes settings as TOML, for the settings files of a local cluster."""

import json
from typing import Any


def write_toml(settings: dict[str, Any]) -> str:
    """Return TOML text for scalars, lists, tables and arrays of tables.

    >>> print(write_toml({"a": 1, "t": {"b": "x"}, "r": [{"c": True}]}), end="")
    a = 1
    [t]
    b = "x"
    [[r]]
    c = true
    """
    scalars: list[str] = []
    tables: list[str] = []
    for key, value in settings.items():
        if isinstance(value, dict):
            tables += [f"[{key}]", *_lines(value)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for row in value:
                tables += [f"[[{key}]]", *_lines(row)]
        else:
            scalars.append(f"{key} = {json.dumps(value)}")
    return "\n".join([*scalars, *tables]) + "\n"


def _lines(table: dict[str, Any]) -> list[str]:
    return [f"{key} = {json.dumps(value)}" for key, value in table.items()]
