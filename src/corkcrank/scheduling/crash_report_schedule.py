"""Selects the crash records for each heartbeat: changed records first, the others in rotation."""

from collections.abc import Callable

from corkcrank.scheduling.crash_records import NEVER, CrashRecord, CrashRecords
from corkcrank.scheduling.crash_reports import CrashReport

CHANGE_REPORT_SECONDS = 1.5
"""Minimum time for which a change is reported; at least two heartbeat intervals."""

MAX_REPORTS_PER_HEARTBEAT = 6
"""Maximum number of crashes, or of trials, in one heartbeat. Changed crash records come first, the
others in round-robin order."""

MAX_REQUESTS_PER_HEARTBEAT = 24
"""Maximum number of requests in these crash reports together. A single crash with more requests is
still reported whole."""

SUSPECT_REPORT_SECONDS = 1.0
"""Interval at which heartbeats repeat crashes without a blamed suspect, which bounds their bytes.
The repetition lets gateways merge their evidence after a network partition."""


class CrashReportSchedule:
    """The order in which the records of one gateway are reported to its peers.

    ``has_blamed_suspect`` returns whether a suspect of a record is blamed at a given time.
    """

    def __init__(
        self, records: CrashRecords, has_blamed_suspect: Callable[[CrashRecord, float], bool]
    ) -> None:
        self._records = records
        self._has_blamed_suspect = has_blamed_suspect
        self._suspects_reported_at = NEVER

    def next_reports(self, now: float, interval: float) -> tuple[CrashReport, ...]:
        """Return the crash reports of one heartbeat; ``interval`` is the time between heartbeats.

        Changed records come first. The others follow, least recently reported first, for gateways
        that were partitioned or started since.
        """
        since = report_changes_since(now, interval)
        changed = [record for record in self._records if record.changed_at > since]
        changed.sort(key=lambda record: (record.reported_at, -record.changed_at))
        reported = _limit_to_heartbeat([*changed, *self._unchanged_records(since, now)])
        for record in reported:
            record.reported_at = now
        return tuple(record.to_report(now) for record in reported)

    def _unchanged_records(self, since: float, now: float) -> list[CrashRecord]:
        """Return the unchanged records that are to be reported, least recently reported first."""
        old = [record for record in self._records if record.changed_at <= since]
        if now - self._suspects_reported_at >= SUSPECT_REPORT_SECONDS:
            self._suspects_reported_at = now
        else:
            old = [record for record in old if self._has_blamed_suspect(record, now)]
        return sorted(old, key=lambda record: (record.reported_at, record.at))


def report_changes_since(now: float, interval: float) -> float:
    """Return the time from which changes are reported in a heartbeat sent now."""
    return now - max(CHANGE_REPORT_SECONDS, 2.0 * interval)


def _limit_to_heartbeat(records: list[CrashRecord]) -> list[CrashRecord]:
    """Return the records that fit into one heartbeat, in order; the first always fits."""
    reported: list[CrashRecord] = []
    requests = 0
    for record in records[:MAX_REPORTS_PER_HEARTBEAT]:
        requests += len(record.requests)
        if reported and requests > MAX_REQUESTS_PER_HEARTBEAT:
            break
        reported.append(record)
    return reported
