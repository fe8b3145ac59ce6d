"""Hold the leases of the store stand-in; pure, time is a value."""

from msgspec import Struct
from msgspec.structs import replace

from hillfield.emulator.store_core import KeyValueCore


class Lease(Struct, frozen=True):
    """Hold one lease; `end` is on the clock of the calls."""

    number: int
    seconds: int
    end: float


class LeaseTable:
    """Grant, renew and end leases over one core."""

    def __init__(self, core: KeyValueCore) -> None:
        """Start without leases."""
        self._core = core
        self._leases: dict[int, Lease] = {}
        self._granted = 0

    @property
    def numbers(self) -> tuple[int, ...]:
        """Return the leases that stand."""
        return tuple(self._leases)

    def grant(self, now: float, seconds: int) -> Lease:
        """Open a lease."""
        self._granted += 1
        lease = Lease(self._granted, seconds, now + seconds)
        self._leases[lease.number] = lease
        self._core.leases.add(lease.number)
        return lease

    def renew(self, now: float, number: int) -> int:
        """Prolong a lease; return its seconds, 0 when it has lapsed."""
        self.expire(now)
        lease = self._leases.get(number)
        if lease is None:
            return 0
        self._leases[number] = replace(lease, end=now + lease.seconds)
        return lease.seconds

    def revoke(self, number: int) -> bool:
        """End a lease and delete its keys; False when there was none."""
        if self._leases.pop(number, None) is None:
            return False
        self._core.delete_leased(number)
        return True

    def expire(self, now: float) -> bool:
        """End all leases that are over; True if there was one."""
        over = [
            lease.number for lease in self._leases.values() if lease.end <= now
        ]
        return any([self.revoke(number) for number in over])
