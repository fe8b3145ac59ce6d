"""Track which incarnation of the host's target the gate serves."""

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
from hillfield.gate.served import ServedIncarnation
from hillfield.model import Target, TargetId, TargetState

NAMES_KEPT: Final = 64


@dataclass(slots=True)
class _Incarnation:
    """Hold an incarnation that heartbeats name.

    `born` is its start as it announces it (None: it doesn't). `leaving`: it
    has announced that it leaves, whatever later heartbeats say.
    """

    announcement: Announcement
    incarnation: int
    sequence: int
    born: int | None
    leaving: bool = False

    def is_superseded_by(self, announcement: Announcement) -> bool:
        """Return whether a heartbeat is of a later incarnation of this name."""
        born = announcement.incarnation
        if born is None or self.born is None:
            return False
        return born > self.born


class IncarnationTracker:
    """Track the incarnations of a target, each named in its heartbeats.

    The number of an incarnation is the wall clock at its first heartbeat,
    always above the numbers before it. A heartbeat that arrives out of order,
    by its sequence number, is ignored. A target may restart under the same
    name: the incarnation that it announces, the time of its start, shows that,
    and no state of the earlier incarnation applies to the new one.
    """

    def __init__(self, registry: TargetRegistry, gate: Gate) -> None:
        """Start without a target."""
        self._registry = registry
        self.gate = gate
        self._incarnations: OrderedDict[str, _Incarnation] = OrderedDict()
        self._withdrawn: OrderedDict[str, int] = OrderedDict()
        self._latest = 0
        gate.on_leaving = self.record_leaving

    def announce(
        self,
        now: float,
        wall: int,
        name: str,
        sequence: int,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        """Process a heartbeat; `wall` is the wall clock in milliseconds."""
        named = self._incarnations.get(name)
        if not self._is_acceptable(name, announcement):
            return Error(_describe_unknown(name))
        if named is None or named.is_superseded_by(announcement):
            named = self._start(name, wall, announcement)
        elif announcement.incarnation != named.born:
            return Error(_describe_other(announcement, named))
        elif sequence <= named.sequence:
            return Error(_describe_stale(sequence, named))
        named.sequence = sequence
        if named.leaving:
            announcement = replace(announcement, state=TargetState.DRAINING)
        named.announcement = replace(
            announcement,
            incarnation=named.incarnation,
        )
        if announcement.state is TargetState.DRAINING:
            # An acknowledged drain is binding, even if the registry rejects
            # it.
            self._stop_serving(name)
        announced = self._registry.announce(now, wall, named.announcement)
        if announced.is_ok():
            self.gate.serve(ServedIncarnation(announced.ok, name, named.born))
        return announced

    def record_leaving(self, now: float, target: TargetId) -> None:
        """Treat a notice of the served incarnation as a draining heartbeat."""
        serving = self.gate.serving
        if serving is None or serving.target.id != target:
            return
        self._stop_serving(serving.name)
        named = self._incarnations.get(serving.name)
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
        """Forget an incarnation; later heartbeats of it are rejected.

        `wall` is the wall clock in milliseconds: where no heartbeat has
        announced the start, every incarnation that started before counts as
        withdrawn.
        """
        named = self._incarnations.get(name)
        known = None if named is None else named.born
        self._withdrawn[name] = wall if known is None else known
        if len(self._withdrawn) > NAMES_KEPT:
            self._withdrawn.popitem(last=False)
        self._stop_serving(name)
        if named is None:
            return Error(_describe_unknown(name))
        return self._registry.withdraw(
            now,
            named.announcement.service,
            named.announcement.address,
            named.incarnation,
        )

    def drop_expired(self, now: float) -> None:
        """Stop serving a target whose heartbeats have expired."""
        serving = self.gate.serving
        if serving is None:
            return
        listed = {target.id for target in self._registry.targets(now)}
        if serving.target.id not in listed:
            self.gate.serve(None)

    def _is_acceptable(self, name: str, announcement: Announcement) -> bool:
        left = self._withdrawn.get(name)
        if left is None:
            return True
        born = announcement.incarnation
        return born is not None and born > left

    def _stop_serving(self, name: str) -> None:
        serving = self.gate.serving
        if serving is not None and serving.name == name:
            self.gate.stop_serving()

    def _start(
        self,
        name: str,
        wall: int,
        announcement: Announcement,
    ) -> _Incarnation:
        self._latest = max(wall, self._latest + 1)
        named = _Incarnation(
            announcement,
            self._latest,
            -1,
            announcement.incarnation,
        )
        self._incarnations[name] = named
        self._withdrawn.pop(name, None)
        if len(self._incarnations) > NAMES_KEPT:
            self._incarnations.popitem(last=False)
        return named


def _describe_stale(sequence: int, named: _Incarnation) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.STALE,
        'sequence',
        f'{sequence} after {named.sequence}',
        'send a higher number with each heartbeat',
    )


def _describe_other(
    announcement: Announcement,
    named: _Incarnation,
) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.STALE,
        'incarnation',
        f'{announcement.incarnation} after {named.born}',
        'send the start time of the target with each heartbeat',
    )


def _describe_unknown(name: str) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.UNKNOWN,
        'name',
        name,
        'no action is needed: the target is not listed here, or has left',
    )
