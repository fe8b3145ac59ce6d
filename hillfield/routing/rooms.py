"""What the gates of a service have told of their targets' room."""

from dataclasses import dataclass
from typing import Final

from hillfield.loadreports.reports import Held, LoadReport
from hillfield.model import RequestPlan, TargetId

# Seconds for which a report is believed: it is told anew each 10 s at most.
BELIEVED: Final = 12.0


@dataclass(slots=True)
class Room:
    """Hold the newest report of one target; `free` less what went there.

    `sent` counts what this node has sent there since and not seen end, `wait`
    is the seconds until one more usual request would begin there, `usable` the
    slots that do useful work (0: not told), `rate` the requests a second that
    the target takes (None: it names no limit).
    """

    number: int
    free: int
    waiting: int
    held: Held
    told: float
    wait: float = 0
    usable: int = 0
    rate: float | None = None
    sent: int = 0


class Rooms:
    """Remember reports, and what this node has sent since.

    >>> rooms = Rooms()
    >>> report = LoadReport('fees', '10.0.0.1', 80, 7, 1, 1)
    >>> rooms.note(0, report)
    >>> rooms.list_full(0)
    ()
    >>> rooms.take(report.target)
    >>> rooms.list_full(0) == (report.target,)
    True
    """

    def __init__(self) -> None:
        """Start without any."""
        self._rooms: dict[TargetId, Room] = {}

    def note(self, now: float, report: LoadReport) -> None:
        """Take a report, unless a newer one has come already."""
        known = self._rooms.get(report.target)
        if known is not None and report.number < known.number:
            return
        self._rooms[report.target] = Room(
            report.number,
            report.free,
            report.waiting,
            report.held,
            now,
            report.wait,
            report.usable,
            None if report.notice is None else report.notice.rate,
        )

    def take(self, target: TargetId) -> None:
        """Count a request that this node sends there."""
        room = self._rooms.get(target)
        if room is None:
            return
        room.sent += 1
        if room.free > 0:
            room.free -= 1
        else:
            room.waiting += 1

    def give_back(self, target: TargetId) -> None:
        """Count the end of a request that this node has sent there.

        Reports are rarer than requests where many nodes listen: without it a
        target counts as full after as many requests as it has slots. Where the
        target names a limit, an end brings no turn back.
        """
        room = self._rooms.get(target)
        if room is None or not room.sent:
            return
        room.sent -= 1
        if room.rate is not None:
            return
        if room.waiting > 0:
            room.waiting -= 1
        else:
            room.free += 1

    def are_known(self, now: float) -> bool:
        """Tell whether any gate tells of its room."""
        self._forget(now)
        return bool(self._rooms)

    def find(self, target: TargetId) -> Room | None:
        """Return what is known of a target's room."""
        return self._rooms.get(target)

    def list_full(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets that have no free slot."""
        self._forget(now)
        return tuple(
            target for target, room in self._rooms.items() if room.free <= 0
        )

    def list_shunned(self, now: float) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold back all usual work."""
        return self._list_from(now, Held.USUAL)

    def list_wanting(self, now: float) -> frozenset[TargetId]:
        """Return the targets whose gates ask for a trial."""
        self._forget(now)
        return frozenset(
            target
            for target, room in self._rooms.items()
            if room.held is Held.USUAL
        )

    def list_held(
        self,
        now: float,
        plan: RequestPlan,
        trial: bool,
    ) -> tuple[TargetId, ...]:
        """Return the targets whose gates hold such work back.

        `trial` says that the request may try a doubtful target.
        """
        least = Held.USUAL if plan.idempotent else Held.ONCE
        return self._list_from(now, Held.ALL if trial else least)

    def _list_from(self, now: float, least: Held) -> tuple[TargetId, ...]:
        self._forget(now)
        return tuple(
            target for target, room in self._rooms.items() if room.held >= least
        )

    def _forget(self, now: float) -> None:
        over = [
            target
            for target, room in self._rooms.items()
            if now - room.told > BELIEVED
        ]
        for target in over:
            self._rooms.pop(target)
