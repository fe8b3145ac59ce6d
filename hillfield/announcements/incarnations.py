"""The state of one announced incarnation of a target."""

from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from hillfield.announcements.messages import Announcement
from hillfield.model import Address, Locality, Target, TargetId, TargetState
from hillfield.settings import AnnouncementSettings

CONNECTIONS_PER_SLOT: Final = 4


class Endpoint(Struct, frozen=True, order=True):
    """Identify a target, over its restarts, by service and address."""

    service: str
    address: Address


class AnnouncedIncarnation(Struct, frozen=True):
    """Hold a target's newest announcement and what is published of it.

    `reported` is the target as announced, `published` as published to other
    nodes, without the load. `last_heartbeat`, `last_change` and `drain_started` are
    monotonic seconds: the newest heartbeat, the newest change of `published` and
    the start of the drain. `chose_incarnation` is whether the target itself
    set its incarnation.
    """

    reported: Target
    published: Target
    last_heartbeat: float
    last_change: float
    chose_incarnation: bool
    drain_started: float | None = None

    def is_silent(self, now: float, settings: AnnouncementSettings) -> bool:
        """Return whether the last heartbeat is older than the expiry."""
        return now - self.last_heartbeat > settings.expiry

    def is_expired(self, now: float, settings: AnnouncementSettings) -> bool:
        """Return whether the incarnation is to be removed."""
        if not self.is_silent(now, settings):
            return False
        if self.drain_started is None:
            return True
        return now - self.drain_started > settings.drain_seconds

    def discount_pause(
        self, now: float, seconds: float
    ) -> 'AnnouncedIncarnation':
        """Return a copy whose last heartbeat is this many seconds later."""
        return replace(
            self, last_heartbeat=min(now, self.last_heartbeat + seconds)
        )

    def is_continued_by(
        self,
        now: float,
        announcement: Announcement,
        settings: AnnouncementSettings,
    ) -> bool:
        """Return whether the announcement does not start a new incarnation.

        While heartbeats come, this is also true for an announcement of an
        earlier incarnation, so that it is refused rather than listed.
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
    """Build the target; the node's locality replaces missing parts."""
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


def start_incarnation(
    now: float, reported: Target, *, chosen: bool
) -> AnnouncedIncarnation:
    """Build the state after the first announcement.

    `chosen` is whether the target itself set its incarnation.
    """
    without_load = replace(reported, load=None)
    is_draining = reported.state is TargetState.DRAINING
    started = now if is_draining else None
    return AnnouncedIncarnation(
        reported, without_load, now, now, chosen, started
    )


def update_incarnation(
    now: float,
    current: AnnouncedIncarnation,
    reported: Target,
    settings: AnnouncementSettings,
) -> AnnouncedIncarnation:
    """Apply the next announcement; a drain is never revoked."""
    if current.drain_started is not None:
        reported = replace(reported, state=TargetState.DRAINING)
    updated = replace(current, reported=reported, last_heartbeat=now)
    without_load = replace(reported, load=None)
    if without_load == current.published or not _is_change_due(
        now, current, without_load, settings
    ):
        return updated
    started = current.drain_started
    if started is None and reported.state is TargetState.DRAINING:
        started = now
    return replace(
        updated, published=without_load, last_change=now, drain_started=started
    )


def _is_change_due(
    now: float,
    current: AnnouncedIncarnation,
    reported: Target,
    settings: AnnouncementSettings,
) -> bool:
    if _is_urgent(current.published.state, reported.state):
        return True
    return now - current.last_change >= settings.change_interval


def _is_urgent(old: TargetState, new: TargetState) -> bool:
    if new is old:
        return False
    if new is TargetState.READY:
        return old is TargetState.COLD
    return new in {TargetState.DRAINING, TargetState.SHEDDING}
