"""Compare what is written in files with what stands in the store."""

from collections.abc import Iterator
from difflib import unified_diff

from msgspec import Struct

from hillfield.configuration.documents.files import Configuration
from hillfield.configuration.documents.rendering import render_part
from hillfield.configuration.editing.goals import Part, PartKind, list_goals
from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.storage.keys import Keys


class Difference(Struct, frozen=True):
    """Hold two versions of a part; None: there is none."""

    kind: PartKind
    name: str
    standing: Part | None
    wanted: Part | None

    def lines(self, standing: str, wanted: str) -> tuple[str, ...]:
        """Return a unified diff between the versions, named so."""
        lines = unified_diff(
            () if self.standing is None else render_part(self.standing),
            () if self.wanted is None else render_part(self.wanted),
            f'{standing}: {self.kind} {self.name}',
            f'{wanted}: {self.kind} {self.name}',
            lineterm='',
        )
        return tuple(lines)


def find_differences(
    keys: Keys,
    configuration: Configuration,
    standing: DecodedSnapshot,
) -> Iterator[Difference]:
    """Yield the parts that a configuration would change."""
    for goal in list_goals(keys, configuration):
        current = standing.find(goal)
        if current != goal.wanted:
            yield Difference(goal.kind, goal.name, current, goal.wanted)
