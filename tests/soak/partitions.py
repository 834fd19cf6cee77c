"""Faults in which gateways lose their links to all workers, and the check of who is served then."""

import asyncio
import json
import time
from collections.abc import Collection
from enum import Enum

from soak.faults import Fault
from soak.fleet import SoakFleet, SoakNode
from soak.link_cuts import REFUSED, SILENT, cut_file

CUT_FACTOR = 2.0
"""Duration of a cut in fault lengths: the check starts some seconds after its beginning."""

MOST_SHARE = 0.3
"""Share of the cuts that leave only one gateway with its links."""

ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1 / 50
MIN_SHARE_OF_OTHERS = 2 / 3
"""Calls at partitioned gateways that may fail, and the share of the others' that they serve."""


class OpenConnections(Enum):
    """What a cut does to the open connections."""

    LIVE_ON = "live on"
    RESET = "reset"
    SILENT = "silent"


async def cut_from_workers(fleet: SoakFleet, fault: Fault) -> None:
    """Cut one gateway, or all but one, from all workers for a while; check who was served."""
    nodes = [node for node in fleet.nodes if not node.down and node.name not in fleet.partitioned]
    start = int(fault.choice * len(nodes))
    nodes = nodes[start:] + nodes[:start]
    cut = nodes[: len(nodes) - 1 if fault.strength < MOST_SHARE else 1]
    if not cut or len(nodes) < 2:
        return
    names = {node.name for node in cut}
    kinds = list(OpenConnections)
    kind = kinds[int(fault.choice * 1000) % len(kinds)]
    fleet.partitioned |= names
    fleet.ledger.disturbances.begin("workers")
    began_at = time.monotonic()
    for node in cut:
        _cut(fleet, node, kind)
    await asyncio.sleep(CUT_FACTOR * fault.seconds)
    ended_at = time.monotonic()
    for node in cut:
        cut_file(fleet.processes.root / f"{node.name}.toml").unlink(missing_ok=True)
    fleet.partitioned -= names
    fleet.ledger.disturbances.end("workers")
    _check_served(fleet, names, began_at + fleet.bounds.contact, ended_at)


def _cut(fleet: SoakFleet, node: SoakNode, kind: OpenConnections) -> None:
    links = [worker.link for worker in fleet.workers if worker.link is not None]
    hosts = sorted({link.address.rsplit(":", 1)[0] for link in links})
    how = SILENT if kind is OpenConnections.SILENT else REFUSED
    text = json.dumps({"how": how, "hosts": hosts})
    path = cut_file(fleet.processes.root / f"{node.name}.toml")
    path.with_suffix(".new").write_text(text, encoding="utf-8")
    path.with_suffix(".new").rename(path)
    for link in links:
        if kind is OpenConnections.SILENT:
            link.silence_client(node.ip)
        elif kind is OpenConnections.RESET:
            link.reset_client(node.ip)


def _check_served(fleet: SoakFleet, cut: Collection[str], begin: float, end: float) -> None:
    """Check that callers of partitioned gateways were served about as often as others."""
    served: dict[bool, list[bool]] = {True: [], False: []}
    for call in fleet.ledger.calls.values():
        answer = call.answer
        if answer is None or not begin <= call.sent_at < end or call.due_at > time.monotonic():
            continue
        if fleet.ledger.in_touch(call.node, call.sent_at):
            served[call.node in cut].append(answer.complete and answer.status == 200)
    at_cut, at_others = served[True], served[False]
    if not at_cut or not at_others:
        return
    failures = at_cut.count(False)
    bound = MIN_SHARE_OF_OTHERS * sum(at_others) / len(at_others)
    too_many = failures > ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * len(at_cut)
    if too_many and sum(at_cut) / len(at_cut) < bound:
        fleet.ledger.violate(
            "partition",
            f"{sorted(cut)} served {sum(at_cut)} of {len(at_cut)}, "
            f"others {sum(at_others)} of {len(at_others)}",
        )
