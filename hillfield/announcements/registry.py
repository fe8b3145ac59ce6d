"""The targets that are announced to one node."""

from expression import Error, Ok, Result

from hillfield.announcements.ended_incarnations import EndedIncarnations
from hillfield.announcements.incarnations import (
    AnnouncedIncarnation,
    Endpoint,
    make_target,
    start_incarnation,
    update_incarnation,
)
from hillfield.announcements.messages import (
    Announcement,
    AnnouncementProblem,
)
from hillfield.announcements.problems import (
    find_capacity_problem,
    make_stale_problem,
    make_unknown_problem,
)
from hillfield.events import EventCode, Journal, Occurrence
from hillfield.model import Address, Target
from hillfield.settings import NodeSettings


class TargetRegistry:
    """Registry of the host's targets; `now` is in monotonic seconds."""

    def __init__(self, settings: NodeSettings, journal: Journal) -> None:
        """Create an empty registry."""
        self.version = 0
        self._settings = settings
        self._journal = journal
        self._incarnations: dict[Endpoint, AnnouncedIncarnation] = {}
        self._ended = EndedIncarnations(settings.announcements)
        self._targets: tuple[Target, ...] = ()

    def announce(
        self,
        now: float,
        wall: int,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        """Apply an announcement or heartbeat and return the published target.

        `wall` is the wall clock in milliseconds, which becomes the incarnation
        of a target that names none.
        """
        settings = self._settings.announcements
        endpoint = Endpoint(announcement.service, announcement.address)
        current = self._incarnations.get(endpoint)
        if current is not None and not current.is_continued_by(
            now, announcement, settings
        ):
            current = None
        if current is not None:
            return self._continue(now, current, announcement)
        problem = self._ended.find_problem(now, endpoint, announcement)
        if problem is None and endpoint not in self._incarnations:
            problem = find_capacity_problem(len(self._incarnations), settings)
        if problem is not None:
            return Error(problem)
        return Ok(self._begin(now, wall, announcement))

    def withdraw(
        self,
        now: float,
        service: str,
        address: Address,
        incarnation: int | None = None,
    ) -> Result[Target, AnnouncementProblem]:
        """Remove a target at once; a late heartbeat does not list it again.

        With `incarnation`, only that one is removed, not a later one at the
        same endpoint.
        """
        endpoint = Endpoint(service, address)
        current = self._incarnations.get(endpoint)
        if current is None:
            return Error(make_unknown_problem(service, address))
        known = current.reported.id.incarnation
        if incarnation not in {None, known}:
            return Error(make_stale_problem(incarnation, known))
        self._incarnations.pop(endpoint)
        self._ended.mark_ended(now, current)
        self._record(EventCode.TARGET_WITHDRAWN, current.published)
        self._publish()
        return Ok(current.published)

    def targets(self, now: float) -> tuple[Target, ...]:
        """Remove silent targets and return those to publish to other nodes.

        The tuple is the same object until `version` increases.
        """
        self._expire(now)
        return self._targets

    def discount_pause(self, now: float, seconds: float) -> None:
        """Do not count a pause of this process as silence of the targets.

        Heartbeats that came during the pause have not been read yet.
        """
        self._incarnations = {
            endpoint: current.discount_pause(now, seconds)
            for endpoint, current in self._incarnations.items()
        }

    def incarnations(self, now: float) -> tuple[AnnouncedIncarnation, ...]:
        """Return all incarnations, for operators, ordered by endpoint."""
        self._expire(now)
        return tuple(
            current for _, current in sorted(self._incarnations.items())
        )

    def _continue(
        self,
        now: float,
        current: AnnouncedIncarnation,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        known = current.reported.id.incarnation
        if announcement.incarnation not in {None, known}:
            return Error(make_stale_problem(announcement.incarnation, known))
        settings = self._settings
        reported = make_target(announcement, settings.locality, known)
        updated = update_incarnation(
            now, current, reported, settings.announcements
        )
        self._incarnations[
            Endpoint(announcement.service, announcement.address)
        ] = updated
        if updated.published is not current.published:
            self._record(EventCode.TARGET_CHANGED, updated.published)
            self._publish()
        return Ok(updated.published)

    def _begin(
        self,
        now: float,
        wall: int,
        announcement: Announcement,
    ) -> Target:
        endpoint = Endpoint(announcement.service, announcement.address)
        former = self._incarnations.get(endpoint)
        if former is not None:
            self._ended.mark_ended(now, former)
            wall = max(wall, former.reported.id.incarnation + 1)
        chosen = announcement.incarnation
        reported = make_target(
            announcement,
            self._settings.locality,
            wall if chosen is None else chosen,
        )
        current = start_incarnation(now, reported, chosen=chosen is not None)
        self._incarnations[endpoint] = current
        self._record(EventCode.TARGET_ANNOUNCED, current.published)
        self._publish()
        return current.published

    def _expire(self, now: float) -> None:
        settings = self._settings.announcements
        expired = [
            endpoint
            for endpoint, current in self._incarnations.items()
            if current.is_expired(now, settings)
        ]
        for endpoint in expired:
            current = self._incarnations.pop(endpoint)
            if current.drain_started is not None:
                self._ended.mark_ended(now, current)
            self._record(EventCode.TARGET_EXPIRED, current.published)
        if expired:
            self._publish()

    def _publish(self) -> None:
        self.version += 1
        ordered = sorted(self._incarnations.items())
        self._targets = tuple(current.published for _, current in ordered)

    def _record(self, code: EventCode, target: Target) -> None:
        self._journal.record(
            Occurrence(
                code,
                service=target.id.service,
                target=str(target.id),
                detail=f'state {target.state}, slots {target.slots}',
            ),
        )
