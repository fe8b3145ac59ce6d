"""How much of an account's requests may pass, over all nodes; pure.

This answers an account that sends more than its limit, through any nodes. A
bucket of the account's rate and burst is drawn down by what nodes report; what
is overdrawn between two reports is taken back in the next second.
"""

from dataclasses import dataclass, field
from math import exp, inf
from typing import Final

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas.messages import ShareRow, UseRow

# Seconds in which what is in the bucket may be spent, and what is overdrawn is
# taken back. Modelled over 93 nodes at 7.5 times the usual load, the worst
# window holds 0.93 of what the users grant with 1, 2 or 3 s; with the reports'
# delay of 0.5 s less than 1 s would swing.
BALANCE_SECONDS: Final = 2.0
# Seconds over which it is judged how fast an account asks: with 1 s a crowd is
# seen later, and a small account gets 1.12 times its limit in place of 1.04.
ASKED_SECONDS: Final = 0.5
# Requests that an account may save up beyond its burst: those of small
# accounts come in chance crowds, and 5 a window are a quarter of what the
# users grant for counting (quotaSlack 20 in 5 s).
ALLOWANCE: Final = 5.0
# Seconds between two tellings of a share to all nodes, while it is not whole:
# the requests of a small account come through ever other nodes, and modelled
# over 93 of them 1.4 times what it may have would pass without.
TELL_GAP: Final = 0.5
# Seconds without a report after which an account's counts are dropped: its
# bucket is full again.
COUNT_KEPT: Final = 30.0
# Seconds that refused callers are told to wait, at the least and at the most.
LEAST_WAIT: Final = 0.5
MOST_WAIT: Final = 5.0
WHOLE: Final = 1.0


@dataclass(slots=True)
class _Count:
    """Hold an account's bucket and what each node has told; in seconds.

    `asked` is the present rate of requests, `totals` hold by node what it had
    asked and passed by its last report, `share` is that of the last telling
    of all nodes.
    """

    tokens: float
    moment: float
    asked: float = 0
    totals: dict[str, tuple[int, int]] = field(default_factory=dict)
    told: float = -inf
    share: float = WHOLE


class UseCounter:
    """Count for the accounts that this node counts for."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, FleetAccount] = {}
        self._counts: dict[str, _Count] = {}
        self._swept: float = 0

    def __len__(self) -> int:
        """Return for how many accounts something is kept."""
        return len(self._counts)

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Take new limits into force; what has been used stays counted."""
        self._limits = {
            account.name: account for account in accounts if account.rate > 0
        }

    def take(
        self,
        now: float,
        sender: str,
        rows: tuple[UseRow, ...],
        part: float,
    ) -> tuple[ShareRow, ...]:
        """Count a node's report; return the shares that it must know.

        `part` is the part of each limit that is this node's to give: less
        than 1 while other nodes can't be heard and may use the rest.
        """
        self._sweep(now)
        answers = (self._take(now, sender, row, part) for row in rows)
        return tuple(
            answer
            for answer in answers
            if answer is not None and answer.share < WHOLE
        )

    def list_news(self, now: float, part: float) -> tuple[ShareRow, ...]:
        """Return the shares that all nodes are to be told of now."""
        due = [
            (self._limits[name], count)
            for name, count in self._counts.items()
            if name in self._limits and now - count.told >= TELL_GAP
        ]
        news = (_tell(count, now, account, part) for account, count in due)
        return tuple(row for row in news if row is not None)

    def _take(
        self,
        now: float,
        sender: str,
        row: UseRow,
        part: float,
    ) -> ShareRow | None:
        account = self._limits.get(row.account)
        if account is None:
            return None
        count = self._counts.get(row.account)
        if count is None:
            # What was used before is not known, so nothing is saved up.
            count = _Count(ALLOWANCE, now)
            self._counts[row.account] = count
        asked, passed = _find_news(count, sender, row)
        _pass_time(count, now, account, part)
        count.tokens -= passed
        count.asked += asked / ASKED_SECONDS
        return _answer(count, account, part)

    def _sweep(self, now: float) -> None:
        if now - self._swept < COUNT_KEPT:
            return
        self._swept = now
        self._counts = {
            name: count
            for name, count in self._counts.items()
            if now - count.moment < COUNT_KEPT
        }


def _find_news(count: _Count, sender: str, row: UseRow) -> tuple[int, int]:
    """Return what was asked and passed since the node's last report."""
    before = count.totals.get(sender)
    count.totals[sender] = (row.asked, row.passed)
    if before is None or row.asked < before[0] + row.fresh_asked:
        return row.fresh_asked, row.fresh_passed
    return row.asked - before[0], row.passed - before[1]


def _pass_time(
    count: _Count,
    now: float,
    account: FleetAccount,
    part: float,
) -> None:
    seconds = max(0, now - count.moment)
    count.moment = max(now, count.moment)
    full = account.burst * part + ALLOWANCE
    gained = account.rate * part * seconds
    count.tokens = min(full, count.tokens + gained)
    count.asked *= exp(-seconds / ASKED_SECONDS)


def _tell(
    count: _Count,
    now: float,
    account: FleetAccount,
    part: float,
) -> ShareRow | None:
    """Return a share that is not whole, or is whole again."""
    _pass_time(count, now, account, part)
    row = _answer(count, account, part)
    before = count.share
    count.share = row.share
    if min(before, row.share) >= WHOLE:
        return None
    count.told = now
    return row


def _answer(
    count: _Count,
    account: FleetAccount,
    part: float,
) -> ShareRow:
    allowed = account.rate * part + count.tokens / BALANCE_SECONDS
    asked = max(count.asked, 1)
    share = min(WHOLE, max(0, allowed) / asked)
    wait = -count.tokens / (account.rate * part)
    return ShareRow(account.name, round(share, 3), _bound_wait(wait))


def _bound_wait(wait: float) -> float:
    return round(min(MOST_WAIT, max(LEAST_WAIT, wait)), 2)
