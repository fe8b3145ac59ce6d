"""One life of a target as its node knows it."""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.announcements.messages import Announcement
from hillfield.model import Address, Locality, Target, TargetId, TargetState
from hillfield.settings import AnnouncementSettings

CONNECTIONS_PER_SLOT: Final = 4


class Endpoint(Struct, frozen=True, order=True):
    """Say which service a target serves, and where."""

    service: str
    address: Address


class Life(Struct, frozen=True):
    """Hold a target's newest announcement and what is told of it.

    `reported` is what the target says, `shown` what other nodes are told (never
    the load);
    `heard`, `last_change` and `drain_started` are monotonic seconds: the newest
    heartbeat, the newest change of `shown`, the start of the drain.
    `chose_incarnation` says that the target chose its incarnation itself.
    """

    reported: Target
    shown: Target
    heard: float
    last_change: float
    chose_incarnation: bool
    drain_started: float | None = None

    def is_silent(self, now: float, settings: AnnouncementSettings) -> bool:
        """Return whether heartbeats have been missing for the expiry."""
        return now - self.heard > settings.expiry

    def is_expired(self, now: float, settings: AnnouncementSettings) -> bool:
        """Return whether the life is to be forgotten."""
        if not self.is_silent(now, settings):
            return False
        if self.drain_started is None:
            return True
        return now - self.drain_started > settings.drain_seconds

    def discount_pause(self, now: float, seconds: float) -> 'Life':
        """Return the life as if it had been heard so many seconds later."""
        return replace(self, heard=min(now, self.heard + seconds))

    def is_continued_by(
        self,
        now: float,
        announcement: Announcement,
        settings: AnnouncementSettings,
    ) -> bool:
        """Return whether the announcement is not the start of a new life.

        That of an earlier life counts as this one's while heartbeats come,
        so that it is refused rather than listed.
        """
        known = self.reported.id.incarnation
        if announcement.incarnation == known:
            return True
        if announcement.incarnation is None:
            return not self.is_silent(now, settings)
        if announcement.incarnation > known:
            return False
        return not self.is_silent(now, settings)


def make_target(
    announcement: Announcement,
    locality: Locality,
    incarnation: int,
) -> Target:
    """Make the target; the node's locality fills in what it left out."""
    limit = announcement.connection_limit
    return Target(
        TargetId(announcement.service, announcement.address, incarnation),
        Locality(
            announcement.region or locality.region,
            announcement.failure_domain or locality.failure_domain,
            announcement.host or locality.host,
        ),
        announcement.slots,
        limit or announcement.slots * CONNECTIONS_PER_SLOT,
        announcement.weight,
        announcement.state,
        announcement.load,
    )


def start_incarnation(now: float, reported: Target, *, given: bool) -> Life:
    """Start a life with its first announcement."""
    shown = replace(reported, load=None)
    is_draining = reported.state is TargetState.DRAINING
    started = now if is_draining else None
    return Life(reported, shown, now, now, given, started)


def update_incarnation(
    now: float,
    life: Life,
    reported: Target,
    settings: AnnouncementSettings,
) -> Life:
    """Take the next announcement; a drain is never taken back."""
    if life.drain_started is not None:
        reported = replace(reported, state=TargetState.DRAINING)
    heard = replace(life, reported=reported, heard=now)
    plain = replace(reported, load=None)
    if plain == life.shown or not _may_show(now, life, plain, settings):
        return heard
    started = life.drain_started
    if started is None and reported.state is TargetState.DRAINING:
        started = now
    return replace(heard, shown=plain, last_change=now, drain_started=started)


def _may_show(
    now: float,
    life: Life,
    reported: Target,
    settings: AnnouncementSettings,
) -> bool:
    if _is_urgent(life.shown.state, reported.state):
        return True
    return now - life.last_change >= settings.change_interval


def _is_urgent(old: TargetState, new: TargetState) -> bool:
    if new is old:
        return False
    if new is TargetState.READY:
        return old is TargetState.COLD
    return new in {TargetState.DRAINING, TargetState.SHEDDING}
