"""The platform's names stand only in ``platform/``, and nothing there decides."""

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
DECIDING = (
    "corkcrank.scheduling",
    "corkcrank.machines",
    "corkcrank.gateway",
    "corkcrank.node",
    "random",
    "time",
)
MAXIMUM_LINES = 1_200


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


def test_names_of_the_platform_stand_nowhere_else() -> None:
    found = [
        f"{path.relative_to(SOURCE)}: {match.group(0)}"
        for path in python_files(SOURCE)
        if PLATFORM not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_nothing_in_the_platform_folder_decides() -> None:
    for path in python_files(PLATFORM):
        wrong = [
            name
            for name in imports_of(path)
            for part in DECIDING
            if name.split(".")[:2] == part.split(".")[:2]
        ]
        assert wrong == [], f"{path.name} imports {wrong}"


def test_the_platform_folder_stays_small() -> None:
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines()) for path in python_files(PLATFORM)
    )
    assert lines <= MAXIMUM_LINES
