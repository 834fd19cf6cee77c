"""Tests that numeric constants are named and assigned at module or class level."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src" / "corkcrank"
FOLDERS = ("scheduling", "machines", "node")

PLAIN = {-1, 0, 1, 2}
"""Numbers for counting, halving and doubling, which need no name."""

DECIMALS = 3
"""Second argument of ``round``: times are reported to the millisecond, shares to 0.001."""

FORMULAS = {
    ("outlier_detection.py", 4.0): "Wilson's interval",
    ("worker_outcomes.py", 0.5): "remainder after a half-life",
    ("crash_records.py", 1000.0): "milliseconds per second",
    ("stage_queue.py", 1e-6): "rounding tolerance of an invariant check",
}
"""Numbers that are part of a formula, with the formula's meaning."""


def constants_of(tree: ast.Module) -> set[int]:
    """Return the ids of the nodes in assignments at module or class level."""
    bodies = [tree.body]
    bodies += [node.body for node in ast.walk(tree) if isinstance(node, ast.ClassDef)]
    assignments = (
        item for body in bodies for item in body if isinstance(item, ast.Assign | ast.AnnAssign)
    )
    return {id(node) for item in assignments for node in ast.walk(item)}


def decimals_of(tree: ast.Module) -> set[int]:
    """Return the ids of the nodes that are the number of decimals in a ``round`` call."""
    return {
        id(node.args[1])
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == "round"
        and len(node.args) > 1
        and isinstance(node.args[1], ast.Constant)
        and node.args[1].value == DECIMALS
    }


def unnamed_numbers(code: str) -> Iterator[tuple[int, float]]:
    """Yield the lines and values of numbers that have no name."""
    tree = ast.parse(code)
    allowed = constants_of(tree) | decimals_of(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or isinstance(node.value, bool):
            continue
        if not isinstance(node.value, int | float) or id(node) in allowed:
            continue
        if node.value not in PLAIN:
            yield node.lineno, node.value


@pytest.mark.parametrize("folder", FOLDERS)
def test_numbers_have_names(folder: str) -> None:
    unnamed = [
        f"{path.name}:{line} {value}"
        for path in sorted((SOURCE / folder).rglob("*.py"))
        for line, value in unnamed_numbers(path.read_text(encoding="utf-8"))
        if (path.name, value) not in FORMULAS
    ]
    assert unnamed == []


def test_unnamed_numbers_are_found() -> None:
    code = "LIMIT = 5\ndef f(x):\n    return round(x, 3) * 7 + 2 * x + LIMIT\n"
    assert list(unnamed_numbers(code)) == [(3, 7)]
