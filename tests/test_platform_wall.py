"""Only ``platform/`` contains the platform's names, and it makes no decisions.

Guards against platform details in the rest of the code, and scheduling logic in the adapter.
"""

import ast
import re
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src" / "corkcrank"
PLATFORM = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"X-Corkcrank-|/rows-(get|tx|feed)|/stage-(run|free)|kv-events|since_revision|"
    r"weighted_services|target_latency_ms|route_type|headroom_mb|session_affinity_|"
    r"byte_length|path_prefix\"|max_header_bytes|api_keys|CORKCRANK_BOOT"
)
DECISION_MODULES = (
    "corkcrank.scheduling",
    "corkcrank.machines",
    "corkcrank.gateway",
    "corkcrank.node",
    "random",
    "time",
)
MAX_LINES = 1_200


def python_files(folder: Path) -> list[Path]:
    return sorted(folder.rglob("*.py"))


def imports_of(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


def test_platform_names_occur_only_in_the_platform_folder() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {match.group(0)}"
        for path in python_files(SOURCE)
        if PLATFORM not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_the_platform_folder_imports_no_decision_modules() -> None:
    for path in python_files(PLATFORM):
        wrong = [
            name
            for name in imports_of(path)
            for part in DECISION_MODULES
            if name.split(".")[:2] == part.split(".")[:2]
        ]
        assert wrong == [], f"{path.name} imports {wrong}"


def test_the_platform_folder_stays_small() -> None:
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines()) for path in python_files(PLATFORM)
    )
    assert lines <= MAX_LINES
