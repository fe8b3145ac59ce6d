"""How much of an account's requests may pass, over all nodes; pure.

It limits an account that sends more than its limit, through any nodes. The
reports of the nodes are taken from a token bucket with the account's rate and
burst; a deficit that builds up between two reports is made up in the next
second.
"""

from dataclasses import dataclass, field
from math import exp, inf
from typing import Final

from hillfield.configuration.schema.accounts import FleetAccount
from hillfield.quotas.messages import ShareRow, UsageRow

# Seconds in which saved tokens may be spent, and a deficit is made up. In a
# model of 93 nodes at 7.5 times the usual load, the worst window holds 0.93 of
# the permitted requests with 1, 2 or 3 s; with the reports' delay of 0.5 s,
# less than 1 s would oscillate.
BALANCE_SECONDS: Final = 2.0
# Seconds over which an account's request rate is estimated: with 1 s a surge
# is detected later, and a small account gets 1.12 times its limit instead of
# 1.04.
RATE_WINDOW_SECONDS: Final = 0.5
# Requests that an account may save up beyond its burst: the requests of small
# accounts cluster by chance, and 5 in a window are a quarter of the permitted
# counting error (quotaSlack 20 in 5 s).
EXTRA_BURST: Final = 5.0
# Seconds between two messages to all nodes on a share below 1: each request of
# a small account comes through another node, and in a model of 93 nodes 1.4
# times the limit would pass without.
UPDATE_INTERVAL: Final = 0.5
# Seconds without a report after which an account's counts are dropped: its
# bucket is full again.
COUNT_EXPIRY_SECONDS: Final = 30.0
# Bounds of the seconds that refused callers are told to wait.
MINIMUM_WAIT: Final = 0.5
MAXIMUM_WAIT: Final = 5.0
FULL_SHARE: Final = 1.0


@dataclass(slots=True)
class _Count:
    """Hold an account's bucket and what each node has reported; in seconds.

    `request_rate` is the estimated rate of requests, `totals` hold by node the
    requests received and passed until its last report, `share` is the one last
    sent to all nodes, `sent_at` when that was.
    """

    tokens: float
    moment: float
    request_rate: float = 0
    totals: dict[str, tuple[int, int]] = field(default_factory=dict)
    sent_at: float = -inf
    share: float = FULL_SHARE


class UsageCounter:
    """Count for the accounts of which this node is the counter."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, FleetAccount] = {}
        self._counts: dict[str, _Count] = {}
        self._swept_at: float = 0

    def __len__(self) -> int:
        """Return the number of accounts with counts."""
        return len(self._counts)

    def adopt(self, accounts: tuple[FleetAccount, ...]) -> None:
        """Apply new limits; counted usage is kept."""
        self._limits = {
            account.name: account for account in accounts if account.rate > 0
        }

    def receive_report(
        self,
        now: float,
        sender: str,
        rows: tuple[UsageRow, ...],
        fraction: float,
    ) -> tuple[ShareRow, ...]:
        """Count a node's report; return the shares that the node must apply.

        `fraction` of each limit is what this node may grant: less than 1 while
        other nodes are unreachable and may use the rest.
        """
        self._sweep(now)
        answers = (self._count_row(now, sender, row, fraction) for row in rows)
        return tuple(
            answer
            for answer in answers
            if answer is not None and answer.share < FULL_SHARE
        )

    def list_updates(self, now: float, fraction: float) -> tuple[ShareRow, ...]:
        """Return the shares that all nodes are to receive now."""
        due = [
            (self._limits[name], count)
            for name, count in self._counts.items()
            if name in self._limits and now - count.sent_at >= UPDATE_INTERVAL
        ]
        updates = (
            _update_share(count, now, account, fraction)
            for account, count in due
        )
        return tuple(row for row in updates if row is not None)

    def _count_row(
        self,
        now: float,
        sender: str,
        row: UsageRow,
        fraction: float,
    ) -> ShareRow | None:
        account = self._limits.get(row.account)
        if account is None:
            return None
        count = self._counts.get(row.account)
        if count is None:
            # Earlier usage is unknown, so no burst is saved up.
            count = _Count(EXTRA_BURST, now)
            self._counts[row.account] = count
        asked, passed = _compute_increase(count, sender, row)
        _refill(count, now, account, fraction)
        count.tokens -= passed
        count.request_rate += asked / RATE_WINDOW_SECONDS
        return _build_row(count, account, fraction)

    def _sweep(self, now: float) -> None:
        if now - self._swept_at < COUNT_EXPIRY_SECONDS:
            return
        self._swept_at = now
        self._counts = {
            name: count
            for name, count in self._counts.items()
            if now - count.moment < COUNT_EXPIRY_SECONDS
        }


def _compute_increase(
    count: _Count,
    sender: str,
    row: UsageRow,
) -> tuple[int, int]:
    """Return the requests received and passed since the last report."""
    before = count.totals.get(sender)
    count.totals[sender] = (row.asked, row.passed)
    if before is None or row.asked < before[0] + row.fresh_asked:
        return row.fresh_asked, row.fresh_passed
    return row.asked - before[0], row.passed - before[1]


def _refill(
    count: _Count,
    now: float,
    account: FleetAccount,
    fraction: float,
) -> None:
    seconds = max(0, now - count.moment)
    count.moment = max(now, count.moment)
    full = account.burst * fraction + EXTRA_BURST
    gained = account.rate * fraction * seconds
    count.tokens = min(full, count.tokens + gained)
    count.request_rate *= exp(-seconds / RATE_WINDOW_SECONDS)


def _update_share(
    count: _Count,
    now: float,
    account: FleetAccount,
    fraction: float,
) -> ShareRow | None:
    """Return a share that is below 1, or 1 again."""
    _refill(count, now, account, fraction)
    row = _build_row(count, account, fraction)
    before = count.share
    count.share = row.share
    if min(before, row.share) >= FULL_SHARE:
        return None
    count.sent_at = now
    return row


def _build_row(
    count: _Count,
    account: FleetAccount,
    fraction: float,
) -> ShareRow:
    allowed = account.rate * fraction + count.tokens / BALANCE_SECONDS
    asked = max(count.request_rate, 1)
    share = min(FULL_SHARE, max(0, allowed) / asked)
    wait = -count.tokens / (account.rate * fraction)
    return ShareRow(account.name, round(share, 3), _bound_wait(wait))


def _bound_wait(wait: float) -> float:
    return round(min(MAXIMUM_WAIT, max(MINIMUM_WAIT, wait)), 2)
