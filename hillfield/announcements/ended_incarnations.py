"""Incarnations of targets that have ended and must not be listed again."""

from typing import Final

from hillfield.announcements.incarnations import AnnouncedIncarnation, Endpoint
from hillfield.announcements.messages import (
    Announcement,
    AnnouncementProblem,
    Refusal,
)
from hillfield.settings import AnnouncementSettings

# Enough for months at a few restarts per day and host.
RECORDS_KEPT: Final = 1024


class EndedIncarnations:
    """Hold ended incarnations, and when the last one of each endpoint ended.

    Older incarnations of an endpoint are kept too: a suspended process may
    resume after its successor has started and ended.
    """

    def __init__(self, settings: AnnouncementSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._incarnations: dict[tuple[Endpoint, int], None] = {}
        self._last_ended: dict[Endpoint, float] = {}

    def mark_ended(self, now: float, ended: AnnouncedIncarnation) -> None:
        """Record that an incarnation has ended."""
        identity = ended.reported.id
        endpoint = Endpoint(identity.service, identity.address)
        self._incarnations[(endpoint, identity.incarnation)] = None
        self._last_ended.pop(endpoint, None)
        self._last_ended[endpoint] = now
        while len(self._incarnations) > RECORDS_KEPT:
            self._incarnations.pop(next(iter(self._incarnations)))
        while len(self._last_ended) > RECORDS_KEPT:
            self._last_ended.pop(next(iter(self._last_ended)))

    def find_problem(
        self,
        now: float,
        endpoint: Endpoint,
        announcement: Announcement,
    ) -> AnnouncementProblem | None:
        """Refuse an announcement of an incarnation that has ended.

        Without an incarnation, a late heartbeat looks like that of a restarted
        target: the endpoint is then refused for one heartbeat interval.
        """
        if announcement.incarnation is None:
            since = now - self._last_ended.get(endpoint, float('-inf'))
            is_ended = since < self._settings.heartbeat
        else:
            is_ended = (
                endpoint,
                announcement.incarnation,
            ) in self._incarnations
        if not is_ended:
            return None
        return AnnouncementProblem(
            Refusal.STALE,
            'incarnation',
            str(announcement.incarnation),
            'this incarnation has ended; announce a restart with a higher one',
        )
