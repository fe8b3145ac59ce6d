"""Hold heartbeats while a started node doesn't know which targets have left."""

from msgspec import Struct

from hillfield.announcements import Announcement
from hillfield.departures import DEPARTURE_SECONDS


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
