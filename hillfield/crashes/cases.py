"""What is known of one request under which targets have ended."""

from dataclasses import dataclass, field
from typing import Final

from xxhash import xxh3_64_intdigest

from hillfield.crashes.messages import ClearRow, EndRow
from hillfield.crashes.proof import SeenEnd, find_hold, is_harmful

# Seed of the digest of a request that is refused.
HARMFUL: Final = 1
NEVER: Final = float('-inf')
# Ends that are kept of one request; those of one moment tell no more.
ENDS_KEPT: Final = 16


@dataclass(slots=True)
class Case:
    """Hold the ends under a request; times are monotonic seconds.

    `ends` are by the node that saw each and its number there, `harmful` says
    that they prove it, `cleared` that nothing that ended before tells against
    it, `tried` when this node last let it run for a trial, `settled` that the
    store is known to hold what follows from that.
    """

    fingerprint: bytes
    ends: dict[tuple[str, int], SeenEnd] = field(default_factory=dict)
    harmful: bool = False
    cleared: float = NEVER
    tried: float = NEVER
    settled: bool = True
    _digest: int | None = None

    @property
    def last(self) -> float:
        """Return when anything was last heard of it."""
        ended = (end.ended for end in self.ends.values())
        return max(self.cleared, *ended, NEVER)

    def take(self, now: float, row: EndRow) -> None:
        """Take an end, unless it is known or void."""
        name = (row.gate, row.number)
        ended = now - row.ago
        if name in self.ends or ended <= self.cleared:
            return
        if len(self.ends) >= ENDS_KEPT:
            return
        self._digest = None
        self.ends[name] = SeenEnd(ended - row.lasted, ended)
        if not self.harmful:
            self._judge()

    def clear(self, moment: float) -> bool:
        """Drop what ended until a moment; return whether anything was."""
        self._digest = None
        self.cleared = max(self.cleared, moment)
        void = list(filter(self._is_void, self.ends))
        for name in void:
            self.ends.pop(name)
        self._judge()
        return bool(void)

    def holds(self, now: float) -> bool:
        """Tell whether it is refused, whoever asks."""
        if not self.harmful:
            return False
        return self.find_wait(now) > 0

    def find_wait(self, now: float) -> float:
        """Return the seconds until it may be tried; inf: not by itself."""
        hold = find_hold(self.ends.values())
        return max(0, self.last + hold - now)

    def may_try(self, now: float) -> bool:
        """Take the one trial that is due after the hold, if it is left."""
        if now - self.tried < find_hold(self.ends.values()):
            return False
        self.tried = now
        return True

    def list_ends(self, now: float) -> tuple[EndRow, ...]:
        """Return the ends as others are told of them."""
        return tuple(
            self._make_row(now, gate, number) for gate, number in self.ends
        )

    def list_clears(self, now: float) -> tuple[ClearRow, ...]:
        """Return that it was found harmless, if it was."""
        if self.cleared == NEVER:
            return ()
        return (ClearRow(self.fingerprint, now - self.cleared),)

    def hash(self) -> int:
        """Return a digest on which nodes agree that decide alike."""
        if self._digest is None:
            self._digest = _sum_up(self)
        return self._digest

    def _judge(self) -> None:
        harmful = is_harmful(self.ends.values())
        if harmful is not self.harmful:
            self.harmful = harmful
            self.settled = False

    def _is_void(self, name: tuple[str, int]) -> bool:
        return self.ends[name].ended <= self.cleared

    def _make_row(self, now: float, gate: str, number: int) -> EndRow:
        end = self.ends[gate, number]
        ago = now - end.ended
        lasted = end.ended - end.began
        return EndRow(self.fingerprint, gate, number, ago, lasted)


def _sum_up(case: Case) -> int:
    if case.harmful:
        return xxh3_64_intdigest(case.fingerprint, HARMFUL)
    names = sorted(f'{gate}/{number}' for gate, number in case.ends)
    told = ' '.join((case.fingerprint.hex(), *names))
    return xxh3_64_intdigest(told.encode())
