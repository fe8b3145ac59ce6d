"""Remember which entries were refused, within bounds."""

from typing import Final

from msgspec import Struct

from hillfield.configuration.entries import Entry

# A refused entry may have been damaged on its way, so it is asked for again.
MAXIMUM_TRIES: Final = 3
MAXIMUM_KEYS: Final = 4096


class _Refusal(Struct, frozen=True):
    revision: int
    times: int


class RefusedEntries:
    """Count the refusals of the latest refused revision of each key."""

    def __init__(self) -> None:
        """Start without refusals."""
        self._refused: dict[str, _Refusal] = {}

    def note(self, entry: Entry) -> None:
        """Note that an entry was refused."""
        earlier = self._refused.get(entry.key)
        times = 1
        if earlier is not None and earlier.revision == entry.revision:
            times = earlier.times + 1
        if earlier is not None or len(self._refused) < MAXIMUM_KEYS:
            self._refused[entry.key] = _Refusal(entry.revision, times)

    def forget(self, key: str) -> None:
        """Forget a key: a valid entry of it has come."""
        self._refused.pop(key, None)

    def is_given_up(self, key: str, revision: int) -> bool:
        """Say whether this revision has been refused a few times."""
        refusal = self._refused.get(key)
        if refusal is None or refusal.revision != revision:
            return False
        return refusal.times >= MAXIMUM_TRIES
