"""How an edit of the configuration ends."""

from msgspec import Struct

from hillfield.configuration.editing.goals import Part, PartKind
from hillfield.configuration.schema.problems import ConfigurationProblem
from hillfield.store.ports import StoreError


class Applied(Struct, frozen=True):
    """Say that all that was wanted stands in the store.

    `revision` is that of the last write; `changed` names what was written,
    and is empty when everything stood there before.
    """

    revision: int
    changed: tuple[str, ...]


class Race(Struct, frozen=True):
    """Name whose change an edit would have overwritten.

    `at` is wall-clock seconds; all but `theirs` and `mine` is unknown
    (empty, 0) when the value keeps no trace of the change any more.
    """

    kind: PartKind
    name: str
    author: str
    change: str
    revision: int
    at: float
    theirs: Part | None
    mine: Part | None

    def __str__(self) -> str:
        """Return one line for people."""
        who = self.author or 'someone'
        return (
            f'{self.kind} {self.name}: {who} changed it'
            f' at revision {self.revision}'
        )


class Refused(Struct, frozen=True):
    """Say that what was wanted is wrong."""

    problems: tuple[ConfigurationProblem, ...]


class Raced(Struct, frozen=True):
    """Say that others changed the same parts; theirs stand."""

    races: tuple[Race, ...]


class Contended(Struct, frozen=True):
    """Say that others wrote the same keys at each of some tries."""

    tries: int


class Unreachable(Struct, frozen=True):
    """Say that the store failed before anything was written."""

    error: StoreError


class Unsettled(Struct, frozen=True):
    """Say that an answer was lost and whether it was written is unknown."""

    change: str
    error: StoreError


Reason = Refused | Raced | Contended | Unreachable | Unsettled


class EditFailure(Struct, frozen=True):
    """Say why an edit failed.

    A large edit goes in several transactions: `accepted` is what an earlier
    one has written, None when none was.
    """

    reason: Reason
    accepted: Applied | None = None
