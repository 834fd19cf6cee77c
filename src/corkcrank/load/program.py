"""``corkcrank-load``: runs deployments on one machine and puts load on them."""

import asyncio
from pathlib import Path

import typer

from corkcrank.contracts.configuration import ServiceKind
from corkcrank.contracts.settings import PolicySettings
from corkcrank.load.caller import Caller
from corkcrank.load.deployment import load_deployment
from corkcrank.load.local_cluster import LocalCluster
from corkcrank.load.overload import (
    BASELINE,
    Scenario,
    format_overload,
    run_variant,
    with_workers,
)
from corkcrank.load.report import LoadReport, format_report, make_report
from corkcrank.load.runner import play_trace
from corkcrank.load.trace import TraceShape, make_trace

application = typer.Typer(no_args_is_help=True, help=__doc__)


@application.callback()
def callback() -> None:
    """Run deployments on one machine and put load on them."""


@application.command()
def demo(
    deployments: list[Path] = typer.Argument(..., help="Deployment files, one after another."),
    seconds: float = typer.Option(10.0, help="Length of the load on each."),
    rate: float = typer.Option(20.0, help="Requests a second."),
    seed: int = typer.Option(1, help="Seed of the trace."),
) -> None:
    """Run a seeded load on each deployment and print the report.

    Example: corkcrank-load demo examples/association.toml --seconds 5
    """
    wrong = 0
    for path in deployments:
        report = asyncio.run(run_demo(path, TraceShape(rate, seconds), seed))
        wrong += report.wrong
    raise typer.Exit(1 if wrong else 0)


@application.command()
def overload(
    deployment_file: Path = typer.Argument(..., help="A deployment file."),
    engines: int = typer.Option(2, help="Engines, so that one machine can overload them."),
    rate: float = typer.Option(15.0, help="Requests a second outside the burst."),
    factor: float = typer.Option(4.0, help="The burst's multiple of the rate."),
    seconds: float = typer.Option(14.0, help="Length of the trace; the burst is its middle."),
    seed: int = typer.Option(1, help="Seed of the trace."),
) -> None:
    """Compare policies with a baseline under a burst and under a slow stage.

    Example: corkcrank-load overload examples/association.toml
    """
    deployment = with_workers(load_deployment(deployment_file), engines)
    shape = TraceShape(rate, seconds, factor, seconds * 0.2, seconds * 0.7, 0.0, 0.0)
    trace = make_trace(deployment, shape, seed)
    slow = next(item for item in deployment.services if item.kind == ServiceKind.ENCODER)
    scenarios = (
        Scenario("burst"),
        Scenario("one encoder ten times slower", (slow.worker_ids()[0],), 10.0),
    )
    for scenario in scenarios:
        results = [
            asyncio.run(run_variant(deployment, trace, scenario, name, policies))
            for name, policies in (("baseline", BASELINE), ("default", PolicySettings()))
        ]
        print(format_overload(scenario.name, results), flush=True)


@application.command()
def chaos(
    deployment_file: Path = typer.Argument(..., help="A deployment file."),
    seconds: float = typer.Option(60.0, help="Length of the load and of the failures."),
    rate: float = typer.Option(15.0, help="Requests a second."),
    seed: int = typer.Option(1, help="Seed of trace and failures; replays a run."),
) -> None:
    """Inject random failures into a deployment and check all invariants afterwards.

    Example: corkcrank-load chaos examples/association.toml --seconds 120 --seed 7
    """
    from corkcrank.load.chaos import ChaosRun

    deployment = load_deployment(deployment_file)
    shape = TraceShape(rate, seconds, unrepeatable_share=0.3)
    result = asyncio.run(ChaosRun(deployment, seed, shape).run())
    for failure in result.failures:
        print(f"  {failure}")
    print(format_report(make_report(result.records)))
    print(f"versions at the end: {sorted(set(result.versions))}")
    print(f"seed {result.seed}: {len(result.violations)} violations")
    for violation in result.violations:
        print(f"  {violation.promise}: {violation.detail}")
    raise typer.Exit(1 if result.violations else 0)


async def run_demo(path: Path, shape: TraceShape, seed: int) -> LoadReport:
    """Start a deployment, run a trace, stop it, and print the report."""
    deployment = load_deployment(path)
    trace = make_trace(deployment, shape, seed)
    async with LocalCluster(deployment) as cluster:
        print(
            f"{deployment.name}: {len(cluster.processes)} processes serve "
            f"{len(trace)} requests over {shape.seconds:.0f} s (seed {seed})"
        )
        caller = Caller(cluster.session, deployment.configuration())
        addresses = [gateway.caller_address for gateway in cluster.gateways()]
        records = await play_trace(trace, caller, lambda: addresses)
    report = make_report(records)
    print(format_report(report) + "\n")
    return report


def main() -> None:
    """Run the program."""
    application()
