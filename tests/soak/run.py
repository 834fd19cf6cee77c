"""One soak from its seed to its verdict."""

import argparse
import asyncio
import json
import logging
import random
import shutil
import signal
import sys
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path

from soak.bounds import SoakBounds
from soak.clients import Clients, RouteUse
from soak.core_waits import CoreWait, CoreWaits
from soak.crashing import CrashingRequests
from soak.fleet import SoakFleet
from soak.injector import Injector
from soak.large_messages import LargeMessages
from soak.ledger import Ledger, Violation
from soak.list_check import check_lists
from soak.memory_watch import MemoryWatch
from soak.schedule import make_schedule
from soak.silence_watch import SilenceWatch
from soak.silent_services import KeptCalls
from soak.stage_workers import SoakStageWorker
from soak.take_ups import TakeUps

ROUTE_USES = (
    RouteUse("safe", 3.0, repeatable=True),
    RouteUse("once", 4.0, repeatable=False),
    RouteUse("moving", 1.0, repeatable=True),
    RouteUse("extra-0", 0.5, repeatable=True),
    RouteUse("talk", 2.0, repeatable=True, streamed=True),
    RouteUse("say", 2.0, repeatable=False, streamed=True),
    RouteUse("staged", 2.0, repeatable=False, streamed=True, stages=True),
)
STORY_USE = RouteUse("story", 3.0, repeatable=True, streamed=True, stages=True)
"""A route of the soaks in which services fall silent."""

PROBED = tuple(use for use in ROUTE_USES if use.name not in ("extra-0",))
PROBE_SECONDS = 4.0
FREED_SECONDS = 2.0
NODES = 4
CLIENTS = 16
SECONDS = 20.0
FAULT_LINE = "Process: fault."
SILENCE_LINE = "Connection: dropped for silence."
TRACE_LINES = 12
"""Traceback lines of a node's log that a violation includes; the log itself may not be kept."""

PLANNED_EVERY = 3
"""Every third seed runs only planned work, which must cut no call."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Results of one soak."""

    seed: int
    calls: int
    outcomes: dict[str, int]
    violations: tuple[Violation, ...]
    faults: tuple[str, ...]
    longest_lag: float
    core_waits: tuple[CoreWait, ...]
    longest_core_wait: float
    floods: int
    longest_unaccepted: float
    largest_bytes: int
    silences: dict[str, int]
    crashed: int
    wrongly_quarantined: int
    taken_up: int
    continued: int


async def soak(
    seed: int,
    seconds: float = SECONDS,
    nodes: int = NODES,
    clients: int = CLIENTS,
    keep: Path | None = None,
) -> SoakResult:
    """Run one soak; if it fails, copy its logs and fault list into ``keep``."""
    # Simulated back ends reset connections on purpose; their server would log each one.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    planned_only = seed % PLANNED_EVERY == 0
    SoakStageWorker.made.clear()
    SoakStageWorker.lost.clear()
    fleet = SoakFleet(seed, nodes, SoakBounds())
    fleet.ledger.planned_only = planned_only
    if fleet.silences:
        fleet.ledger.check_kept = KeptCalls(fleet).check
    uses = (*ROUTE_USES, STORY_USE) if fleet.silences else ROUTE_USES
    users = Clients(fleet.ledger, uses, fleet.choose_node, random.Random(f"calls {seed}"))
    take_ups = TakeUps(fleet)
    users.on_stream = take_ups.record
    repeaters = Clients(fleet.ledger, (), fleet.choose_node, random.Random(f"crashing {seed}"))
    crashing = CrashingRequests(fleet, repeaters)
    senders = Clients(fleet.ledger, (), fleet.choose_node, random.Random(f"large {seed}"))
    injector = Injector(fleet, crashing, LargeMessages(fleet, senders))
    memory = MemoryWatch(fleet)
    core_waits = CoreWaits(fleet)
    watching = [asyncio.create_task(watch.run()) for watch in (core_waits, memory)]
    try:
        await fleet.start()
        users.start(clients)
        watching.append(asyncio.create_task(SilenceWatch(fleet).run()))
        await injector.play(make_schedule(seed, seconds, planned_only=planned_only))
        await _check_recovery(fleet, users)
        await check_lists(fleet)
        await users.stop()
        await _check_freed(fleet)
        await _check_processes(fleet)
        await crashing.check_quarantines()
        crashing.check_never_held()
        take_ups.check()
    except Exception as error:
        fleet.ledger.violate("ended", f"the soak itself failed: {error!r}")
        raise
    finally:
        for task in watching:
            task.cancel()
        result = _result(seed, fleet, injector, crashing, take_ups, core_waits, memory)
        if keep is not None and result.violations:
            _keep(fleet, result, keep / f"seed-{seed}")
        await fleet.stop()
    return result


async def _check_recovery(fleet: SoakFleet, users: Clients) -> None:
    """Check that every node serves every kind of call again after all faults have ended."""
    if not await fleet.wait_ready(fleet.bounds.recover):
        missing = [node.name for node in fleet.nodes if node.misses]
        fleet.ledger.violate("recover", f"not ready again: {missing}")
    deadline = time.monotonic() + PROBE_SECONDS
    waiting = list(PROBED)
    while waiting and time.monotonic() < deadline:
        answers = [await users.send_once(use) for use in waiting]
        waiting = [
            use
            for use, answer in zip(waiting, answers, strict=True)
            if answer is None or answer.status != 200
        ]
    if waiting:
        fleet.ledger.violate("recover", f"not served again: {[use.name for use in waiting]}")


