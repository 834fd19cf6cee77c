"""Injects a schedule of faults into a fleet from outside its processes."""

import asyncio
import signal
import time
from collections.abc import Callable, Coroutine, Sequence

from soak.accepting import FLOOD_PAYLOADS, flood
from soak.brittle_workers import turn_brittle
from soak.cold_engines import turn_cold
from soak.crashing import CrashingRequests
from soak.evacuations import evacuate
from soak.faults import Fault, FaultKind
from soak.first_routes import extra_route
from soak.fleet import PLAIN_SERVICES, SERVICES, ZONES, AnyWorker, SoakFleet, SoakNode
from soak.grey_workers import fail_together
from soak.large_messages import LargeMessages
from soak.limited_workers import announce_limits
from soak.links import FaultLink, LinkTrouble, Silence
from soak.noticed_workers import announce_leave, request_backoffs
from soak.partitions import cut_from_workers
from soak.picking import between, pick
from soak.restarts import (
    SAME_ADDRESS_SHARE,
    crash_and_replace,
    crash_and_restart,
    leave,
    restart_planned,
    write_foreign_entries,
)
from soak.silent_services import silence_service
from soak.surplus_faults import send_surplus_answers
from soak.workers import GREY_KINDS

RESTART_SECONDS = (0.1, 1.5)
STOP_SLACK_SECONDS = 1.5
REUSE_SECONDS = 2.0
DELAY_SECONDS = (0.02, 0.6)
STORE_DELAY_SECONDS = (0.05, 0.9)
LOST_SHARE = (0.2, 0.9)
GREY_SHARE = (0.1, 0.7)
KILLED_SHARE = 0.6
EXTRA_ROUTES = 3
FAILING_SERVICES = ("plain", "model", *SERVICES)
"""Services whose workers fail some calls; the first two receive most calls."""
MAX_GRACE_SECONDS = 6.0


