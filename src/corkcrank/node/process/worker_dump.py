"""The part of the state dump that shows the listed workers."""

from typing import Any

import msgspec

from corkcrank.node.calls.services import CallServices
from corkcrank.scheduling.worker_pace import PaceBelief


class WorkerDump(msgspec.Struct, frozen=True):
    """A worker as this gateway sees it; ``avoided`` is the seconds for which it stays avoided.

    ``warming`` says whether its rate is limited to what its service permits during warm-up.
    ``rate_limit`` is its limit of requests per second, from warm-up or any other cause.
    ``leave_source`` names who reported that its answers announce a leave, ``leave_age`` the seconds
    since then. ``backoff`` is the seconds for which it wants no requests of this gateway.
    ``link_failed`` says that a member reaches it and this gateway does not. ``places`` is the
    number of calls that this gateway, as owner, lets a brittle worker have at a time, ``None``
    without a cap; ``leases`` are the calls that hold one. ``pace`` is how long work is believed to
    take there, relative to the service's mean, ``steady_pace`` its part that does not pass.
    ``stated_pace`` is the worker's newest statement, made ``stated_pace_age`` seconds ago and
    reported by a peer if ``pace_told``; all ``None`` for a worker that states none.
    ``request_bytes`` are the bytes of this gateway's requests that it has not answered.
    """

    worker_id: str
    service: str
    version: str
    zone: str
    leaving: bool
    warming: bool
    rate_limit: float | None
    in_flight: int
    peers_in_flight: int
    recent_failures: int
    avoided: float
    verdict: str
    failure_excess: float
    leave_source: str
    leave_age: float | None
    backoff: float
    link_failed: bool
    places: int | None
    leases: int
    request_bytes: int
    pace: float | None = None
    steady_pace: float | None = None
    stated_pace: float | None = None
    stated_pace_age: float | None = None
    pace_told: bool = False


def dump_workers(services: CallServices, now: float) -> tuple[WorkerDump, ...]:
    """Return what is known of every listed worker."""
    dumps = []
    for record in services.mirror.workers.records():
        statistics = services.worker_statistics.get_or_create(record.worker_id)
        leave = services.statements.notices.leave(record.worker_id)
        dumps.append(
            WorkerDump(
                worker_id=record.worker_id,
                service=record.service,
                version=record.version,
                zone=record.zone,
                leaving=record.leaving or statistics.leaving or leave is not None,
                warming=services.limits.warmup_rate(record, now) is not None,
                rate_limit=services.limits.rate(record, now),
                in_flight=statistics.in_flight,
                peers_in_flight=statistics.peers_in_flight,
                recent_failures=statistics.recent_failures(now),
                avoided=round(max(0.0, statistics.avoid_until - now), 3),
                verdict=statistics.verdict.value,
                failure_excess=round(statistics.excess, 3),
                leave_source=leave.source if leave is not None else "",
                leave_age=round(now - leave.announced_at, 3) if leave is not None else None,
                backoff=round(
                    services.statements.notices.backoff_seconds(record.worker_id, now), 3
                ),
                link_failed=record.worker_id in services.links.health.failed_links,
                places=services.limits.caps.places(record.worker_id),
                leases=services.limits.caps.leases(record.worker_id),
                **_pace_fields(services.paces.belief(record.worker_id, now)),
                request_bytes=services.worker_statistics.requests.at(record.worker_id),
            )
        )
    return tuple(dumps)


def _pace_fields(belief: PaceBelief | None) -> dict[str, Any]:
    if belief is None:
        return {}
    fields: dict[str, Any] = {
        "pace": round(belief.factor, 3),
        "steady_pace": round(belief.steady, 3),
    }
    if belief.statement is not None:
        fields["stated_pace"] = round(belief.statement, 3)
        fields["stated_pace_age"] = round(belief.age, 3)
        fields["pace_told"] = belief.told
    return fields
