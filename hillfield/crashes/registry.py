"""The crash reports that a node has, for all requests; pure.

Each node holds all reports: exits are rare, and any node that gets the request
next has to decide. Two nodes merge their reports by applying each other's rows
in any order, any number of times.
"""

from collections.abc import Collection, Container, Iterable, Iterator
from typing import Final

from hillfield.crashes.cases import NEVER, Case
from hillfield.crashes.messages import (
    AnswerRow,
    ClearRow,
    ExitRow,
    Findings,
)

# Requests tracked at once, some 670 bytes each. The exit of a target with four
# slots adds four of them, of which three are harmless.
MAXIMUM_CASES: Final = 2048
# Seconds after which a request that isn't refused is dropped.
CASE_EXPIRY_SECONDS: Final = 3600.0
# Seconds between sweeps for expired cases.
SWEEP_INTERVAL: Final = 60.0
# Partitions that are compared by digest, so that only differing ones are sent.
PARTITIONS: Final = 16
# Digests are added up in 64 bits.
DIGEST_MODULUS: Final = 1 << 8 * 8

Row = ExitRow | ClearRow | AnswerRow


class CrashRegistry:
    """Track requests by their fingerprints; times are monotonic seconds.

    >>> registry = CrashRegistry()
    >>> rows = [ExitRow(b'x', 'n1', each, 9.0 - each, 0.5) for each in range(3)]
    >>> registry.merge(10, Findings(tuple(rows))) == {b'x'}
    True
    >>> registry.is_refused(10, b'x'), registry.is_refused(10, b'y')
    (True, False)
    >>> registry.clear(11, b'x')
    True
    >>> registry.is_refused(11, b'x')
    False
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.cases: dict[bytes, Case] = {}
        self._next_sweep = float()
        self._digests: tuple[int, ...] | None = None

    def merge(self, now: float, findings: Findings) -> set[bytes]:
        """Merge rows; return the requests that are refused from now on."""
        self._digests = None
        before = _list_harmful(self, findings.exits)
        for clear in findings.clears:
            self._get_case(clear.fingerprint).clear(now - clear.ago)
        for answer in findings.answers:
            # Answers count only for requests under which targets have exited.
            case = self.cases.get(answer.fingerprint)
            if case is not None:
                case.add_answer(now, answer)
        for row in findings.exits:
            self._get_case(row.fingerprint).add_exit(now, row)
        if now >= self._next_sweep or len(self.cases) > MAXIMUM_CASES:
            self._next_sweep = now + SWEEP_INTERVAL
            self._drop_cases(now)
        return _list_harmful(self, findings.exits) - before

    def clear(self, moment: float, fingerprint: bytes) -> bool:
        """Record that a request is harmless; return if exits were dropped."""
        self._digests = None
        case = self.cases.get(fingerprint)
        return case is not None and case.clear(moment)

    def mark_stored(self, fingerprint: bytes) -> None:
        """Record that the store holds why a request is refused."""
        case = self.cases.get(fingerprint)
        if case is not None:
            case.stored = case.harmful

    def is_harmful(self, fingerprint: bytes) -> bool:
        """Return whether the exits prove that a request is harmful."""
        case = self.cases.get(fingerprint)
        return case is not None and case.harmful

    def is_refused(self, now: float, fingerprint: bytes) -> bool:
        """Return whether a request is refused by all nodes."""
        case = self.cases.get(fingerprint)
        return case is not None and case.is_refused(now)

    def export(self, now: float, partitions: Container[int]) -> Findings:
        """Return the reports of some partitions."""
        cases = [
            case
            for fingerprint, case in self.cases.items()
            if find_partition(fingerprint) in partitions
        ]
        return list_findings(now, cases)

    def list_digests(self) -> tuple[int, ...]:
        """Return the digest of each partition."""
        if self._digests is None:
            self._digests = self._compute_digests()
        return self._digests

    def compute_root(self) -> int:
        """Return the digest of all reports."""
        return sum(self.list_digests()) % DIGEST_MODULUS

    def _compute_digests(self) -> tuple[int, ...]:
        digests = dict.fromkeys(range(PARTITIONS), 0)
        for fingerprint, case in self.cases.items():
            partition = find_partition(fingerprint)
            digests[partition] = (
                digests[partition] + case.compute_digest()
            ) % DIGEST_MODULUS
        return tuple(digests.values())

    def _get_case(self, fingerprint: bytes) -> Case:
        return self.cases.setdefault(fingerprint, Case(fingerprint))

    def _drop_cases(self, now: float) -> None:
        """Drop expired cases, and of too many those with the least evidence.

        Cases that were found harmless go first, then those with the fewest
        exits; refused ones go last.
        """
        oldest = now - CASE_EXPIRY_SECONDS
        for case in tuple(self.cases.values()):
            if case.last_event < oldest and not case.harmful:
                self.cases.pop(case.fingerprint)
        excess = len(self.cases) - MAXIMUM_CASES
        if excess > 0:
            ranked = sorted(self.cases.values(), key=_rank)
            for excess_case in ranked[:excess]:
                self.cases.pop(excess_case.fingerprint)


def is_outweighed(registry: CrashRegistry, fingerprint: bytes) -> bool:
    """Return whether answers show that a request is harmless."""
    case = registry.cases.get(fingerprint)
    return case is not None and case.is_outweighed()


def list_answered(findings: Findings) -> frozenset[bytes]:
    """Return the requests of which answers are reported."""
    return frozenset(row.fingerprint for row in findings.answers)


def _list_harmful(
    registry: CrashRegistry,
    rows: tuple[ExitRow, ...],
) -> set[bytes]:
    return {
        row.fingerprint for row in rows if registry.is_harmful(row.fingerprint)
    }


def find_partition(fingerprint: bytes) -> int:
    """Return the partition of a request."""
    return fingerprint[0] % PARTITIONS


def split_rows(
    findings: Findings,
    limit: int,
) -> Iterator[Findings]:
    """Yield the findings in parts of at most `limit` rows."""
    rows: tuple[Row, ...] = (
        *findings.exits,
        *findings.clears,
        *findings.answers,
    )
    for start in range(0, len(rows), limit):
        yield _gather(rows[start : start + limit])


def _gather(rows: Iterable[Row]) -> Findings:
    chosen = tuple(rows)
    return Findings(
        tuple(row for row in chosen if isinstance(row, ExitRow)),
        tuple(row for row in chosen if isinstance(row, ClearRow)),
        tuple(row for row in chosen if isinstance(row, AnswerRow)),
    )


def _rank(case: Case) -> tuple[bool, int, float]:
    return case.harmful, len(case.exits), case.last_event


def list_exits(now: float, case: Case) -> tuple[ExitRow, ...]:
    """Return the exits during a request."""
    return tuple(
        ExitRow(
            case.fingerprint,
            gate,
            number,
            now - seen_exit.ended,
            seen_exit.ended - seen_exit.began,
        )
        for (gate, number), seen_exit in case.exits.items()
    )


def list_findings(now: float, cases: Collection[Case]) -> Findings:
    """Return all that is known of some requests."""
    return Findings(
        tuple(row for case in cases for row in list_exits(now, case)),
        tuple(
            ClearRow(case.fingerprint, now - case.cleared_at)
            for case in cases
            if case.cleared_at > NEVER
        ),
        tuple(row for case in cases for row in _list_answers(now, case)),
    )


def _list_answers(now: float, case: Case) -> tuple[AnswerRow, ...]:
    return tuple(
        AnswerRow(case.fingerprint, gate, number, now - answered)
        for (gate, number), answered in case.answers.items()
    )
