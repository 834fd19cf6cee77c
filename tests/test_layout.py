"""Tests that the node's packages import each other only as listed, without cycles."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src" / "corkcrank"
NODE = SOURCE / "node"

MAY_IMPORT: dict[str, set[str]] = {
    "telemetry": set(),
    "peers": set(),
    "workers": {"telemetry"},
    "callers": {"telemetry"},
    "limits": {"peers", "workers"},
    "origins": {"peers"},
    "relays": {"peers", "telemetry", "workers"},
    "returns": {"peers", "stages", "telemetry"},
    "stages": {"limits", "peers", "workers"},
    "engines": {"limits", "peers", "workers"},
    "calls": {
        "callers",
        "engines",
        "limits",
        "origins",
        "returns",
        "stages",
        "telemetry",
        "workers",
    },
    "streams": {"callers", "calls", "engines", "stages", "workers"},
    "ingress": {"callers", "calls", "streams"},
    "membership": {
        "engines",
        "limits",
        "origins",
        "peers",
        "relays",
        "returns",
        "stages",
        "workers",
    },
    "process": {
        "callers",
        "calls",
        "engines",
        "ingress",
        "limits",
        "membership",
        "origins",
        "peers",
        "relays",
        "returns",
        "stages",
        "telemetry",
        "workers",
    },
    "program": {"process"},
}
"""Packages of the node that each package may import in addition to itself."""

READERS = {"reports": {"callers"}}
"""Node packages that packages outside the node may import: reports read their constants."""

OTHER_PRODUCTS = {"cli", "controller", "gateway", "load", "reports", "standins", "zones"}
"""Packages that the node must not import."""


def imports_of(path: Path) -> set[str]:
    """Return every module that a file imports, at any level of the file."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            assert node.level == 0, f"{path}: imports are absolute"
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def job_of(path: Path) -> str:
    """Return the package of the node to which a file belongs."""
    return path.relative_to(NODE).parts[0].removesuffix(".py")


def test_the_rules_name_every_package_and_have_no_cycle() -> None:
    jobs = {job_of(path) for path in NODE.rglob("*.py")} - {"__init__"}
    assert jobs == set(MAY_IMPORT)
    TopologicalSorter(MAY_IMPORT).prepare()


def test_packages_import_only_what_the_rules_allow() -> None:
    wrong = []
    for path in sorted(NODE.rglob("*.py")):
        job = job_of(path)
        for name in sorted(imports_of(path)):
            parts = name.split(".")
            if parts[:2] == ["corkcrank", "node"] and parts[2] not in {job, *MAY_IMPORT[job]}:
                wrong.append(f"{path.relative_to(NODE)} imports {name}")
    assert wrong == []


def test_the_node_imports_no_other_product() -> None:
    wrong = [
        f"{path.relative_to(NODE)} imports {name}"
        for path in sorted(NODE.rglob("*.py"))
        for name in imports_of(path)
        if name.startswith("corkcrank.") and name.split(".")[1] in OTHER_PRODUCTS
    ]
    assert wrong == []


def test_nothing_else_imports_the_node() -> None:
    wrong = [
        f"{path.relative_to(SOURCE)} imports {name}"
        for path in sorted(SOURCE.rglob("*.py"))
        if NODE not in path.parents
        for name in imports_of(path)
        if name.startswith("corkcrank.node.")
        and name.split(".")[2] not in READERS.get(path.relative_to(SOURCE).parts[0], set())
    ]
    assert wrong == []


def test_every_package_documents_its_contents_and_state() -> None:
    for folder in [NODE, *(NODE / job for job in MAY_IMPORT if (NODE / job).is_dir())]:
        docstring = ast.get_docstring(ast.parse((folder / "__init__.py").read_text()))
        assert docstring, folder
        assert folder == NODE or "State:" in docstring, folder


def test_only_the_clock_reads_the_clocks_of_the_machine() -> None:
    """All 187 direct uses of the monotonic clock missed the time that a machine was suspended."""
    for path in SOURCE.rglob("*.py"):
        if path.name != "clock.py":
            assert "monotonic" not in path.read_text(encoding="utf-8"), path


def test_every_http_client_uses_connections_that_know_how_a_body_ended() -> None:
    """A session without this connector would take a body that was reset for a complete one."""
    wrong = []
    for path in sorted(SOURCE.rglob("*.py")):
        text = path.read_text(encoding="utf-8")
        if path.parts[-2:] == ("links", "client_connections.py"):
            continue
        if "aiohttp.TCPConnector(" in text and "load" not in path.parts:
            wrong.append(f"{path.relative_to(SOURCE)} creates a connector of the library")
        if "aiohttp.ClientSession()" in text:
            wrong.append(f"{path.relative_to(SOURCE)} creates a session without a connector")
    assert wrong == []
