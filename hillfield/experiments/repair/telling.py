"""What the nodes' log lines told of a scene."""

import json
from collections import Counter
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

from hillfield.experiments.repair.ground import Ground


class Telling:
    """Count the events that all nodes log from now on."""

    def __init__(self, ground: Ground) -> None:
        """Note where each log ends now."""
        logs = (ground.processes.find_log(host.name) for host in ground.hosts)
        self._ends = {log: log.stat().st_size for log in logs}

    def show(self) -> str:
        """Return each event with its count, the most frequent first."""
        counts: Counter[str] = Counter()
        for log, end in self._ends.items():
            counts.update(_read_events(log, end))
        return ', '.join(
            f'{name} {times}' for name, times in counts.most_common()
        )


def _read_events(log: Path, start: int) -> Iterator[str]:
    with log.open('rb') as lines:
        lines.seek(start)
        for line in lines:
            # A node also prints its address, and a killed one half a line.
            with suppress(ValueError, KeyError, TypeError):
                yield json.loads(line)['event']
