"""The relay tree: a digest reaches every live member, whichever member holds the zone."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkcrank.contracts.identifiers import Address, MemberId, WorkerId, ZoneName
from corkcrank.contracts.messages import LoadReport, MachineList, WorkerEntry
from corkcrank.contracts.settings import PlatformSettings, ProcessSettings, Settings
from corkcrank.links.peer_client import PeerClient
from corkcrank.links.table import Unanswered
from corkcrank.links.traffic import ControlTraffic
from corkcrank.machines.member import MemberAgent
from corkcrank.zones.peer_messages import DigestReply, Heartbeat
from corkcrank.zones.zone_state import ZoneState

ZONE = ZoneName("zone")


class NoTable:
    async def read(self, keys: object) -> Unanswered:
        return Unanswered("none")

    async def commit(self, conditions: object, writes: object) -> Unanswered:
        return Unanswered("none")


class DirectPeers(PeerClient):
    """Passes digests directly to other agents; dead agents do not answer."""

    def __init__(self, agents: dict[str, MemberAgent], dead: set[str]) -> None:
        self._traffic = ControlTraffic()
        self._agents = agents
        self._dead = dead
        self.pushes = 0

    async def push_digest(self, address: Address, digest: bytes) -> DigestReply | None:
        await asyncio.sleep(0)
        self.pushes += 1
        if address in self._dead:
            return None
        return self._agents[address].apply_encoded_digest(digest)


def make_agent(name: str, peers: PeerClient) -> MemberAgent:
    settings = Settings(
        process=ProcessSettings(MemberId(name), ZONE, Address(name)),
        platform=PlatformSettings(Address("t"), Address("m")),
    )
    return MemberAgent(settings, "controller", NoTable(), peers)


async def spread(count: int, holder: int, dead: set[str]) -> tuple[list[MemberAgent], DirectPeers]:
    agents: dict[str, MemberAgent] = {}
    peers = DirectPeers(agents, dead)
    names = [f"m{number:03}" for number in range(count)]
    for name in names:
        agents[name] = make_agent(name, peers)
    state = ZoneState(ZONE)
    worker = WorkerEntry(WorkerId("w"), "llm", ZONE, "1.1.1.1:1")
    state.apply_machine_list(MachineList(1, (worker,)))
    report = LoadReport(WorkerId("w"), False, 3, 1, 8)
    for name in names:
        address = Address(name)
        state.apply_heartbeat(
            Heartbeat(MemberId(name), "controller", ZONE, address, 1, (report,)), 0.0
        )
    state.prune_silent(0.0)
    state.validate()
    for _ in range(2):
        agents[names[holder]].publish_digest(state.make_digest(1, 1), state.tables)
        for _ in range(40 * count):
            await asyncio.sleep(0)
    return list(agents.values()), peers


@settings(max_examples=60)
@given(
    count=st.integers(1, 40),
    holder=st.integers(0, 39),
    seed=st.integers(0, 1000),
    dead_share=st.sampled_from((0.0, 0.2)),
)
def test_every_live_member_has_the_newest_digest(
    count: int, holder: int, seed: int, dead_share: float
) -> None:
    holder %= count
    source = random.Random(seed)
    dead = {
        f"m{number:03}"
        for number in range(count)
        if number != holder and source.random() < dead_share
    }
    agents, peers = asyncio.run(spread(count, holder, dead))
    for agent in agents:
        if agent.settings.process.name in dead:
            continue
        assert agent.view.digest is not None, f"{agent.settings.process.name} has no digest"
        assert agent.view.digest.order_key == (1, 2)
        assert [load.running for load in agent.view.digest.loads] == [3]
    assert peers.pushes <= 4 * count


@pytest.mark.parametrize("version", [0, 9])
def test_an_older_digest_changes_nothing(version: int) -> None:
    agents, _ = asyncio.run(spread(3, 0, set()))
    view = agents[2].view
    assert view.digest is not None
    before = view.digest
    old = type(before)(
        zone=ZONE,
        fence=1,
        sequence=1,
        configuration_version=version,
        directory_hash=before.directory_hash,
        membership_hash=before.membership_hash,
        gateways=5,
        loads=(),
    )
    assert not view.apply_digest(old, 9.0)
    assert view.digest is before
