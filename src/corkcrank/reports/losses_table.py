"""Formats the report of failed and late calls as text."""

from collections.abc import Iterator, Sequence
from statistics import median

from corkcrank.reports.call_story import Loss, Step
from corkcrank.reports.held import HELD_BOUNDS, HeldReport, UnservedCalls
from corkcrank.reports.losses import LossReport, RouteLosses, WindowLosses
from corkcrank.reports.sent_back import LOAD_BOUNDS, RefusedGroup, RetryOutcome, RetryReport
from corkcrank.reports.stage_work import WorkerTime
from corkcrank.reports.work_for_nobody import WastedWork


def table_lines(report: LossReport, least_calls: int = 1) -> Iterator[str]:
    """Return the report line by line; routes with fewer calls than ``least_calls`` are left out."""
    routes = [route for route in report.routes if route.calls >= least_calls]
    yield "Routes: calls by cause; median seconds of each step of the served ones"
    for route in routes:
        yield from _route_lines(route)
    yield ""
    yield from _held_lines(report.held, routes)
    yield ""
    yield from _sent_back_lines(report.sent_back)
    yield ""
    yield "Windows: calls begun, in time, and what was lost"
    yield from (_window_line(window) for window in report.windows)
    yield ""
    yield "Stage workers: batches, fill, and what their time went to"
    yield from (_worker_line(worker) for worker in report.workers)
    yield ""
    yield "Work done for nobody: calls whose callers left, by step, and workers' seconds on them"
    yield from (_nobody_line(work) for work in report.wasted_work)


def _route_lines(route: RouteLosses) -> Iterator[str]:
    served = route.causes[Loss.NONE]
    yield (
        f"{route.route} rank {route.rank}, objective {route.objective:.2f} s: "
        f"{served} of {route.calls} in time"
    )
    steps = [
        f"{step.value} {median(route.waits[step]):.3f}" for step in Step if route.waits.get(step)
    ]
    yield "    steps: " + ", ".join(steps)
    if route.returned:
        yield f"    callers that came back: {route.returned_in_time} of {route.returned} in time"
    for loss, count in route.causes.most_common():
        if loss is not Loss.NONE:
            yield f"    {count:5d}  {loss.value}"


def _window_line(window: WindowLosses) -> str:
    lost = ", ".join(
        f"{count} {loss.value}"
        for loss, count in window.causes.most_common()
        if loss is not Loss.NONE
    )
    served = window.causes[Loss.NONE]
    return f"{window.begins:6.0f} s  {window.causes.total():4d} {served:4d}  {lost}"


def _nobody_line(work: WastedWork) -> str:
    return (
        f"{work.calls:5d}  {work.step}: stage workers {work.stage_seconds:.2f} s "
        f"(after the close {work.after_close:.2f} s), "
        f"engines and plain workers {work.worker_seconds:.2f} s"
    )


def _worker_line(worker: WorkerTime) -> str:
    span = max(1e-9, worker.last_at - worker.first_at)
    return (
        f"{worker.service} {worker.worker}  {worker.batches:4d} of {worker.mean_fill:.1f}"
        f"/{worker.batch}  busy {worker.busy_share:.2f} (fixed {worker.fixed / span:.2f}), "
        f"idle while pieces waited {worker.starved / span:.2f}, "
        f"{worker.no_room} without room, {worker.failed} failed"
    )


def _held_lines(held: HeldReport, routes: Sequence[RouteLosses]) -> Iterator[str]:
    yield "Held and not served: calls by seconds held, time held as a share of the objective"
    bounds = [f"<{bound:g}" for bound in HELD_BOUNDS] + ["longer"]
    yield f"{'':35s} calls  " + "".join(f"{bound:>7s}" for bound in bounds) + "  median    95%"
    yield "all routes"
    yield from (_held_line(group) for group in held.totals)
    for route in routes:
        groups = [
            item for item in held.routes if (item.route, item.rank) == (route.route, route.rank)
        ]
        if groups:
            yield f"{route.route} rank {route.rank}"
        yield from (_held_line(group) for group in groups)


def _held_line(group: UnservedCalls) -> str:
    buckets = "".join(f"{count:7d}" for count in group.buckets)
    return (
        f"    {group.cause.value:31s} {group.calls:5d}  {buckets}"
        f"  {group.median_share:6.3f} {group.high_share:6.3f}"
    )


def _sent_back_lines(report: RetryReport) -> Iterator[str]:
    yield "Callers sent back: by cause and share of calls refused in the second of the refusal"
    fates = "".join(f"  {fate.value}" for fate in RetryOutcome)
    yield f"{'':35s} load    refused  as told{fates}   share  sooner (in time)"
    yield from (_sent_back_line(group) for group in report.groups)
    yield (
        f"    {report.unmatched} of {report.returning} calls of returning callers fit no refusal; "
        f"{report.without_retry_delay} refusals without a known time are left out"
    )


def _sent_back_line(group: RefusedGroup) -> str:
    returned = group.returns.total()
    fates = "".join(f"  {group.returns[fate]:{len(fate.value)}d}" for fate in RetryOutcome)
    share = f"{group.returns[RetryOutcome.IN_TIME] / returned:.2f}" if returned else "-"
    return (
        f"    {group.cause.value:31s} {_band_name(group.band):7s} {group.refused:7d}  {returned:7d}"
        f"{fates}  {share:>6s}  {group.early.total():6d} ({group.early[RetryOutcome.IN_TIME]})"
    )


def _band_name(band: int) -> str:
    """Return the label of a load band from its bound, e.g. ``<0.33``."""
    if band == len(LOAD_BOUNDS):
        return f">={LOAD_BOUNDS[-1]:.2f}"
    return f"<{LOAD_BOUNDS[band]:.2f}"
