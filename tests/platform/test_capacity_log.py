"""A service that gains or loses workers says so once, with what is left."""

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


async def test_a_lost_worker_is_told_with_the_capacity_that_is_left(tmp_path: Path) -> None:
    one, two = StandinStageWorker(), StandinStageWorker()
    served = {"p": (StandinWorker(), "plain"), "one": (one, "encode"), "two": (two, "encode")}
    async with world(configuration(1, ROUTES), served) as running:
        node = running.nodes[0]
        with logged(running, tmp_path) as path:
            running.store.put("servers", one.worker_id, one.entry("encode", state="draining"))
            await until(lambda: len(node.mirror.workers.usable_workers("encode")) == 1)
            running.store.remove("servers", one.worker_id)
            await until(lambda: node.mirror.workers.get(one.worker_id) is None)
    (told,) = lines_of(path, "encode")
    assert (told["workers"], told["before"]) == (1, 2)
    # Four pieces in 20 ms and 2 ms each.
    assert told["pieces_a_second"] == 142.9
    assert lines_of(path, "plain") == []
