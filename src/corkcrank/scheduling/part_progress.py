"""Finds the crashes after which some run progressed at an engine of the same service.

Crash records do not name the service. A prompt part belongs to one service and an engine serves
one, so records that share parts, directly or through other records, are of the same service. The
module has no side effects.
"""

from collections.abc import Collection

from corkcrank.scheduling.crash_records import NEVER, CrashRecord


def outlived_crashes(records: Collection[CrashRecord]) -> set[str]:
    """Return the workers after whose crash a run of the same service progressed."""
    groups = _PartGroups(records)
    latest: dict[str, float] = {}
    for record in records:
        if _has_success_since(record):
            group = groups.of_record(record)
            latest[group] = max(latest.get(group, NEVER), record.at)
    return {
        record.worker_id
        for record in records
        if record.parts and record.at <= latest.get(groups.of_record(record), NEVER)
    }


def _has_success_since(record: CrashRecord) -> bool:
    return any(entry.succeeded_after for entry in record.parts.values())


class _PartGroups:
    """Disjoint sets of the parts that records connect; a set is named by one of its parts."""

    def __init__(self, records: Collection[CrashRecord]) -> None:
        self._parents: dict[str, str] = {}
        for record in records:
            if record.parts:
                group = self.of_record(record)
                for part in record.parts:
                    self._parents[self._find(part)] = group

    def of_record(self, record: CrashRecord) -> str:
        """Return the name of the set with the parts of a record, which has some."""
        return self._find(next(iter(record.parts)))

    def _find(self, part: str) -> str:
        root = part
        while (parent := self._parents.setdefault(root, root)) != root:
            root = parent
        while part != root:
            self._parents[part], part = root, self._parents[part]
        return root
