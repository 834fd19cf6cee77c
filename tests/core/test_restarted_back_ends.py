"""A restarted back end is used again, whatever its previous incarnation last reported.

Guards against a stalled rolling restart: an engine that the list showed as restarted got no call
for 10 s. The zone's holder still had the report of the previous incarnation, which was leaving,
and sent it beside the new list. A gateway treats leaving as final for an incarnation, so the new
incarnation got no call until its next restart.
"""

import pytest

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId
from corkcrank.contracts.messages import LoadReport, MachineList, WorkerEntry
from corkcrank.links.peer_codec import decode_digest, encode_digest
from corkcrank.machines.load_view import LoadView
from corkcrank.zones.peer_messages import Enclosures, Heartbeat, KnownTables
from corkcrank.zones.zone_state import ZoneState

WORKER = WorkerId("engine")
ZONES = ("near", "far")


class Zones:
    """Holders of two zones, with the back end in the first and a gateway in one of them."""

    def __init__(self, gateway_zone: str) -> None:
        self.holders = {zone: ZoneState(zone) for zone in ZONES}
        self.view = LoadView(gateway_zone)
        self._gateway_zone = gateway_zone
        self._version = 0

    def list_worker(self, boot: str, *, leaving: bool = False) -> None:
        """Apply a new list at both holders."""
        self._version += 1
        entry = WorkerEntry(WORKER, "llm", ZONES[0], "1.1.1.1:1", boot, leaving)
        for holder in self.holders.values():
            holder.apply_machine_list(MachineList(self._version, (entry,)))

    def report(self, boot: str, *, leaving: bool) -> None:
        """Apply a load report of the back end at the first holder."""
        report = LoadReport(WORKER, leaving, 0, 0, 8, boot)
        member = MemberId("controller")
        heartbeat = Heartbeat(member, "controller", ZONES[0], Address("1.1.1.1:2"), 1, (report,))
        self.holders[ZONES[0]].apply_heartbeat(heartbeat, 0.0)

    def send_summary(self) -> None:
        """Apply the first holder's summary at the second holder."""
        self.holders[ZONES[1]].apply_remote_digest(self.holders[ZONES[0]].make_summary(1, 1))

    def send_digest(self) -> None:
        """Apply its holder's digest, as encoded on the wire, at the gateway."""
        holder = self.holders[self._gateway_zone]
        holder.prune_silent(0.0)
        encoded = encode_digest(holder.make_digest(1, 1), holder.tables, Enclosures(directory=True))
        digest = decode_digest(encoded, KnownTables())
        assert digest.directory is not None
        self.view.apply_directory(digest.directory)
        self.view.apply_loads(digest.loads, 0.0)

    def is_used(self) -> bool:
        return bool(self.view.candidates("llm", 0.0))


@pytest.mark.parametrize("gateway_zone", ZONES)
def test_the_last_report_before_a_restart_does_not_exclude_the_next_incarnation(
    gateway_zone: str,
) -> None:
    zones = Zones(gateway_zone)
    zones.list_worker("1", leaving=True)
    zones.report("1", leaving=True)
    zones.send_summary()
    zones.send_digest()
    assert not zones.is_used()
    zones.list_worker("2")
    zones.send_digest()
    zones.report("2", leaving=False)
    zones.send_summary()
    zones.send_digest()
    assert zones.is_used()


@pytest.mark.parametrize("gateway_zone", ZONES)
@pytest.mark.parametrize("boot", ["2", ""])
def test_an_incarnation_that_reports_leaving_gets_no_call(gateway_zone: str, boot: str) -> None:
    zones = Zones(gateway_zone)
    zones.list_worker("2")
    zones.report(boot, leaving=True)
    zones.send_summary()
    zones.send_digest()
    assert not zones.is_used()
    zones.report("2", leaving=False)
    zones.send_summary()
    zones.send_digest()
    assert not zones.is_used(), "leaving is final"


@pytest.mark.parametrize("gateway_zone", ZONES)
def test_an_incarnation_listed_as_leaving_gets_no_call(gateway_zone: str) -> None:
    zones = Zones(gateway_zone)
    zones.report("1", leaving=True)
    zones.list_worker("2", leaving=True)
    zones.send_summary()
    zones.send_digest()
    assert not zones.is_used()
