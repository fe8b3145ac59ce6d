"""Charts of an experiment as files to look at."""

from pathlib import Path
from typing import Any, Final

from msgspec.structs import replace

from hillfield.experiments.reports import Chart, Report

FORMAT: Final = 'png'


def draw_report(report: Report, folder: Path) -> Report:
    """Draw each chart into a file and name the files in the report.

    The drawing library is needed only here and may be absent where the
    fleet runs; the report then says so.
    """
    if not report.charts:
        return report
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415, WPS433
    except ImportError:
        note = 'not drawn: matplotlib is not installed'
        return replace(report, notes=(*report.notes, note))
    folder.mkdir(parents=True, exist_ok=True)
    drawn = tuple(
        _draw(Figure(), chart, folder / _name_plot(report, number))
        for number, chart in enumerate(report.charts, 1)
    )
    return replace(report, plots=drawn)


def _name_plot(report: Report, number: int) -> str:
    moment = report.started.replace(':', '').partition('+')[0]
    return f'{report.experiment}-{moment}-{number}.{FORMAT}'


def _draw(figure: Any, chart: Chart, path: Path) -> str:
    axes = figure.add_subplot(
        title=chart.title,
        xlabel=chart.across,
        ylabel=chart.up,
        yscale='log' if chart.logarithmic else 'linear',
    )
    for series in chart.series:
        across, up = zip(*series.points, strict=True)
        axes.plot(across, up, label=series.name, marker='.')
    axes.legend()
    axes.grid(visible=True)
    figure.savefig(path, format=FORMAT)
    return str(path)
