"""What a node lets through of each account, and what it reports; pure."""

from dataclasses import dataclass
from math import inf
from random import Random
from typing import Final

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas.messages import ShareRow, UseRow

# Seconds between two reports of one account by one node. Modelled over 93
# nodes, 0.3 s holds a limit no better (0.92 against 0.93 of what is granted in
# the worst window) and costs a fifteenth more messages.
REPORT_GAP: Final = 0.5
# Times what a node sees of an account between two reports after which it
# reports sooner: 0.2 s in place of 0.5 s after a crowd begins.
CROWD: Final = 1.5
LEAST_USUAL: Final = 1.0
# Seconds for which a share holds without being told anew: it is told each
# 0.5 s, so three tellings may be lost before an account is let through whole.
SHARE_KEPT: Final = 2.0
# Seconds without a request after which an account's counts are dropped.
COUNT_KEPT: Final = 30.0
# Requests among which those that pass are spread evenly.
WHOLE: Final = 1.0


@dataclass(slots=True)
class _Use:
    """Hold one account's counts at this node; moments are seconds.

    `credit` is the part of a request that is saved up while a share holds.
    """

    credit: float
    asked: int = 0
    passed: int = 0
    reported_asked: int = 0
    reported_passed: int = 0
    reported: float = -inf
    usual: float = 0
    touched: float = 0
    share: float = WHOLE
    share_until: float = -inf
    wait: float = 0

    def is_due(self, now: float) -> bool:
        """Tell whether a report is due: in its turn, or for a crowd."""
        if now - self.reported >= REPORT_GAP:
            return True
        return self.asked - self.reported_asked > CROWD * self.usual


class LocalUse:
    """Let requests of accounts through, and count them."""

    def __init__(self, random: Random) -> None:
        """Start without counts; `random` spreads what nodes let through."""
        self._random = random
        self._uses: dict[str, _Use] = {}
        self._pending: set[str] = set()
        self._swept: float = 0

    def __len__(self) -> int:
        """Return of how many accounts something is kept."""
        return len(self._uses)

    def ask(self, now: float, account: FleetAccount) -> float:
        """Return 0 and count the request, or the seconds to wait."""
        if account.rate <= 0:
            return 0
        use = self._find(account.name)
        use.asked += 1
        use.touched = now
        self._pending.add(account.name)
        if now < use.share_until and not _take_share(use):
            return use.wait
        use.passed += 1
        return 0

    def list_due(self, now: float) -> tuple[UseRow, ...]:
        """Return what is to be reported now; it counts as reported."""
        self._sweep(now)
        due = [name for name in self._pending if self._uses[name].is_due(now)]
        self._pending.difference_update(due)
        return tuple(self._report(now, name) for name in due)

    def take(self, now: float, rows: tuple[ShareRow, ...]) -> None:
        """Take the shares that a counting node has answered with."""
        for row in rows:
            use = self._find(row.account)
            use.touched = now
            use.share = row.share
            use.wait = row.wait
            use.share_until = now + SHARE_KEPT

    def _find(self, name: str) -> _Use:
        use = self._uses.get(name)
        if use is None:
            use = _Use(self._random.random())
            self._uses[name] = use
        return use

    def _report(self, now: float, name: str) -> UseRow:
        use = self._uses[name]
        fresh = use.asked - use.reported_asked
        passed = use.passed - use.reported_passed
        row = UseRow(name, use.asked, use.passed, fresh, passed)
        seconds = max(REPORT_GAP, now - use.reported)
        use.usual += (fresh * REPORT_GAP / seconds - use.usual) / 2
        use.usual = max(use.usual, LEAST_USUAL)
        use.reported = now
        use.reported_asked = use.asked
        use.reported_passed = use.passed
        return row

    def _sweep(self, now: float) -> None:
        if now - self._swept < COUNT_KEPT:
            return
        self._swept = now
        self._uses = {
            name: use
            for name, use in self._uses.items()
            if name in self._pending or now - use.touched < COUNT_KEPT
        }


def _take_share(use: _Use) -> bool:
    """Tell whether a request is among those that pass, evenly spread."""
    use.credit = min(WHOLE, use.credit) + use.share
    if use.credit < WHOLE:
        return False
    use.credit -= WHOLE
    return True
