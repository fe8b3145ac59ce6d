"""The operators' page lists exactly the existing metrics."""

import re
from pathlib import Path

from hillfield.metrics import NodeMetrics, NodeReading

PAGE = Path(__file__).parents[3] / 'docs' / 'operators' / 'metrics.md'


class EmptySource:
    def read_metrics(self) -> NodeReading:
        return NodeReading()


def test_page_names_each_metric():
    metrics = NodeMetrics()
    metrics.watch(EmptySource())
    typed = re.findall(
        r'# TYPE (hillfield_\S+) (\w+)', b''.join(metrics.render()).decode()
    )
    existing = {name for name, _ in typed}
    rows = [
        line
        for line in PAGE.read_text('utf-8').splitlines()
        if line.startswith('|')
    ]
    documented = set(re.findall(r'`(hillfield_\w+)`', '\n'.join(rows)))
    assert documented == existing
