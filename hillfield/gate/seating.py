"""Which life of the host's target the gate stands before."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from expression import Error, Result
from msgspec.structs import replace

from hillfield.announcements import (
    Announcement,
    AnnouncementProblem,
    TargetRegistry,
)
from hillfield.announcements.messages import Refusal
from hillfield.gate.gate import Gate
from hillfield.gate.seat import Seat
from hillfield.model import Target, TargetId, TargetState

NAMES_KEPT: Final = 64


@dataclass(slots=True)
class _Named:
    """Hold a life; `born` is what it says of its start (None: nothing).

    `leaving`: it has said that it leaves, whatever its heartbeats say later.
    """

    announcement: Announcement
    incarnation: int
    sequence: int
    born: int | None
    leaving: bool = False

    def is_over(self, announcement: Announcement) -> bool:
        """Tell whether a heartbeat is of a later life of the same name."""
        born = announcement.incarnation
        if born is None or self.born is None:
            return False
        return born > self.born


class Seating:
    """Follow targets that name each life of themselves.

    A life's incarnation is the wall clock at its first heartbeat, always
    above that of any life before it. A heartbeat that comes late, by its
    sequence number, changes nothing. A target may start again under the same
    name: what it announces as its incarnation, when it was born, tells that,
    and nothing of its earlier life counts for it.
    """

    def __init__(self, registry: TargetRegistry, gate: Gate) -> None:
        """Start without a target."""
        self._registry = registry
        self.gate = gate
        self._named: OrderedDict[str, _Named] = OrderedDict()
        self._left: OrderedDict[str, int] = OrderedDict()
        self._newest = 0
        gate.on_leaving = self.note_leaving

    def announce(
        self,
        now: float,
        wall: int,
        name: str,
        sequence: int,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        """Take a heartbeat; `wall` is the wall clock in milliseconds."""
        named = self._named.get(name)
        if not self._may_come_back(name, announcement):
            return Error(_describe_unknown(name))
        if named is None or named.is_over(announcement):
            named = self._begin(name, wall, announcement)
        elif announcement.incarnation != named.born:
            return Error(_describe_other_life(announcement, named))
        elif sequence <= named.sequence:
            return Error(_describe_late(sequence, named))
        named.sequence = sequence
        if named.leaving:
            announcement = replace(announcement, state=TargetState.DRAINING)
        named.announcement = replace(
            announcement,
            incarnation=named.incarnation,
        )
        if announcement.state is TargetState.DRAINING:
            # Acknowledged it binds, whatever the registry makes of it.
            self._leave_seat(name)
        told = self._registry.announce(now, wall, named.announcement)
        if told.is_ok():
            self.gate.take_seat(Seat(told.ok, name, named.born))
        return told

    def note_leaving(self, now: float, target: TargetId) -> None:
        """Take the word of the life that is served, as a heartbeat's."""
        seat = self.gate.seat
        if seat is None or seat.target.id != target:
            return
        self._leave_seat(seat.name)
        named = self._named.get(seat.name)
        if named is None:
            return
        named.leaving = True
        named.announcement = replace(
            named.announcement,
            state=TargetState.DRAINING,
        )
        self._registry.announce(now, named.incarnation, named.announcement)

    def withdraw(
        self,
        now: float,
        name: str,
        wall: int = 0,
    ) -> Result[Target, AnnouncementProblem]:
        """Forget a life at once; no later heartbeat brings it back.

        `wall` is the wall clock in milliseconds: what was born by then has
        left, where no heartbeat has told when it was.
        """
        named = self._named.get(name)
        known = None if named is None else named.born
        self._left[name] = wall if known is None else known
        if len(self._left) > NAMES_KEPT:
            self._left.popitem(last=False)
        self._leave_seat(name)
        if named is None:
            return Error(_describe_unknown(name))
        return self._registry.withdraw(
            now,
            named.announcement.service,
            named.announcement.address,
            named.incarnation,
        )

    def follow_expiry(self, now: float) -> None:
        """Leave the seat of a target that has long been silent."""
        seat = self.gate.seat
        if seat is None:
            return
        listed = {target.id for target in self._registry.targets(now)}
        if seat.target.id not in listed:
            self.gate.take_seat(None)

    def _may_come_back(self, name: str, announcement: Announcement) -> bool:
        left = self._left.get(name)
        if left is None:
            return True
        born = announcement.incarnation
        return born is not None and born > left

    def _leave_seat(self, name: str) -> None:
        seat = self.gate.seat
        if seat is not None and seat.name == name:
            self.gate.leave_seat()

    def _begin(
        self,
        name: str,
        wall: int,
        announcement: Announcement,
    ) -> _Named:
        self._newest = max(wall, self._newest + 1)
        named = _Named(announcement, self._newest, -1, announcement.incarnation)
        self._named[name] = named
        self._left.pop(name, None)
        if len(self._named) > NAMES_KEPT:
            self._named.popitem(last=False)
        return named


def _describe_late(sequence: int, named: _Named) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.STALE,
        'sequence',
        f'{sequence} after {named.sequence}',
        'send a higher number with each heartbeat',
    )


def _describe_other_life(
    announcement: Announcement,
    named: _Named,
) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.STALE,
        'incarnation',
        f'{announcement.incarnation} after {named.born}',
        'send with each heartbeat when the target was born',
    )


def _describe_unknown(name: str) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.UNKNOWN,
        'name',
        name,
        'nothing is to be done: the target is not listed here, or has left',
    )
