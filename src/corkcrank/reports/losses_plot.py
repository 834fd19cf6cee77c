"""Plots failed and late calls over time; needs matplotlib, which daemons do not need."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from corkcrank.reports.call_story import Loss
from corkcrank.reports.losses import WINDOW_SECONDS, LossReport

SIZE_INCHES = (11.0, 5.0)
"""Width and height of the plot: a page's width at the usual resolution."""


def plot_losses(report: LossReport, path: Path) -> None:
    """Write a bar chart to a file, with one bar of stacked causes for each window."""
    figure = Figure(figsize=SIZE_INCHES)
    FigureCanvasAgg(figure)
    axes = figure.subplots()
    starts = [window.begins for window in report.windows]
    bottoms = [0.0] * len(starts)
    for loss in Loss:
        counts = [float(window.causes[loss]) for window in report.windows]
        if not any(counts):
            continue
        color = "lightgray" if loss is Loss.NONE else None
        axes.bar(starts, counts, WINDOW_SECONDS, bottoms, label=loss.value, color=color)
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts, strict=True)]
    axes.set_xlabel("seconds since the first call")
    axes.set_ylabel(f"calls begun in {WINDOW_SECONDS:.0f} s")
    axes.legend(fontsize="small", loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    figure.savefig(path)
