"""The one registry of experiments."""

import time
from collections.abc import Callable
from datetime import UTC, datetime

from expression import Error, Ok, Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.experiments.reports import Report


class Options(Struct, frozen=True):
    """Say how to run an experiment; `quick` trades precision for time."""

    seed: int = 1
    quick: bool = False


Measure = Callable[[Options], Report]


class Experiment(Struct, frozen=True):
    """Name an experiment and say in a line what it tells."""

    name: str
    description: str
    measure: Measure


class Registry:
    """Hold experiments by name."""

    def __init__(self) -> None:
        """Start empty."""
        self._known: dict[str, Experiment] = {}

    def register(
        self,
        name: str,
        description: str,
        measure: Measure,
    ) -> None:
        """Add an experiment; a later one of the same name replaces it."""
        self._known[name] = Experiment(name, description, measure)

    def list_all(self) -> tuple[Experiment, ...]:
        """Return all, ordered by name."""
        return tuple(self._known[name] for name in sorted(self._known))

    def find(self, name: str) -> Result[Experiment, str]:
        """Return the experiment, or a text that names the known ones."""
        experiment = self._known.get(name)
        if experiment:
            return Ok(experiment)
        known = ', '.join(sorted(self._known))
        return Error(f'{name!r} is no experiment; known: {known}')


def conduct(experiment: Experiment, options: Options) -> Report:
    """Run an experiment and note when it ran and how long it took."""
    moment = datetime.now(UTC).isoformat(timespec='seconds')
    start = time.monotonic()
    report = experiment.measure(options)
    return replace(
        report,
        experiment=experiment.name,
        started=moment,
        seconds=round(time.monotonic() - start, 1),
    )
