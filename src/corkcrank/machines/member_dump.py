"""Builds the part of a state dump that every daemon has."""

from corkcrank.contracts import clock
from corkcrank.contracts.process_life import ProcessLife
from corkcrank.machines.daemon import MemberDump
from corkcrank.machines.member import MemberAgent


def dump_member(agent: MemberAgent, life: ProcessLife) -> MemberDump:
    """Return the state of a daemon as a member of its zone."""
    now = clock.now()
    view = agent.view
    return MemberDump(
        name=agent.settings.process.name,
        role=agent.role,
        zone=view.zone,
        state=str(life.state),
        configuration_version=view.adoption.version,
        may_admit=view.adoption.may_admit(now),
        digest_age_seconds=None if view.digest_at is None else now - view.digest_at,
        gateways=view.gateways,
        members=tuple(entry.member for entry in view.tables.membership.members),
    )
