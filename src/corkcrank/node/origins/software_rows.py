"""Finds the only software that can have begun a stream whose caller names no attempt.

The list of workers shows the versions that serve now, not one that has just left, and a gateway
that is out of step lacks those that others have begun to use. So the list is first brought up to
date with the store; without an answer nothing is known. A gateway that has heard of every change
for long enough knows the versions that left. One that has not reads the rows that the owner of each
service keeps in the store: they outlast all gateways. A row is written only when the versions of
its service change.
"""

import asyncio
from collections.abc import Collection, Mapping, Sequence

import msgspec

from corkcrank.contracts import clock
from corkcrank.contracts.opaque_call import OpaqueCall
from corkcrank.contracts.opaque_configuration import OpaqueRoute
from corkcrank.contracts.stream_origin import StreamOrigin
from corkcrank.contracts.worker_records import WorkerRecord
from corkcrank.links.decision_log import DecisionLog, LogEvent
from corkcrank.links.platform_ports import (
    MetadataStore,
    StoreFailure,
    StoreRows,
    StoreTable,
    Unreadable,
)
from corkcrank.links.strict_json import decode_strictly
from corkcrank.machines.fleet import Fleet
from corkcrank.machines.store_contact import StoreContact, newest_contact
from corkcrank.machines.store_mirror import StoreMirror
from corkcrank.machines.worker_changes import WorkerChange
from corkcrank.machines.worker_list_check import WorkerListCheck
from corkcrank.scheduling.route_history import RouteHistory
from corkcrank.scheduling.software_history import SoftwareHistory

CHECK_SECONDS = 0.2
"""Interval of checks whether the versions of a service have changed."""

RETRY_SECONDS = 1.0
"""Delay after a failed call to the store."""

RECENT_SECONDS = 30.0
"""Time for which a version that has left still counts as one of several."""

LATE_BEGIN_SECONDS = RECENT_SECONDS
"""Time for which a gateway that is out of step may begin streams at workers that are not listed any
more; they serve on for a while."""

MAX_KEPT_SECONDS = 600.0
"""Time for which a row keeps a version that has left; no stream is resumed later."""


class SoftwareRow(msgspec.Struct, frozen=True):
    """The value of a row, whose key is the name of its service.

    ``versions`` has the time at which each version was noticed to have left, on the store's clock
    in seconds, ``None`` while it is listed.
    """

    versions: dict[str, float | None]

    @property
    def listed(self) -> set[str]:
        """Return the versions that have not left."""
        return {version for version, left_at in self.versions.items() if left_at is None}

    def lacks(self, listed: Collection[str], left: Collection[str]) -> bool:
        """Return whether versions that are listed, or that have left, are not in the row."""
        return self.listed != set(listed) or not set(left) <= self.versions.keys()

    def updated(
        self, listed: Collection[str], left: Mapping[str, float], store_time: float
    ) -> "SoftwareRow":
        """Return the row after a look at the listed versions, and at those that have left.

        >>> SoftwareRow({"v1": None}).updated(["v2"], {}, 5.0)
        SoftwareRow(versions={'v1': 5.0, 'v2': None})
        >>> SoftwareRow({"v1": None}).updated(["v1"], {"v2": 4.0}, 5.0)
        SoftwareRow(versions={'v2': 4.0, 'v1': None})
        """
        versions: dict[str, float | None] = {}
        for version, left_at in (dict(left) | self.versions).items():
            left_at = store_time if left_at is None else left_at
            if version not in listed and left_at > store_time - MAX_KEPT_SECONDS:
                versions[version] = left_at
        return SoftwareRow(versions | dict.fromkeys(sorted(listed)))

    def versions_since(self, since: float) -> set[str]:
        """Return the versions that may have been listed at a time on the store's clock."""
        return {
            version
            for version, left_at in self.versions.items()
            if left_at is None or left_at >= since
        }


UNREADABLE_ROW = SoftwareRow({"": None})
"""Stands for a row that cannot be read: an unknown version may have served."""


