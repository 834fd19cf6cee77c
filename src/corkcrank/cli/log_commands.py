"""Commands that analyse the log files of nodes: calls, losses, planned stops and resumptions."""

from pathlib import Path

import typer

from corkcrank.cli.exit_codes import ExitCode
from corkcrank.cli.explain import explain_call
from corkcrank.reports.call_story import summarize_calls
from corkcrank.reports.log_records import read_all
from corkcrank.reports.losses import LossReport, make_report
from corkcrank.reports.losses_table import table_lines
from corkcrank.reports.resumptions import report_resumptions, resumption_lines
from corkcrank.reports.stops import report_stops, stop_lines


def explain(call: str, files: list[Path]) -> None:
    """Print the log lines about one call or quarantined request from all machines, by time.

    Example: corkcrank explain 9c41d07be2a35f68 logs/*.log
    """
    lines = explain_call(call, files)
    if not lines:
        typer.echo(f"no line about {call}", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    for line in lines:
        typer.echo(line)


def losses(
    files: list[Path],
    plot: Path | None = typer.Option(None, help="Also write a plot, e.g. losses.png."),
    least_calls: int = typer.Option(1, help="Omit routes with fewer calls."),
) -> None:
    """Report from all nodes' log files where calls were lost or late, and why.

    Example: corkcrank losses logs/*.log --plot losses.png
    """
    records = read_all(files)
    stories = summarize_calls(records)
    if not stories:
        typer.echo("no call ended in these files", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    report = make_report(stories, records)
    for line in table_lines(report, least_calls):
        typer.echo(line)
    if plot is not None:
        _plot(report, plot)


def stops(files: list[Path]) -> None:
    """Report from all nodes' log files which calls planned stops affected, and how they ended.

    Example: corkcrank stops logs/*.log
    """
    if not (report := report_stops(read_all(files))).stops:
        typer.echo("no planned stop in these files", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    for line in stop_lines(report):
        typer.echo(line)


def resumptions(files: list[Path]) -> None:
    """Report from all nodes' log files which streams that callers resumed went on, or why not.

    Example: corkcrank resumptions logs/*.log
    """
    if not (routes := report_resumptions(read_all(files))):
        typer.echo("no stream was resumed in these files", err=True)
        raise typer.Exit(ExitCode.NOT_FOUND)
    for line in resumption_lines(routes):
        typer.echo(line)


def _plot(report: LossReport, path: Path) -> None:
    try:
        from corkcrank.reports.losses_plot import plot_losses
    except ImportError:
        typer.echo("--plot needs matplotlib: install corkcrank[reports]", err=True)
        raise typer.Exit(ExitCode.UNAVAILABLE) from None
    plot_losses(report, path)