class Injector:
    """Runner of faults; each fault undoes its effect when its duration ends."""

    def __init__(self, fleet: SoakFleet, crashing: CrashingRequests, large: LargeMessages) -> None:
        self.played: list[str] = []
        self.floods = 0
        self._fleet = fleet
        self._ledger = fleet.ledger
        self._actions: dict[FaultKind, Callable[[Fault], Coroutine[None, None, None]]] = {
            FaultKind.TERMINATE: self._terminate,
            FaultKind.CHANGE_SETTINGS: self._change_settings,
            FaultKind.CONFIGURE: self._configure,
            FaultKind.DRAIN_WORKER: lambda fault: self._leave(fault, draining=True),
            FaultKind.WORKER_VANISHES: lambda fault: self._leave(fault, draining=False),
            FaultKind.KILL: self._kill,
            FaultKind.KILL_MANY: self._kill_many,
            FaultKind.FREEZE: self._freeze,
            FaultKind.CALLERS_LINK: self._callers_link,
            FaultKind.CALLERS_FLOOD: self._callers_flood,
            FaultKind.STORE_LINK: self._store_link,
            FaultKind.WORKER_LINK: self._worker_link,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_LOSES_ANSWERS: self._store_loses_answers,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.STORE_TURNS_AWAY: self._store_turns_away,
            FaultKind.WORKER_GREY: self._worker_grey,
            FaultKind.WORKER_CRASH: self._worker_crash,
            FaultKind.KEPT_SILENT: self._kept_silent,
            FaultKind.ENGINES_GREY: lambda fault: fail_together(fleet, "model", fault),
            FaultKind.WORKER_RESTARTED: self._worker_restarted,
            FaultKind.WORKER_STARTS_AGAIN: self._worker_starts_again,
            FaultKind.FOREIGN_ENTRY: self._foreign_entry,
            FaultKind.CRASHING_REQUEST: crashing.play,
            FaultKind.EVACUATE_ZONE: lambda fault: evacuate(fleet, fault),
            FaultKind.ENGINES_COLD: lambda fault: turn_cold(fleet, fault),
            FaultKind.WORKERS_LIMITED: lambda fault: announce_limits(fleet, fault),
            FaultKind.LEAVE_ANNOUNCED: lambda fault: announce_leave(fleet, fault),
            FaultKind.BACKOFFS_REQUESTED: lambda fault: request_backoffs(fleet, fault),
            FaultKind.CUT_FROM_WORKERS: lambda fault: cut_from_workers(fleet, fault),
            FaultKind.WORKERS_BRITTLE: lambda fault: turn_brittle(fleet, fault),
            FaultKind.CRASHING_PART: crashing.play_part,
            FaultKind.SERVICE_SILENT: lambda fault: silence_service(fleet, fault),
            FaultKind.LARGE_BODIES: large.send_large_bodies,
            FaultKind.ENDLESS_ANSWERS: large.answer_without_end,
            FaultKind.SURPLUS_ANSWERS: lambda fault: send_surplus_answers(fleet, fault),
        }

    async def play(self, schedule: Sequence[Fault]) -> None:
        """Inject every fault at its scheduled time; return when the last one has ended."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in schedule:
                await asyncio.sleep(max(0.0, started + fault.at - loop.time()))
                self.played.append(str(fault))
                group.create_task(self._actions[fault.kind](fault))

    def _pick_node(self, fault: Fault) -> SoakNode | None:
        nodes = [node for node in self._fleet.nodes if not node.down]
        return pick(nodes, fault.choice)

    # Processes

    async def _terminate(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is None:
            return
        node.down = True
        self._ledger.disturbances.begin(node.name)
        await self._fleet.wait_signalable(node)
        self._ledger.terminated[node.name] = time.monotonic()
        self._fleet.signal_node(node, signal.SIGTERM)
        longest = self._fleet.bounds.grace + STOP_SLACK_SECONDS
        status = await self._fleet.wait_ended(node, longest + self._ledger.loop_lag)
        if status is None:
            self._ledger.violate("stop", f"{node.name} goes on {longest} s after SIGTERM")
            self._fleet.signal_node(node, signal.SIGKILL)
            await self._fleet.wait_ended(node, longest)
        elif status != 0:
            self._ledger.violate("stop", f"{node.name} ended with status {status}")
        await self._restart(node, fault)

    async def _kill(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is not None:
            await self._kill_node(node, fault)

    async def _kill_many(self, fault: Fault) -> None:
        nodes = [node for node in self._fleet.nodes if not node.down]
        count = max(1, round(KILLED_SHARE * len(nodes)))
        await asyncio.gather(*(self._kill_node(node, fault) for node in nodes[:count]))

    async def _kill_node(self, node: SoakNode, fault: Fault) -> None:
        node.down = True
        self._ledger.disturbances.begin(node.name)
        self._fleet.signal_node(node, signal.SIGKILL)
        await self._fleet.wait_ended(node, MAX_GRACE_SECONDS)
        await self._restart(node, fault)

    async def _restart(self, node: SoakNode, fault: Fault) -> None:
        await asyncio.sleep(between(RESTART_SECONDS, fault.strength))
        self._fleet.start_node(node)
        node.down = False
        self._ledger.disturbances.end(node.name)

    async def _freeze(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is None:
            return
        node.down = True
        self._ledger.disturbances.begin(node.name)
        self._fleet.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        self._fleet.signal_node(node, signal.SIGCONT)
        node.down = False
        self._ledger.disturbances.end(node.name)

    async def _change_settings(self, fault: Fault) -> None:
        """Change a node's retry allowance; half of the changes send no SIGHUP."""
        node = self._pick_node(fault)
        if node is None:
            return
        self._fleet.rewrite_settings(node, retry_allowance=20.0 + 60.0 * fault.strength)
        if fault.strength < 0.5:
            await self._fleet.wait_signalable(node)
            self._fleet.signal_node(node, signal.SIGHUP)

    # Links

    async def _callers_link(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is not None:
            await self._disturb_link(node.callers, node.name, fault)

    async def _callers_flood(self, fault: Fault) -> None:
        """Open more connections than a node can hold; the node counts as undisturbed."""
        node = self._pick_node(fault)
        if node is not None:
            self.floods += 1
            kind = int(fault.strength * len(FLOOD_PAYLOADS))
            await flood(node.caller_address, kind, fault.seconds)

    async def _store_link(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is not None:
            await self._disturb_link(node.store, f"store of {node.name}", fault)

    async def _worker_link(self, fault: Fault) -> None:
        worker = self._pick_worker(fault, FAILING_SERVICES)
        if worker is not None and worker.link is not None:
            await self._disturb_link(worker.link, "workers", fault)

    async def _disturb_link(self, link: FaultLink, part: str, fault: Fault) -> None:
        kinds = list(LinkTrouble)
        self._ledger.disturbances.begin(part)
        trouble = kinds[int(fault.strength * len(kinds))]
        link.trouble(trouble, between(DELAY_SECONDS, fault.choice))
        await asyncio.sleep(fault.seconds)
        link.mend()
        self._ledger.disturbances.end(part)

    async def _kept_silent(self, fault: Fault) -> None:
        """Silence the open connections of one link, of one kind of link, or of all links."""
        targets = self._silence_targets(fault)
        for part in {part for _, part in targets}:
            self._ledger.disturbances.begin(part)
        silence = tuple(Silence)[int(fault.strength * len(Silence))]
        count = sum(link.silence_open_connections(silence) for link, _ in targets)
        for link, _ in targets:
            self._ledger.silent_clients |= link.silent_clients()
        line = self.played.index(str(fault))
        self.played[line] += f", {silence.value}, {count} connections of {len(targets)} links"
        await asyncio.sleep(fault.seconds)
        for part in {part for _, part in targets}:
            self._ledger.disturbances.end(part)

    def _silence_targets(self, fault: Fault) -> list[tuple[FaultLink, str]]:
        """Return links, each with the part of the environment that the fault disturbs."""
        nodes, workers = self._fleet.nodes, self._fleet.workers
        of_nodes = {
            "callers": [(node.callers, node.name) for node in nodes],
            "store": [(node.store, f"store of {node.name}") for node in nodes],
            "peers": [(node.peers, "workers") for node in nodes],
        }
        of_workers = [(item.link, "workers") for item in workers if item.link is not None]
        kinds = [*of_nodes.values(), of_workers]
        everything = [target for links in kinds for target in links]
        groups = [*kinds, *([pick(links, fault.strength)] for links in kinds), everything]
        chosen = groups[int(fault.choice * len(groups))]
        return [target for target in chosen if target is not None]

    # The store

    async def _store_down(self, fault: Fault) -> None:
        self._fleet.store.silent = fault.strength < 0.3
        self._fleet.store.troubles.down = True
        await self._disturb_store(fault)
        self._fleet.store.silent = False
        self._fleet.store.troubles.down = False

    async def _store_slow(self, fault: Fault) -> None:
        self._fleet.store.troubles.delay = between(STORE_DELAY_SECONDS, fault.strength)
        await self._disturb_store(fault)
        self._fleet.store.troubles.delay = 0.0

    async def _store_loses_answers(self, fault: Fault) -> None:
        self._fleet.store.troubles.lost_share = between(LOST_SHARE, fault.strength)
        await self._disturb_store(fault)
        self._fleet.store.troubles.lost_share = 0.0

    async def _store_forgets(self, fault: Fault) -> None:
        self._ledger.disturbances.begin("store")
        self._fleet.store.forget_history()
        self._ledger.disturbances.end("store")

    async def _store_turns_away(self, fault: Fault) -> None:
        node = self._pick_node(fault)
        if node is None:
            return
        part = f"store of {node.name}"
        self._ledger.disturbances.begin(part)
        self._fleet.store.troubles.turned_away.add(node.ip)
        await asyncio.sleep(fault.seconds)
        self._fleet.store.troubles.turned_away.discard(node.ip)
        self._ledger.disturbances.end(part)

    async def _disturb_store(self, fault: Fault) -> None:
        self._ledger.disturbances.begin("store")
        await asyncio.sleep(fault.seconds)
        self._ledger.disturbances.end("store")

    # Workers

    def _pick_worker(self, fault: Fault, services: Sequence[str]) -> AnyWorker | None:
        """Return a worker of a service that has other workers."""
        service = services[int(fault.choice * len(services))]
        workers = self._fleet.workers_of([service])
        return pick(workers, fault.strength) if len(workers) > 1 else None

    async def _worker_grey(self, fault: Fault) -> None:
        worker = self._pick_worker(fault, FAILING_SERVICES)
        if worker is None:
            return
        self._ledger.disturbances.begin("workers")
        worker.grey = GREY_KINDS[int(fault.strength * len(GREY_KINDS))]
        worker.grey_share = between(GREY_SHARE, fault.choice)
        await asyncio.sleep(fault.seconds)
        worker.grey, worker.grey_share = "", 0.0
        self._ledger.disturbances.end("workers")

    async def _worker_crash(self, fault: Fault) -> None:
        worker = self._pick_worker(fault, SERVICES)
        if worker is None:
            return
        await crash_and_replace(self._fleet, worker)

    async def _leave(self, fault: Fault, *, draining: bool) -> None:
        """Replace a worker and remove it; a later worker may reuse its address."""
        worker = self._pick_worker(fault, SERVICES)
        if worker is None:
            return
        reused = fault.seconds < REUSE_SECONDS
        await leave(self._fleet, worker, draining=draining, keep_link=reused)
        if reused:
            await asyncio.sleep(REUSE_SECONDS)
            service = SERVICES[int(fault.strength * len(SERVICES))]
            zone = ZONES[int(fault.choice * len(ZONES))]
            await self._fleet.add_worker(service, zone, worker.link)

    async def _worker_restarted(self, fault: Fault) -> None:
        """Drain a worker and restart it under its id, at the same or another address."""
        worker = self._pick_worker(fault, SERVICES)
        if worker is not None:
            await restart_planned(
                self._fleet, worker, keep_link=fault.strength < SAME_ADDRESS_SHARE
            )

    async def _worker_starts_again(self, fault: Fault) -> None:
        worker = self._pick_worker(fault, SERVICES)
        if worker is not None:
            await crash_and_restart(self._fleet, worker, fault.seconds)

    async def _foreign_entry(self, fault: Fault) -> None:
        worker = self._pick_worker(fault, SERVICES)
        if worker is not None:
            await write_foreign_entries(self._fleet, worker, fault.strength, fault.seconds)

    # Configuration

    async def _configure(self, fault: Fault) -> None:
        """Move a route to another service, and add or remove another route."""
        routes = dict(self._fleet.routes)
        service = PLAIN_SERVICES[int(fault.choice * len(PLAIN_SERVICES))]
        routes["moving"] = {**routes["moving"], "service": service}
        name = f"extra-{int(fault.strength * EXTRA_ROUTES)}"
        if name in routes:
            del routes[name]
        else:
            routes[name] = extra_route(name)
        self._fleet.configure(routes)