async def _check_freed(fleet: SoakFleet) -> None:
    """Check that no result is still stored when no call is left."""
    stages = [worker for worker in fleet.workers if isinstance(worker, SoakStageWorker)]
    deadline = time.monotonic() + FREED_SECONDS
    while any(worker.held for worker in stages) and time.monotonic() < deadline:
        await asyncio.sleep(0.05)
    held = sum(worker.held for worker in stages)
    if held and fleet.ledger.planned_only:
        fleet.ledger.violate("freed", f"{held} results hold room after the last call")


async def _check_processes(fleet: SoakFleet) -> None:
    for node in fleet.nodes:
        process = fleet.processes.processes[node.name]
        if process.poll() is not None:
            fleet.ledger.violate("alive", f"{node.name} ended with {process.returncode}")
        lines = fleet.processes.log_text(node.name).splitlines()
        for number, line in enumerate(lines):
            if FAULT_LINE in line:
                fleet.ledger.violate("alive", f"{node.name}: {line[:300]}")
            elif "Traceback" in line:
                trace = " / ".join(lines[max(0, number - 1) : number + TRACE_LINES])
                fleet.ledger.violate("alive", f"{node.name}: {trace}")


def _result(
    seed: int,
    fleet: SoakFleet,
    injector: Injector,
    crashing: CrashingRequests,
    take_ups: TakeUps,
    core_waits: CoreWaits,
    memory: MemoryWatch,
) -> SoakResult:
    ledger: Ledger = fleet.ledger
    outcomes = Counter(
        str(call.answer.status if call.answer.complete else f"cut {call.answer.trouble}")
        for call in ledger.calls.values()
        if call.answer is not None
    )
    return SoakResult(
        seed=seed,
        calls=len(ledger.calls),
        outcomes=dict(sorted(outcomes.items())),
        violations=tuple(ledger.violations),
        faults=tuple(injector.played),
        longest_lag=round(ledger.longest_lag, 3),
        core_waits=tuple(core_waits.waits),
        longest_core_wait=round(core_waits.longest, 3),
        floods=injector.floods,
        longest_unaccepted=round(max((item.longest for item in fleet.watches), default=0.0), 2),
        largest_bytes=memory.largest_bytes,
        silences=dict(sorted(_silences(fleet).items())),
        crashed=crashing.ends,
        wrongly_quarantined=crashing.wrongly_quarantined(),
        taken_up=take_ups.all_taken_up.count,
        continued=take_ups.all_taken_up.served,
    )


def _silences(fleet: SoakFleet) -> Counter[str]:
    """Return the number of connections that the nodes closed for silence, by kind."""
    return Counter(
        json.loads(line)["kind"]
        for node in fleet.nodes
        for line in fleet.processes.log_text(node.name).splitlines()
        if SILENCE_LINE in line and line.startswith("{")
    )


def _keep(fleet: SoakFleet, result: SoakResult, folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)
    shutil.copytree(fleet.processes.root, folder)
    lines = [f"{item.at:7.2f} s {item.promise}: {item.detail}" for item in result.violations]
    (folder / "violations.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    waits = "\n".join(map(str, result.core_waits))
    (folder / "core-waits.txt").write_text(waits + "\n", encoding="utf-8")
    (folder / "faults.txt").write_text("\n".join(result.faults) + "\n", encoding="utf-8")


def main() -> None:
    """Run soaks with ascending seeds until the time limit or the number of seeds."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=0, help="how many; 0: until --minutes")
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seconds", type=float, default=SECONDS, help="length of one soak")
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--clients", type=int, default=CLIENTS)
    parser.add_argument("--keep", type=Path, default=Path("results/soak"))
    options = parser.parse_args()
    failed = []
    seed, end_at = options.seed, time.monotonic() + 60 * options.minutes
    while seed < options.seed + options.seeds or (not options.seeds and time.monotonic() < end_at):
        playing = soak(seed, options.seconds, options.nodes, options.clients, options.keep)
        try:
            result = asyncio.run(_interruptible(playing))
        except asyncio.CancelledError:
            sys.exit(f"seed {seed} was cut short")
        _print(result)
        if result.violations:
            failed.append(seed)
        seed += 1
    print(f"{seed - options.seed} soaks, {len(failed)} with broken promises: {failed}")
    sys.exit(1 if failed else 0)


async def _interruptible(playing: Coroutine[None, None, SoakResult]) -> SoakResult:
    """Run a soak; SIGTERM cancels it so that it stops the processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await playing


def _print(result: SoakResult) -> None:
    print(
        f"seed {result.seed}: {result.calls} calls, {len(result.faults)} faults, "
        f"{len(result.violations)} broken, lag {result.longest_lag} s, "
        f"longest wait for a core {result.longest_core_wait} s, "
        f"largest node {result.largest_bytes >> 20} MB, "
        f"{result.floods} floods, longest without a connection {result.longest_unaccepted} s, "
        f"dropped for silence {result.silences}, "
        f"{result.crashed} workers crashed by requests, "
        f"{result.wrongly_quarantined} others quarantined for a moment, "
        f"{result.continued} of {result.taken_up} streams taken up went on, "
        f"{result.outcomes}",
        flush=True,
    )
    for item in result.violations[:12]:
        print(f"  {item.at:7.2f} s {item.promise}: {item.detail}", flush=True)


if __name__ == "__main__":
    main()
