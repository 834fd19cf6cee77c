"""Tests that a change in a service's workers is logged once, with the remaining capacity."""

import json
from pathlib import Path
from typing import Any

from node_world import configuration, route, until, world
from platform_standins import StandinStageWorker, StandinWorker
from test_operations_page import logged

ROUTES = [route("safe", "safe", "plain")]


def lines_of(path: Path, service: str) -> list[dict[str, Any]]:
    records = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        record
        for record in records
        if record["event"] == "Service: capacity changed." and record["service"] == service
    ]


async def test_a_removed_worker_is_logged_with_the_remaining_capacity(tmp_path: Path) -> None:
    one, two = StandinStageWorker(), StandinStageWorker()
    served = {"p": (StandinWorker(), "plain"), "one": (one, "encode"), "two": (two, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        with logged(running, tmp_path) as path:
            running.store.put("servers", one.worker_id, one.entry("encode", state="draining"))
            await until(lambda: len(node.mirror.workers.usable_workers("encode")) == 1)
            running.store.remove("servers", one.worker_id)
            await until(lambda: node.mirror.workers.get(one.worker_id) is None)
    (logged_line,) = lines_of(path, "encode")
    assert (logged_line["workers"], logged_line["before"]) == (1, 2)
    # Four pieces take 20 ms plus 2 ms each.
    assert logged_line["pieces_a_second"] == 142.9
    assert lines_of(path, "plain") == []
