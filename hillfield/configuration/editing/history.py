"""List the latest changes of the configuration."""

from operator import attrgetter

from hillfield.configuration.editing.snapshots import DecodedSnapshot
from hillfield.configuration.storage.stored import Stamp


def list_changes(history: DecodedSnapshot) -> tuple[Stamp, ...]:
    """Return the changes that the history keeps, newest first."""
    stamps = [stamp for held in history.read.values() for stamp in held.stamps]
    return tuple(sorted(stamps, key=attrgetter('revision'), reverse=True))
