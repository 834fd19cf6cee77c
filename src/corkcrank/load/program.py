"""``corkcrank-load``: runs deployments on one machine and puts load on them."""

import asyncio
from pathlib import Path

import typer

from corkcrank.load.caller import Caller
from corkcrank.load.deployment import load_deployment
from corkcrank.load.local_cluster import LocalCluster
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
    """Serve a seeded load on each deployment and print what was served.

    Example: corkcrank-load demo examples/association.toml --seconds 5
    """
    wrong = 0
    for path in deployments:
        report = asyncio.run(run_demo(path, TraceShape(rate, seconds), seed))
        wrong += report.wrong
    raise typer.Exit(1 if wrong else 0)


async def run_demo(path: Path, shape: TraceShape, seed: int) -> LoadReport:
    """Start a deployment, play a trace, stop it, and print the report."""
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
