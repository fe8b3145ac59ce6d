"""Record what the log tells of the store."""

from hillfield.events import EventCode, Journal, Occurrence
from hillfield.store.ports import StoreError


class SilentJournal:
    """Record nothing, for tools that have no log."""

    def record(self, occurrence: Occurrence) -> None:
        """Drop the event."""


class Reports:
    """Record the store's going and coming once each, and what is odd."""

    def __init__(self, journal: Journal) -> None:
        """Take the store as reachable."""
        self._journal = journal
        self._is_down = False

    def note_reached(self, peer: str) -> None:
        """Note that the store has answered."""
        if self._is_down:
            self._is_down = False
            self._journal.record(Occurrence(EventCode.STORE_BACK, peer=peer))

    def note_lost(self, error: StoreError) -> None:
        """Note that the store could not be reached or was not able."""
        if not self._is_down:
            self._is_down = True
            self._record(EventCode.STORE_DOWN, error)

    def note_wrong(self, error: StoreError) -> None:
        """Note a refusal or an answer that can't be read."""
        self._record(EventCode.STORE_ANSWER_WRONG, error)

    def note_doubt(self, error: StoreError) -> None:
        """Note a write that may have taken effect."""
        self._record(EventCode.STORE_WRITE_IN_DOUBT, error)

    def _record(self, code: EventCode, error: StoreError) -> None:
        self._journal.record(
            Occurrence(
                code,
                peer=error.peer,
                step=error.step,
                detail=error.detail,
            ),
        )
