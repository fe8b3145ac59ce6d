"""Lives that have ended and must not come back."""

from typing import Final

from hillfield.announcements.incarnations import Life, Endpoint
from hillfield.announcements.messages import (
    Announcement,
    AnnouncementProblem,
    Refusal,
)
from hillfield.settings import AnnouncementSettings

# At some restarts a day and host this lasts for months.
RECORDS_KEPT: Final = 1024


class EndedIncarnations:
    """Remember the newest ended lives, and when each place's last ended.

    All ended lives of a place count, not just its newest: a former process
    may wake after its successor has come and gone.
    """

    def __init__(self, settings: AnnouncementSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._lives: dict[tuple[Endpoint, int], None] = {}
        self._ended: dict[Endpoint, float] = {}

    def mark_ended(self, now: float, life: Life) -> None:
        """Remember that this life has ended."""
        identity = life.reported.id
        place = Endpoint(identity.service, identity.address)
        self._lives[(place, identity.incarnation)] = None
        self._ended.pop(place, None)
        self._ended[place] = now
        while len(self._lives) > RECORDS_KEPT:
            self._lives.pop(next(iter(self._lives)))
        while len(self._ended) > RECORDS_KEPT:
            self._ended.pop(next(iter(self._ended)))

    def find_problem(
        self,
        now: float,
        place: Endpoint,
        announcement: Announcement,
    ) -> AnnouncementProblem | None:
        """Tell why this announcement is of a life that has ended.

        Without an incarnation a late heartbeat can't be told from a restart:
        then the place rests for one heartbeat.
        """
        if announcement.incarnation is None:
            ended = now - self._ended.get(place, float('-inf'))
            is_over = ended < self._settings.heartbeat
        else:
            is_over = (place, announcement.incarnation) in self._lives
        if not is_over:
            return None
        return AnnouncementProblem(
            Refusal.STALE,
            'incarnation',
            str(announcement.incarnation),
            'this life has ended; announce a restart with a higher one',
        )