class SoftwareRows:
    """The software versions of the services with resumable streams."""

    def __init__(
        self, fleet: Fleet, mirror: StoreMirror, store: MetadataStore, log: DecisionLog
    ) -> None:
        self._fleet = fleet
        self._mirror = mirror
        self._store = store
        self._log = log
        self._list_check = WorkerListCheck(fleet, mirror)
        self._history = SoftwareHistory()
        self._routes = RouteHistory()
        self._versions: dict[str, tuple[Sequence[WorkerRecord], frozenset[str]]] = {}
        """The versions of each service's workers, kept until its workers change."""
        self._resumable: tuple[Sequence[OpaqueRoute], list[str]] = (), []
        """The services with resumable streams, kept until the routes change."""
        mirror.on_whole_list = self._record_whole_list
        mirror.on_entry = self._record_entry
        self._written: dict[str, SoftwareRow] = {}
        """Rows known to be in the store."""

    async def keep_rows_current(self) -> None:
        """Watch the list of workers, and write the rows that this gateway owns, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS if await self._check() else RETRY_SECONDS)

    async def find_only_software(self, call: OpaqueCall) -> StreamOrigin | None:
        """Return the software that began a call's stream, ``None`` if two may have.

        Services are software of their own, of whatever version.
        The stream began at most the route's timeout ago, maybe at a gateway that is out of step.
        """
        if not await self._list_check.bring_up_to_date():
            return None
        now, service = clock.now(), call.service
        listed = self._listed(service)
        seconds = call.route.timeout + LATE_BEGIN_SECONDS
        self._routes.record(self._all_routes(), now)
        led_to = self._routes.services_since(call.route.name, now - seconds)
        if len(listed) != 1 or led_to != {service}:
            return None
        found = set(self._history.last_listed(service, now - seconds))
        if not self._history.covers(now - seconds):
            rows = await self._store.read(StoreTable.SOFTWARE)
            if isinstance(rows, StoreFailure):
                return None
            row = self._find_row(rows, service)
            found |= row.versions_since(rows.store_time - seconds) if row else set()
        return StreamOrigin(service, next(iter(listed))) if found <= listed else None

    def has_several(self, service: str, now: float) -> bool:
        """Return whether a service has, or recently had, workers of several versions."""
        self._observe(service)
        return len(self._history.last_listed(service, now - RECENT_SECONDS)) > 1

    def any_several(self, now: float) -> bool:
        """Return whether a service with resumable streams has workers of several versions."""
        return any(self.has_several(service, now) for service in self._resumable_services())

    def store_time(self, now: float) -> float | None:
        """Return the time on the store's clock, ``None`` if the store has not answered yet."""
        own = self._mirror.store_contacts.get(StoreTable.WORKERS, StoreContact())
        contact = newest_contact(own, self._fleet.store_contact(StoreTable.WORKERS))
        if contact.received_at == float("-inf"):
            return None
        return contact.store_time + now - contact.received_at

    async def _check(self) -> bool:
        """Write the rows that have changed; return whether the store accepted every change."""
        if not self._mirror.workers_known:
            return True
        self._routes.record(self._all_routes(), clock.now())
        for service in self._resumable_services():
            self._observe(service)
            if not await self._write_changed(service):
                return False
        return True

    async def _write_changed(self, service: str) -> bool:
        listed, now = self._listed(service), clock.now()
        if not listed or self._fleet.zone_owner("", service, now) != self._fleet.local_name:
            return True
        if not self._lacks(service, listed, now):
            return True
        store_time = self.store_time(now)
        if store_time is None:
            return True
        # Another gateway may have owned the service since, and written its row.
        rows = await self._store.read(StoreTable.SOFTWARE)
        if isinstance(rows, StoreFailure):
            return False
        self._written[service] = row = self._find_row(rows, service) or SoftwareRow({})
        if not self._lacks(service, listed, now):
            return True
        seen = self._history.last_listed(service, now - RECENT_SECONDS)
        left = {version: store_time - (now - at) for version, at in seen.items()}
        row = row.updated(listed, left, store_time)
        value = msgspec.json.encode(row)
        if isinstance(await self._store.put(StoreTable.SOFTWARE, service, value), StoreFailure):
            # The write may have taken effect.
            del self._written[service]
            return False
        self._written[service] = row
        return True

    def _lacks(self, service: str, listed: frozenset[str], now: float) -> bool:
        """Return whether the row of a service lacks a version that this gateway has seen."""
        row = self._written.get(service)
        seen = self._history.last_listed(service, now - RECENT_SECONDS)
        return row is None or row.lacks(listed, seen)

    def _record_whole_list(self) -> None:
        self._history.restart(clock.now())

    def _record_entry(self, previous: WorkerRecord | None, change: WorkerChange) -> None:
        now = clock.now()
        self._history.record_change(previous, change.record, now)
        known = previous is not None or change.record is not None
        if not known and not change.unreadable and self._mirror.workers_known:
            self._history.record_unknown(now)

    def _observe(self, service: str) -> None:
        if self._mirror.workers_known:
            self._history.record(service, self._listed(service), clock.now())

    def _listed(self, service: str) -> frozenset[str]:
        workers = self._mirror.workers.for_service(service)
        known = self._versions.get(service)
        if known is None or known[0] is not workers:
            known = workers, frozenset(worker.version for worker in workers)
            self._versions[service] = known
        return known[1]

    def _resumable_services(self) -> list[str]:
        routes = self._all_routes()
        if self._resumable[0] is not routes:
            resumable = [route for route in routes if route.resumable]
            services = {item.service for route in resumable for item in route.services}
            self._resumable = routes, sorted(services)
        return self._resumable[1]

    def _all_routes(self) -> Sequence[OpaqueRoute]:
        configuration = self._mirror.configuration
        return configuration.routes if configuration is not None else ()

    def _find_row(self, rows: StoreRows, service: str) -> SoftwareRow | None:
        """Return the row of a service, ``None`` if no gateway has written it yet."""
        value = next((row.value for row in rows.rows if row.key == service), None)
        if value is None:
            return None
        found = decode_strictly(value, SoftwareRow)
        if isinstance(found, Unreadable):
            self._log.write(
                LogEvent.DOCUMENT_UNREADABLE, kind="software", key=service, detail=found.reason
            )
            return UNREADABLE_ROW
        return found
