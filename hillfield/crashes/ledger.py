"""What a node knows of requests under which targets have ended; pure.

Each node holds all of it: ends are rare, and who has to decide is any node
that gets the request next. What two nodes hold is merged by taking in each
other's rows in any order, any number of times.
"""

from collections.abc import Container, Iterable, Iterator
from typing import Final

from hillfield.crashes.cases import Case
from hillfield.crashes.messages import ClearRow, EndRow, Findings

# Requests that are followed at once, some 670 bytes each. A target of four
# slots brings in four when it ends, of which three are harmless.
CASES_KEPT: Final = 2048
# Seconds after which a request that isn't refused is forgotten.
FORGET_AFTER: Final = 3600.0
# Seconds between looks for what may be forgotten.
SWEEP_EVERY: Final = 60.0
# Parts that are compared by digests, so that little is told anew.
PARTS: Final = 16
# Digests are added up in 64 bits.
DIGESTS: Final = 1 << 8 * 8


class CrashLedger:
    """Follow requests by their fingerprints; times are monotonic seconds.

    >>> ledger = CrashLedger()
    >>> rows = [EndRow(b'x', 'n1', turn, 9.0 - turn, 0.5) for turn in range(3)]
    >>> ledger.take(10, Findings(tuple(rows))) == {b'x'}
    True
    >>> ledger.holds(10, b'x'), ledger.holds(10, b'y')
    (True, False)
    >>> ledger.clear(11, b'x')
    True
    >>> ledger.holds(11, b'x')
    False
    """

    def __init__(self) -> None:
        """Start without any."""
        self.cases: dict[bytes, Case] = {}
        self._sweep_at = float()
        self._digests: tuple[int, ...] | None = None

    def take(self, now: float, told: Findings) -> set[bytes]:
        """Take in rows; return which requests are refused from now on."""
        self._digests = None
        before = _list_harmful(self, told.ends)
        for clear in told.clears:
            self._find(clear.fingerprint).clear(now - clear.ago)
        for row in told.ends:
            self._find(row.fingerprint).take(now, row)
        if now >= self._sweep_at or len(self.cases) > CASES_KEPT:
            self._sweep_at = now + SWEEP_EVERY
            self._forget(now)
        return _list_harmful(self, told.ends) - before

    def clear(self, moment: float, fingerprint: bytes) -> bool:
        """Note that a request is harmless; return whether that is news."""
        self._digests = None
        case = self.cases.get(fingerprint)
        return case is not None and case.clear(moment)

    def settle(self, fingerprint: bytes) -> None:
        """Note that the store holds why a request is refused."""
        case = self.cases.get(fingerprint)
        if case is not None:
            case.settled = case.harmful

    def is_harmful(self, fingerprint: bytes) -> bool:
        """Tell whether the ends prove that a request ends its targets."""
        case = self.cases.get(fingerprint)
        return case is not None and case.harmful

    def holds(self, now: float, fingerprint: bytes) -> bool:
        """Tell whether a request is refused, whoever asks."""
        case = self.cases.get(fingerprint)
        return case is not None and case.holds(now)

    def tell(self, now: float, parts: Container[int]) -> Findings:
        """Return what is known of some parts."""
        cases = [
            case
            for fingerprint, case in self.cases.items()
            if find_part(fingerprint) in parts
        ]
        return Findings(
            tuple(row for case in cases for row in case.list_ends(now)),
            tuple(row for case in cases for row in case.list_clears(now)),
        )

    def list_digests(self) -> tuple[int, ...]:
        """Sum up each part."""
        if self._digests is None:
            self._digests = self._sum_up()
        return self._digests

    def find_root(self) -> int:
        """Sum up all."""
        return sum(self.list_digests()) % DIGESTS

    def _sum_up(self) -> tuple[int, ...]:
        digests = dict.fromkeys(range(PARTS), 0)
        for fingerprint, case in self.cases.items():
            part = find_part(fingerprint)
            digests[part] = (digests[part] + case.hash()) % DIGESTS
        return tuple(digests.values())

    def _find(self, fingerprint: bytes) -> Case:
        return self.cases.setdefault(fingerprint, Case(fingerprint))

    def _forget(self, now: float) -> None:
        """Drop what is old, and of too much what tells least.

        First what was found harmless, then what fewest targets ended under;
        what is refused goes last.
        """
        oldest = now - FORGET_AFTER
        for case in tuple(self.cases.values()):
            if case.last < oldest and not case.harmful:
                self.cases.pop(case.fingerprint)
        excess = len(self.cases) - CASES_KEPT
        if excess > 0:
            ranked = sorted(self.cases.values(), key=_rank)
            for least in ranked[:excess]:
                self.cases.pop(least.fingerprint)


def _list_harmful(
    ledger: CrashLedger,
    rows: tuple[EndRow, ...],
) -> set[bytes]:
    return {
        row.fingerprint for row in rows if ledger.is_harmful(row.fingerprint)
    }


def find_part(fingerprint: bytes) -> int:
    """Return the part in which a request is compared."""
    return fingerprint[0] % PARTS


def split_rows(
    told: Findings,
    most: int,
) -> Iterator[Findings]:
    """Yield findings of at most so many rows each."""
    rows: tuple[EndRow | ClearRow, ...] = (*told.ends, *told.clears)
    for start in range(0, len(rows), most):
        yield _gather(rows[start : start + most])


def _gather(rows: Iterable[EndRow | ClearRow]) -> Findings:
    chosen = tuple(rows)
    return Findings(
        tuple(row for row in chosen if isinstance(row, EndRow)),
        tuple(row for row in chosen if isinstance(row, ClearRow)),
    )


def _rank(case: Case) -> tuple[bool, int, float]:
    return case.harmful, len(case.ends), case.last
