"""Each key of the platform's settings, documents and headers is read or listed as not needed.

Guards against a new key that is ignored unnoticed. The documentation of a deployment described
rows of evacuated zones and the warm-up of workers for a day while nothing read them, and 9,377
requests reached workers that were to receive none.
"""

import re
from pathlib import Path

import msgspec
import pytest
from known_keys import LISTS, read_keys, unknown_in, unknown_keys
from node_world import configuration, route
from platform_standins import StandinStageWorker, StandinWorker

from corkcrank.platform import documents, names, worker_entries

TEMPLATE = Path(__file__).parents[2] / "deploy" / "node.toml.template"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}")
HEADER_NAME = re.compile(r"(X-Corkcrank|Kv|Last-Event|Server)-[A-Za-z-]+")
GAP = re.compile(r"\{\{([\w.]+)(?:\|json)?\}\}")


def fields_of(kind: type[msgspec.Struct], path: str = "") -> set[str]:
    """Return the paths of all fields that are decoded from a message of this type."""
    paths = set()
    for item in msgspec.structs.fields(kind):
        inner = [part for part in _types_in(item.type) if isinstance(part, type)]
        structs = [part for part in inner if issubclass(part, msgspec.Struct)]
        name = f"{path}{item.encode_name}"
        paths |= fields_of(structs[0], f"{name}.") if structs else {name}
    return paths


def _types_in(annotation: object) -> list[object]:
    inner = getattr(annotation, "__args__", ())
    return [annotation, *(part for item in inner for part in _types_in(item))]


def test_the_settings_filled_in_by_the_template_match_the_list() -> None:
    text = TEMPLATE.read_text(encoding="utf-8")
    filled_in = set(SECTION.findall(text)) | set(GAP.findall(text)) - {"."}
    assert filled_in == read_keys("settings")


@pytest.mark.parametrize(
    ("kind", "message"),
    [("configuration", documents._Configuration), ("entry", worker_entries._Entry)],
)
def test_the_decoded_fields_match_the_list(kind: str, message: type[msgspec.Struct]) -> None:
    assert fields_of(message) == read_keys(kind)


def test_the_named_headers_match_the_list() -> None:
    named = {
        value
        for value in vars(names).values()
        if isinstance(value, str) and HEADER_NAME.fullmatch(value)
    }
    assert named == read_keys("headers")


def test_stand_ins_send_only_listed_keys() -> None:
    document = configuration(1, [route("safe", "safe", "plain")])
    assert unknown_keys("configuration", document) == set()
    for worker in (StandinWorker(), StandinStageWorker()):
        assert unknown_keys("entry", worker.entry("plain")) == set()


def test_keys_that_are_not_needed_have_a_reason_and_are_not_read() -> None:
    for kind, lists in LISTS.items():
        assert all(lists["not_needed"].values()), kind
        assert not read_keys(kind) & set(lists["not_needed"])


def test_a_new_key_is_found_in_examples_of_messages() -> None:
    text = (
        "== beat\nX-Corkcrank-Colour: red\n"
        '{"state":"ready","warmup_left_ms":0,"colour":"red","models":[{"name":"m"}]}\n'
        "== config\n"
        '{"version":7,"routes":[{"name":"r","colour":{"shade":1}}],"tenants":[]}\n'
    )
    assert unknown_in(text) == {
        "X-Corkcrank-Colour",
        "entry: colour",
        "configuration: routes.colour.shade",
    }
