"""A deferred removal of a worker is applied even if peers report later changes meanwhile.

After a pause and an outage of the store, one gateway of four kept a crashed worker in its list. The
gateway had deferred the removal, since the entry might have lapsed in the outage. Meanwhile a peer
reported later changes, and the gateway counted its list as complete up to them. When the removal
was confirmed, it was older than the list and was ignored as outdated. Seen in two of four soak runs
of one seed: the log shows the deferral and never the removal.
"""

import random
from types import SimpleNamespace

import msgspec
import pytest
from platform_standins import worker_entry

from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog
from corkcrank.links.platform_ports import StoreRow, StoreRows, StoreTable
from corkcrank.machines import store_mirror
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.lapsed_entries import REREGISTRATION_SECONDS
from corkcrank.machines.store_followers import StoreFollowerElection
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_changes import WorkerChange, WorkerChangeBatch
from corkcrank.platform.documents import PlatformDocumentCodec


def row(name: str, revision: int) -> StoreRow:
    entry = worker_entry("s", "10.0.0.1:80", zone="a", born=17)
    return StoreRow(name, msgspec.json.encode(entry), revision)


def create_mirror(monkeypatch: pytest.MonkeyPatch) -> tuple[StoreMirror, SimpleNamespace]:
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr(store_mirror, "clock", SimpleNamespace(now=lambda: clock.now))
    election = StoreFollowerElection(Fleet("0", "a", "10.0.0.0:1"), 2.0)
    store = SimpleNamespace()
    mirror = StoreMirror(
        store, PlatformDocumentCodec(), DecisionLog(None, "test"), random.Random(1), election
    )
    return mirror, clock


@pytest.mark.parametrize("reported_at", [36, 43])
def test_a_deferred_removal_is_applied_although_peers_reported_later_changes(
    monkeypatch: pytest.MonkeyPatch, reported_at: int
) -> None:
    mirror, clock = create_mirror(monkeypatch)
    mirror.apply_answer(StoreTable.WORKERS, StoreRows((row("a", 11), row("b", 12)), 20), whole=True)
    mirror._lapsed.record_store_return(clock.now)
    mirror.apply_answer(StoreTable.WORKERS, StoreRows((row("b", 12),), 35), whole=True)
    assert [record.name for record in mirror.workers.records()] == ["a", "b"]
    another = WorkerRecord("c", "s", "10.0.0.2:80", "a", revision=reported_at, born=18)
    update = WorkerChangeBatch(34, reported_at, (WorkerChange("c", reported_at, another),))
    assert mirror.apply_worker_changes(update, "peer")
    clock.now += REREGISTRATION_SECONDS
    mirror._apply_confirmed_removals()
    assert [record.name for record in mirror.workers.records()] == ["b", "c"]
    # The peer's update stays recorded: none of its changes is applied twice.
    assert not mirror.apply_worker_changes(update, "peer")


def test_a_list_with_a_deferred_removal_is_not_complete_up_to_the_removal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two gateways had deferred the removal of the same worker, and one kept the worker forever.

    The peer found the removal in a whole list at revision 53; the row was removed at revision 52.
    While it deferred the removal, the peer reported its list, which still had the worker, as
    complete up to 52. The second gateway adopted that list and then ignored its own deferred
    removal, revision 52, as outdated. Seen in both logs of soak seed 36013: "list taken" from the
    peer stands between "held back" and the confirmation of the removal.
    """
    peer, clock = create_mirror(monkeypatch)
    peer.apply_answer(StoreTable.WORKERS, StoreRows((row("a", 11), row("b", 12)), 50), whole=True)
    peer._lapsed.record_store_return(clock.now)
    peer.apply_answer(StoreTable.WORKERS, StoreRows((row("b", 12),), 53), whole=True)

    gateway, gateway_clock = create_mirror(monkeypatch)
    gateway.apply_answer(
        StoreTable.WORKERS, StoreRows((row("a", 11), row("b", 12)), 51), whole=True
    )
    gateway._lapsed.record_store_return(gateway_clock.now)
    gateway.apply_answer(StoreTable.WORKERS, StoreRows((StoreRow("a", None, 52),), 52), whole=False)
    gateway.apply_worker_list(peer.workers.records(), peer.workers.revision, "peer")

    gateway_clock.now += REREGISTRATION_SECONDS
    gateway._apply_confirmed_removals()
    assert [record.name for record in gateway.workers.records()] == ["b"]
