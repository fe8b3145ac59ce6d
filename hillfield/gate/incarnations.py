"""Track which incarnation of the host's target the gate serves."""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from expression import Error, Result
from msgspec import Struct
from msgspec.structs import replace

from hillfield.announcements import (
    Announcement,
    AnnouncementProblem,
    TargetRegistry,
)
from hillfield.announcements.departures import DEPARTURE_SECONDS
from hillfield.announcements.messages import Refusal
from hillfield.gate.gate import Gate
from hillfield.gate.served import ServedIncarnation
from hillfield.model import Target, TargetId, TargetState

NAMES_KEPT: Final = 64


class HeldHeartbeat(Struct, frozen=True):
    """Hold a heartbeat; `wall` is the wall clock at its arrival."""

    wall: int
    sequence: int
    announcement: Announcement


class HeldHeartbeats:
    """Hold heartbeats until the departures of this host are known.

    A heartbeat is not believed because time has passed: only once departures
    from before the start would be forgotten everywhere, the next one counts.
    """

    def __init__(self) -> None:
        """Hold none."""
        self._until = float('-inf')
        self._known = False
        self._by_name: dict[str, HeldHeartbeat] = {}

    def start(self, now: float) -> None:
        """Hold heartbeats from now on, until the departures are known."""
        self._until = now + DEPARTURE_SECONDS
        self._known = False

    def end(self) -> None:
        """Hold no more: the departures are known."""
        self._known = True

    def is_holding(self, now: float) -> bool:
        """Return whether heartbeats of unknown targets must wait."""
        return not self._known and now < self._until

    def hold(self, now: float, name: str, beat: HeldHeartbeat) -> bool:
        """Hold a target's newest heartbeat; False if it need not wait."""
        if not self.is_holding(now):
            return False
        self._by_name[name] = beat
        return True

    def drop(self, name: str) -> None:
        """Drop the heartbeat of a target that leaves."""
        self._by_name.pop(name, None)

    def take_due(self, now: float) -> dict[str, HeldHeartbeat]:
        """Return and forget the heartbeats that need not wait any more."""
        if self.is_holding(now):
            return {}
        due = self._by_name if self._known else {}
        self._by_name = {}
        return due


class Departures:
    """Remember which incarnations leave, by the names of the targets.

    `starts` has the start of the last incarnation that leaves, in milliseconds
    of the wall clock, `withdrawn` those of which no heartbeat counts any more.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.starts: OrderedDict[str, int] = OrderedDict()
        self.withdrawn: OrderedDict[str, int] = OrderedDict()

    def drain(self, name: str, born: int | None, wall: int) -> None:
        """Record that an incarnation leaves; its first drain counts."""
        if born is not None:
            _remember(self.starts, name, born)
        elif name not in self.starts:
            _remember(self.starts, name, wall)

    def withdraw(self, name: str, start: int) -> None:
        """Record that an incarnation has left."""
        _remember(self.starts, name, start)
        _remember(self.withdrawn, name, start)

    def forget(self, name: str) -> None:
        """Forget the incarnations before one that starts."""
        self.starts.pop(name, None)
        self.withdrawn.pop(name, None)

    def is_acceptable(self, name: str, announcement: Announcement) -> bool:
        """Return whether a heartbeat is of an incarnation that may be here."""
        left = self.withdrawn.get(name)
        if left is None:
            return True
        born = announcement.incarnation
        return born is not None and born > left


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

    The node that stopped or was killed before may have acknowledged that a
    target leaves. So heartbeats wait, once `held` has been started, until
    `restore` has told all of these departures.
    """

    def __init__(self, registry: TargetRegistry, gate: Gate) -> None:
        """Start without a target."""
        self._registry = registry
        self.gate = gate
        self._incarnations: OrderedDict[str, _Incarnation] = OrderedDict()
        self.departures = Departures()
        self.held = HeldHeartbeats()
        self._latest = 0
        gate.on_leaving = self.record_leaving

    def restore(self, now: float, starts: Mapping[str, int]) -> None:
        """Apply all departures that were acknowledged, however late."""
        self.apply_departures(now, starts)
        self.held.end()
        self.release_held(now)

    def apply_departures(self, now: float, starts: Mapping[str, int]) -> None:
        """Apply departures that are known; there may be others.

        An incarnation that was served meanwhile and is among them leaves.
        """
        for name, start in starts.items():
            named = self._incarnations.get(name)
            newer = named is not None and (named.born or 0) > start
            if not newer and self.departures.starts.get(name, 0) < start:
                self._withdraw(now, name, start)

    def release_held(self, now: float) -> None:
        """Process the heartbeats that were held, once they need not wait."""
        for name, beat in self.held.take_due(now).items():
            self.announce(
                now, beat.wall, name, beat.sequence, beat.announcement
            )

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
        if not self.departures.is_acceptable(name, announcement):
            return Error(_describe_unknown(name))
        if named is None and announcement.state is not TargetState.DRAINING:
            beat = HeldHeartbeat(wall, sequence, announcement)
            if self.held.hold(now, name, beat):
                return Error(_describe_held(name))
        if named is None or named.is_superseded_by(announcement):
            named = self._start(name, wall, announcement)
        elif announcement.incarnation != named.born:
            return Error(_describe_other(announcement, named))
        elif sequence <= named.sequence:
            return Error(_describe_stale(sequence, named))
        named.sequence = sequence
        return self._apply(now, wall, name, named, announcement)

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
        self.held.drop(name)
        start = _find_start(self._incarnations.get(name), wall)
        return self._withdraw(now, name, start)

    def drop_expired(self, now: float) -> None:
        """Stop serving a target whose heartbeats have expired."""
        serving = self.gate.serving
        if serving is None:
            return
        listed = {target.id for target in self._registry.targets(now)}
        if serving.target.id not in listed:
            self.gate.serve(None)

    def _apply(
        self,
        now: float,
        wall: int,
        name: str,
        named: _Incarnation,
        announcement: Announcement,
    ) -> Result[Target, AnnouncementProblem]:
        if announcement.state is TargetState.DRAINING:
            self.departures.drain(name, named.born, wall)
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

    def _withdraw(
        self,
        now: float,
        name: str,
        start: int,
    ) -> Result[Target, AnnouncementProblem]:
        self.departures.withdraw(name, start)
        self._stop_serving(name)
        named = self._incarnations.get(name)
        if named is None:
            return Error(_describe_unknown(name))
        return self._registry.withdraw(
            now,
            named.announcement.service,
            named.announcement.address,
            named.incarnation,
        )

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
        self.departures.forget(name)
        if len(self._incarnations) > NAMES_KEPT:
            self._incarnations.popitem(last=False)
        return named


def _remember(starts: OrderedDict[str, int], name: str, start: int) -> None:
    """Remember the start of the name's incarnation; the oldest names go."""
    starts[name] = start
    starts.move_to_end(name)
    if len(starts) > NAMES_KEPT:
        starts.popitem(last=False)


def _find_start(named: _Incarnation | None, wall: int) -> int:
    """Return the start that was announced, or the latest possible one."""
    return wall if named is None or named.born is None else named.born


def _describe_held(name: str) -> AnnouncementProblem:
    return AnnouncementProblem(
        Refusal.HELD,
        'name',
        f'{name}, held until the departures at this host are known',
        'no action is needed: it is taken once they are known',
    )


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
