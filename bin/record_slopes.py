"""Record the figures of experiments' reports, and bring the page up to date.

Usage: record_slopes.py REPORT.json ...; each report is what
`hillfield experiment NAME --json` prints. Without a report only the page's
tables are written anew.
"""

import sys
from pathlib import Path

import msgspec

from hillfield.experiments import Report
from hillfield.experiments.sizing.capacity import replace_tables
from hillfield.experiments.sizing.records import (
    Records,
    read_records,
    record_report,
    render_records,
)

ROOT = Path(__file__).parent.parent
SLOPES = ROOT / 'hillfield/experiments/sizing/slopes.toml'
PAGE = ROOT / 'docs/CAPACITY.md'


def record(paths: list[str]) -> None:
    """Take the reports in and write both files."""
    reports = [
        msgspec.json.decode(Path(path).read_bytes(), type=Report)
        for path in paths
    ]
    known = dict(read_records().runs) if SLOPES.exists() else {}
    known.update((each.experiment, record_report(each)) for each in reports)
    records = Records(known)
    SLOPES.write_text(render_records(records), 'utf-8')
    text = PAGE.read_text('utf-8')
    PAGE.write_text(replace_tables(text, records), 'utf-8')


if __name__ == '__main__':
    record(sys.argv[1:])
