"""The targets that announce themselves to one node."""

from expression import Error, Ok, Result

from hillfield.announcements.ended_incarnations import EndedIncarnations
from hillfield.announcements.incarnations import (
    Life,
    Endpoint,
    start_incarnation,
    update_incarnation,
    make_target,
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
    """Keep the host's targets; `now` is monotonic seconds."""

    def __init__(self, settings: NodeSettings, journal: Journal) -> None:
        """Start without targets."""
        self.version = 0
        self._settings = settings
        self._journal = journal
        self._lives: dict[Endpoint, Life] = {}
        self._graves = EndedIncarnations(settings.announcements)
        self._targets: tuple[Target, ...] = ()

    def announce(
        self,
        now: float,
        wall: int,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        """Take an announcement or heartbeat and return what is told of it.

        `wall` is the wall clock in milliseconds: it becomes the incarnation
        of a target that gives none.
        """
        settings = self._settings.announcements
        place = Endpoint(announcement.service, announcement.address)
        life = self._lives.get(place)
        if life is not None and not life.is_continued_by(
            now, announcement, settings
        ):
            life = None
        if life is not None:
            return self._continue(now, life, announcement)
        problem = self._graves.find_problem(now, place, announcement)
        if problem is None and place not in self._lives:
            problem = find_capacity_problem(len(self._lives), settings)
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
        """Forget a target at once; a late heartbeat won't bring it back.

        With `incarnation`, a later life at the same place stays listed.
        """
        place = Endpoint(service, address)
        life = self._lives.get(place)
        if life is None:
            return Error(make_unknown_problem(service, address))
        known = life.reported.id.incarnation
        if incarnation not in {None, known}:
            return Error(make_stale_problem(incarnation, known))
        self._lives.pop(place)
        self._graves.mark_ended(now, life)
        self._note(EventCode.TARGET_WITHDRAWN, life.shown)
        self._publish()
        return Ok(life.shown)

    def targets(self, now: float) -> tuple[Target, ...]:
        """Return what to tell other nodes; forgets silent targets first.

        The tuple is the same object until `version` grows.
        """
        self._expire(now)
        return self._targets

    def excuse(self, now: float, seconds: float) -> None:
        """Hold no silence of the last seconds against targets.

        This node read nothing in them: what targets said lay unread.
        """
        self._lives = {
            place: life.discount_pause(now, seconds)
            for place, life in self._lives.items()
        }

    def lives(self, now: float) -> tuple[Life, ...]:
        """Return all that is known, for operators, ordered by place."""
        self._expire(now)
        return tuple(life for _, life in sorted(self._lives.items()))

    def _continue(
        self,
        now: float,
        life: Life,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        known = life.reported.id.incarnation
        if announcement.incarnation not in {None, known}:
            return Error(make_stale_problem(announcement.incarnation, known))
        settings = self._settings
        reported = make_target(announcement, settings.locality, known)
        newer = update_incarnation(now, life, reported, settings.announcements)
        self._lives[Endpoint(announcement.service, announcement.address)] = (
            newer
        )
        if newer.shown is not life.shown:
            self._note(EventCode.TARGET_CHANGED, newer.shown)
            self._publish()
        return Ok(newer.shown)

    def _begin(
        self,
        now: float,
        wall: int,
        announcement: Announcement,
    ) -> Target:
        place = Endpoint(announcement.service, announcement.address)
        former = self._lives.get(place)
        if former is not None:
            self._graves.mark_ended(now, former)
            wall = max(wall, former.reported.id.incarnation + 1)
        given = announcement.incarnation
        reported = make_target(
            announcement,
            self._settings.locality,
            wall if given is None else given,
        )
        life = start_incarnation(now, reported, given=given is not None)
        self._lives[place] = life
        self._note(EventCode.TARGET_ANNOUNCED, life.shown)
        self._publish()
        return life.shown

    def _expire(self, now: float) -> None:
        settings = self._settings.announcements
        over = [
            place
            for place, life in self._lives.items()
            if life.is_expired(now, settings)
        ]
        for place in over:
            life = self._lives.pop(place)
            if life.drain_started is not None:
                self._graves.mark_ended(now, life)
            self._note(EventCode.TARGET_EXPIRED, life.shown)
        if over:
            self._publish()

    def _publish(self) -> None:
        self.version += 1
        ordered = sorted(self._lives.items())
        self._targets = tuple(life.shown for _, life in ordered)

    def _note(self, code: EventCode, target: Target) -> None:
        self._journal.record(
            Occurrence(
                code,
                service=target.id.service,
                target=str(target.id),
                detail=f'state {target.state}, slots {target.slots}',
            ),
        )
